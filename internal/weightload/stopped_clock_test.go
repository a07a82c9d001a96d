package weightload

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
)

// Guards against orders of a holder whose clock stopped, as on a suspended machine: by its clock
// the term lasts on although another VM has taken the lease.
func TestLoaderWithStoppedClockSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		// By the clock of a, its term has hardly begun when that of b's lease has ended.
		f.startLoaderWithTerm(t, "a", time.Hour)
		time.Sleep(2 * time.Second)
		f.announceVersion("m", 2)
		time.Sleep(8 * time.Second)
		if n := f.takeOrders("a"); n == 0 {
			t.Fatal("a sent no order while it held the lease")
		}
		f.startLoader(t, "b")
		time.Sleep(6 * time.Second)
		for v := int64(3); v < 8; v++ {
			f.announceVersion("m", v)
			time.Sleep(4 * time.Second)
		}
		if n := f.takeOrders("a"); n != 0 {
			t.Errorf("a sent %d orders after b had taken the lease", n)
		}
		if n := f.takeOrders("b"); n == 0 {
			t.Error("b sent no order")
		}
	})
}

// startLoaderWithTerm starts a loader whose leases have a term of their own.
func (f *fleet) startLoaderWithTerm(t *testing.T, vm string, term time.Duration) {
	events := event.NewRecorder(vm, 64, event.NewClock(time.Now), zap.NewNop())
	l := &Loader{
		VM: vm, Domain: "x", Roster: f.roster, Engines: f, Demands: f, Store: f.store, Events: events,
		Leases: lease.NewManager(rowstore.NewTables(f.store, "lease"), vm, term, events),
	}
	go l.Run(t.Context())
}

// takeOrders returns how many orders of a VM the engines received, and forgets those.
func (f *fleet) takeOrders(vm string) int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		var holders []string
		var epochs []uint64
		for i, holder := range e.holders {
			if holder == vm {
				n++
				continue
			}
			holders, epochs = append(holders, holder), append(epochs, e.epochs[i])
		}
		e.holders, e.epochs = holders, epochs
		e.mu.Unlock()
	}
	return n
}

// Guards against a load that is lost, or an engine that is avoided, because the store did not
// confirm the lease in time. The outage is shorter than the term.
func TestUnconfirmedLoadIsOrderedAfterTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.startLoader(t, "a")
		time.Sleep(5 * time.Second)
		f.store.SetDown(true)
		f.announceVersion("m", 2)
		time.Sleep(1500 * time.Millisecond)
		if n := f.takeOrders("a"); n != 0 {
			t.Errorf("%d orders without a confirmed lease", n)
		}
		f.store.SetDown(false)
		time.Sleep(500 * time.Millisecond)
		if n := f.takeOrders("a"); n != 1 {
			t.Errorf("%d orders within 0.5 s after the outage, want 1", n)
		}
	})
}
