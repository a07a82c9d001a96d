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

// Identity names a VM to its peers.
type Identity struct {
	VM            string
	FailureDomain string
	PeerAddress   string
}

// Gossip exchanges one digest a period with a peer, mostly of its own cell, and
// now and then with any other. What it costs a VM does not grow with the fleet.
type Gossip struct {
	self        Identity
	incarnation string
	events      *event.Recorder
	view        *contract.View
	client      *Client
	period      time.Duration
	draining    func() bool
	// onRevision is called when a peer knows a newer revision.
	onRevision  func()
	ager        func() time.Duration
	demand      func() []dispatch.FlowDemand
	unreachable func() []uint32
	metrics     *Metrics

	sequence atomic.Uint64
	vms      atomic.Pointer[vmList]
	seeds    []string

	mu    sync.Mutex
	peers map[string]*peerState
	// sentFlows are the own demands as the latest digest told them; the own part
	// is computed from them, so that all VMs compute from the same figures.
	sentFlows []dispatch.FlowDemand
	// sentUnreachable is kept for the same reason, and because asking the
	// dispatcher from within Members would wait for itself.
	sentUnreachable []uint32
	// pokedAt is when a digest last caused a read of the revision.
	pokedAt time.Time
	// round holds the addresses of the cell that this round has yet to ask.
	round []target
	turn  int
}

// target is a peer to exchange with.
type target struct {
	vm      string
	address string
}

// GossipConfig holds what a Gossip is built from.
type GossipConfig struct {
	Self       Identity
	Seeds      []string
	Period     time.Duration
	Events     *event.Recorder
	View       *contract.View
	Client     *Client
	Draining   func() bool
	OnRevision func()
	Age        func() time.Duration
	// Demand returns the VM's demands, the greatest first.
	Demand func() []dispatch.FlowDemand
	// Unreachable returns the engines that do not answer this VM.
	Unreachable func() []uint32
	Metrics     *Metrics
}

// NewGossip returns a gossip that knows no peer but the seeds.
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
		ager:        c.Age,
		demand:      c.Demand,
		unreachable: c.Unreachable,
		metrics:     c.Metrics,
		seeds:       c.Seeds,
		peers:       make(map[string]*peerState),
	}
	g.SetVMs(nil)
	return g
}

// Incarnation tells this process from earlier ones of the same VM.
func (g *Gossip) Incarnation() string { return g.incarnation }

// SetVMs puts the platform's latest list in force.
func (g *Gossip) SetVMs(vms []platformapi.VM) {
	ids := make(map[string]bool, len(vms))
	for _, vm := range vms {
		ids[vm.ID] = true
	}
	g.vms.Store(&vmList{vms: vms, ids: ids})
}

// VMs returns the platform's latest list.
func (g *Gossip) VMs() []platformapi.VM { return g.vms.Load().vms }

// vmList is the platform's list with its names.
type vmList struct {
	vms []platformapi.VM
	ids map[string]bool
}

// Digest returns the VM's own digest.
func (g *Gossip) Digest() *peerpb.Digest {
	flows := g.demand()
	flows = flows[:min(maxFlows, len(flows))]
	unreachable := firstOf(g.unreachable(), maxUnreachable)
	g.mu.Lock()
	g.sentFlows = flows
	g.sentUnreachable = unreachable
	g.mu.Unlock()
	d := &peerpb.Digest{
		Vm:                g.self.VM,
		FailureDomain:     g.self.FailureDomain,
		Incarnation:       g.incarnation,
		Sequence:          g.sequence.Add(1),
		Stamp:             stamp(g.events),
		Revision:          uint64(g.view.Load().Revision),
		RevisionAgeMillis: g.ager().Milliseconds(),
		Draining:          g.draining(),
		Flows:             writeFlows(flows),
		Unreachable:       unreachable,
	}
	g.metrics.sent(d)
	return d
}

// maxUnreachable bounds the unreachable engines in a digest.
const maxUnreachable = 8

func firstOf(list []uint32, most int) []uint32 { return list[:min(most, len(list))] }

// Receive takes a peer's digest.
func (g *Gossip) Receive(d *peerpb.Digest) {
	name := d.GetVm()
	if name == "" || name == g.self.VM || len(name) > maxName {
		return
	}
	now := time.Now()
	fresh := g.keep(d, now)
	g.metrics.received(fresh)
	if fresh && d.GetRevision() > uint64(g.view.Load().Revision) && g.mayPoke(now) {
		g.onRevision()
	}
}

// mayPoke limits what digests can cause at the store: a wrong one that names a
// revision which does not exist would else cost a read each time that it comes.
func (g *Gossip) mayPoke(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pokedAt.IsZero() && now.Sub(g.pokedAt) < g.period {
		return false
	}
	g.pokedAt = now
	return true
}

// keep keeps a digest unless it is older than the known one of its sender: a
// delayed, doubled or replayed digest must not bring back a past state.
func (g *Gossip) keep(d *peerpb.Digest, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, ok := g.peers[d.GetVm()]
	if !ok {
		state = &peerState{since: now}
		g.peers[d.GetVm()] = state
	}
	if state.digest != nil && !follows(d, state) {
		return false
	}
	state.digest, state.heardAt, state.failures = d, now, 0
	g.judge(d.GetVm(), state, false)
	return true
}

// follows reports whether a digest is later than the known one. Digests of one
// incarnation are numbered; between incarnations the hybrid clock decides,
// unless the known one is silent: then the clock of its successor may have been
// set back.
func follows(d *peerpb.Digest, state *peerState) bool {
	if state.digest.GetIncarnation() == d.GetIncarnation() {
		return d.GetSequence() > state.digest.GetSequence()
	}
	return state.silent || fromWire(state.digest.GetStamp()).Before(fromWire(d.GetStamp()))
}

// Known returns the latest digests of all peers by VM.
func (g *Gossip) Known() map[string]Known {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[string]Known, len(g.peers))
	for id, state := range g.peers {
		if state.digest != nil {
			all[id] = Known{Digest: state.digest, HeardAt: state.heardAt}
		}
	}
	return all
}

// Addresses returns the addresses of the other VMs, or the seeds while the
// list is empty.
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

// exchangesAtOnce bounds the exchanges that wait for an answer.
const exchangesAtOnce = 4

// Run exchanges digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	ticker := time.NewTicker(g.period)
	defer ticker.Stop()
	var exchanges errgroup.Group
	exchanges.SetLimit(exchangesAtOnce)
	for {
		select {
		case <-ctx.Done():
			_ = exchanges.Wait()
			return
		case <-ticker.C:
			g.review(time.Now())
			if to, ok := g.partner(); ok {
				exchanges.TryGo(func() error { return g.exchange(ctx, to) })
			}
		}
	}
}

// partner returns the next peer to exchange with: each of the own cell once a
// round in a random order, and every so often a random other.
func (g *Gossip) partner() (target, bool) {
	g.turn++
	mates := g.cellMates()
	if g.turn%strangerEvery == 0 || len(mates) == 0 {
		return g.stranger()
	}
	if len(g.round) == 0 {
		for _, vm := range mates {
			g.round = append(g.round, target{vm: vm.ID, address: vm.PeerAddress})
		}
		rand.Shuffle(len(g.round), func(i, j int) { g.round[i], g.round[j] = g.round[j], g.round[i] })
	}
	next := g.round[0]
	g.round = g.round[1:]
	return next, true
}

// stranger returns a random peer, or a random seed while no list is known.
func (g *Gossip) stranger() (target, bool) {
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

// exchange swaps digests with a peer. A peer that does not answer is noted.
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

// configAsks is how many peers are asked for the configuration.
const configAsks = 3

// FetchConfig asks several random peers for a newer snapshot and returns the
// newest, and the age of the youngest knowledge among them.
func (g *Gossip) FetchConfig(ctx context.Context, after contract.Revision) (*contract.Snapshot, time.Duration, error) {
	addresses := g.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var newest *contract.Snapshot
	var age time.Duration
	failure := unavailable("every peer")
	for _, address := range addresses[:min(configAsks, len(addresses))] {
		reply, err := g.client.FetchConfig(ctx, address, uint64(after))
		if err != nil {
			continue
		}
		snapshot, err := readSnapshot(reply.GetSnapshot())
		if err != nil {
			continue
		}
		replyAge := time.Duration(reply.GetRevisionAgeMillis()) * time.Millisecond
		if newer(snapshot, newest) {
			newest = snapshot
		}
		// Each peer knew that no revision beyond its own was accepted, and the
		// newest snapshot holds whatever any of them holds. So the youngest
		// knowledge counts, whoever has it.
		if failure != nil || replyAge < age {
			age = replyAge
		}
		failure = nil
	}
	return newest, age, failure
}

func newer(a, b *contract.Snapshot) bool {
	if a == nil || b == nil {
		return a != nil
	}
	return a.Revision > b.Revision
}

func readSnapshot(text []byte) (*contract.Snapshot, error) {
	if len(text) == 0 {
		return nil, nil
	}
	snapshot := contract.Empty()
	err := json.Unmarshal(text, snapshot)
	return snapshot, err
}
