package target

import (
	"slices"
	"time"

	"dogwoodpond/internal/route"
)

// The weights by which plain requests choose, in parts of an upstream's slots. They
// answer a load under which an upstream has several free slots: then the own failure
// domain is best, since its upstreams stay reachable when the domain is cut off. An
// upstream that is much busier or slower loses against one in another domain.
const (
	otherDomainCost = 0.35
	slowFrom        = 2.0
	slowCost        = 0.8
	// coldCost sends requests to an upstream that warms up only when the others are full.
	coldCost = 1.0
)

// Want says what a plain request asks of an upstream.
type Want struct {
	Service string
	// Domain is the failure domain of this VM.
	Domain string
	// Residency limits the failure domains.
	Residency route.Residency
	// Skip are the upstreams that are left out.
	Skip []*Entry
}

// Choose returns the upstream that a plain request should go to, or nil. Suspect
// upstreams come last: refusing a request that one of them might serve helps nobody.
func (r *Roster) Choose(w Want, now time.Time) *Entry {
	usable := r.Usable(w.Service, now)
	median := MedianSpeed(usable, now)
	var best *Entry
	var least float64
	for _, e := range usable {
		if contains(w.Skip, e) || !w.Residency.Allows(e.Info().FailureDomain) || !e.Admits(now) {
			continue
		}
		if cost := costOf(e, w.Domain, median, now); best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// Reserve is Choose, and counts the request to the upstream as Begin does. The upstreams
// that were passed over because others were quicker are left out.
func (r *Roster) Reserve(w Want) *Entry {
	for {
		e := r.Choose(w, time.Now())
		if e == nil || e.TryBegin() {
			return e
		}
		w.Skip = append(slices.Clip(w.Skip), e)
	}
}

func costOf(e *Entry, domain string, median time.Duration, now time.Time) float64 {
	cost := float64(e.InFlight()+e.Foreign(now)) / float64(e.Slots())
	if e.Info().FailureDomain != domain {
		cost += otherDomainCost
	}
	if s := slowness(e, median, now); s > slowFrom {
		cost += slowCost
	}
	if e.Cold(now) {
		cost += coldCost
	}
	if e.Suspect(now) {
		const behindAllOthers = 100
		cost += behindAllOthers
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
