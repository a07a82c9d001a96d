package scaling

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// Guards against orders of a holder whose clock stopped, as on a suspended machine: by its clock
// the term lasts on although another VM has taken the lease.
func TestOrdererWithStoppedClockSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, counts, p := memory.New(), &fakeCounts{set: map[string]KindCounts{"lm": {4, 0}}}, &fakePlatform{}
		events := event.NewRecorder("a", 16, event.NewClock(time.Now), zap.NewNop())
		// By the clock of a, its term has hardly begun when that of b's lease has ended.
		a := &Orderer{
			VM: "a", Domain: "x", DesiredCounts: counts, Platform: p, Events: events,
			Leases: lease.NewManager(rowstore.NewTables(store, "lease"), "a", time.Hour, events),
		}
		go a.Run(t.Context())
		time.Sleep(10 * time.Second)
		if n := len(p.received()); n == 0 {
			t.Fatal("a sent no order while it held the lease")
		}
		startOrderer(t, store, counts, p, "b")
		time.Sleep(6 * time.Second)
		before := len(p.received())
		for n := range 5 {
			counts.replace(map[string]KindCounts{"lm": {5 + n, 0}})
			time.Sleep(repeatInterval)
		}
		fromA, fromB := 0, 0
		for _, order := range p.received()[before:] {
			if order.Holder == "a" {
				fromA++
			} else {
				fromB++
			}
		}
		if fromA != 0 || fromB == 0 {
			t.Errorf("%d orders of a and %d of b after b had taken the lease", fromA, fromB)
		}
	})
}

// Guards against an order that is lost because the store did not confirm the lease in time. The
// outage is shorter than the term.
func TestUnconfirmedOrderIsSentAfterTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, counts, p := memory.New(), &fakeCounts{set: map[string]KindCounts{"lm": {4, 0}}}, &fakePlatform{}
		startOrderer(t, store, counts, p, "a")
		time.Sleep(5 * time.Second)
		before := len(p.received())
		store.SetDown(true)
		counts.replace(map[string]KindCounts{"lm": {5, 0}})
		time.Sleep(3 * planInterval)
		if n := len(p.received()); n != before {
			t.Errorf("%d orders without a confirmed lease", n-before)
		}
		store.SetDown(false)
		time.Sleep(2 * planInterval)
		if got := p.received()[before:]; len(got) != 1 || got[0].Count != 5 || got[0].Epoch != 1 {
			t.Errorf("orders after the outage: %+v", got)
		}
	})
}
