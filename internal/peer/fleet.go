package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/platform"
)

// Fleet answers operators' questions about all VMs. It implements
// operator.Fleet.
type Fleet struct {
	gossip *Gossip
	client *Client
	view   *contract.View
	events *event.Recorder
}

// NewFleet returns a fleet over the gossip's knowledge.
func NewFleet(gossip *Gossip, client *Client, view *contract.View, events *event.Recorder) *Fleet {
	return &Fleet{gossip: gossip, client: client, view: view, events: events}
}

// InForce implements operator.Fleet. It lists the platform's VMs and this one.
func (f *Fleet) InForce() []operator.VMRevision {
	heard := make(map[string]Known)
	for _, k := range f.gossip.Known() {
		heard[k.Digest.GetVm()] = k
	}
	self := f.gossip.self
	list := []operator.VMRevision{{
		VM:            self.VM,
		FailureDomain: self.FailureDomain,
		Revision:      f.view.Load().Revision,
		Draining:      f.gossip.draining(),
		Known:         true,
	}}
	for _, vm := range f.gossip.VMs() {
		if vm.ID != self.VM {
			list = append(list, revisionOf(vm, heard))
		}
	}
	return list
}

func revisionOf(vm platform.VM, heard map[string]Known) operator.VMRevision {
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
	var asks sync.WaitGroup
	for _, vm := range f.gossip.VMs() {
		if vm.ID == f.gossip.self.VM {
			continue
		}
		asks.Go(func() {
			got, err := f.client.Events(ctx, vm.PeerAddress, query)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, vm.ID)
				return
			}
			records = append(records, got...)
		})
	}
	asks.Wait()
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
