// Package pools moves engines between pools as work moves. A pool is a model
// and an adapter. An engine changes its pool by an order under its failure
// domain's lease; what it serves is read from its own report, so that a failed
// or unanswered order leaves no engine with requests for another pool.
package pools

import (
	"cmp"
	"slices"
)

// Pool names a set of interchangeable engines.
type Pool struct {
	Model   string
	Adapter string
}

// Engine is what is known of an engine from its own report.
type Engine struct {
	ID      string
	Address string
	Pool    Pool
	// Adaptable engines may be moved; the others keep the pool that the operator
	// gave them.
	Adaptable   bool
	Busy, Slots int
}

// Move says that an engine is to serve another pool.
type Move struct {
	Engine Engine
	To     Pool
}

// Planner decides on moves. It keeps how long each pool has been short, so that
// a short peak moves nothing.
type Planner struct {
	short map[Pool]int
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{short: make(map[Pool]int)} }

const (
	// moveAfter is how many ticks in a row requests must wait before an engine is
	// moved: a move costs its prefix cache and a load.
	moveAfter = 5
	// idlePart is the largest part of a pool's slots, as a divisor, that may be
	// busy once an engine has left it.
	idlePart = 2
)

// Next returns at most one move, so that the effect of each is seen before the
// next. queued holds how many requests wait for each pool.
func (p *Planner) Next(engines []Engine, queued map[Pool]int) (Move, bool) {
	p.count(queued)
	to, ok := p.shortest()
	if !ok {
		return Move{}, false
	}
	from, ok := donor(engines, to, queued)
	if !ok {
		return Move{}, false
	}
	p.short[to] = 0
	return Move{Engine: from, To: to}, true
}

func (p *Planner) count(queued map[Pool]int) {
	for pool := range p.short {
		if queued[pool] == 0 {
			delete(p.short, pool)
		}
	}
	for pool, n := range queued {
		if n > 0 {
			p.short[pool]++
		}
	}
}

// shortest returns the pool that has been short for the longest time, if long
// enough.
func (p *Planner) shortest() (Pool, bool) {
	var best Pool
	found := false
	for pool, ticks := range p.short {
		if ticks < moveAfter {
			continue
		}
		if !found || ticks > p.short[best] || ticks == p.short[best] && less(pool, best) {
			best, found = pool, true
		}
	}
	return best, found
}

func less(a, b Pool) bool {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter)) < 0
}

// donor returns the idlest engine of another pool that can do without it. The
// last engine of a pool stays.
func donor(engines []Engine, to Pool, queued map[Pool]int) (Engine, bool) {
	var free []Engine
	for _, e := range engines {
		if e.Adaptable && e.Pool != to && queued[e.Pool] == 0 && spares(engines, e) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return Engine{}, false
	}
	slices.SortFunc(free, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID))
	})
	return free[0], true
}

// spares reports whether the engine's pool stays at most half busy without it.
func spares(engines []Engine, leaving Engine) bool {
	busy, slots := 0, 0
	for _, e := range engines {
		if e.Pool != leaving.Pool {
			continue
		}
		busy += e.Busy
		if e.ID != leaving.ID {
			slots += e.Slots
		}
	}
	return slots > 0 && busy*idlePart <= slots
}
