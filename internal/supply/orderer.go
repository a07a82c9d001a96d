package supply

import (
	"context"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/lease"
)

const (
	// period is the time between two looks at the need.
	period = 500 * time.Millisecond
	// orderTimeout bounds one order, and so how long a new holder waits before its
	// first one. The platform answers within it also when it is slow.
	orderTimeout = 800 * time.Millisecond
	// retryPause is the pause after an order that was not answered, or that the
	// platform could not carry out: upstreams that were reclaimed are to be had
	// again some seconds later.
	retryPause = 2 * time.Second
	// repeatEvery repeats an order that was carried out. A copy of an earlier one
	// that was delayed on the way may come behind it and undo it unseen.
	repeatEvery = 10 * time.Second
)

// Order asks for a number of upstreams of one kind in one failure domain.
type Order struct {
	Service, Domain string
	Kind            Kind
	Count           int
	// Holder and Epoch name the process in charge.
	Holder string
	Epoch  uint64
}

// Platform is the port of the platform's orders. It fails with
// *fault.StoreUnavailable when the order has to be repeated, and with
// *fault.PlatformRefused when it can't be carried out at present.
type Platform interface {
	OrderUpstreams(ctx context.Context, order Order) error
}

// Wants tells how many upstreams of each service a failure domain should have, of
// the services whose upstreams can be ordered there. Nothing is told of a service
// of which no need is known.
type Wants interface {
	Upstreams(domain string) map[string]Set
}

// Orderer gives the orders of one failure domain while it holds the lease.
type Orderer struct {
	VM       string
	Domain   string
	Wants    Wants
	Platform Platform
	Events   *event.Recorder
	Leases   *lease.Manager

	// given are the newest orders of the present term.
	given map[subject]given
}

// subject is what an order replaces the earlier order of.
type subject struct {
	service string
	kind    Kind
}

type given struct {
	count int
	// again is when the order is due again.
	again time.Time
}

// leaseDuty names the leases of orderers.
const leaseDuty = "supply"

// Run campaigns for the lease of the failure domain until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	o.Leases.Serve(ctx, lease.InDomain(leaseDuty, o.Domain), o.hold)
}

// hold gives orders while the lease is held. It waits first: an order of the
// earlier holder may be on its way, and the platform does not compare epochs.
func (o *Orderer) hold(ctx context.Context, guard lease.Guard) error {
	if err := lease.Settle(ctx, guard, orderTimeout); err != nil {
		return err
	}
	o.given = make(map[subject]given)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		if err := o.orderDue(ctx, guard); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// orderDue gives the orders that are due, one after another. It fails when the
// lease is lost.
func (o *Orderer) orderDue(ctx context.Context, guard lease.Guard) error {
	for service, counts := range o.Wants.Upstreams(o.Domain) {
		for kind, count := range counts {
			s := subject{service, Kind(kind)}
			last, known := o.given[s]
			if !known && s.kind == Reclaimable && count == 0 {
				continue
			}
			if known && last.count == count && time.Now().Before(last.again) {
				continue
			}
			if err := guard.Check(); err != nil {
				return err
			}
			o.order(ctx, guard, s, count)
		}
	}
	return nil
}

// order gives one order and notes when it is due again.
func (o *Orderer) order(ctx context.Context, guard lease.Guard, s subject, count int) {
	call, cancel := context.WithTimeout(fence.Context(ctx, guard), orderTimeout)
	defer cancel()
	err := o.Platform.OrderUpstreams(call, Order{
		Service: s.service, Domain: o.Domain, Kind: s.kind, Count: count, Holder: o.VM, Epoch: guard.Epoch(),
	})
	told := event.Subject{Lease: lease.InDomain(leaseDuty, o.Domain), Epoch: guard.Epoch(), Count: int64(count), Detail: s.service + " " + s.kind.String()}
	if err != nil {
		told.Detail += ": " + string(fault.CodeOf(err)) + ": " + err.Error()
		o.Events.Emit(event.OrderFailed, told)
		o.given[s] = given{count: count, again: time.Now().Add(retryPause)}
		return
	}
	if last, known := o.given[s]; !known || last.count != count {
		o.Events.Emit(event.OrderGiven, told)
	}
	o.given[s] = given{count: count, again: time.Now().Add(repeatEvery)}
}
