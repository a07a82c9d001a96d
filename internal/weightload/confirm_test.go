package weightload

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// leaseWriteStore counts the writes of leases, and answers writes after a round trip.
type leaseWriteStore struct {
	*memory.Store
	writes atomic.Int64
}

func (s *leaseWriteStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	for _, put := range txn.Puts {
		if put.Key.Table == "lease" {
			s.writes.Add(1)
		}
	}
	time.Sleep(2 * time.Millisecond)
	return s.Store.Commit(ctx, txn)
}

// Guards against a cost of the store that grows faster than the orders: each order confirms the
// lease with one more renewal at most, and orders of the same moment need two together.
func TestOrdersShareRenewalsOfTheLease(t *testing.T) {
	const versions, versionInterval = 20, 4 * time.Second
	for _, c := range []struct {
		engines         int
		maxWritesPerTen int64
	}{{1, 10}, {4, 10}, {15, 8}, {45, 4}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(c.engines)
			store := &leaseWriteStore{Store: f.store}
			// Runs after the process was stopped, for the end of its release.
			t.Cleanup(func() { time.Sleep(time.Second) })
			f.startProcess(t, "a", store)
			time.Sleep(versions * versionInterval)
			idle := store.writes.Load()
			for v := int64(2); v < 2+versions; v++ {
				f.announceVersion("m", v)
				time.Sleep(versionInterval)
			}
			// As much time passed without orders as with them.
			writes := store.writes.Load() - 2*idle
			orders := int64(0)
			for _, e := range f.engines {
				e.mu.Lock()
				orders += int64(len(e.epochs))
				e.mu.Unlock()
			}
			t.Logf("%d engines: %d orders, %d more writes of the lease than the %d without orders", c.engines, orders, writes, idle)
			if orders < 20 || writes*10 > orders*c.maxWritesPerTen {
				t.Errorf("%d engines: %d writes for %d orders, want at most %d for ten", c.engines, writes, orders, c.maxWritesPerTen)
			}
		})
	}
}

// readRefusingStore refuses reads while refusing is true, as a store does whose rate of reads
// is exhausted. It accepts writes.
type readRefusingStore struct {
	*memory.Store
	refusing atomic.Bool
}

func (s *readRefusingStore) Read(ctx context.Context, table, part, from, to string) (rowstore.Page, error) {
	if s.refusing.Load() {
		return rowstore.Page{}, errors.WithStack(&fault.StoreUnavailable{Operation: "read"})
	}
	return s.Store.Read(ctx, table, part, from, to)
}

// Guards against a holder that keeps its lease by renewals, but orders nothing for as long as
// the store refuses reads.
func TestLoadsGoOnWhileTheStoreRefusesReadsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		store := &readRefusingStore{Store: f.store}
		f.startProcess(t, "a", store)
		time.Sleep(processTerm)
		store.refusing.Store(true)
		f.announceVersion("m", 2)
		time.Sleep(2 * processTerm)
		if n := f.takeOrders("a"); n == 0 {
			t.Errorf("no order in %s, in which the lease was renewed", 2*processTerm)
		}
	})
}

// unconfirmedLease is held, but no action begins under it.
type unconfirmedLease struct{ heldLease }

func (unconfirmedLease) BeginAction(ctx context.Context, _ string) (func(bool), error) {
	<-ctx.Done()
	return nil, errors.WithStack(context.Cause(ctx))
}

// Guards against a load that ends unreported, and begins anew without a backoff, when its timeout
// passes while it waits for the confirmation of the lease.
func TestLoadThatTimesOutDuringAConfirmationIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newObservedLoader(1, noLatency)
		startsAt := lease.OrderGracePeriod(orderTimeout)
		serveWith(t, l, unconfirmedLease{1}, startsAt+loadTimeout+suspectBackoff/2)
		if n := countNotDone(l); n != 1 {
			t.Errorf("%d loads are reported as not done in time, want 1", n)
		}
		if !l.isSuspect(l.Roster.Upstreams("lm")[0]) {
			t.Error("the engine is due again without a backoff")
		}
	})
}

func countNotDone(l *Loader) int {
	n := 0
	for _, r := range l.Events.Since(event.Stamp{}) {
		if r.Number == event.OrderFailed && strings.Contains(r.Detail, "not done in time") {
			n++
		}
	}
	return n
}

// Guards against a failed load in the log, and a backoff, for a load that only a stop or the loss of the lease
// ended.
func TestLoadEndedByAStopIsNotReportedAsFailed(t *testing.T) {
	for name, guard := range map[string]lease.Guard{"confirming": unconfirmedLease{1}, "loading": heldLease(1)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, _ := newObservedLoader(1, noLatency)
				serveWith(t, l, guard, lease.OrderGracePeriod(orderTimeout)+expectedLoadTime/2)
				if n := countNotDone(l); n != 0 {
					t.Errorf("%d loads are reported as not done in time, want none", n)
				}
				if l.isSuspect(l.Roster.Upstreams("lm")[0]) {
					t.Error("the engine is not due again at once")
				}
			})
		})
	}
}
