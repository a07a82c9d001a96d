package peer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/platformapi"
)

// Fleet answers operators' questions about all VMs. It implements
// operator.Fleet.
type Fleet struct {
	gossip *Gossip
	client *Client
	view   *contract.View
	events *event.Recorder
	// asking is true while a round of asks runs.
	asking atomic.Bool
}

// NewFleet returns a fleet over the gossip's knowledge.
func NewFleet(gossip *Gossip, client *Client, view *contract.View, events *event.Recorder) *Fleet {
	return &Fleet{gossip: gossip, client: client, view: view, events: events}
}

// asksAtOnce bounds the direct asks that wait for an answer.
const asksAtOnce = 16

// InForce implements operator.Fleet. It lists the platform's VMs and this one.
//
// Digests reach each VM only now and then, so that waiting for them would keep
// an edit's answer open longer than the edit takes. VMs that are not known to
// have this VM's revision are asked directly meanwhile, and learn of the
// revision by the ask; a later call returns what they said.
func (f *Fleet) InForce() []operator.VMRevision {
	heard := f.gossip.Known()
	self := f.gossip.self
	revision := f.view.Load().Revision
	list := []operator.VMRevision{{
		VM:            self.VM,
		FailureDomain: self.FailureDomain,
		Revision:      revision,
		Draining:      f.gossip.draining(),
		Known:         true,
	}}
	var behind []target
	for _, vm := range f.gossip.VMs() {
		if vm.ID == self.VM {
			continue
		}
		r := revisionOf(vm, heard)
		if !r.Known || r.Revision < revision {
			behind = append(behind, target{vm: vm.ID, address: vm.PeerAddress})
		}
		list = append(list, r)
	}
	f.ask(behind)
	return list
}

// ask exchanges digests with the VMs, unless an earlier round still runs.
func (f *Fleet) ask(targets []target) {
	if len(targets) == 0 || !f.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.asking.Store(false)
		var round errgroup.Group
		round.SetLimit(asksAtOnce)
		for _, to := range targets {
			round.Go(func() error { return f.gossip.exchange(context.Background(), to) })
		}
		_ = round.Wait()
		time.Sleep(askPause)
	}()
}

// askPause is the least time between two rounds of asks.
const askPause = 100 * time.Millisecond

func revisionOf(vm platformapi.VM, heard map[string]Known) operator.VMRevision {
	r := operator.VMRevision{VM: vm.ID, FailureDomain: vm.FailureDomain}
	k, ok := heard[vm.ID]
	if !ok {
		return r
	}
	r.Known = true
	r.Revision = contract.Revision(k.Digest.GetRevision())
	r.HeardMillis = time.Since(k.HeardAt).Milliseconds()
	r.Draining = k.Digest.GetDraining()
	return r
}

// Events implements operator.Fleet.
func (f *Fleet) Events(ctx context.Context, query event.Query) ([]event.Record, []string) {
	records := f.events.Select(query)
	missing := []string{}
	var mu sync.Mutex
	var asks errgroup.Group
	asks.SetLimit(asksAtOnce)
	for _, vm := range f.gossip.VMs() {
		if vm.ID == f.gossip.self.VM {
			continue
		}
		asks.Go(func() error {
			got, err := f.client.Events(ctx, vm.PeerAddress, query)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, vm.ID)
				return nil
			}
			records = append(records, got...)
			return nil
		})
	}
	_ = asks.Wait()
	slices.SortStableFunc(records, byStamp)
	return records, missing
}

func byStamp(a, b event.Record) int {
	switch {
	case a.Stamp.Before(b.Stamp):
		return -1
	case b.Stamp.Before(a.Stamp):
		return 1
	default:
		return 0
	}
}
