package weightload

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// cutOffStore is the store as seen by a process that can't reach it while cutOff is true.
type cutOffStore struct {
	*memory.Store
	cutOff atomic.Bool
}

func (s *cutOffStore) Read(ctx context.Context, table, part, from, to string) (rowstore.Page, error) {
	if s.cutOff.Load() {
		return rowstore.Page{}, errors.WithStack(&fault.StoreUnavailable{Operation: "read"})
	}
	return s.Store.Read(ctx, table, part, from, to)
}

func (s *cutOffStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	if s.cutOff.Load() {
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit"})
	}
	return s.Store.Commit(ctx, txn)
}

// processTerm leaves a process time for several orders after its last renewal.
const processTerm = 12 * time.Second

// startProcess starts a loader in a process whose VM claims to run one process at a time.
func (f *fleet) startProcess(t *testing.T, vm string, store rowstore.Store) (stop context.CancelFunc) {
	events := event.NewRecorder(vm, 64, event.NewClock(time.Now), zap.NewNop())
	l := &Loader{
		VM: vm, Domain: "x", Roster: f.roster, Engines: f, Demands: f, Store: store, Events: events,
		Leases: lease.NewManager(rowstore.NewTables(store, "lease"), vm, processTerm, events, lease.WithSoleProcess()),
	}
	ctx, stop := context.WithCancel(t.Context())
	go l.Run(ctx)
	t.Cleanup(stop)
	return stop
}

// Guards against orders of a process whose successor on the same VM has taken its lease early and
// released it, so that a third process waits for none of their terms.
func TestProcessWithSuccessorSendsNoOrder(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		for delay := range 10 {
			synctest.Test(t, func(t *testing.T) {
				checkProcessWithSuccessor(t, cutOff, 2*time.Second+time.Duration(delay)*100*time.Millisecond)
			})
		}
	}
}

// checkProcessWithSuccessor starts the first process, after delay its successor, which stops soon,
// and a third process. If cutOff is true, the first one can't reach the store any more by then.
func checkProcessWithSuccessor(t *testing.T, cutOff bool, delay time.Duration) {
	f := newFleet(4)
	store := &cutOffStore{Store: f.store}
	version := int64(1)
	announceFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			version++
			f.announceVersion("m", version)
		}
	}
	f.startProcess(t, "a", store)
	announceFor(delay)
	store.cutOff.Store(cutOff)
	stop := f.startProcess(t, "a", f.store)
	announceFor(100 * time.Millisecond)
	stop()
	f.startProcess(t, "b", f.store)
	announceFor(2 * processTerm)
	orders := 0
	for id, e := range f.engines {
		e.mu.Lock()
		orders += len(e.epochs)
		for i := 1; i < len(e.epochs); i++ {
			if e.epochs[i] < e.epochs[i-1] {
				t.Errorf("cut off %v: %s received an order of epoch %d after one of epoch %d", cutOff, id, e.epochs[i], e.epochs[i-1])
			}
		}
		e.mu.Unlock()
	}
	if orders < 10 {
		t.Errorf("cut off %v: the engines received only %d orders", cutOff, orders)
	}
}
