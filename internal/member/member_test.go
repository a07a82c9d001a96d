package member

import (
	"context"
	"dogwoodpond/internal/route"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/kept/memory"
)

func direct() bool { return false }

func start(t *testing.T, store *memory.Store, id, domain, life string) (*List, context.CancelFunc) {
	events := event.NewRecorder(id, 16, event.NewClock(time.Now), zap.NewNop())
	l := New(VM{ID: id, FailureDomain: domain, Life: life, PeerAddress: id + ":1"}, []string{"x", "y"}, store, direct, budget.New(budget.Rates{}), events)
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	t.Cleanup(cancel)
	return l, cancel
}

// A VM's process is killed. Its steps wait until the others notice.
func TestDeadVMIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := start(t, store, "a", "x", "1")
		_, killB := start(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		if !a.Alive("b", "1") || len(a.Live()) != 2 {
			t.Fatal("b is not alive")
		}
		killB()
		time.Sleep(3 * time.Second)
		if a.Alive("b", "1") || len(a.Live()) != 1 {
			t.Error("b still counts as alive 3 s after its end")
		}
	})
}

// A VM is removed for good, and another is cut off for a while. What wants to hear
// everybody, as the bill of a window does, waits for the one that may come back, but
// not so long for the one that is gone that the bill comes late: it is due 10 s after
// its window, and an outage of the store may take up the rest.
func TestGoneVMIsNotWaitedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := start(t, store, "a", "x", "1")
		_, killB := start(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		killB()
		time.Sleep(5500 * time.Millisecond)
		if a.AllHeard() {
			t.Error("a VM that has been silent for 5.5 s is not waited for")
		}
		time.Sleep(4 * time.Second)
		if !a.AllHeard() {
			t.Error("a VM that has been silent for 9.5 s is waited for")
		}
	})
}

// Guards against a list of members that grows with each VM that is replaced, and with it
// the time between two beats.
func TestRowsOfReplacedVMsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		start(t, store, "a", "x", "1")
		c, _ := start(t, store, "c", "x", "1")
		_, killB := start(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		killB()
		time.Sleep(removeAfter / 2)
		if rows, err := kept.ReadAll(t.Context(), store, table, "y"); err != nil || len(rows) != 1 {
			t.Errorf("%d rows, %v; a VM that may come back was removed", len(rows), err)
		}
		time.Sleep(removeAfter/2 + 2*rereadEvery)
		if rows, err := kept.ReadAll(t.Context(), store, table, "y"); err != nil || len(rows) != 0 {
			t.Errorf("%d rows of a VM that is gone, %v", len(rows), err)
		}
		if n := c.budget.FleetSize(); n != 2 {
			t.Errorf("the calls are divided by %d VMs, and 2 are left", n)
		}
		start(t, store, "b", "y", "2")
		time.Sleep(2 * time.Second)
		if !c.Alive("b", "2") {
			t.Error("a VM that came back after its removal is not known")
		}
	})
}

// A VM was cut off and beats again. What it counted meanwhile reaches the store a
// moment later than its beat: its other calls still wait for answers that were lost.
// A window that is closed in between is billed with too little.
func TestReturnedVMIsWaitedForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := start(t, store, "a", "x", "1")
		_, kill := start(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		kill()
		time.Sleep(3 * time.Second)
		start(t, store, "b", "y", "1")
		time.Sleep(800 * time.Millisecond)
		if a.AllHeard() {
			t.Error("nobody waits for what a VM wrote before it came back")
		}
		time.Sleep(2 * time.Second)
		if !a.AllHeard() {
			t.Error("a VM that has beaten for 2.8 s is still waited for")
		}
	})
}

// The process starts again at once. Its earlier life is over all the same, and
// with it all that it ran.
func TestRestartEndsTheEarlierLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := start(t, store, "a", "x", "1")
		_, kill := start(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		kill()
		start(t, store, "b", "y", "2")
		time.Sleep(1500 * time.Millisecond)
		if a.Alive("b", "1") || !a.Alive("b", "2") {
			t.Error("the lives of b are mixed up")
		}
	})
}

// The store is away for longer than any VM may be silent. Nobody could beat, so
// nobody may be declared dead when it is back: every step would change hands.
func TestOutageOfTheStoreKillsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := start(t, store, "a", "x", "1")
		start(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		store.SetDown(true)
		time.Sleep(30 * time.Second)
		store.SetDown(false)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if !a.Alive("b", "1") {
				t.Fatal("b was declared dead")
			}
		}
	})
}

// Guards against a bill that lacks what other VMs counted while the store was away: they
// write it a moment after its return.
func TestEverybodyIsWaitedForAfterAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := start(t, store, "a", "x", "1")
		start(t, store, "b", "y", "1")
		time.Sleep(4 * time.Second)
		if !a.AllHeard() {
			t.Fatal("a VM is waited for without an outage")
		}
		store.SetDown(true)
		time.Sleep(4 * time.Second)
		store.SetDown(false)
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			if a.AllHeard() {
				t.Fatal("nobody is waited for within 1.5 s of the store's return")
			}
		}
		time.Sleep(2 * time.Second)
		if !a.AllHeard() {
			t.Error("a VM is still waited for 3.5 s after the store's return")
		}
	})
}

func TestLeavingVMTakesNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := start(t, store, "a", "x", "1")
		b, _ := start(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		b.Leave(t.Context())
		time.Sleep(time.Second)
		if len(a.Live()) != 1 || !a.Alive("b", "1") {
			t.Errorf("live: %v", a.Live())
		}
		if a.Rank("work") != 0 {
			t.Error("a VM that leaves still ranks")
		}
	})
}

// Work of a failure domain goes to its own VMs first; exactly one VM ranks first.
func TestRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		var lists []*List
		for _, vm := range [][2]string{{"a", "x"}, {"b", "x"}, {"c", "y"}, {"d", "y"}} {
			l, _ := start(t, store, vm[0], vm[1], "1")
			lists = append(lists, l)
		}
		time.Sleep(2 * time.Second)
		for _, work := range []string{"s1", "s2", "s3"} {
			firsts := 0
			for _, l := range lists {
				if l.RankIn(work, "y") == 0 {
					firsts++
					if l.Self().FailureDomain != "y" {
						t.Errorf("%s ranks first in y", l.Self().ID)
					}
				}
			}
			if firsts != 1 {
				t.Errorf("%d VMs rank first for %s", firsts, work)
			}
		}
	})
}

// Guards against steps that are owned in a failure domain other than their trainer's, by a
// VM too weak to start hundreds of items at once, or by one that the store turns away.
func TestWorkGoesToStrongVMsOfItsDomain(t *testing.T) {
	l := New(VM{ID: "self", FailureDomain: "x", Processor: 0.2}, []string{"x", "y"}, memory.New(), direct, budget.New(budget.Rates{}),
		event.NewRecorder("self", 16, event.NewClock(time.Now), zap.NewNop()))
	add := func(id, domain string, processor float64) {
		l.rows[id] = &seen{vm: VM{ID: id, FailureDomain: domain, Processor: processor}}
	}
	add("weak", "x", 0.2)
	add("strong", "x", 0.8)
	add("stronger", "x", 0.9)
	add("far", "y", 1)
	add("turned away", "x", 0.9)
	l.rows["turned away"].vm.ViaPeers = true
	for n := range 50 {
		work := fmt.Sprint("work", n)
		if first, ok := l.First(work, "x", route.Residency{}); !ok || first.ID != "strong" && first.ID != "stronger" {
			t.Errorf("%s goes to %q", work, first.ID)
		}
		if first, ok := l.First(work, "z", route.Residency{}); !ok || first.ID == "weak" || first.ID == "self" {
			t.Errorf("%s of a domain without VMs goes to %q", work, first.ID)
		}
		if l.Rank(work) < 3 {
			t.Errorf("a weak VM ranks %d among three strong ones", l.Rank(work))
		}
	}
}
