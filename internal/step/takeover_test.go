package step

import (
	"testing"
	"time"
)

// epochOf returns the epoch of step "s" in the store.
func epochOf(t *testing.T, cl *cluster) int {
	t.Helper()
	state, err := readState(t.Context(), cl.store, "s")
	if err != nil {
		t.Fatal(err)
	}
	return state.Epoch
}

// Guards against two live VMs that take a step from each other with every state row, because each
// takes the other for dead by its old heartbeats.
func TestOwnerIsNotReplacedJustAfterItsStateRow(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.deathPeriod = 1500 * time.Millisecond
		cl.engines.behave[""] = pacedBehaviour(1000, 100*time.Millisecond)
		cl.alive = func(string, string) bool { return false }
		a := cl.start("a")
		cl.start("b")
		time.Sleep(time.Second)
		submit(t, a, spec("s"), items(2))
		time.Sleep(cl.deathPeriod - 100*time.Millisecond)
		if epoch := epochOf(t, cl); epoch != 1 {
			t.Errorf("epoch %d before the owner's row was %s old", epoch, cl.deathPeriod)
		}
		time.Sleep(8 * time.Second)
		if epoch := epochOf(t, cl); epoch < 2 || epoch > 7 {
			t.Errorf("epoch %d after 9 s without heartbeats", epoch)
		}
	})
}

// Guards against a takeover that rests on heartbeats from before an outage of the store.
func TestOwnerHasTimeForAHeartbeatAfterAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.deathPeriod = 1500 * time.Millisecond
		cl.engines.behave[""] = pacedBehaviour(1000, 100*time.Millisecond)
		a := cl.start("a")
		cl.start("b")
		submit(t, a, spec("s"), items(2))
		time.Sleep(5 * time.Second)
		cl.mu.Lock()
		cl.outageEndedAt, cl.dead["a"] = time.Now(), true
		cl.mu.Unlock()
		time.Sleep(cl.deathPeriod - 100*time.Millisecond)
		if epoch := epochOf(t, cl); epoch != 1 {
			t.Errorf("epoch %d before the outage had ended for %s", epoch, cl.deathPeriod)
		}
		time.Sleep(time.Second)
		if epoch := epochOf(t, cl); epoch != 2 {
			t.Errorf("epoch %d after the outage had ended for longer than %s", epoch, cl.deathPeriod)
		}
	})
}

// Guards against a slower takeover of a step whose owner was known long before it was found dead, of
// one that a fresh process finds with a dead owner, and of one that was handed over.
func TestTakeoverWithoutRecentSignOfLifeIsImmediate(t *testing.T) {
	for _, kind := range []string{"known long", "first read", "handed over"} {
		t.Run(kind, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1")
				cl.deathPeriod = 1500 * time.Millisecond
				cl.engines.behave[""] = pacedBehaviour(1000, 100*time.Millisecond)
				a := cl.start("a")
				if kind != "first read" {
					cl.start("b")
				}
				time.Sleep(time.Second)
				submit(t, a, spec("s"), items(2))
				switch kind {
				case "known long":
					time.Sleep(3 * time.Second)
					cl.crash(a)
				case "first read":
					cl.crash(a)
					cl.start("b")
				case "handed over":
					time.Sleep(100 * time.Millisecond)
					a.Leave(t.Context())
					cl.crash(a)
				}
				time.Sleep(2 * takeoverCheckInterval)
				if state, err := readState(t.Context(), cl.store, "s"); err != nil || state.Owner != "b" {
					t.Errorf("the step is owned by %s, %v; want b", state.Owner, err)
				}
			})
		})
	}
}
