package lease

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/platformapi/faultinject"
)

// holdOnce campaigns for the lease "a" on behalf of a VM, and calls act once while it holds it.
func holdOnce(p *faultinject.Process, act func(ctx context.Context, g Guard)) {
	_ = newTestManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
		act(ctx, g)
		return true, nil
	})
}

// Guards against a next holder, or the one after it, that acts at a receiver at which an
// unanswered action is pending, and against one that waits at other receivers, or for a lease.
func TestUnansweredActionIsPendingAtItsReceiverForLaterHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		wait := NewTiming(testTerm).PendingActionWait()
		var releasedAt time.Time
		holdOnce(cluster.Start(t.Context(), "vm-1"), func(ctx context.Context, g Guard) {
			for receiver, err := range map[string]error{"e1": errUnanswered, "e2": nil} {
				_ = ActAt(ctx, g, receiver, time.Second, func(context.Context) error { return err })
			}
			releasedAt = time.Now()
		})
		second := cluster.Start(t.Context(), "vm-2")
		var done sync.WaitGroup
		done.Go(func() {
			holdOnce(second, func(ctx context.Context, g Guard) {
				if passed := time.Since(releasedAt); passed > testTerm/pollDivisor {
					t.Errorf("the lease was taken %s after the release", passed)
				}
				if until := g.PendingUntil("e1").Sub(releasedAt); until < wait {
					t.Errorf("the receiver is pending until %s after the release, want at least %s", until, wait)
				}
				if !g.PendingUntil("e2").IsZero() {
					t.Error("a receiver that answered is pending")
				}
				<-ctx.Done()
			})
		})
		time.Sleep(testTerm)
		second.Kill()
		done.Wait()
		holdOnce(cluster.Start(t.Context(), "vm-3"), func(_ context.Context, g Guard) {
			if until := g.PendingUntil("e1").Sub(releasedAt); until < wait {
				t.Errorf("for the holder after the next the receiver is pending until %s after the release, want at least %s", until, wait)
			}
			time.Sleep(wait)
		})
		if record := readRecord(t, cluster, "a"); len(record.PendingReceivers) > 0 {
			t.Errorf("after the wait the row tells of pending receivers %v", record.PendingReceivers)
		}
	})
}

// Guards against a killed holder whose action in flight is not known to the next one.
func TestActionOfAKilledHolderIsPendingAtItsReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		first := cluster.Start(t.Context(), "vm-1")
		var killedAt time.Time
		holdOnce(first, func(ctx context.Context, g Guard) {
			_ = ActAt(ctx, g, "e1", time.Second, func(context.Context) error {
				killedAt = time.Now()
				first.Kill()
				return errUnanswered
			})
		})
		holdOnce(cluster.Start(t.Context(), "vm-2"), func(_ context.Context, g Guard) {
			if until, wait := g.PendingUntil("e1").Sub(killedAt), NewTiming(testTerm).PendingActionWait(); until < wait {
				t.Errorf("the receiver is pending until %s after the kill, want at least %s", until, wait)
			}
		})
	})
}

// Guards against a receiver that counts as settled while one of several actions is under way.
func TestReceiverIsPendingUntilItsLastActionEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	p := newPendingActions(10 * time.Second)
	for _, receiver := range []string{"e2", "e1", "e1", anyReceiver} {
		p.begin(receiver)
	}
	if p.end("e1", start, false) {
		t.Error("settled with an action under way")
	}
	if got := p.receivers(start); !slices.Equal(got, []string{"e1", "e2"}) {
		t.Errorf("pending receivers %v", got)
	}
	if p.end("e1", start, true) || !p.end("e2", start, false) {
		t.Error("the unanswered action is settled, or the answered one is not")
	}
	if got := p.receivers(start.Add(10*time.Second - 1)); !slices.Equal(got, []string{"e1"}) {
		t.Errorf("pending receivers %v before the end of the wait", got)
	}
	if got := p.receivers(start.Add(10 * time.Second)); len(got) > 0 || !p.isPending(anyReceiver, start.Add(time.Hour)) {
		t.Errorf("pending receivers %v after the wait", got)
	}
}

// Guards against a receiver that is held back for as long as the lease changes hands, because each
// holder counts the wait for an unanswered action anew.
func TestChangesOfHolderDoNotProlongAPendingAction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		wait := NewTiming(testTerm).PendingActionWait()
		var unansweredAt time.Time
		holdOnce(cluster.Start(t.Context(), "vm-0"), func(ctx context.Context, g Guard) {
			_ = ActAt(ctx, g, "e1", time.Second, func(context.Context) error { return errUnanswered })
			unansweredAt = time.Now()
		})
		const holders = 6
		for n := range holders {
			holdOnce(cluster.Start(t.Context(), fmt.Sprintf("vm-%d", n+1)), func(_ context.Context, g Guard) {
				until := g.PendingUntil("e1")
				if until.IsZero() && time.Since(unansweredAt) >= wait {
					return
				}
				if until = until.Add(-wait); until.Before(unansweredAt) || until.Sub(unansweredAt) > testTerm/pollDivisor {
					t.Errorf("for holder %d the receiver is pending until %s after the action, want about %s", n+1, until.Add(wait).Sub(unansweredAt), wait)
				}
				time.Sleep(wait / (holders - 1))
			})
		}
	})
}
