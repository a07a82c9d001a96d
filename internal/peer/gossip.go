package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/peer/peerpb"
	"dogwoodpond/internal/platformapi"
)

// Identity identifies a VM to its peers.
type Identity struct {
	VM            string
	FailureDomain string
	PeerAddress   string
}

// Gossip exchanges digests with one peer in each period: usually a cell peer,
// sometimes a random VM of the fleet. The cost per VM does not grow with the
// size of the fleet.
type Gossip struct {
	self        Identity
	incarnation string
	events      *event.Recorder
	view        *contract.View
	client      *Client
	period      time.Duration
	draining    func() bool
	// onRevision is called when a peer has a newer configuration revision.
	onRevision  func()
	configAge   func() time.Duration
	demand      func() []dispatch.FlowDemand
	unreachable func() []uint32
	metrics     *Metrics

	sequence atomic.Uint64
	vms      atomic.Pointer[vmList]
	seeds    []string

	mu    sync.Mutex
	peers map[string]*peerState
	// sentFlows are the demands in this VM's latest digest. Members returns these
	// demands instead of the current ones, so that all VMs compute quotas from the
	// same data.
	sentFlows []dispatch.FlowDemand
	// sentUnreachable are the unreachable engines in this VM's latest digest. Members
	// returns them for the same reason, and because a call to the dispatcher from
	// within Members would deadlock.
	sentUnreachable []uint32
	// revisionReadAt is when a digest last caused a read of the revision.
	revisionReadAt time.Time
	// round holds the cell peers that have not been used yet in the present round of
	// exchanges; see partner.
	round []target
	// exchangeCount is the number of calls of partner.
	exchangeCount int
}

// target is a peer to exchange digests with; vm is empty for a seed.
type target struct {
	vm      string
	address string
}

// GossipConfig holds the settings and dependencies of a Gossip.
type GossipConfig struct {
	Self Identity
	// Seeds are the peer addresses to use while the platform's list is unknown.
	Seeds []string
	// Period is the time between two exchanges.
	Period   time.Duration
	Events   *event.Recorder
	View     *contract.View
	Client   *Client
	Draining func() bool
	// OnRevision is called when a peer has a newer configuration revision.
	OnRevision func()
	// ConfigAge returns the time since the configuration was last known to be current.
	ConfigAge func() time.Duration
	// Demand returns the VM's demands, the largest first.
	Demand func() []dispatch.FlowDemand
	// Unreachable returns the hashed IDs of the engines that do not answer this VM.
	Unreachable func() []uint32
	Metrics     *Metrics
}

// NewGossip returns a Gossip that knows no peers except the seeds.
func NewGossip(c GossipConfig) *Gossip {
	g := &Gossip{
		self:        c.Self,
		incarnation: uuid.NewString(),
		events:      c.Events,
		view:        c.View,
		client:      c.Client,
		period:      c.Period,
		draining:    c.Draining,
		onRevision:  c.OnRevision,
		configAge:   c.ConfigAge,
		demand:      c.Demand,
		unreachable: c.Unreachable,
		metrics:     c.Metrics,
		seeds:       c.Seeds,
		peers:       make(map[string]*peerState),
	}
	g.SetVMs(nil)
	return g
}

// Incarnation returns the ID that distinguishes this process from earlier processes
// of the same VM.
func (g *Gossip) Incarnation() string { return g.incarnation }

// SetVMs replaces the list of VMs by the platform's latest list.
func (g *Gossip) SetVMs(vms []platformapi.VM) {
	ids := make(map[string]bool, len(vms))
	for _, vm := range vms {
		ids[vm.ID] = true
	}
	g.vms.Store(&vmList{vms: vms, ids: ids})
}

// VMs returns the platform's latest list of VMs.
func (g *Gossip) VMs() []platformapi.VM { return g.vms.Load().vms }

// vmList is the platform's list of VMs with the set of their IDs.
type vmList struct {
	vms []platformapi.VM
	ids map[string]bool
}

// Digest returns a new digest of this VM.
func (g *Gossip) Digest() *peerpb.Digest {
	flows := g.demand()
	flows = flows[:min(maxFlows, len(flows))]
	unreachable := truncate(g.unreachable(), maxUnreachable)
	g.mu.Lock()
	g.sentFlows = flows
	g.sentUnreachable = unreachable
	g.mu.Unlock()
	d := &peerpb.Digest{
		Vm:                g.self.VM,
		FailureDomain:     g.self.FailureDomain,
		Incarnation:       g.incarnation,
		Sequence:          g.sequence.Add(1),
		Stamp:             wireStamp(g.events),
		Revision:          uint64(g.view.Load().Revision),
		RevisionAgeMillis: g.configAge().Milliseconds(),
		Draining:          g.draining(),
		Flows:             encodeFlows(flows),
		Unreachable:       unreachable,
	}
	g.metrics.noteSent(d)
	return d
}

// maxUnreachable is the largest number of unreachable engines in a digest.
const maxUnreachable = 8

func truncate(list []uint32, limit int) []uint32 { return list[:min(limit, len(list))] }

// Receive processes a peer's digest. It ignores digests without a valid name and
// digests of this VM.
func (g *Gossip) Receive(d *peerpb.Digest) {
	name := d.GetVm()
	if name == "" || name == g.self.VM || len(name) > maxName {
		return
	}
	now := time.Now()
	accepted := g.accept(d, now)
	g.metrics.noteReceived(accepted)
	if accepted && d.GetRevision() > uint64(g.view.Load().Revision) && g.mayReadRevision(now) {
		g.onRevision()
	}
}

// mayReadRevision limits the reads of the store that digests cause to one in each
// period. Otherwise, each digest with a revision that does not exist would cause a
// read.
func (g *Gossip) mayReadRevision(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.revisionReadAt.IsZero() && now.Sub(g.revisionReadAt) < g.period {
		return false
	}
	g.revisionReadAt = now
	return true
}

// accept stores a digest and reports whether it did. It drops a digest that is not
// newer than the known digest of its sender: a delayed, duplicated or replayed
// digest must not restore an old state.
func (g *Gossip) accept(d *peerpb.Digest, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, ok := g.peers[d.GetVm()]
	if !ok {
		state = &peerState{firstSeen: now}
		g.peers[d.GetVm()] = state
	}
	if state.digest != nil && !supersedes(d, state) {
		return false
	}
	state.digest, state.receivedAt, state.failures = d, now, 0
	g.setUnresponsive(d.GetVm(), state, false)
	return true
}

// supersedes reports whether d is newer than the known digest of its sender. Digests
// of one incarnation are ordered by sequence, digests of different incarnations by
// the hybrid clock. If the sender is marked unresponsive, a digest of another
// incarnation always supersedes the known one, because the clock may have been set
// back before the restart.
func supersedes(d *peerpb.Digest, state *peerState) bool {
	if state.digest.GetIncarnation() == d.GetIncarnation() {
		return d.GetSequence() > state.digest.GetSequence()
	}
	return state.unresponsive || fromWire(state.digest.GetStamp()).Before(fromWire(d.GetStamp()))
}

// Known returns the latest digest of each peer by VM.
func (g *Gossip) Known() map[string]Known {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[string]Known, len(g.peers))
	for id, state := range g.peers {
		if state.digest != nil {
			all[id] = Known{Digest: state.digest, ReceivedAt: state.receivedAt}
		}
	}
	return all
}

// Addresses returns the addresses of the other VMs in the platform's list, or the
// seeds if there are none.
func (g *Gossip) Addresses() []string {
	var addresses []string
	for _, vm := range g.VMs() {
		if vm.ID != g.self.VM {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return slices.Clone(g.seeds)
	}
	return addresses
}

// maxConcurrentExchanges is the largest number of concurrent exchanges of Run. An
// exchange that would exceed it is skipped.
const maxConcurrentExchanges = 4

// Run exchanges digests with one peer in each period until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	ticker := time.NewTicker(g.period)
	defer ticker.Stop()
	var exchanges errgroup.Group
	exchanges.SetLimit(maxConcurrentExchanges)
	for {
		select {
		case <-ctx.Done():
			_ = exchanges.Wait()
			return
		case <-ticker.C:
			g.updateStates(time.Now())
			if to, ok := g.partner(); ok {
				exchanges.TryGo(func() error { return g.exchange(ctx, to) })
			}
		}
	}
}

// partner returns the next peer to exchange digests with: each cell peer once in a
// round, in random order, and a random peer in every randomPeerEvery-th call.
func (g *Gossip) partner() (target, bool) {
	g.exchangeCount++
	cell := g.cellPeers()
	if g.exchangeCount%randomPeerEvery == 0 || len(cell) == 0 {
		return g.randomPeer()
	}
	if len(g.round) == 0 {
		for _, vm := range cell {
			g.round = append(g.round, target{vm: vm.ID, address: vm.PeerAddress})
		}
		rand.Shuffle(len(g.round), func(i, j int) { g.round[i], g.round[j] = g.round[j], g.round[i] })
	}
	next := g.round[0]
	g.round = g.round[1:]
	return next, true
}

// randomPeer returns a random VM of the platform's list, or a random seed if the list
// has no other VM.
func (g *Gossip) randomPeer() (target, bool) {
	var others []target
	for _, vm := range g.VMs() {
		if vm.ID != g.self.VM {
			others = append(others, target{vm: vm.ID, address: vm.PeerAddress})
		}
	}
	if len(others) == 0 {
		for _, seed := range g.seeds {
			others = append(others, target{address: seed})
		}
	}
	if len(others) == 0 {
		return target{}, false
	}
	return others[rand.IntN(len(others))], true
}

// exchange sends this VM's digest to a peer and processes the peer's digest. It always
// returns nil: if the peer does not answer, it counts the failure in the peer's state.
func (g *Gossip) exchange(ctx context.Context, to target) error {
	reply, err := g.client.Exchange(ctx, to.address, g.Digest())
	if err == nil {
		g.Receive(reply)
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if state, ok := g.peers[to.vm]; ok && ctx.Err() == nil {
		state.failures++
	}
	return nil
}

// maxConfigPeers is the number of peers that FetchConfig calls.
const maxConfigPeers = 3

// FetchConfig calls several random peers and returns their newest snapshot, or nil
// if none is newer than the revision after. The duration is the shortest age of a
// configuration among these peers, that is the time since it was last known to be
// current. FetchConfig fails if no peer answers.
func (g *Gossip) FetchConfig(ctx context.Context, after contract.Revision) (*contract.Snapshot, time.Duration, error) {
	addresses := g.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var newest *contract.Snapshot
	var age time.Duration
	failure := unavailable("any peer")
	for _, address := range addresses[:min(maxConfigPeers, len(addresses))] {
		reply, err := g.client.FetchConfig(ctx, address, uint64(after))
		if err != nil {
			continue
		}
		snapshot, err := decodeSnapshot(reply.GetSnapshot())
		if err != nil {
			continue
		}
		replyAge := time.Duration(reply.GetRevisionAgeMillis()) * time.Millisecond
		if isNewer(snapshot, newest) {
			newest = snapshot
		}
		// Each peer knew replyAge ago that no revision newer than its own existed,
		// and the newest snapshot includes the revisions of all these peers. So the
		// shortest age applies to the newest snapshot, whichever peer returned it.
		if failure != nil || replyAge < age {
			age = replyAge
		}
		failure = nil
	}
	return newest, age, failure
}

func isNewer(a, b *contract.Snapshot) bool {
	if a == nil || b == nil {
		return a != nil
	}
	return a.Revision > b.Revision
}

func decodeSnapshot(encoded []byte) (*contract.Snapshot, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	snapshot := contract.EmptySnapshot()
	err := json.Unmarshal(encoded, snapshot)
	return snapshot, err
}
