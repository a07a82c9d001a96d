package provision

import (
	"cmp"
	"slices"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi"
)

// Demand is the number of requests of one account for one pool in a failure domain.
type Demand struct {
	Account contract.Account
	Model   string
	Adapter string
	// Running and Queued are numbers of requests.
	Running, Queued int
}

// Action is an order to send; exactly one of Start and Stop is set.
type Action struct {
	Start *Reservation
	Stop  *Reservation
}

// Planner decides what to order for an account. It acts only on demand that lasts for
// several rounds, so that a short change of the demand causes no order.
type Planner struct {
	domain string
	// queuedRounds counts the consecutive rounds with queued requests, idleRounds those
	// with upstreams but without requests.
	queuedRounds, idleRounds map[poolKey]int
}

type poolKey struct {
	account        contract.Account
	model, adapter string
}

func (d Demand) key() poolKey {
	return poolKey{account: d.Account, model: d.Model, adapter: d.Adapter}
}

// NewPlanner returns a planner for a failure domain.
func NewPlanner(domain string) *Planner {
	return &Planner{domain: domain, queuedRounds: make(map[poolKey]int), idleRounds: make(map[poolKey]int)}
}

const (
	// startAfterRounds is the number of consecutive rounds with queued requests after
	// which an upstream is started, and stopAfterRounds that of idle rounds after which
	// one is stopped.
	startAfterRounds = 3
	stopAfterRounds  = 30
)

// Plan returns at most one action for a demand, and false if there is none. It waits for the
// effect of earlier orders for the same pool, unless the spending must be reduced. It must be
// called once per round and demand.
func (p *Planner) Plan(d Demand, c contract.Contract, l Ledger, offers []platformapi.Offer) (Action, bool) {
	key := d.key()
	reservations := p.reservations(d, l)
	if excess := excessReservation(reservations, l, c); excess != nil {
		return Action{Stop: excess}, true
	}
	if hasPendingOrder(reservations) {
		return Action{}, false
	}
	p.countRound(key, d, reservations)
	switch {
	case p.queuedRounds[key] >= startAfterRounds:
		p.queuedRounds[key] = 0
		return p.start(d, c, l, reservations, offers)
	case p.idleRounds[key] >= stopAfterRounds:
		p.idleRounds[key] = 0
		return Action{Stop: &reservations[len(reservations)-1]}, true
	default:
		return Action{}, false
	}
}

// reservations returns the reservations for the demand's pool in the failure domain.
func (p *Planner) reservations(d Demand, l Ledger) []Reservation {
	var reservations []Reservation
	for _, r := range l.Reservations {
		if r.FailureDomain == p.domain && r.Model == d.Model && r.Adapter == d.Adapter {
			reservations = append(reservations, r)
		}
	}
	return reservations
}

// excessReservation returns a running reservation to stop if an edit has lowered the
// contract's spending below the reserved total, else nil.
func excessReservation(reservations []Reservation, l Ledger, c contract.Contract) *Reservation {
	if l.CentsPerHour() <= c.Spending.CentsPerHour {
		return nil
	}
	for _, r := range reservations {
		if r.State == Running {
			return &r
		}
	}
	return nil
}

// hasPendingOrder reports whether the effect of an earlier order has not been seen yet.
func hasPendingOrder(reservations []Reservation) bool {
	return slices.ContainsFunc(reservations, func(r Reservation) bool { return r.State != Running })
}

// countRound updates queuedRounds and idleRounds by the demand of this round.
func (p *Planner) countRound(key poolKey, d Demand, reservations []Reservation) {
	if d.Queued > 0 {
		p.queuedRounds[key]++
	} else {
		p.queuedRounds[key] = 0
	}
	if d.Queued == 0 && d.Running == 0 && len(reservations) > 0 {
		p.idleRounds[key]++
	} else {
		p.idleRounds[key] = 0
	}
}

// start returns the start of an upstream at the cheapest offer that the contract allows.
func (p *Planner) start(d Demand, c contract.Contract, l Ledger, reservations []Reservation, offers []platformapi.Offer) (Action, bool) {
	var candidates []platformapi.Offer
	for _, o := range offers {
		matches := o.FailureDomain == p.domain && o.Model == d.Model && o.Available > 0
		if matches && (!o.Reclaimable || allowsReclaimable(c, reservations)) {
			candidates = append(candidates, o)
		}
	}
	slices.SortFunc(candidates, func(a, b platformapi.Offer) int { return cmp.Compare(a.CentsPerHour, b.CentsPerHour) })
	for _, o := range candidates {
		r := Reservation{
			FailureDomain: p.domain,
			Model:         d.Model,
			Adapter:       d.Adapter,
			Reclaimable:   o.Reclaimable,
			CentsPerHour:  o.CentsPerHour,
			State:         Starting,
		}
		if _, err := l.Reserve(r, c.Spending); err == nil {
			return Action{Start: &r}, true
		}
	}
	return Action{}, false
}

// allowsReclaimable reports whether the contract allows one more reclaimable upstream next
// to the reserved ones.
func allowsReclaimable(c contract.Contract, reservations []Reservation) bool {
	reclaimable := 1
	for _, r := range reservations {
		if r.Reclaimable {
			reclaimable++
		}
	}
	return reclaimable*100 <= c.Reclaimable.Percent*(len(reservations)+1)
}
