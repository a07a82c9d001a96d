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

// Fleet collects the revisions and events of all VMs for operators. It implements
// operator.Fleet.
type Fleet struct {
	gossip *Gossip
	client *Client
	view   *contract.View
	events *event.Recorder
	// exchanging is true while exchanges of exchangeAll run and for minExchangePause
	// after them.
	exchanging atomic.Bool
}

// NewFleet returns a Fleet that reads the peers' digests from gossip and calls the
// peers with client.
func NewFleet(gossip *Gossip, client *Client, view *contract.View, events *event.Recorder) *Fleet {
	return &Fleet{gossip: gossip, client: client, view: view, events: events}
}

// maxConcurrentCalls is the largest number of concurrent calls to peers in one
// operation.
const maxConcurrentCalls = 16

// Revisions implements operator.Fleet. It returns the known revisions of this VM and
// of the VMs in the platform's list.
//
// Digests from a given VM arrive rarely, so the answer to an edit would take longer
// than the edit itself if it waited for them. Revisions therefore starts exchanges
// with all VMs that are not known to have this VM's revision and returns without
// waiting. An exchange also informs the peer of the revision; a later call
// returns the results.
func (f *Fleet) Revisions() []operator.VMRevision {
	known := f.gossip.Known()
	self := f.gossip.self
	revision := f.view.Load().Revision
	list := []operator.VMRevision{{
		VM:            self.VM,
		FailureDomain: self.FailureDomain,
		Revision:      revision,
		Draining:      f.gossip.draining(),
		Known:         true,
	}}
	var outdated []target
	for _, vm := range f.gossip.VMs() {
		if vm.ID == self.VM {
			continue
		}
		r := revisionOf(vm, known)
		if !r.Known || r.Revision < revision {
			outdated = append(outdated, target{vm: vm.ID, address: vm.PeerAddress})
		}
		list = append(list, r)
	}
	f.exchangeAll(outdated)
	return list
}

// exchangeAll starts exchanges with the targets in the background, unless exchanges of
// an earlier call still run or have just ended.
func (f *Fleet) exchangeAll(targets []target) {
	if len(targets) == 0 || !f.exchanging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.exchanging.Store(false)
		var group errgroup.Group
		group.SetLimit(maxConcurrentCalls)
		for _, to := range targets {
			group.Go(func() error { return f.gossip.exchange(context.Background(), to) })
		}
		_ = group.Wait()
		time.Sleep(minExchangePause)
	}()
}

// minExchangePause is the shortest time between the exchanges of two calls of
// exchangeAll.
const minExchangePause = 100 * time.Millisecond

func revisionOf(vm platformapi.VM, known map[string]Known) operator.VMRevision {
	r := operator.VMRevision{VM: vm.ID, FailureDomain: vm.FailureDomain}
	k, ok := known[vm.ID]
	if !ok {
		return r
	}
	r.Known = true
	r.Revision = contract.Revision(k.Digest.GetRevision())
	r.AgeMillis = time.Since(k.ReceivedAt).Milliseconds()
	r.Draining = k.Digest.GetDraining()
	return r
}

// Events implements operator.Fleet. It returns the matching events of all VMs in
// the order of their stamps, and the IDs of the VMs that did not answer.
func (f *Fleet) Events(ctx context.Context, query event.Query) ([]event.Record, []string) {
	records := f.events.Select(query)
	missing := []string{}
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for _, vm := range f.gossip.VMs() {
		if vm.ID == f.gossip.self.VM {
			continue
		}
		calls.Go(func() error {
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
	_ = calls.Wait()
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
