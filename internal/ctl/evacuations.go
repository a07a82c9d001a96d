package ctl

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"dogwoodpond/internal/event"
)

// Evacuation is one evacuation of a failure domain, as the VMs told of it.
type Evacuation struct {
	Domain string `json:"domain"`
	// Began is when the first VM knew of it, Known when the last one did.
	Began time.Time `json:"began"`
	Known time.Time `json:"known"`
	// VMs counts those that knew of it, Upstreams the most that one of them listed there.
	VMs       int   `json:"vms"`
	Upstreams int64 `json:"upstreams"`
	// Restored counts the VMs that know that it is over, Ended is when the last one did.
	Restored int       `json:"restored"`
	Ended    time.Time `json:"ended,omitzero"`

	known map[string]bool
}

// Evacuations tells of all evacuations in a time line, in the order of their beginnings.
type Evacuations struct {
	Evacuations []*Evacuation `json:"evacuations"`
	Missing     []string      `json:"missing"`
}

func (a *App) evacuationsCommand() {
	command := a.kingpin.Command("evacuations", "Tell which failure domains are or were evacuated, since when, and how many VMs know.")
	logs := logsFlag(command)
	command.Action(func(*kingpin.ParseContext) error {
		ask, err := a.source(*logs)
		if err != nil {
			return err
		}
		answer, err := ask(event.Query{Numbers: []event.Number{event.DomainEvacuated, event.DomainRestored}})
		if err != nil {
			return err
		}
		told := evacuationsOf(answer.Events, answer.Missing)
		return a.show(told, func(w io.Writer) { evacuationsTable(w, told) })
	})
}

// evacuationsOf puts the events of a time line together. A VM that hears of an evacuation
// for a second time has heard of the next one.
func evacuationsOf(line []event.Record, missing []string) Evacuations {
	told := Evacuations{Evacuations: []*Evacuation{}, Missing: missing}
	latest := make(map[string]*Evacuation)
	for _, e := range line {
		at, current := stampTime(e.Stamp), latest[e.Detail]
		switch {
		case e.Number == event.DomainEvacuated:
			if current == nil || current.known[e.VM] {
				current = &Evacuation{Domain: e.Detail, Began: at, known: make(map[string]bool)}
				latest[e.Detail] = current
				told.Evacuations = append(told.Evacuations, current)
			}
			current.known[e.VM] = true
			current.VMs, current.Known = len(current.known), at
			current.Upstreams = max(current.Upstreams, e.Count)
		case e.Number == event.DomainRestored && current != nil:
			current.Restored++
			current.Ended = at
		}
	}
	slices.SortStableFunc(told.Evacuations, func(a, b *Evacuation) int {
		return cmp.Or(a.Began.Compare(b.Began), cmp.Compare(a.Domain, b.Domain))
	})
	return told
}

func evacuationsTable(w io.Writer, told Evacuations) {
	row(w, "failure domain", "began", "upstreams", "known to", "after", "over for", "ended")
	for _, e := range told.Evacuations {
		ended := "not yet"
		if !e.Ended.IsZero() {
			ended = clock(e.Ended)
		}
		row(w, e.Domain, clock(e.Began), e.Upstreams, fmt.Sprintf("%d VMs", e.VMs), seconds(e.Known.Sub(e.Began)), fmt.Sprintf("%d VMs", e.Restored), ended)
	}
	for _, line := range missingLines(told.Missing) {
		_, _ = fmt.Fprintln(w, line)
	}
}
