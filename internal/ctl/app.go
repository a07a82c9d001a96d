package ctl

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// App is the command line.
type App struct {
	kingpin *kingpin.Application
	// out gets results; notes gets what a person should know besides, so that a
	// program that reads out is not disturbed.
	out   io.Writer
	notes io.Writer

	address *string
	token   *string
	who     *string
	output  *string
}

// The values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// NewApp returns the command line; results go to out and notes to notes.
func NewApp(out, notes io.Writer) *App {
	a := &App{
		kingpin: kingpin.New("dogwoodpondctl", "Drives dogwoodpond by contracts and keys."),
		out:     out,
		notes:   notes,
	}
	a.address = a.kingpin.Flag("address", "The operators' address of any VM.").Envar("DOGWOODPOND_ADDRESS").Default("127.0.0.1:7001").String()
	a.token = a.kingpin.Flag("token", "The operators' credential.").Envar("DOGWOODPOND_TOKEN").String()
	a.who = a.kingpin.Flag("who", "Who makes the edit, for the history.").Envar("DOGWOODPOND_WHO").Default(os.Getenv("USER")).String()
	a.output = a.kingpin.Flag("output", "Tables for people or JSON for programs.").Envar("DOGWOODPOND_OUTPUT").Default(outputTable).Enum(outputTable, outputJSON)
	a.contractCommands()
	a.keyCommands()
	a.fleetCommands()
	a.timelineCommand()
	a.explainCommand()
	a.reportCommand()
	a.evacuationsCommand()
	a.settingsCommands()
	return a
}

// Run parses the arguments and runs the command. ExitCode turns its failure
// into the exit code of the process.
func (a *App) Run(arguments []string) error {
	_, err := a.kingpin.Parse(arguments)
	var typed fault.Failure
	if err == nil || errors.As(err, &typed) {
		return err
	}
	// Only the parser returns failures without a type.
	return errors.WithStack(&fault.BadRequest{Field: "arguments", Problem: err.Error()})
}

func (a *App) client() *Client { return NewClient(*a.address, *a.token, *a.who) }
