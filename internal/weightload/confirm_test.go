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

// leaseReadStore counts the reads of leases, and answers reads after a round trip.
type leaseReadStore struct {
	*memory.Store
	reads atomic.Int64
}

func (s *leaseReadStore) Read(ctx context.Context, table, part, from, to string) (rowstore.Page, error) {
	if table == "lease" {
		s.reads.Add(1)
	}
	time.Sleep(2 * time.Millisecond)
	return s.Store.Read(ctx, table, part, from, to)
}

// Guards against a cost of the store that grows faster than the orders: each order confirms the
// lease with one read at most, and orders of the same moment need two together.
func TestOrdersShareReadsOfTheLease(t *testing.T) {
	for _, c := range []struct {
		engines        int
		maxReadsPerTen int64
	}{{1, 10}, {4, 10}, {15, 8}, {45, 4}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(c.engines)
			store := &leaseReadStore{Store: f.store}
			f.startProcess(t, "a", store)
			time.Sleep(30 * time.Second)
			idle := store.reads.Load()
			for v := int64(2); v < 22; v++ {
				f.announceVersion("m", v)
				time.Sleep(4 * time.Second)
			}
			reads := store.reads.Load() - idle
			orders := int64(0)
			for _, e := range f.engines {
				e.mu.Lock()
				orders += int64(len(e.epochs))
				e.mu.Unlock()
			}
			t.Logf("%d engines: %d orders, %d reads of the lease; %d reads before the first order", c.engines, orders, reads, idle)
			if orders < 20 || reads == 0 || reads*10 > orders*c.maxReadsPerTen {
				t.Errorf("%d engines: %d reads for %d orders, want at most %d for ten", c.engines, reads, orders, c.maxReadsPerTen)
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
