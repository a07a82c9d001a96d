package lease

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/wait"
)

// Act runs an action under the lease: one call to a receiver that ignores fencing tokens and
// can't be asked whether it executed the call. Before the action it confirms the lease, and the
// lease's row tells that an action is pending. If the holder dies meanwhile, or if the action
// gets no answer, the next holder waits for Timing.PendingActionWait: the receiver may stand
// still and execute the action later.
//
// The context of the action ends after timeout, or when the lease is lost. A planned stop does
// not cancel the action, since its outcome would be unknown.
//
// Act fails with *fault.LeaseUnconfirmed if the lease was not confirmed or ctx ended first, so
// that the action did not begin; otherwise with the error of the action.
// fault.MayTakeEffect tells from that error whether the receiver may still execute it.
func Act(ctx context.Context, g Guard, timeout time.Duration, action func(ctx context.Context) error) error {
	return ActAt(ctx, g, anyReceiver, timeout, action)
}

// ActAt is Act for a lease with many receivers: the next holder may take the lease, and waits
// with its actions at the named receiver only. The caller calls it only if MayActAt allows it.
func ActAt(ctx context.Context, g Guard, receiver string, timeout time.Duration, action func(ctx context.Context) error) error {
	end, err := g.BeginAction(ctx, receiver)
	if err != nil {
		return errors.WithStack(&fault.LeaseUnconfirmed{Cause: err})
	}
	if ctx.Err() != nil {
		end(false)
		return errors.WithStack(&fault.LeaseUnconfirmed{Cause: context.Cause(ctx)})
	}
	callCtx, cancel := callContext(ctx, g, timeout)
	defer cancel()
	err = action(callCtx)
	end(mayTakeEffect(err))
	return err
}

// MayActAt reports whether the holder may act at a receiver: no action of an earlier holder is
// pending there, and the order grace period has passed since then, as it passes after the
// acquisition of a lease.
func MayActAt(g Guard, receiver string, orderTimeout time.Duration) bool {
	return !time.Now().Before(g.PendingUntil(receiver).Add(OrderGracePeriod(orderTimeout)))
}

// mayTakeEffect reports whether an action that failed with err may still take effect. An action
// that was canceled because the lease was lost may have been sent.
func mayTakeEffect(err error) bool {
	if fault.Is[*fault.LeaseLost](err) {
		return fault.ExecutionOf(err) != fault.NotRun
	}
	return fault.MayTakeEffect(err)
}

// callContext returns the context of a call under the lease that a planned stop does not
// cancel. It ends after timeout, or when the lease is lost.
func callContext(ctx context.Context, g Guard, timeout time.Duration) (context.Context, context.CancelFunc) {
	call, cancelCall := context.WithCancelCause(context.WithoutCancel(ctx))
	cancelIfLost := func() {
		if err := g.Check(); err != nil {
			cancelCall(err)
		}
	}
	stopWatching := context.AfterFunc(ctx, cancelIfLost)
	call, cancelTimeout := context.WithTimeout(call, timeout)
	go func() {
		// Each renewal puts off the end of the term.
		for wait.For(call, time.Until(g.Deadline())) {
			cancelIfLost()
		}
	}()
	return call, func() {
		stopWatching()
		cancelTimeout()
		cancelCall(nil)
	}
}
