// Command dogwoodpondctl is the operators' command-line tool.
package main

import (
	"fmt"
	"os"

	"dogwoodpond/internal/ctl"
	"dogwoodpond/platform"
)

func main() {
	err := ctl.NewApp(os.Stdout, os.Stderr, platform.ReadConfiguration).Run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodpondctl:", err)
	}
	os.Exit(ctl.ExitCode(err))
}
