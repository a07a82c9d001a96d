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

// testNode is a Gossip whose demand a test sets in flows. It counts the calls of
// OnRevision.
type testNode struct {
	*Gossip
	view          *contract.View
	events        *event.Recorder
	revisionReads int
	flows         []dispatch.FlowDemand
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
		OnRevision: func() { n.revisionReads++ },
		ConfigAge:  func() time.Duration { return 0 },
		Demand:     func() []dispatch.FlowDemand { return n.flows },
		// The largest number that a digest may contain, so that the digest has its
		// largest size.
		Unreachable: func() []uint32 { return []uint32{1, 2, 3, 4, 5, 6, 7, 1 << 31} },
		Metrics:     metrics,
	})
	return n
}

func listVMs(vms ...string) []platformapi.VM {
	var all []platformapi.VM
	for _, vm := range vms {
		all = append(all, platformapi.VM{ID: vm, FailureDomain: "a", State: platformapi.VMLive})
	}
	return all
}

func demandFor(queued uint32) []*peerpb.FlowDemand {
	return []*peerpb.FlowDemand{{Pool: 1, Account: 2, Share: 100, Waiting: queued}}
}

// queued returns the number of queued requests in the demands that the node knows of
// a peer, or -1 if the peer is not a member.
func (n *testNode) queued(vm string) int {
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

// count returns the number of the node's events with the given number.
func (n *testNode) count(number event.Number) (found int) {
	for _, r := range n.events.Since(event.Stamp{}) {
		if r.Number == number {
			found++
		}
	}
	return found
}

// The network may duplicate, delay or replay a digest, also a digest of an earlier
// incarnation of the peer. An old demand must not replace the current demand, or
// slots would go to a VM that does not need them.
func TestReceiveDropsOldDigests(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.SetVMs(listVMs("vm-a1", "vm-a2"))
	old := newTestNode("vm-a2", "a", testPeriod).Digest()
	old.Flows = demandFor(900)
	peer := newTestNode("vm-a2", "a", testPeriod)
	first, second := peer.Digest(), peer.Digest()
	first.Flows, second.Flows = demandFor(50), demandFor(3)
	for _, d := range []*peerpb.Digest{second, first, second, old, first, old} {
		n.Receive(d)
	}
	if got := n.queued("vm-a2"); got != 3 {
		t.Fatalf("the peer has %d queued requests, want the 3 of its latest digest", got)
	}
}

// A defective peer sends a huge demand and share for many accounts, and a revision
// that does not exist. Until the peer's next digest this may distort fairness within
// limits, but it must not make VMs read the store for each digest.
func TestReceiveLimitsWrongDigest(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.SetVMs(listVMs("vm-a1", "vm-a2"))
	peer := newTestNode("vm-a2", "a", testPeriod)
	for range 100 {
		wrong := peer.Digest()
		wrong.Revision = 1 << 60
		for range 500 {
			wrong.Flows = append(wrong.Flows, &peerpb.FlowDemand{Pool: 1, Share: 1 << 31, InFlight: 1 << 31, Waiting: 1 << 31})
		}
		n.Receive(wrong)
	}
	if n.revisionReads != 1 {
		t.Errorf("the wrong revision caused %d reads within a period, want 1", n.revisionReads)
	}
	for _, m := range n.Members() {
		if len(m.Flows) > maxFlows {
			t.Errorf("%d demands were accepted, more than the limit", len(m.Flows))
		}
		for _, f := range m.Flows {
			if f.Share > maxShare || f.Queued > maxSlots || f.InFlight > maxSlots {
				t.Errorf("accepted %+v, which exceeds a limit", f)
			}
		}
	}
	right := peer.Digest()
	right.Flows = demandFor(1)
	n.Receive(right)
	if got := n.queued("vm-a2"); got != 1 {
		t.Errorf("after the next digest the peer has %d queued requests, want 1", got)
	}
}

// All digests of a peer are lost, or the peer is dead but still in the platform's
// list. Its quotas must go to the other VMs after a timeout, and return to the peer
// with its next digest.
func TestPeerWithoutDigestsIsUnresponsiveAfterTimeout(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.SetVMs(listVMs("vm-a1", "vm-a2", "vm-a3"))
	peer := newTestNode("vm-a2", "a", testPeriod)
	now := time.Now()
	n.Receive(peer.Digest())
	n.updateStates(now)
	timeout := unresponsiveTimeout(testPeriod, 2)
	if timeout > 10*time.Second {
		t.Fatalf("the timeout is %v, want at most 10s", timeout)
	}
	n.updateStates(now.Add(timeout - time.Second))
	if n.queued("vm-a2") < 0 {
		t.Fatal("the peer was removed from the members before the timeout")
	}
	n.updateStates(now.Add(timeout + time.Second))
	if n.queued("vm-a2") >= 0 {
		t.Fatal("the peer is still a member after the timeout")
	}
	if n.count(event.PeerUnresponsive) != 2 {
		t.Errorf("%d events of unresponsive peers, want 2", n.count(event.PeerUnresponsive))
	}
	n.Receive(peer.Digest())
	if n.queued("vm-a2") < 0 || n.count(event.PeerResponsive) != 1 {
		t.Error("the peer is not a member again after its digest")
	}
}

// A VM is dead and connections to it are refused, but it is still in the platform's
// list. Failed exchanges must mark it unresponsive before the timeout.
func TestPeerIsUnresponsiveAfterFailedExchanges(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.SetVMs([]platformapi.VM{{ID: "vm-a2", FailureDomain: "a", PeerAddress: closedAddress(t)}})
	n.updateStates(time.Now())
	for range failuresUntilUnresponsive {
		_ = n.exchange(t.Context(), target{vm: "vm-a2", address: n.VMs()[0].PeerAddress})
	}
	n.updateStates(time.Now())
	if n.queued("vm-a2") >= 0 {
		t.Fatal("the dead peer is still a member")
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// A VM has started and sends digests, but is not in the platform's list yet. It must
// be a member, and its state must be deleted if its digests stop before it is listed.
func TestUnlistedPeerIsMemberWhileItSendsDigests(t *testing.T) {
	n := newTestNode("vm-a1", "a", testPeriod)
	n.Receive(newTestNode("vm-a9", "a", testPeriod).Digest())
	if n.queued("vm-a9") < 0 {
		t.Fatal("the new VM is not a member")
	}
	n.updateStates(time.Now().Add(time.Minute))
	if n.queued("vm-a9") >= 0 || len(n.peers) != 0 {
		t.Fatal("the state of the dead unlisted VM still exists")
	}
}

// Every VM sends a digest every second, so digests must stay small however many
// accounts and models there are.
func TestDigestSizeIsLimited(t *testing.T) {
	n := newTestNode("vm-tayside-a-017", "tayside-north-a", testPeriod)
	for i := range 300 {
		n.flows = append(n.flows, dispatch.FlowDemand{Pool: uint32(i) << 20, Account: uint32(i) << 20, Share: 10000, InFlight: 4000, Queued: 4000})
	}
	d := n.Digest()
	if size := proto.Size(d); size > 400 {
		t.Fatalf("a digest has %d bytes, want at most 400", size)
	}
}

// When the fleet grows from 30 to 390 VMs, a VM must still exchange one digest in each
// period, and exchange with each VM of its cell as often as before.
func TestPartnerRotatesThroughCellInLargeFleet(t *testing.T) {
	for _, size := range []int{30, 390} {
		n := newTestNode("vm-000", "d0", testPeriod)
		var vms []platformapi.VM
		for i := range size {
			vms = append(vms, platformapi.VM{ID: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprint("d", i%7), PeerAddress: fmt.Sprint(i)})
		}
		n.SetVMs(vms)
		exchanges := map[string]int{}
		const periods = 120
		for range periods {
			to, _ := n.partner()
			exchanges[to.vm]++
		}
		cell := n.cellPeers()
		for _, m := range cell {
			if exchanges[m.ID] < periods*3/4/(len(cell)+1) {
				t.Errorf("fleet of %d VMs: cell peer %s had %d exchanges in %d periods", size, m.ID, exchanges[m.ID], periods)
			}
		}
		if len(cell) > 2*8 {
			t.Errorf("the cell has %d peers, want at most 16", len(cell))
		}
	}
}

// serveNode starts a server for the node on the loopback interface and returns its
// address.
func serveNode(ctx context.Context, t *testing.T, n *testNode) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(n.events, n.view, zeroAge{}, nil, n.Gossip)
	go func() { _ = server.Serve(ctx, listener) }()
	return listener.Addr().String()
}

type zeroAge struct{}

func (zeroAge) Age() time.Duration { return 0 }

// In a large fleet, a VM receives a digest of any given other VM only once in many
// minutes. The answer to an operator's edit must still show soon where the edit is
// in force, and must not count a VM that does not answer as confirmed.
func TestInForceExchangesWithOutdatedVMs(t *testing.T) {
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
		for _, r := range fleet.Revisions() {
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

// newLargeFleetNode returns a node that has received digests of all 390 VMs of a
// fleet.
func newLargeFleetNode() *testNode {
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

// BenchmarkMembersAtTargetSize measures Members, which runs for each assignment of
// the engines' slots.
func BenchmarkMembersAtTargetSize(b *testing.B) {
	n := newLargeFleetNode()
	for b.Loop() {
		n.Members()
	}
}

// BenchmarkUpdateStatesAtTargetSize measures updateStates, which runs once in each
// period.
func BenchmarkUpdateStatesAtTargetSize(b *testing.B) {
	n := newLargeFleetNode()
	for b.Loop() {
		n.updateStates(time.Now())
	}
}

// BenchmarkReceive measures the processing of one digest.
func BenchmarkReceive(b *testing.B) {
	n := newLargeFleetNode()
	peer := newTestNode("vm-007", "d0", testPeriod)
	for b.Loop() {
		n.Receive(peer.Digest())
	}
}
