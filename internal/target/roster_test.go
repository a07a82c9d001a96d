package target

import (
	"fmt"
	"testing"
	"time"
)

// fleetOf returns the entries of a number of upstreams.
func fleetOf(n int) []Instance {
	list := make([]Instance, n)
	for i := range list {
		list[i] = up(fmt.Sprintf("up-%04d", i), "x")
		list[i].Versions = map[string]int64{"m": 1}
	}
	return list
}

// Guards against entries that arrive unchanged costing a new list of all upstreams.
func TestUnchangedEntryLeavesListsAlone(t *testing.T) {
	list := fleetOf(100)
	r := newTestRoster(list...)
	before := r.current.Load()
	r.Apply(Listed(list[7]))
	r.Replace(list)
	if r.current.Load() != before {
		t.Error("unchanged entries made new lists")
	}
	cost := testing.AllocsPerRun(100, func() { r.Apply(Listed(list[7])) })
	if limit := 4.0; cost > limit {
		t.Errorf("an unchanged entry takes %.0f allocations, at most %.0f are allowed", cost, limit)
	}
}

// Guards against a start whose cost grows with the square of the fleet: each upstream
// that registers must not cost a pass over those before it.
func TestRegistrationsOfOnePageAreListedTogether(t *testing.T) {
	const page = 50
	costOf := func(known int) float64 {
		list := fleetOf(known + page)
		return testing.AllocsPerRun(5, func() {
			r := newTestRoster(list[:known]...)
			changes := make([]Change, 0, page)
			for _, info := range list[known:] {
				changes = append(changes, Listed(info))
			}
			r.Apply(changes...)
			if n := len(r.Service("desk")); n != known+page {
				t.Fatalf("%d upstreams are listed, want %d", n, known+page)
			}
		}) - testing.AllocsPerRun(5, func() { newTestRoster(list[:known]...) })
	}
	few, many := costOf(100), costOf(3000)
	if many > 2*few {
		t.Errorf("a page of registrations takes %.0f allocations beside 100 upstreams and %.0f beside 3000", few, many)
	}
}

// Guards against an upstream that is found under its old service after it moved.
func TestChangedServiceMovesTheUpstream(t *testing.T) {
	r := newTestRoster(up("a", "x"), up("b", "x"))
	moved := up("a", "x")
	moved.Service = "lookup"
	r.Apply(Listed(moved))
	if len(r.Service("desk")) != 1 || len(r.Service("lookup")) != 1 {
		t.Errorf("desk has %d upstreams and lookup %d, want 1 each", len(r.Service("desk")), len(r.Service("lookup")))
	}
}

// Guards against an upstream that stands twice in a list, or in two, when one page of
// changes names it several times.
func TestUpstreamNamedTwiceInOnePageIsListedOnce(t *testing.T) {
	moved := up("a", "x")
	moved.Service = "lookup"
	r := newTestRoster(up("b", "x"))
	r.Apply(Listed(up("a", "x")), Listed(moved))
	if len(r.Service("desk")) != 1 || len(r.Service("lookup")) != 1 {
		t.Errorf("desk has %d upstreams and lookup %d, want 1 each", len(r.Service("desk")), len(r.Service("lookup")))
	}
	r.Apply(Listed(up("a", "x")), Listed(moved), Listed(up("a", "x")))
	if len(r.Service("desk")) != 2 || len(r.Service("lookup")) != 0 {
		t.Errorf("desk has %d upstreams and lookup %d, want 2 and 0", len(r.Service("desk")), len(r.Service("lookup")))
	}
}

// Guards against entries of upstreams that are gone for good piling up.
func TestGoneAndUnusedEntriesAreForgotten(t *testing.T) {
	r := newTestRoster(up("a", "x"), up("b", "x"))
	gone := r.Life("a", 0)
	r.Apply(Unlisted("a"))
	gone.goneUntil.Store(time.Now().Add(-time.Second).UnixNano())
	r.Apply(Listed(up("b", "x")))
	if r.Life("a", 0) != nil || len(r.Service("desk")) != 1 {
		t.Error("a gone and unused upstream is still known")
	}
}

// BenchmarkRegistrations is the start of a fleet: each upstream registers alone.
func BenchmarkRegistrations(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := fleetOf(n)
			for b.Loop() {
				r := newTestRoster()
				for _, info := range list {
					r.Apply(Listed(info))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/upstream")
		})
	}
}

// BenchmarkRenewals is the cost of an entry that says nothing new.
func BenchmarkRenewals(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := fleetOf(n)
			r := newTestRoster(list...)
			for i := 0; b.Loop(); i++ {
				r.Apply(Listed(list[i%n]))
			}
		})
	}
}
