package lease

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
)

const testTerm = 6 * time.Second

// order is one order that an upstream accepted.
type order struct {
	sender string
	epoch  uint64
	at     time.Duration
}

// fakeUpstream accepts every order, and records it with its sender.
type fakeUpstream struct {
	start    time.Time
	mu       sync.Mutex
	accepted []order
}

func (u *fakeUpstream) accept(sender string, epoch uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.accepted = append(u.accepted, order{sender: sender, epoch: epoch, at: time.Since(u.start)})
}

// senders returns the senders in the order of their first orders.
func (u *fakeUpstream) senders() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var names []string
	for _, accepted := range u.accepted {
		if !slices.Contains(names, accepted.sender) {
			names = append(names, accepted.sender)
		}
	}
	return names
}

// check fails the test if an order has a lower epoch than an earlier one, or if two
// senders share an epoch.
func (u *fakeUpstream) check(t *testing.T) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	senders := map[uint64]string{}
	var newest uint64
	for _, accepted := range u.accepted {
		if accepted.epoch < newest {
			t.Errorf("%s sent an order of epoch %d after epoch %d", accepted.sender, accepted.epoch, newest)
		}
		newest = accepted.epoch
		if other, ok := senders[accepted.epoch]; ok && other != accepted.sender {
			t.Errorf("%s and %s share the epoch %d", other, accepted.sender, accepted.epoch)
		}
		senders[accepted.epoch] = accepted.sender
	}
}

const orderInterval = 200 * time.Millisecond

// sendOrders sends an order at each interval while the lease is held.
func sendOrders(p *faultinject.Process, u *fakeUpstream) func(context.Context, Guard) (bool, error) {
	return func(ctx context.Context, g Guard) (bool, error) {
		for sleep(ctx, orderInterval) == nil {
			if g.Check() != nil {
				continue
			}
			_ = p.Call(ctx, "order", "", true, func() error {
				if time.Now().Before(g.Deadline()) {
					u.accept(p.Name, g.Epoch())
				}
				return nil
			})
		}
		return false, nil
	}
}

func newTestManager(p *faultinject.Process, options ...Option) *Manager {
	events := event.NewRecorder(p.Name, 64, event.NewClock(time.Now), zap.NewNop())
	return NewManager(p, p.Name, testTerm, events, options...)
}

// startCampaigns starts the processes, which all campaign for one lease.
func startCampaigns(cluster *faultinject.Cluster, u *fakeUpstream, group *sync.WaitGroup, names ...string) []*faultinject.Process {
	var processes []*faultinject.Process
	for _, name := range names {
		p := cluster.Start(context.Background(), name)
		processes = append(processes, p)
		group.Go(func() {
			_ = newTestManager(p).Campaign(p.Context, "upstreams/a", sendOrders(p, u))
		})
		time.Sleep(10 * time.Millisecond)
	}
	return processes
}

// The holder is killed. If no other VM takes the lease, no VM sends orders to upstreams
// any more; if another VM takes it too early, two VMs do.
func TestOtherVMTakesTheLeaseAfterAKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		u := &fakeUpstream{start: time.Now()}
		var group sync.WaitGroup
		processes := startCampaigns(cluster, u, &group, "vm-1", "vm-2")
		time.Sleep(2 * testTerm)
		processes[0].Kill()
		time.Sleep(3 * testTerm)
		processes[1].Stop()
		group.Wait()
		u.check(t)
		if got := u.senders(); !slices.Equal(got, []string{"vm-1", "vm-2"}) {
			t.Errorf("holders %v, want vm-1 and then vm-2", got)
		}
	})
}

// The holder is paused for longer than its term, for example by SIGSTOP, and another VM
// takes the lease. When the first one resumes it must not send orders.
func TestPausedHolderSendsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		u := &fakeUpstream{start: time.Now()}
		var group sync.WaitGroup
		processes := startCampaigns(cluster, u, &group, "vm-1", "vm-2")
		time.Sleep(testTerm)
		processes[0].Pause(4 * testTerm)
		time.Sleep(5 * testTerm)
		for _, p := range processes {
			p.Stop()
		}
		group.Wait()
		u.check(t)
		if got := u.senders(); !slices.Equal(got, []string{"vm-1", "vm-2"}) {
			t.Errorf("holders %v, want vm-1 and then vm-2", got)
		}
	})
}

// A VM drains and releases the lease, so that the next holder need not wait for the end
// of the term. Otherwise each planned stop would leave the lease without a holder for a
// term.
func TestDrainReleasesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		u := &fakeUpstream{start: time.Now()}
		var group sync.WaitGroup
		processes := startCampaigns(cluster, u, &group, "vm-1", "vm-2")
		time.Sleep(testTerm)
		processes[0].Stop()
		time.Sleep(testTerm / 2)
		processes[1].Stop()
		group.Wait()
		u.check(t)
		if got := u.senders(); !slices.Equal(got, []string{"vm-1", "vm-2"}) {
			t.Errorf("holders %v within half a term of the release", got)
		}
	})
}

// The replies of many commits are lost although the commits took effect. The holder
// reads its nonce back and keeps the lease, instead of taking its own commit for
// another VM's.
func TestLostRepliesDontEndTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
			if s.Call == "commit" && s.Index%2 == 1 {
				return faultinject.Fault{Kind: faultinject.LoseReply}
			}
			return faultinject.Fault{}
		})
		u := &fakeUpstream{start: time.Now()}
		var group sync.WaitGroup
		processes := startCampaigns(cluster, u, &group, "vm-1")
		time.Sleep(10 * testTerm)
		processes[0].Stop()
		group.Wait()
		u.check(t)
		epochs := map[uint64]bool{}
		for _, accepted := range u.accepted {
			epochs[accepted.epoch] = true
		}
		if len(epochs) != 1 {
			t.Errorf("%d epochs, want 1", len(epochs))
		}
	})
}

// An outage of the store lasts for several terms. Every VM stops sending orders; after
// the outage one VM holds the lease again, under a new epoch.
func TestStoreOutageEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		u := &fakeUpstream{start: time.Now()}
		var group sync.WaitGroup
		processes := startCampaigns(cluster, u, &group, "vm-1", "vm-2", "vm-3")
		time.Sleep(2 * testTerm)
		cluster.TakeStoreDown(5 * testTerm)
		time.Sleep(8 * testTerm)
		for _, p := range processes {
			p.Stop()
		}
		group.Wait()
		u.check(t)
		last := u.accepted[len(u.accepted)-1]
		if last.epoch != 2 || last.at < 7*testTerm {
			t.Errorf("last order %+v, want epoch 2 after the outage", last)
		}
	})
}

// A large fleet campaigns for one lease. If every VM contended, the reads would grow
// with the fleet. If only the candidates ever contended, the lease would stay free once
// all three are dead.
func TestOnlyCandidatesContendUntilTheyAreDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		u := &fakeUpstream{start: time.Now()}
		var group sync.WaitGroup
		standby := cluster.Start(context.Background(), "vm-9")
		standbyRank := func(string) int { return maxCandidates }
		group.Go(func() {
			_ = newTestManager(standby, WithRanker(standbyRank)).Campaign(standby.Context, "upstreams/a", sendOrders(standby, u))
		})
		processes := startCampaigns(cluster, u, &group, "vm-1")
		time.Sleep(20 * testTerm)
		if got := u.senders(); !slices.Equal(got, []string{"vm-1"}) {
			t.Errorf("holders %v while a candidate is alive", got)
		}
		processes[0].Kill()
		time.Sleep(10 * testTerm)
		standby.Stop()
		group.Wait()
		u.check(t)
		if got := u.senders(); !slices.Equal(got, []string{"vm-1", "vm-9"}) {
			t.Errorf("holders %v, want vm-1 and then vm-9", got)
		}
	})
}

// Guards against reads of lease rows by every VM of a large fleet. A VM that ranks far behind must
// still take the lease when all before it are dead.
func TestVMsFarBehindReadNoLeaseUntilTheirRankRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		u := &fakeUpstream{start: time.Now()}
		var group sync.WaitGroup
		var rank atomic.Int64
		rank.Store(maxContenders)
		p := cluster.Start(context.Background(), "vm-9")
		tables := &readCountingTables{Tables: p}
		m := newTestManager(p, WithRanker(func(string) int { return int(rank.Load()) }))
		m.tables = tables
		group.Go(func() { _ = m.Campaign(p.Context, "upstreams/a", sendOrders(p, u)) })
		time.Sleep(20 * testTerm)
		if n := tables.reads.Load(); n != 0 || len(u.senders()) != 0 {
			t.Errorf("a VM far behind read the lease %d times, holders %v", n, u.senders())
		}
		rank.Store(0)
		time.Sleep(5 * testTerm)
		p.Stop()
		group.Wait()
		if got := u.senders(); !slices.Equal(got, []string{"vm-9"}) {
			t.Errorf("holders %v after the rank rose", got)
		}
	})
}

// readCountingTables counts the reads of rows.
type readCountingTables struct {
	platformapi.Tables
	reads atomic.Int64
}

func (t *readCountingTables) Get(ctx context.Context, key string) (platformapi.Row, error) {
	t.reads.Add(1)
	return t.Tables.Get(ctx, key)
}

// run returns true the second time, so the campaign ends and the lease is free.
func TestCampaignEndsWhenDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(context.Background(), "vm-1")
		defer p.Stop()
		calls := 0
		err := newTestManager(p).Campaign(p.Context, "step/a", func(context.Context, Guard) (bool, error) {
			calls++
			return calls == 2, nil
		})
		row, _ := cluster.Rows.Get(context.Background(), keyPrefix+"step/a")
		if want := `{"holder":"","epoch":2,"renewals":0}`; err != nil || string(row.Value) != want {
			t.Errorf("err %v, row %s, want %s", err, row.Value, want)
		}
	})
}

// The context of a holder that loses its lease ends at the end of the term, with the
// cause. The guard refuses from then on, even if the holder ignores the context.
func TestLostLeaseEndsTheContextWithTheCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(context.Background(), "vm-1")
		var cause string
		_ = newTestManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			deadline := g.Deadline()
			cluster.TakeStoreDown(2 * testTerm)
			<-ctx.Done()
			cause = fmt.Sprint(context.Cause(ctx), " late by ", time.Since(deadline), " guard refuses ", g.Check() != nil)
			return true, nil
		})
		if want := "lease a of epoch 1 is not held late by 0s guard refuses true"; cause != want {
			t.Errorf("got %q, want %q", cause, want)
		}
	})
}

// abandonAction begins an action and ends it at once without an answer.
func abandonAction(ctx context.Context, t *testing.T, g Guard) {
	t.Helper()
	end, err := g.BeginAction(ctx, anyReceiver)
	if err != nil {
		t.Fatal(err)
	}
	end(true)
}

// The holder stops while one of its actions may still take effect, or its duty fails then.
// The next holder must wait until that is taken to be impossible, and the same VM must not
// take the lease sooner. A holder all of whose actions are settled releases at once.
func TestNextHolderWaitsAfterAnUnansweredAction(t *testing.T) {
	fullWait := NewTiming(testTerm).PendingActionWait()
	for _, c := range []struct {
		name       string
		unanswered time.Duration // before the end of the duty; 0 for none
		stop       bool
		min, max   time.Duration
	}{
		{"answered, then a stop", 0, true, 0, testTerm / pollDivisor},
		{"unanswered, then a stop", time.Second, true, fullWait - testTerm/renewDivisor, fullWait + testTerm/pollDivisor},
		{"long unanswered, then a stop", 3 * testTerm, true, 0, testTerm / pollDivisor},
		{"unanswered, then the duty fails", time.Second, false, fullWait - testTerm/renewDivisor, fullWait + testTerm/pollDivisor},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := faultinject.NewCluster(faultinject.NoFaults)
				first, second := cluster.Start(context.Background(), "vm-1"), cluster.Start(context.Background(), "vm-2")
				var group sync.WaitGroup
				var mu sync.Mutex
				var ended, next time.Time
				// noteAcquired records the first acquisition after the end of the duty, and
				// reports whether the duty has ended.
				noteAcquired := func() bool {
					mu.Lock()
					defer mu.Unlock()
					if next.IsZero() && !ended.IsZero() {
						next = time.Now()
					}
					return !ended.IsZero()
				}
				group.Go(func() {
					_ = newTestManager(first, WithSoleProcess()).Campaign(first.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
						if noteAcquired() {
							<-ctx.Done()
							return true, nil
						}
						time.Sleep(testTerm)
						if c.unanswered > 0 {
							abandonAction(ctx, t, g)
							time.Sleep(c.unanswered)
						}
						if c.stop {
							first.Stop()
						}
						mu.Lock()
						defer mu.Unlock()
						ended = time.Now()
						return false, nil
					})
				})
				time.Sleep(time.Millisecond)
				group.Go(func() {
					_ = newTestManager(second).Campaign(second.Context, "a", func(ctx context.Context, _ Guard) (bool, error) {
						noteAcquired()
						<-ctx.Done()
						return true, nil
					})
				})
				time.Sleep(10 * testTerm)
				first.Stop()
				second.Stop()
				group.Wait()
				if wait := next.Sub(ended); wait < c.min || wait > c.max {
					t.Errorf("the lease was taken %v after the end of the duty, want %v to %v", wait, c.min, c.max)
				}
			})
		})
	}
}

// A call that a planned stop cancels leaves it unknown whether its receiver executed it;
// one that outlasts the lease is under way without it.
func TestCallContextOutlastsAStopButNotTheLease(t *testing.T) {
	for _, c := range []struct {
		name      string
		stopAfter time.Duration
		storeDown bool
		timeout   time.Duration
		want      time.Duration
	}{
		{"stop", time.Second, false, 3 * time.Second, 3 * time.Second},
		{"lost lease", 0, true, 5 * testTerm, testTerm},
		{"lost lease after a stop", time.Second, true, 5 * testTerm, testTerm},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := faultinject.NewCluster(faultinject.NoFaults)
				p := cluster.Start(context.Background(), "vm-1")
				var took time.Duration
				_ = newTestManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
					started := time.Now()
					if c.storeDown {
						cluster.TakeStoreDown(10 * testTerm)
					}
					if c.stopAfter > 0 {
						time.AfterFunc(c.stopAfter, p.Stop)
					}
					call, cancel := callContext(ctx, g, c.timeout)
					defer cancel()
					<-call.Done()
					took = time.Since(started)
					return true, nil
				})
				if took != c.want {
					t.Errorf("the call ended after %v, want %v", took, c.want)
				}
			})
		})
	}
}

// Guards against a VM that loses its lease after an unanswered action, takes it again as soon
// as it reaches the store, and acts under the next epoch before the receiver reads the action.
func TestVMWaitsForItsOwnLostLeaseAfterAnUnansweredAction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(context.Background(), "vm-1")
		var unansweredAt, next time.Time
		_ = newTestManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			if !unansweredAt.IsZero() {
				next = time.Now()
				return true, nil
			}
			end, err := g.BeginAction(ctx, anyReceiver)
			if err != nil {
				t.Fatal(err)
			}
			cluster.TakeStoreDown(testTerm)
			time.Sleep(testTerm - time.Second)
			unansweredAt = time.Now()
			end(true)
			<-ctx.Done()
			return false, context.Cause(ctx)
		})
		fullWait := NewTiming(testTerm).PendingActionWait()
		if wait := next.Sub(unansweredAt); wait < fullWait || wait > fullWait+testTerm/pollDivisor {
			t.Errorf("the lease was taken again %v after the unanswered action, want %v", wait, fullWait)
		}
	})
}
