package provision

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/platform"
)

// LedgerPrefix starts the keys of the spending rows.
const LedgerPrefix = "spending/"

// Provisioner keeps the upstreams of one failure domain in step with the work,
// under the failure domain's lease.
type Provisioner struct {
	domain  string
	tables  platform.Tables
	orders  platform.Upstreams
	events  *event.Recorder
	planner *Planner
	elapsed func() time.Duration
	// acked holds the start orders that the platform has accepted.
	acked map[string]bool
	// idleSince remembers since when each reservation has had no listed upstream
	// and no order that may still take effect.
	idleSince map[string]time.Duration
}

// NewProvisioner returns a provisioner; elapsed returns a monotonic time.
func NewProvisioner(domain string, tables platform.Tables, orders platform.Upstreams, events *event.Recorder, elapsed func() time.Duration) *Provisioner {
	return &Provisioner{
		domain:    domain,
		tables:    tables,
		orders:    orders,
		events:    events,
		planner:   NewPlanner(domain),
		elapsed:   elapsed,
		acked:     make(map[string]bool),
		idleSince: make(map[string]time.Duration),
	}
}

// Tick brings one demand a step further: it settles what is open, then plans.
// listed must have been read after the tick began. It fails with
// *fault.StoreUnavailable, *fault.LeaseLost or *fault.OrderFenced; the next tick
// goes on from what the ledger says.
func (p *Provisioner) Tick(ctx context.Context, guard fence.Guard, d Demand, c contract.Contract, listed []platform.Upstream, offers []platform.Offer) error {
	ledger, row, err := p.read(ctx, d.Account)
	if err != nil {
		return err
	}
	ledger, row, err = p.reconcile(ctx, ledger, row, listed)
	if err != nil {
		return err
	}
	if err := p.repeatOrders(ctx, guard, ledger, listed); err != nil {
		return err
	}
	action, ok := p.planner.Plan(d, c, ledger, offers)
	if !ok {
		return nil
	}
	if action.Stop != nil {
		return p.stop(ctx, guard, ledger, row, *action.Stop)
	}
	return p.start(ctx, guard, ledger, row, c, *action.Start)
}

func (p *Provisioner) read(ctx context.Context, account contract.Account) (Ledger, platform.Row, error) {
	ledger := Ledger{Account: account}
	row, err := p.tables.Get(ctx, LedgerPrefix+string(account))
	if err != nil || !row.Exists() {
		return ledger, row, err
	}
	if err := json.Unmarshal(row.Value, &ledger); err != nil {
		return ledger, row, errors.WithStack(&fault.Internal{Where: "row " + row.Key})
	}
	return ledger, row, nil
}

// write replaces the ledger if it is still as it was read, and returns its row.
func (p *Provisioner) write(ctx context.Context, ledger Ledger, row platform.Row) (platform.Row, error) {
	value, err := json.Marshal(ledger)
	if err != nil {
		return row, errors.WithStack(&fault.Internal{Where: "ledger"})
	}
	err = platform.CommitSurely(ctx, p.tables, platform.Txn{
		Nonce:         platform.NewNonce(),
		Preconditions: []platform.Precondition{{Key: row.Key, Version: row.Version}},
		Writes:        []platform.Write{{Key: row.Key, Value: value}},
	})
	row.Version++
	return row, err
}

// releaseHold is how long money stays reserved for an upstream that is not
// listed: longer than the list lags and than an earlier send of the order can be
// under way.
const releaseHold = 30 * time.Second

// reconcile writes what the platform's list shows, and releases reservations
// that had nothing to pay for during the hold.
func (p *Provisioner) reconcile(ctx context.Context, ledger Ledger, row platform.Row, listed []platform.Upstream) (Ledger, platform.Row, error) {
	next := ledger.Reconcile(p.domain, listed)
	for _, r := range next.Reservations {
		if r.FailureDomain == p.domain && p.expired(r, find(r, listed) >= 0) {
			next = next.with(r.Order, nil)
		}
	}
	if slices.Equal(ledger.Reservations, next.Reservations) {
		return ledger, row, nil
	}
	row, err := p.write(ctx, next, row)
	return next, row, err
}

// expired reports whether a reservation has paid for nothing for the whole hold.
func (p *Provisioner) expired(r Reservation, listed bool) bool {
	undecided := r.State == Starting && !p.acked[r.Order]
	if listed || undecided {
		delete(p.idleSince, r.Order)
		return false
	}
	since, seen := p.idleSince[r.Order]
	if !seen {
		p.idleSince[r.Order] = p.elapsed()
		return false
	}
	return p.elapsed()-since >= releaseHold
}

// repeatOrders sends the orders again whose effect has not been seen, and stops
// upstreams that nobody pays for. Orders keep their IDs, so one that took effect
// is not carried out twice.
func (p *Provisioner) repeatOrders(ctx context.Context, guard fence.Guard, ledger Ledger, listed []platform.Upstream) error {
	for _, u := range ledger.Orphans(p.domain, listed) {
		if err := p.send(ctx, guard, stopOrder(p.domain, u.OrderID, u.ID)); err != nil {
			return err
		}
	}
	for _, r := range ledger.Reservations {
		if r.FailureDomain != p.domain {
			continue
		}
		var err error
		switch r.State {
		case Starting:
			err = p.sendStart(ctx, guard, ledger.Account, r)
		case Stopping:
			err = p.send(ctx, guard, stopOrder(p.domain, r.Order, r.Upstream))
		}
		if err != nil && !fault.Is[*fault.StoreUnavailable](err) {
			return err
		}
	}
	return nil
}

// start reserves the money, then orders.
func (p *Provisioner) start(ctx context.Context, guard fence.Guard, ledger Ledger, row platform.Row, c contract.Contract, r Reservation) error {
	r.Order = uuid.NewString()
	next, err := ledger.Reserve(r, c.Spending)
	if err != nil {
		return err
	}
	if _, err := p.write(ctx, next, row); err != nil {
		return err
	}
	return p.sendStart(ctx, guard, ledger.Account, r)
}

// sendStart sends a start order. A refusal is noted in the ledger.
func (p *Provisioner) sendStart(ctx context.Context, guard fence.Guard, account contract.Account, r Reservation) error {
	err := p.send(ctx, guard, platform.Order{
		ID:            r.Order,
		FailureDomain: r.FailureDomain,
		Kind:          platform.OrderStart,
		Account:       string(account),
		Model:         r.Model,
		Adapter:       r.Adapter,
		Reclaimable:   r.Reclaimable,
		CentsPerHour:  r.CentsPerHour,
	})
	if err == nil {
		p.acked[r.Order] = true
	}
	if !fault.Is[*fault.PlatformRefused](err) {
		return err
	}
	ledger, row, err := p.read(ctx, account)
	if err != nil {
		return err
	}
	r.State = Refused
	_, err = p.write(ctx, ledger.with(r.Order, &r), row)
	return err
}

// stop notes the intent, then orders.
func (p *Provisioner) stop(ctx context.Context, guard fence.Guard, ledger Ledger, row platform.Row, r Reservation) error {
	r.State = Stopping
	if _, err := p.write(ctx, ledger.with(r.Order, &r), row); err != nil {
		return err
	}
	return p.send(ctx, guard, stopOrder(p.domain, r.Order, r.Upstream))
}

func stopOrder(domain, startOrder, upstream string) platform.Order {
	return platform.Order{
		ID:            startOrder + "/stop",
		FailureDomain: domain,
		Kind:          platform.OrderStop,
		Upstream:      upstream,
	}
}

func (p *Provisioner) send(ctx context.Context, guard fence.Guard, order platform.Order) error {
	if err := guard.Check(); err != nil {
		return err
	}
	order.Epoch = guard.Epoch()
	subject := event.Subject{Upstream: order.Upstream, Account: order.Account, Epoch: order.Epoch, Detail: string(order.Kind)}
	p.events.Emit(event.OrderGiven, subject)
	err := p.orders.Order(fence.Context(ctx, guard), order)
	if err != nil {
		subject.Detail = string(fault.CodeOf(err))
		p.events.Emit(event.OrderFailed, subject)
	}
	return err
}
