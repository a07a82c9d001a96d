// Package leasetest has a guard of a lease for tests.
package leasetest

import (
	"context"
	"time"
)

// Held is the guard of a lease that is held all along, without an action of an earlier holder; the
// value is its epoch. Tests embed it to replace single methods. It implements lease.Guard.
type Held uint64

// Check implements lease.Guard.
func (Held) Check() error { return nil }

// Epoch implements lease.Guard.
func (h Held) Epoch() uint64 { return uint64(h) }

// Deadline implements lease.Guard.
func (Held) Deadline() time.Time { return time.Now().Add(time.Hour) }

// Confirm implements lease.Guard.
func (Held) Confirm(context.Context) error { return nil }

// BeginAction implements lease.Guard.
func (Held) BeginAction(context.Context, string) (func(bool), error) { return func(bool) {}, nil }

// PendingUntil implements lease.Guard.
func (Held) PendingUntil(string) time.Time { return time.Time{} }
