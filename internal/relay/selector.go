package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// failedPeerBackoff is how long a peer that failed to relay a call comes last in
	// the order.
	failedPeerBackoff = time.Second
	// minRelayBackoff is how long no peer is asked after all peers that were asked failed
	// to relay a call: the store is then unavailable, or refuses calls above the fleet's
	// rate, and relays would multiply the calls. The backoff doubles with each such call
	// in a row, up to maxRelayBackoff.
	minRelayBackoff = 300 * time.Millisecond
	maxRelayBackoff = 2400 * time.Millisecond
)

// Selector chooses the peers that are asked to relay a call. It is designed for a store that
// refuses part of the fleet or is unavailable to all VMs: it prefers the peer that relayed the
// last call, so that most calls need one relay, and backs off from peers that failed. It is
// safe for concurrent use.
type Selector struct {
	mu sync.Mutex
	// preferred is the last peer that relayed a call, until it fails.
	preferred string
	// avoidUntil holds the end of the backoff of each peer that failed.
	avoidUntil map[string]time.Time
	// failures counts the calls in a row that no peer relayed. No peer is asked until
	// backoffUntil.
	failures     int
	backoffUntil time.Time
}

// NewSelector returns a selector that prefers and avoids no peer.
func NewSelector() *Selector { return &Selector{avoidUntil: make(map[string]time.Time)} }

// Order returns the peers in the order in which to ask them to relay a call. It returns none
// during the backoff after a call that no peer relayed.
func (s *Selector) Order(peers []string, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.backoffUntil) {
		return nil
	}
	order := slices.Clone(peers)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b string) int { return s.rank(a, now) - s.rank(b, now) })
	return order
}

// rank returns 0 for the preferred peer, 2 for a peer in its backoff after a failure, and 1 for
// all others.
func (s *Selector) rank(peer string, now time.Time) int {
	switch {
	case peer == s.preferred:
		return 0
	case now.Before(s.avoidUntil[peer]):
		return 2
	}
	return 1
}

// NoteSuccess records that a peer relayed a call.
func (s *Selector) NoteSuccess(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preferred, s.failures = peer, 0
	delete(s.avoidUntil, peer)
}

// HasPreferred reports whether there is a peer that relayed a call and has not failed since.
func (s *Selector) HasPreferred() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.preferred != ""
}

// NoteFailure records that a peer failed to relay a call.
func (s *Selector) NoteFailure(peer string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.preferred == peer {
		s.preferred = ""
	}
	for other, until := range s.avoidUntil {
		if now.After(until) {
			delete(s.avoidUntil, other)
		}
	}
	s.avoidUntil[peer] = now.Add(failedPeerBackoff)
}

// NoteAllFailed records that all peers that were asked failed to relay a call.
func (s *Selector) NoteAllFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffUntil = now.Add(min(minRelayBackoff<<min(s.failures, 8), maxRelayBackoff))
	s.failures++
}
