package lease

import (
	"context"
	"time"
)

// Guard checks whether its holder may still act. Callers check it directly before each
// write to the wire, and the connection has Deadline as its write deadline: a process
// that was paused between the check and the write must not write after the term.
type Guard interface {
	// Check fails with *fault.LeaseLost when the lease is not held any more.
	Check() error
	// Epoch returns the fencing token of the holder's orders.
	Epoch() uint64
	// Deadline returns the end of the term; each renewal extends it.
	Deadline() time.Time
	// Confirm renews the lease: it returns nil once a renewal is committed that began after the
	// call. The term runs on the local monotonic clock, which stops while the machine is
	// suspended, so Check may pass although another VM holds the lease. It fails with
	// *fault.LeaseLost if the lease is lost, and the context of run has ended by then; with
	// *fault.StoreUnavailable if no renewal is committed in half a term; and with the cause of
	// ctx when ctx ends first. Concurrent calls share a renewal that has not begun. Callers
	// confirm the lease directly before each order to receivers that ignore fencing tokens; if
	// the receiver can't be asked whether it executed an order, they use Act.
	Confirm(ctx context.Context) error
	// BeginAction confirms the lease like Confirm, with a renewal that tells the next holder
	// that an action is pending. The caller calls end when the action has ended; mayTakeEffect
	// is true if it got no answer, so that its receiver may still execute it. Callers use Act.
	// A receiver that is not empty says that the next holder has to wait with its actions at
	// that receiver only; see PendingUntil. Otherwise it waits before it takes the lease.
	BeginAction(ctx context.Context, receiver string) (end func(mayTakeEffect bool), err error)
	// PendingUntil returns until when an action of an earlier holder counts as pending at the
	// receiver; zero if none is known. A time that has passed stays known. Callers use MayActAt.
	PendingUntil(receiver string) time.Time
}

// Check implements Guard.
func (h *Hold) Check() error { return h.CheckAt(time.Now()) }

// OrderTimeout is the timeout of the orders and reports that are sent under the leases of a
// fleet. Three limits must agree on it, so they all use it: the timeout of the call, the
// limit that the sender's kernel keeps while the process is paused (see package fence), and
// the wait of a new holder. A slow receiver still answers within it.
const OrderTimeout = 800 * time.Millisecond

// OrderGracePeriod returns how long a new holder waits before its first order to receivers
// that ignore fencing tokens. An earlier holder may have sent an order just before its
// term ended; orderTimeout is the longest time after which that order can still take
// effect. A margin is added for clocks that run at different rates, because after a
// release the new holder has not waited for the margin of a term.
func OrderGracePeriod(orderTimeout time.Duration) time.Duration {
	return orderTimeout + orderTimeout/marginDivisor
}

// WaitOrderGracePeriod waits for the duration that OrderGracePeriod returns. It then fails with
// *fault.LeaseLost if the lease was lost in the meantime. It fails with the cause of ctx
// when ctx ends first.
func WaitOrderGracePeriod(ctx context.Context, g Guard, orderTimeout time.Duration) error {
	timer := time.NewTimer(OrderGracePeriod(orderTimeout))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return g.Check()
	}
}
