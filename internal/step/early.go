package step

import (
	"context"
	"sync"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/wait"
)

const (
	// claimMinLead is how much earlier than the accepted copy a step must have been submitted
	// here for its early run to replace the run of the accepted copy.
	claimMinLead = 500 * time.Millisecond
	// claimMaxDelay is the longest delay before an early run claims the step. An early run
	// waits for this time multiplied by the share of its texts that is not generated yet,
	// so that those that have progressed further claim the step first.
	claimMaxDelay = 200 * time.Millisecond
	// claimMaxRemainingRatio limits the claim of a step that another early run has claimed: the
	// share of the texts that is missing here must be at most claimMaxRemainingRatio times the
	// share that was missing there.
	claimMaxRemainingRatio = 0.7
	// claimTimeout is the timeout of a change of owner to an early run.
	claimTimeout = 2 * time.Second
)

// earlyRun runs a step's items before the step is accepted, because the store does not
// answer. No result is committed before the step is accepted. If the step is not accepted,
// the items are canceled and the trainer gets an error with an unknown execution.
//
// Meanwhile the trainer retries the submission, each time at another VM, and any of the
// copies may be accepted in the end. With a step of hundreds of items and an outage of
// seconds, the accepted copy may have just started while an earlier one has generated
// nearly all texts. So the early run that has progressed furthest takes over the step.
type earlyRun struct {
	manager *Manager
	state   State
	items   []Item

	mu     sync.Mutex
	run    *run
	closed bool
	// decidedCh is nil until another copy of the step is accepted. It is closed once the run
	// has either claimed the step or been stopped.
	decidedCh chan struct{}
}

// start runs the items, unless the outcome of the submission is already known or there is no room for the step. A VM
// that has not read the state table yet doesn't: its items would wait for the store, and the error of the submission
// would claim that they ran.
func (e *earlyRun) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.manager
	if e.closed || e.state.Owner != m.VM || !m.statesRead.Load() || !m.hasRoom(e.state) {
		return
	}
	e.run = m.startRun(stateRecord{State: e.state}, e.items, nil, nil, e)
	if e.run != nil {
		m.Events.Emit(event.StepStartedEarly, event.Subject{Step: e.state.ID, Account: e.state.Account, Count: int64(len(e.items))})
	}
}

// accept makes the early run the run of the accepted step r, whose previous owner committed
// results. It reports whether it did: there may be no early run, and Manager.accept may refuse it.
// start has no effect afterwards.
func (e *earlyRun) accept(r stateRecord, committed []Result) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	return e.run != nil && e.manager.accept(e.run, r, committed)
}

// close stops a run that was not accepted, and reports whether there was one. start has
// no effect afterwards.
func (e *earlyRun) close() (hadRun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.run == nil || e.run.accepted() {
		return false
	}
	e.manager.stop(e.run)
	return true
}

// claimOrStop claims the step for this run after another copy of the step was accepted, or
// stops the run. Concurrent calls return once the first one has decided.
func (e *earlyRun) claimOrStop(accepted stateRecord) {
	e.mu.Lock()
	run, decidedCh := e.run, e.decidedCh
	if decidedCh == nil {
		e.decidedCh = make(chan struct{})
		defer close(e.decidedCh)
	}
	e.mu.Unlock()
	switch {
	case decidedCh != nil:
		<-decidedCh
	case run != nil && !e.claimWithRetry(run, accepted):
		e.manager.stop(run)
		run.saveChangedSuspicions()
	}
}

// claimWithRetry claims the step and reports whether it succeeded. When the step's state has
// changed meanwhile, for example because another early run claimed the step first, it tries
// again while canClaim allows it.
func (e *earlyRun) claimWithRetry(run *run, accepted stateRecord) bool {
	for e.canClaim(run, accepted) {
		if e.claim(run, accepted) {
			return true
		}
		latest, ok := e.manager.lookUp(accepted.ID)
		if !ok || latest.version <= accepted.version {
			return false
		}
		accepted = latest
	}
	return false
}

// canClaim reports whether the run may claim the step: this copy was submitted early
// enough before the accepted one. Only the first owner is replaced, or another early run that
// claimed the step with far less progress: that one may merely have learned of the acceptance
// earlier.
func (e *earlyRun) canClaim(run *run, accepted stateRecord) bool {
	lead := time.Duration(accepted.SubmittedAt-e.state.SubmittedAt) * time.Millisecond
	if accepted.Ended || lead < claimMinLead {
		return false
	}
	return accepted.Epoch == 1 || accepted.GeneratedShare > 0 && run.remaining() <= claimMaxRemainingRatio*(1-accepted.GeneratedShare)
}

// claim takes over the accepted step and reports whether it succeeded. The results that
// the previous owner has committed are read after the change of owner, when that owner can
// no longer commit any.
func (e *earlyRun) claim(run *run, accepted stateRecord) bool {
	m := e.manager
	if !wait.For(run.ctx, time.Duration(run.remaining()*float64(claimMaxDelay))) {
		return false
	}
	ctx, cancel := context.WithTimeout(run.ctx, claimTimeout)
	defer cancel()
	// The objective and the deadline of the step count from this earlier submission.
	accepted.SubmittedAt = e.state.SubmittedAt
	owned, ok := m.becomeOwner(ctx, accepted, 1-run.remaining())
	if !ok {
		return false
	}
	committed, err := readAllResults(ctx, m.Store, owned.ID)
	if err == nil {
		err = m.readSuspicions(ctx, owned.ID)
	}
	if err != nil {
		m.emitTakeoverFailed(owned.State, err)
	}
	if err != nil || !e.accept(owned, committed) {
		// The run's context ends when the VM leaves.
		releaseCtx, cancel := context.WithTimeout(m.ctx, claimTimeout)
		defer cancel()
		m.releaseIfLeaving(releaseCtx, owned)
		return false
	}
	m.emitOwned(owned, len(committed))
	return true
}
