// Package weightupdate brings new weight versions to the engines of a failure domain. It loads
// as many engines concurrently as the present requests leave free, within the rate limit
// of the weight store, and runs under the failure domain's lease.
package weightupdate

import (
	"cmp"
	"slices"
)

// Engine is the state of an engine, from its own load report.
type Engine struct {
	ID          string
	Address     string
	Model       string
	Incarnation string
	// Version is the weight version that the engine serves.
	Version int64
	// Requests is the number of requests that the engine runs or has queued, Slots the number
	// that it can run at once.
	Requests, Slots int
	// Loading is true while an order for the engine is in progress.
	Loading bool
}

// PlannedLoad is a weight load that should start: an engine and the version that it loads.
type PlannedLoad struct {
	Engine  Engine
	Version int64
}

// maxWaves is the highest number of waves in which a pool loads a version. With more, a
// busy pool would not get new weights in time and its samples would become stale.
const maxWaves = 4

// NextLoads returns the weight loads that should start now. latest holds the newest version of
// each model. The result depends only on the arguments.
func NextLoads(engines []Engine, latest map[string]int64) []PlannedLoad {
	pools := make(map[string][]Engine)
	for _, e := range engines {
		pools[e.Model] = append(pools[e.Model], e)
	}
	var loads []PlannedLoad
	for model, pool := range pools {
		loads = append(loads, nextInPool(pool, latest[model])...)
	}
	slices.SortFunc(loads, func(a, b PlannedLoad) int { return cmp.Compare(a.Engine.ID, b.Engine.ID) })
	return loads
}

func nextInPool(pool []Engine, version int64) []PlannedLoad {
	allowed := maxConcurrentLoads(pool)
	var outdated []Engine
	for _, e := range pool {
		switch {
		case e.Loading:
			allowed--
		case e.Version < version:
			outdated = append(outdated, e)
		}
	}
	// The least busy engines first: loading them takes the least capacity from the pool.
	slices.SortFunc(outdated, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.ID, b.ID))
	})
	var loads []PlannedLoad
	for _, e := range outdated[:min(max(allowed, 0), len(outdated))] {
		loads = append(loads, PlannedLoad{Engine: e, Version: version})
	}
	return loads
}

// maxConcurrentLoads returns how many engines of a pool may load at once: those that the
// present requests do not need, and at least one wave.
func maxConcurrentLoads(pool []Engine) int {
	busy, slots := 0, 0
	for _, e := range pool {
		busy += e.Requests
		slots += e.Slots
	}
	wave := (len(pool) + maxWaves - 1) / maxWaves
	if slots == 0 {
		return wave
	}
	needed := (busy*len(pool) + slots - 1) / slots
	return max(wave, len(pool)-needed)
}
