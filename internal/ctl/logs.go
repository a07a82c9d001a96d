package ctl

import (
	"context"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/operator"
)

// logsFlag adds the flag that names collected logs to a command.
func logsFlag(command *kingpin.CmdClause) *[]string {
	return command.Flag("logs", "Read collected logs, a file or a directory each, instead of asking the VMs.").PlaceHolder("PATH").Strings()
}

// source answers queries of events.
type source func(event.Query) (operator.EventsAnswer, error)

// source returns the VMs as a source of events, or the logs at the paths if there
// are any: VMs keep their latest events only, and one that is gone keeps none.
func (a *App) source(paths []string) (source, error) {
	if len(paths) == 0 {
		return a.eventsOfVMs, nil
	}
	var all []event.Record
	for _, path := range paths {
		records, err := a.readLogs(path)
		if err != nil {
			return nil, err
		}
		all = merge(all, records)
	}
	return func(query event.Query) (operator.EventsAnswer, error) {
		picked := slices.DeleteFunc(slices.Clone(all), func(r event.Record) bool { return !query.Picks(r) })
		return operator.EventsAnswer{Events: picked}, nil
	}, nil
}

func (a *App) eventsOfVMs(query event.Query) (operator.EventsAnswer, error) {
	var answer operator.EventsAnswer
	err := a.client().Call(context.Background(), http.MethodGet, eventsRoute(query), nil, &answer)
	return answer, err
}

// readLogs reads a log, or all logs in a directory.
func (a *App) readLogs(path string) ([]event.Record, error) {
	var all []event.Record
	err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		records, err := a.readLog(name)
		all = append(all, records...)
		return err
	})
	var typed fault.Failure
	if err != nil && !errors.As(err, &typed) {
		return nil, errors.WithStack(&fault.BadRequest{Field: "logs", Problem: err.Error()})
	}
	return all, err
}

func (a *App) readLog(name string) ([]event.Record, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.WithStack(&fault.BadRequest{Field: "logs", Problem: err.Error()})
	}
	defer func() { _ = file.Close() }()
	records, others, err := event.ReadLog(file)
	if others > 0 {
		a.note("%s: %d lines are no events and were passed over", name, others)
	}
	return records, err
}
