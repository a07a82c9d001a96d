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

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/peer/peerpb"
	"dogwoodpond/internal/platform"
)

// Identity names a VM to its peers.
type Identity struct {
	VM            string
	FailureDomain string
	PeerAddress   string
}

// Known is what a VM knows of a peer from its latest digest.
type Known struct {
	Digest *peerpb.Digest
	// HeardAt is the local monotonic time of the digest.
	HeardAt time.Time
}

// Gossip exchanges one digest a period with a random peer.
type Gossip struct {
	self        Identity
	incarnation string
	events      *event.Recorder
	view        *contract.View
	client      *Client
	period      time.Duration
	draining    func() bool
	// onRevision is called when a peer knows a newer revision.
	onRevision func()
	ager       func() time.Duration

	sequence atomic.Uint64
	vms      atomic.Pointer[[]platform.VM]
	seeds    []string

	mu    sync.Mutex
	known map[string]Known
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
		seeds:       c.Seeds,
		known:       make(map[string]Known),
	}
	g.vms.Store(&[]platform.VM{})
	return g
}

// Incarnation tells this process from earlier ones of the same VM.
func (g *Gossip) Incarnation() string { return g.incarnation }

// SetVMs puts the platform's latest list in force.
func (g *Gossip) SetVMs(vms []platform.VM) { g.vms.Store(&vms) }

// VMs returns the platform's latest list.
func (g *Gossip) VMs() []platform.VM { return *g.vms.Load() }

// Digest returns the VM's own digest.
func (g *Gossip) Digest() *peerpb.Digest {
	return &peerpb.Digest{
		Vm:                g.self.VM,
		FailureDomain:     g.self.FailureDomain,
		Incarnation:       g.incarnation,
		Sequence:          g.sequence.Add(1),
		Stamp:             stamp(g.events),
		Revision:          uint64(g.view.Load().Revision),
		RevisionAgeMillis: g.ager().Milliseconds(),
		Draining:          g.draining(),
	}
}

// Receive takes a peer's digest. An older one than the known is dropped, so
// that a delayed or replayed digest can't bring back a past state.
func (g *Gossip) Receive(d *peerpb.Digest) {
	if d.GetVm() == g.self.VM {
		return
	}
	g.keep(d)
	if d.GetRevision() > uint64(g.view.Load().Revision) {
		g.onRevision()
	}
}

func (g *Gossip) keep(d *peerpb.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, ok := g.known[d.GetVm()]
	if ok && old.Digest.GetIncarnation() == d.GetIncarnation() && old.Digest.GetSequence() >= d.GetSequence() {
		return
	}
	g.known[d.GetVm()] = Known{Digest: d, HeardAt: time.Now()}
}

// Known returns the latest digests of all peers.
func (g *Gossip) Known() []Known {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Known, 0, len(g.known))
	for _, k := range g.known {
		all = append(all, k)
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

// Run exchanges digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	ticker := time.NewTicker(g.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.exchange(ctx)
		}
	}
}

func (g *Gossip) exchange(ctx context.Context) {
	addresses := g.Addresses()
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	reply, err := g.client.Exchange(ctx, address, g.Digest())
	if err != nil {
		return
	}
	g.Receive(reply)
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
