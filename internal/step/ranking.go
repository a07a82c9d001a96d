package step

import (
	"container/heap"
	"time"

	"dogwoodpond/internal/target"
)

// ranking orders the engines of a pool for the items of one need, as one pass over the
// items sees them. The load is a step of hundreds of items that start at the same moment:
// each of them takes a look at one or two engines, not at all.
type ranking struct {
	pool   pool
	need   need
	now    time.Time
	median time.Duration
	order  byCost
}

func newRanking(p pool, n need, now time.Time) *ranking {
	r := &ranking{pool: p, need: n, now: now, median: target.MedianPace(p.engines, now)}
	for i, e := range p.engines {
		if cost, ok := p.cost(e, n, r.median, now); ok {
			r.order = append(r.order, candidate{entry: e, cost: cost, at: i})
		}
	}
	heap.Init(&r.order)
	return r
}

// best returns the engine that the next item should run at, or nil when none has room.
// What was begun since the last call made engines dearer, and none cheaper.
func (r *ranking) best() *target.Entry {
	for len(r.order) > 0 {
		first := &r.order[0]
		cost, ok := r.pool.cost(first.entry, r.need, r.median, r.now)
		switch {
		case !ok:
			heap.Pop(&r.order)
		case cost > first.cost:
			first.cost = cost
			heap.Fix(&r.order, 0)
		default:
			return first.entry
		}
	}
	return nil
}

// candidate is an engine with the cost of running an item there, and its place in the pool.
type candidate struct {
	entry *target.Entry
	cost  float64
	at    int
}

// byCost is a heap of candidates, the cheapest first, and of equal ones the first in the
// pool.
type byCost []candidate

// Len implements heap.Interface.
func (c byCost) Len() int { return len(c) }

// Less implements heap.Interface.
func (c byCost) Less(i, j int) bool {
	if c[i].cost != c[j].cost {
		return c[i].cost < c[j].cost
	}
	return c[i].at < c[j].at
}

// Swap implements heap.Interface.
func (c byCost) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *byCost) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop implements heap.Interface.
func (c *byCost) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}
