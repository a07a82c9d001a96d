package step

import (
	"slices"
	"time"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// openStep is an open step with its owner and its requirements on engines.
type openStep struct {
	owner      string
	model      string
	minVersion int64
	// ownerKnownSince is when this VM learned that the owner owns the step.
	ownerKnownSince time.Time
	// residency limits the failure domains of the engines.
	residency route.Residency
}

// canBeServedBy reports whether an engine can serve the step.
func (s openStep) canBeServedBy(e *target.Entry) bool {
	return s.residency.Allows(e.Info().FailureDomain) && (s.model == "" || e.Version(s.model) >= s.minVersion)
}

// openSteps returns the open steps that have an owner, as this VM knows them from the state
// rows.
func (m *Manager) openSteps() []openStep {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []openStep
	for _, r := range m.states {
		if !r.Ended && r.Owner != "" {
			all = append(all, openStep{owner: r.Owner, model: r.Model, minVersion: r.MinVersion, ownerKnownSince: r.ownerKnownSince, residency: m.stepResidency(r.Spec)})
		}
	}
	return all
}

// firstSenderBufferSize is the number of open steps up to which the choice of a first sender
// allocates no memory.
const firstSenderBufferSize = 16

// firstSenderOf returns the VM that ranks first for an engine among the owners of the steps
// that the engine can serve; ok is false when there are none.
func firstSenderOf(all []openStep, e *target.Entry) (vm string, ok bool) {
	var buf [firstSenderBufferSize]string
	eligible := buf[:0]
	for _, s := range all {
		if s.canBeServedBy(e) {
			eligible = append(eligible, s.owner)
		}
	}
	return lease.First("engine/"+e.Info().ID, eligible)
}

const (
	// statesMaxAge is the maximum age of the states for deciding whether any steps are open.
	// It is twice the timeout of a watch call.
	statesMaxAge = 2 * watchTimeout
	// ownerGracePeriod is the grace period between the time an owner learns of its step and the
	// time it may be the first sender of an engine. Trainers submit steps at the same
	// moment, and until the state rows have reached all VMs, each owner knows only itself.
	ownerGracePeriod = 500 * time.Millisecond
	// firstSenderStatesMaxAge is the maximum age of the states for being the first sender of an
	// engine. It is shorter than ownerGracePeriod. So the first sender knows all owners whose
	// grace period has passed. It also stops being first as soon as it learns of an owner that
	// ranks before it, while the grace period of that owner has not passed yet.
	firstSenderStatesMaxAge = 400 * time.Millisecond
	// ownerWatchTimeout is the timeout of the watch calls of a VM that owns steps. It keeps the
	// age of the states below the limit for first senders while nothing changes.
	ownerWatchTimeout = 300 * time.Millisecond
)

// IsFirstSender reports whether this VM is the first sender of an engine: whether it ranks
// first for the engine among the owners of the open steps that the engine can serve. decided
// is false when there are no such steps, and true when the states are too old to tell. A VM
// that can't read the state rows is never first: each VM would otherwise consider only the
// owners that it knows, often just itself, and several VMs would be first.
func (m *Manager) IsFirstSender(e *target.Entry) (first, decided bool) {
	now := time.Now()
	age := time.Duration(now.UnixNano() - m.statesReadAt.Load())
	if age > statesMaxAge {
		return false, true
	}
	all := m.openSteps()
	vm, decided := firstSenderOf(all, e)
	if vm != m.VM || age > firstSenderStatesMaxAge {
		return false, decided
	}
	return slices.ContainsFunc(all, func(s openStep) bool {
		return s.owner == m.VM && s.canBeServedBy(e) && now.Sub(s.ownerKnownSince) >= ownerGracePeriod
	}), true
}

// stateWatchTimeout returns the timeout of the next watch call on the state rows.
func (m *Manager) stateWatchTimeout() time.Duration {
	if m.ownsSteps() {
		return ownerWatchTimeout
	}
	return watchTimeout
}

// stateWatchInterval returns the minimum interval between two watch calls on the state rows.
// Few VMs own steps, so the store can take the more frequent calls of owners at any size of
// the fleet.
func (m *Manager) stateWatchInterval() time.Duration {
	interval := m.CallBudget.Interval(budget.Steps, minWatchInterval)
	if m.ownsSteps() {
		return min(interval, ownerWatchTimeout)
	}
	return interval
}

// ownsSteps reports whether this VM owns an open step.
func (m *Manager) ownsSteps() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.states {
		if !r.Ended && r.Owner == m.VM {
			return true
		}
	}
	return false
}

// enginesWithOtherFirstSender returns the engines for which another VM that owns an open step
// ranks first.
//
// This matters when trainers submit their steps at the same moment. Engines that have just
// started have the newest version of every model, and no owner sees yet what another one
// sends. All owners would fill the same engines, and most items would wait in the queues of
// these engines.
func (m *Manager) enginesWithOtherFirstSender(engines []*target.Entry) map[*target.Entry]bool {
	all := m.openSteps()
	out := make(map[*target.Entry]bool)
	for _, e := range engines {
		if vm, ok := firstSenderOf(all, e); ok && vm != m.VM {
			out[e] = true
		}
	}
	return out
}
