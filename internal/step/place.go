package step

import (
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

// Weights of placing. The load is some fifty items a second in bursts of a hundred
// on engines of 12 slots, each of which makes every item slower by some 3 %. So
// items spread out; an engine that is measured at more than slowFrom times the
// median gets work only when nothing else is free.
const (
	placeSlowFrom = 1.8
	placeSlowCost = 4.0
	// otherDomainCost prefers near engines between equals: results are the bulk
	// of the bytes between failure domains.
	otherDomainCost = 0.04
	suspectCost     = 16.0
)

// place returns the engine that an item should run at, or nil when none has room:
// the engine's own queue is first in, first out and knows no deadlines, so that
// waiting there is worse than waiting here.
func place(engines []*target.Entry, n need, avoid *target.Entry, now time.Time) *target.Entry {
	median := target.MedianSpeed(engines, now)
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
	if s := e.Speed(now); median > 0 && float64(s) > placeSlowFrom*float64(median) {
		cost += placeSlowCost
	}
	if e.Suspect(now) {
		cost += suspectCost
	}
	return cost
}

// order returns the items of a step in the order in which they should start. Groups
// in first come first: their trainer waits for them whatever else is whole. Then
// the groups with the longest expected item, since a step is as late as its longest
// needed item, and nine in ten groups are needed.
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
