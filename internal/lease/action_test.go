package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// errUnanswered is the error of an action that got no answer.
var errUnanswered = errors.WithStack(&fault.StoreUnavailable{Operation: "order", EffectUnknown: true})

// readRecord returns the record in the row of a lease.
func readRecord(t *testing.T, cluster *faultinject.Cluster, name string) Record {
	t.Helper()
	var record Record
	row, err := cluster.Rows.Get(t.Context(), keyPrefix+name)
	if err == nil {
		err = row.Decode(&record)
	}
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// Guards against a next holder that does not learn of an action: the row must tell of it before it
// begins and while it may take effect, and not for longer.
func TestRowTellsOfAnActionWhileItMayTakeEffect(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want time.Duration // for which the row tells of the action after its end
	}{
		{"answered", nil, 0},
		{"refused", errors.WithStack(&fault.PlatformRefused{Operation: "order", Status: 409}), 0},
		{"not sent", errors.WithStack(&fault.StoreUnavailable{Operation: "order"}), 0},
		{"unanswered", errUnanswered, NewTiming(testTerm).PendingActionWait()},
		{"canceled as the lease was lost", fault.WithExecution(errors.WithStack(&fault.LeaseLost{Lease: "a", Epoch: 1}), fault.Unknown), NewTiming(testTerm).PendingActionWait()},
		{"not written as the lease was lost", fault.WithExecution(errors.WithStack(&fault.LeaseLost{Lease: "a", Epoch: 1}), fault.NotRun), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := faultinject.NewCluster(faultinject.NoFaults)
				p := cluster.Start(t.Context(), "vm-1")
				_ = newTestManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
					if readRecord(t, cluster, "a").ActionPending {
						t.Error("the row tells of an action before the first one")
					}
					err := Act(ctx, g, time.Second, func(context.Context) error {
						if !readRecord(t, cluster, "a").ActionPending {
							t.Error("the action began before the row told of it")
						}
						time.Sleep(500 * time.Millisecond)
						return c.err
					})
					if !errors.Is(err, c.err) {
						t.Errorf("Act returned %v, want %v", err, c.err)
					}
					ended := time.Now()
					for time.Sleep(time.Millisecond); readRecord(t, cluster, "a").ActionPending; time.Sleep(10 * time.Millisecond) {
					}
					took := time.Since(ended)
					if took < c.want || took > c.want+testTerm/renewDivisor || c.want == 0 && took > time.Millisecond {
						t.Errorf("the row told of the action for %s after its end, want %s", took, c.want)
					}
					return true, nil
				})
			})
		})
	}
}

// Guards against an action that begins without a confirmed lease, and against callers that take this for
// a failure of the action.
func TestActionDoesNotBeginWithoutAConfirmedLease(t *testing.T) {
	for _, c := range []struct {
		name     string
		prevent  func(cluster *faultinject.Cluster, p *faultinject.Process, tables *lateTables)
		isCause  func(error) bool
		heldOn   bool
		released bool
	}{
		{"lost lease", func(cluster *faultinject.Cluster, _ *faultinject.Process, _ *lateTables) {
			overwriteRow(t, cluster, "a")
		}, fault.Is[*fault.LeaseLost], false, false},
		{"store without an answer", func(cluster *faultinject.Cluster, _ *faultinject.Process, _ *lateTables) {
			cluster.TakeStoreDown(testTerm * 2 / 3)
		}, fault.Is[*fault.StoreUnavailable], true, true},
		{"stop", func(_ *faultinject.Cluster, p *faultinject.Process, tables *lateTables) {
			tables.delay.Store(int64(100 * time.Millisecond))
			p.Stop()
		}, func(err error) bool { return errors.Is(err, context.Canceled) }, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := faultinject.NewCluster(faultinject.NoFaults)
				p := cluster.Start(t.Context(), "vm-1")
				m := newTestManager(p)
				tables := &lateTables{Tables: m.tables}
				m.tables = tables
				_ = m.Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
					c.prevent(cluster, p, tables)
					err := Act(ctx, g, time.Second, func(context.Context) error {
						t.Error("the action began")
						return nil
					})
					if !fault.Is[*fault.LeaseUnconfirmed](err) || !c.isCause(err) || fault.MayTakeEffect(err) {
						t.Errorf("Act returned %v", err)
					}
					if held := g.Check() == nil; held != c.heldOn {
						t.Errorf("the lease is held: %v, want %v", held, c.heldOn)
					}
					time.Sleep(testTerm / 3)
					return true, nil
				})
				if released := readRecord(t, cluster, "a").Holder == ""; released != c.released {
					t.Errorf("the lease was released: %v, want %v", released, c.released)
				}
			})
		})
	}
}

// Guards against a next holder, or a next process of the same VM, that acts while an action of a killed
// holder may wait at its receiver, and against one that waits although the action was answered.
func TestNextHolderWaitsForThePendingActionOfAKilledOne(t *testing.T) {
	timing := NewTiming(testTerm)
	for _, c := range []struct {
		name     string
		answered bool
		next     string
		min, max time.Duration
	}{
		{"another VM, action under way", false, "vm-2", timing.PendingActionWait(), timing.PendingActionWait() + testTerm/pollDivisor},
		{"another VM, action answered", true, "vm-2", timing.Term, timing.Term + timing.Margin + testTerm/pollDivisor},
		{"own VM, action under way", false, "vm-1", timing.PendingActionWait(), timing.PendingActionWait() + testTerm/pollDivisor},
		{"own VM, action answered", true, "vm-1", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := faultinject.NewCluster(faultinject.NoFaults)
				first := cluster.Start(context.Background(), "vm-1")
				var group sync.WaitGroup
				var acted, next time.Time
				group.Go(func() {
					_ = newTestManager(first).Campaign(first.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
						_ = Act(ctx, g, time.Second, func(ctx context.Context) error {
							acted = time.Now()
							if c.answered {
								return nil
							}
							first.Kill()
							return errUnanswered
						})
						time.Sleep(time.Millisecond)
						first.Kill()
						return false, nil
					})
				})
				time.Sleep(10 * time.Millisecond)
				second := cluster.Start(context.Background(), c.next)
				group.Go(func() {
					_ = newTestManager(second, WithSoleProcess()).Campaign(second.Context, "a", func(context.Context, Guard) (bool, error) {
						next = time.Now()
						return true, nil
					})
				})
				group.Wait()
				// The second process started 10 ms after the action.
				if wait := next.Sub(acted) - 10*time.Millisecond; wait < c.min || wait > c.max {
					t.Errorf("the lease was taken %s after the action, want %s to %s", wait, c.min, c.max)
				}
			})
		})
	}
}

// actionLog holds the actions of all holders of a lease. It is safe for concurrent use.
type actionLog struct {
	mu      sync.Mutex
	actions []loggedAction
}

// loggedAction is an action under an epoch. answered is false if its receiver may execute it later.
type loggedAction struct {
	epoch    uint64
	begun    time.Time
	answered bool
}

// act begins an action, which ends without an answer if the process is killed meanwhile or at random.
func (l *actionLog) act(epoch uint64, took time.Duration, unanswered func() bool) error {
	l.mu.Lock()
	n := len(l.actions)
	l.actions = append(l.actions, loggedAction{epoch: epoch, begun: time.Now()})
	l.mu.Unlock()
	time.Sleep(took)
	if unanswered() {
		return errUnanswered
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actions[n].answered = true
	return nil
}

// check fails if an action began under a later epoch less than wait after an unanswered one.
func (l *actionLog) check(wait time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, earlier := range l.actions {
		for _, later := range l.actions {
			if !earlier.answered && later.epoch > earlier.epoch && later.begun.Sub(earlier.begun) < wait {
				return errors.Newf("an action of epoch %d began %s after an unanswered one of epoch %d, want at least %s", later.epoch, later.begun.Sub(earlier.begun), earlier.epoch, wait)
			}
		}
	}
	return nil
}

// actUntil runs processes of a VM one after the other, which act, several at a time, and are killed or
// stopped at random.
func (l *actionLog) actUntil(end time.Time, vm string, store *memory.Store, random *rand.Rand) {
	for time.Now().Before(end) {
		s := &faultyStore{Store: store, random: rand.New(rand.NewPCG(random.Uint64(), 0))}
		events := event.NewRecorder(vm, 64, event.NewClock(time.Now), zap.NewNop())
		m := NewManager(rowstore.NewTables(s, "lease"), vm, testTerm, events, WithSoleProcess())
		ctx, stop := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() {
			_ = m.Campaign(ctx, "a", func(ctx context.Context, g Guard) (bool, error) {
				var actions sync.WaitGroup
				defer actions.Wait()
				for sleep(ctx, time.Duration(s.intN(1500))*time.Millisecond) == nil {
					actions.Go(func() {
						_ = Act(ctx, g, time.Second, func(context.Context) error {
							return l.act(g.Epoch(), time.Duration(s.intN(900))*time.Millisecond, func() bool {
								return s.killed.Load() || s.intN(6) == 0
							})
						})
					})
				}
				return false, nil
			})
		})
		time.Sleep(time.Duration(random.Int64N(int64(5 * testTerm))))
		s.killed.Store(random.IntN(2) == 0)
		stop()
		group.Wait()
	}
}

// Guards against an action under a later epoch while one of an earlier epoch may wait at its receiver, when
// commits and replies are late, lost, refused or repeated, reads are old, and processes are killed and
// stopped.
func TestNoActionOvertakesAPendingOne(t *testing.T) {
	var actions, epochs int
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			store := memory.New()
			faults := rand.New(rand.NewPCG(seed, 2))
			var mu sync.Mutex
			store.SetFault(func(rowstore.Txn) memory.Fault {
				mu.Lock()
				defer mu.Unlock()
				kinds := []memory.Fault{memory.NoFault, memory.NoFault, memory.NoFault, memory.NoFault, memory.NoFault, memory.NoFault, memory.NoFault, memory.AnswerLost, memory.EffectDelayed, memory.Refused, memory.RequestLost}
				return kinds[faults.IntN(len(kinds))]
			})
			l := &actionLog{}
			end := time.Now().Add(30 * testTerm)
			var group sync.WaitGroup
			for i, vm := range []string{"vm-0", "vm-1"} {
				own := rand.New(rand.NewPCG(seed, uint64(10+i)))
				group.Go(func() { l.actUntil(end, vm, store, own) })
			}
			for time.Now().Before(end) {
				time.Sleep(time.Duration(random.Int64N(int64(testTerm))))
				store.RunDelayed()
			}
			group.Wait()
			store.RunDelayed()
			// Confirm takes half a term at most, and the next holder may have seen its renewal at once.
			if err := l.check(NewTiming(testTerm).PendingActionWait() - testTerm/confirmTimeoutDivisor); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			actions += len(l.actions)
			if len(l.actions) > 0 {
				epochs += int(l.actions[len(l.actions)-1].epoch)
			}
		})
	}
	t.Logf("%d actions, %d epochs", actions, epochs)
	if actions < 1000 || epochs < 500 {
		t.Errorf("only %d actions in %d epochs", actions, epochs)
	}
}
