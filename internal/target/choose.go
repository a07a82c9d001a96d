package target

import (
	"slices"
	"time"

	"dogwoodpond/internal/route"
)

// Cost terms for the choice of an upstream for a plain request, as fractions of the
// upstream's slots. They are meant for a load under which an upstream has several free
// slots. Upstreams in this VM's failure domain are then preferred, since they stay
// reachable when the domain is cut off. One that is much busier or slower costs more than
// an upstream in another domain.
const (
	otherDomainCost = 0.35
	// slowFactor is no cost: an upstream is slow when its unit time is more than this
	// multiple of the median.
	slowFactor = 2.0
	slowCost   = 0.8
	// coldCost makes a warming upstream a choice only when the others are full.
	coldCost = 1.0
)

// Criteria holds the criteria by which an upstream is chosen for a plain request.
type Criteria struct {
	Service string
	// Domain is the failure domain of this VM.
	Domain string
	// Residency limits the failure domains of the upstream.
	Residency route.Residency
	// Skip lists upstreams that are not considered.
	Skip []*Entry
}

// Choose returns the upstream with the lowest cost for a plain request, or nil if there
// is none. A suspect upstream is chosen only when no other is left: it may still serve the
// request, which would otherwise be refused.
func (r *Roster) Choose(c Criteria, now time.Time) *Entry {
	usable := r.Usable(c.Service, now)
	median := MedianUnitTime(usable, now)
	var best *Entry
	var least float64
	for _, e := range usable {
		if contains(c.Skip, e) || !c.Residency.Allows(e.Info().FailureDomain) || !e.Admits(now) {
			continue
		}
		if cost := costOf(e, c.Domain, median, now); best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// Reserve chooses an upstream as Choose does and counts the request as in flight, like
// TryBegin. If concurrent requests have used up the upstream's admission limit since it was
// chosen, Reserve chooses again without it.
func (r *Roster) Reserve(c Criteria) *Entry {
	for {
		e := r.Choose(c, time.Now())
		if e == nil || e.TryBegin() {
			return e
		}
		c.Skip = append(slices.Clip(c.Skip), e)
	}
}

func costOf(e *Entry, domain string, median time.Duration, now time.Time) float64 {
	cost := float64(e.InFlight()+e.OthersInFlight(now)) / float64(e.Slots())
	if e.Info().FailureDomain != domain {
		cost += otherDomainCost
	}
	if s := slowness(e, median, now); s > slowFactor {
		cost += slowCost
	}
	if e.Cold(now) {
		cost += coldCost
	}
	if e.Suspect(now) {
		const suspectCost = 100
		cost += suspectCost
	}
	return cost
}

func contains(list []*Entry, e *Entry) bool {
	for _, other := range list {
		if other == e {
			return true
		}
	}
	return false
}
