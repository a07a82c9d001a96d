package step

import (
	"sync"

	"dogwoodpond/internal/event"
)

// earlyRun runs a step's items while its acceptance is still open, because the
// store does not answer. Nothing is listed before the step is accepted, and if it
// is not, the items stop and the trainer is told that nothing is known.
type earlyRun struct {
	manager *Manager
	state   State
	items   []Item

	mu     sync.Mutex
	run    *run
	closed bool
}

// start begins the items, unless the acceptance was decided already.
func (e *earlyRun) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.manager
	if e.closed || e.state.Owner != m.VM {
		return
	}
	e.run = m.startRun(record{State: e.state}, e.items, nil, nil)
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
