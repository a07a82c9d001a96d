package step

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/target"
)

// Groups with restored texts ("carried" here) start first whatever their length, then the
// groups with the longest items: a step takes as long as its longest needed item.
func TestOrderPutsRestoredGroupsFirst(t *testing.T) {
	list := []Item{
		{Group: "short", ExpectedTokens: 3}, {Group: "long", ExpectedTokens: 4}, {Group: "carried", ExpectedTokens: 1},
		{Group: "long", ExpectedTokens: 90}, {Group: "short", ExpectedTokens: 5},
	}
	if got := orderByGroup(list, map[string]bool{"carried": true}); !slices.Equal(got, []int{2, 1, 3, 0, 4}) {
		t.Errorf("the order is %v", got)
	}
}

// If the slots can finish a step in the time of its longest item, a long item must not be
// queued behind the short items of an earlier group.
func TestOrderDependsOnSlots(t *testing.T) {
	list := []Item{
		{Group: "a", ExpectedTokens: 90}, {Group: "a", ExpectedTokens: 3}, {Group: "b", ExpectedTokens: 4}, {Group: "b", ExpectedTokens: 80},
		{Group: "carried", ExpectedTokens: 1},
	}
	o := newStartOrders(list, map[string]bool{"carried": true})
	if got := o.forSlots(2); !slices.Equal(got, []int{4, 0, 3, 2, 1}) {
		t.Errorf("with enough slots the order is %v", got)
	}
	if got := o.forSlots(1); !slices.Equal(got, []int{4, 0, 1, 2, 3}) {
		t.Errorf("with too few slots the order is %v", got)
	}
}

func engineList(n, slots int) []*target.Entry { return engineRoster(n, slots).Upstreams("lm") }

func engineRoster(n, slots int) *target.Roster {
	roster := target.NewRoster(event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop()))
	var list []target.Instance
	for i := range n {
		list = append(list, target.Instance{ID: fmt.Sprint("e", i), Service: "lm", FailureDomain: "x", Slots: slots, Versions: map[string]int64{"m": 5}})
	}
	roster.Replace(list)
	return roster
}

// newTestPool returns a pool of engines for which no other VM ranks first.
func newTestPool(engines []*target.Entry, now time.Time) pool {
	return pool{engines: engines, median: target.MedianExpectedUnitTime(engines, now)}
}

// Items are spread evenly over the engines, and none is placed into an engine's own queue.
func TestPlaceSpreadsItemsUpToTheSlots(t *testing.T) {
	engines, now := engineList(3, 4), time.Now()
	n := need{model: "m", minVersion: 5, domain: "x"}
	for range 12 {
		e := place(newTestPool(engines, now), n, nil, now)
		if e == nil {
			t.Fatal("no engine is chosen although slots are free")
		}
		e.Begin()
		most, least := 0, 4
		for _, e := range engines {
			most, least = max(most, e.InFlight()), min(least, e.InFlight())
		}
		if most-least > 1 {
			t.Fatalf("one engine has %d items and another %d", most, least)
		}
	}
	if e := place(newTestPool(engines, now), n, nil, now); e != nil {
		t.Error("an item was placed on a full engine")
	}
}

// Guards against forgetting the speed of engines between steps: the last measurement is some
// seconds old when the next step starts. Without it the longest item would often run on a slow
// engine, and the step would take a third longer.
func TestPlaceUsesSpeedOfEarlierSteps(t *testing.T) {
	engines, now := engineList(3, 4), time.Now()
	n := need{model: "m", minVersion: 5, domain: "x"}
	for range 20 {
		engines[0].NoteUnitTime(57*time.Millisecond, now)
		engines[1].NoteUnitTime(43*time.Millisecond, now)
		engines[2].NoteUnitTime(43*time.Millisecond, now)
	}
	later := now.Add(time.Minute)
	for i := range 8 {
		e := place(newTestPool(engines, later), n, nil, later)
		if e == engines[0] {
			t.Fatalf("item %d was placed on the slow engine although a fast one has a free slot", i+1)
		}
		e.Begin()
	}
	if e := place(newTestPool(engines, later), n, nil, later); e != engines[0] {
		t.Error("no item is placed on the slow engine when the others are full")
	}
}

func TestPlaceAvoidsUnsuitableEngines(t *testing.T) {
	engines, now := engineList(5, 4), time.Now()
	n := need{model: "m", minVersion: 5, domain: "x"}
	engines[0].NoteModelUnavailable("m", now.Add(time.Second))
	engines[1].NoteFailure(now)
	for i, millis := range []time.Duration{0, 0, 200, 50, 55} {
		engines[i].NoteUnitTime(millis*time.Millisecond, now)
	}
	if e := place(newTestPool(engines, now), n, nil, now); e != engines[3] {
		t.Errorf("chose %s", e.Info().ID)
	}
	if e := place(newTestPool(engines, now), n, engines[3], now); e != engines[4] {
		t.Errorf("chose %s when the best engine is excluded", e.Info().ID)
	}
	n.minVersion = 6
	if e := place(newTestPool(engines, now), n, nil, now); e != nil {
		t.Errorf("chose %s, whose weights are too old", e.Info().ID)
	}
	engines[2].NoteVersion("m", 6)
	if e := place(newTestPool(engines, now), n, nil, now); e != engines[2] {
		t.Error("did not choose the slow engine, the only one with the weights")
	}
}

// Guards against a ranking that chooses another engine than place, which considers all
// engines. The engines differ in load, speed, failure domain, recent failures and the owner
// that ranks first for them.
func TestRankingMatchesPlace(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		now := time.Now()
		ranked, plain := engineList(12, 4), engineList(12, 4)
		a, b := pool{engines: ranked, otherFirstSender: map[*target.Entry]bool{}}, pool{engines: plain, otherFirstSender: map[*target.Entry]bool{}}
		for i := range ranked {
			speed, begun, other, failed := time.Duration(30+random.IntN(60))*time.Millisecond, random.IntN(5), random.IntN(3) == 0, random.IntN(6) == 0
			for _, p := range []pool{a, b} {
				e := p.engines[i]
				e.NoteUnitTime(speed, now)
				for range begun {
					e.Begin()
				}
				if other {
					p.otherFirstSender[e] = true
				}
				if failed {
					e.NoteFailure(now)
				}
			}
		}
		a.median, b.median = target.MedianExpectedUnitTime(ranked, now), target.MedianExpectedUnitTime(plain, now)
		n := need{model: "m", minVersion: 5, domain: []string{"x", "y"}[random.IntN(2)]}
		r := newRanking(a, n, now)
		for item := 0; ; item++ {
			got, want := r.best(), place(b, n, nil, now)
			if (got == nil) != (want == nil) || got != nil && got.Info().ID != want.Info().ID {
				t.Fatalf("item %d was placed on %v, want %v", item, got, want)
			}
			if got == nil {
				break
			}
			got.Begin()
			want.Begin()
		}
	}
}

// BenchmarkStartOfStep places all items of a step, with the present number of engines, 45,
// and with the 720 that are expected in two years.
func BenchmarkStartOfStep(b *testing.B) {
	for _, size := range []struct{ engines, items int }{{45, 160}, {720, 2048}} {
		b.Run(fmt.Sprintf("%d items, %d engines", size.items, size.engines), func(b *testing.B) {
			engines, now := engineList(size.engines, 8), time.Now()
			for i, e := range engines {
				e.NoteUnitTime(time.Duration(40+i%9)*time.Millisecond, now)
			}
			n := need{model: "m", minVersion: 5, domain: "x"}
			b.ReportAllocs()
			for b.Loop() {
				ranked := newRanking(newTestPool(engines, now), n, now)
				var taken []*target.Entry
				for range size.items {
					e := ranked.best()
					e.Begin()
					taken = append(taken, e)
				}
				for _, e := range taken {
					e.End()
				}
			}
		})
	}
}
