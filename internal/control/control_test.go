package control

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/enginepool"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/provision"
)

// lostGuard is the guard of a holder whose clock stopped: the term lasts on by its clock, and
// the row has another holder.
type lostGuard struct{ lease.Guard }

func (lostGuard) Check() error  { return nil }
func (lostGuard) Epoch() uint64 { return 1 }
func (lostGuard) Confirm(context.Context) error {
	return errors.WithStack(&fault.LeaseLost{Lease: "domain/a", Epoch: 1})
}

func (g lostGuard) BeginAction(ctx context.Context, _ string) (func(bool), error) {
	return nil, g.Confirm(ctx)
}

// emptyPlatform lists no upstreams and records whether it was asked for more.
type emptyPlatform struct {
	Platform
	asked bool
}

func (*emptyPlatform) Upstreams(context.Context) ([]platformapi.Upstream, error) { return nil, nil }

func (p *emptyPlatform) Latest(context.Context) ([]platformapi.WeightVersion, error) {
	p.asked = true
	return nil, errors.New("asked")
}

func (p *emptyPlatform) Offers(context.Context) ([]platformapi.Offer, error) {
	p.asked = true
	return nil, errors.New("asked")
}

// countedDemands records whether orders were planned.
type countedDemands struct{ asked bool }

func (d *countedDemands) Demand() []provision.Demand {
	d.asked = true
	return nil
}

// Guards against orders of a holder whose clock stopped, as on a suspended machine.
func TestTickWithoutConfirmedLeaseSendsNoOrders(t *testing.T) {
	p, d := &emptyPlatform{}, &countedDemands{}
	c := New(Config{FailureDomain: "a", Platform: p, Demands: d, Mover: enginepool.NewMover(nil, nil)})
	c.tick(t.Context(), lostGuard{})
	if p.asked || d.asked {
		t.Error("orders were planned without the lease")
	}
}
