package step

import (
	"context"
	"sync"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/wait"
)

const (
	// claimLead is how much sooner than the accepted copy a step must have been handed in
	// here for its early run to go on in place of the accepted one.
	claimLead = 500 * time.Millisecond
	// claimSpread is how long an early run that is at its beginning leaves the step to
	// those that are further.
	claimSpread = 200 * time.Millisecond
	// claimGain is how much of what another early run had still to make may be left here
	// for the step to be claimed from that one.
	claimGain = 0.7
	// claimTime bounds a change of owner to an early run.
	claimTime = 2 * time.Second
)

// earlyRun runs a step's items while its acceptance is still open, because the
// store does not answer. Nothing is listed before the step is accepted, and if it
// is not, the items stop and the trainer is told that nothing is known.
//
// The trainer hands the step in again and again meanwhile, each time at another VM, and
// any copy may be accepted in the end. The load is a step of hundreds of items and an
// outage of seconds: the accepted copy may be at its beginning while an earlier one has
// nearly all texts. So the early run that is furthest takes the step over.
type earlyRun struct {
	manager *Manager
	state   State
	items   []Item

	mu     sync.Mutex
	run    *run
	closed bool
	// decided is closed when it is clear what becomes of the run after another copy of
	// the step was accepted; nil until then.
	decided chan struct{}
}

// start begins the items, unless the acceptance was decided already.
func (e *earlyRun) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.manager
	if e.closed || e.state.Owner != m.VM {
		return
	}
	e.run = m.startRun(record{State: e.state}, e.items, nil, nil, e)
	if e.run != nil {
		m.Events.Emit(event.StepStartedEarly, event.Subject{Step: e.state.ID, Account: e.state.Account, Count: int64(len(e.items))})
	}
}

// accept turns the run into that of an accepted step, and reports whether there
// is one.
func (e *earlyRun) accept(r record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.run == nil || e.run.ctx.Err() != nil {
		return false
	}
	e.run.accept(r)
	return true
}

// close ends a run that was not accepted, and reports whether there was one.
func (e *earlyRun) close() (ran bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.run == nil || e.run.accepted() {
		return false
	}
	e.manager.stop(e.run)
	return true
}

// decide ends the run, or makes it that of the step, after another copy of the step was
// accepted.
func (e *earlyRun) decide(accepted record) {
	e.mu.Lock()
	run, decided := e.run, e.decided
	if decided == nil {
		e.decided = make(chan struct{})
		defer close(e.decided)
	}
	e.mu.Unlock()
	switch {
	case decided != nil:
		<-decided
	case run != nil && !e.claimNewest(run, accepted):
		e.manager.stop(run)
	}
}

// claimNewest claims the step as long as the run may, also after another early run was
// quicker, and reports whether it did.
func (e *earlyRun) claimNewest(run *run, accepted record) bool {
	for e.mayClaim(run, accepted) {
		if e.claim(run, accepted) {
			return true
		}
		now, ok := e.manager.lookUp(accepted.ID)
		if !ok || now.version <= accepted.version {
			return false
		}
		accepted = now
	}
	return false
}

// mayClaim reports whether the run began well before the accepted copy. Only the first
// owner is replaced, or another early run that claimed the step with far less done: that
// one may just have heard of the acceptance earlier.
func (e *earlyRun) mayClaim(run *run, accepted record) bool {
	lead := time.Duration(accepted.SubmittedAt-e.state.SubmittedAt) * time.Millisecond
	if accepted.Ended || lead < claimLead {
		return false
	}
	return accepted.Epoch == 1 || accepted.Made > 0 && run.undone() <= claimGain*(1-accepted.Made)
}

// claim takes the accepted step over, and reports whether it did. What its owner has
// listed meanwhile is read after the change of owner: nobody else can add any then.
func (e *earlyRun) claim(run *run, accepted record) bool {
	m := e.manager
	if !wait.For(run.ctx, time.Duration(run.undone()*float64(claimSpread))) {
		return false
	}
	ctx, cancel := context.WithTimeout(run.ctx, claimTime)
	defer cancel()
	accepted.SubmittedAt = e.state.SubmittedAt
	owned, ok := m.becomeOwner(ctx, accepted, 1-run.undone())
	if !ok {
		return false
	}
	listed, err := run.adopt(ctx, m)
	if err != nil {
		m.notTaken(owned.State, err)
	}
	if err != nil || !e.accept(owned) {
		return false
	}
	m.owned(owned, listed)
	return true
}
