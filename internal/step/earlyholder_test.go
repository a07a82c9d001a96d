package step

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodpond/internal/event"
)

// keepEarlyHolders returns the question of VMs of one failure domain to the VM that keeps the holders.
func keepEarlyHolders(answers func() bool) func(context.Context, string, Process, HoldEarlyFunc) (Process, bool) {
	var kept earlyHolders
	return func(_ context.Context, step string, sender Process, _ HoldEarlyFunc) (Process, bool) {
		if !answers() {
			return Process{}, false
		}
		return kept.hold(step, sender, time.Now()), true
	}
}

// earlyStarts returns how many early runs a VM has started.
func earlyStarts(v *testVM) int {
	return len(v.Events.Select(event.Query{Numbers: []event.Number{event.StepStartedEarly}}))
}

// Guards against early runs of one step at several VMs of a failure domain, which fill its engines with
// the same items, and against texts that are lost when the copy without an early run is accepted.
func TestOneEarlyRunInAFailureDomain(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.askEarlyHolder = keepEarlyHolders(func() bool { return true })
		cl.engines.behave[""] = pacedBehaviour(3, 400*time.Millisecond)
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		accepted := make(chan error, 2)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), items(8)) }()
		time.Sleep(1500 * time.Millisecond)
		go func() { accepted <- b.Submit(t.Context(), spec("s"), items(8)) }()
		time.Sleep(4 * time.Second)
		cl.store.SetDown(false)
		for range 2 {
			if err := <-accepted; err != nil {
				t.Fatal(err)
			}
		}
		checkTexts(t, readUntilComplete(t, b, "s"), 3)
		if earlyStarts(a) != 1 || earlyStarts(b) != 0 {
			t.Errorf("%d early runs at a and %d at b", earlyStarts(a), earlyStarts(b))
		}
		if held := b.Events.Select(event.Query{Numbers: []event.Number{event.EarlyRunHeld}}); len(held) != 1 || held[0].Peer != "a" {
			t.Errorf("the events at b tell of the early run at %v", held)
		}
		if epoch := epochOf(t, cl); epoch > 2 {
			t.Errorf("epoch %d", epoch)
		}
	})
}

// Guards against a step that nobody runs early because the VM that did has ended, or because the VM
// that keeps the holders doesn't answer.
func TestEarlyRunStartsWithoutItsHolder(t *testing.T) {
	for _, lost := range []string{"holder", "keeper"} {
		t.Run(lost, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1", "e2")
				cl.askEarlyHolder = keepEarlyHolders(func() bool { return lost == "holder" })
				cl.engines.behave[""] = pacedBehaviour(100, 100*time.Millisecond)
				a, b := cl.start("a"), cl.start("b")
				time.Sleep(time.Second)
				cl.store.SetDown(true)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = a.Submit(ctx, spec("s"), items(4)) }()
				time.Sleep(time.Second)
				go func() { _ = b.Submit(t.Context(), spec("s"), items(4)) }()
				time.Sleep(time.Second)
				if lost == "holder" {
					cancel()
					cl.crash(a)
					time.Sleep(earlyHoldTTL + earlyHoldInterval)
				}
				if earlyStarts(b) != 1 {
					t.Errorf("%d early runs at b", earlyStarts(b))
				}
			})
		})
	}
}

// Guards against a step that nobody runs early because a VM keeps the others from it: its copy names an
// owner that was chosen before the outage was noticed.
func TestVMThatCannotRunEarlyKeepsNobodyFromIt(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.askEarlyHolder = keepEarlyHolders(func() bool { return true })
		cl.engines.behave[""] = pacedBehaviour(100, 100*time.Millisecond)
		cl.preferred = "c"
		var noticed atomic.Bool
		cl.storeAvailable = func(string) bool { return !noticed.Load() }
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		go func() { _ = a.Submit(t.Context(), spec("s"), items(4)) }()
		time.Sleep(time.Second)
		noticed.Store(true)
		go func() { _ = b.Submit(t.Context(), spec("s"), items(4)) }()
		time.Sleep(time.Second)
		if earlyStarts(a) != 0 || earlyStarts(b) != 1 {
			t.Errorf("%d early runs at a and %d at b", earlyStarts(a), earlyStarts(b))
		}
	})
}
