package step

import (
	"time"

	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// need is what an item asks of an engine.
type need struct {
	service string
	model   string
	// minVersion is the oldest version of the weights that may be used.
	minVersion int64
	// domain is the failure domain of this VM.
	domain string
	// residency limits the failure domains of the engines.
	residency route.Residency
	// route is the one that leads to the service.
	route *route.Route
}

// kind names what needs of one step may differ in.
type kind struct {
	service string
	route   *route.Route
}

func (n need) kind() kind { return kind{n.service, n.route} }

// Weights of placing, in parts of an engine's slots. The load is bursts of items that
// fill most slots at once, and each taken slot makes the others a little slower. So
// items spread out over engines of one pace. The paces of engines differ by much more
// than that, and a step ends with its longest items, which start first: these go to the
// fastest engines, and slow ones get what finds no room elsewhere.
const (
	// placePaceCost is the cost of an engine that takes twice as long as the median.
	placePaceCost = 5.0
	// mostSlow bounds how far behind the median an engine counts: one that is only
	// remembered as very slow must be tried again when the others are full.
	mostSlow = 1.0
	// otherDomainCost prefers near engines between equals: results are the bulk
	// of the bytes between failure domains.
	otherDomainCost = 0.04
	suspectCost     = 16.0
	// coldCost is the load of a full engine: those that warm up come after all that have a
	// slot, and still before slow ones.
	coldCost = 1.0
	// othersCost keeps items off engines that the owner of another step fills at the same
	// moment as long as an own one has a slot.
	othersCost = 2.0
	// othersUnseen is how many items may be at such an engine as long as it has not told
	// its load: its answer tells.
	othersUnseen = 1
)

// place returns the engine that one item should run at, or nil when none has room:
// the engine's own queue is first in, first out and knows no deadlines, so that
// waiting there is worse than waiting here.
func place(p pool, n need, avoid *target.Entry, now time.Time) *target.Entry {
	median := target.MedianPace(p.engines, now)
	var best *target.Entry
	var least float64
	for _, e := range p.engines {
		if e == avoid {
			continue
		}
		if cost, ok := p.cost(e, n, median, now); ok && (best == nil || cost < least) {
			best, least = e, cost
		}
	}
	return best
}

// cost returns the cost of running an item at an engine of the pool; ok is false when it
// has no room.
func (p pool) cost(e *target.Entry, n need, median time.Duration, now time.Time) (cost float64, ok bool) {
	if !serves(e, n, now) || e.Free(now) <= 0 || !e.Admits(now) {
		return 0, false
	}
	if !p.others[e] {
		return placeCost(e, n, median, now), true
	}
	if !e.LoadKnown(now) && e.InFlight() >= othersUnseen {
		return 0, false
	}
	return placeCost(e, n, median, now) + othersCost, true
}

// serves reports whether an engine may run items of the model now.
func serves(e *target.Entry, n need, now time.Time) bool {
	if !n.residency.Allows(e.Info().FailureDomain) {
		return false
	}
	if n.model == "" {
		return true
	}
	return e.Version(n.model) >= n.minVersion && !e.Swapping(n.model, now)
}

func placeCost(e *target.Entry, n need, median time.Duration, now time.Time) float64 {
	cost := float64(e.Slots()-e.Free(now)) / float64(e.Slots())
	if e.Info().FailureDomain != n.domain {
		cost += otherDomainCost
	}
	if p := e.Pace(now); median > 0 && p > 0 {
		cost += placePaceCost * min(float64(p)/float64(median)-1, mostSlow)
	}
	if e.Suspect(now) {
		cost += suspectCost
	}
	if e.Cold(now) {
		cost += coldCost
	}
	return cost
}

// slotsFor returns how many items of a need the engines run at once.
func slotsFor(engines []*target.Entry, n need, now time.Time) int {
	slots := 0
	for _, e := range engines {
		if serves(e, n, now) && !e.Suspect(now) {
			slots += min(e.Slots(), e.Admissible(now)+e.InFlight())
		}
	}
	return slots
}
