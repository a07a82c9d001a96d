package scaling

import (
	"context"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/lease"
)

const (
	// planInterval is the time between two comparisons of the orders with the desired
	// counts.
	planInterval = 500 * time.Millisecond
	// orderTimeout is the timeout of one order. A new lease holder waits at least that
	// long before its first order.
	orderTimeout = lease.OrderTimeout
	// retryBackoff is the wait before an order is sent again after it got no answer or
	// the platform could not execute it: reclaimed upstreams become available again
	// some seconds later.
	retryBackoff = 2 * time.Second
	// repeatInterval is the time after which an executed order is sent again. A delayed
	// copy of an earlier order may have arrived after it and undone it unnoticed.
	repeatInterval = 10 * time.Second
)

// Order asks for a number of upstreams of one kind in one failure domain.
type Order struct {
	Service, Domain string
	Kind            Kind
	Count           int
	// Holder and Epoch are the VM that holds the lease and the lease's epoch.
	Holder string
	Epoch  uint64
}

// Platform sends upstream orders to the platform. Errors are *fault.StoreUnavailable when the
// order has to be repeated, and *fault.PlatformRefused when the platform can't execute
// it at present.
type Platform interface {
	OrderUpstreams(ctx context.Context, order Order) error
}

// DesiredCounts reports how many upstreams of each service a failure domain should have. It
// leaves out services whose upstreams can't be ordered in the domain and services
// whose need is not known.
type DesiredCounts interface {
	Upstreams(domain string) map[string]KindCounts
}

// Orderer orders the upstreams of one failure domain while it holds the lease.
type Orderer struct {
	VM            string
	Domain        string
	DesiredCounts DesiredCounts
	Platform      Platform
	Events        *event.Recorder
	Leases        *lease.Manager

	// lastOrder holds the last order for each key in the present lease term.
	lastOrder map[orderKey]sentOrder
}

// orderKey identifies what an order sets. An order replaces the earlier order with the
// same key.
type orderKey struct {
	service string
	kind    Kind
}

type sentOrder struct {
	count int
	// repeatAt is when the order is sent again even if the count is unchanged.
	repeatAt time.Time
}

// leaseDuty is the duty in the names of the orderers' leases.
const leaseDuty = "supply"

// LeaseName returns the name of the lease for the orders of a failure domain.
func LeaseName(domain string) string { return lease.NameInDomain(leaseDuty, domain) }

// Run campaigns for the lease of the failure domain until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	o.Leases.Serve(ctx, LeaseName(o.Domain), o.serveTerm)
}

// serveTerm sends orders during one lease term, until ctx ends or the lease is lost. It
// first waits until no order of the previous holder can arrive any more, since the
// platform does not compare epochs.
func (o *Orderer) serveTerm(ctx context.Context, guard lease.Guard) error {
	if err := lease.WaitOrderGracePeriod(ctx, guard, orderTimeout); err != nil {
		return err
	}
	o.lastOrder = make(map[orderKey]sentOrder)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		if err := o.sendDueOrders(ctx, guard); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// sendDueOrders sends the orders that are due, one after another. It fails when the
// lease is lost or ctx ends. If the store doesn't confirm the lease, the rest is due again at
// the next call.
func (o *Orderer) sendDueOrders(ctx context.Context, guard lease.Guard) error {
	for service, counts := range o.DesiredCounts.Upstreams(o.Domain) {
		for kind, count := range counts {
			key := orderKey{service, Kind(kind)}
			last, known := o.lastOrder[key]
			if !known && key.kind == Reclaimable && count == 0 {
				continue
			}
			if known && last.count == count && time.Now().Before(last.repeatAt) {
				continue
			}
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			if err := o.sendOrder(ctx, guard, key, count); fault.Is[*fault.LeaseUnconfirmed](err) {
				return o.noteUnconfirmed(err)
			}
		}
	}
	return nil
}

// noteUnconfirmed emits an event for a lease that was not confirmed, and returns the error if
// the lease is lost.
func (o *Orderer) noteUnconfirmed(err error) error {
	if fault.Is[*fault.LeaseLost](err) {
		return err
	}
	o.Events.Emit(event.OrderFailed, event.Subject{Lease: LeaseName(o.Domain), Detail: err.Error()})
	return nil
}

// sendOrder sends one order and records when it is sent again. It fails with
// *fault.LeaseUnconfirmed if the order was not sent, and is due at once.
func (o *Orderer) sendOrder(ctx context.Context, guard lease.Guard, key orderKey, count int) error {
	err := lease.Act(ctx, guard, orderTimeout, func(ctx context.Context) error {
		return o.Platform.OrderUpstreams(fence.WithGuard(ctx, guard), Order{
			Service: key.service, Domain: o.Domain, Kind: key.kind, Count: count, Holder: o.VM, Epoch: guard.Epoch(),
		})
	})
	if fault.Is[*fault.LeaseUnconfirmed](err) {
		return err
	}
	subject := event.Subject{Lease: LeaseName(o.Domain), Epoch: guard.Epoch(), Count: int64(count), Detail: key.service + " " + key.kind.String()}
	if err != nil {
		subject.Detail += ": " + string(fault.CodeOf(err)) + ": " + err.Error()
		o.Events.Emit(event.OrderFailed, subject)
		o.lastOrder[key] = sentOrder{count: count, repeatAt: time.Now().Add(retryBackoff)}
		return err
	}
	if last, known := o.lastOrder[key]; !known || last.count != count {
		o.Events.Emit(event.OrderSent, subject)
	}
	o.lastOrder[key] = sentOrder{count: count, repeatAt: time.Now().Add(repeatInterval)}
	return nil
}
