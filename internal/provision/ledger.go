// Package provision orders upstreams for client accounts, within each
// contract's spending. Every order is first reserved in the account's ledger
// row, by a transaction that can't exceed the contract, also when the failure
// domains' controllers order at the same time. An order whose reply was lost is
// repeated with the same ID until its outcome is known.
package provision

import (
	"slices"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// State is how far a reservation is.
type State string

// The states of a reservation.
const (
	// Starting: the start order may or may not have taken effect.
	Starting State = "starting"
	// Running: the platform lists the upstream.
	Running State = "running"
	// Stopping: a stop order may or may not have taken effect.
	Stopping State = "stopping"
	// Refused: the platform refused the start order. An earlier send of it may
	// still be on its way, so the money stays reserved for a while.
	Refused State = "refused"
)

// Reservation is money set aside for one upstream.
type Reservation struct {
	// Order is the ID of the start order.
	Order         string `json:"order"`
	FailureDomain string `json:"failureDomain"`
	Model         string `json:"model"`
	Adapter       string `json:"adapter,omitempty"`
	Reclaimable   bool   `json:"reclaimable"`
	CentsPerHour  int64  `json:"centsPerHour"`
	State         State  `json:"state"`
	// Upstream is known once the reservation is running.
	Upstream string `json:"upstream,omitempty"`
}

// Ledger is the value of an account's spending row.
type Ledger struct {
	Account      contract.Account `json:"account"`
	Reservations []Reservation    `json:"reservations"`
}

// CentsPerHour returns the price of all reservations.
func (l Ledger) CentsPerHour() int64 {
	var sum int64
	for _, r := range l.Reservations {
		sum += r.CentsPerHour
	}
	return sum
}

// Reserve adds a reservation. It fails with *fault.SpendingExceeded when the
// ledger would exceed the contract's spending.
func (l Ledger) Reserve(r Reservation, spending contract.Spending) (Ledger, error) {
	if r.CentsPerHour < 0 || l.CentsPerHour()+r.CentsPerHour > spending.CentsPerHour {
		return l, errors.WithStack(&fault.SpendingExceeded{Account: string(l.Account)})
	}
	next := l
	next.Reservations = append(slices.Clone(l.Reservations), r)
	return next, nil
}

// with returns the ledger with the reservation of an order replaced, or removed
// when changed is nil.
func (l Ledger) with(order string, changed *Reservation) Ledger {
	next := l
	next.Reservations = nil
	for _, r := range l.Reservations {
		switch {
		case r.Order != order:
			next.Reservations = append(next.Reservations, r)
		case changed != nil:
			next.Reservations = append(next.Reservations, *changed)
		}
	}
	return next
}

// Reconcile moves the reservations of one failure domain to what the platform's
// list shows.
func (l Ledger) Reconcile(domain string, listed []platformapi.Upstream) Ledger {
	next := l
	next.Reservations = slices.Clone(l.Reservations)
	for i, r := range next.Reservations {
		at := find(r, listed)
		if r.FailureDomain != domain || at < 0 {
			continue
		}
		next.Reservations[i].Upstream = listed[at].ID
		if r.State != Stopping {
			next.Reservations[i].State = Running
		}
	}
	return next
}

func find(r Reservation, listed []platformapi.Upstream) int {
	return slices.IndexFunc(listed, func(u platformapi.Upstream) bool { return u.OrderID == r.Order })
}

// Orphans returns the listed upstreams of the account in a failure domain that
// no reservation pays for: a start order that was under way for longer than its
// reservation was held.
func (l Ledger) Orphans(domain string, listed []platformapi.Upstream) []platformapi.Upstream {
	var orphans []platformapi.Upstream
	for _, u := range listed {
		if u.FailureDomain != domain || u.Account != string(l.Account) || u.OrderID == "" {
			continue
		}
		paid := slices.ContainsFunc(l.Reservations, func(r Reservation) bool { return r.Order == u.OrderID })
		if !paid {
			orphans = append(orphans, u)
		}
	}
	return orphans
}
