// Package weights rolls new weight versions out to the engines of a failure
// domain, as many at once as the work leaves free, within the weight store's
// rate. It runs under the failure domain's lease.
package weights

import (
	"cmp"
	"slices"
)

// Engine is what the roll-out knows of an engine, from its own load report.
type Engine struct {
	ID          string
	Address     string
	Model       string
	Incarnation string
	// Version is the weight version that the engine serves.
	Version int64
	// Busy and Slots tell how many requests the engine runs and can run.
	Busy, Slots int
	// Loading is true while an order for it is under way.
	Loading bool
}

// Target says that an engine is to load a version.
type Target struct {
	Engine  Engine
	Version int64
}

// minWave is the smallest part of a pool, as a divisor, that may load at once.
// Four waves have to do, or a busy pool would never get new weights in time and
// its samples would go stale.
const minWave = 4

// Next returns the engines that are to start loading now. latest holds the
// newest version of each model. The result depends on the arguments only.
func Next(engines []Engine, latest map[string]int64) []Target {
	pools := make(map[string][]Engine)
	for _, e := range engines {
		pools[e.Model] = append(pools[e.Model], e)
	}
	var targets []Target
	for model, pool := range pools {
		targets = append(targets, nextOfPool(pool, latest[model])...)
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.Engine.ID, b.Engine.ID) })
	return targets
}

func nextOfPool(pool []Engine, version int64) []Target {
	room := width(pool)
	var behind []Engine
	for _, e := range pool {
		switch {
		case e.Loading:
			room--
		case e.Version < version:
			behind = append(behind, e)
		}
	}
	// The least busy first: they take the least work out of the pool.
	slices.SortFunc(behind, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID))
	})
	var targets []Target
	for _, e := range behind[:min(max(room, 0), len(behind))] {
		targets = append(targets, Target{Engine: e, Version: version})
	}
	return targets
}

// width returns how many engines of a pool may load at once: those that the
// present work does not need, and at least one wave.
func width(pool []Engine) int {
	busy, slots := 0, 0
	for _, e := range pool {
		busy += e.Busy
		slots += e.Slots
	}
	wave := (len(pool) + minWave - 1) / minWave
	if slots == 0 {
		return wave
	}
	needed := (busy*len(pool) + slots - 1) / slots
	return max(wave, len(pool)-needed)
}
