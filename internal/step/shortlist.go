package step

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"dogwoodpond/internal/target"
)

const (
	// shortlistLength is the number of engines on a shortlist. The items that move within
	// shortlistMaxAge share their free slots.
	shortlistLength = 16
	// shortlistMaxAge is the longest time for which a shortlist is used. Only which engines are
	// on it can be that old; their load and speed are looked up at each use.
	shortlistMaxAge = 100 * time.Millisecond
)

// shortlists holds the shortlists of one run. It is safe for concurrent use.
//
// Every few events of every item a run checks whether the item should move. A search of all
// engines in each check would cost more with each engine, although most of them are never
// used.
type shortlists struct {
	mu     sync.Mutex
	byNeed map[needKey]*shortlist
}

// shortlist holds the engines that suit an item with one need best.
type shortlist struct {
	builtAt time.Time
	// medianUnitTime is the median of the recently measured unit times of all engines of the
	// service.
	medianUnitTime time.Duration
	// pool holds the engines on the shortlist.
	pool pool
}

// get returns the shortlist for a need, and builds it if there is none that is recent enough.
func (s *shortlists) get(m *Manager, n need, now time.Time) *shortlist {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.byNeed[n.key()]
	if list != nil && now.Sub(list.builtAt) < shortlistMaxAge {
		return list
	}
	list = newShortlist(m.engines(n.service, now), n, m, now)
	if s.byNeed == nil {
		s.byNeed = make(map[needKey]*shortlist)
	}
	s.byNeed[n.key()] = list
	return list
}

// newShortlist returns the shortlist of a service's engines for a need.
func newShortlist(engines []*target.Entry, n need, m *Manager, now time.Time) *shortlist {
	list := &shortlist{builtAt: now, medianUnitTime: target.MedianUnitTime(engines, now)}
	list.pool = m.newPool(engines, n, now)
	var candidates []candidate
	for i, e := range list.pool.engines {
		if cost, ok := list.pool.cost(e, n, now); ok {
			candidates = append(candidates, candidate{entry: e, cost: cost, index: i})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.index, b.index))
	})
	best := make([]*target.Entry, 0, shortlistLength)
	for _, c := range candidates[:min(len(candidates), shortlistLength)] {
		best = append(best, c.entry)
	}
	list.pool.engines = best
	return list
}
