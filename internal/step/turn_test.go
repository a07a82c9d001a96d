package step

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// opened is an open step of model m as its owner has written it.
func opened(step, owner string, version int64) record {
	return record{State: State{Spec: Spec{ID: step, Model: "m"}, Owner: owner}, version: version}
}

// Guards against several VMs that each take themselves for the one that may use a cold
// engine, because none of them can read who owns the open steps.
func TestNoTurnWithoutTheStatesOfSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = paced(1000, 50*time.Millisecond)
		a := w.start("a")
		time.Sleep(time.Second)
		submit(t, a, spec("s"), items(4))
		time.Sleep(ownersSettle)
		e := a.Roster.Service("lm")[0]
		if first, ok := a.FirstSender(e); !first || !ok {
			t.Fatal("the only owner has no turn")
		}
		w.store.SetDown(true)
		time.Sleep(statesFresh + time.Second)
		if first, ok := a.FirstSender(e); first || !ok {
			t.Error("a VM that can't read the states has the turn")
		}
		w.store.SetDown(false)
		time.Sleep(2 * time.Second)
		if first, _ := a.FirstSender(e); !first {
			t.Error("the owner has no turn after the store's return")
		}
	})
}

// Guards against a cold engine that more owners of new steps fill at the same moment than
// its bound has shares for: the states of steps have been unreadable for a moment, and each
// owner knows only of itself.
func TestOwnersThatCantHearOfEachOtherHaveNoTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2", "e3")
		var owners []*vm
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			owners = append(owners, w.start(name))
		}
		time.Sleep(time.Second)
		w.store.SetDown(true)
		time.Sleep(300 * time.Millisecond)
		for i, v := range owners {
			v.note(opened(fmt.Sprint("s", i), v.VM, int64(i+1)))
		}
		for range 40 {
			for _, e := range owners[0].Roster.Service("lm") {
				firsts := 0
				for _, v := range owners {
					if first, _ := v.FirstSender(e); first {
						firsts++
					}
				}
				if firsts > 1 {
					t.Fatalf("%d owners have the turn at %s", firsts, e.Info().ID)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against two owners that use a cold engine because the one before gives its turn up
// later than the next one takes it: it heard of the next one late.
func TestOwnerGivesItsTurnUpBeforeTheNextTakesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2", "e3", "e4")
		a, b := w.start("a"), w.start("b")
		time.Sleep(time.Second)
		b.note(opened("s1", "b", 1))
		a.note(opened("s1", "b", 1))
		time.Sleep(2 * time.Second)
		a.note(opened("s2", "a", 2))
		const heardAfter = statesFresh - 100*time.Millisecond
		time.Sleep(heardAfter)
		b.note(opened("s2", "a", 2))
		for range 30 {
			for _, e := range a.Roster.Service("lm") {
				one, _ := a.FirstSender(e)
				other, _ := b.FirstSender(e)
				if one && other {
					t.Fatalf("both owners use the cold engine %s", e.Info().ID)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against an owner that loses its turn because nothing changes: it hears that at once
// often enough.
func TestOwnerKeepsItsTurnWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = paced(1000, 50*time.Millisecond)
		a := w.start("a")
		time.Sleep(time.Second)
		submit(t, a, spec("s"), items(4))
		time.Sleep(ownersSettle + watchWait)
		for range 40 {
			if first, _ := a.FirstSender(a.Roster.Service("lm")[0]); !first {
				t.Fatal("the only owner has lost its turn")
			}
			time.Sleep(73 * time.Millisecond)
		}
	})
}

// Guards against a cold engine that is given to a VM which sends it nothing, or to two: also
// while the owners of steps that were just handed in don't know of each other.
func TestOneOwnerOfOpenStepsUsesAColdEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2", "e3", "e4")
		a, b := w.start("a"), w.start("b")
		time.Sleep(time.Second)
		steps := []record{
			opened("s1", "a", 1),
			opened("s2", "b", 2),
			{State: State{Spec: Spec{ID: "s3", Model: "m", MinVersion: 9}, Owner: "c"}, version: 3},
			{State: State{Spec: Spec{ID: "s4", Model: "m"}, Owner: "d", Ended: true}, version: 4},
		}
		a.note(steps[0])
		b.note(steps[1])
		for _, e := range a.Roster.Service("lm") {
			for _, vm := range []*vm{a, b} {
				if first, _ := vm.FirstSender(e); first {
					t.Errorf("%s, which knows only of its own new step, uses %s", vm.VM, e.Info().ID)
				}
			}
		}
		for _, vm := range []*vm{a, b} {
			for _, s := range steps {
				vm.note(s)
			}
		}
		// The call for changes that is under way ends, since no row was written.
		time.Sleep(ownersSettle + watchWait)
		for _, e := range a.Roster.Service("lm") {
			turns := 0
			for _, vm := range []*vm{a, b} {
				if first, ok := vm.FirstSender(e); first && ok {
					turns++
				}
			}
			if turns != 1 {
				t.Errorf("%d VMs use the cold engine %s", turns, e.Info().ID)
			}
		}
	})
}

// Guards against a turn that nobody has when no step is open.
func TestNoOwnerHasATurnWithoutOpenSteps(t *testing.T) {
	w := newWorld(t, "e1")
	a := w.start("a")
	a.statesRead.Store(time.Now().UnixNano())
	e := a.Roster.Service("lm")[0]
	if first, ok := a.FirstSender(e); first || ok {
		t.Error("a VM has a turn though no step is open")
	}
}

// Guards against items that start in a failure domain that is evacuated, and against a
// step that waits for one. What runs there comes to its end.
func TestStepGoesOnOutsideAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		w.list[2].FailureDomain = "y"
		w.engines.behave[""] = paced(20, 50*time.Millisecond)
		a := w.start("a")
		if err := a.Submit(t.Context(), spec("s"), items(40)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		a.Roster.Evacuate("y")
		w.engines.mu.Lock()
		before := len(w.engines.runs)
		w.engines.mu.Unlock()
		if results := readWhole(t, a, "s"); len(results) != 40 {
			t.Fatalf("%d results", len(results))
		}
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		there := 0
		for _, runs := range w.engines.runs {
			if len(runs) != 1 {
				t.Errorf("an item ran at %v", runs)
			}
			if runs[0] == "e2" {
				there++
			}
		}
		if there > before/2 {
			t.Errorf("%d items ran in the evacuated domain, of %d that had started", there, before)
		}
	})
}

// Guards against an engine that crashes under a step's first items because it has just
// started, and against a step that is late because it waits for engines to warm up.
func TestStepStartsOnColdEnginesWithinTheirBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2", "e3")
		for i := range w.list {
			w.list[i].ColdFor = 3 * time.Second
		}
		w.engines.behave[""] = paced(5, 20*time.Millisecond)
		a := w.start("a")
		const bound = 19
		a.Roster.SetSlowStarts(map[string]target.SlowStart{"lm": {PerSecond: bound, Warmup: 3 * time.Second}})
		began := time.Now()
		if err := a.Submit(t.Context(), spec("s"), items(60)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1100 * time.Millisecond)
		w.engines.mu.Lock()
		counts := map[string]int{}
		for _, runs := range w.engines.runs {
			counts[runs[0]]++
		}
		w.engines.mu.Unlock()
		for _, id := range []string{"e1", "e2", "e3"} {
			// Two other VMs may have had the turn just before, and sent as much.
			if n := counts[id]; n == 0 || 3*n > bound {
				t.Errorf("%s got %d items in its first second, a third of %d is allowed to one VM", id, n, bound)
			}
		}
		if results := readWhole(t, a, "s"); len(results) != 60 {
			t.Fatalf("%d results", len(results))
		}
		if took := time.Since(began); took > 7*time.Second {
			t.Errorf("the step took %s", took)
		}
	})
}

// Guards against items that wait in engines' own queues because the owners of several steps
// filled the same engines at the same moment, while other engines had room.
func TestOwnersDontFillTheSameEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2", "e3", "e4", "e5", "e6")
		for i := range w.list {
			w.list[i].Versions = map[string]int64{"m": 1, "n": 1}
		}
		w.engines.behave[""] = paced(20, 50*time.Millisecond)
		a, b := w.start("a"), w.start("b")
		of := func(id, model string) Spec {
			s := spec(id)
			s.Model = model
			return s
		}
		submit(t, a, of("s0", "m"), items(1))
		submit(t, b, of("s1", "n"), items(1))
		time.Sleep(3 * time.Second)
		began := time.Now()
		submit(t, a, of("s2", "m"), items(24))
		submit(t, b, of("s3", "n"), otherItems(24))
		time.Sleep(100 * time.Millisecond)
		w.engines.mu.Lock()
		at := map[string]int{}
		for item, runs := range w.engines.runs {
			if item != "i0" {
				at[runs[len(runs)-1]]++
			}
		}
		w.engines.mu.Unlock()
		const slots = 4
		for id, n := range at {
			if n > slots+othersUnseen {
				t.Errorf("%s with %d slots got %d items at once", id, slots, n)
			}
		}
		for _, s := range []string{"s2", "s3"} {
			if results := readWhole(t, a, s); len(results) != 24 {
				t.Errorf("%d results of %s", len(results), s)
			}
		}
		if took := time.Since(began); took > 4*time.Second {
			t.Errorf("the steps took %s", took)
		}
	})
}

// otherItems returns items with other IDs than items does.
func otherItems(n int) []Item {
	list := items(n)
	for i := range list {
		list[i].ID = "o" + list[i].ID
	}
	return list
}

// BenchmarkPool looks at the engines as each pass over the items does.
func BenchmarkPool(b *testing.B) {
	for _, size := range []struct{ engines, steps int }{{45, 8}, {720, 8}} {
		b.Run(fmt.Sprintf("%d engines, %d open steps", size.engines, size.steps), func(b *testing.B) {
			m := NewManager(Config{VM: "vm-0", View: route.NewView(), Roster: engineRoster(size.engines, 8)})
			for i := range size.steps {
				m.note(opened(fmt.Sprint("s", i), fmt.Sprint("vm-", i/2), int64(i+1)))
			}
			b.ReportAllocs()
			for b.Loop() {
				m.pool("lm", time.Now())
			}
		})
	}
}
