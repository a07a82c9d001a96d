package step

import (
	"container/heap"
	"time"

	"dogwoodpond/internal/target"
)

// ranking orders the engines of a pool by placement cost for items with one need, for the
// time of one pass over the items. Hundreds of items of a step start at the same moment;
// with the ranking each placement considers one or two engines instead of all.
type ranking struct {
	pool       pool
	need       need
	now        time.Time
	candidates candidateHeap
}

// newRanking returns the ranking of the pool's engines that have a free slot at now.
func newRanking(p pool, n need, now time.Time) *ranking {
	r := &ranking{pool: p, need: n, now: now}
	for i, e := range p.engines {
		if cost, ok := p.cost(e, n, now); ok {
			r.candidates = append(r.candidates, candidate{entry: e, cost: cost, index: i})
		}
	}
	heap.Init(&r.candidates)
	return r
}

// best returns the engine for the next item, or nil when none has a free slot. Only the
// cost of the first engine is computed again: attempts that began since the last call can
// have raised costs, but not lowered any.
func (r *ranking) best() *target.Entry {
	for len(r.candidates) > 0 {
		first := &r.candidates[0]
		cost, ok := r.pool.cost(first.entry, r.need, r.now)
		switch {
		case !ok:
			heap.Pop(&r.candidates)
		case cost > first.cost:
			first.cost = cost
			heap.Fix(&r.candidates, 0)
		default:
			return first.entry
		}
	}
	return nil
}

// candidate is an engine with its placement cost and its index in the pool.
type candidate struct {
	entry *target.Entry
	cost  float64
	index int
}

// candidateHeap is a heap of candidates with the lowest cost first; equal costs are in the
// order of the pool.
type candidateHeap []candidate

// Len implements heap.Interface.
func (c candidateHeap) Len() int { return len(c) }

// Less implements heap.Interface.
func (c candidateHeap) Less(i, j int) bool {
	if c[i].cost != c[j].cost {
		return c[i].cost < c[j].cost
	}
	return c[i].index < c[j].index
}

// Swap implements heap.Interface.
func (c candidateHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *candidateHeap) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop implements heap.Interface.
func (c *candidateHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}
