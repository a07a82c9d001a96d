package step

import (
	"cmp"
	"slices"
	"sort"
	"time"

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
}

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
)

// place returns the engine that an item should run at, or nil when none has room:
// the engine's own queue is first in, first out and knows no deadlines, so that
// waiting there is worse than waiting here.
func place(engines []*target.Entry, n need, avoid *target.Entry, now time.Time) *target.Entry {
	median := target.MedianPace(engines, now)
	var best *target.Entry
	var least float64
	for _, e := range engines {
		if e == avoid || !serves(e, n, now) || e.Free(now) <= 0 {
			continue
		}
		cost := placeCost(e, n, median, now)
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// serves reports whether an engine may run items of the model now.
func serves(e *target.Entry, n need, now time.Time) bool {
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
	return cost
}

// orders are the two orders in which the items of a step may start. Groups that come
// again come first in both: their trainer waits for them whatever else is whole.
type orders struct {
	// byLength starts the longest items first. A step is as late as its longest needed
	// item, most groups are needed, and a long item that waits for the short ones of
	// other groups is late by its wait.
	byLength []int
	// byGroup starts group after group, those with the longest item first. It makes
	// some groups whole early when the slots don't suffice for all.
	byGroup []int
	// work and longest are the expected work of all items and of the longest one, in
	// tokens.
	work, longest float64
}

func newOrders(items []Item, first map[string]bool) orders {
	o := orders{byGroup: order(items, first), work: work(items)}
	for _, item := range items {
		o.longest = max(o.longest, item.Expected)
	}
	o.byLength = slices.Clone(o.byGroup)
	slices.SortStableFunc(o.byLength, func(i, j int) int {
		a, b := items[i], items[j]
		if first[a.Group] != first[b.Group] {
			return carriedFirst(first[a.Group])
		}
		return cmp.Compare(b.Expected, a.Expected)
	})
	return o
}

// carriedFirst compares two items of which one is of a carried group.
func carriedFirst(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// with returns the order for a number of slots. As long as these work everything off
// in the time of the longest item, nothing but the longest items can make the step
// late; with fewer it is not whole in time, and whole groups are what counts.
func (o *orders) with(slots int) []int {
	if o.work <= o.longest*float64(slots) {
		return o.byLength
	}
	return o.byGroup
}

// slotsFor returns how many items of a need the engines run at once.
func slotsFor(engines []*target.Entry, n need, now time.Time) int {
	slots := 0
	for _, e := range engines {
		if serves(e, n, now) && !e.Suspect(now) {
			slots += e.Slots()
		}
	}
	return slots
}

// order returns the items of a step group after group. Groups in first come first,
// then the groups with the longest expected item.
func order(items []Item, first map[string]bool) []int {
	groups := groupsOf(items)
	sort.SliceStable(groups, func(i, j int) bool {
		a, b := groups[i], groups[j]
		if first[a.name] != first[b.name] {
			return first[a.name]
		}
		return a.longest > b.longest
	})
	var out []int
	for _, g := range groups {
		out = append(out, g.items...)
	}
	return out
}

// group is the items that share a prompt and count only together.
type group struct {
	name    string
	items   []int
	longest float64
}

func groupsOf(items []Item) []*group {
	index := make(map[string]*group)
	var groups []*group
	for i, item := range items {
		g, ok := index[item.Group]
		if !ok {
			g = &group{name: item.Group}
			index[item.Group] = g
			groups = append(groups, g)
		}
		g.items = append(g.items, i)
		g.longest = max(g.longest, item.Expected)
	}
	return groups
}
