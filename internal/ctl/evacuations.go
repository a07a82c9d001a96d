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

// Evacuation is one evacuation of a failure domain, according to the events of the VMs.
type Evacuation struct {
	Domain string `json:"domain"`
	// Began is when the first VM learned of the evacuation, Known when the last one did.
	Began time.Time `json:"began"`
	Known time.Time `json:"known"`
	// VMs counts the VMs that learned of the evacuation. Upstreams is the largest number of
	// upstreams in the failure domain that one of these VMs reported.
	VMs       int   `json:"vms"`
	Upstreams int64 `json:"upstreams"`
	// Restored counts the VMs that learned of the end of the evacuation, Ended is when the
	// last one did.
	Restored int       `json:"restored"`
	Ended    time.Time `json:"ended,omitzero"`

	// known is the set of the VMs that learned of the evacuation.
	known map[string]bool
}

// Evacuations holds all evacuations found in the events, ordered by their beginning.
type Evacuations struct {
	Evacuations []*Evacuation `json:"evacuations"`
	Missing     []string      `json:"missing"`
}

func (a *App) evacuationsCommand() {
	command := a.kingpin.Command("evacuations", "Show which failure domains are or were evacuated, since when, and how many VMs know of it.")
	logs := logsFlag(command)
	command.Action(func(*kingpin.ParseContext) error {
		queryEvents, err := a.eventSource(*logs)
		if err != nil {
			return err
		}
		answer, err := queryEvents(event.Query{Numbers: []event.Number{event.DomainEvacuated, event.DomainRestored}})
		if err != nil {
			return err
		}
		evacuations := evacuationsOf(answer.Events, answer.Missing)
		return a.show(evacuations, func(w io.Writer) { evacuationsTable(w, evacuations) })
	})
}

// evacuationsOf finds the evacuations in events, which must be in order. A second
// DomainEvacuated event of the same VM belongs to the next evacuation of the failure domain.
func evacuationsOf(events []event.Record, missing []string) Evacuations {
	evacuations := Evacuations{Evacuations: []*Evacuation{}, Missing: missing}
	latest := make(map[string]*Evacuation)
	for _, e := range events {
		at, current := stampTime(e.Stamp), latest[e.Detail]
		switch {
		case e.Number == event.DomainEvacuated:
			if current == nil || current.known[e.VM] {
				current = &Evacuation{Domain: e.Detail, Began: at, known: make(map[string]bool)}
				latest[e.Detail] = current
				evacuations.Evacuations = append(evacuations.Evacuations, current)
			}
			current.known[e.VM] = true
			current.VMs, current.Known = len(current.known), at
			current.Upstreams = max(current.Upstreams, e.Count)
		case e.Number == event.DomainRestored && current != nil:
			current.Restored++
			current.Ended = at
		}
	}
	slices.SortStableFunc(evacuations.Evacuations, func(a, b *Evacuation) int {
		return cmp.Or(a.Began.Compare(b.Began), cmp.Compare(a.Domain, b.Domain))
	})
	return evacuations
}

func evacuationsTable(w io.Writer, evacuations Evacuations) {
	row(w, "failure domain", "began", "upstreams", "known to", "after", "over for", "ended")
	for _, e := range evacuations.Evacuations {
		ended := "not yet"
		if !e.Ended.IsZero() {
			ended = formatTime(e.Ended)
		}
		row(w, e.Domain, formatTime(e.Began), e.Upstreams, fmt.Sprintf("%d VMs", e.VMs), seconds(e.Known.Sub(e.Began)), fmt.Sprintf("%d VMs", e.Restored), ended)
	}
	for _, line := range missingLines(evacuations.Missing) {
		_, _ = fmt.Fprintln(w, line)
	}
}
