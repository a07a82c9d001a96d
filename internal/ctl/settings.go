package ctl

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"dogwoodpond/internal/settings"
)

func (a *App) settingsCommands() {
	group := a.kingpin.Command("settings", "Settings of the daemon.")
	check := group.Command("check", "Check a settings file and show all errors in it.")
	file := check.Arg("file", "The file.").Required().ExistingFile()
	check.Action(func(*kingpin.ParseContext) error {
		checked, err := settings.Load(*file)
		if err != nil {
			return err
		}
		return a.show(checked, func(w io.Writer) { row(w, "settings: ok") })
	})
}
