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

// Ways remembers which peers reach the store. The load is a store that turns a part of
// the fleet away, or answers nobody: a peer that carried a call is asked again, so that
// most calls take one hop, and peers that did not are left alone for a while. It is safe
// for concurrent use.
type Ways struct {
	mu    sync.Mutex
	good  string
	avoid map[string]time.Time
	// failures counts in a row the calls that no peer carried; rest ends the pause
	// after the last of them.
	failures int
	rest     time.Time
}

// NewWays returns ways of which nothing is known.
func NewWays() *Ways { return &Ways{avoid: make(map[string]time.Time)} }

// Order returns the peers to ask for a call, in order, or none while peers are left
// alone.
func (w *Ways) Order(peers []string, now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.rest) {
		return nil
	}
	order := slices.Clone(peers)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b string) int { return w.rank(a, now) - w.rank(b, now) })
	return order
}

// rank orders peers: the one that carried the last call, those of which nothing bad is
// known, and those that failed a moment ago.
func (w *Ways) rank(peer string, now time.Time) int {
	switch {
	case peer == w.good:
		return 0
	case now.Before(w.avoid[peer]):
		return 2
	}
	return 1
}

// Carried notes that a peer carried a call.
func (w *Ways) Carried(peer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.good, w.failures = peer, 0
	delete(w.avoid, peer)
}

// Known reports whether a peer is known to reach the store.
func (w *Ways) Known() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.good != ""
}

// Failed notes that a peer did not carry a call.
func (w *Ways) Failed(peer string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.good == peer {
		w.good = ""
	}
	for other, until := range w.avoid {
		if now.After(until) {
			delete(w.avoid, other)
		}
	}
	w.avoid[peer] = now.Add(avoidTime)
}

// NoneCarried notes that none of the peers that were asked carried a call.
func (w *Ways) NoneCarried(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rest = now.Add(min(restTime<<min(w.failures, 8), longestRest))
	w.failures++
}
