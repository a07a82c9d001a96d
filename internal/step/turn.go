package step

import (
	"slices"
	"time"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// sender is the owner of an open step, with the requirements of the step on engines. An
// owner of several open steps has one sender for each.
type sender struct {
	vm         string
	model      string
	minVersion int64
	// since is when this VM learned that the owner owns the step.
	since time.Time
	// residency limits the failure domains of the engines.
	residency route.Residency
}

// able reports whether an engine can serve the step.
func (s sender) able(e *target.Entry) bool {
	return s.residency.Allows(e.Info().FailureDomain) && (s.model == "" || e.Version(s.model) >= s.minVersion)
}

// senders returns the owners of the open steps, as this VM knows them from the state
// rows.
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

// fewSenders is the number of open steps up to which the choice of a first sender allocates
// no memory.
const fewSenders = 16

// firstOf returns the VM that ranks first for an engine among the owners of the steps that
// the engine can serve; ok is false when there are none.
func firstOf(all []sender, e *target.Entry) (vm string, ok bool) {
	var buf [fewSenders]string
	eligible := buf[:0]
	for _, s := range all {
		if s.able(e) {
			eligible = append(eligible, s.vm)
		}
	}
	return lease.First("engine/"+e.Info().ID, eligible)
}

const (
	// statesKnown is the maximum age of the states for deciding whether any steps are open.
	// It is twice the timeout of a watch call.
	statesKnown = 2 * watchWait
	// ownersSettle is the grace period between the time an owner learns of its step and the
	// time it may be the first sender of an engine. Trainers submit steps at the same
	// moment, and until the state rows have reached all VMs, each owner knows only itself.
	ownersSettle = 500 * time.Millisecond
	// statesFresh is the maximum age of the states for being the first sender of an engine.
	// It is shorter than the grace period of owners. So the first sender knows all owners
	// whose grace period has passed. It also stops being first as soon as it learns of an
	// owner that ranks before it, while the grace period of that owner has not passed yet.
	statesFresh = 400 * time.Millisecond
	// ownerWatchWait is the timeout of the watch calls of a VM that owns steps. It keeps the
	// age of the states below the limit for first senders while nothing changes.
	ownerWatchWait = 300 * time.Millisecond
)

// FirstSender reports whether this VM is the first sender of an engine: whether it ranks
// first for the engine among the owners of the open steps that the engine can serve. ok is
// false when there are no such steps, and true when the states are too old to tell. A VM
// that can't read the state rows is never first: each VM would otherwise consider only the
// owners that it knows, often just itself, and several VMs would be first.
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

// stateWait returns the timeout of the next watch call on the state rows.
func (m *Manager) stateWait() time.Duration {
	if m.ownsSteps() {
		return ownerWatchWait
	}
	return watchWait
}

// statePace returns the minimum interval between two such calls. Few VMs own steps, so the
// store can take the more frequent calls of owners at any size of the fleet.
func (m *Manager) statePace() time.Duration {
	pace := m.Calls.Period(budget.Steps, watchPace)
	if m.ownsSteps() {
		return min(pace, ownerWatchWait)
	}
	return pace
}

// ownsSteps reports whether this VM owns an open step.
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

// others returns the engines for which another VM that owns an open step ranks first.
//
// It matters when trainers submit their steps at the same moment. Engines that have just
// started have the newest version of every model, and no owner sees yet what another one
// sends. All owners would fill the same engines, and most items would wait in the queues of
// these engines.
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

// pool holds the engines of a service during one pass of the dispatcher over the items.
type pool struct {
	engines []*target.Entry
	// others contains the engines for which another owner ranks first.
	others map[*target.Entry]bool
}

// pool returns the engines of a service that may get work now.
func (m *Manager) pool(service string, now time.Time) pool {
	engines := m.engines(service, now)
	return pool{engines: engines, others: m.others(engines)}
}
