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

// StepExplanation describes what happened to a step.
type StepExplanation struct {
	Step    string `json:"step"`
	Account string `json:"account"`
	// Owners lists the VM of each ownership of the step, in order.
	Owners []string `json:"owners"`
	// Committed counts the committed results.
	Committed int64 `json:"listed"`
	// LongestGap is the longest time without a new result between the first event, or the
	// submission that was accepted, and the end of the step; GapFrom is when that gap began.
	LongestGap time.Duration `json:"longestGapNanos"`
	GapFrom    time.Time     `json:"gapFrom"`
	// Failures counts the failed attempts of the step's items by reason.
	Failures map[string]int `json:"failures"`
	// Scored counts the scored items. LongestScoreWait is the longest time from a complete
	// text to its score, SlowestScore the item of that text. ScoreFailures counts the failed
	// score calls by reason.
	Scored           int            `json:"scored"`
	LongestScoreWait time.Duration  `json:"longestScoreWaitNanos"`
	SlowestScore     string         `json:"slowestScore,omitempty"`
	ScoreFailures    map[string]int `json:"scoreFailures"`
	Lines            []ExplainLine  `json:"lines"`
	// Partial is true if neither the acceptance nor the early start of the step was found, so that
	// events may be missing.
	Partial bool     `json:"partial"`
	Missing []string `json:"missing"`

	// latest is the stamp of the latest result, or else of the first event or the submission that
	// was accepted.
	latest event.Stamp
}

// disruptionEvents are the events of a VM that can delay or end the requests and steps that
// it processes.
var disruptionEvents = []event.Number{
	event.ProcessStarted, event.DrainStarted, event.ProcessStopped,
	event.DependencyLost, event.DependencyRegained, event.DependencySlow, event.HeartbeatFailed,
}

// stepDisruptionEvents are the events that can explain the delay of a step. In addition to the
// disruptions of a VM, they tell that the next owner found the previous one unresponsive, and that
// engines of a failure domain receive no items.
var stepDisruptionEvents = append(slices.Clone(disruptionEvents),
	event.PeerUnresponsive, event.PeerResponsive, event.DomainEvacuated, event.DomainRestored)

// explainStep explains a step by its own events, by those of its submissions, which have the step's
// ID as request ID, and by the disruption events of the VMs with a part in it from its submission
// until the last of these, with the outages of the store and the evacuations in which it began. ok
// is false if no event of the step is known.
func explainStep(step string, submissions []event.Record, queryEvents eventSource) (explanation StepExplanation, ok bool, err error) {
	own, err := queryEvents(event.Query{Step: step})
	if err != nil || len(own.Events) == 0 {
		return explanation, false, err
	}
	own.Events = merge(own.Events, submissions)
	explanation = StepExplanation{
		Step: step, Failures: map[string]int{}, ScoreFailures: map[string]int{},
		Partial: !slices.ContainsFunc(own.Events, isBeginning), Missing: own.Missing,
	}
	first, latest := own.Events[0].Stamp, own.Events[len(own.Events)-1].Stamp
	disruptions, err := queryEvents(event.Query{Numbers: stepDisruptionEvents})
	if err != nil {
		return explanation, false, err
	}
	start := startOf(own.Events)
	vms := vmsOf(own.Events)
	ongoing := ongoingAt(start, disruptions.Events)
	relevant := slices.DeleteFunc(disruptions.Events, func(e event.Record) bool {
		before := e.Stamp.Before(start) && !ongoing[eventID{vm: e.VM, stamp: e.Stamp}]
		uninvolvedPeer := e.Peer != "" && !vms[e.Peer]
		return before || latest.Before(e.Stamp) || e.Step == step || !vms[e.VM] || uninvolvedPeer
	})
	explanation.latest = start
	for _, e := range merge(own.Events, relevant) {
		explanation.add(e, first)
	}
	return explanation, true, nil
}

// ongoingDisruption is an outage of the store or an evacuation, as a VM records it. A VM records only its
// beginning and its end, so one that began before a step may be all that explains the step's delay.
type ongoingDisruption struct {
	vm     string
	number event.Number // of the event of the beginning
	domain string       // that is evacuated
}

// ongoingAt returns the events of the beginnings of the disruptions that are ongoing at a time.
// It expects disruption events in order.
func ongoingAt(at event.Stamp, disruptions []event.Record) map[eventID]bool {
	begun := make(map[ongoingDisruption]eventID)
	for _, e := range disruptions {
		if at.Before(e.Stamp) {
			break
		}
		outage := ongoingDisruption{vm: e.VM, number: event.DependencyLost}
		evacuation := ongoingDisruption{vm: e.VM, number: event.DomainEvacuated, domain: e.Detail}
		dependency, _, _ := strings.Cut(e.Detail, ":")
		switch {
		case e.Number == event.ProcessStarted:
			maps.DeleteFunc(begun, func(c ongoingDisruption, _ eventID) bool { return c.vm == e.VM })
		case e.Number == event.DependencyLost && dependency == event.Store:
			begun[outage] = eventID{vm: e.VM, stamp: e.Stamp}
		case e.Number == event.DependencyRegained && dependency == event.Store:
			delete(begun, outage)
		case e.Number == event.DomainEvacuated:
			begun[evacuation] = eventID{vm: e.VM, stamp: e.Stamp}
		case e.Number == event.DomainRestored:
			delete(begun, evacuation)
		}
	}
	ongoing := make(map[eventID]bool)
	for _, id := range begun {
		ongoing[id] = true
	}
	return ongoing
}

// isBeginning reports whether an event is the acceptance or the early start of a step.
func isBeginning(e event.Record) bool {
	return e.Number == event.StepOpened || e.Number == event.StepStartedEarly
}

// startOf returns the time of the first event of a step, or of the submission that was accepted if
// that is earlier.
func startOf(events []event.Record) event.Stamp {
	start := events[0].Stamp
	for _, e := range events {
		if submitted := submittedAt(e); e.Number == event.StepOpened && submitted.Before(start) {
			start = submitted
		}
	}
	return start
}

// vmsOf returns the set of the VMs that accepted a step, started it early or owned it.
func vmsOf(events []event.Record) map[string]bool {
	vms := make(map[string]bool)
	for _, e := range events {
		switch e.Number {
		case event.StepOpened, event.StepStartedEarly, event.StepOwned:
			vms[e.VM] = true
		}
	}
	return vms
}

func (s *StepExplanation) add(e event.Record, first event.Stamp) {
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
		s.addScore(e)
		return
	case event.StepOwned:
		s.Owners = append(s.Owners, e.VM)
	case event.SamplesCommitted:
		s.Committed += e.Count
		s.endGap(e.Stamp)
	case event.StepEnded:
		s.endGap(e.Stamp)
	}
	text := fmt.Sprintf("%s %s: %s", e.Number, e.Name, formatSubject(e.Subject))
	if e.Number == event.RequestRefused {
		text = describeEvent(e)
	}
	s.Lines = append(s.Lines, ExplainLine{
		At: stampTime(e.Stamp), SinceMicros: e.Stamp.WallMicros - first.WallMicros, VM: e.VM, Number: e.Number, Text: text,
	})
}

// addScore counts a score and updates the longest wait for a score.
func (s *StepExplanation) addScore(e event.Record) {
	s.Scored++
	if waited := time.Duration(e.Count) * time.Millisecond; waited >= s.LongestScoreWait {
		s.LongestScoreWait, s.SlowestScore = waited, e.Slot
	}
}

// submittedAt returns when the step of a StepOpened event was submitted. It is the stamp of the
// event if that doesn't tell how long the acceptance took.
func submittedAt(opened event.Record) event.Stamp {
	took, err := time.ParseDuration(opened.Detail)
	if err != nil {
		return opened.Stamp
	}
	return event.Stamp{WallMicros: opened.Stamp.WallMicros - took.Microseconds()}
}

// endGap ends the current gap, that is time without results, and begins the next one.
func (s *StepExplanation) endGap(at event.Stamp) {
	length := since(s.latest.WallMicros, at.WallMicros)
	if length > s.LongestGap {
		s.LongestGap, s.GapFrom = length, stampTime(s.latest)
	}
	s.latest = at
}

func stepTable(w io.Writer, s StepExplanation) {
	_, _ = fmt.Fprintf(w, "step %s of client account %s: %d results committed, run by %s\n", s.Step, orDash(s.Account), s.Committed, orDash(strings.Join(s.Owners, ", then ")))
	for _, l := range s.Lines {
		row(w, formatTime(l.At), fmt.Sprintf("%+.1f ms", float64(l.SinceMicros)/microsPerMilli), l.VM, l.Text)
	}
	_, _ = fmt.Fprintf(w, "longest time without a new result: %s from %s on\n", s.LongestGap.Round(time.Millisecond), formatTime(s.GapFrom))
	for _, reason := range slices.Sorted(maps.Keys(s.Failures)) {
		_, _ = fmt.Fprintf(w, "failed attempts of its items, %s: %d\n", reason, s.Failures[reason])
	}
	if s.Scored > 0 {
		_, _ = fmt.Fprintf(w, "%d texts scored, the longest wait for a score: %s of item %s\n", s.Scored, s.LongestScoreWait, s.SlowestScore)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.ScoreFailures)) {
		_, _ = fmt.Fprintf(w, "failed score calls, %s: %d\n", reason, s.ScoreFailures[reason])
	}
	if s.Partial {
		_, _ = fmt.Fprintln(w, "partial: the acceptance of this step is not among the events; its outcome was unknown, or events are no longer retained or are on a VM that did not answer")
	}
	for _, line := range missingLines(s.Missing) {
		_, _ = fmt.Fprintln(w, line)
	}
}
