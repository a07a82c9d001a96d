package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/operator"
)

// eventsRoute returns the path of the call that queries events.
func eventsRoute(q event.Query) string {
	values := url.Values{}
	add := func(name, value string) {
		if value != "" {
			values.Add(name, value)
		}
	}
	add(operator.ParameterRequest, q.Request)
	add(operator.ParameterStep, q.Step)
	add(operator.ParameterLease, q.Lease)
	add(operator.ParameterAccount, q.Account)
	for _, upstream := range q.Upstreams {
		add(operator.ParameterUpstream, upstream)
	}
	for _, number := range q.Numbers {
		add(operator.ParameterEvent, strconv.Itoa(int(number)))
	}
	if q.After != (event.Stamp{}) {
		add(operator.ParameterAfter, q.After.String())
	}
	return "/v1/events?" + values.Encode()
}

func (a *App) timelineCommand() {
	command := a.kingpin.Command("timeline", "Show the events of all VMs, ordered so that each follows its causes.")
	request := command.Flag("request", "Only this request.").String()
	step := command.Flag("step", "Only this step.").String()
	lease := command.Flag("lease", "Only this lease.").String()
	account := command.Flag("account", "Only this client account.").String()
	since := command.Flag("since", "How far back the events go, for example 5m.").Duration()
	follow := command.Flag("follow", "Print new events until Ctrl-C.").Bool()
	logs := logsFlag(command)
	command.Action(func(*kingpin.ParseContext) error {
		query := event.Query{Request: *request, Step: *step, Lease: *lease, Account: *account}
		if *since > 0 {
			query.After = event.Stamp{WallMicros: time.Now().Add(-*since).UnixMicro()}
		}
		if *follow {
			return a.follow(query)
		}
		queryEvents, err := a.eventSource(*logs)
		if err != nil {
			return err
		}
		return a.timeline(query, queryEvents)
	})
}

func (a *App) timeline(query event.Query, queryEvents eventSource) error {
	answer, err := queryEvents(query)
	if err != nil {
		return err
	}
	return a.show(answer, func(w io.Writer) {
		for _, e := range answer.Events {
			eventRow(w, e)
		}
		for _, line := range missingLines(answer.Missing) {
			_, _ = fmt.Fprintln(w, line)
		}
	})
}

func eventRow(w io.Writer, e event.Record) {
	row(w, formatTime(stampTime(e.Stamp)), e.Stamp, e.VM, e.Number, e.Name, formatSubject(e.Subject))
}

// missingLines returns a line for each VM that did not answer. Without such a line the VM
// would look as if nothing had happened on it.
func missingLines(missing []string) []string {
	var lines []string
	for _, vm := range missing {
		lines = append(lines, fmt.Sprintf("missing: VM %s did not answer; its events are not shown", vm))
	}
	return lines
}

const (
	followInterval = time.Second
	// followOverlap is the span of time before the newest event that each poll queries
	// again, since an event of one VM may arrive after later events of other VMs.
	followOverlap = 5 * time.Second
)

// follow polls for events and prints new ones. It returns only on an error.
func (a *App) follow(query event.Query) error {
	printed := newFollower()
	for {
		answer, err := a.eventsFromVMs(query)
		if err != nil {
			return err
		}
		for _, e := range printed.unseen(answer.Events) {
			if err := a.printEvent(e); err != nil {
				return err
			}
		}
		for _, vm := range printed.newlyMissing(answer.Missing) {
			a.note("%s", missingLines([]string{vm})[0])
		}
		query.After = printed.after(query.After)
		time.Sleep(followInterval)
	}
}

// printEvent prints one event: a row for people, or one line of JSON.
func (a *App) printEvent(e event.Record) error {
	if *a.output == outputJSON {
		return outputError(json.NewEncoder(a.out).Encode(e))
	}
	return a.show(e, func(w io.Writer) { eventRow(w, e) })
}

// eventID identifies an event.
type eventID struct {
	vm    string
	stamp event.Stamp
}

// follower records which events were printed and which VMs were reported as missing.
type follower struct {
	seen    map[eventID]bool
	missing map[string]bool
	newest  event.Stamp
}

func newFollower() *follower {
	return &follower{seen: map[eventID]bool{}, missing: map[string]bool{}}
}

// unseen returns the events that no earlier call has returned.
func (f *follower) unseen(events []event.Record) []event.Record {
	var unseen []event.Record
	for _, e := range events {
		id := eventID{vm: e.VM, stamp: e.Stamp}
		if f.seen[id] {
			continue
		}
		f.seen[id] = true
		unseen = append(unseen, e)
		if f.newest.Before(e.Stamp) {
			f.newest = e.Stamp
		}
	}
	return unseen
}

// newlyMissing returns the VMs that are missing now and were not at the previous call.
func (f *follower) newlyMissing(missing []string) []string {
	now := map[string]bool{}
	var newlyMissing []string
	for _, vm := range missing {
		now[vm] = true
		if !f.missing[vm] {
			newlyMissing = append(newlyMissing, vm)
		}
	}
	f.missing = now
	return newlyMissing
}

// after returns the stamp at which the next query starts, which is not before start, and
// drops the IDs of events before that stamp.
func (f *follower) after(start event.Stamp) event.Stamp {
	next := event.Stamp{WallMicros: f.newest.WallMicros - followOverlap.Microseconds()}
	if next.Before(start) {
		return start
	}
	for id := range f.seen {
		if id.stamp.Before(next) {
			delete(f.seen, id)
		}
	}
	return next
}

// formatSubject formats the non-empty fields of a subject as name=value.
func formatSubject(s event.Subject) string {
	var parts []string
	text := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	number := func(name string, value int64) {
		if value != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", name, value))
		}
	}
	text("request", s.Request)
	text("account", s.Account)
	text("step", s.Step)
	text("slot", s.Slot)
	text("lease", s.Lease)
	text("upstream", s.Upstream)
	text("peer", s.Peer)
	number("revision", int64(s.Revision))
	number("epoch", int64(s.Epoch))
	number("attempt", int64(s.Attempt))
	number("count", s.Count)
	number("incarnation", s.Incarnation)
	number("position", s.Position)
	text("detail", s.Detail)
	return strings.Join(parts, " ")
}
