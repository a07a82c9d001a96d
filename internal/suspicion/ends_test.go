package suspicion

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/target"
)

const service = "lm"

// newRoster returns a roster of engines that started at 1, listed under their IDs as addresses.
func newRoster(ids ...string) *target.Roster {
	r := target.NewRoster(event.NewRecorder("a", 16, event.NewClock(time.Now), zap.NewNop()))
	for _, id := range ids {
		r.Apply(target.ListedChange(target.Instance{ID: id, Service: service, Address: id, Slots: 4, Started: 1}))
	}
	return r
}

// restart lists the next incarnation of an engine, whose connections had ended at a time.
func restart(r *target.Roster, id string, disconnectedAt time.Time) {
	r.Incarnation(id, 1).NoteDisconnected(disconnectedAt, false)
	r.Apply(target.ListedChange(target.Instance{ID: id, Service: service, Address: id, Slots: 4, Started: 2}))
}

// Guards against an end under a request that no longer counts because other engines ended at the same moment: the request
// may have ended them all.
func TestEndTogetherWithOthersCounts(t *testing.T) {
	r, l, began := newRoster("e1", "e2", "e3"), NewLedger(), time.Now()
	end := began.Add(time.Second)
	l.Begin(request, first, began)
	l.AddLost(request, first, service, end)
	for _, id := range []string{"e1", "e2", "e3"} {
		restart(r, id, end)
	}
	for _, later := range []time.Duration{0, settlePeriod, maxSettlePeriod, outlookPeriod} {
		l.OutlookOf(service, r, end.Add(later))
		if l.Count(request) != 1 {
			t.Errorf("%d ends count %s later, want 1", l.Count(request), later)
		}
	}
}

// Guards against a last attempt that begins while engines crash, and against one that waits for engines which answer.
func TestOutlookOfService(t *testing.T) {
	r, l, now := newRoster("e1", "e2", "e3", "e4"), NewLedger(), time.Now()
	check := func(want float64, at time.Time) {
		t.Helper()
		if got := l.OutlookOf(service, r, at).Risk(0); got != want {
			t.Errorf("risk %g, want %g", got, want)
		}
	}
	check(0, now)
	r.Incarnation("e1", 1).NoteDisconnected(now, false)
	check(0.25, now)
	check(0, now.Add(settlePeriod))
	r.Incarnation("e2", 1).NoteDisconnected(now, false)
	check(0.5, now)
	check(0.5, now.Add(burstSettlePeriod-time.Millisecond))
	check(0, now.Add(burstSettlePeriod))
	later := now.Add(outlookPeriod)
	check(0, later)
	l.AddLost(request, target.Incarnation{Upstream: "e3", Started: 1}, service, later)
	check(0.25, later)
	r.Incarnation("e3", 1).NoteLoad(target.Load{}, later.Add(time.Millisecond))
	check(0, later.Add(2*time.Millisecond))
}

// Guards against last attempts that wait for each other although engines also end where the item did not run, and against
// one beside an item that may end several engines.
func TestRequestsThatMayEndSeveralUpstreams(t *testing.T) {
	r, l, now := newRoster("e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"), NewLedger(), time.Now()
	incarnation := func(id string) target.Incarnation { return target.Incarnation{Upstream: id, Started: 1} }
	end := func(at time.Time, ids ...string) {
		for _, id := range ids {
			r.Incarnation(id, 1).NoteDisconnected(at, false)
		}
	}
	check := func(want bool, request Request, at time.Time) {
		t.Helper()
		if got := l.MayEndSeveral(request, l.OutlookOf(service, r, at)); got != want {
			t.Errorf("%s may end several upstreams: %t, want %t", request.ID, got, want)
		}
	}
	other := Request{Account: "a", ID: "other"}
	l.AddLost(request, first, service, now)
	check(false, request, now)
	end(now, "e1", "e2")
	check(true, request, now)
	second := now.Add(time.Second)
	end(second, "e3", "e4")
	l.AddLost(other, incarnation("e3"), service, second)
	check(false, request, second)
	check(false, other, second)
	l.Observe([]rowstore.Row{row(t, 1, Record{Suspicion: Suspicion{other, incarnation("e1")}})}, second)
	check(true, other, second)
}
