// Package enginepool moves engines between pools to follow the load. A pool is the set of
// engines that serve the same model and adapter. The holder of a failure domain's lease
// orders an engine of the domain to change its pool. Which pool an engine serves is known
// from its own reports only, so that no engine gets requests for another pool after an
// order that failed or was not answered.
package enginepool

import (
	"cmp"
	"slices"
)

// Pool identifies a set of interchangeable engines.
type Pool struct {
	Model   string
	Adapter string
}

// Engine is the state of an engine by its last report.
type Engine struct {
	ID      string
	Address string
	Pool    Pool
	// Adaptable reports whether the engine may be moved. Other engines stay in the pool
	// that the operator configured.
	Adaptable bool
	// Requests is the number of requests that run or are queued at the engine.
	Requests, Slots int
}

// Move is a planned change of an engine's pool.
type Move struct {
	Engine Engine
	To     Pool
}

// Planner plans moves. It counts for how many ticks in a row each pool has had queued
// requests, so that a brief peak causes no move. The count restarts after each move to the
// pool.
type Planner struct {
	// queuedTicks has an entry for each pool with queued requests.
	queuedTicks map[Pool]int
}

// NewPlanner returns a planner that has not seen any queued requests.
func NewPlanner() *Planner { return &Planner{queuedTicks: make(map[Pool]int)} }

const (
	// minQueuedTicks is how many ticks in a row a pool must have queued requests before an
	// engine is moved to it. A move costs the engine its prefix cache and a load.
	minQueuedTicks = 5
	// spareDivisor limits how busy a pool may be without the engine that leaves it: at most
	// 1/spareDivisor of its remaining slots may be busy.
	spareDivisor = 2
)

// NextMove is called once per tick and returns at most one move, so that the effect of each
// move can be observed before the next. queued is the number of queued requests by pool.
func (p *Planner) NextMove(engines []Engine, queued map[Pool]int) (Move, bool) {
	p.countTicks(queued)
	to, ok := p.longestQueued()
	if !ok {
		return Move{}, false
	}
	from, ok := findDonor(engines, to, queued)
	if !ok {
		return Move{}, false
	}
	p.queuedTicks[to] = 0
	return Move{Engine: from, To: to}, true
}

// countTicks counts one tick for each pool with queued requests and resets the others.
func (p *Planner) countTicks(queued map[Pool]int) {
	for pool := range p.queuedTicks {
		if queued[pool] == 0 {
			delete(p.queuedTicks, pool)
		}
	}
	for pool, n := range queued {
		if n > 0 {
			p.queuedTicks[pool]++
		}
	}
}

// longestQueued returns the pool that has had queued requests for the longest time, if
// that time is at least minQueuedTicks.
func (p *Planner) longestQueued() (Pool, bool) {
	var best Pool
	found := false
	for pool, ticks := range p.queuedTicks {
		if ticks < minQueuedTicks {
			continue
		}
		if !found || ticks > p.queuedTicks[best] || ticks == p.queuedTicks[best] && less(pool, best) {
			best, found = pool, true
		}
	}
	return best, found
}

func less(a, b Pool) bool {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter)) < 0
}

// findDonor returns the least busy engine that can be moved to the pool: one of another
// pool that has no queued requests and can spare it. The last engine of a pool is never
// moved.
func findDonor(engines []Engine, to Pool, queued map[Pool]int) (Engine, bool) {
	var spare []Engine
	for _, e := range engines {
		if e.Adaptable && e.Pool != to && queued[e.Pool] == 0 && canSpare(engines, e) {
			spare = append(spare, e)
		}
	}
	if len(spare) == 0 {
		return Engine{}, false
	}
	slices.SortFunc(spare, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.ID, b.ID))
	})
	return spare[0], true
}

// canSpare reports whether at most half of the slots in the engine's pool would be busy
// without the engine, counting its own requests too.
func canSpare(engines []Engine, leaving Engine) bool {
	busy, slots := 0, 0
	for _, e := range engines {
		if e.Pool != leaving.Pool {
			continue
		}
		busy += e.Requests
		if e.ID != leaving.ID {
			slots += e.Slots
		}
	}
	return slots > 0 && busy*spareDivisor <= slots
}
