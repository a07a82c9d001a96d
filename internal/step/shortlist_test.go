package step

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// newShortlistRun returns a run on a VM that knows a number of engines, and a need of its items.
func newShortlistRun(engines int) (*run, need) {
	m := &Manager{Config: Config{VM: "vm", Roster: engineRoster(engines, 6)}}
	return &run{m: m}, need{service: "lm", model: "m", minVersion: 5, domain: "x"}
}

// Guards against checks of an attempt's speed that consider all engines: with thousands of
// engines, the checks of one step would take seconds.
func TestCostOfSpeedChecksDoesNotGrowWithEngines(t *testing.T) {
	for _, engines := range []int{100, 200, 400} {
		synctest.Test(t, func(t *testing.T) {
			r, n := newShortlistRun(engines)
			now := time.Now()
			first := r.shortlists.get(r.m, n, now)
			if len(first.pool.engines) != shortlistLength {
				t.Fatalf("the shortlist has %d engines, want %d", len(first.pool.engines), shortlistLength)
			}
			allocations := testing.AllocsPerRun(100, func() {
				if place(r.shortlists.get(r.m, n, now).pool, n, first.pool.engines[0], now) == nil {
					t.Error("no engine is found")
				}
			})
			if allocations != 0 {
				t.Errorf("%d engines: a check makes %g allocations, want none", engines, allocations)
			}
			if r.shortlists.get(r.m, n, now.Add(shortlistMaxAge-1)) != first {
				t.Error("the shortlist was built again before it was too old")
			}
			if r.shortlists.get(r.m, n, now.Add(shortlistMaxAge)) == first {
				t.Error("the shortlist is still used although it is too old")
			}
		})
	}
}

// The shortlist must contain the engine that a search of all engines would choose, and the next
// ones for the items that move after it.
func TestShortlistHoldsTheBestEngines(t *testing.T) {
	r, n := newShortlistRun(60)
	now := time.Now()
	all := r.m.engines("lm", now)
	for i, e := range all {
		e.NoteUnitTime(time.Duration(40+(i*7)%30)*time.Millisecond, now)
		for range i % 5 {
			e.Begin()
		}
	}
	list := r.shortlists.get(r.m, n, now)
	for item := range 2 * shortlistLength {
		got, want := place(list.pool, n, nil, now), place(r.m.newPool(all, n, now), n, nil, now)
		if got != want {
			t.Fatalf("item %d moves to %s, want %s", item, got.Info().ID, want.Info().ID)
		}
		got.Begin()
	}
}

// Engines that can't serve a need must not take part in the search for it.
func TestPoolHoldsOnlyEnginesThatCanServe(t *testing.T) {
	r, n := newShortlistRun(4)
	now := time.Now()
	all := r.m.engines("lm", now)
	all[1].NoteModelUnavailable("m", now.Add(time.Second))
	n.minVersion = 6
	all[1].NoteVersion("m", 6)
	all[2].NoteVersion("m", 6)
	if p := r.m.newPool(all, n, now); len(p.engines) != 1 || p.engines[0] != all[2] {
		t.Errorf("the pool has %d engines, want only the third", len(p.engines))
	}
}

func BenchmarkSpeedCheck(b *testing.B) {
	for _, engines := range []int{45, 720, 2861} {
		b.Run(strconv.Itoa(engines), func(b *testing.B) {
			r, n := newShortlistRun(engines)
			for i, e := range r.m.engines("lm", time.Now()) {
				if i < 200 {
					e.NoteUnitTime(40*time.Millisecond, time.Now())
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				place(r.shortlists.get(r.m, n, now).pool, n, nil, now)
			}
		})
	}
}
