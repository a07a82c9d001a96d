package step

import (
	"slices"
	"time"

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
		if s.residency.Allows(e.Info().FailureDomain) && (s.model == "" || e.Version(s.model) >= s.minVersion) {
			able = append(able, s.vm)
		}
	}
	return lease.First("engine/"+e.Info().ID, able)
}

// statesFresh is the age of the states up to which this VM knows the owners of the steps.
// A call for changes returns within watchWait.
const statesFresh = 2 * watchWait

// ownersSettle is how long an owner is known before it may have a turn. Trainers hand steps
// in at the same moment, and until their states have gone around, each owner knows only of
// itself.
const ownersSettle = 500 * time.Millisecond

// FirstSender tells whether this VM ranks first for an engine among the owners of the open
// steps that the engine can serve; ok is false when there are none. A VM that can't read
// the states is never first: each one would otherwise take the owners that it remembers,
// and often only itself, for all there are.
func (m *Manager) FirstSender(e *target.Entry) (first, ok bool) {
	now := time.Now()
	if now.UnixNano()-m.statesRead.Load() > int64(statesFresh) {
		return false, true
	}
	settled := slices.DeleteFunc(m.senders(), func(s sender) bool { return now.Sub(s.since) < ownersSettle })
	vm, ok := firstOf(settled, e)
	return vm == m.VM, ok
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
