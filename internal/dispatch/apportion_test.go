package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dogwoodpond/internal/platformapi"
)

func vmsOf(domain string, n int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{VM: fmt.Sprintf("vm-%s%d", domain, i), FailureDomain: domain, DemandKnown: true})
	}
	return members
}

func enginesWithSlots(n, slots int) []engineSlots {
	var engines []engineSlots
	for i := range n {
		engines = append(engines, engineSlots{upstream: fmt.Sprintf("e%03d", i), slots: slots})
	}
	return engines
}

const testPool = 7

func demandOf(account string, share, slots uint32) FlowDemand {
	return FlowDemand{Pool: testPool, Account: hash32(account), Share: share, Queued: slots}
}

// totalAllocations adds up the allocations that the members compute, each from its own view.
func totalAllocations(members []Member, view func(Member) []Member, engines []engineSlots) allocation {
	sum := make(allocation)
	for _, m := range members {
		for id, n := range apportion(m.VM, testPool, view(m), engines) {
			sum[id] += n
		}
	}
	return sum
}

// Guards against slots that are filled twice because VMs divide them differently:
// requests would wait in the engine, where no shares are known. VMs with the same
// view must claim each slot exactly once.
func TestVMsWithTheSameViewClaimEachSlotOnce(t *testing.T) {
	check := func(vms, engineCount int, demands []uint32) string {
		members := vmsOf("a", vms)
		for i := range members {
			members[i].Flows = []FlowDemand{demandOf(fmt.Sprint(i%5), 100, demands[i])}
		}
		engines := enginesWithSlots(engineCount, 8)
		sum := totalAllocations(members, func(Member) []Member { return members }, engines)
		for _, e := range engines {
			if sum[e.upstream] != e.slots && sum[e.upstream] != 0 {
				return fmt.Sprintf("%s has %d slots, claimed %d times", e.upstream, e.slots, sum[e.upstream])
			}
			if sum[e.upstream] == 0 && vms >= 1 && CellCount(vms) == 1 {
				return fmt.Sprintf("no VM claims %s", e.upstream)
			}
		}
		return ""
	}
	p := properties()
	p.Property("each slot is claimed once", prop.ForAll(check,
		gen.IntRange(1, 8), gen.IntRange(1, 20), gen.SliceOfN(64, gen.UInt32Range(0, 60))))
	p.TestingRun(t)
}

// Guards against a cost per VM that grows with the fleet. With 56 VMs and 103 engines
// in a failure domain every slot must be claimed once, and no VM may need more than a
// few engines.
func TestAllocationsStaySmallInALargeFailureDomain(t *testing.T) {
	members := vmsOf("a", 56)
	engines := enginesWithSlots(103, 8)
	sum := totalAllocations(members, func(Member) []Member { return members }, engines)
	for _, e := range engines {
		if sum[e.upstream] != e.slots {
			t.Errorf("%s has 8 slots, claimed %d times", e.upstream, sum[e.upstream])
		}
	}
	for _, m := range members {
		own := apportion(m.VM, testPool, members, engines)
		if len(own) > 8 {
			t.Errorf("%s has slots on %d engines, want at most 8", m.VM, len(own))
		}
	}
}

// Guards against slots that are divided by VM instead of by account. One account
// floods all three VMs and another of the same share uses only one; division by VM
// would give the first most of the engines.
func TestSharesHoldOverSeveralVMs(t *testing.T) {
	members := vmsOf("a", 3)
	for i := range members {
		members[i].Flows = []FlowDemand{demandOf("flood", 100, 500)}
	}
	members[1].Flows = append(members[1].Flows, demandOf("desk", 100, 500))
	got := make([]int, 3)
	for i, m := range members {
		for _, n := range apportion(m.VM, testPool, members, enginesWithSlots(3, 16)) {
			got[i] += n
		}
	}
	// Each account is entitled to 24 slots; those of flood are spread over all three VMs.
	if got[1] != 32 || got[0] != 8 || got[2] != 8 {
		t.Fatalf("allocations %v of 48 slots, want [8 32 8]", got)
	}
}

// Guards against an account whose whole share counts on a VM where it has one request,
// while another account floods all VMs. That VM would take slots that it can't use
// from the others, and the quotas would jump with each such request.
func TestSmallDemandMovesFewSlots(t *testing.T) {
	members := vmsOf("a", 3)
	for i := range members {
		members[i].Flows = []FlowDemand{demandOf("flood", 100, 500)}
	}
	members[1].Flows = append(members[1].Flows, demandOf("desk", 1000, 1))
	total := 0
	for _, n := range apportion("vm-a1", testPool, members, enginesWithSlots(3, 16)) {
		total += n
	}
	if total < 16 || total > 17 {
		t.Fatalf("the VM has %d of 48 slots, want 16 or 17", total)
	}
}

// Guards against slots reserved for idle VMs, which would stay empty while requests
// wait on the only busy VM.
func TestQuotasOfIdleVMsAreUsedByOthers(t *testing.T) {
	members := vmsOf("a", 3)
	members[0].Flows = []FlowDemand{demandOf("fields", 100, 100)}
	total := 0
	for _, n := range apportion("vm-a0", testPool, members, enginesWithSlots(3, 8)) {
		total += n
	}
	if total != 22 {
		t.Fatalf("the busy VM may use %d of 24 slots, want all but one for each idle VM", total)
	}
}

// Guards against slots that stay assigned to a dead VM once it is no longer a member.
func TestQuotaOfADeadVMGoesToTheOthers(t *testing.T) {
	members := vmsOf("a", 3)
	for i := range members {
		members[i].Flows = []FlowDemand{demandOf("fields", 100, 100)}
	}
	alive := members[:2]
	sum := totalAllocations(alive, func(Member) []Member { return alive }, enginesWithSlots(3, 8))
	total := 0
	for _, n := range sum {
		total += n
	}
	if total != 24 {
		t.Fatalf("the two live VMs use %d of 24 slots", total)
	}
}

// Guards against a wrong digest that makes one VM divide the slots differently from
// the others. The number of slots claimed twice may be at most that VM's quota.
func TestWrongDigestOvercommitsAtMostOneVMsQuota(t *testing.T) {
	check := func(wrong uint32, demands []uint32) string {
		members := vmsOf("a", 6)
		for i := range members {
			members[i].Flows = []FlowDemand{demandOf(fmt.Sprint(i), 100, demands[i])}
		}
		wrongView := append([]Member(nil), members...)
		wrongView[3].Flows = []FlowDemand{demandOf("3", 10000, wrong)}
		engines := enginesWithSlots(6, 8)
		sum := totalAllocations(members, func(m Member) []Member {
			if m.VM == "vm-a0" {
				return wrongView
			}
			return members
		}, engines)
		ownAllocation := apportion("vm-a0", testPool, wrongView, engines)
		for _, e := range engines {
			if sum[e.upstream] > e.slots+ownAllocation[e.upstream] {
				return fmt.Sprintf("%s has 8 slots, claimed %d times", e.upstream, sum[e.upstream])
			}
		}
		return ""
	}
	p := properties()
	p.Property("bounded overcommit", prop.ForAll(check, gen.UInt32Range(0, 4096), gen.SliceOfN(6, gen.UInt32Range(0, 60))))
	p.TestingRun(t)
}

// Guards against a failure domain that has lost all engines of a model, or all of its
// VMs: its VMs must get slots elsewhere, and its engines must be used by other VMs.
func TestFailureDomainsWithoutEnginesOrVMsShareWithOthers(t *testing.T) {
	members := append(vmsOf("a", 3), vmsOf("b", 3)...)
	list := func(domains ...string) []platformapi.Upstream {
		var all []platformapi.Upstream
		for _, domain := range domains {
			all = append(all, engineOf("e-"+domain, domain, 12))
		}
		return all
	}
	ownSlots := func(vm, domain string, members []Member, list []platformapi.Upstream) (n int) {
		a := assignment{upstreams: list, limits: make(allocation), borrowed: make(map[string]bool)}
		a.assignShared(vm, domain, testPool, members)
		for id, limit := range a.limits {
			if !a.borrowed[id] {
				n += limit
			}
		}
		return n
	}
	if n := ownSlots("vm-b0", "b", members, list("a", "b")); n != 4 {
		t.Errorf("a VM has %d of its failure domain's 12 slots, want 4", n)
	}
	if n := ownSlots("vm-b0", "b", members, list("a")); n != 2 {
		t.Errorf("a VM of a failure domain without engines has %d of the other 12 slots, want 2", n)
	}
	if n := ownSlots("vm-a0", "a", members[:3], list("a", "b")); n != 8 {
		t.Errorf("without VMs in the other failure domain, a VM has %d of 24 slots, want 8", n)
	}
}

// Guards against VMs without a slot when more VMs share a pool than it has slots.
// Each VM must still serve its callers' requests, one at a time.
func TestEveryVMHasAtLeastOneSlot(t *testing.T) {
	members := vmsOf("a", 6)
	for _, m := range members {
		a := assignment{upstreams: []platformapi.Upstream{engineOf("e1", "a", 2)}, limits: make(allocation), borrowed: make(map[string]bool)}
		a.assignShared(m.VM, "a", testPool, members)
		if a.limits["e1"] < 1 || a.borrowed["e1"] {
			t.Errorf("%s has no slot", m.VM)
		}
	}
}

// Guards against a VM with quotas on reclaimable engines only: work that may not run
// there, or not yet by its account's share, would wait forever while engines are idle.
func TestEveryVMHasASlotThatTakesAllWork(t *testing.T) {
	reclaimable := func(id string) platformapi.Upstream {
		u := engineOf(id, "b", 8)
		u.Reclaimable = true
		return u
	}
	list := []platformapi.Upstream{reclaimable("cheap-1"), reclaimable("cheap-2"), engineOf("paid", "b", 8)}
	members := vmsOf("b", 2)
	for _, m := range members {
		a := assignment{upstreams: list, limits: make(allocation), borrowed: make(map[string]bool)}
		a.assignShared(m.VM, "b", testPool, members)
		own := map[bool]int{}
		for _, u := range list {
			if !a.borrowed[u.ID] {
				own[u.Reclaimable] += a.limits[u.ID]
			}
		}
		if own[false] != 4 || own[true] != 8 {
			t.Errorf("%s has %d slots that take all work and %d reclaimable ones, want 4 and 8", m.VM, own[false], own[true])
		}
	}
}

// Guards against a request that waits for a borrowed slot after the load polls of the
// engine have stopped: the engine would never be seen to have free slots.
func TestEnginesArePolledWhileRequestsAreQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 1))
		g, err := vm.Acquire(ctx, engineWork("fields", 10))
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = vm.Acquire(ctx, engineWork("fields", 10)) }()
		time.Sleep(idlePollTimeout + time.Second)
		if len(vm.PolledEngines()) != 1 {
			t.Error("the engine is not polled while a request is queued for it")
		}
		g.Done(Result{Cost: 1})
		time.Sleep(idlePollTimeout + time.Second)
		if len(vm.PolledEngines()) != 0 {
			t.Error("engines are still polled without any request")
		}
	})
}

// Guards against hundreds of VMs that borrow from the same idle engine and overload it
// before its next report. Only a few may borrow.
func TestFewVMsBorrowFromAnIdleEngine(t *testing.T) {
	members := vmsOf("a", 300)
	for i := range 20 {
		id := fmt.Sprint("e", i)
		borrowers := 0
		for _, m := range members {
			if isTopRanked(id, m.VM, members, 2) {
				borrowers++
			}
		}
		if borrowers != 2 {
			t.Errorf("%s: %d VMs may borrow slots, want 2", id, borrowers)
		}
	}
}
