package peer

import (
	"slices"
	"time"

	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/peer/peerpb"
	"dogwoodpond/internal/platformapi"
)

// Known is what a VM knows of a peer from its latest digest.
type Known struct {
	Digest *peerpb.Digest
	// HeardAt is the local monotonic time of the digest.
	HeardAt time.Time
}

// peerState is what the gossip keeps of one peer.
type peerState struct {
	// digest is nil until the peer has been heard.
	digest  *peerpb.Digest
	heardAt time.Time
	// since is when the peer was first listed or heard.
	since time.Time
	// failures counts the exchanges in a row that the peer did not answer.
	failures int
	silent   bool
}

const (
	// failuresUntilSilent exchanges without an answer make a peer silent.
	failuresUntilSilent = 2
	// silentRounds is how many rounds of a cell may pass without a digest.
	silentRounds = 3
	// shortestSilence bounds the silence of small cells, in periods.
	shortestSilence = 6
	// strangerEvery is which exchange of so many goes outside the cell.
	strangerEvery = 4
)

// silenceBound returns how long a peer of the own cell may be silent before its
// parts of the engines return to the others.
func silenceBound(period time.Duration, mates int) time.Duration {
	rounds := silentRounds * mates * strangerEvery / (strangerEvery - 1)
	return time.Duration(max(shortestSilence, rounds)) * period
}

// cellMates returns the listed peers of the own failure domain and cell.
func (g *Gossip) cellMates() []platformapi.VM {
	var home []platformapi.VM
	for _, vm := range g.VMs() {
		if vm.FailureDomain == g.self.FailureDomain {
			home = append(home, vm)
		}
	}
	cells := dispatch.CellCount(len(home))
	own := dispatch.CellOf(g.self.VM, cells)
	return slices.DeleteFunc(home, func(vm platformapi.VM) bool {
		return vm.ID == g.self.VM || dispatch.CellOf(vm.ID, cells) != own
	})
}

// Members returns the VMs that take part in sharing the engines: the platform's
// list, less the silent ones, and more those that are heard though the list
// does not show them yet.
//
// The list lags and this VM may be cut off from it or from others; both only
// change how the engines are shared, and only until the list or the peer's next
// digest arrives.
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
		if vm.ID == g.self.VM || (known && state.silent) {
			continue
		}
		members = append(members, memberOf(vm.ID, vm.FailureDomain, state))
	}
	for id, state := range g.peers {
		if !g.listed(id) && state.digest != nil && !state.silent {
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
	m.Flows = readFlows(state.digest)
	m.Unreachable = firstOf(state.digest.GetUnreachable(), maxUnreachable)
	return m
}

func (g *Gossip) listed(id string) bool { return g.vms.Load().ids[id] }

// review judges which peers are silent and forgets those that are gone.
func (g *Gossip) review(now time.Time) {
	bound := silenceBound(g.period, len(g.cellMates()))
	mates := make(map[string]bool)
	for _, vm := range g.cellMates() {
		mates[vm.ID] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, vm := range g.VMs() {
		if _, ok := g.peers[vm.ID]; !ok && vm.ID != g.self.VM {
			g.peers[vm.ID] = &peerState{since: now}
		}
	}
	for id, state := range g.peers {
		overdue := now.Sub(latest(state.heardAt, state.since)) > bound
		listed := g.listed(id)
		if !listed && overdue {
			delete(g.peers, id)
			continue
		}
		// Peers outside the cell are heard by chance only; of them just failed
		// exchanges count.
		g.judge(id, state, state.failures >= failuresUntilSilent || (mates[id] && overdue))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judge puts a verdict in force.
func (g *Gossip) judge(id string, state *peerState, silent bool) {
	if state.silent == silent {
		return
	}
	state.silent = silent
	number := event.PeerReturned
	if silent {
		number = event.PeerSilent
	}
	g.events.Emit(number, event.Subject{Peer: id})
}

// Bounds of what a digest may claim. A wrong digest can so take no more than
// an account with the largest share would, until the next one comes.
const (
	maxFlows = 12
	maxSlots = 4096
	maxShare = 10000
	maxName  = 64
)

func readFlows(d *peerpb.Digest) []dispatch.FlowDemand {
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

func writeFlows(flows []dispatch.FlowDemand) []*peerpb.FlowDemand {
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
