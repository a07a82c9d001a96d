package lease

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/platform/platformtest"
)

const testTerm = 6 * time.Second

// order is one order that an upstream accepted.
type order struct {
	by    string
	epoch uint64
	at    time.Duration
}

// orders is an upstream that takes orders. It notes every order and the sender.
type orders struct {
	start time.Time
	mu    sync.Mutex
	taken []order
}

func (o *orders) take(by string, epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.taken = append(o.taken, order{by: by, epoch: epoch, at: time.Since(o.start)})
}

// holders returns the senders in the order of their first orders.
func (o *orders) holders() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for _, taken := range o.taken {
		if !slices.Contains(names, taken.by) {
			names = append(names, taken.by)
		}
	}
	return names
}

// check fails unless epochs never fall and each belongs to one sender.
func (o *orders) check(t *testing.T) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	senders := map[uint64]string{}
	var newest uint64
	for _, taken := range o.taken {
		if taken.epoch < newest {
			t.Errorf("%s gave an order of epoch %d after epoch %d", taken.by, taken.epoch, newest)
		}
		newest = taken.epoch
		if other, ok := senders[taken.epoch]; ok && other != taken.by {
			t.Errorf("%s and %s share the epoch %d", other, taken.by, taken.epoch)
		}
		senders[taken.epoch] = taken.by
	}
}

const orderPeriod = 200 * time.Millisecond

// giveOrders gives an order each period while the lease is held.
func giveOrders(p *platformtest.Process, o *orders) func(context.Context, Guard) (bool, error) {
	return func(ctx context.Context, g Guard) (bool, error) {
		for sleep(ctx, orderPeriod) == nil {
			if g.Check() != nil {
				continue
			}
			_ = p.Call(ctx, "order", "", true, func() error {
				if time.Now().Before(g.Deadline()) {
					o.take(p.Name, g.Epoch())
				}
				return nil
			})
		}
		return false, nil
	}
}

func testManager(p *platformtest.Process, options ...Option) *Manager {
	events := event.NewRecorder(p.Name, 64, event.NewClock(time.Now), zap.NewNop())
	return NewManager(p, p.Name, testTerm, events, options...)
}

// campaignAll starts the processes, which all campaign for one lease.
func campaignAll(w *platformtest.World, o *orders, group *sync.WaitGroup, names ...string) []*platformtest.Process {
	var processes []*platformtest.Process
	for _, name := range names {
		p := w.Start(context.Background(), name)
		processes = append(processes, p)
		group.Go(func() {
			_ = testManager(p).Campaign(p.Context, "upstreams/a", giveOrders(p, o))
		})
		time.Sleep(10 * time.Millisecond)
	}
	return processes
}

// The holder is killed. Without a successor nobody orders upstreams any more;
// with one that comes too early, two are in charge.
func TestSuccessorTakesOverAfterAKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(platformtest.NoFaults)
		o := &orders{start: time.Now()}
		var group sync.WaitGroup
		processes := campaignAll(w, o, &group, "vm-1", "vm-2")
		time.Sleep(2 * testTerm)
		processes[0].Kill()
		time.Sleep(3 * testTerm)
		processes[1].Stop()
		group.Wait()
		o.check(t)
		if got := o.holders(); !slices.Equal(got, []string{"vm-1", "vm-2"}) {
			t.Errorf("holders %v, want vm-1 and then vm-2", got)
		}
	})
}

// The holder is paused for longer than its term, for example by SIGSTOP, and
// another VM takes over. When the first one goes on it must not give orders.
func TestPausedHolderGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(platformtest.NoFaults)
		o := &orders{start: time.Now()}
		var group sync.WaitGroup
		processes := campaignAll(w, o, &group, "vm-1", "vm-2")
		time.Sleep(testTerm)
		processes[0].Pause(4 * testTerm)
		time.Sleep(5 * testTerm)
		for _, p := range processes {
			p.Stop()
		}
		group.Wait()
		o.check(t)
		if got := o.holders(); !slices.Equal(got, []string{"vm-1", "vm-2"}) {
			t.Errorf("holders %v, want vm-1 and then vm-2", got)
		}
	})
}

// A VM drains. It gives the lease back, so that the successor need not wait for
// the term; otherwise each planned stop would leave a gap of a term.
func TestDrainReleasesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(platformtest.NoFaults)
		o := &orders{start: time.Now()}
		var group sync.WaitGroup
		processes := campaignAll(w, o, &group, "vm-1", "vm-2")
		time.Sleep(testTerm)
		processes[0].Stop()
		time.Sleep(testTerm / 2)
		processes[1].Stop()
		group.Wait()
		o.check(t)
		if got := o.holders(); !slices.Equal(got, []string{"vm-1", "vm-2"}) {
			t.Errorf("holders %v within half a term of the release", got)
		}
	})
}

// The replies of all commits are lost although they took effect. The holder
// reads its nonce back and stays in charge, instead of fighting itself.
func TestLostRepliesDontEndTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(func(s platformtest.Step) platformtest.Fault {
			if s.Call == "commit" && s.Index%2 == 1 {
				return platformtest.Fault{Kind: platformtest.LoseReply}
			}
			return platformtest.Fault{}
		})
		o := &orders{start: time.Now()}
		var group sync.WaitGroup
		processes := campaignAll(w, o, &group, "vm-1")
		time.Sleep(10 * testTerm)
		processes[0].Stop()
		group.Wait()
		o.check(t)
		epochs := map[uint64]bool{}
		for _, taken := range o.taken {
			epochs[taken.epoch] = true
		}
		if len(epochs) != 1 {
			t.Errorf("%d epochs, want 1", len(epochs))
		}
	})
}

// The store is down for many terms. Everybody stops; once it is back one VM is
// in charge again, under a new epoch.
func TestStoreOutageEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(platformtest.NoFaults)
		o := &orders{start: time.Now()}
		var group sync.WaitGroup
		processes := campaignAll(w, o, &group, "vm-1", "vm-2", "vm-3")
		time.Sleep(2 * testTerm)
		w.TakeDown(5 * testTerm)
		time.Sleep(8 * testTerm)
		for _, p := range processes {
			p.Stop()
		}
		group.Wait()
		o.check(t)
		last := o.taken[len(o.taken)-1]
		if last.epoch != 2 || last.at < 7*testTerm {
			t.Errorf("last order %+v, want epoch 2 after the outage", last)
		}
	})
}

// A large fleet campaigns for one lease. If every VM contended, the reads would
// grow with the fleet; if none but the candidates ever did, the lease would
// stay free when all three are dead.
func TestOnlyCandidatesContendUntilTheyAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(platformtest.NoFaults)
		o := &orders{start: time.Now()}
		var group sync.WaitGroup
		outsider := w.Start(context.Background(), "vm-9")
		ranked := func(string) int { return candidates }
		group.Go(func() {
			_ = testManager(outsider, WithRanker(ranked)).Campaign(outsider.Context, "upstreams/a", giveOrders(outsider, o))
		})
		processes := campaignAll(w, o, &group, "vm-1")
		time.Sleep(20 * testTerm)
		if got := o.holders(); !slices.Equal(got, []string{"vm-1"}) {
			t.Errorf("holders %v while a candidate lives", got)
		}
		processes[0].Kill()
		time.Sleep(10 * testTerm)
		outsider.Stop()
		group.Wait()
		o.check(t)
		if got := o.holders(); !slices.Equal(got, []string{"vm-1", "vm-9"}) {
			t.Errorf("holders %v, want vm-1 and then vm-9", got)
		}
	})
}

// held says that its work is done, so the campaign ends and the lease is free.
func TestCampaignEndsWhenDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(platformtest.NoFaults)
		p := w.Start(context.Background(), "vm-1")
		defer p.Stop()
		calls := 0
		err := testManager(p).Campaign(p.Context, "step/a", func(context.Context, Guard) (bool, error) {
			calls++
			return calls == 2, nil
		})
		row, _ := w.Rows.Get(context.Background(), keyPrefix+"step/a")
		if want := `{"holder":"","epoch":2,"renewals":0}`; err != nil || string(row.Value) != want {
			t.Errorf("err %v, row %s, want %s", err, row.Value, want)
		}
	})
}

// A holder that ignores its context is still stopped by the guard.
func TestLostLeaseEndsTheContextWithTheCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(platformtest.NoFaults)
		p := w.Start(context.Background(), "vm-1")
		var cause string
		_ = testManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			deadline := g.Deadline()
			w.TakeDown(2 * testTerm)
			<-ctx.Done()
			cause = fmt.Sprint(context.Cause(ctx), " late by ", time.Since(deadline), " guard refuses ", g.Check() != nil)
			return true, nil
		})
		if want := "lease a of epoch 1 is not held late by 0s guard refuses true"; cause != want {
			t.Errorf("got %q, want %q", cause, want)
		}
	})
}
