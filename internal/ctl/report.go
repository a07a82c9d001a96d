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

// Phase is a phase of a step.
type Phase int

// The phases of a step, in order.
const (
	// Acceptance lasts from the first submission of the step until it was accepted, that is
	// committed in the store.
	Acceptance Phase = iota
	// Ownership lasts from the acceptance until a VM became the owner of the step.
	Ownership
	// FirstResult lasts from the first ownership until the first results were committed.
	FirstResult
	// Results lasts from the first committed results to the last.
	Results
	// Reading lasts from the last committed results until the trainer ended the step.
	Reading
	phases // number of phases
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{"acceptance", "ownership", "first result", "results", "reading"}[p]
}

// StepTimes holds the durations of the phases of a step, computed from its events.
type StepTimes struct {
	Step    string    `json:"step"`
	Account string    `json:"account"`
	Began   time.Time `json:"began"`
	// Phases holds the duration of each phase, 0 if the end of the phase is not known. The
	// phase Results ends with the latest committed results.
	Phases [phases]time.Duration `json:"phasesNanos"`
	// Total is the sum of Phases.
	Total time.Duration `json:"wholeNanos"`
	// Longest is the name of the longest phase.
	Longest string `json:"longest"`
	// Gap is the longest time between two commits of results.
	Gap time.Duration `json:"gapNanos"`
	// Owners counts the ownerships of the step, Failed the attempts of its items that
	// failed or were interrupted by a move, Abandoned the abandoned items.
	Owners    int `json:"owners"`
	Failed    int `json:"failed"`
	Abandoned int `json:"abandoned"`
	// Ended is true if the trainer has ended the step.
	Ended bool `json:"ended"`

	// Wall time in microseconds of the acceptance, the first ownership, and the first and
	// the last committed results; 0 if not known.
	openedAt, ownedAt, firstResultAt, lastResultAt int64
}

// Report holds the times of all steps found in the events, the longest step first.
type Report struct {
	Steps   []*StepTimes `json:"steps"`
	Missing []string     `json:"missing"`
}

// stepEvents are the events from which a report is computed.
var stepEvents = []event.Number{
	event.StepStartedEarly, event.StepOpened, event.StepOwned, event.SamplesCommitted, event.StepEnded,
	event.AttemptFailed, event.ItemAbandoned,
}

func (a *App) reportCommand() {
	command := a.kingpin.Command("report", "Show the time that steps spent in each phase.")
	top := command.Flag("top", "Show this many of the longest steps.").Default("20").Int()
	logs := logsFlag(command)
	command.Action(func(*kingpin.ParseContext) error {
		queryEvents, err := a.eventSource(*logs)
		if err != nil {
			return err
		}
		answer, err := queryEvents(event.Query{Numbers: stepEvents})
		if err != nil {
			return err
		}
		report := reportOn(answer.Events, answer.Missing)
		return a.show(report, func(w io.Writer) { reportTable(w, report, *top) })
	})
}

// reportOn computes a report from events, which must be in order. It leaves out steps whose
// beginning is not among the events.
func reportOn(events []event.Record, missing []string) Report {
	byStep := make(map[string]*StepTimes)
	report := Report{Steps: []*StepTimes{}, Missing: missing}
	for _, e := range events {
		if e.Step == "" {
			continue
		}
		s := byStep[e.Step]
		if s == nil && (e.Number == event.StepOpened || e.Number == event.StepStartedEarly) {
			s = &StepTimes{Step: e.Step, Account: e.Account, Began: stampTime(e.Stamp)}
			if e.Number == event.StepOpened {
				s.Began = stampTime(submittedAt(e))
			}
			byStep[e.Step] = s
			report.Steps = append(report.Steps, s)
		}
		if s != nil {
			s.add(e)
		}
	}
	for _, s := range report.Steps {
		s.sumPhases()
	}
	slices.SortStableFunc(report.Steps, func(a, b *StepTimes) int { return cmp.Compare(b.Total, a.Total) })
	return report
}

// add adds an event of the step.
func (s *StepTimes) add(e event.Record) {
	at := e.Stamp.WallMicros
	switch e.Number {
	case event.StepOpened:
		if s.openedAt == 0 {
			s.openedAt = at
			s.Phases[Acceptance] = since(s.Began.UnixMicro(), at)
		}
	case event.StepOwned:
		s.Owners++
		if s.ownedAt == 0 {
			s.ownedAt = at
			s.Phases[Ownership] = since(s.openedAt, at)
		}
	case event.SamplesCommitted:
		s.addResults(at)
	case event.StepEnded:
		if !s.Ended && s.lastResultAt > 0 {
			s.Phases[Reading] = since(s.lastResultAt, at)
		}
		s.Ended = true
	case event.AttemptFailed:
		s.Failed++
	case event.ItemAbandoned:
		s.Abandoned++
	}
}

// addResults adds a commit of results at the wall time at, in microseconds.
func (s *StepTimes) addResults(at int64) {
	if s.firstResultAt == 0 {
		s.firstResultAt = at
		s.Phases[FirstResult] = since(s.ownedAt, at)
	} else {
		s.Gap = max(s.Gap, since(s.lastResultAt, at))
	}
	s.lastResultAt = at
	s.Phases[Results] = since(s.firstResultAt, at)
}

// since returns the time between two wall times in microseconds; 0 if from is 0 (not
// known) or after to.
func since(from, to int64) time.Duration {
	if from == 0 {
		return 0
	}
	return max(0, time.Duration(to-from)*time.Microsecond)
}

// sumPhases computes the sum of the phases and the longest one.
func (s *StepTimes) sumPhases() {
	longest := Acceptance
	for p, duration := range s.Phases {
		s.Total += duration
		if duration > s.Phases[longest] {
			longest = Phase(p)
		}
	}
	s.Longest = longest.String()
}

func reportTable(w io.Writer, report Report, top int) {
	_, _ = fmt.Fprintf(w, "%d steps; durations in seconds\n", len(report.Steps))
	row(w, "phase", "middle", "95 %", "most")
	for p := range phases {
		durations := make([]time.Duration, 0, len(report.Steps))
		for _, s := range report.Steps {
			durations = append(durations, s.Phases[p])
		}
		slices.Sort(durations)
		row(w, p, quantile(durations, 0.5), quantile(durations, 0.95), quantile(durations, 1))
	}
	_, _ = fmt.Fprintln(w)
	row(w, "step", "account", "began", "whole", "acceptance", "ownership", "first result", "results", "reading", "longest gap", "owners", "failed runs", "given up", "")
	for _, s := range report.Steps[:min(len(report.Steps), max(top, 0))] {
		cells := []any{s.Step, orDash(s.Account), formatTime(s.Began), seconds(s.Total)}
		for _, duration := range s.Phases {
			cells = append(cells, seconds(duration))
		}
		state := ""
		if !s.Ended {
			state = "not ended"
		}
		row(w, append(cells, seconds(s.Gap), s.Owners, s.Failed, s.Abandoned, state)...)
	}
	for _, line := range missingLines(report.Missing) {
		_, _ = fmt.Fprintln(w, line)
	}
}

// quantile returns the q-quantile of sorted durations in seconds, or a dash if there are
// none.
func quantile(sorted []time.Duration, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return seconds(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)])
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }
