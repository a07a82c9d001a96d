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

// Explanation is the account of one request.
type Explanation struct {
	Request string `json:"request"`
	Account string `json:"account"`
	// Attempts is how many dispatches are known.
	Attempts int `json:"attempts"`
	// Outcome is one of the outcomes below.
	Outcome string        `json:"outcome"`
	Lines   []ExplainLine `json:"lines"`
	// Partial is true when the request's first event is not among the kept ones,
	// so that attempts may lack.
	Partial bool `json:"partial"`
	// Missing names VMs that did not answer; what they did is not told.
	Missing []string `json:"missing"`

	// seen holds the upstreams of the request's events.
	seen map[string]bool
}

// ExplainLine is one thing that happened to a request, or to an upstream while
// it worked on the request.
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
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeScored   = "scored"
	outcomeGivenUp  = "given up"
	outcomeNotKnown = "not known"
)

func (a *App) explainCommand() {
	command := a.kingpin.Command("explain", "Tell what happened to one request, step or item of a step, and why.")
	id := command.Arg("id", "The request's ID, as in X-Request-Id, or that of the step or item.").Required().String()
	logs := logsFlag(command)
	command.Action(func(*kingpin.ParseContext) error {
		ask, err := a.source(*logs)
		if err != nil {
			return err
		}
		return a.explain(*id, ask)
	})
}

func (a *App) explain(request string, ask source) error {
	own, err := ask(event.Query{Request: request})
	if err == nil && len(own.Events) == 0 {
		own, err = askItem(request, ask)
	}
	if err != nil {
		return err
	}
	told := explain(request, own.Events, own.Missing)
	if len(told.Lines) == 0 {
		step, ok, err := explainStep(request, ask)
		if err != nil {
			return err
		}
		if !ok {
			return errors.WithStack(&fault.RequestUnknown{Request: request, Missing: own.Missing})
		}
		return a.show(step, func(w io.Writer) { stepTable(w, step) })
	}
	if upstreams := told.upstreams(); len(upstreams) > 0 {
		others, err := ask(event.Query{Upstreams: upstreams, Numbers: upstreamEvents(), After: own.Events[0].Stamp})
		if err != nil {
			return err
		}
		told = explain(request, merge(own.Events, others.Events), own.Missing)
	}
	if told.Outcome == outcomeNotKnown {
		around, err := ask(event.Query{Numbers: aroundVM, After: own.Events[0].Stamp})
		if err != nil {
			return err
		}
		told.befell(around.Events, own.Events[0])
	}
	return a.show(told, func(w io.Writer) { explainTable(w, told) })
}

// askItem returns the events of an item of a step: those of its runs, and those of the
// calls for its score, which bear IDs of their own.
func askItem(item string, ask source) (operator.EventsAnswer, error) {
	own, err := ask(event.Query{Slot: item})
	if err != nil {
		return own, err
	}
	for _, call := range slices.Sorted(maps.Keys(callsOf(item, own.Events))) {
		sent, err := ask(event.Query{Request: call, Numbers: []event.Number{event.RequestDispatched, event.AttemptFailed}})
		if err != nil {
			return own, err
		}
		own.Events = merge(own.Events, sent.Events)
	}
	return own, nil
}

// callsOf returns the IDs of the calls for an item's score.
func callsOf(item string, line []event.Record) map[string]bool {
	calls := make(map[string]bool)
	for _, e := range line {
		if e.Slot == item && e.Request != "" {
			calls[e.Request] = true
		}
	}
	return calls
}

// The numbers of events about upstreams themselves.
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

// merge returns the events of two lines in their order.
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

// upstreams lists the upstreams that worked on the request.
func (x *Explanation) upstreams() []string {
	return slices.Sorted(maps.Keys(x.seen))
}

func explainTable(w io.Writer, e Explanation) {
	_, _ = fmt.Fprintf(w, "request %s of client account %s: %s, attempts: %d\n", e.Request, orNone(e.Account), e.Outcome, e.Attempts)
	for _, l := range e.Lines {
		row(w, clock(l.At), fmt.Sprintf("+%.1f ms", float64(l.SinceMicros)/microsPerMilli), l.VM, l.Text)
	}
	if e.Partial {
		_, _ = fmt.Fprintln(w, "partial: the first events of this request are not kept any more, or are on a VM that did not answer")
	}
	for _, line := range missingLines(e.Missing) {
		_, _ = fmt.Fprintln(w, line)
	}
}

const microsPerMilli = 1000

// explain picks the events of a request or an item of a step, and those of its
// upstreams while it ran, from a time line in order.
func explain(request string, line []event.Record, missing []string) Explanation {
	told := Explanation{Request: request, Outcome: outcomeNotKnown, Lines: []ExplainLine{}, Missing: missing, seen: map[string]bool{}}
	var start event.Stamp
	calls := callsOf(request, line)
	for _, e := range line {
		if e.Request == request || e.Slot == request || calls[e.Request] {
			if len(told.Lines) == 0 {
				start = e.Stamp
				told.Partial = !begins(e)
			}
			told.take(e, start)
			if e.Upstream != "" {
				told.seen[e.Upstream] = true
			}
			continue
		}
		if e.Request == "" && told.seen[e.Upstream] && told.Outcome == outcomeNotKnown && !listedElsewhere(e, line) {
			told.add(e, start)
		}
	}
	return told
}

// listedElsewhere reports whether an event is only another VM's view of the platform's
// list: each VM tells of each upstream that comes and goes.
func listedElsewhere(e event.Record, line []event.Record) bool {
	switch e.Number {
	case event.UpstreamListed, event.UpstreamUnlisted, event.UpstreamLeaving:
		return e.VM != line[0].VM
	}
	return false
}

// begins reports whether an event is the first of its request. The generations of a
// step have no caller, and requests that are only sent on are not announced, so that
// their first event is a dispatch.
func begins(e event.Record) bool {
	return e.Number == event.RequestAccepted || e.Number == event.RequestRefused ||
		e.Number == event.RequestDispatched && e.Attempt == 1
}

// take adds an event of the request itself.
func (x *Explanation) take(e event.Record, start event.Stamp) {
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
		x.Outcome = outcomeGivenUp
	}
	x.add(e, start)
}

func (x *Explanation) add(e event.Record, start event.Stamp) {
	x.Lines = append(x.Lines, ExplainLine{
		At:          stampTime(e.Stamp),
		SinceMicros: e.Stamp.WallMicros - start.WallMicros,
		VM:          e.VM,
		Number:      e.Number,
		Text:        sentence(e),
	})
}

// befell adds what happened to the VM of a request that has no end, up to the VM's
// next process.
func (x *Explanation) befell(around []event.Record, first event.Record) {
	for _, e := range around {
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

// sentence tells an event in words.
func sentence(e event.Record) string {
	switch e.Number {
	case event.RequestAccepted:
		return "the caller's key was accepted"
	case event.RequestDispatched:
		return fmt.Sprintf("attempt %d goes to upstream %s", e.Attempt, e.Upstream)
	case event.StreamResumed:
		return fmt.Sprintf("the stream goes on at upstream %s after %d tokens", e.Upstream, e.Count)
	case event.AttemptFailed:
		if e.Slot != "" {
			return fmt.Sprintf("a run at upstream %s failed: %s", e.Upstream, e.Detail)
		}
		return fmt.Sprintf("attempt %d at upstream %s failed: %s", e.Attempt, e.Upstream, e.Detail)
	case event.RequestAnswered:
		return fmt.Sprintf("the caller got the whole answer (%d tokens)", e.Count)
	case event.RequestRefused:
		return fmt.Sprintf("the caller got a refusal: %s", e.Detail)
	case event.SampleScored:
		return fmt.Sprintf("call %s returned the score %d ms after the text was whole, made by upstream %s", e.Request, e.Count, e.Upstream)
	case event.ClaimStored:
		return "the claim of the idempotency key was stored"
	default:
		return fmt.Sprintf("%s %s: %s", e.Number, e.Name, describe(e.Subject))
	}
}
