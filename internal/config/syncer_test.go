package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
)

// peerSyncers are the other VMs, as a syncer reaches them.
type peerSyncers []*Syncer

// FetchConfig implements Peers.
func (p peerSyncers) FetchConfig(_ context.Context, after contract.Revision) (*contract.Snapshot, time.Duration, error) {
	var newest *contract.Snapshot
	age := Never
	for _, peer := range p {
		// As over the wire, ages pass through milliseconds.
		age = min(age, peer.Age().Truncate(time.Millisecond))
		if held := peer.view.Load(); held.Revision > after {
			newest, after = held, held.Revision
		}
	}
	if len(p) == 0 {
		return nil, 0, errors.WithStack(&fault.PeerUnavailable{VM: "every peer"})
	}
	return newest, age, nil
}

func testSyncer(tables platformapi.Tables, peers Peers, options ...Option) *Syncer {
	return NewSyncer(tables, peers, contract.NewView(), testEvents(), time.Second, func(*contract.Snapshot) {}, options...)
}

// edit commits n edits of n accounts.
func edit(t *testing.T, tables platformapi.Tables, from, n int) {
	t.Helper()
	for i := from; i < from+n; i++ {
		account := contract.Account(fmt.Sprint("farm-", i))
		if _, err := testEditor(tables).Apply(context.Background(), editShare(fmt.Sprint("edit-", i), account, 0, 1+i%100)); err != nil {
			t.Fatal(err)
		}
	}
}

// A VM starts while the store is down. It has to serve with what its peers
// know, and its knowledge is as old as theirs.
func TestStartWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		w := faultinject.NewCluster(faultinject.NoFaults)
		edit(t, w.Rows, 1, 3)
		old := testSyncer(w.Start(ctx, "vm-1"), peerSyncers{})
		old.sync(ctx)
		edit(t, w.Rows, 4, 1)
		knows := testSyncer(w.Start(ctx, "vm-2"), peerSyncers{})
		knows.sync(ctx)
		w.TakeStoreDown(time.Hour)
		time.Sleep(time.Minute)
		starts := testSyncer(w.Start(ctx, "vm-3"), peerSyncers{old, knows})
		starts.sync(ctx)
		if got := starts.view.Load().Revision; got != 4 {
			t.Errorf("revision %d in force, want 4", got)
		}
		if got := starts.Age(); got < time.Minute || got > time.Minute+2*faultinject.CallTimeout+ageGrain {
			t.Errorf("age %v, want the peer's of a minute", got)
		}
	})
}

// All VMs of a failure domain restart while it is cut off. None of them has ever
// known the revision, and if they took each other's word they would serve
// withdrawn keys for as long as they like.
func TestNewVMsDontConfirmEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		w := faultinject.NewCluster(faultinject.NoFaults)
		edit(t, w.Rows, 1, 2)
		known := testSyncer(w.Start(ctx, "vm-1"), nil)
		known.sync(ctx)
		w.TakeStoreDown(24 * time.Hour)
		fresh := testSyncer(w.Start(ctx, "vm-2"), peerSyncers{})
		second := testSyncer(w.Start(ctx, "vm-3"), peerSyncers{fresh})
		fresh.peers = peerSyncers{second}
		known.peers = peerSyncers{fresh}
		for range 10 {
			time.Sleep(time.Minute)
			known.sync(ctx)
			fresh.sync(ctx)
			second.sync(ctx)
		}
		if a, b := fresh.Age(), second.Age(); a != Never || b != Never {
			t.Errorf("ages of the new VMs are %v and %v, want never", a, b)
		}
		if got := known.Age(); got < 10*time.Minute {
			t.Errorf("age of the other VM is %v, want at least 10m", got)
		}
	})
}

// Ages only grow while a failure domain is cut off: its VMs repeat to each other
// what they know, and that must not make it younger.
func TestKnowledgeOfACutOffDomainAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		w := faultinject.NewCluster(faultinject.NoFaults)
		a := testSyncer(w.Start(ctx, "vm-1"), nil)
		b := testSyncer(w.Start(ctx, "vm-2"), peerSyncers{a})
		a.peers = peerSyncers{b}
		a.sync(ctx)
		b.sync(ctx)
		w.TakeStoreDown(24 * time.Hour)
		start := time.Now()
		for range 20 {
			time.Sleep(10 * time.Second)
			a.sync(ctx)
			b.sync(ctx)
			if since := time.Since(start); a.Age() < since || b.Age() < since {
				t.Fatalf("ages %v and %v after %v without the store", a.Age(), b.Age(), since)
			}
		}
	})
}

// An answer of a peer was long on its way and holds an old snapshot. Taking it
// over would bring a withdrawn key back.
func TestOldSnapshotDoesNotRevert(t *testing.T) {
	ctx := context.Background()
	w := faultinject.NewCluster(faultinject.NoFaults)
	edit(t, w.Rows, 1, 1)
	s := testSyncer(w.Rows, nil)
	s.sync(ctx)
	old := s.view.Load()
	edit(t, w.Rows, 2, 1)
	s.sync(ctx)
	s.advance(old)
	if got := s.view.Load().Revision; got != 2 {
		t.Errorf("revision %d in force, want 2", got)
	}
}

// A VM starts after many years of edits. Replaying all of them would take
// minutes; reading the rows while edits go on could mix two revisions.
func TestBootstrapReadsOneRevision(t *testing.T) {
	ctx := context.Background()
	w := faultinject.NewCluster(faultinject.NoFaults)
	edit(t, w.Rows, 1, 2*logPage)
	racing := 0
	w.SetScript(func(s faultinject.Step) faultinject.Fault {
		if s.Process == "vm-1" && s.Call == "scan" && s.Subject == keyPrefix && racing < 2 {
			racing++
			edit(t, w.Rows, 2*logPage+racing, 1)
		}
		return faultinject.Fault{}
	})
	s := testSyncer(w.Start(ctx, "vm-1"), nil)
	s.sync(ctx)
	view := s.view.Load()
	if want := 2*logPage + 2; int(view.Revision) != want || len(view.Contracts) != want {
		t.Errorf("revision %d with %d contracts, want %d", view.Revision, len(view.Contracts), want)
	}
	for _, step := range w.Steps() {
		if step.Subject == logPrefix {
			t.Error("the log was replayed")
		}
	}
}

// The fleet grows to 390 VMs. Each must poll less often, or the polls alone
// would use up the store's reads.
func TestPollPeriodGrowsWithTheFleet(t *testing.T) {
	for _, c := range []struct {
		vms  int
		want time.Duration
	}{{9, time.Second}, {390, 7800 * time.Millisecond}} {
		s := testSyncer(nil, nil, WithFleet(func() int { return c.vms }))
		for range 100 {
			got := s.pollPeriod()
			if got < c.want*9/10 || got > c.want*11/10 {
				t.Fatalf("period %v with %d VMs, want %v and a tenth", got, c.vms, c.want)
			}
		}
	}
}

// A VM loses the store and its peers. An operator must see it in the time line
// when the view becomes stale and when it is confirmed again.
func TestStaleViewIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := faultinject.NewCluster(faultinject.NoFaults)
		ctx, stop := context.WithCancel(context.Background())
		s := testSyncer(w.Start(ctx, "vm-1"), peerSyncers{})
		go s.Run(ctx)
		time.Sleep(10 * time.Second)
		w.TakeStoreDown(2 * staleAfter)
		time.Sleep(3 * staleAfter)
		stop()
		synctest.Wait()
		var seen []event.Number
		for _, record := range s.events.Since(event.Stamp{}) {
			seen = append(seen, record.Number)
		}
		if fmt.Sprint(seen) != fmt.Sprint([]event.Number{event.ConfigurationStale, event.ConfigurationConfirmed}) {
			t.Errorf("events %v", seen)
		}
	})
}
