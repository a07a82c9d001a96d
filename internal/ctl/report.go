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

// Phase is a part of the time of a step.
type Phase int

// The phases of a step, in their order.
const (
	// Acceptance lasts from the first time the step was handed in until it stood in the
	// store.
	Acceptance Phase = iota
	// Ownership lasts from there until a VM ran it.
	Ownership
	// FirstResult lasts from there until results were listed.
	FirstResult
	// Results lasts from the first listed results to the last.
	Results
	// Reading lasts from the last listed results until the trainer ended the step.
	Reading
	phases
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{"acceptance", "ownership", "first result", "results", "reading"}[p]
}

// StepTimes are the phases of one step, from its events.
type StepTimes struct {
	Step    string    `json:"step"`
	Account string    `json:"account"`
	Began   time.Time `json:"began"`
	// Phases holds the length of each phase that came to its end, in nanoseconds.
	Phases [phases]time.Duration `json:"phasesNanos"`
	// Whole is the length of all of them.
	Whole time.Duration `json:"wholeNanos"`
	// Longest is the phase that took longest.
	Longest string `json:"longest"`
	// Gap is the longest time between listed results.
	Gap time.Duration `json:"gapNanos"`
	// Owners counts the VMs that ran the step, Failed the runs of its items that failed
	// or moved, and Abandoned the items that were given up.
	Owners    int `json:"owners"`
	Failed    int `json:"failed"`
	Abandoned int `json:"abandoned"`
	// Ended is true once the trainer ended the step.
	Ended bool `json:"ended"`

	opened, owned, listed, last int64
}

// Report tells of all steps in a time line, those that took longest first.
type Report struct {
	Steps   []*StepTimes `json:"steps"`
	Missing []string     `json:"missing"`
}

// stepEvents are the kinds of events from which a report is made.
var stepEvents = []event.Number{
	event.StepStartedEarly, event.StepOpened, event.StepOwned, event.SamplesCommitted, event.StepEnded,
	event.AttemptFailed, event.ItemAbandoned,
}

func (a *App) reportCommand() {
	command := a.kingpin.Command("report", "Tell where the time of steps went, phase by phase.")
	top := command.Flag("top", "Show that many of the steps that took longest.").Default("20").Int()
	logs := logsFlag(command)
	command.Action(func(*kingpin.ParseContext) error {
		ask, err := a.source(*logs)
		if err != nil {
			return err
		}
		answer, err := ask(event.Query{Numbers: stepEvents})
		if err != nil {
			return err
		}
		told := reportOn(answer.Events, answer.Missing)
		return a.show(told, func(w io.Writer) { reportTable(w, told, *top) })
	})
}

// reportOn makes a report of a time line in order. Steps whose beginning is not in it are
// left out.
func reportOn(line []event.Record, missing []string) Report {
	known := make(map[string]*StepTimes)
	told := Report{Steps: []*StepTimes{}, Missing: missing}
	for _, e := range line {
		if e.Step == "" {
			continue
		}
		s := known[e.Step]
		if s == nil && (e.Number == event.StepOpened || e.Number == event.StepStartedEarly) {
			s = &StepTimes{Step: e.Step, Account: e.Account, Began: stampTime(e.Stamp)}
			known[e.Step] = s
			told.Steps = append(told.Steps, s)
		}
		if s != nil {
			s.take(e)
		}
	}
	for _, s := range told.Steps {
		s.sum()
	}
	slices.SortStableFunc(told.Steps, func(a, b *StepTimes) int { return cmp.Compare(b.Whole, a.Whole) })
	return told
}

// take takes an event of the step.
func (s *StepTimes) take(e event.Record) {
	at := e.Stamp.WallMicros
	switch e.Number {
	case event.StepOpened:
		if s.opened == 0 {
			s.opened = at
			s.Phases[Acceptance] = since(s.Began.UnixMicro(), at)
		}
	case event.StepOwned:
		s.Owners++
		if s.owned == 0 {
			s.owned = at
			s.Phases[Ownership] = since(s.opened, at)
		}
	case event.SamplesCommitted:
		s.list(at)
	case event.StepEnded:
		if !s.Ended && s.last > 0 {
			s.Phases[Reading] = since(s.last, at)
		}
		s.Ended = true
	case event.AttemptFailed:
		s.Failed++
	case event.ItemAbandoned:
		s.Abandoned++
	}
}

// list takes listed results.
func (s *StepTimes) list(at int64) {
	if s.listed == 0 {
		s.listed = at
		s.Phases[FirstResult] = since(s.owned, at)
	} else {
		s.Gap = max(s.Gap, since(s.last, at))
	}
	s.last = at
	s.Phases[Results] = since(s.listed, at)
}

// since returns the time between two moments in microseconds, 0 if the first is not known.
func since(from, to int64) time.Duration {
	if from == 0 {
		return 0
	}
	return max(0, time.Duration(to-from)*time.Microsecond)
}

// sum adds the phases up.
func (s *StepTimes) sum() {
	longest := Acceptance
	for p, length := range s.Phases {
		s.Whole += length
		if length > s.Phases[longest] {
			longest = Phase(p)
		}
	}
	s.Longest = longest.String()
}

func reportTable(w io.Writer, told Report, top int) {
	_, _ = fmt.Fprintf(w, "%d steps; lengths in seconds\n", len(told.Steps))
	row(w, "phase", "middle", "95 %", "most")
	for p := range phases {
		lengths := make([]time.Duration, 0, len(told.Steps))
		for _, s := range told.Steps {
			lengths = append(lengths, s.Phases[p])
		}
		slices.Sort(lengths)
		row(w, p, quantile(lengths, 0.5), quantile(lengths, 0.95), quantile(lengths, 1))
	}
	_, _ = fmt.Fprintln(w)
	row(w, "step", "account", "began", "whole", "acceptance", "ownership", "first result", "results", "reading", "longest gap", "owners", "failed runs", "given up", "")
	for _, s := range told.Steps[:min(len(told.Steps), max(top, 0))] {
		cells := []any{s.Step, orNone(s.Account), clock(s.Began), seconds(s.Whole)}
		for _, length := range s.Phases {
			cells = append(cells, seconds(length))
		}
		state := ""
		if !s.Ended {
			state = "not ended"
		}
		row(w, append(cells, seconds(s.Gap), s.Owners, s.Failed, s.Abandoned, state)...)
	}
	for _, line := range missingLines(told.Missing) {
		_, _ = fmt.Fprintln(w, line)
	}
}

// quantile returns the length below which a part of the sorted lengths lies.
func quantile(sorted []time.Duration, part float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return seconds(sorted[min(int(part*float64(len(sorted))), len(sorted)-1)])
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }
