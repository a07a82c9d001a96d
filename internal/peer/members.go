package peer

import (
	"slices"
	"time"

	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/peer/peerpb"
	"dogwoodpond/internal/platformapi"
)

// Known is the latest digest of a peer.
type Known struct {
	Digest *peerpb.Digest
	// ReceivedAt is when the digest was received, by the local monotonic clock.
	ReceivedAt time.Time
}

// peerState is the state of one peer as Gossip sees it.
type peerState struct {
	// digest is the latest digest, nil until one is received.
	digest     *peerpb.Digest
	receivedAt time.Time
	// firstSeen is when the peer was first listed or its first digest was received.
	firstSeen time.Time
	// failures counts the consecutive exchanges that the peer did not answer.
	failures     int
	unresponsive bool
}

const (
	// failuresUntilUnresponsive is the number of consecutive failed exchanges after
	// which a peer is unresponsive.
	failuresUntilUnresponsive = 2
	// unresponsiveRounds is the number of rounds through the cell without a digest
	// after which a cell peer is unresponsive.
	unresponsiveRounds = 3
	// minUnresponsivePeriods is the lower limit of unresponsiveTimeout in periods; it
	// applies to small cells.
	minUnresponsivePeriods = 6
	// randomPeerEvery is the number of exchanges of which one goes to a random peer
	// instead of a cell peer.
	randomPeerEvery = 4
)

// unresponsiveTimeout returns the time without a digest after which a cell peer is
// unresponsive and its quotas of the engines go to the other VMs.
func unresponsiveTimeout(period time.Duration, cellPeers int) time.Duration {
	periods := unresponsiveRounds * cellPeers * randomPeerEvery / (randomPeerEvery - 1)
	return time.Duration(max(minUnresponsivePeriods, periods)) * period
}

// cellPeers returns the listed peers in the failure domain and cell of this VM.
func (g *Gossip) cellPeers() []platformapi.VM {
	var inDomain []platformapi.VM
	for _, vm := range g.VMs() {
		if vm.FailureDomain == g.self.FailureDomain {
			inDomain = append(inDomain, vm)
		}
	}
	cells := dispatch.CellCount(len(inDomain))
	ownCell := dispatch.CellOf(g.self.VM, cells)
	return slices.DeleteFunc(inDomain, func(vm platformapi.VM) bool {
		return vm.ID == g.self.VM || dispatch.CellOf(vm.ID, cells) != ownCell
	})
}

// Members returns the VMs that share the engines: this VM, the listed VMs that are
// not unresponsive, and VMs that send digests but are not listed yet.
//
// The list may be stale, and this VM may be cut off from the platform or from peers.
// This affects only the quotas of the engines, and only until a newer list or the
// peer's next digest arrives.
func (g *Gossip) Members() []dispatch.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := []dispatch.Member{{
		VM:            g.self.VM,
		FailureDomain: g.self.FailureDomain,
		DemandKnown:   true,
		Flows:         g.sentFlows,
		Unreachable:   g.sentUnreachable,
	}}
	for _, vm := range g.VMs() {
		state, known := g.peers[vm.ID]
		if vm.ID == g.self.VM || (known && state.unresponsive) {
			continue
		}
		members = append(members, memberOf(vm.ID, vm.FailureDomain, state))
	}
	for id, state := range g.peers {
		if !g.listed(id) && state.digest != nil && !state.unresponsive {
			members = append(members, memberOf(id, state.digest.GetFailureDomain(), state))
		}
	}
	return members
}

func memberOf(id, domain string, state *peerState) dispatch.Member {
	m := dispatch.Member{VM: id, FailureDomain: domain}
	if state == nil || state.digest == nil {
		return m
	}
	m.DemandKnown = true
	m.Flows = decodeFlows(state.digest)
	m.Unreachable = truncate(state.digest.GetUnreachable(), maxUnreachable)
	return m
}

func (g *Gossip) listed(id string) bool { return g.vms.Load().ids[id] }

// updateStates marks unresponsive peers and deletes the states of unlisted peers
// whose digests have not arrived for the timeout.
func (g *Gossip) updateStates(now time.Time) {
	timeout := unresponsiveTimeout(g.period, len(g.cellPeers()))
	inCell := make(map[string]bool)
	for _, vm := range g.cellPeers() {
		inCell[vm.ID] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, vm := range g.VMs() {
		if _, ok := g.peers[vm.ID]; !ok && vm.ID != g.self.VM {
			g.peers[vm.ID] = &peerState{firstSeen: now}
		}
	}
	for id, state := range g.peers {
		overdue := now.Sub(latest(state.receivedAt, state.firstSeen)) > timeout
		listed := g.listed(id)
		if !listed && overdue {
			delete(g.peers, id)
			continue
		}
		// Digests of peers outside the cell arrive at random intervals, so only failed
		// exchanges count for these peers.
		g.setUnresponsive(id, state, state.failures >= failuresUntilUnresponsive || (inCell[id] && overdue))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setUnresponsive sets whether a peer is unresponsive, and emits an event if that
// changed.
func (g *Gossip) setUnresponsive(id string, state *peerState, unresponsive bool) {
	if state.unresponsive == unresponsive {
		return
	}
	state.unresponsive = unresponsive
	number := event.PeerResponsive
	if unresponsive {
		number = event.PeerUnresponsive
	}
	g.events.Emit(number, event.Subject{Peer: id})
}

// Limits on the contents of a received digest. A wrong digest has at most the effect of
// accounts with the largest share, until the next digest of its sender arrives.
const (
	maxFlows = 12
	maxSlots = 4096
	maxShare = 10000
	maxName  = 64
)

func decodeFlows(d *peerpb.Digest) []dispatch.FlowDemand {
	wire := d.GetFlows()
	flows := make([]dispatch.FlowDemand, 0, min(maxFlows, len(wire)))
	for _, f := range wire[:min(maxFlows, len(wire))] {
		flows = append(flows, dispatch.FlowDemand{
			Pool:     f.GetPool(),
			Account:  f.GetAccount(),
			Share:    min(maxShare, f.GetShare()),
			InFlight: min(maxSlots, f.GetInFlight()),
			Queued:   min(maxSlots, f.GetWaiting()),
		})
	}
	return flows
}

func encodeFlows(flows []dispatch.FlowDemand) []*peerpb.FlowDemand {
	wire := make([]*peerpb.FlowDemand, 0, len(flows))
	for _, f := range flows {
		wire = append(wire, &peerpb.FlowDemand{
			Pool:     f.Pool,
			Account:  f.Account,
			Share:    f.Share,
			InFlight: f.InFlight,
			Waiting:  f.Queued,
		})
	}
	return wire
}
