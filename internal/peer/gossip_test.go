package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/peer/peerpb"
	"dogwoodpond/internal/platformapi"
)

const testPeriod = time.Second

// testNode is a gossip whose demand and pokes a test sees.
type testNode struct {
	*Gossip
	view   *contract.View
	events *event.Recorder
	pokes  int
	flows  []dispatch.FlowDemand
}

func newTestNode(vm, domain string, period time.Duration) *testNode {
	n := &testNode{view: contract.NewView(), events: event.NewRecorder(vm, 256, event.NewClock(time.Now), zap.NewNop())}
	metrics := NewMetrics(nil)
	n.Gossip = NewGossip(GossipConfig{
		Self:       Identity{VM: vm, FailureDomain: domain},
		Period:     period,
		Events:     n.events,
		View:       n.view,
		Client:     NewClient(n.events, metrics),
		Draining:   func() bool { return false },
		OnRevision: func() { n.pokes++ },
		Age:        func() time.Duration { return 0 },
		Demand:     func() []dispatch.FlowDemand { return n.flows },
		// As many as a digest may name, so that its size is the largest.
		Unreachable: func() []uint32 { return []uint32{1, 2, 3, 4, 5, 6, 7, 1 << 31} },
		Metrics:     metrics,
	})
	return n
}

func list(vms ...string) []platformapi.VM {
	var all []platformapi.VM
	for _, vm := range vms {
		all = append(all, platformapi.VM{ID: vm, FailureDomain: "a", State: platformapi.VMLive})
	}
	return all
}

func wants(slots uint32) []*peerpb.FlowDemand {
	return []*peerpb.FlowDemand{{Pool: 1, Account: 2, Share: 100, Waiting: slots}}
}

// waiting returns what the node believes that a peer asks for; -1 if the peer
// takes no part.
func (n *testNode) waiting(vm string) int {
	for _, m := range n.Members() {
		if m.VM == vm {
			sum := 0
			for _, f := range m.Flows {
				sum += int(f.Queued)
			}
			return sum
		}
	}
	return -1
}

func (n *testNode) count(number event.Number) (found int) {
	for _, r := range n.events.Since(event.Stamp{}) {
		if r.Number == number {
			found++
		}
	}
	return found
}

// The network delivers a digest twice, late, or again after hours, also one of
// a process that has been replaced since. A past demand that came back would
// move slots away from those who need them.
func TestOldDigestsChangeNothing(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.SetVMs(list("vm-a1", "vm-a2"))
	old := newTestNode("vm-a2", "a", testPeriod).Digest()
	old.Flows = wants(900)
	peer := newTestNode("vm-a2", "a", testPeriod)
	first, second := peer.Digest(), peer.Digest()
	first.Flows, second.Flows = wants(50), wants(3)
	for _, d := range []*peerpb.Digest{second, first, second, old, first, old} {
		n.Receive(d)
	}
	if got := n.waiting("vm-a2"); got != 3 {
		t.Fatalf("the peer seems to want %d slots, its latest digest says 3", got)
	}
}

// A defective peer claims a huge demand and share for many accounts, and a
// revision that does not exist. It may gain fairness at most, until its next
// digest; it must not make every VM read the store again and again.
func TestWrongDigestIsBounded(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.SetVMs(list("vm-a1", "vm-a2"))
	peer := newTestNode("vm-a2", "a", testPeriod)
	for range 100 {
		wrong := peer.Digest()
		wrong.Revision = 1 << 60
		for range 500 {
			wrong.Flows = append(wrong.Flows, &peerpb.FlowDemand{Pool: 1, Share: 1 << 31, InFlight: 1 << 31, Waiting: 1 << 31})
		}
		n.Receive(wrong)
	}
	if n.pokes != 1 {
		t.Errorf("the wrong revision caused %d reads within a period", n.pokes)
	}
	for _, m := range n.Members() {
		if len(m.Flows) > maxFlows {
			t.Errorf("%d demands were believed", len(m.Flows))
		}
		for _, f := range m.Flows {
			if f.Share > maxShare || f.Queued > maxSlots || f.InFlight > maxSlots {
				t.Errorf("believed %+v", f)
			}
		}
	}
	right := peer.Digest()
	right.Flows = wants(1)
	n.Receive(right)
	if got := n.waiting("vm-a2"); got != 1 {
		t.Errorf("after the next digest the peer seems to want %d", got)
	}
}

// All digests of a peer are lost, or the peer has died while the platform's list
// still shows it. Its part of the engines must go to the others after a bound,
// and come back with its first digest.
func TestSilentPeerLosesItsPartAfterABound(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.SetVMs(list("vm-a1", "vm-a2", "vm-a3"))
	peer := newTestNode("vm-a2", "a", testPeriod)
	now := time.Now()
	n.Receive(peer.Digest())
	n.review(now)
	bound := silenceBound(testPeriod, 2)
	if bound > 10*time.Second {
		t.Fatalf("the bound is %v", bound)
	}
	n.review(now.Add(bound - time.Second))
	if n.waiting("vm-a2") < 0 {
		t.Fatal("the part was taken before the bound")
	}
	n.review(now.Add(bound + time.Second))
	if n.waiting("vm-a2") >= 0 {
		t.Fatal("the part is still kept after the bound")
	}
	if n.count(event.PeerSilent) != 2 {
		t.Errorf("%d events tell of the two silent peers", n.count(event.PeerSilent))
	}
	n.Receive(peer.Digest())
	if n.waiting("vm-a2") < 0 || n.count(event.PeerReturned) != 1 {
		t.Error("the peer did not return with its digest")
	}
}

// A VM has died and refuses connections, while the platform's list lags. Failed
// exchanges tell so before the bound of silence.
func TestPeerThatRefusesExchangesIsSilentAtOnce(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.SetVMs([]platformapi.VM{{ID: "vm-a2", FailureDomain: "a", PeerAddress: closedAddress(t)}})
	n.review(time.Now())
	for range failuresUntilSilent {
		_ = n.exchange(t.Context(), target{vm: "vm-a2", address: n.VMs()[0].PeerAddress})
	}
	n.review(time.Now())
	if n.waiting("vm-a2") >= 0 {
		t.Fatal("the dead peer keeps its part")
	}
}

func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// A VM has started and talks to its peers, but the platform's list does not show
// it yet. It takes part, and is forgotten again if it vanishes unlisted.
func TestUnlistedPeerTakesPartWhileItIsHeard(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.Receive(newTestNode("vm-a9", "a", testPeriod).Digest())
	if n.waiting("vm-a9") < 0 {
		t.Fatal("the new VM takes no part")
	}
	n.review(time.Now().Add(time.Minute))
	if n.waiting("vm-a9") >= 0 || len(n.peers) != 0 {
		t.Fatal("the vanished VM is still kept")
	}
}

// Digests must stay small with however many accounts and models: they are sent
// every second by every VM.
func TestDigestStaysSmall(t *testing.T) {
	n := newTestNode("vm-tayside-a-017", "tayside-north-a", testPeriod)
	for i := range 300 {
		n.flows = append(n.flows, dispatch.FlowDemand{Pool: uint32(i) << 20, Account: uint32(i) << 20, Share: 10000, InFlight: 4000, Queued: 4000})
	}
	d := n.Digest()
	if size := proto.Size(d); size > 400 {
		t.Fatalf("a digest has %d bytes", size)
	}
}

// The fleet grows from 30 to 390 VMs. A VM still sends one digest in each period,
// and hears each VM of its cell as often as before.
func TestPartnersAreFewInALargeFleet(t *testing.T) {
	for _, size := range []int{30, 390} {
		n := newTestNode("vm-000", "d0", testPeriod)
		var vms []platformapi.VM
		for i := range size {
			vms = append(vms, platformapi.VM{ID: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprint("d", i%7), PeerAddress: fmt.Sprint(i)})
		}
		n.SetVMs(vms)
		asked := map[string]int{}
		const periods = 120
		for range periods {
			to, _ := n.partner()
			asked[to.vm]++
		}
		mates := n.cellMates()
		for _, m := range mates {
			if asked[m.ID] < periods*3/4/(len(mates)+1) {
				t.Errorf("of %d VMs the mate %s was asked %d times in %d periods", size, m.ID, asked[m.ID], periods)
			}
		}
		if len(mates) > 2*8 {
			t.Errorf("a cell of %d VMs", len(mates))
		}
	}
}

// serveNode lets a node answer on loopback and returns its address.
func serveNode(ctx context.Context, t *testing.T, n *testNode) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(n.events, n.view, ageZero{}, nil, n.Gossip)
	go func() { _ = server.Serve(ctx, listener) }()
	return listener.Addr().String()
}

type ageZero struct{}

func (ageZero) Age() time.Duration { return 0 }

// An operator edits a contract in a fleet where each VM hears each other only
// once in many minutes. The answer must name where the edit is in force without
// waiting for chance; a VM that does not answer must be named as not confirmed.
func TestAnswerOfAnEditAsksTheVMsDirectly(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n := newTestNode("vm-000", "a", time.Hour)
	var vms []platformapi.VM
	const size = 40
	for i := 1; i < size; i++ {
		peer := newTestNode(fmt.Sprintf("vm-%03d", i), "a", time.Hour)
		peer.view.Advance(&contract.Snapshot{Revision: 5})
		vms = append(vms, platformapi.VM{ID: peer.self.VM, FailureDomain: "a", PeerAddress: serveNode(ctx, t, peer)})
	}
	vms = append(vms, platformapi.VM{ID: "vm-dead", FailureDomain: "a", PeerAddress: closedAddress(t)})
	n.SetVMs(vms)
	n.view.Advance(&contract.Snapshot{Revision: 5})
	fleet := NewFleet(n.Gossip, n.client, n.view, n.events)
	confirmed := 0
	for range 200 {
		confirmed = 0
		for _, r := range fleet.InForce() {
			if r.Known && r.Revision >= 5 {
				confirmed++
			}
		}
		if confirmed == size {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%d of %d VMs confirmed", confirmed, size)
}

// fullNode is a node that has heard all of 390 VMs.
func fullNode() *testNode {
	n := newTestNode("vm-000", "d0", testPeriod)
	var vms []platformapi.VM
	for i := range 390 {
		vm := platformapi.VM{ID: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprint("d", i%7)}
		vms = append(vms, vm)
		peer := newTestNode(vm.ID, vm.FailureDomain, testPeriod)
		for a := range uint32(8) {
			peer.flows = append(peer.flows, dispatch.FlowDemand{Pool: 1, Account: a, Share: 100, Queued: a})
		}
		n.Receive(peer.Digest())
	}
	n.SetVMs(vms)
	return n
}

// BenchmarkMembersAtTargetSize is what each division of the engines' slots asks
// of the gossip.
func BenchmarkMembersAtTargetSize(b *testing.B) {
	n := fullNode()
	for b.Loop() {
		n.Members()
	}
}

// BenchmarkReviewAtTargetSize is the work of each period.
func BenchmarkReviewAtTargetSize(b *testing.B) {
	n := fullNode()
	for b.Loop() {
		n.review(time.Now())
	}
}

// BenchmarkReceive is the work for each digest.
func BenchmarkReceive(b *testing.B) {
	n := fullNode()
	peer := newTestNode("vm-007", "d0", testPeriod)
	for b.Loop() {
		n.Receive(peer.Digest())
	}
}
