package relay

import (
	"fmt"
	"testing"
	"time"
)

// relay relays one call through at most maxAsked peers in the selector's order. The peers in
// refused do not reach the store. It reports whether a peer relayed the call and how many were
// asked.
func relay(selector *Selector, peers []string, refused map[string]bool, maxAsked int, now time.Time) (relayed bool, asked int) {
	order := selector.Order(peers, now)
	for _, peer := range order[:min(maxAsked, len(order))] {
		asked++
		if !refused[peer] {
			selector.NoteSuccess(peer)
			return true, asked
		}
		selector.NoteFailure(peer, now)
	}
	if asked > 0 {
		selector.NoteAllFailed(now)
	}
	return false, asked
}

// newPeers returns n peers; the store refuses the first refusedCount of them.
func newPeers(n, refusedCount int) (peers []string, refused map[string]bool) {
	refused = make(map[string]bool)
	for i := range n {
		peers = append(peers, fmt.Sprint("peer", i))
		refused[peers[i]] = i < refusedCount
	}
	return peers, refused
}

// Guards against VMs that can't use the store while it refuses half of the fleet. Without a
// preferred peer one call of a step in four would fail, although every second peer reaches
// the store.
func TestHalfOfTheFleetRelaysForTheOther(t *testing.T) {
	const vms, calls, maxAsked = 40, 200, 4
	peers, refused := newPeers(vms, vms/2)
	start := time.Now()
	failed, asked := 0, 0
	for range vms {
		selector := NewSelector()
		for n := range calls {
			relayed, attempts := relay(selector, peers, refused, maxAsked, start.Add(time.Duration(n)*20*time.Millisecond))
			asked += attempts
			if !relayed {
				failed++
			}
		}
	}
	if limit := vms * calls / 50; failed > limit {
		t.Errorf("%d of %d calls failed, at most %d are allowed", failed, vms*calls, limit)
	}
	if limit := vms * calls * 11 / 10; asked > limit {
		t.Errorf("%d peers were asked for %d calls, at most %d are allowed", asked, vms*calls, limit)
	}
}

// Guards against relays that multiply the calls while the store is unavailable to all VMs.
func TestRelaysBackOffWhileNoPeerReachesTheStore(t *testing.T) {
	const calls, maxAsked = 500, 4
	peers, refused := newPeers(40, 40)
	selector, start, asked := NewSelector(), time.Now(), 0
	for n := range calls {
		_, attempts := relay(selector, peers, refused, maxAsked, start.Add(time.Duration(n)*20*time.Millisecond))
		asked += attempts
	}
	if limit := calls / 10; asked > limit {
		t.Errorf("%d peers were asked for %d calls in 10 s, at most %d are allowed", asked, calls, limit)
	}
}

// Guards against a preferred peer that is still asked first after it lost the store.
func TestFailedPeerIsNoLongerPreferred(t *testing.T) {
	peers, refused := newPeers(10, 0)
	selector, now := NewSelector(), time.Now()
	relay(selector, peers, refused, 1, now)
	first := selector.preferred
	refused[first] = true
	for range 20 {
		if relayed, asked := relay(selector, peers, refused, 2, now); !relayed || asked > 2 {
			t.Fatalf("relayed is %t after %d peers were asked", relayed, asked)
		}
	}
	if selector.preferred == first {
		t.Error("the failed peer is still asked first")
	}
}
