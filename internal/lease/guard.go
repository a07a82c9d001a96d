package lease

import (
	"context"
	"time"
)

// Guard tells whether its holder may still act. It is asked directly before
// each write to the wire, and the connection carries Deadline as its write
// deadline: a process that was paused between the two must not go on writing.
type Guard interface {
	// Check fails with *fault.LeaseLost when the lease is not held any more.
	Check() error
	// Epoch returns the fencing number of the holder's orders.
	Epoch() uint64
	// Deadline returns the end of the term; it moves with each renewal.
	Deadline() time.Time
}

// Check implements Guard.
func (h *Hold) Check() error { return h.CheckAt(time.Now()) }

// SettleTime returns how long a new holder waits before its first order to
// receivers that ignore fencing numbers. An earlier holder may have sent an
// order just before its term ended; orderTimeout is the longest time after
// which such an order can still take effect. A margin covers clocks that run at
// different rates: after a release no term's margin lies between the two.
func SettleTime(orderTimeout time.Duration) time.Duration {
	return orderTimeout + orderTimeout/marginShare
}

// Settle waits for SettleTime. It fails with *fault.LeaseLost when the lease is
// lost meanwhile, and with the context's failure when ctx ends.
func Settle(ctx context.Context, g Guard, orderTimeout time.Duration) error {
	timer := time.NewTimer(SettleTime(orderTimeout))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return g.Check()
	}
}
