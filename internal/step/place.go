package step

import (
	"time"

	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// need is what an item requires of an engine.
type need struct {
	service string
	model   string
	// minVersion is the oldest weight version that may be used.
	minVersion int64
	// domain is the failure domain of this VM.
	domain string
	// residency limits the failure domains of the engines.
	residency route.Residency
	// route is the route that led to the service.
	route *route.Route
	// prompt is set for an item whose prompt's parts are known, at engines whose memory is.
	prompt *promptNeed
}

// needKey identifies a need among the needs of one step, which differ in nothing else.
type needKey struct {
	service string
	route   *route.Route
}

func (n need) key() needKey { return needKey{n.service, n.route} }

// Placement costs, as fractions of an engine's slots. Items arrive in bursts that fill most
// slots at once, and each occupied slot slows the others of its engine a little. Items
// therefore spread over engines of equal speed. Engines differ in speed by much more than
// that, and a step is complete when its longest items are. These start first and go to the
// fastest engines; slow engines get the items for which no other engine has a slot.
const (
	// slowdownCost is the cost of an engine that takes twice as long per event as the
	// median engine.
	slowdownCost = 5.0
	// maxSlowdown is the largest slowdown that counts; 1 is twice the median time per event.
	// An engine whose last known speed is very low must still be tried when the others are
	// full.
	maxSlowdown = 1.0
	// otherDomainCost prefers engines in this VM's failure domain among equals: results are
	// most of the traffic between failure domains.
	otherDomainCost = 0.04
	// suspectCost places items at engines that failed recently only when no other engine
	// has a free slot.
	suspectCost = 16.0
	// coldCost equals the load of a full engine: engines that are warming up come after
	// all warm ones with a free slot, and still before slow ones.
	coldCost = 1.0
	// otherOwnerCost keeps items away from engines that the owner of another step is filling
	// at the same time, as long as an engine for which this VM ranks first has a free slot.
	otherOwnerCost = 2.0
	// unknownLoadMaxItems is the largest number of this VM's items at an engine that another
	// owner is filling, while the engine's load is unknown. The engine reports its load with its
	// answer to them.
	unknownLoadMaxItems = 1
)

// pool holds the engines for items with one need at one moment.
type pool struct {
	// engines can serve the need.
	engines []*target.Entry
	// median is the median of the expected unit times of all engines of the service.
	median time.Duration
	// otherFirstSender contains the engines for which another VM that owns an open step ranks
	// first.
	otherFirstSender map[*target.Entry]bool
}

// newPool returns the pool of those engines of a service that can serve a need and are not left to an
// item under suspicion. With several
// models on the engines these are few, so costlier decisions consider only them.
func (m *Manager) newPool(engines []*target.Entry, n need, now time.Time) pool {
	p := pool{median: target.MedianExpectedUnitTime(engines, now)}
	for _, e := range m.suspects.withoutLast(engines) {
		if canServe(e, n, now) {
			p.engines = append(p.engines, e)
		}
	}
	p.otherFirstSender = m.enginesWithOtherFirstSender(p.engines)
	return p
}

// place returns the engine for one item, other than avoid, or nil when none has a free
// slot. An item at avoid doesn't leave it for an engine to which a connection has just failed. Items are never queued at an
// engine: its queue is first in, first out and ignores deadlines, so an item is better off in the queue of
// this VM.
func place(p pool, n need, avoid *target.Entry, now time.Time) *target.Entry {
	var best *target.Entry
	var least float64
	for _, e := range p.engines {
		if e == avoid || avoid != nil && e.Unreachable(now) {
			continue
		}
		if cost, ok := p.cost(e, n, now); ok && (best == nil || cost < least) {
			best, least = e, cost
		}
	}
	return best
}

// cost returns the cost of placing an item at an engine of the pool; ok is false when the
// engine can't serve the item or has no free slot for it.
func (p pool) cost(e *target.Entry, n need, now time.Time) (cost float64, ok bool) {
	if !canServe(e, n, now) || e.FreeSlots(now) <= 0 || !e.Admits(now) || !e.AdmitsAttempt(now) {
		return 0, false
	}
	if !p.otherFirstSender[e] {
		return placeCost(e, n, p.median, now) + p.readingCost(e, n, now), true
	}
	if !e.LoadKnown(now) && e.InFlight() >= unknownLoadMaxItems {
		return 0, false
	}
	return placeCost(e, n, p.median, now) + p.readingCost(e, n, now) + otherOwnerCost, true
}

// canServe reports whether an engine may run items with this need now: its failure domain is
// allowed, its weight version is not too old, and it is not loading another one.
func canServe(e *target.Entry, n need, now time.Time) bool {
	if !n.residency.Allows(e.Info().FailureDomain) {
		return false
	}
	if n.model == "" {
		return true
	}
	return e.Version(n.model) >= n.minVersion && !e.ModelUnavailable(n.model, now)
}

// placeCost returns the cost of placing an item at an engine that can serve it.
func placeCost(e *target.Entry, n need, median time.Duration, now time.Time) float64 {
	cost := float64(e.Slots()-e.FreeSlots(now)) / float64(e.Slots())
	if e.Info().FailureDomain != n.domain {
		cost += otherDomainCost
	}
	if unitTime := e.ExpectedUnitTime(now); median > 0 && unitTime > 0 {
		cost += slowdownCost * min(float64(unitTime)/float64(median)-1, maxSlowdown)
	}
	if e.Suspect(now) {
		cost += suspectCost
	}
	if e.Cold(now) {
		cost += coldCost
	}
	return cost
}

// slotsFor returns how many items with this need the engines can run at once.
func slotsFor(engines []*target.Entry, n need, now time.Time) int {
	slots := 0
	for _, e := range engines {
		if canServe(e, n, now) && !e.Suspect(now) {
			slots += min(e.Slots(), e.Admissible(now)+e.InFlight())
		}
	}
	return slots
}
