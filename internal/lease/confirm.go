package lease

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// confirmTimeoutDivisor is the divisor of the term that gives the timeout of Confirm: enough
// for several attempts at a renewal, and too short to delay the loss of the lease.
const confirmTimeoutDivisor = 2

// confirmer is the Guard of a hold whose lease renewLoop renews. It is safe for concurrent use.
type confirmer struct {
	*Hold
	// requests asks renewLoop for a renewal at once. Its capacity is 1: a request that waits
	// there serves all calls until it is taken.
	requests chan struct{}
	// stopped is closed when the renewals end.
	stopped <-chan struct{}
	// stopRun ends the context of run.
	stopRun context.CancelCauseFunc
}

// Confirm implements Guard.
func (c *confirmer) Confirm(ctx context.Context) error {
	begun := c.begunRenewals()
	c.requestRenewal()
	timeout := time.NewTimer(c.timing.Term / confirmTimeoutDivisor)
	defer timeout.Stop()
	for {
		committed, changed := c.committedAfter(begun)
		if err := c.Check(); err != nil {
			// renewLoop may not have reported the loss yet.
			c.stopRun(err)
			return err
		}
		if committed {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.WithStack(context.Cause(ctx))
		case <-c.stopped:
			return errors.WithStack(&fault.LeaseLost{Lease: c.name, Epoch: c.Epoch()})
		case <-timeout.C:
			return errors.WithStack(&fault.StoreUnavailable{Operation: "confirmation of a lease"})
		case <-changed:
		}
	}
}

// requestRenewal asks for a renewal at once.
func (c *confirmer) requestRenewal() {
	select {
	case c.requests <- struct{}{}:
	default:
	}
}

// BeginAction implements Guard. The renewal of Confirm begins after the action is counted, so
// its record tells that the action is pending.
func (c *confirmer) BeginAction(ctx context.Context, receiver string) (end func(mayTakeEffect bool), err error) {
	c.beginAction(receiver)
	if err := c.Confirm(ctx); err != nil {
		c.endAction(receiver, time.Now(), false)
		return nil, err
	}
	return func(mayTakeEffect bool) {
		// The row of a lease with many receivers changes with the next renewal.
		if c.endAction(receiver, time.Now(), mayTakeEffect) && receiver == anyReceiver {
			c.requestRenewal()
		}
	}, nil
}
