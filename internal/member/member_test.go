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
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

func neverViaPeers() bool { return false }

func startVM(t *testing.T, store *memory.Store, id, domain, incarnation string) (*List, context.CancelFunc) {
	events := event.NewRecorder(id, 16, event.NewClock(time.Now), zap.NewNop())
	l := New(VM{ID: id, FailureDomain: domain, Incarnation: incarnation, PeerAddress: id + ":1"}, []string{"x", "y"}, store, neverViaPeers, budget.New(budget.Rates{}), events)
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	t.Cleanup(cancel)
	return l, cancel
}

// The process of a VM is killed. Its steps wait until the other VMs detect that.
func TestDeadVMIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		_, killB := startVM(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		if !a.Alive("b", "1") || len(a.Live()) != 2 {
			t.Fatal("b is not alive")
		}
		killB()
		time.Sleep(3 * time.Second)
		if a.Alive("b", "1") || len(a.Live()) != 1 {
			t.Error("b still counts as alive 3 s after it was killed")
		}
	})
}

// A VM is removed for good, and the others can't tell this from a network failure.
// Callers that need the data of all VMs, such as the usage report of a window, await a
// VM that may return, but must not await a dead one for so long that the report is
// late: it is due 10 s after the window, and an outage of the store may take up the
// rest of that time.
func TestDeadVMIsAwaitedForALimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		_, killB := startVM(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		killB()
		time.Sleep(5500 * time.Millisecond)
		if a.NoneAwaited() {
			t.Error("a VM that has been unresponsive for 5.5 s is not awaited")
		}
		time.Sleep(4 * time.Second)
		if !a.NoneAwaited() {
			t.Error("a VM that has been unresponsive for 9.5 s is still awaited")
		}
	})
}

// Guards against a list of members that grows with each VM that is replaced, and the
// heartbeat interval with it.
func TestRowsOfReplacedVMsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		startVM(t, store, "a", "x", "1")
		c, _ := startVM(t, store, "c", "x", "1")
		_, killB := startVM(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		killB()
		time.Sleep(statusRowTTL / 2)
		if rows, err := rowstore.ReadAll(t.Context(), store, table, "y"); err != nil || len(rows) != 1 {
			t.Errorf("%d rows, %v; the row of a VM that may return was removed", len(rows), err)
		}
		time.Sleep(statusRowTTL/2 + 2*minFullReadInterval)
		if rows, err := rowstore.ReadAll(t.Context(), store, table, "y"); err != nil || len(rows) != 0 {
			t.Errorf("%d rows of a dead VM, %v", len(rows), err)
		}
		if n := c.budget.FleetSize(); n != 2 {
			t.Errorf("the budget is divided among %d VMs, want 2", n)
		}
		startVM(t, store, "b", "y", "2")
		time.Sleep(2 * time.Second)
		if !c.Alive("b", "2") {
			t.Error("a VM that returned after the removal of its row is not alive")
		}
	})
}

// A VM was cut off from the store and writes heartbeats again. The usage that it
// counted in the meantime reaches the store shortly after its heartbeat, because its
// other calls still wait for answers that were lost. A window that is closed before
// that is reported with too little usage.
func TestReturnedVMIsAwaitedForTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		_, kill := startVM(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		kill()
		time.Sleep(3 * time.Second)
		startVM(t, store, "b", "y", "1")
		time.Sleep(800 * time.Millisecond)
		if a.NoneAwaited() {
			t.Error("a VM that has just returned is not awaited")
		}
		time.Sleep(2 * time.Second)
		if !a.NoneAwaited() {
			t.Error("a VM that returned 2.8 s ago is still awaited")
		}
	})
}

// A process is killed and starts again at once. Its earlier incarnation is dead
// nevertheless, and so is all that it ran.
func TestRestartEndsTheEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		_, kill := startVM(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		kill()
		startVM(t, store, "b", "y", "2")
		time.Sleep(1500 * time.Millisecond)
		if a.Alive("b", "1") || !a.Alive("b", "2") {
			t.Error("incarnation 1 of b is alive, or incarnation 2 is not")
		}
	})
}

// An outage of the store lasts longer than a VM may be unresponsive. No VM could write
// a heartbeat, so none may be declared dead after the outage; otherwise every step
// would be taken over.
func TestNoVMIsDeclaredDeadForAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		startVM(t, store, "b", "y", "1")
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

// Guards against usage reports that lack what other VMs counted during an outage of the
// store: they write it shortly after the outage.
func TestAllVMsAreAwaitedAfterAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		startVM(t, store, "b", "y", "1")
		time.Sleep(4 * time.Second)
		if !a.NoneAwaited() {
			t.Fatal("a VM is awaited without an outage")
		}
		store.SetDown(true)
		time.Sleep(4 * time.Second)
		store.SetDown(false)
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			if a.NoneAwaited() {
				t.Fatal("no VM is awaited within 1.5 s after the outage")
			}
		}
		time.Sleep(2 * time.Second)
		if !a.NoneAwaited() {
			t.Error("a VM is still awaited 3.5 s after the outage")
		}
	})
}

func TestLeavingVMTakesNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		b, _ := startVM(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		b.Leave(t.Context())
		time.Sleep(time.Second)
		if len(a.Live()) != 1 || !a.Alive("b", "1") {
			t.Errorf("live: %v", a.Live())
		}
		if a.Rank("work") != 0 {
			t.Error("a leaving VM is ranked")
		}
	})
}

// The VMs of a failure domain rank first for its duties; exactly one VM has the rank 0.
func TestVMsOfTheDomainRankFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		var lists []*List
		for _, vm := range [][2]string{{"a", "x"}, {"b", "x"}, {"c", "y"}, {"d", "y"}} {
			l, _ := startVM(t, store, vm[0], vm[1], "1")
			lists = append(lists, l)
		}
		time.Sleep(2 * time.Second)
		for _, duty := range []string{"s1", "s2", "s3"} {
			firsts := 0
			for _, l := range lists {
				if l.RankDomainFirst(duty, "y") == 0 {
					firsts++
					if l.Self().FailureDomain != "y" {
						t.Errorf("%s ranks first in y", l.Self().ID)
					}
				}
			}
			if firsts != 1 {
				t.Errorf("%d VMs rank first for %s", firsts, duty)
			}
		}
	})
}

// Guards against steps that are owned in a failure domain other than their trainer's,
// by a VM too weak to start hundreds of items at once, or by one that can't reach the
// store directly.
func TestStrongVMsOfTheDomainRankFirst(t *testing.T) {
	l := New(VM{ID: "self", FailureDomain: "x", Cores: 0.2}, []string{"x", "y"}, memory.New(), neverViaPeers, budget.New(budget.Rates{}),
		event.NewRecorder("self", 16, event.NewClock(time.Now), zap.NewNop()))
	add := func(id, domain string, processor float64) {
		l.rows[id] = &statusRow{vm: VM{ID: id, FailureDomain: domain, Cores: processor}}
	}
	add("weak", "x", 0.2)
	add("strong", "x", 0.8)
	add("stronger", "x", 0.9)
	add("far", "y", 1)
	add("via peers", "x", 0.9)
	l.rows["via peers"].vm.ViaPeers = true
	for n := range 50 {
		duty := fmt.Sprint("work", n)
		if first, ok := l.First(duty, "x", route.Residency{}); !ok || first.ID != "strong" && first.ID != "stronger" {
			t.Errorf("%s goes to %q", duty, first.ID)
		}
		if first, ok := l.First(duty, "z", route.Residency{}); !ok || first.ID == "weak" || first.ID == "self" {
			t.Errorf("%s of a domain without VMs goes to %q", duty, first.ID)
		}
		if l.Rank(duty) < 3 {
			t.Errorf("a weak VM ranks %d among three strong ones", l.Rank(duty))
		}
	}
}

// faultOf returns a choice of faults that injects one into the heartbeats of a VM.
func faultOf(vm string, injected memory.Fault) func(rowstore.Txn) memory.Fault {
	return func(txn rowstore.Txn) memory.Fault {
		if len(txn.Puts) > 0 && txn.Puts[0].Key.Name == vm {
			return injected
		}
		return memory.NoFault
	}
}

// Guards against new work for a VM that is leaving: a heartbeat from before its announcement takes
// effect late.
func TestLateHeartbeatDoesNotReplaceLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		b, stopB := startVM(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		store.SetFault(faultOf("b", memory.EffectDelayed))
		time.Sleep(600 * time.Millisecond)
		store.SetFault(nil)
		b.Leave(t.Context())
		stopB()
		store.RunDelayed()
		time.Sleep(600 * time.Millisecond)
		if len(a.Live()) != 1 {
			t.Errorf("live: %v, want only a", a.Live())
		}
	})
}

// Guards against the takeover of steps of a VM that has restarted: a heartbeat of its earlier
// process takes effect late, and its present one seems dead.
func TestLateHeartbeatDoesNotRestoreEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		_, killB := startVM(t, store, "b", "y", "1")
		time.Sleep(2 * time.Second)
		store.SetFault(faultOf("b", memory.EffectDelayed))
		time.Sleep(600 * time.Millisecond)
		store.SetFault(nil)
		killB()
		startVM(t, store, "b", "y", "2")
		time.Sleep(time.Second)
		store.SetFault(faultOf("b", memory.Refused))
		store.RunDelayed()
		time.Sleep(600 * time.Millisecond)
		if a.Alive("b", "1") || !a.Alive("b", "2") {
			t.Error("incarnation 1 of b is alive, or incarnation 2 is not")
		}
	})
}

// Guards against takeovers that rest on heartbeats from before an outage: its end must be known.
func TestEndOfAnOutageIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, _ := startVM(t, store, "a", "x", "1")
		time.Sleep(4 * time.Second)
		if at := a.OutageEndedAt(); !at.IsZero() {
			t.Errorf("an outage ended %s ago before there was one", time.Since(at))
		}
		store.SetDown(true)
		time.Sleep(5 * time.Second)
		store.SetDown(false)
		time.Sleep(2 * time.Second)
		if at := a.OutageEndedAt(); at.IsZero() || time.Since(at) > 2*time.Second {
			t.Errorf("the outage ended at %s", at)
		}
	})
}
