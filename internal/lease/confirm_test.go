package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
)

// overwriteRow gives a lease to another holder, as the row of a VM with a later epoch.
func overwriteRow(t *testing.T, cluster *faultinject.Cluster, name string) {
	t.Helper()
	row, err := cluster.Rows.Get(t.Context(), keyPrefix+name)
	if err != nil {
		t.Fatal(err)
	}
	err = cluster.Rows.Commit(t.Context(), platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: row.Key, Version: row.Version}},
		Writes:        []platformapi.Write{{Key: row.Key, Value: platformapi.EncodeValue(Record{Holder: "vm-2/x", Epoch: 2})}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// The row shows another holder before the term has ended by the local clock. The hold must end
// at once, with the context of run, and not at the next renewal.
func TestConfirmEndsAHoldThatTheRowContradicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(t.Context(), "vm-1")
		defer p.Stop()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = newTestManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
				if err := g.Confirm(ctx); err != nil {
					t.Errorf("Confirm of a held lease: %v", err)
				}
				overwriteRow(t, cluster, "a")
				started := time.Now()
				if err := g.Confirm(ctx); !fault.Is[*fault.LeaseLost](err) {
					t.Errorf("Confirm of a lost lease: %v, want a lost lease", err)
				}
				if g.Check() == nil || !fault.Is[*fault.LeaseLost](context.Cause(ctx)) {
					t.Errorf("after a refused Confirm the guard passes or run goes on: cause %v", context.Cause(ctx))
				}
				if time.Since(started) > 0 {
					t.Errorf("the hold ended after %s", time.Since(started))
				}
				return true, nil
			})
		}()
		time.Sleep(testTerm)
		p.Stop()
		<-done
		row, err := cluster.Rows.Get(t.Context(), keyPrefix+"a")
		var record Record
		if err != nil || row.Decode(&record) != nil || record.Holder != "vm-2/x" {
			t.Errorf("the row of the next holder was overwritten: %s, error %v", row.Value, err)
		}
	})
}

// Guards against a caller that is told of the loss and goes on with a context that has not ended,
// because the renewals are slow to report the loss.
func TestRefusedConfirmEndsRunBeforeItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(t.Context(), "vm-1")
		m := newTestManager(p)
		m.events.Observe(func(r event.Record) {
			if r.Number == event.LeaseLost {
				time.Sleep(time.Second)
			}
		})
		_ = m.Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			overwriteRow(t, cluster, "a")
			err := g.Confirm(ctx)
			if cause := context.Cause(ctx); !fault.Is[*fault.LeaseLost](err) || !fault.Is[*fault.LeaseLost](cause) {
				t.Errorf("Confirm of a lost lease: %v, and the context ended with %v; want a lost lease from both", err, cause)
			}
			return true, nil
		})
	})
}

// The store does not answer. The lease is neither confirmed nor lost.
func TestUnansweredConfirmKeepsTheHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(t.Context(), "vm-1")
		_ = newTestManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			cluster.TakeStoreDown(testTerm * 2 / 3)
			if err := g.Confirm(ctx); !fault.Is[*fault.StoreUnavailable](err) {
				t.Errorf("Confirm without an answer: %v, want an unavailable store", err)
			}
			if g.Check() != nil || ctx.Err() != nil {
				t.Error("the hold ended without an answer of the store")
			}
			time.Sleep(testTerm / 3)
			if err := g.Confirm(ctx); err != nil {
				t.Errorf("Confirm after the outage: %v", err)
			}
			return true, nil
		})
	})
}

// refusingTables refuses reads and writes while refusing is true.
type refusingTables struct {
	platformapi.Tables
	refusing atomic.Bool
}

func (r *refusingTables) Get(ctx context.Context, key string) (platformapi.Row, error) {
	if r.refusing.Load() {
		return platformapi.Row{}, errors.WithStack(&fault.PlatformRefused{Operation: "read", Status: 400})
	}
	return r.Tables.Get(ctx, key)
}

func (r *refusingTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	if r.refusing.Load() {
		return errors.WithStack(&fault.PlatformRefused{Operation: "commit", Status: 400})
	}
	return r.Tables.Commit(ctx, txn)
}

// Guards against a usage window that is given up as refused by billing, because the store
// refused the renewal of the lease before the report.
func TestRefusedConfirmIsNotARefusalOfTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := faultinject.NewCluster(faultinject.NoFaults).Start(t.Context(), "vm-1")
		tables := &refusingTables{Tables: p}
		m := newTestManager(p)
		m.tables = tables
		_ = m.Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			tables.refusing.Store(true)
			err := g.Confirm(ctx)
			if !fault.Is[*fault.StoreUnavailable](err) || fault.Is[*fault.PlatformRefused](err) || g.Check() != nil {
				t.Errorf("Confirm with a refused renewal: %v, want an unavailable store and a held lease", err)
			}
			tables.refusing.Store(false)
			return true, nil
		})
	})
}

// slowTables answers each commit after delay.
type slowTables struct {
	platformapi.Tables
	delay   time.Duration
	commits atomic.Int64
}

func (s *slowTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	s.commits.Add(1)
	err := s.Tables.Commit(ctx, txn)
	time.Sleep(s.delay)
	return err
}

// Many calls begin while a renewal is in flight. They must share one renewal; and they must not take
// the result of the one in flight, which was committed before the row changed.
func TestConcurrentConfirmsShareALaterRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(t.Context(), "vm-1")
		tables := &slowTables{Tables: p, delay: 100 * time.Millisecond}
		m := newTestManager(p)
		m.tables = tables
		_ = m.Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			before := tables.commits.Load()
			var first error
			var calls sync.WaitGroup
			calls.Go(func() { first = g.Confirm(ctx) })
			time.Sleep(50 * time.Millisecond)
			overwriteRow(t, cluster, "a")
			var lost atomic.Int64
			for range 20 {
				calls.Go(func() {
					if fault.Is[*fault.LeaseLost](g.Confirm(context.WithoutCancel(ctx))) {
						lost.Add(1)
					}
				})
			}
			calls.Wait()
			if first != nil || lost.Load() != 20 {
				t.Errorf("the first call failed with %v, %d of 20 later ones found the loss", first, lost.Load())
			}
			if n := tables.commits.Load() - before; n != 2 {
				t.Errorf("21 calls made %d renewals, want 2", n)
			}
			return true, nil
		})
	})
}

// A caller that gives up must not end the renewal for the others.
func TestCanceledConfirmDoesNotFailTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(t.Context(), "vm-1")
		m := newTestManager(p)
		m.tables = &slowTables{Tables: p, delay: 100 * time.Millisecond}
		_ = m.Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			var calls sync.WaitGroup
			calls.Go(func() {
				early, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
				defer cancel()
				if g.Confirm(early) == nil {
					t.Error("a call confirmed the lease after its context had ended")
				}
			})
			synctest.Wait()
			calls.Go(func() {
				if err := g.Confirm(ctx); err != nil {
					t.Errorf("another call failed: %v", err)
				}
			})
			calls.Wait()
			return true, nil
		})
	})
}

// Guards against a planned stop that looks like a lost lease: a renewal is in flight when run
// returns.
func TestConfirmInFlightAtReleaseReportsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := faultinject.NewCluster(faultinject.NoFaults).Start(t.Context(), "vm-1")
		m := newTestManager(p)
		tables := &lateTables{Tables: p}
		m.tables = tables
		var guard Guard
		err := m.Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			guard = g
			tables.delay.Store(int64(100 * time.Millisecond))
			go func() { _ = g.Confirm(context.WithoutCancel(ctx)) }()
			synctest.Wait()
			return true, nil
		})
		if err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		for _, record := range m.events.Since(event.Stamp{}) {
			if record.Number == event.LeaseLost {
				t.Errorf("a released lease is reported as lost: %+v", record)
			}
		}
		if err := guard.Confirm(t.Context()); !fault.Is[*fault.LeaseLost](err) {
			t.Errorf("Confirm after the release: %v, want a lost lease", err)
		}
	})
}

// lateTables sends each commit after delay.
type lateTables struct {
	platformapi.Tables
	delay atomic.Int64
}

func (l *lateTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	if err := sleep(ctx, time.Duration(l.delay.Load())); err != nil {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "commit"})
	}
	return l.Tables.Commit(ctx, txn)
}

// Renewals are late, lost or repeated while the lease is confirmed. A row with the own holder and
// epoch must not end the hold.
func TestConfirmDoesNotEndAHoldDuringRenewals(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random, pauses := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1))
			cluster := faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
				if s.Index < 2 || random.IntN(3) > 0 {
					return faultinject.Fault{}
				}
				kinds := []faultinject.Kind{faultinject.LoseReply, faultinject.LoseRequest, faultinject.DelayEffect}
				if s.Call == "get" {
					kinds = kinds[:2]
				}
				return faultinject.Fault{Kind: kinds[random.IntN(len(kinds))], Duration: time.Duration(random.Int64N(int64(testTerm)))}
			})
			p := cluster.Start(t.Context(), "vm-1")
			epochs := 0
			var group sync.WaitGroup
			group.Go(func() {
				_ = newTestManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
					epochs++
					for ctx.Err() == nil {
						deadline := g.Deadline()
						if err := g.Confirm(ctx); fault.Is[*fault.LeaseLost](err) && time.Now().Before(deadline) {
							t.Errorf("seed %d: epoch %d: %v, %s before the end of the term", seed, g.Epoch(), err, time.Until(deadline))
						}
						_ = sleep(ctx, time.Duration(pauses.Int64N(int64(300*time.Millisecond))))
					}
					return false, nil
				})
			})
			time.Sleep(10 * testTerm)
			p.Stop()
			group.Wait()
			time.Sleep(testTerm)
			if epochs == 0 {
				t.Errorf("seed %d: the lease was never held", seed)
			}
		})
	}
}

// Guards against a holder that confirms its lease directly before the next holder acquires it, and
// then acts in a term that has ended by the next holder's clock.
func TestConfirmRestartsTheWaitOfTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		holder, next := cluster.Start(t.Context(), "vm-1"), cluster.Start(t.Context(), "vm-2")
		slowClock := NewManager(holder, "vm-1", time.Hour, newTestManager(holder).events)
		var confirmedAt, acquiredAt time.Time
		var group sync.WaitGroup
		group.Go(func() {
			_ = slowClock.Campaign(holder.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
				time.Sleep(testTerm)
				if err := g.Confirm(ctx); err != nil {
					t.Errorf("Confirm of a held lease: %v", err)
				}
				confirmedAt = time.Now()
				<-ctx.Done()
				return true, nil
			})
		})
		group.Go(func() {
			time.Sleep(time.Millisecond)
			_ = newTestManager(next).Campaign(next.Context, "a", func(context.Context, Guard) (bool, error) {
				acquiredAt = time.Now()
				holder.Stop()
				return true, nil
			})
		})
		group.Wait()
		if wait := acquiredAt.Sub(confirmedAt); wait < testTerm {
			t.Errorf("the lease was taken %s after it was confirmed, want at least a term, %s", wait, testTerm)
		}
	})
}

// lateReplyTables replies to each commit after delay. A commit whose context ends before that takes
// effect, and its outcome stays unknown.
type lateReplyTables struct {
	platformapi.Tables
	delay atomic.Int64
}

func (l *lateReplyTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	err := l.Tables.Commit(ctx, txn)
	if sleep(ctx, time.Duration(l.delay.Load())) != nil {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
	}
	return err
}

// Guards against a planned stop that leaves the lease held for a term: a renewal is in flight when
// run returns, and the release expects the row before it.
func TestStopDuringARenewalReleasesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(t.Context(), "vm-1")
		m := newTestManager(p)
		tables := &lateReplyTables{Tables: p}
		m.tables = tables
		_ = m.Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			tables.delay.Store(int64(100 * time.Millisecond))
			go func() { _ = g.Confirm(context.WithoutCancel(ctx)) }()
			time.Sleep(50 * time.Millisecond)
			p.Stop()
			return true, nil
		})
		row, err := cluster.Rows.Get(t.Context(), keyPrefix+"a")
		var record Record
		if err != nil || row.Decode(&record) != nil || record.Holder != "" {
			t.Errorf("after the stop the row is %s, error %v, want a released lease", row.Value, err)
		}
	})
}
