// Command dogwoodpondctl is the operators' tool.
package main

import (
	"fmt"
	"os"

	"dogwoodpond/internal/ctl"
)

func main() {
	if err := ctl.NewApp(os.Stdout).Run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodpondctl:", err)
		os.Exit(1)
	}
}
