package target

import (
	"math"
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
	// multiple of the median. While most upstreams are slow the median tells nothing, but a
	// service that is short of capacity then is served by chooseUnderLoad.
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
	// SpareOnly excludes the upstreams that are known to have no free slot.
	SpareOnly bool
}

// Choose returns the upstream with the lowest cost for a plain request, or nil if there
// is none. A suspect upstream is chosen only when no other is left: it may still serve the
// request, which would otherwise be refused. While the service is loaded, the choice is the
// one of chooseUnderLoad.
func (r *Roster) Choose(c Criteria, now time.Time) *Entry {
	usable := r.Usable(c.Service, now)
	if c.SpareOnly {
		for _, e := range usable {
			if e.Loaded(now) {
				c.Skip = append(slices.Clip(c.Skip), e)
			}
		}
	}
	if anyLoaded(usable, now) {
		if e := r.chooseUnderLoad(usable, c, now); e != nil {
			return e
		}
	}
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

// loadedTTL is how long a report of full slots or of a refusal counts as load of the service.
// It is longer than loadTTL: a VM with a few requests a second learns of the upstreams' load
// less often than every half second, and a burst of callers lasts for seconds.
const loadedTTL = 2 * time.Second

// timeExponent is the power of the expected time by which chooseUnderLoad weighs upstreams. A
// higher one makes VMs that share stale knowledge crowd at the fastest upstream; with 1, slow
// upstreams get as large a share of their capacity as fast ones.
const timeExponent = 3

// Loaded reports whether the upstreams of a service are known to be short of capacity: one of
// them reported waiting requests or full slots, or refused a request, within loadedTTL.
// Requests that are sent twice then take capacity from other requests.
func (r *Roster) Loaded(service string, now time.Time) bool {
	return anyLoaded(r.Usable(service, now), now)
}

func anyLoaded(entries []*Entry, now time.Time) bool {
	return slices.ContainsFunc(entries, func(e *Entry) bool { return e.Loaded(now) })
}

// chooseUnderLoad returns an upstream at random, with a weight that falls with the expected
// time to the answer; nil if all are cold, suspect or
// excluded. It is meant for bursts while some upstreams are much slower than others: a VM then
// knows the load of other VMs only as it was some time ago, and many VMs that each take the
// best upstream by that knowledge would all take the same one.
func (r *Roster) chooseUnderLoad(usable []*Entry, c Criteria, now time.Time) *Entry {
	least := leastUnitTime(usable, now)
	var candidates []*Entry
	var weights []float64
	var total float64
	for _, e := range usable {
		if contains(c.Skip, e) || !c.Residency.Allows(e.Info().FailureDomain) || !e.Admits(now) || e.Suspect(now) || e.Cold(now) {
			continue
		}
		weight := math.Pow(float64(max(e.expectedTime(least, now), time.Microsecond)), -timeExponent)
		candidates, weights = append(candidates, e), append(weights, weight)
		total += weight
	}
	at := r.random() * total
	for i, e := range candidates {
		if at -= weights[i]; at < 0 || i == len(candidates)-1 {
			return e
		}
	}
	return nil
}

// LeastUnitTime returns the least known duration of a request at the upstreams of a service; 0 if
// none is known.
func (r *Roster) LeastUnitTime(service string, now time.Time) time.Duration {
	return leastUnitTime(r.Usable(service, now), now)
}

// leastUnitTime returns the least known duration of a request; 0 if none is known.
func leastUnitTime(entries []*Entry, now time.Time) time.Duration {
	var least time.Duration
	for _, e := range entries {
		if t := e.UnitTime(now); t > 0 && (least == 0 || t < least) {
			least = t
		}
	}
	return least
}

// expectedTime returns the expected time to the answer of a request that is sent now. An
// upstream without a recent measurement is assumed to take unmeasured for a request, so that it
// is measured again.
func (e *Entry) expectedTime(unmeasured time.Duration, now time.Time) time.Duration {
	took := e.UnitTime(now)
	if took == 0 {
		took = unmeasured
	}
	ahead := float64(e.InFlight()+e.ExpectedOthers(now)+1) / float64(e.Slots())
	return time.Duration(float64(took) * max(1, ahead))
}

// ExpectedTimes returns the expected time to the answer at an upstream, and the least one at the
// others of its service; 0 if it is unknown.
func (r *Roster) ExpectedTimes(e *Entry, now time.Time) (here, elsewhere time.Duration) {
	for _, other := range r.Usable(e.Info().Service, now) {
		if other == e || other.Suspect(now) || other.UnitTime(now) == 0 {
			continue
		}
		if t := other.expectedTime(0, now); elsewhere == 0 || t < elsewhere {
			elsewhere = t
		}
	}
	return e.expectedTime(0, now), elsewhere
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
