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

// logsFlag adds the flag --logs to a command.
func logsFlag(command *kingpin.CmdClause) *[]string {
	return command.Flag("logs", "Read events from these collected logs (files or directories) instead of from the VMs.").PlaceHolder("PATH").Strings()
}

// eventSource is a function that returns the events that match a query.
type eventSource func(event.Query) (operator.EventsAnswer, error)

// eventSource returns a source that reads the logs at the given paths, or queries the VMs
// if there are no paths. Logs are needed for old events: VMs retain only their latest
// events, and the events of a dead VM can't be queried.
func (a *App) eventSource(paths []string) (eventSource, error) {
	if len(paths) == 0 {
		return a.eventsFromVMs, nil
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
		matching := slices.DeleteFunc(slices.Clone(all), func(r event.Record) bool { return !query.Matches(r) })
		return operator.EventsAnswer{Events: matching}, nil
	}, nil
}

func (a *App) eventsFromVMs(query event.Query) (operator.EventsAnswer, error) {
	var answer operator.EventsAnswer
	err := a.client().Call(context.Background(), http.MethodGet, eventsRoute(query), nil, &answer)
	return answer, err
}

// readLogs reads the events of a log file, or of all files in a directory tree.
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
	log, err := event.ReadLog(file)
	if log.Skipped > 0 {
		a.note("%s: %d lines are not events and were skipped", name, log.Skipped)
	}
	if log.Dropped > 0 {
		a.note("%s: the VM dropped %d log lines, so that events may be missing", name, log.Dropped)
	}
	return log.Records, err
}
