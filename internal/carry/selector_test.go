package carry

import (
	"fmt"
	"testing"
	"time"
)

// ask asks peers in the order of selector, of which those in away do not reach the store,
// and reports whether one carried the call and how many were asked.
func ask(w *Selector, peers []string, away map[string]bool, most int, now time.Time) (carried bool, asked int) {
	order := w.Order(peers, now)
	for _, peer := range order[:min(most, len(order))] {
		asked++
		if !away[peer] {
			w.Carried(peer)
			return true, asked
		}
		w.Failed(peer, now)
	}
	if asked > 0 {
		w.NoneCarried(now)
	}
	return false, asked
}

func fleet(n, away int) (peers []string, turnedAway map[string]bool) {
	turnedAway = make(map[string]bool)
	for i := range n {
		peers = append(peers, fmt.Sprint("peer", i))
		turnedAway[peers[i]] = i < away
	}
	return peers, turnedAway
}

// Guards against VMs that are useless while the store turns half of the fleet away: calls
// of steps would fail one time in four although every second peer reaches the store.
func TestHalfOfTheFleetReachesTheStoreForTheOther(t *testing.T) {
	const vms, calls, most = 40, 200, 4
	peers, away := fleet(vms, vms/2)
	start := time.Now()
	failed, asked := 0, 0
	for range vms {
		w := NewSelector()
		for n := range calls {
			carried, hops := ask(w, peers, away, most, start.Add(time.Duration(n)*20*time.Millisecond))
			asked += hops
			if !carried {
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

// Guards against calls that are multiplied while the store is away for everybody.
func TestPeersAreLeftAloneWhileNobodyReachesTheStore(t *testing.T) {
	const calls, most = 500, 4
	peers, away := fleet(40, 40)
	w, start, asked := NewSelector(), time.Now(), 0
	for n := range calls {
		_, hops := ask(w, peers, away, most, start.Add(time.Duration(n)*20*time.Millisecond))
		asked += hops
	}
	if limit := calls / 10; asked > limit {
		t.Errorf("%d peers were asked for %d calls of 10 s, at most %d are allowed", asked, calls, limit)
	}
}

// Guards against a peer that is asked on and on after it stopped reaching the store.
func TestPeerThatStopsCarryingIsLeft(t *testing.T) {
	peers, away := fleet(10, 0)
	w, now := NewSelector(), time.Now()
	ask(w, peers, away, 1, now)
	first := w.good
	away[first] = true
	for range 20 {
		if carried, asked := ask(w, peers, away, 2, now); !carried || asked > 2 {
			t.Fatalf("carried %t after %d peers", carried, asked)
		}
	}
	if w.good == first {
		t.Error("the peer that fails is still asked first")
	}
}
