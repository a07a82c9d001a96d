package target

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
)

// newInstances returns n upstreams of one service.
func newInstances(n int) []Instance {
	list := make([]Instance, n)
	for i := range list {
		list[i] = newInstance(fmt.Sprintf("up-%04d", i), "x")
		list[i].Versions = map[string]int64{"m": 1}
	}
	return list
}

// Guards against copying the list of all upstreams for an entry that arrives unchanged.
func TestUnchangedEntryDoesNotCopyLists(t *testing.T) {
	list := newInstances(100)
	r := newTestRoster(list...)
	before := r.current.Load()
	r.Apply(ListedChange(list[7]))
	r.Replace(list)
	if r.current.Load() != before {
		t.Error("unchanged entries led to new lists")
	}
	cost := testing.AllocsPerRun(100, func() { r.Apply(ListedChange(list[7])) })
	if limit := 4.0; cost > limit {
		t.Errorf("an unchanged entry takes %.0f allocations, at most %.0f are allowed", cost, limit)
	}
}

// Guards against a start of the fleet whose cost grows with the square of its size: the
// registration of an upstream must not iterate over those registered before it.
func TestRegistrationsOfOnePageArePublishedOnce(t *testing.T) {
	const page = 50
	costOf := func(known int) float64 {
		list := newInstances(known + page)
		return testing.AllocsPerRun(5, func() {
			r := newTestRoster(list[:known]...)
			changes := make([]Change, 0, page)
			for _, info := range list[known:] {
				changes = append(changes, ListedChange(info))
			}
			r.Apply(changes...)
			if n := len(r.Upstreams("desk")); n != known+page {
				t.Fatalf("%d upstreams are listed, want %d", n, known+page)
			}
		}) - testing.AllocsPerRun(5, func() { newTestRoster(list[:known]...) })
	}
	few, many := costOf(100), costOf(3000)
	if many > 2*few {
		t.Errorf("a page of registrations takes %.0f allocations with 100 known upstreams and %.0f with 3000", few, many)
	}
}

// Guards against an upstream that is still listed under its old service after a change.
func TestChangedServiceMovesTheUpstream(t *testing.T) {
	r := newTestRoster(newInstance("a", "x"), newInstance("b", "x"))
	moved := newInstance("a", "x")
	moved.Service = "lookup"
	r.Apply(ListedChange(moved))
	if len(r.Upstreams("desk")) != 1 || len(r.Upstreams("lookup")) != 1 {
		t.Errorf("desk has %d upstreams and lookup %d, want 1 each", len(r.Upstreams("desk")), len(r.Upstreams("lookup")))
	}
}

// Guards against an upstream that occurs twice in a list, or in the lists of two services,
// when one page of changes contains it several times.
func TestUpstreamNamedTwiceInOnePageIsListedOnce(t *testing.T) {
	moved := newInstance("a", "x")
	moved.Service = "lookup"
	r := newTestRoster(newInstance("b", "x"))
	r.Apply(ListedChange(newInstance("a", "x")), ListedChange(moved))
	if len(r.Upstreams("desk")) != 1 || len(r.Upstreams("lookup")) != 1 {
		t.Errorf("desk has %d upstreams and lookup %d, want 1 each", len(r.Upstreams("desk")), len(r.Upstreams("lookup")))
	}
	r.Apply(ListedChange(newInstance("a", "x")), ListedChange(moved), ListedChange(newInstance("a", "x")))
	if len(r.Upstreams("desk")) != 2 || len(r.Upstreams("lookup")) != 0 {
		t.Errorf("desk has %d upstreams and lookup %d, want 2 and 0", len(r.Upstreams("desk")), len(r.Upstreams("lookup")))
	}
}

// Guards against a leak: entries of upstreams that never return must be removed.
func TestUnlistedIdleEntriesAreEvicted(t *testing.T) {
	r := newTestRoster(newInstance("a", "x"), newInstance("b", "x"))
	unlisted := r.Incarnation("a", 0)
	r.Apply(UnlistedChange("a"))
	unlisted.graceUntil.Store(time.Now().Add(-time.Second).UnixNano())
	r.Apply(ListedChange(newInstance("b", "x")))
	if r.Incarnation("a", 0) != nil || len(r.Upstreams("desk")) != 1 {
		t.Error("an unlisted upstream without requests is still known")
	}
}

// BenchmarkRegistrations measures the start of a fleet in which each upstream registers
// separately.
func BenchmarkRegistrations(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := newInstances(n)
			for b.Loop() {
				r := newTestRoster()
				for _, info := range list {
					r.Apply(ListedChange(info))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/upstream")
		})
	}
}

// BenchmarkRenewals measures the cost of an entry that arrives unchanged.
func BenchmarkRenewals(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := newInstances(n)
			r := newTestRoster(list...)
			for i := 0; b.Loop(); i++ {
				r.Apply(ListedChange(list[i%n]))
			}
		})
	}
}

// Guards against a line in the log of every VM for each of thousands of upstreams when the fleet
// starts.
func TestUpstreamsListedAtOnceGetOneEvent(t *testing.T) {
	for _, n := range []int{maxUpstreamEvents, 2 * maxUpstreamEvents, 4 * maxUpstreamEvents} {
		emitted := 0
		recorder := event.NewRecorder("vm", 256, event.NewClock(time.Now), zap.NewNop())
		recorder.Observe(func(e event.Record) {
			if e.Number == event.UpstreamListed {
				emitted++
			}
		})
		var list []Instance
		for i := range n {
			list = append(list, newInstance(fmt.Sprint("up-", i), "x"))
		}
		NewRoster(recorder).Replace(list)
		want := n
		if n > maxUpstreamEvents {
			want = 1
		}
		if emitted != want {
			t.Errorf("%d upstreams listed at once: %d events, want %d", n, emitted, want)
		}
	}
}

// Guards against upstreams that count as ended although they left as announced or are listed again.
func TestEndedUpstreamsAreThoseThatLeftWithoutNotice(t *testing.T) {
	list := newInstances(5)
	for i := range list {
		list[i].Started = 1
	}
	r := newTestRoster(list...)
	started := time.Now()
	leaving, restarted := list[1], list[2]
	leaving.Leaving, restarted.Started = true, 2
	r.Apply(UnlistedChange(list[0].ID), ListedChange(leaving), ListedChange(restarted), UnlistedChange(list[3].ID))
	r.Apply(UnlistedChange(leaving.ID), ListedChange(list[3]))
	var ended []string
	for _, e := range r.Ended(started, time.Now()) {
		ended = append(ended, fmt.Sprint(e.Info().ID, " ", e.Info().Started))
	}
	if want := []string{"up-0000 1", "up-0002 1"}; !slices.Equal(ended, want) {
		t.Errorf("ended: %q, want %q", ended, want)
	}
	if n := len(r.Ended(time.Now(), time.Now().Add(time.Second))) + len(r.Ended(started.Add(-time.Second), started)); n > 0 {
		t.Errorf("%d upstreams of another period", n)
	}
}
