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
	"dogwoodpond/internal/platformapi"
)

// LedgerPrefix starts the keys of the spending rows.
const LedgerPrefix = "spending/"

// Provisioner keeps the upstreams of one failure domain in step with the work,
// under the failure domain's lease.
type Provisioner struct {
	domain  string
	tables  platformapi.Tables
	orders  platformapi.Upstreams
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
func NewProvisioner(domain string, tables platformapi.Tables, orders platformapi.Upstreams, events *event.Recorder, elapsed func() time.Duration) *Provisioner {
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

// Round is what a round of orders is decided on.
type Round struct {
	// Listed must have been read after the lease was taken.
	Listed    []platformapi.Upstream
	Offers    []platformapi.Offer
	Demands   []Demand
	Contracts map[contract.Account]contract.Contract
}

// Run settles every open order of the failure domain and gives the new ones. It
// fails with *fault.StoreUnavailable, *fault.LeaseLost or *fault.OrderFenced;
// the next round goes on from what the ledgers say.
func (p *Provisioner) Run(ctx context.Context, guard fence.Guard, round Round) error {
	accounts, err := p.ledgers(ctx)
	if err != nil {
		return err
	}
	for _, d := range p.complete(round, accounts) {
		kept, ok := accounts[d.Account]
		if !ok {
			kept = keptLedger{ledger: Ledger{Account: d.Account}, row: platformapi.Row{Key: LedgerPrefix + string(d.Account)}}
		}
		kept, err := p.step(ctx, guard, round, d, kept)
		if err != nil {
			return err
		}
		accounts[d.Account] = kept
	}
	return nil
}

// keptLedger is a ledger with the row that it was read from.
type keptLedger struct {
	ledger Ledger
	row    platformapi.Row
}

// maxLedgers bounds the accounts of one scan; a fleet has fewer.
const maxLedgers = 4096

// ledgers reads the ledgers of all accounts by one scan.
func (p *Provisioner) ledgers(ctx context.Context) (map[contract.Account]keptLedger, error) {
	rows, err := p.tables.Scan(ctx, LedgerPrefix, LedgerPrefix, maxLedgers)
	if err != nil {
		return nil, err
	}
	accounts := make(map[contract.Account]keptLedger, len(rows))
	for _, row := range rows {
		var ledger Ledger
		if err := row.Decode(&ledger); err != nil {
			return nil, err
		}
		accounts[ledger.Account] = keptLedger{ledger: ledger, row: row}
	}
	return accounts, nil
}

// complete returns the demands of all contracts that pay for upstreams, and
// empty ones for reservations without work, so that those come to an end.
func (p *Provisioner) complete(round Round, accounts map[contract.Account]keptLedger) []Demand {
	var demands []Demand
	seen := make(map[poolKey]bool)
	for _, d := range round.Demands {
		if round.Contracts[d.Account].Spending.CentsPerHour > 0 {
			demands = append(demands, d)
			seen[d.key()] = true
		}
	}
	for account, kept := range accounts {
		for _, r := range kept.ledger.Reservations {
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

// step settles what is open for a demand, and then plans.
func (p *Provisioner) step(ctx context.Context, guard fence.Guard, round Round, d Demand, kept keptLedger) (keptLedger, error) {
	kept, err := p.reconcile(ctx, kept, round.Listed)
	if err != nil {
		return kept, err
	}
	kept, err = p.repeatOrders(ctx, guard, kept, round.Listed)
	if err != nil {
		return kept, err
	}
	c := round.Contracts[d.Account]
	action, ok := p.planner.Plan(d, c, kept.ledger, round.Offers)
	switch {
	case !ok:
		return kept, nil
	case action.Stop != nil:
		return p.stop(ctx, guard, kept, *action.Stop)
	default:
		return p.start(ctx, guard, kept, c, *action.Start)
	}
}

// write replaces a ledger if it is still as it was read.
func (p *Provisioner) write(ctx context.Context, kept keptLedger, ledger Ledger) (keptLedger, error) {
	value, err := json.Marshal(ledger)
	if err != nil {
		return kept, errors.WithStack(&fault.Internal{Where: "ledger"})
	}
	err = platformapi.CommitConfirmed(ctx, p.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: kept.row.Key, Version: kept.row.Version}},
		Writes:        []platformapi.Write{{Key: kept.row.Key, Value: value}},
	})
	if err != nil {
		return kept, err
	}
	kept.ledger = ledger
	kept.row.Version++
	return kept, nil
}

// releaseHold is how long money stays reserved for an upstream that is not
// listed: longer than the list lags and than an earlier send of the order can be
// under way.
const releaseHold = 30 * time.Second

// reconcile writes what the platform's list shows, and releases reservations
// that had nothing to pay for during the hold.
func (p *Provisioner) reconcile(ctx context.Context, kept keptLedger, listed []platformapi.Upstream) (keptLedger, error) {
	next := kept.ledger.Reconcile(p.domain, listed)
	for _, r := range next.Reservations {
		if r.FailureDomain == p.domain && p.expired(r, find(r, listed) >= 0) {
			next = next.with(r.Order, nil)
		}
	}
	if slices.Equal(kept.ledger.Reservations, next.Reservations) {
		return kept, nil
	}
	return p.write(ctx, kept, next)
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
func (p *Provisioner) repeatOrders(ctx context.Context, guard fence.Guard, kept keptLedger, listed []platformapi.Upstream) (keptLedger, error) {
	for _, u := range kept.ledger.Orphans(p.domain, listed) {
		if err := p.send(ctx, guard, stopOrder(p.domain, u.OrderID, u.ID)); final(err) {
			return kept, err
		}
	}
	for _, r := range kept.ledger.Reservations {
		if r.FailureDomain != p.domain {
			continue
		}
		var err error
		switch r.State {
		case Starting:
			kept, err = p.sendStart(ctx, guard, kept, r)
		case Stopping:
			err = p.send(ctx, guard, stopOrder(p.domain, r.Order, r.Upstream))
		}
		if final(err) {
			return kept, err
		}
	}
	return kept, nil
}

// final reports whether a failure ends the round: the lease is gone, or the
// ledger is not as it was read. Unanswered and refused orders do not.
func final(err error) bool {
	unanswered := fault.Is[*fault.StoreUnavailable](err) || fault.Is[*fault.PlatformRefused](err)
	return err != nil && !unanswered
}

// start reserves the money, then orders.
func (p *Provisioner) start(ctx context.Context, guard fence.Guard, kept keptLedger, c contract.Contract, r Reservation) (keptLedger, error) {
	r.Order = uuid.NewString()
	next, err := kept.ledger.Reserve(r, c.Spending)
	if err != nil {
		return kept, err
	}
	kept, err = p.write(ctx, kept, next)
	if err != nil {
		return kept, err
	}
	return p.sendStart(ctx, guard, kept, r)
}

// sendStart sends a start order. A refusal is noted in the ledger.
func (p *Provisioner) sendStart(ctx context.Context, guard fence.Guard, kept keptLedger, r Reservation) (keptLedger, error) {
	err := p.send(ctx, guard, platformapi.Order{
		ID:            r.Order,
		FailureDomain: r.FailureDomain,
		Kind:          platformapi.OrderStart,
		Account:       string(kept.ledger.Account),
		Model:         r.Model,
		Adapter:       r.Adapter,
		Reclaimable:   r.Reclaimable,
		CentsPerHour:  r.CentsPerHour,
	})
	if err == nil {
		p.acked[r.Order] = true
	}
	if !fault.Is[*fault.PlatformRefused](err) {
		return kept, err
	}
	r.State = Refused
	return p.write(ctx, kept, kept.ledger.with(r.Order, &r))
}

// stop notes the intent, then orders.
func (p *Provisioner) stop(ctx context.Context, guard fence.Guard, kept keptLedger, r Reservation) (keptLedger, error) {
	r.State = Stopping
	kept, err := p.write(ctx, kept, kept.ledger.with(r.Order, &r))
	if err != nil {
		return kept, err
	}
	return kept, p.send(ctx, guard, stopOrder(p.domain, r.Order, r.Upstream))
}

func stopOrder(domain, startOrder, upstream string) platformapi.Order {
	return platformapi.Order{
		ID:            startOrder + "/stop",
		FailureDomain: domain,
		Kind:          platformapi.OrderStop,
		Upstream:      upstream,
	}
}

func (p *Provisioner) send(ctx context.Context, guard fence.Guard, order platformapi.Order) error {
	if err := guard.Check(); err != nil {
		return err
	}
	order.Epoch = guard.Epoch()
	subject := event.Subject{Upstream: order.Upstream, Account: order.Account, Epoch: order.Epoch, Detail: string(order.Kind)}
	p.events.Emit(event.OrderGiven, subject)
	err := p.orders.Order(fence.WithGuard(ctx, guard), order)
	if err != nil {
		subject.Detail = string(fault.CodeOf(err))
		p.events.Emit(event.OrderFailed, subject)
	}
	return err
}
