package weightload

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
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
