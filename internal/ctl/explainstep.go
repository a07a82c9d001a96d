package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"dogwoodpond/internal/event"
)

// StepAccount is the account of one step.
type StepAccount struct {
	Step    string `json:"step"`
	Account string `json:"account"`
	// Owners are the VMs that ran it, in order.
	Owners []string `json:"owners"`
	// Listed is how many results were listed.
	Listed int64 `json:"listed"`
	// LongestGap is the longest time without a new result between the first event and
	// the end, and GapFrom when it began.
	LongestGap time.Duration `json:"longestGapNanos"`
	GapFrom    time.Time     `json:"gapFrom"`
	// Failures counts the failed runs of its items by reason.
	Failures map[string]int `json:"failures"`
	// Scored counts the scores of its items, LongestScoreWait is the longest time from
	// a whole text to its score, and ScoreFailures the failed calls by reason.
	Scored           int            `json:"scored"`
	LongestScoreWait time.Duration  `json:"longestScoreWaitNanos"`
	SlowestScore     string         `json:"slowestScore,omitempty"`
	ScoreFailures    map[string]int `json:"scoreFailures"`
	Lines            []ExplainLine  `json:"lines"`
	Missing          []string       `json:"missing"`

	last event.Stamp
}

// aroundVM are the kinds of events of a VM that hold up what it serves and runs.
var aroundVM = []event.Number{
	event.ProcessStarted, event.DrainStarted, event.ProcessStopped,
	event.DependencyLost, event.DependencyRegained, event.BeatFailed,
}

// explainStep tells what happened to a step: its own events, and what befell the VMs
// that ran it meanwhile. ok is false when nothing is known of it.
func explainStep(step string, ask source) (told StepAccount, ok bool, err error) {
	own, err := ask(event.Query{Step: step})
	if err != nil || len(own.Events) == 0 {
		return told, false, err
	}
	told = StepAccount{Step: step, Failures: map[string]int{}, ScoreFailures: map[string]int{}, Missing: own.Missing}
	first, last := own.Events[0].Stamp, own.Events[len(own.Events)-1].Stamp
	around, err := ask(event.Query{Numbers: aroundVM, After: first})
	if err != nil {
		return told, false, err
	}
	owners := ownersOf(own.Events)
	others := slices.DeleteFunc(around.Events, func(e event.Record) bool {
		return last.Before(e.Stamp) || e.Step == step || !slices.Contains(owners, e.VM)
	})
	told.last = first
	for _, e := range merge(own.Events, others) {
		told.take(e, first)
	}
	return told, true, nil
}

// ownersOf returns the VMs that owned a step, in the order in which they first did.
func ownersOf(events []event.Record) []string {
	var owners []string
	for _, e := range events {
		if e.Number == event.StepOwned && !slices.Contains(owners, e.VM) {
			owners = append(owners, e.VM)
		}
	}
	return owners
}

func (s *StepAccount) take(e event.Record, first event.Stamp) {
	if e.Step == s.Step && e.Account != "" {
		s.Account = e.Account
	}
	switch e.Number {
	case event.AttemptFailed:
		reason, _, _ := strings.Cut(e.Detail, " after event")
		s.Failures[reason]++
		return
	case event.ScoreFailed:
		s.ScoreFailures[e.Detail]++
		return
	case event.SampleScored:
		s.scored(e)
		return
	case event.StepOwned:
		s.Owners = append(s.Owners, e.VM)
	case event.SamplesCommitted:
		s.Listed += e.Count
		s.gap(e.Stamp)
	case event.StepEnded:
		s.gap(e.Stamp)
	}
	s.Lines = append(s.Lines, ExplainLine{
		At: stampTime(e.Stamp), SinceMicros: e.Stamp.WallMicros - first.WallMicros, VM: e.VM, Number: e.Number,
		Text: fmt.Sprintf("%s %s: %s", e.Number, e.Name, describe(e.Subject)),
	})
}

// scored counts a score.
func (s *StepAccount) scored(e event.Record) {
	s.Scored++
	if waited := time.Duration(e.Count) * time.Millisecond; waited >= s.LongestScoreWait {
		s.LongestScoreWait, s.SlowestScore = waited, e.Slot
	}
}

// gap ends a time without new results.
func (s *StepAccount) gap(at event.Stamp) {
	length := since(s.last.WallMicros, at.WallMicros)
	if length > s.LongestGap {
		s.LongestGap, s.GapFrom = length, stampTime(s.last)
	}
	s.last = at
}

func stepTable(w io.Writer, s StepAccount) {
	_, _ = fmt.Fprintf(w, "step %s of client account %s: %d results listed, run by %s\n", s.Step, orNone(s.Account), s.Listed, orNone(strings.Join(s.Owners, ", then ")))
	for _, l := range s.Lines {
		row(w, clock(l.At), fmt.Sprintf("+%.1f ms", float64(l.SinceMicros)/microsPerMilli), l.VM, l.Text)
	}
	_, _ = fmt.Fprintf(w, "longest time without a new result: %s from %s on\n", s.LongestGap.Round(time.Millisecond), clock(s.GapFrom))
	for _, reason := range slices.Sorted(maps.Keys(s.Failures)) {
		_, _ = fmt.Fprintf(w, "failed runs of its items, %s: %d\n", reason, s.Failures[reason])
	}
	if s.Scored > 0 {
		_, _ = fmt.Fprintf(w, "%d texts scored, the longest wait for a score: %s of item %s\n", s.Scored, s.LongestScoreWait, s.SlowestScore)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.ScoreFailures)) {
		_, _ = fmt.Fprintf(w, "failed calls for scores, %s: %d\n", reason, s.ScoreFailures[reason])
	}
	for _, line := range missingLines(s.Missing) {
		_, _ = fmt.Fprintln(w, line)
	}
}
