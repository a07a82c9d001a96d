package carry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// avoidTime is how long a peer that did not carry a call is asked last.
	avoidTime = time.Second
	// restTime is how long no peer is asked after none of those that were asked carried a
	// call: then the store itself is away or refuses the fleet's rate, and asking would
	// multiply the calls. It doubles with each failure in a row up to longestRest.
	restTime    = 300 * time.Millisecond
	longestRest = 2400 * time.Millisecond
)

// Selector remembers which peers reach the store. The load is a store that turns a part of
// the fleet away, or answers nobody: a peer that carried a call is asked again, so that
// most calls take one hop, and peers that did not are left alone for a while. It is safe
// for concurrent use.
type Selector struct {
	mu    sync.Mutex
	good  string
	avoid map[string]time.Time
	// failures counts in a row the calls that no peer carried; rest ends the pause
	// after the last of them.
	failures int
	rest     time.Time
}

// NewSelector returns a selector that knows nothing of any peer.
func NewSelector() *Selector { return &Selector{avoid: make(map[string]time.Time)} }

// Order returns the peers to ask for a call, in order, or none while peers are left
// alone.
func (s *Selector) Order(peers []string, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.rest) {
		return nil
	}
	order := slices.Clone(peers)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b string) int { return s.rank(a, now) - s.rank(b, now) })
	return order
}

// rank orders peers: the one that carried the last call, those of which nothing bad is
// known, and those that failed a moment ago.
func (s *Selector) rank(peer string, now time.Time) int {
	switch {
	case peer == s.good:
		return 0
	case now.Before(s.avoid[peer]):
		return 2
	}
	return 1
}

// Carried notes that a peer carried a call.
func (s *Selector) Carried(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.good, s.failures = peer, 0
	delete(s.avoid, peer)
}

// Known reports whether a peer is known to reach the store.
func (s *Selector) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.good != ""
}

// Failed notes that a peer did not carry a call.
func (s *Selector) Failed(peer string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.good == peer {
		s.good = ""
	}
	for other, until := range s.avoid {
		if now.After(until) {
			delete(s.avoid, other)
		}
	}
	s.avoid[peer] = now.Add(avoidTime)
}

// NoneCarried notes that none of the peers that were asked carried a call.
func (s *Selector) NoneCarried(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = now.Add(min(restTime<<min(s.failures, 8), longestRest))
	s.failures++
}
