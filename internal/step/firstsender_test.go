package step

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// openStepRecord returns the state row of an open step of model m.
func openStepRecord(step, owner string, version int64) stateRecord {
	return stateRecord{State: State{Spec: Spec{ID: step, Model: "m"}, Owner: owner}, version: version}
}

// Guards against several VMs that each consider themselves the first sender of a cold
// engine, because none of them can read the owners of the open steps.
func TestNoFirstSenderWithoutStepStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = pacedBehaviour(1000, 50*time.Millisecond)
		a := cl.start("a")
		time.Sleep(time.Second)
		submit(t, a, spec("s"), items(4))
		time.Sleep(ownerGracePeriod)
		e := a.Roster.Upstreams("lm")[0]
		if first, ok := a.IsFirstSender(e); !first || !ok {
			t.Fatal("the only owner is not the first sender")
		}
		cl.store.SetDown(true)
		time.Sleep(firstSenderStatesMaxAge + time.Second)
		if first, ok := a.IsFirstSender(e); first || !ok {
			t.Error("a VM that can't read the states is the first sender")
		}
		cl.store.SetDown(false)
		time.Sleep(2 * time.Second)
		if first, _ := a.IsFirstSender(e); !first {
			t.Error("the owner is not the first sender after the store's outage")
		}
	})
}

// Guards against a cold engine that gets more than its slow-start rate, because several
// owners of new steps send to it at the same moment. This happens when the states have been
// unreadable for a short time and each owner knows only itself.
func TestAtMostOneFirstSenderDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2", "e3")
		var owners []*testVM
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			owners = append(owners, cl.start(name))
		}
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		time.Sleep(300 * time.Millisecond)
		for i, v := range owners {
			v.recordState(openStepRecord(fmt.Sprint("s", i), v.VM, int64(i+1)))
		}
		for range 40 {
			for _, e := range owners[0].Roster.Upstreams("lm") {
				firsts := 0
				for _, v := range owners {
					if first, _ := v.IsFirstSender(e); first {
						firsts++
					}
				}
				if firsts > 1 {
					t.Fatalf("%d owners are the first sender of %s", firsts, e.Info().ID)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against two first senders of a cold engine at the same time. This happens when
// the previous first sender learns late of an owner that ranks before it.
func TestFirstSenderStopsBeforeNextStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2", "e3", "e4")
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		b.recordState(openStepRecord("s1", "b", 1))
		a.recordState(openStepRecord("s1", "b", 1))
		time.Sleep(2 * time.Second)
		a.recordState(openStepRecord("s2", "a", 2))
		const learnedAfter = firstSenderStatesMaxAge - 100*time.Millisecond
		time.Sleep(learnedAfter)
		b.recordState(openStepRecord("s2", "a", 2))
		for range 30 {
			for _, e := range a.Roster.Upstreams("lm") {
				one, _ := a.IsFirstSender(e)
				other, _ := b.IsFirstSender(e)
				if one && other {
					t.Fatalf("both owners are the first sender of the cold engine %s", e.Info().ID)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against an owner that stops being the first sender because no state row changes:
// its watch calls must return often enough to keep the states fresh.
func TestOwnerStaysFirstSenderWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = pacedBehaviour(1000, 50*time.Millisecond)
		a := cl.start("a")
		time.Sleep(time.Second)
		submit(t, a, spec("s"), items(4))
		time.Sleep(ownerGracePeriod + watchTimeout)
		for range 40 {
			if first, _ := a.IsFirstSender(a.Roster.Upstreams("lm")[0]); !first {
				t.Fatal("the only owner is no longer the first sender")
			}
			time.Sleep(73 * time.Millisecond)
		}
	})
}

// Guards against a cold engine whose first sender is a VM without items for it, or that has
// two first senders, also while the owners of steps that were just submitted don't know of
// each other.
func TestColdEngineHasOneFirstSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2", "e3", "e4")
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		steps := []stateRecord{
			openStepRecord("s1", "a", 1),
			openStepRecord("s2", "b", 2),
			{State: State{Spec: Spec{ID: "s3", Model: "m", MinVersion: 9}, Owner: "c"}, version: 3},
			{State: State{Spec: Spec{ID: "s4", Model: "m"}, Owner: "d", Ended: true}, version: 4},
		}
		a.recordState(steps[0])
		b.recordState(steps[1])
		for _, e := range a.Roster.Upstreams("lm") {
			for _, vm := range []*testVM{a, b} {
				if first, _ := vm.IsFirstSender(e); first {
					t.Errorf("%s, which knows only its own new step, is the first sender of %s", vm.VM, e.Info().ID)
				}
			}
		}
		for _, vm := range []*testVM{a, b} {
			for _, s := range steps {
				vm.recordState(s)
			}
		}
		// The pending watch call ends only by its timeout, since no row was written.
		time.Sleep(ownerGracePeriod + watchTimeout)
		for _, e := range a.Roster.Upstreams("lm") {
			firsts := 0
			for _, vm := range []*testVM{a, b} {
				if first, ok := vm.IsFirstSender(e); first && ok {
					firsts++
				}
			}
			if firsts != 1 {
				t.Errorf("%d VMs are the first sender of the cold engine %s", firsts, e.Info().ID)
			}
		}
	})
}

// Guards against a cold engine that no VM may use because no step is open: the caller has
// to learn that there are no owners to choose from.
func TestNoFirstSenderWithoutOpenSteps(t *testing.T) {
	cl := newCluster(t, "e1")
	a := cl.start("a")
	a.statesReadAt.Store(time.Now().UnixNano())
	e := a.Roster.Upstreams("lm")[0]
	if first, ok := a.IsFirstSender(e); first || ok {
		t.Error("an engine has a first sender though no step is open")
	}
}

// Guards against items that start in an evacuated failure domain, and against a step that
// waits for that domain. Items that run there already are not interrupted.
func TestStepCompletesOutsideEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.instances[2].FailureDomain = "y"
		cl.engines.behave[""] = pacedBehaviour(20, 50*time.Millisecond)
		a := cl.start("a")
		if err := a.Submit(t.Context(), spec("s"), items(40)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		a.Roster.Evacuate("y")
		cl.engines.mu.Lock()
		started := len(cl.engines.attempts)
		cl.engines.mu.Unlock()
		if results := readUntilComplete(t, a, "s"); len(results) != 40 {
			t.Fatalf("%d results", len(results))
		}
		cl.engines.mu.Lock()
		defer cl.engines.mu.Unlock()
		inEvacuated := 0
		for _, engines := range cl.engines.attempts {
			if len(engines) != 1 {
				t.Errorf("an item had attempts at %v, want one attempt", engines)
			}
			if engines[0] == "e2" {
				inEvacuated++
			}
		}
		if inEvacuated > started/2 {
			t.Errorf("%d items ran in the evacuated domain; only %d items had started before", inEvacuated, started)
		}
	})
}

// Guards against an engine that crashes under the first items of a step because it has just
// started, and against a step that is late because it waits for engines to warm up.
func TestStepStartsOnColdEnginesWithinSlowStartRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2", "e3")
		for i := range cl.instances {
			cl.instances[i].ColdFor = 3 * time.Second
		}
		cl.engines.behave[""] = pacedBehaviour(5, 20*time.Millisecond)
		a := cl.start("a")
		const bound = 19
		a.Roster.SetSlowStarts(map[string]target.SlowStart{"lm": {PerSecond: bound, Warmup: 3 * time.Second}})
		began := time.Now()
		if err := a.Submit(t.Context(), spec("s"), items(60)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1100 * time.Millisecond)
		cl.engines.mu.Lock()
		counts := map[string]int{}
		for _, engines := range cl.engines.attempts {
			counts[engines[0]]++
		}
		cl.engines.mu.Unlock()
		for _, id := range []string{"e1", "e2", "e3"} {
			// Two other VMs may have been the first sender just before, and sent as much.
			if n := counts[id]; n == 0 || 3*n > bound {
				t.Errorf("%s got %d items in its first second; one VM may send a third of %d", id, n, bound)
			}
		}
		if results := readUntilComplete(t, a, "s"); len(results) != 60 {
			t.Fatalf("%d results", len(results))
		}
		if took := time.Since(began); took > 7*time.Second {
			t.Errorf("the step took %s, want at most 7 s", took)
		}
	})
}

// Guards against items that wait in the queues of engines because the owners of several
// steps filled the same engines at the same moment, while other engines had free slots.
func TestOwnersDontFillTheSameEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2", "e3", "e4", "e5", "e6")
		for i := range cl.instances {
			cl.instances[i].Versions = map[string]int64{"m": 1, "n": 1}
		}
		cl.engines.behave[""] = pacedBehaviour(20, 50*time.Millisecond)
		a, b := cl.start("a"), cl.start("b")
		withModel := func(id, model string) Spec {
			s := spec(id)
			s.Model = model
			return s
		}
		submit(t, a, withModel("s0", "m"), items(1))
		submit(t, b, withModel("s1", "n"), items(1))
		time.Sleep(3 * time.Second)
		began := time.Now()
		submit(t, a, withModel("s2", "m"), items(24))
		submit(t, b, withModel("s3", "n"), otherItems(24))
		time.Sleep(100 * time.Millisecond)
		cl.engines.mu.Lock()
		at := map[string]int{}
		for item, engines := range cl.engines.attempts {
			if item != "i0" {
				at[engines[len(engines)-1]]++
			}
		}
		cl.engines.mu.Unlock()
		const slots = 4
		for id, n := range at {
			if n > slots+unknownLoadMaxItems {
				t.Errorf("%s with %d slots got %d items at once", id, slots, n)
			}
		}
		for _, s := range []string{"s2", "s3"} {
			if results := readUntilComplete(t, a, s); len(results) != 24 {
				t.Errorf("%d results of %s", len(results), s)
			}
		}
		if took := time.Since(began); took > 4*time.Second {
			t.Errorf("the steps took %s, want at most 4 s", took)
		}
	})
}

// otherItems returns n items with IDs different from those of items.
func otherItems(n int) []Item {
	list := items(n)
	for i := range list {
		list[i].ID = "o" + list[i].ID
	}
	return list
}

// BenchmarkPool measures the construction of the pool that each dispatcher pass needs.
func BenchmarkPool(b *testing.B) {
	for _, size := range []struct{ engines, steps int }{{45, 8}, {720, 8}} {
		b.Run(fmt.Sprintf("%d engines, %d open steps", size.engines, size.steps), func(b *testing.B) {
			m := NewManager(Config{VM: "vm-0", View: route.NewView(), Roster: engineRoster(size.engines, 8)})
			for i := range size.steps {
				m.recordState(openStepRecord(fmt.Sprint("s", i), fmt.Sprint("vm-", i/2), int64(i+1)))
			}
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				m.newPool(m.engines("lm", now), need{service: "lm", model: "m"}, now)
			}
		})
	}
}
