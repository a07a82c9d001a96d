// Command dogwoodpond-standin runs stand-ins of the platform, engines and services
// for tests and the quick start.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"dogwoodpond/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if _, err := standin.NewApp(ctx, os.Stdout).Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodpond-standin:", err)
		os.Exit(1)
	}
}
