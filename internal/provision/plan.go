package provision

import (
	"cmp"
	"slices"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi"
)

// Demand is the work of one account for one pool in a failure domain.
type Demand struct {
	Account contract.Account
	Model   string
	Adapter string
	// Running and Queued count requests.
	Running, Queued int
}

// Action is what a plan asks for; one of Start and Stop is set.
type Action struct {
	Start *Reservation
	Stop  *Reservation
}

// Planner decides what to order for an account. It keeps a little history, so
// that a short dip or peak orders nothing.
type Planner struct {
	domain string
	// high and low count the ticks in a row with too much and too little work.
	high, low map[poolKey]int
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
	return &Planner{domain: domain, high: make(map[poolKey]int), low: make(map[poolKey]int)}
}

const (
	// startAfter is how many ticks in a row work must wait before an upstream
	// is ordered, and stopAfter how many must leave one idle before it goes.
	startAfter = 3
	stopAfter  = 30
)

// Plan returns at most one action for a demand, so that the effect of each is
// seen before the next.
func (p *Planner) Plan(d Demand, c contract.Contract, l Ledger, offers []platformapi.Offer) (Action, bool) {
	key := d.key()
	own := p.own(d, l)
	if over := overSpending(own, l, c); over != nil {
		return Action{Stop: over}, true
	}
	if pending(own) {
		return Action{}, false
	}
	p.count(key, d, own)
	switch {
	case p.high[key] >= startAfter:
		p.high[key] = 0
		return p.start(d, c, l, own, offers)
	case p.low[key] >= stopAfter:
		p.low[key] = 0
		return Action{Stop: &own[len(own)-1]}, true
	default:
		return Action{}, false
	}
}

// own returns the demand's reservations in the failure domain.
func (p *Planner) own(d Demand, l Ledger) []Reservation {
	var own []Reservation
	for _, r := range l.Reservations {
		if r.FailureDomain == p.domain && r.Model == d.Model && r.Adapter == d.Adapter {
			own = append(own, r)
		}
	}
	return own
}

// overSpending returns a running reservation to give up when an edit has
// lowered the contract's spending below what is reserved.
func overSpending(own []Reservation, l Ledger, c contract.Contract) *Reservation {
	if l.CentsPerHour() <= c.Spending.CentsPerHour {
		return nil
	}
	for _, r := range own {
		if r.State == Running {
			return &r
		}
	}
	return nil
}

// pending reports whether the effect of an earlier order is still to be seen.
func pending(own []Reservation) bool {
	return slices.ContainsFunc(own, func(r Reservation) bool { return r.State != Running })
}

func (p *Planner) count(key poolKey, d Demand, own []Reservation) {
	if d.Queued > 0 {
		p.high[key]++
	} else {
		p.high[key] = 0
	}
	if d.Queued == 0 && d.Running == 0 && len(own) > 0 {
		p.low[key]++
	} else {
		p.low[key] = 0
	}
}

// start picks the cheapest offer that the contract allows.
func (p *Planner) start(d Demand, c contract.Contract, l Ledger, own []Reservation, offers []platformapi.Offer) (Action, bool) {
	var fit []platformapi.Offer
	for _, o := range offers {
		matches := o.FailureDomain == p.domain && o.Model == d.Model && o.Available > 0
		if matches && (!o.Reclaimable || reclaimableFits(c, own)) {
			fit = append(fit, o)
		}
	}
	slices.SortFunc(fit, func(a, b platformapi.Offer) int { return cmp.Compare(a.CentsPerHour, b.CentsPerHour) })
	for _, o := range fit {
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

// reclaimableFits reports whether one more reclaimable upstream keeps the share
// within the contract.
func reclaimableFits(c contract.Contract, own []Reservation) bool {
	reclaimable := 1
	for _, r := range own {
		if r.Reclaimable {
			reclaimable++
		}
	}
	return reclaimable*100 <= c.Reclaimable.Percent*(len(own)+1)
}
