package ctl

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// App is the command-line application.
type App struct {
	kingpin *kingpin.Application
	// out receives results. notes receives messages for people, which programs that parse
	// out must not see.
	out   io.Writer
	notes io.Writer
	// readConfig reads a platform's configuration.
	readConfig ConfigurationReader

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

// NewApp returns an App that writes results to out and messages for people to notes, and reads
// configurations of the platform with readConfig.
func NewApp(out, notes io.Writer, readConfig ConfigurationReader) *App {
	a := &App{
		kingpin: kingpin.New("dogwoodpondctl", "Edits contracts and keys of dogwoodpond, and shows the state and events of its VMs."),
		out:     out,
		notes:   notes,

		readConfig: readConfig,
	}
	a.address = a.kingpin.Flag("address", "The address of the operators' API of any VM.").Envar("DOGWOODPOND_ADDRESS").Default("127.0.0.1:7001").String()
	a.token = a.kingpin.Flag("token", "The operators' credential.").Envar("DOGWOODPOND_TOKEN").String()
	a.who = a.kingpin.Flag("who", "Name of the operator who makes the edit, for the history.").Envar("DOGWOODPOND_WHO").Default(os.Getenv("USER")).String()
	a.output = a.kingpin.Flag("output", "Output format: tables for people or JSON for programs.").Envar("DOGWOODPOND_OUTPUT").Default(outputTable).Enum(outputTable, outputJSON)
	a.contractCommands()
	a.keyCommands()
	a.fleetCommands()
	a.timelineCommand()
	a.explainCommand()
	a.reportCommand()
	a.evacuationsCommand()
	a.settingsCommands()
	a.configCommands()
	return a
}

// Run parses the arguments and runs the command. ExitCode maps the returned error to the
// exit code of the process.
func (a *App) Run(arguments []string) error {
	_, err := a.kingpin.Parse(arguments)
	var typed fault.Failure
	if err == nil || errors.As(err, &typed) {
		return err
	}
	// Only the parser returns errors that are not a fault.Failure.
	return errors.WithStack(&fault.BadRequest{Field: "arguments", Problem: err.Error()})
}

func (a *App) client() *Client { return NewClient(*a.address, *a.token, *a.who) }
