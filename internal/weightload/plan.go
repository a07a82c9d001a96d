// Package weightload brings the engines to the weight versions that trainers announce.
// Under a lease, one VM at a time sends the orders of a failure domain, so that each
// engine gets orders from a single sender.
//
// With several models on each engine and a new version every few seconds, not every
// engine can load every version: a weight load takes 0.9 s, during which the engine
// takes no requests of that model. Each model therefore gets a share of the engines by
// its demand, and only half of that share loads a version. The other half still has
// the version before, which steps allow, and loads the next version.
package weightload

import (
	"math"
	"slices"
	"sort"
	"time"

	"dogwoodpond/internal/target"
)

// Demand is the demand for one model.
type Demand struct {
	Model string
	// AnnouncedVersion is the latest version that the model's trainer asked for.
	AnnouncedVersion int64
	// MaxVersionLag is how many versions older than the announced one a step may still use.
	MaxVersionLag int64
	// ExpectedTokens is the expected output of the model's latest steps; only the ratio
	// between models matters.
	ExpectedTokens float64
	// MaxEngines is how many engines of one failure domain the model's steps can use; 0 if
	// that is not known. Loads on further engines would cost an order, rows in the store and a
	// change of the list of upstreams on every VM, in proportion to the number of engines.
	MaxEngines int
}

// minShare is the smallest share of a model, before all shares are divided by their sum.
// It prevents a model with little demand from losing all of its engines.
const minShare = 0.15

// shares returns the share of the engines for each model. The sum is 1.
func shares(demands []Demand) []float64 {
	total := 0.0
	for _, d := range demands {
		total += d.ExpectedTokens
	}
	out := make([]float64, len(demands))
	sum := 0.0
	for i, d := range demands {
		out[i] = 1 / float64(len(demands))
		if total > 0 {
			out[i] = math.Max(d.ExpectedTokens/total, minShare)
		}
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// engineCounts distributes the engines of one failure domain over the models and
// returns the number for each. preceding is the number of engines in the failure
// domains with smaller names. Rounding continues over all failure domains, so that each
// model gets its share of all engines; rounding in each domain alone would give the
// remainder to the same model every time. Engines that no model can use are left over.
func engineCounts(demands []Demand, preceding, engines int) []int {
	modelShares := shares(demands)
	out := make([]int, len(demands))
	// firstModels returns how many of total engines the first i models get.
	firstModels := func(total, i int) int {
		sum := 0.0
		for _, s := range modelShares[:i] {
			sum += s
		}
		return int(math.Round(sum * float64(total)))
	}
	for i := range demands {
		cumulative := firstModels(preceding+engines, i+1) - firstModels(preceding+engines, i)
		precedingCount := firstModels(preceding, i+1) - firstModels(preceding, i)
		out[i] = cumulative - precedingCount
	}
	out = correctRounding(out, engines)
	for i, d := range demands {
		if d.MaxEngines > 0 {
			out[i] = min(out[i], d.MaxEngines)
		}
	}
	return out
}

// correctRounding removes negative counts, gives each model at least one engine if
// there are enough, and makes the sum equal to engines.
func correctRounding(out []int, engines int) []int {
	minCount := 0
	if engines >= len(out) {
		minCount = 1
	}
	sum := 0
	for i := range out {
		out[i] = max(out[i], minCount)
		sum += out[i]
	}
	for sum != engines && len(out) > 0 {
		index, step := indexOfExtreme(out, sum > engines), 1
		if sum > engines {
			step = -1
		}
		out[index] += step
		sum += step
	}
	return out
}

func indexOfExtreme(values []int, largest bool) int {
	index := 0
	for i, v := range values {
		if largest && v > values[index] || !largest && v < values[index] {
			index = i
		}
	}
	return index
}

// maxLag is the largest version lag that assignEngines tells apart.
const maxLag = 8

// assignEngines assigns models to engines, counts[i] engines to the model of demands[i]. The
// engines with the newest weights of a model are assigned to it first, since another
// assignment costs a weight load. It runs in each pass over the engines of a failure domain,
// so it sorts by the few different lags rather than by comparison.
func assignEngines(engines []*target.Entry, demands []Demand, counts []int) map[*target.Entry]string {
	type candidate struct {
		engine *target.Entry
		demand int
	}
	var byLag [maxLag + 1][]candidate
	for _, e := range engines {
		for i, d := range demands {
			lag := min(max(d.AnnouncedVersion-e.Version(d.Model), 0), maxLag)
			byLag[lag] = append(byLag[lag], candidate{e, i})
		}
	}
	remaining := slices.Clone(counts)
	out := make(map[*target.Entry]string, len(engines))
	for _, candidates := range byLag {
		for _, c := range candidates {
			if _, taken := out[c.engine]; !taken && remaining[c.demand] > 0 {
				out[c.engine] = demands[c.demand].Model
				remaining[c.demand]--
			}
		}
	}
	return out
}

// PlannedLoad is a weight load that is due.
type PlannedLoad struct {
	Engine  *target.Entry
	Model   string
	Version int64
}

// planLoads returns at most limit weight loads that should start now. counts[i] is the
// number of engines for the model of demands[i]. The engines in busy get no load and count
// as up to date. Engines that are too old for the next step come first, one of each model
// before the second of any, so that a model with a single usable engine can at least begin
// its step. The other loads follow until half of a model's engines have the announced version.
func planLoads(engines []*target.Entry, demands []Demand, counts []int, busy map[*target.Entry]bool, limit int) []PlannedLoad {
	assigned := assignEngines(engines, demands, counts)
	var due []rankedLoad
	for _, d := range demands {
		var modelEngines []*target.Entry
		for _, e := range engines {
			if assigned[e] == d.Model {
				modelEngines = append(modelEngines, e)
			}
		}
		due = append(due, dueLoads(d, modelEngines, busy)...)
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].precedes(due[j]) })
	var planned []PlannedLoad
	for _, r := range due[:min(len(due), max(limit, 0))] {
		planned = append(planned, r.PlannedLoad)
	}
	return planned
}

// rankedLoad is a weight load with the properties that decide its rank.
type rankedLoad struct {
	PlannedLoad
	// urgent means that the engine is too old for the next step of its model.
	urgent bool
	// usable is the number of engines that the model's next step can use without this
	// load.
	usable int
}

func (r rankedLoad) precedes(other rankedLoad) bool {
	if r.urgent != other.urgent {
		return r.urgent
	}
	return r.usable < other.usable
}

// dueLoads returns the weight loads that are due on the engines of one model.
func dueLoads(d Demand, engines []*target.Entry, busy map[*target.Entry]bool) []rankedLoad {
	upToDate, usable := 0, 0
	for _, e := range engines {
		version := e.Version(d.Model)
		if busy[e] || version >= d.AnnouncedVersion {
			upToDate++
		}
		if busy[e] || version >= d.AnnouncedVersion-d.MaxVersionLag {
			usable++
		}
	}
	engines = slices.Clone(engines)
	sort.SliceStable(engines, func(i, j int) bool { return engines[i].Version(d.Model) < engines[j].Version(d.Model) })
	var due []rankedLoad
	for _, e := range engines {
		version := e.Version(d.Model)
		if busy[e] || version >= d.AnnouncedVersion || !e.Listed() {
			continue
		}
		urgent := version < d.AnnouncedVersion-d.MaxVersionLag
		if !urgent && upToDate >= (len(engines)+1)/2 {
			continue
		}
		due = append(due, rankedLoad{PlannedLoad{Engine: e, Model: d.Model, Version: d.AnnouncedVersion}, urgent, usable})
		upToDate++
		if urgent {
			usable++
		}
	}
	return due
}

// maxConcurrentLoads returns how many engines of a failure domain may load at once.
// Beyond some number of loads in the whole fleet, loads slow each other down. That
// number grows with the fleet: 2 of 11 engines, 9 of 45.
func maxConcurrentLoads(engines int) int { return max(1, (engines+2)/5) }

// suspectBackoff is the time without new orders for an engine after a failed load.
const suspectBackoff = time.Second
