package ctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/operator"
)

// Explanation describes what happened to a request, or to an item of a step.
type Explanation struct {
	Request string `json:"request"`
	Account string `json:"account"`
	// Attempts counts the dispatched attempts found in the events.
	Attempts int `json:"attempts"`
	// Outcome is one of the outcome constants.
	Outcome string        `json:"outcome"`
	Lines   []ExplainLine `json:"lines"`
	// Partial is true if the request's first event was not found, so that attempts may be
	// missing.
	Partial bool `json:"partial"`
	// Missing lists the VMs that did not answer; Lines contains none of their events.
	Missing []string `json:"missing"`

	// seen is the set of the upstreams named in the request's events.
	seen map[string]bool
}

// ExplainLine is an event of a request, or of an upstream or VM while it processed the
// request.
type ExplainLine struct {
	At time.Time `json:"at"`
	// SinceMicros is the time since the request's first event.
	SinceMicros int64        `json:"sinceMicros"`
	VM          string       `json:"vm"`
	Number      event.Number `json:"number"`
	Text        string       `json:"text"`
}

// The values of Explanation.Outcome.
const (
	outcomeAnswered  = "answered"
	outcomeRefused   = "refused"
	outcomeScored    = "scored"
	outcomeAbandoned = "given up"
	outcomeNotKnown  = "not known"
)

func (a *App) explainCommand() {
	command := a.kingpin.Command("explain", "Show what happened to a request, a step or an item of a step, and why.")
	id := command.Arg("id", "The ID of the request (as in X-Request-Id), of the step or of the item.").Required().String()
	logs := logsFlag(command)
	command.Action(func(*kingpin.ParseContext) error {
		queryEvents, err := a.eventSource(*logs)
		if err != nil {
			return err
		}
		return a.explain(*id, queryEvents)
	})
}

func (a *App) explain(request string, queryEvents eventSource) error {
	own, err := queryEvents(event.Query{Request: request})
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(own.Events, isDispatch) {
		step, ok, err := explainStep(request, own.Events, queryEvents)
		if err != nil {
			return err
		}
		if ok {
			return a.show(step, func(w io.Writer) { stepTable(w, step) })
		}
	}
	if len(own.Events) == 0 {
		if own, err = itemEvents(request, queryEvents); err != nil {
			return err
		}
	}
	explanation := explain(request, own.Events, own.Missing)
	if len(explanation.Lines) == 0 {
		return errors.WithStack(&fault.RequestUnknown{Request: request, Missing: own.Missing})
	}
	if upstreams := explanation.upstreams(); len(upstreams) > 0 {
		related, err := queryEvents(event.Query{Upstreams: upstreams, Numbers: upstreamEvents(), After: own.Events[0].Stamp})
		if err != nil {
			return err
		}
		explanation = explain(request, merge(own.Events, related.Events), own.Missing)
	}
	if explanation.Outcome == outcomeNotKnown {
		disruptions, err := queryEvents(event.Query{Numbers: disruptionEvents, After: own.Events[0].Stamp})
		if err != nil {
			return err
		}
		explanation.addDisruptions(disruptions.Events, own.Events[0])
	}
	return a.show(explanation, func(w io.Writer) { explainTable(w, explanation) })
}

// isDispatch reports whether an event is the dispatch of an attempt.
func isDispatch(e event.Record) bool { return e.Number == event.RequestDispatched }

// itemEvents returns the events of an item of a step: those of its attempts, and those of
// its score calls, which have request IDs of their own.
func itemEvents(item string, queryEvents eventSource) (operator.EventsAnswer, error) {
	own, err := queryEvents(event.Query{Slot: item})
	if err != nil {
		return own, err
	}
	for _, call := range slices.Sorted(maps.Keys(callsOf(item, own.Events))) {
		sent, err := queryEvents(event.Query{Request: call, Numbers: []event.Number{event.RequestDispatched, event.AttemptFailed}})
		if err != nil {
			return own, err
		}
		own.Events = merge(own.Events, sent.Events)
	}
	return own, nil
}

// callsOf returns the set of the request IDs of an item's score calls.
func callsOf(item string, events []event.Record) map[string]bool {
	calls := make(map[string]bool)
	for _, e := range events {
		if e.Slot == item && e.Request != "" {
			calls[e.Request] = true
		}
	}
	return calls
}

// Range of the numbers of events about upstreams.
const (
	firstUpstreamEvent event.Number = 1500
	lastUpstreamEvent  event.Number = 1599
)

func upstreamEvents() []event.Number {
	numbers := []event.Number{event.CircuitOpened, event.CircuitClosed}
	for _, d := range event.Catalogue {
		if d.Number >= firstUpstreamEvent && d.Number <= lastUpstreamEvent {
			numbers = append(numbers, d.Number)
		}
	}
	return numbers
}

// merge returns the events of two lists in the order of their stamps.
func merge(a, b []event.Record) []event.Record {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y event.Record) int {
		switch {
		case x.Stamp.Before(y.Stamp):
			return -1
		case y.Stamp.Before(x.Stamp):
			return 1
		default:
			return 0
		}
	})
	return all
}

// upstreams lists the upstreams named in the request's events, sorted.
func (x *Explanation) upstreams() []string {
	return slices.Sorted(maps.Keys(x.seen))
}

func explainTable(w io.Writer, e Explanation) {
	_, _ = fmt.Fprintf(w, "request %s of client account %s: %s, attempts: %d\n", e.Request, orDash(e.Account), e.Outcome, e.Attempts)
	for _, l := range e.Lines {
		row(w, formatTime(l.At), fmt.Sprintf("%+.1f ms", float64(l.SinceMicros)/microsPerMilli), l.VM, l.Text)
	}
	if e.Partial {
		_, _ = fmt.Fprintln(w, "partial: the first events of this request are no longer retained, or are on a VM that did not answer")
	}
	for _, line := range missingLines(e.Missing) {
		_, _ = fmt.Fprintln(w, line)
	}
}

const microsPerMilli = 1000

// explain selects from events, which must be in order, those of a request or an item of a
// step and those of its upstreams before its outcome.
func explain(request string, events []event.Record, missing []string) Explanation {
	explanation := Explanation{Request: request, Outcome: outcomeNotKnown, Lines: []ExplainLine{}, Missing: missing, seen: map[string]bool{}}
	var start event.Stamp
	calls := callsOf(request, events)
	for _, e := range events {
		if e.Request == request || e.Slot == request || calls[e.Request] {
			if len(explanation.Lines) == 0 {
				start = e.Stamp
				explanation.Partial = !isFirstEvent(e)
			}
			explanation.addOwn(e, start)
			if e.Upstream != "" {
				explanation.seen[e.Upstream] = true
			}
			continue
		}
		if e.Request == "" && explanation.seen[e.Upstream] && explanation.Outcome == outcomeNotKnown && !isDuplicateListing(e, events) {
			explanation.add(e, start)
		}
	}
	return explanation
}

// isDuplicateListing reports whether an event records a change of the platform's list of
// upstreams on another VM than that of the first event. Each VM records all these changes;
// the explanation shows only those that the VM of the first event recorded.
func isDuplicateListing(e event.Record, events []event.Record) bool {
	switch e.Number {
	case event.UpstreamListed, event.UpstreamUnlisted, event.UpstreamLeaving:
		return e.VM != events[0].VM
	}
	return false
}

// isFirstEvent reports whether an event is the first of its request. Items of a step and
// requests that are only forwarded have no RequestAccepted event; their first event is the
// end of a wait for capacity or the dispatch of the first attempt.
func isFirstEvent(e event.Record) bool {
	return e.Number == event.RequestAccepted || e.Number == event.RequestRefused || e.Number == event.RequestQueued || e.Number == event.RequestShed ||
		e.Number == event.RequestDispatched && e.Attempt == 1
}

// addOwn adds an event of the request itself and updates the outcome.
func (x *Explanation) addOwn(e event.Record, start event.Stamp) {
	if e.Account != "" {
		x.Account = e.Account
	}
	switch e.Number {
	case event.RequestDispatched:
		x.Attempts++
	case event.RequestAnswered:
		x.Outcome = outcomeAnswered
	case event.RequestRefused:
		x.Outcome = outcomeRefused
	case event.SampleScored:
		x.Outcome = outcomeScored
	case event.ItemAbandoned:
		x.Outcome = outcomeAbandoned
	}
	x.add(e, start)
}

func (x *Explanation) add(e event.Record, start event.Stamp) {
	x.Lines = append(x.Lines, ExplainLine{
		At:          stampTime(e.Stamp),
		SinceMicros: e.Stamp.WallMicros - start.WallMicros,
		VM:          e.VM,
		Number:      e.Number,
		Text:        describeEvent(e),
	})
}

// addDisruptions adds the disruption events of the VM of the request's first event, up to
// the next start of that VM's process. They may explain why the request has no outcome.
func (x *Explanation) addDisruptions(disruptions []event.Record, first event.Record) {
	for _, e := range disruptions {
		if e.VM != first.VM {
			continue
		}
		x.add(e, first.Stamp)
		if e.Number == event.ProcessStarted {
			break
		}
	}
	slices.SortStableFunc(x.Lines, func(a, b ExplainLine) int { return cmp.Compare(a.SinceMicros, b.SinceMicros) })
}

// describeEvent describes an event in one sentence.
func describeEvent(e event.Record) string {
	switch e.Number {
	case event.RequestAccepted:
		return "the caller's key was accepted"
	case event.RequestDispatched:
		return fmt.Sprintf("attempt %d goes to upstream %s", e.Attempt, e.Upstream)
	case event.StreamResumed:
		return fmt.Sprintf("the stream is resumed at upstream %s after %d tokens", e.Upstream, e.Count)
	case event.AttemptFailed:
		if e.Slot != "" {
			return fmt.Sprintf("an attempt at upstream %s failed: %s", e.Upstream, e.Detail)
		}
		return fmt.Sprintf("attempt %d at upstream %s failed: %s", e.Attempt, e.Upstream, e.Detail)
	case event.AttemptCanceled:
		return fmt.Sprintf("the attempt at upstream %s was canceled: %s", e.Upstream, e.Detail)
	case event.RequestAnswered:
		return fmt.Sprintf("the caller received the complete answer (%d tokens)", e.Count)
	case event.RequestQueued:
		return fmt.Sprintf("the request waited %d ms for capacity of service %s", e.Count, e.Detail)
	case event.RequestShed:
		return fmt.Sprintf("the request was shed (%s); the expected wait was %d ms", e.Detail, e.Count)
	case event.RequestRefused:
		return fmt.Sprintf("the caller got a refusal: %s", e.Detail)
	case event.SampleScored:
		return fmt.Sprintf("call %s returned the score %d ms after the text was complete; upstream %s generated the text", e.Request, e.Count, e.Upstream)
	case event.ClaimStored:
		return "the claim of the idempotency key was stored"
	default:
		return fmt.Sprintf("%s %s: %s", e.Number, e.Name, formatSubject(e.Subject))
	}
}
