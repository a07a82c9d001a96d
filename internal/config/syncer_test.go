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

// peerSyncers are the syncers of the peers that a syncer can reach.
type peerSyncers []*Syncer

// FetchConfig implements Peers.
func (p peerSyncers) FetchConfig(_ context.Context, after contract.Revision) (*contract.Snapshot, time.Duration, error) {
	var newest *contract.Snapshot
	age := AgeUnknown
	for _, peer := range p {
		// As on the wire, the age is in whole milliseconds.
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

// edit commits n edits, each of another account.
func edit(t *testing.T, tables platformapi.Tables, from, n int) {
	t.Helper()
	for i := from; i < from+n; i++ {
		account := contract.Account(fmt.Sprint("farm-", i))
		if _, err := testEditor(tables).Apply(context.Background(), editShare(fmt.Sprint("edit-", i), account, 0, 1+i%100)); err != nil {
			t.Fatal(err)
		}
	}
}

// A VM starts while the store is unavailable. It must serve with the newest snapshot of its
// peers, and its age must be that of their confirmation.
func TestStartWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		edit(t, cluster.Rows, 1, 3)
		old := testSyncer(cluster.Start(ctx, "vm-1"), peerSyncers{})
		old.sync(ctx)
		edit(t, cluster.Rows, 4, 1)
		current := testSyncer(cluster.Start(ctx, "vm-2"), peerSyncers{})
		current.sync(ctx)
		cluster.TakeStoreDown(time.Hour)
		time.Sleep(time.Minute)
		starting := testSyncer(cluster.Start(ctx, "vm-3"), peerSyncers{old, current})
		starting.sync(ctx)
		if got := starting.view.Load().Revision; got != 4 {
			t.Errorf("revision %d in force, want 4", got)
		}
		if got := starting.Age(); got < time.Minute || got > time.Minute+2*faultinject.CallTimeout+agePrecision {
			t.Errorf("age %v, want the peer's age of a minute", got)
		}
	})
}

// VMs of a failure domain restart while it is cut off. They have never reached the store. If
// they confirmed each other's views, they would accept withdrawn keys without a time limit.
func TestNewVMsDontConfirmEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		edit(t, cluster.Rows, 1, 2)
		known := testSyncer(cluster.Start(ctx, "vm-1"), nil)
		known.sync(ctx)
		cluster.TakeStoreDown(24 * time.Hour)
		fresh := testSyncer(cluster.Start(ctx, "vm-2"), peerSyncers{})
		second := testSyncer(cluster.Start(ctx, "vm-3"), peerSyncers{fresh})
		fresh.peers = peerSyncers{second}
		known.peers = peerSyncers{fresh}
		for range 10 {
			time.Sleep(time.Minute)
			known.sync(ctx)
			fresh.sync(ctx)
			second.sync(ctx)
		}
		if a, b := fresh.Age(), second.Age(); a != AgeUnknown || b != AgeUnknown {
			t.Errorf("ages of the new VMs are %v and %v, want never", a, b)
		}
		if got := known.Age(); got < 10*time.Minute {
			t.Errorf("age of the other VM is %v, want at least 10m", got)
		}
	})
}

// VMs of a failure domain that is cut off exchange their configuration and its age. The
// exchange must not decrease the ages.
func TestViewOfACutOffDomainAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		a := testSyncer(cluster.Start(ctx, "vm-1"), nil)
		b := testSyncer(cluster.Start(ctx, "vm-2"), peerSyncers{a})
		a.peers = peerSyncers{b}
		a.sync(ctx)
		b.sync(ctx)
		cluster.TakeStoreDown(24 * time.Hour)
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

// A peer's answer is delayed and contains an old snapshot. Putting it in force would make
// withdrawn keys valid again.
func TestOldSnapshotDoesNotRevert(t *testing.T) {
	ctx := context.Background()
	cluster := faultinject.NewCluster(faultinject.NoFaults)
	edit(t, cluster.Rows, 1, 1)
	s := testSyncer(cluster.Rows, nil)
	s.sync(ctx)
	old := s.view.Load()
	edit(t, cluster.Rows, 2, 1)
	s.sync(ctx)
	s.advance(old)
	if got := s.view.Load().Revision; got != 2 {
		t.Errorf("revision %d in force, want 2", got)
	}
}

// A VM starts after many years of edits. Replaying all of them would take minutes, so it
// reads the rows of contracts and keys. Edits are committed during the scans, and the
// snapshot must not mix two revisions.
func TestBootstrapReadsOneRevision(t *testing.T) {
	ctx := context.Background()
	cluster := faultinject.NewCluster(faultinject.NoFaults)
	edit(t, cluster.Rows, 1, 2*logPageSize)
	committed := 0
	cluster.SetScript(func(s faultinject.Step) faultinject.Fault {
		if s.Process == "vm-1" && s.Call == "scan" && s.Subject == keyPrefix && committed < 2 {
			committed++
			edit(t, cluster.Rows, 2*logPageSize+committed, 1)
		}
		return faultinject.Fault{}
	})
	s := testSyncer(cluster.Start(ctx, "vm-1"), nil)
	s.sync(ctx)
	view := s.view.Load()
	if want := 2*logPageSize + 2; int(view.Revision) != want || len(view.Contracts) != want {
		t.Errorf("revision %d with %d contracts, want %d", view.Revision, len(view.Contracts), want)
	}
	for _, step := range cluster.Steps() {
		if step.Subject == logPrefix {
			t.Error("the log was replayed")
		}
	}
}

// In a fleet of 390 VMs each VM must poll less often: at the normal interval the polls alone
// would use up the store's read rate.
func TestPollIntervalGrowsWithTheFleet(t *testing.T) {
	for _, c := range []struct {
		vms  int
		want time.Duration
	}{{9, time.Second}, {390, 7800 * time.Millisecond}} {
		s := testSyncer(nil, nil, WithFleetSize(func() int { return c.vms }))
		for range 100 {
			got := s.pollInterval()
			if got < c.want*9/10 || got > c.want*11/10 {
				t.Fatalf("interval %v with %d VMs, want %v within a tenth", got, c.vms, c.want)
			}
		}
	}
}

// A VM can reach neither the store nor its peers for a while. The events must show operators
// when the view becomes stale and when it is confirmed again.
func TestStaleViewIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		ctx, stop := context.WithCancel(context.Background())
		s := testSyncer(cluster.Start(ctx, "vm-1"), peerSyncers{})
		go s.Run(ctx)
		time.Sleep(10 * time.Second)
		cluster.TakeStoreDown(2 * staleAfter)
		time.Sleep(3 * staleAfter)
		stop()
		synctest.Wait()
		var seen []event.Number
		for _, record := range s.events.Since(event.Stamp{}) {
			seen = append(seen, record.Number)
		}
		if fmt.Sprint(seen) != fmt.Sprint([]event.Number{event.ConfigurationStale, event.ConfigurationConfirmed}) {
			t.Errorf("got events %v, want one stale and one confirmed view", seen)
		}
	})
}
