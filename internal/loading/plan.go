// Package loading moves the engines to the versions of weights that trainers
// name. One VM of a failure domain at a time gives the orders there, under a
// lease, so that an engine hears one voice.
//
// With several models on each engine and a version every few seconds, not every
// engine can follow every version: a load takes 0.9 s during which the engine
// takes no requests of that model. So each model gets a share of the engines by
// its demand, and of that share only half follows at once. The other half still
// has the version before, which steps allow, and follows with the next version.
package loading

import (
	"math"
	"slices"
	"sort"
	"time"

	"dogwoodpond/internal/target"
)

// Demand is what is asked of one model.
type Demand struct {
	Model string
	// Named is the version that its trainer named last.
	Named int64
	// Slack is how many versions behind the named one a step may still use.
	Slack int64
	// Work is the expected work of its latest steps, in tokens; only the ratio
	// between models counts.
	Work float64
}

// leastShare keeps a model with little demand from losing every engine.
const leastShare = 0.15

// shares returns each model's part of the engines; they add up to 1.
func shares(demands []Demand) []float64 {
	total := 0.0
	for _, d := range demands {
		total += d.Work
	}
	out := make([]float64, len(demands))
	sum := 0.0
	for i, d := range demands {
		out[i] = 1 / float64(len(demands))
		if total > 0 {
			out[i] = math.Max(d.Work/total, leastShare)
		}
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// counts deals the engines of one failure domain out to the models. before is
// how many engines the domains in front of it have: rounding goes on from there,
// so that over all domains each model gets its share, not each time the same one
// the odd engine.
func counts(demands []Demand, before, engines int) []int {
	part := shares(demands)
	out := make([]int, len(demands))
	upTo := func(total, i int) int {
		sum := 0.0
		for _, s := range part[:i] {
			sum += s
		}
		return int(math.Round(sum * float64(total)))
	}
	for i := range demands {
		all := upTo(before+engines, i+1) - upTo(before+engines, i)
		earlier := upTo(before, i+1) - upTo(before, i)
		out[i] = all - earlier
	}
	return level(out, engines)
}

// level mends what rounding left: no negative counts, and the sum as it should
// be; with enough engines, one for each model.
func level(out []int, engines int) []int {
	least := 0
	if engines >= len(out) {
		least = 1
	}
	sum := 0
	for i := range out {
		out[i] = max(out[i], least)
		sum += out[i]
	}
	for sum != engines && len(out) > 0 {
		at, step := extreme(out, sum > engines), 1
		if sum > engines {
			step = -1
		}
		out[at] += step
		sum += step
	}
	return out
}

func extreme(values []int, largest bool) int {
	at := 0
	for i, v := range values {
		if largest && v > values[at] || !largest && v < values[at] {
			at = i
		}
	}
	return at
}

// assign deals engines out to models. An engine keeps the model that it follows
// already if that model still has room: a change costs a load.
func assign(engines []*target.Entry, demands []Demand, wanted []int) map[*target.Entry]string {
	left := make(map[string]int, len(demands))
	for i, d := range demands {
		left[d.Model] = wanted[i]
	}
	type candidate struct {
		engine *target.Entry
		model  string
		behind int64
	}
	var candidates []candidate
	for _, e := range engines {
		for _, d := range demands {
			candidates = append(candidates, candidate{e, d.Model, d.Named - e.Version(d.Model)})
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].behind < candidates[j].behind })
	out := make(map[*target.Entry]string, len(engines))
	for _, c := range candidates {
		if _, taken := out[c.engine]; !taken && left[c.model] > 0 {
			out[c.engine] = c.model
			left[c.model]--
		}
	}
	return out
}

// Order is one load to be ordered.
type Order struct {
	Engine  *target.Entry
	Model   string
	Version int64
}

// next returns the loads that should begin now, at most limit, leaving out the
// engines that are busy. Engines too old for the next step come first, one of each
// model before the second of any: a model with a single usable engine can at least
// begin its step. Then a model's engines follow until half have the named version.
func next(engines []*target.Entry, demands []Demand, wanted []int, busy map[*target.Entry]bool, limit int) []Order {
	assigned := assign(engines, demands, wanted)
	var due []ranked
	for _, d := range demands {
		var mine []*target.Entry
		for _, e := range engines {
			if assigned[e] == d.Model {
				mine = append(mine, e)
			}
		}
		due = append(due, dueOf(d, mine, busy)...)
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].before(due[j]) })
	var orders []Order
	for _, r := range due[:min(len(due), max(limit, 0))] {
		orders = append(orders, r.Order)
	}
	return orders
}

// ranked is a load with what decides when its turn is.
type ranked struct {
	Order
	// urgent loads bring an engine back to its model's steps.
	urgent bool
	// usable is how many engines the model's next step has before this load.
	usable int
}

func (r ranked) before(other ranked) bool {
	if r.urgent != other.urgent {
		return r.urgent
	}
	return r.usable < other.usable
}

// dueOf returns the loads that are due on the engines of one model.
func dueOf(d Demand, mine []*target.Entry, busy map[*target.Entry]bool) []ranked {
	ahead, usable := 0, 0
	for _, e := range mine {
		version := e.Version(d.Model)
		if busy[e] || version >= d.Named {
			ahead++
		}
		if busy[e] || version >= d.Named-d.Slack {
			usable++
		}
	}
	mine = slices.Clone(mine)
	sort.SliceStable(mine, func(i, j int) bool { return mine[i].Version(d.Model) < mine[j].Version(d.Model) })
	var due []ranked
	for _, e := range mine {
		version := e.Version(d.Model)
		if busy[e] || version >= d.Named || !e.Listed() {
			continue
		}
		urgent := version < d.Named-d.Slack
		if !urgent && ahead >= (len(mine)+1)/2 {
			continue
		}
		due = append(due, ranked{Order{Engine: e, Model: d.Model, Version: d.Named}, urgent, usable})
		ahead++
		if urgent {
			usable++
		}
	}
	return due
}

// atOnce returns how many engines of a failure domain may load at a time. Loads
// slow each other down from some number in the whole fleet on, which grows with
// the fleet: 2 of 11 engines, 9 of 45.
func atOnce(engines int) int { return max(1, (engines+2)/5) }

// suspectFor is how long an engine that did not take an order is left alone.
const suspectFor = time.Second
