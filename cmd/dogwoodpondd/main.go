// Command dogwoodpondd runs on every entry VM. It serves callers, operators and
// the other VMs until it gets SIGTERM or SIGINT, and then drains.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"dogwoodpond/internal/daemon"
	"dogwoodpond/internal/settings"
)

func main() {
	path := kingpin.Flag("settings", "The JSON settings file of this VM.").Required().String()
	kingpin.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodpondd:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}
