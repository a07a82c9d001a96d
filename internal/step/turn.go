package step

import (
	"slices"
	"time"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// sender is an owner of open steps with what it asks of engines.
type sender struct {
	vm         string
	model      string
	minVersion int64
	// since is when this VM heard that the owner has the step.
	since time.Time
	// residency limits the failure domains of its engines.
	residency route.Residency
}

// able reports whether an engine can serve the owner's step.
func (s sender) able(e *target.Entry) bool {
	return s.residency.Allows(e.Info().FailureDomain) && (s.model == "" || e.Version(s.model) >= s.minVersion)
}

// senders returns the owners of the open steps. All VMs know them from the states of the
// steps.
func (m *Manager) senders() []sender {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []sender
	for _, r := range m.known {
		if !r.Ended && r.Owner != "" {
			all = append(all, sender{vm: r.Owner, model: r.Model, minVersion: r.MinVersion, since: r.ownedSince, residency: m.stepResidency(r.Spec)})
		}
	}
	return all
}

// fewSenders is for how many owners firstOf needs no memory of its own.
const fewSenders = 16

// firstOf returns the VM that ranks first for an engine among the senders that it can
// serve; ok is false when there are none.
func firstOf(all []sender, e *target.Entry) (vm string, ok bool) {
	var few [fewSenders]string
	able := few[:0]
	for _, s := range all {
		if s.able(e) {
			able = append(able, s.vm)
		}
	}
	return lease.First("engine/"+e.Info().ID, able)
}

const (
	// statesKnown is the age of the states up to which this VM knows whether steps are open.
	// A call for changes returns within watchWait.
	statesKnown = 2 * watchWait
	// ownersSettle is how long a step has been open before its owner may have a turn.
	// Trainers hand steps in at the same moment, and until their states have gone around,
	// each owner knows only of itself.
	ownersSettle = 500 * time.Millisecond
	// statesFresh is the age of the states up to which an owner may have a turn. It is below
	// ownersSettle: whoever has the turn knows all owners whose steps have been open for that
	// long, and leaves the engine to those that rank before it from when it hears of them.
	statesFresh = 400 * time.Millisecond
	// ownerWatchWait bounds the calls for changes of a VM that owns steps, so that its states
	// stay fresh while nothing changes.
	ownerWatchWait = 300 * time.Millisecond
)

// FirstSender tells whether this VM ranks first for an engine among the owners of the open
// steps that the engine can serve; ok is false when there are none. A VM that can't read
// the states is never first: each one would otherwise take the owners that it remembers,
// and often only itself, for all there are.
func (m *Manager) FirstSender(e *target.Entry) (first, ok bool) {
	now := time.Now()
	age := time.Duration(now.UnixNano() - m.statesRead.Load())
	if age > statesKnown {
		return false, true
	}
	all := m.senders()
	vm, ok := firstOf(all, e)
	if vm != m.VM || age > statesFresh {
		return false, ok
	}
	return slices.ContainsFunc(all, func(s sender) bool {
		return s.vm == m.VM && s.able(e) && now.Sub(s.since) >= ownersSettle
	}), true
}

// stateWait is how long a call for changes of states may stay open.
func (m *Manager) stateWait() time.Duration {
	if m.ownsSteps() {
		return ownerWatchWait
	}
	return watchWait
}

// statePace is the least time between two such calls. The owners of steps are few, so that
// the store has room for their calls whatever the size of the fleet.
func (m *Manager) statePace() time.Duration {
	pace := m.Calls.Period(budget.Steps, watchPace)
	if m.ownsSteps() {
		return min(pace, ownerWatchWait)
	}
	return pace
}

func (m *Manager) ownsSteps() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.known {
		if !r.Ended && r.Owner == m.VM {
			return true
		}
	}
	return false
}

// others returns the engines for which the owner of another open step ranks first.
//
// The load is trainers that hand their steps in at the same moment. Engines that have just
// started have the newest version of every model, and no owner sees yet what the others
// send: all of them would fill the same engines, whose queues then hold most items up.
func (m *Manager) others(engines []*target.Entry) map[*target.Entry]bool {
	all := m.senders()
	out := make(map[*target.Entry]bool)
	for _, e := range engines {
		if vm, ok := firstOf(all, e); ok && vm != m.VM {
			out[e] = true
		}
	}
	return out
}

// pool is the engines of a service as one pass over the items sees them.
type pool struct {
	engines []*target.Entry
	// others are those that other owners use first.
	others map[*target.Entry]bool
}

func (m *Manager) pool(service string, now time.Time) pool {
	engines := m.engines(service, now)
	return pool{engines: engines, others: m.others(engines)}
}
