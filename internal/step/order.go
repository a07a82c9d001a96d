package step

import (
	"cmp"
	"slices"
	"sort"
)

// startOrders holds the two orders in which the items of a step may start. Both start with the
// groups that have restored texts, usually because an earlier step left them incomplete and
// the trainer submitted them again. The trainer needs these groups, however many others are
// complete.
type startOrders struct {
	// byLength starts the longest items first. A step takes as long as its longest needed
	// item, and most groups are needed. A long item that is queued behind short items of
	// other groups delays the step by its time in the queue.
	byLength []int
	// byGroup starts group after group, the groups with the longest items first. It
	// completes some groups early when there are too few slots for all.
	byGroup []int
	// totalTokens is the expected number of output tokens of all items, longest that of the
	// longest one.
	totalTokens, longest float64
}

// newStartOrders returns the orders of items; first names the groups that come first in both.
func newStartOrders(items []Item, first map[string]bool) startOrders {
	o := startOrders{byGroup: orderByGroup(items, first), totalTokens: expectedTokens(items)}
	for _, item := range items {
		o.longest = max(o.longest, item.ExpectedTokens)
	}
	o.byLength = slices.Clone(o.byGroup)
	slices.SortStableFunc(o.byLength, func(i, j int) int {
		a, b := items[i], items[j]
		if first[a.Group] != first[b.Group] {
			return compareRestored(first[a.Group])
		}
		return cmp.Compare(b.ExpectedTokens, a.ExpectedTokens)
	})
	return o
}

// compareRestored compares two items of which exactly one is in a group that comes first;
// isFirst says whether it is the first of the two.
func compareRestored(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// forSlots returns the order for a number of slots. If the slots can finish all items in the
// time of the longest one, only the longest items can delay the step, and byLength is
// best. With fewer slots the step is not complete in time, and complete groups count.
func (o *startOrders) forSlots(slots int) []int {
	if o.totalTokens <= o.longest*float64(slots) {
		return o.byLength
	}
	return o.byGroup
}

// orderByGroup returns the indexes of the items group after group. Groups in first come first;
// within both parts the groups are sorted by their longest expected item, longest first.
func orderByGroup(items []Item, first map[string]bool) []int {
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

// group is the items that share a prompt. A trainer can use them only together.
type group struct {
	name    string
	items   []int
	longest float64
}

// groupsOf returns the groups of items in the order of their first item.
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
		g.longest = max(g.longest, item.ExpectedTokens)
	}
	return groups
}
