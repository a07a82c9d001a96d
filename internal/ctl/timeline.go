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

// eventsRoute is the path of a query of events.
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
	command := a.kingpin.Command("timeline", "Show the events of all processes, each after its causes.")
	request := command.Flag("request", "Only this request.").String()
	step := command.Flag("step", "Only this step.").String()
	lease := command.Flag("lease", "Only this lease.").String()
	account := command.Flag("account", "Only this client account.").String()
	since := command.Flag("since", "Only the latest events, for example 5m.").Duration()
	follow := command.Flag("follow", "Go on until Ctrl-C.").Bool()
	logs := logsFlag(command)
	command.Action(func(*kingpin.ParseContext) error {
		query := event.Query{Request: *request, Step: *step, Lease: *lease, Account: *account}
		if *since > 0 {
			query.After = event.Stamp{WallMicros: time.Now().Add(-*since).UnixMicro()}
		}
		if *follow {
			return a.follow(query)
		}
		ask, err := a.source(*logs)
		if err != nil {
			return err
		}
		return a.timeline(query, ask)
	})
}

func (a *App) timeline(query event.Query, ask source) error {
	answer, err := ask(query)
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
	row(w, clock(stampTime(e.Stamp)), e.Stamp, e.VM, e.Number, e.Name, describe(e.Subject))
}

// missingLines name the VMs whose events lack, so that nobody takes their
// silence for proof that nothing happened there.
func missingLines(missing []string) []string {
	var lines []string
	for _, vm := range missing {
		lines = append(lines, fmt.Sprintf("missing: VM %s did not answer; its events are not shown", vm))
	}
	return lines
}

const (
	followPeriod = time.Second
	// followOverlap is read again at each turn, since an event of another VM
	// may come in after later ones.
	followOverlap = 5 * time.Second
)

// follow prints events as they come. It never returns but by a failure.
func (a *App) follow(query event.Query) error {
	line := newFollower()
	for {
		answer, err := a.eventsOfVMs(query)
		if err != nil {
			return err
		}
		for _, e := range line.fresh(answer.Events) {
			if err := a.followed(e); err != nil {
				return err
			}
		}
		for _, vm := range line.lost(answer.Missing) {
			a.note("%s", missingLines([]string{vm})[0])
		}
		query.After = line.after(query.After)
		time.Sleep(followPeriod)
	}
}

// followed prints one event: a row for people, or one line of JSON.
func (a *App) followed(e event.Record) error {
	if *a.output == outputJSON {
		return outputFailure(json.NewEncoder(a.out).Encode(e))
	}
	return a.show(e, func(w io.Writer) { eventRow(w, e) })
}

// mark tells one event from all others.
type mark struct {
	vm    string
	stamp event.Stamp
}

// follower remembers which events were printed.
type follower struct {
	seen    map[mark]bool
	missing map[string]bool
	newest  event.Stamp
}

func newFollower() *follower {
	return &follower{seen: map[mark]bool{}, missing: map[string]bool{}}
}

// fresh returns the events that were not returned before.
func (f *follower) fresh(events []event.Record) []event.Record {
	var fresh []event.Record
	for _, e := range events {
		m := mark{vm: e.VM, stamp: e.Stamp}
		if f.seen[m] {
			continue
		}
		f.seen[m] = true
		fresh = append(fresh, e)
		if f.newest.Before(e.Stamp) {
			f.newest = e.Stamp
		}
	}
	return fresh
}

// lost returns the VMs that are missing now and were not before.
func (f *follower) lost(missing []string) []string {
	now := map[string]bool{}
	var lost []string
	for _, vm := range missing {
		now[vm] = true
		if !f.missing[vm] {
			lost = append(lost, vm)
		}
	}
	f.missing = now
	return lost
}

// after returns where the next turn starts and forgets what lies before it.
func (f *follower) after(start event.Stamp) event.Stamp {
	next := event.Stamp{WallMicros: f.newest.WallMicros - followOverlap.Microseconds()}
	if next.Before(start) {
		return start
	}
	for m := range f.seen {
		if m.stamp.Before(next) {
			delete(f.seen, m)
		}
	}
	return next
}

// describe shows the non-empty fields of a subject as name=value.
func describe(s event.Subject) string {
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
	text("detail", s.Detail)
	return strings.Join(parts, " ")
}
