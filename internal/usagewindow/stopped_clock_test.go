package usagewindow

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// Guards against reports of a holder whose clock stopped, as on a suspended machine: by its clock
// the term lasts on although another VM has taken the lease.
func TestReporterWithStoppedClockSendsNoReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		events := event.NewRecorder("a", 64, event.NewClock(time.Now), zap.NewNop())
		clock := NewFleetClock(store)
		if err := clock.SyncOffset(t.Context(), store); err != nil {
			t.Fatal(err)
		}
		// By the clock of a, its term has hardly begun when that of b's lease has ended.
		a := &Reporter{
			CallBudget: budget.New(budget.Rates{}),
			VM:         "a", WindowLength: windowLength, Clock: clock, Store: store, Billing: b, Events: events,
			Leases:      lease.NewManager(rowstore.NewTables(store, "lease"), "a", time.Hour, events),
			Accounts:    func() []string { return []string{"acc"} },
			NoneAwaited: func() bool { return true },
		}
		go a.Run(t.Context())
		time.Sleep(3 * windowLength)
		b.mu.Lock()
		before := len(b.reports)
		b.mu.Unlock()
		if before == 0 {
			t.Fatal("a sent no report while it held the lease")
		}
		startVM(t, store, b, "b")
		time.Sleep(6 * time.Second)
		b.mu.Lock()
		before = len(b.reports)
		b.mu.Unlock()
		time.Sleep(6 * windowLength)
		fromA, fromB := 0, 0
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, report := range b.reports[before:] {
			if report.Holder == "a" {
				fromA++
			} else {
				fromB++
			}
		}
		if fromA != 0 || fromB == 0 {
			t.Errorf("%d reports of a and %d of b after b had taken the lease", fromA, fromB)
		}
	})
}
