package member

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

var digestDomains = []string{"x", "y", "z"}

// digestFleet is a fleet whose VMs follow digests.
type digestFleet struct {
	t     *testing.T
	store rowstore.Store
	vms   map[string]*digestVM
}

type digestVM struct {
	*List
	kill context.CancelFunc
}

// newDigestFleet starts a fleet of VMs in three domains, and waits until it follows digests.
func newDigestFleet(t *testing.T, store rowstore.Store, vms int) *digestFleet {
	f := &digestFleet{t: t, store: store, vms: make(map[string]*digestVM)}
	for i := range vms {
		f.start(fmt.Sprintf("vm-%02d", i), digestDomains[i%3], "1")
	}
	time.Sleep(6 * time.Second)
	return f
}

func (f *digestFleet) start(id, domain, incarnation string) *digestVM {
	events := event.NewRecorder(id, 16, event.NewClock(time.Now), zap.NewNop())
	l := New(VM{ID: id, FailureDomain: domain, Incarnation: incarnation, PeerAddress: id + ":1"}, digestDomains, f.store, neverViaPeers, budget.New(budget.Rates{}), events)
	l.maxDirectVMs = 4
	ctx, kill := context.WithCancel(f.t.Context())
	go l.Run(ctx)
	f.t.Cleanup(kill)
	f.vms[id] = &digestVM{List: l, kill: kill}
	return f.vms[id]
}

// kill kills the VMs that a condition selects.
func (f *digestFleet) kill(selected func(*digestVM) bool) {
	for id, vm := range f.vms {
		if selected(vm) {
			vm.kill()
			delete(f.vms, id)
		}
	}
}

// misjudged returns how many times a running VM takes a VM for dead that runs, or the other
// way round.
func (f *digestFleet) misjudged() int {
	n := 0
	for _, observer := range f.vms {
		observer.mu.Lock()
		for id, status := range observer.rows {
			running := f.vms[id] != nil && f.vms[id].self.Incarnation == status.vm.Incarnation
			if observer.isAlive(status) != running {
				n++
			}
		}
		observer.mu.Unlock()
	}
	return n
}

// watch checks for a duration that no running VM is taken for dead.
func (f *digestFleet) watch(d time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, observer := range f.vms {
			for id, vm := range f.vms {
				if !observer.Alive(id, vm.self.Incarnation) {
					f.t.Fatalf("%s takes %s, which runs, for dead", observer.self.ID, id)
				}
			}
		}
	}
}

// isWriter reports whether a VM writes the digest of its domain.
func (f *digestFleet) isWriter(vm *digestVM) bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	view := vm.views[vm.self.FailureDomain]
	return view != nil && view.isWriter
}

func TestDigestsShowDeadAndReturnedVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDigestFleet(t, memory.New(), 18)
		f.watch(25 * time.Second)
		victim := f.vms["vm-07"]
		f.kill(func(vm *digestVM) bool { return vm == victim })
		time.Sleep(4 * time.Second)
		if n := f.misjudged(); n != 0 {
			t.Errorf("%d wrong judgements 4 s after a VM died", n)
		}
		f.start("vm-07", victim.self.FailureDomain, "2")
		time.Sleep(3 * time.Second)
		if n := f.misjudged(); n != 0 {
			t.Errorf("%d wrong judgements 3 s after a VM returned", n)
		}
		f.watch(10 * time.Second)
	})
}

// Guards against VMs that are taken for dead because those that write the digests of their domain
// have died.
func TestDeathOfDigestWritersAffectsNoOtherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDigestFleet(t, memory.New(), 24)
		writers := 0
		f.kill(func(vm *digestVM) bool {
			isWriter := f.isWriter(vm) && vm.self.FailureDomain == "y"
			if isWriter {
				writers++
			}
			return isWriter
		})
		if writers != digestSlots {
			t.Fatalf("%d VMs write the digests of a domain, want %d", writers, digestSlots)
		}
		f.watch(12 * time.Second)
		if n := f.misjudged(); n != 0 {
			t.Errorf("%d wrong judgements 12 s after the writers died", n)
		}
	})
}

// Guards against a lost failure domain whose VMs count as alive because nobody writes its
// digests.
func TestLostDomainIsDetectedWithoutItsDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDigestFleet(t, memory.New(), 18)
		f.kill(func(vm *digestVM) bool { return vm.self.FailureDomain == "y" })
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			f.watch(0)
		}
		if n := f.misjudged(); n != 0 {
			t.Errorf("%d wrong judgements 6 s after a domain was lost", n)
		}
	})
}

// Guards against VMs that are declared dead because of an outage of the store, during which
// nobody writes heartbeats or digests.
func TestNoVMIsDeclaredDeadForAnOutageBetweenDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		f := newDigestFleet(t, store, 18)
		store.SetDown(true)
		f.watch(8 * time.Second)
		store.SetDown(false)
		f.watch(8 * time.Second)
		store.TruncateHistory()
		f.watch(8 * time.Second)
		f.kill(func(vm *digestVM) bool { return vm.self.ID == "vm-05" })
		time.Sleep(4 * time.Second)
		if n := f.misjudged(); n != 0 {
			t.Errorf("%d wrong judgements after the outage and the death of a VM", n)
		}
	})
}

// Guards against usage reports that await a dead VM for too long, and against rows of dead VMs
// that stay forever.
func TestDeadVMIsAwaitedAndRemovedInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		f := newDigestFleet(t, store, 18)
		var reporter *digestVM
		for _, vm := range f.vms {
			if vm.self.FailureDomain == "x" {
				reporter = vm
			}
		}
		f.kill(func(vm *digestVM) bool { return vm.self.ID == "vm-04" || vm.self.ID == "vm-03" && vm != reporter })
		time.Sleep(5 * time.Second)
		if reporter.NoneAwaited() {
			t.Error("a VM that has been unresponsive for 5 s is not awaited")
		}
		time.Sleep(5 * time.Second)
		if !reporter.NoneAwaited() {
			t.Error("a VM that has been unresponsive for 10 s is still awaited")
		}
		time.Sleep(4 * time.Minute)
		if n := f.misjudged(); n != 0 {
			t.Errorf("%d wrong judgements", n)
		}
		if row := store.Row(rowstore.Key{Table: table, Part: "y", Name: "vm-04"}); row.Version != 0 {
			t.Error("the row of a dead VM was not removed")
		}
	})
}

// Guards against a VM that was frozen and replaces a newer digest by its old one.
func TestOldDigestDoesNotReplaceNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		f := newDigestFleet(t, store, 9)
		var writer *digestVM
		for _, vm := range f.vms {
			if f.isWriter(vm) {
				writer = vm
			}
		}
		slot, _ := writer.claimSlot()
		writer.kill()
		time.Sleep(100 * time.Millisecond)
		key := slotKey(writer.self.FailureDomain, slot)
		newer, _ := json.Marshal(digest{Fingerprint: 7})
		store.Set(key, string(newer))
		writer.writeDigest(t.Context(), slot)
		if got := store.Row(key); string(got.Value) != string(newer) {
			t.Errorf("the digest was replaced by %s", got.Value)
		}
	})
}

// rowCountingStore counts the rows that are read through it.
type rowCountingStore struct {
	*memory.Store
	rows atomic.Int64
}

func (s *rowCountingStore) Read(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
	page, err := s.Store.Read(ctx, table, partition, from, to)
	s.rows.Add(int64(len(page.Rows)))
	return page, err
}

func (s *rowCountingStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (rowstore.Page, error) {
	page, err := s.Store.Changes(ctx, table, after, wait)
	s.rows.Add(int64(len(page.Rows)))
	return page, err
}

// Guards against reads of heartbeats that grow with the square of the fleet. The rows that the
// writers of digests read grow with the fleet, and those of all VMs together with it as well.
func TestRowsReadGrowWithTheFleetAndNotItsSquare(t *testing.T) {
	perVM := make(map[int]float64)
	for _, vms := range []int{18, 36, 72} {
		synctest.Test(t, func(t *testing.T) {
			store := &rowCountingStore{Store: memory.New()}
			f := newDigestFleet(t, store, vms)
			store.rows.Store(0)
			const seconds = 10
			time.Sleep(seconds * time.Second)
			perVM[vms] = float64(store.rows.Load()) / seconds / float64(vms)
			if n := f.misjudged(); n != 0 {
				t.Errorf("%d VMs: %d wrong judgements", vms, n)
			}
		})
	}
	t.Logf("rows a second for one VM: %.1f, %.1f, %.1f", perVM[18], perVM[36], perVM[72])
	if perVM[72] > 1.25*perVM[18] {
		t.Errorf("a VM reads %.1f rows a second in a fleet of 72, %.1f in one of 18", perVM[72], perVM[18])
	}
}
