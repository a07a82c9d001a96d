package provision

import (
	"cmp"
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
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platformapi"
)

// LedgerPrefix is the prefix of the keys of the ledger rows.
const LedgerPrefix = "spending/"

// Provisioner starts and stops upstreams of one failure domain according to the demand. It
// runs on the VM that holds the failure domain's lease.
type Provisioner struct {
	domain  string
	tables  platformapi.Tables
	orders  platformapi.Upstreams
	events  *event.Recorder
	planner *Planner
	elapsed func() time.Duration
	// accepted holds the IDs of the start orders that the platform has accepted.
	accepted map[string]bool
	// unusedSince holds, by order ID, the time since which a reservation has had neither a
	// listed upstream nor a start order with an unknown outcome.
	unusedSince map[string]time.Duration
}

// NewProvisioner returns a provisioner; elapsed returns a monotonic time.
func NewProvisioner(domain string, tables platformapi.Tables, orders platformapi.Upstreams, events *event.Recorder, elapsed func() time.Duration) *Provisioner {
	return &Provisioner{
		domain:      domain,
		tables:      tables,
		orders:      orders,
		events:      events,
		planner:     NewPlanner(domain),
		elapsed:     elapsed,
		accepted:    make(map[string]bool),
		unusedSince: make(map[string]time.Duration),
	}
}

// Round holds the data that a round of orders is decided on.
type Round struct {
	// Listed must have been read after the lease was acquired.
	Listed    []platformapi.Upstream
	Offers    []platformapi.Offer
	Demands   []Demand
	Contracts map[contract.Account]contract.Contract
}

// Run runs one round for the failure domain: it sends again the orders whose effect has not
// been seen, and sends new ones. After any failure the next round continues from the ledgers.
// Failures are *fault.StoreUnavailable, *fault.LeaseUnconfirmed, *fault.OrderFenced and, if another
// process changed a ledger meanwhile, *fault.PreconditionFailed.
func (p *Provisioner) Run(ctx context.Context, guard lease.Guard, round Round) error {
	accounts, err := p.readLedgers(ctx)
	if err != nil {
		return err
	}
	for _, d := range p.allDemands(round, accounts) {
		stored, ok := accounts[d.Account]
		if !ok {
			stored = storedLedger{ledger: Ledger{Account: d.Account}, row: platformapi.Row{Key: LedgerPrefix + string(d.Account)}}
		}
		stored, err := p.handleDemand(ctx, guard, round, d, stored)
		if err != nil {
			return err
		}
		accounts[d.Account] = stored
	}
	return nil
}

// storedLedger is a ledger with the row that it was read from.
type storedLedger struct {
	ledger Ledger
	row    platformapi.Row
}

// maxLedgers limits the one scan that reads all ledgers; a fleet has fewer accounts.
const maxLedgers = 4096

// readLedgers reads the ledgers of all accounts by one scan.
func (p *Provisioner) readLedgers(ctx context.Context) (map[contract.Account]storedLedger, error) {
	rows, err := p.tables.Scan(ctx, LedgerPrefix, LedgerPrefix, maxLedgers)
	if err != nil {
		return nil, err
	}
	accounts := make(map[contract.Account]storedLedger, len(rows))
	for _, row := range rows {
		var ledger Ledger
		if err := row.Decode(&ledger); err != nil {
			return nil, err
		}
		accounts[ledger.Account] = storedLedger{ledger: ledger, row: row}
	}
	return accounts, nil
}

// allDemands returns the demands of the accounts whose contract allows spending, and an empty
// demand for each pool with reservations but without a demand, so that its upstreams are
// stopped. They are sorted by account.
func (p *Provisioner) allDemands(round Round, accounts map[contract.Account]storedLedger) []Demand {
	var demands []Demand
	seen := make(map[poolKey]bool)
	for _, d := range round.Demands {
		if round.Contracts[d.Account].Spending.CentsPerHour > 0 {
			demands = append(demands, d)
			seen[d.key()] = true
		}
	}
	for account, stored := range accounts {
		for _, r := range stored.ledger.Reservations {
			idle := Demand{Account: account, Model: r.Model, Adapter: r.Adapter}
			if r.FailureDomain == p.domain && !seen[idle.key()] {
				demands = append(demands, idle)
				seen[idle.key()] = true
			}
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Account, b.Account) })
	return demands
}

// handleDemand reconciles the ledger, sends pending orders again, and then plans an action
// for the demand and sends its order.
func (p *Provisioner) handleDemand(ctx context.Context, guard lease.Guard, round Round, d Demand, stored storedLedger) (storedLedger, error) {
	stored, err := p.reconcile(ctx, guard, stored, round.Listed)
	if err != nil {
		return stored, err
	}
	stored, err = p.resendOrders(ctx, guard, stored, round.Listed)
	if err != nil {
		return stored, err
	}
	c := round.Contracts[d.Account]
	action, ok := p.planner.Plan(d, c, stored.ledger, round.Offers)
	switch {
	case !ok:
		return stored, nil
	case action.Stop != nil:
		return p.stop(ctx, guard, stored, *action.Stop)
	default:
		return p.start(ctx, guard, stored, c, *action.Start)
	}
}

// writeLedger confirms the lease and replaces a ledger if its row has not changed since it was
// read. A ledger is a decision that later holders act on, like an order.
func (p *Provisioner) writeLedger(ctx context.Context, guard lease.Guard, stored storedLedger, ledger Ledger) (storedLedger, error) {
	if err := guard.Confirm(ctx); err != nil {
		return stored, errors.WithStack(&fault.LeaseUnconfirmed{Cause: err})
	}
	value, err := json.Marshal(ledger)
	if err != nil {
		return stored, errors.WithStack(&fault.Internal{Where: "ledger"})
	}
	err = platformapi.CommitConfirmed(ctx, p.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: stored.row.Key, Version: stored.row.Version}},
		Writes:        []platformapi.Write{{Key: stored.row.Key, Value: value}},
	})
	if err != nil {
		return stored, err
	}
	stored.ledger = ledger
	stored.row.Version++
	return stored, nil
}

// releaseDelay is how long a price stays reserved while the upstream is not listed. It is
// longer than the delay of the platform's list and than the time for which an earlier copy
// of the order can be in transit.
const releaseDelay = 30 * time.Second

// reconcile updates a ledger from the platform's list and releases the expired reservations.
func (p *Provisioner) reconcile(ctx context.Context, guard lease.Guard, stored storedLedger, listed []platformapi.Upstream) (storedLedger, error) {
	next := stored.ledger.Reconcile(p.domain, listed)
	for _, r := range next.Reservations {
		if r.FailureDomain == p.domain && p.isExpired(r, findUpstream(r, listed) >= 0) {
			next = next.withReservation(r.StartOrderID, nil)
		}
	}
	if slices.Equal(stored.ledger.Reservations, next.Reservations) {
		return stored, nil
	}
	return p.writeLedger(ctx, guard, stored, next)
}

// isExpired reports whether a reservation has been without an upstream for releaseDelay. A
// reservation whose start order has an unknown outcome does not expire.
func (p *Provisioner) isExpired(r Reservation, listed bool) bool {
	outcomeUnknown := r.State == Starting && !p.accepted[r.StartOrderID]
	if listed || outcomeUnknown {
		delete(p.unusedSince, r.StartOrderID)
		return false
	}
	since, seen := p.unusedSince[r.StartOrderID]
	if !seen {
		p.unusedSince[r.StartOrderID] = p.elapsed()
		return false
	}
	return p.elapsed()-since >= releaseDelay
}

// resendOrders sends again the orders whose effect has not been seen, and stops upstreams
// without a reservation. Orders keep their IDs, so the platform does not execute one twice.
func (p *Provisioner) resendOrders(ctx context.Context, guard lease.Guard, stored storedLedger, listed []platformapi.Upstream) (storedLedger, error) {
	for _, u := range stored.ledger.Orphans(p.domain, listed) {
		if err := p.send(ctx, guard, stopOrder(p.domain, u.OrderID, u.ID)); endsRound(err) {
			return stored, err
		}
	}
	for _, r := range stored.ledger.Reservations {
		if r.FailureDomain != p.domain {
			continue
		}
		var err error
		switch r.State {
		case Starting:
			stored, err = p.sendStart(ctx, guard, stored, r)
		case Stopping:
			err = p.send(ctx, guard, stopOrder(p.domain, r.StartOrderID, r.Upstream))
		}
		if endsRound(err) {
			return stored, err
		}
	}
	return stored, nil
}

// endsRound reports whether an error ends the round: the lease is lost or not confirmed, or a
// ledger has changed since it was read. Orders that were refused or not answered don't end it.
func endsRound(err error) bool {
	if fault.Is[*fault.LeaseUnconfirmed](err) {
		return true
	}
	tolerated := fault.Is[*fault.StoreUnavailable](err) || fault.Is[*fault.PlatformRefused](err)
	return err != nil && !tolerated
}

// start reserves the price in the ledger and then sends the start order.
func (p *Provisioner) start(ctx context.Context, guard lease.Guard, stored storedLedger, c contract.Contract, r Reservation) (storedLedger, error) {
	r.StartOrderID = uuid.NewString()
	next, err := stored.ledger.Reserve(r, c.Spending)
	if err != nil {
		return stored, err
	}
	stored, err = p.writeLedger(ctx, guard, stored, next)
	if err != nil {
		return stored, err
	}
	return p.sendStart(ctx, guard, stored, r)
}

// sendStart sends a start order. If it is refused, the ledger records that.
func (p *Provisioner) sendStart(ctx context.Context, guard lease.Guard, stored storedLedger, r Reservation) (storedLedger, error) {
	err := p.send(ctx, guard, platformapi.Order{
		ID:            r.StartOrderID,
		FailureDomain: r.FailureDomain,
		Kind:          platformapi.OrderStart,
		Account:       string(stored.ledger.Account),
		Model:         r.Model,
		Adapter:       r.Adapter,
		Reclaimable:   r.Reclaimable,
		CentsPerHour:  r.CentsPerHour,
	})
	if err == nil {
		p.accepted[r.StartOrderID] = true
	}
	if !fault.Is[*fault.PlatformRefused](err) {
		return stored, err
	}
	r.State = Refused
	return p.writeLedger(ctx, guard, stored, stored.ledger.withReservation(r.StartOrderID, &r))
}

// stop records in the ledger that the upstream is stopping and then sends the stop order.
func (p *Provisioner) stop(ctx context.Context, guard lease.Guard, stored storedLedger, r Reservation) (storedLedger, error) {
	r.State = Stopping
	stored, err := p.writeLedger(ctx, guard, stored, stored.ledger.withReservation(r.StartOrderID, &r))
	if err != nil {
		return stored, err
	}
	return stored, p.send(ctx, guard, stopOrder(p.domain, r.StartOrderID, r.Upstream))
}

// stopOrder returns the stop order of an upstream. Its ID is derived from the start order's.
func stopOrder(domain, startOrder, upstream string) platformapi.Order {
	return platformapi.Order{
		ID:            startOrder + "/stop",
		FailureDomain: domain,
		Kind:          platformapi.OrderStop,
		Upstream:      upstream,
	}
}

// send confirms the lease, sends an order and emits its events.
func (p *Provisioner) send(ctx context.Context, guard lease.Guard, order platformapi.Order) error {
	order.Epoch = guard.Epoch()
	subject := event.Subject{Upstream: order.Upstream, Account: order.Account, Epoch: order.Epoch, Detail: string(order.Kind)}
	err := lease.Act(ctx, guard, platformapi.CallTimeout, func(ctx context.Context) error {
		p.events.Emit(event.OrderSent, subject)
		return p.orders.Order(fence.WithGuard(ctx, guard), order)
	})
	if err != nil && !fault.Is[*fault.LeaseUnconfirmed](err) {
		subject.Detail = string(fault.CodeOf(err))
		p.events.Emit(event.OrderFailed, subject)
	}
	return err
}
