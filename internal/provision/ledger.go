// Package provision orders upstreams for client accounts within the spending limit of each
// contract. The price of an upstream is reserved in the account's ledger row before its
// start order is sent. The transaction on the ledger row keeps the reservations within the
// limit, even if the controllers of several failure domains order at the same time. An
// order with an unknown outcome is sent again with the same ID until its outcome is known.
package provision

import (
	"slices"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// State is the state of a reservation.
type State string

// The states of a reservation.
const (
	// Starting: a start order may have been sent, and the platform does not list the
	// upstream yet.
	Starting State = "starting"
	// Running: the platform lists the upstream.
	Running State = "running"
	// Stopping: a stop order may have been sent.
	Stopping State = "stopping"
	// Refused: the platform refused the start order. An earlier copy of the order may
	// still be in transit, so the price stays reserved for releaseDelay.
	Refused State = "refused"
)

// Reservation reserves the price of one upstream in the spending of an account.
type Reservation struct {
	// StartOrderID is the ID of the start order.
	StartOrderID  string `json:"order"`
	FailureDomain string `json:"failureDomain"`
	Model         string `json:"model"`
	Adapter       string `json:"adapter,omitempty"`
	Reclaimable   bool   `json:"reclaimable"`
	CentsPerHour  int64  `json:"centsPerHour"`
	State         State  `json:"state"`
	// Upstream is the ID of the upstream, set once the platform lists it.
	Upstream string `json:"upstream,omitempty"`
}

// Ledger holds the reservations of an account; it is the value of the account's ledger row.
type Ledger struct {
	Account      contract.Account `json:"account"`
	Reservations []Reservation    `json:"reservations"`
}

// CentsPerHour returns the total price of all reservations.
func (l Ledger) CentsPerHour() int64 {
	var sum int64
	for _, r := range l.Reservations {
		sum += r.CentsPerHour
	}
	return sum
}

// Reserve returns the ledger with a reservation added. It fails with
// *fault.SpendingExceeded if the total price would exceed the contract's spending.
func (l Ledger) Reserve(r Reservation, spending contract.Spending) (Ledger, error) {
	if r.CentsPerHour < 0 || l.CentsPerHour()+r.CentsPerHour > spending.CentsPerHour {
		return l, errors.WithStack(&fault.SpendingExceeded{Account: string(l.Account)})
	}
	next := l
	next.Reservations = append(slices.Clone(l.Reservations), r)
	return next, nil
}

// withReservation returns the ledger with the reservation of an order replaced by changed,
// or removed if changed is nil.
func (l Ledger) withReservation(order string, changed *Reservation) Ledger {
	next := l
	next.Reservations = nil
	for _, r := range l.Reservations {
		switch {
		case r.StartOrderID != order:
			next.Reservations = append(next.Reservations, r)
		case changed != nil:
			next.Reservations = append(next.Reservations, *changed)
		}
	}
	return next
}

// Reconcile returns the ledger with the reservations of one failure domain updated from the
// platform's list. A reservation whose upstream is listed becomes Running unless it is
// Stopping.
func (l Ledger) Reconcile(domain string, listed []platformapi.Upstream) Ledger {
	next := l
	next.Reservations = slices.Clone(l.Reservations)
	for i, r := range next.Reservations {
		index := findUpstream(r, listed)
		if r.FailureDomain != domain || index < 0 {
			continue
		}
		next.Reservations[i].Upstream = listed[index].ID
		if r.State != Stopping {
			next.Reservations[i].State = Running
		}
	}
	return next
}

// findUpstream returns the index of the upstream that was started by the reservation's
// order, or -1.
func findUpstream(r Reservation, listed []platformapi.Upstream) int {
	return slices.IndexFunc(listed, func(u platformapi.Upstream) bool { return u.OrderID == r.StartOrderID })
}

// Orphans returns the listed upstreams of the account in a failure domain that have no
// reservation. Such an upstream was started by an order that took effect after its
// reservation was released.
func (l Ledger) Orphans(domain string, listed []platformapi.Upstream) []platformapi.Upstream {
	var orphans []platformapi.Upstream
	for _, u := range listed {
		if u.FailureDomain != domain || u.Account != string(l.Account) || u.OrderID == "" {
			continue
		}
		reserved := slices.ContainsFunc(l.Reservations, func(r Reservation) bool { return r.StartOrderID == u.OrderID })
		if !reserved {
			orphans = append(orphans, u)
		}
	}
	return orphans
}
