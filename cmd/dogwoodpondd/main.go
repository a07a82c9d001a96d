// Command dogwoodpondd is the daemon of an entry VM. It serves callers, operators and
// the other VMs until it receives SIGTERM or SIGINT, and then drains. "host" reads the
// settings file that the users' platform names; "serve" reads the one given by --settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"dogwoodpond/internal/buildinfo"
	"dogwoodpond/internal/daemon"
	"dogwoodpond/internal/settings"
	"dogwoodpond/platform"
)

func main() {
	app := kingpin.New("dogwoodpondd", "The daemon of an entry VM.").Version(buildinfo.ID())
	serve := app.Command("serve", "Serve with a settings file of this VM; contracts are edited with dogwoodpondctl.").Default()
	path := serve.Flag("settings", "The JSON settings file of this VM.").Required().String()
	hosted := app.Command("host", "Serve on the users' platform, with the settings file that the platform names.")
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case serve.FullCommand():
		err = run(*path)
	case hosted.FullCommand():
		err = host()
	}
	if err != nil {
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

func host() error {
	s, addresses, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return platform.New(s, addresses).Run(ctx)
}
