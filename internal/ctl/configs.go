package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/configcheck"
	"dogwoodpond/internal/fault"
)

// ConfigurationReader reads the text of a platform's configuration as the daemon does.
type ConfigurationReader func(text []byte) configcheck.Configuration

// maxConfigurationFileBytes bounds the size of a configuration file. It leaves room for white
// space: the store accepts 64 KiB.
const maxConfigurationFileBytes = 1 << 20

// configurationReport is the result of a check.
type configurationReport struct {
	Errors      int                      `json:"errors"`
	Warnings    int                      `json:"warnings"`
	Problems    []configcheck.Problem    `json:"problems"`
	Differences []configcheck.Difference `json:"differences,omitempty"`
}

func (a *App) configCommands() {
	group := a.kingpin.Command("config", "The platform's configuration.")
	check := group.Command("check", "Check a configuration before it is sent, without a VM, and show all problems in it.")
	file := check.Arg("file", "The JSON configuration.").Required().ExistingFile()
	against := check.Flag("against", "The configuration in force, as a file; also show the differences from it.").ExistingFile()
	check.Action(func(*kingpin.ParseContext) error { return a.checkConfiguration(*file, *against) })
}

func (a *App) checkConfiguration(file, against string) error {
	checked, err := a.readConfiguration(file)
	if err != nil {
		return err
	}
	report := configurationReport{Problems: configcheck.Check(checked)}
	if against != "" {
		inForce, err := a.readConfiguration(against)
		if err != nil {
			return err
		}
		if inForce.Refused {
			return errors.WithStack(&fault.BadRequest{Field: "--against", Problem: against + " is no configuration that a VM can read"})
		}
		if !checked.Refused {
			report.Differences = configcheck.Diff(inForce, checked)
			report.Problems = append(configcheck.CheckAgainst(checked, inForce, report.Differences), report.Problems...)
		}
	}
	for _, p := range report.Problems {
		if p.Severity == configcheck.Error {
			report.Errors++
		} else {
			report.Warnings++
		}
	}
	if err := a.show(report, func(w io.Writer) { report.table(w, against != "" && !checked.Refused) }); err != nil {
		return err
	}
	switch {
	case report.Errors > 0:
		return errors.WithStack(&fault.ConfigurationInvalid{Errors: report.Errors, Warnings: report.Warnings})
	case report.Warnings > 0:
		return errors.WithStack(&fault.ConfigurationWarnings{Warnings: report.Warnings})
	}
	return nil
}

// readConfiguration reads a configuration file of limited size.
func (a *App) readConfiguration(path string) (configcheck.Configuration, error) {
	file, err := os.Open(path)
	if err != nil {
		return configcheck.Configuration{}, errors.WithStack(&fault.BadRequest{Field: "file", Problem: path + " can't be opened"})
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxConfigurationFileBytes+1))
	if err != nil {
		return configcheck.Configuration{}, errors.WithStack(&fault.BadRequest{Field: "file", Problem: path + " can't be read"})
	}
	if len(text) > maxConfigurationFileBytes {
		return configcheck.Configuration{}, errors.WithStack(&fault.BadRequest{
			Field: "file", Problem: fmt.Sprintf("%s is larger than %d bytes", path, maxConfigurationFileBytes),
		})
	}
	return a.readConfig(text), nil
}

func (r configurationReport) table(w io.Writer, compared bool) {
	if len(r.Problems) == 0 {
		row(w, "configuration: ok")
	} else {
		row(w, "SEVERITY", "PATH", "VALUE", "ALLOWED")
	}
	for _, p := range r.Problems {
		row(w, p.Severity, p.Path, orDash(p.Value), p.Allowed)
	}
	if !compared {
		return
	}
	if len(r.Differences) == 0 {
		row(w, "no change")
		return
	}
	row(w)
	row(w, "CHANGE", "PATH", "BEFORE", "AFTER", "IN EFFECT")
	for _, d := range r.Differences {
		row(w, d.Change, d.Path, orDash(d.Before), orDash(d.After), d.Effect)
	}
}
