package step

import (
	"cmp"
	"slices"
	"sort"
)

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
