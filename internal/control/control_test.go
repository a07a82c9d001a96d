package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/provision"
)

// countingGuard counts the confirmations of a lease. lost makes it the guard of a holder whose
// clock stopped: the term lasts on by its clock, and the row has another holder.
type countingGuard struct {
	lost          bool
	confirmations atomic.Int64
}

func (*countingGuard) Check() error        { return nil }
func (*countingGuard) Epoch() uint64       { return 1 }
func (*countingGuard) Deadline() time.Time { return time.Now().Add(time.Hour) }

func (g *countingGuard) Confirm(context.Context) error {
	g.confirmations.Add(1)
	if g.lost {
		return errors.WithStack(&fault.LeaseLost{Lease: "domain/a", Epoch: 1})
	}
	return nil
}

func (*countingGuard) PendingUntil(string) time.Time { return time.Time{} }

func (g *countingGuard) BeginAction(ctx context.Context, _ string) (func(bool), error) {
	return func(bool) {}, g.Confirm(ctx)
}

// newSiteWithDueOrders returns a site in which a weight load, a move and a start are due after
// some ticks.
func newSiteWithDueOrders() *site {
	s := newSite()
	s.latest = 2
	s.demands = []provision.Demand{{Account: account, Model: model, Adapter: "replies", Queued: 5}}
	return s
}

// tickOften runs some rounds of a holder and returns the numbers of orders that the engine and
// the platform received, and whether a ledger was written.
func tickOften(t *testing.T, s *site, guard *countingGuard) (toEngine, toPlatform int, ledgerWritten bool) {
	t.Helper()
	controller := s.newController(s.cluster.Start(t.Context(), "vm-1"))
	for range 8 {
		controller.tick(t.Context(), guard)
		controller.WeightUpdater.Wait()
		time.Sleep(controller.DomainInterval)
	}
	rows, err := s.cluster.Rows.Scan(t.Context(), provision.LedgerPrefix, provision.LedgerPrefix, 1)
	if err != nil {
		t.Fatal(err)
	}
	return len(s.engine.executed()), len(s.platform.executed()), len(rows) > 0
}

// Guards against orders of a holder whose clock stopped, as on a suspended machine, and against
// ledgers that it writes, which the holder would act on.
func TestRoundsWithoutConfirmedLeaseHaveNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		toEngine, toPlatform, ledgerWritten := tickOften(t, newSiteWithDueOrders(), &countingGuard{lost: true})
		if toEngine > 0 || toPlatform > 0 || ledgerWritten {
			t.Errorf("without the lease: %d orders to the engine, %d to the platform, ledger written: %v", toEngine, toPlatform, ledgerWritten)
		}
		toEngine, toPlatform, ledgerWritten = tickOften(t, newSiteWithDueOrders(), &countingGuard{})
		if toEngine < 2 || toPlatform < 1 || !ledgerWritten {
			t.Errorf("with the lease: %d orders to the engine, %d to the platform, ledger written: %v; want a load, a move and a start", toEngine, toPlatform, ledgerWritten)
		}
	})
}

// Guards against a store that gets renewals for rounds without a due order, or two for an order.
func TestEachOrderConfirmsTheLeaseOnce(t *testing.T) {
	due := func(s *site) {
		s.latest = 2
		s.demands = []provision.Demand{{Account: "other", Model: model, Adapter: "replies", Queued: 5}}
	}
	for name, c := range map[string]struct {
		change func(*site)
		orders int
	}{
		"idle":          {func(*site) {}, 0},
		"load and move": {due, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, guard := newSite(), &countingGuard{}
				s.set(c.change)
				orders, _, _ := tickOften(t, s, guard)
				if n := guard.confirmations.Load(); orders != c.orders || n != int64(orders) {
					t.Errorf("%d orders, want %d; the lease was confirmed %d times", orders, c.orders, n)
				}
			})
		})
	}
}
