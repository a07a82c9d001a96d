package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dogwoodpond/internal/platform"
)

func vmsOf(domain string, n int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{VM: fmt.Sprintf("vm-%s%d", domain, i), FailureDomain: domain, Heard: true})
	}
	return members
}

func enginesOf(n, slots int) []place {
	var places []place
	for i := range n {
		places = append(places, place{upstream: fmt.Sprintf("e%03d", i), slots: slots})
	}
	return places
}

const testPool = 7

func demandOf(account string, share, slots uint32) FlowDemand {
	return FlowDemand{Pool: testPool, Account: hash32(account), Share: share, Waiting: slots}
}

// claims adds up the parts that the members compute, each from its own view.
func claims(members []Member, view func(Member) []Member, places []place) parts {
	sum := make(parts)
	for _, m := range members {
		for id, n := range apportion(m.VM, testPool, view(m), places) {
			sum[id] += n
		}
	}
	return sum
}

// VMs that divide the engines' slots differently fill some slots twice, and the
// requests there wait in the engine, where no shares are known. VMs that know
// the same must claim each slot exactly once.
func TestVMsWithTheSameKnowledgeClaimEachSlotOnce(t *testing.T) {
	check := func(vms, engines int, wants []uint32) string {
		members := vmsOf("a", vms)
		for i := range members {
			members[i].Flows = []FlowDemand{demandOf(fmt.Sprint(i%5), 100, wants[i])}
		}
		places := enginesOf(engines, 8)
		sum := claims(members, func(Member) []Member { return members }, places)
		for _, p := range places {
			if sum[p.upstream] != p.slots && sum[p.upstream] != 0 {
				return fmt.Sprintf("%s has %d slots, claimed %d times", p.upstream, p.slots, sum[p.upstream])
			}
			if sum[p.upstream] == 0 && vms >= 1 && CellCount(vms) == 1 {
				return fmt.Sprintf("%s is claimed by nobody", p.upstream)
			}
		}
		return ""
	}
	p := properties()
	p.Property("each slot once", prop.ForAll(check,
		gen.IntRange(1, 8), gen.IntRange(1, 20), gen.SliceOfN(64, gen.UInt32Range(0, 60))))
	p.TestingRun(t)
}

// The fleet has grown to 56 VMs and 103 engines in a failure domain. Every slot
// must still be claimed once, and no VM may have to know or reach more than a few
// engines, or its cost would grow with the fleet.
func TestPartsStaySmallInALargeFailureDomain(t *testing.T) {
	members := vmsOf("a", 56)
	places := enginesOf(103, 8)
	sum := claims(members, func(Member) []Member { return members }, places)
	for _, p := range places {
		if sum[p.upstream] != p.slots {
			t.Errorf("%s is claimed %d times", p.upstream, sum[p.upstream])
		}
	}
	for _, m := range members {
		own := apportion(m.VM, testPool, members, places)
		if len(own) > 8 {
			t.Errorf("%s has parts of %d engines", m.VM, len(own))
		}
	}
}

// One account floods all three VMs, another one of the same share uses one only.
// Were the slots divided by VM, the first would get most of the engines.
func TestSharesHoldOverSeveralVMs(t *testing.T) {
	members := vmsOf("a", 3)
	for i := range members {
		members[i].Flows = []FlowDemand{demandOf("flood", 100, 500)}
	}
	members[1].Flows = append(members[1].Flows, demandOf("desk", 100, 500))
	got := make([]int, 3)
	for i, m := range members {
		for _, n := range apportion(m.VM, testPool, members, enginesOf(3, 16)) {
			got[i] += n
		}
	}
	// Each account is entitled to 24 slots; the flood's lie on all three VMs.
	if got[1] != 32 || got[0] != 8 || got[2] != 8 {
		t.Fatalf("parts %v of 48 slots", got)
	}
}

// A small account asks one VM for a single answer while another floods all VMs.
// Were its whole share counted there, that VM would take slots from the others
// that it has no use for, and with each such request the parts would jump.
func TestSmallDemandMovesFewSlots(t *testing.T) {
	members := vmsOf("a", 3)
	for i := range members {
		members[i].Flows = []FlowDemand{demandOf("flood", 100, 500)}
	}
	members[1].Flows = append(members[1].Flows, demandOf("desk", 1000, 1))
	total := 0
	for _, n := range apportion("vm-a1", testPool, members, enginesOf(3, 16)) {
		total += n
	}
	if total < 16 || total > 17 {
		t.Fatalf("the VM has %d of 48 slots", total)
	}
}

// One VM has all the work and its neighbours have none. Slots kept for them
// would stay empty while requests wait.
func TestIdlePartsAreUsedByOthers(t *testing.T) {
	members := vmsOf("a", 3)
	members[0].Flows = []FlowDemand{demandOf("fields", 100, 100)}
	total := 0
	for _, n := range apportion("vm-a0", testPool, members, enginesOf(3, 8)) {
		total += n
	}
	if total != 22 {
		t.Fatalf("the busy VM may use %d of 24 slots; one stays for each idle one", total)
	}
}

// A VM has died. As soon as it counts as silent its part must go to the others.
func TestPartOfADeadVMGoesToTheOthers(t *testing.T) {
	members := vmsOf("a", 3)
	for i := range members {
		members[i].Flows = []FlowDemand{demandOf("fields", 100, 100)}
	}
	left := members[:2]
	sum := claims(left, func(Member) []Member { return left }, enginesOf(3, 8))
	total := 0
	for _, n := range sum {
		total += n
	}
	if total != 24 {
		t.Fatalf("the two that are left use %d of 24 slots", total)
	}
}

// A VM got a wrong digest, and so divides otherwise than its neighbours. The
// slots claimed twice may at most be that VM's part.
func TestWrongDigestOvercommitsAtMostTheDeceivedVMsPart(t *testing.T) {
	check := func(wrong uint32, wants []uint32) string {
		members := vmsOf("a", 6)
		for i := range members {
			members[i].Flows = []FlowDemand{demandOf(fmt.Sprint(i), 100, wants[i])}
		}
		deceived := append([]Member(nil), members...)
		deceived[3].Flows = []FlowDemand{demandOf("3", 10000, wrong)}
		places := enginesOf(6, 8)
		sum := claims(members, func(m Member) []Member {
			if m.VM == "vm-a0" {
				return deceived
			}
			return members
		}, places)
		part := apportion("vm-a0", testPool, deceived, places)
		for _, p := range places {
			if sum[p.upstream] > p.slots+part[p.upstream] {
				return fmt.Sprintf("%s claimed %d times", p.upstream, sum[p.upstream])
			}
		}
		return ""
	}
	p := properties()
	p.Property("bounded overcommit", prop.ForAll(check, gen.UInt32Range(0, 4096), gen.SliceOfN(6, gen.UInt32Range(0, 60))))
	p.TestingRun(t)
}

// A failure domain has lost all engines of a model, or all of its VMs. Its VMs
// must find places elsewhere, and its engines other VMs.
func TestFailureDomainsStandInForEachOther(t *testing.T) {
	members := append(vmsOf("a", 3), vmsOf("b", 3)...)
	list := func(domains ...string) []platform.Upstream {
		var all []platform.Upstream
		for _, domain := range domains {
			all = append(all, engineOf("e-"+domain, domain, 12))
		}
		return all
	}
	room := func(vm, domain string, members []Member, list []platform.Upstream) (n int) {
		d := division{list: list, limits: make(parts), borrowed: make(map[string]bool)}
		d.shared(vm, domain, testPool, members)
		for id, limit := range d.limits {
			if !d.borrowed[id] {
				n += limit
			}
		}
		return n
	}
	if n := room("vm-b0", "b", members, list("a", "b")); n != 4 {
		t.Errorf("a VM has %d of its failure domain's 12 slots", n)
	}
	if n := room("vm-b0", "b", members, list("a")); n != 2 {
		t.Errorf("a VM whose engines are gone has %d of the other 12 slots", n)
	}
	if n := room("vm-a0", "a", members[:3], list("a", "b")); n != 8 {
		t.Errorf("with the other VMs gone a VM has %d of 24 slots", n)
	}
}

// More VMs share a pool than it has slots. Each must still get its callers'
// requests through, one at a time.
func TestEveryVMHasAtLeastOnePlace(t *testing.T) {
	members := vmsOf("a", 6)
	for _, m := range members {
		d := division{list: []platform.Upstream{engineOf("e1", "a", 2)}, limits: make(parts), borrowed: make(map[string]bool)}
		d.shared(m.VM, "a", testPool, members)
		if d.limits["e1"] < 1 || d.borrowed["e1"] {
			t.Errorf("%s has no place", m.VM)
		}
	}
}

// Guards against a VM whose parts all lie on reclaimable engines: work that may not run
// there, or not yet by its account's share, would wait for ever beside idle engines.
func TestEveryVMHasAPlaceThatTakesAllWork(t *testing.T) {
	cheap := func(id string) platform.Upstream {
		u := engineOf(id, "b", 8)
		u.Reclaimable = true
		return u
	}
	list := []platform.Upstream{cheap("cheap-1"), cheap("cheap-2"), engineOf("paid", "b", 8)}
	members := vmsOf("b", 2)
	for _, m := range members {
		d := division{list: list, limits: make(parts), borrowed: make(map[string]bool)}
		d.shared(m.VM, "b", testPool, members)
		own := map[bool]int{}
		for _, u := range list {
			if !d.borrowed[u.ID] {
				own[u.Reclaimable] += d.limits[u.ID]
			}
		}
		if own[false] != 4 || own[true] != 8 {
			t.Errorf("%s has %d slots that take all work and %d reclaimable ones", m.VM, own[false], own[true])
		}
	}
}

// Guards against a request that waits for a borrowed place when nobody asks the engine for
// its load any more: it would never be seen to have room.
func TestEnginesAreWatchedWhileWorkWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 1))
		g, err := vm.Acquire(ctx, engineWork("fields", 10))
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = vm.Acquire(ctx, engineWork("fields", 10)) }()
		time.Sleep(watchTime + time.Second)
		if len(vm.Watched()) != 1 {
			t.Error("nobody watches the engine for which a request waits")
		}
		g.Done(Result{Cost: 1})
		time.Sleep(watchTime + time.Second)
		if len(vm.Watched()) != 0 {
			t.Error("engines are watched for nothing")
		}
	})
}

// One engine is idle and hundreds of VMs see it. Were it lent to all, they would
// overrun it before its next report; it must be lent to a few.
func TestIdleEngineIsLentToAFewVMs(t *testing.T) {
	members := vmsOf("a", 300)
	for i := range 20 {
		id := fmt.Sprint("e", i)
		borrowers := 0
		for _, m := range members {
			if lends(id, m.VM, members, 2) {
				borrowers++
			}
		}
		if borrowers != 2 {
			t.Errorf("%s lends to %d VMs", id, borrowers)
		}
	}
}
