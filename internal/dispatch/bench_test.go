package dispatch

import (
	"context"
	"fmt"
	"testing"

	"dogwoodpond/internal/platformapi"
)

// targetFleet returns the fleet at the target size: 390 VMs and 720 engines in 7
// failure domains, where each VM has demands of 8 accounts.
func targetFleet() ([]Member, []platformapi.Upstream) {
	var members []Member
	for i := range 390 {
		m := Member{VM: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprint("d", i%7), DemandKnown: true}
		for a := range 8 {
			m.Flows = append(m.Flows, demandOf(fmt.Sprint(a), 100, uint32(a+i%5)))
		}
		members = append(members, m)
	}
	var list []platformapi.Upstream
	for i := range 720 {
		list = append(list, engineOf(fmt.Sprintf("e%03d", i), fmt.Sprint("d", i%7), 8))
	}
	return members, list
}

// Measures one recomputation of an assignment, which a VM does for each pool once per
// assignmentTTL and after each change of the list.
func BenchmarkAssignmentAtTargetSize(b *testing.B) {
	members, list := targetFleet()
	d := assignment{upstreams: list, limits: make(allocation), borrowed: make(map[string]bool)}
	for b.Loop() {
		clear(d.limits)
		clear(d.borrowed)
		d.assignShared("vm-000", "d0", testPool, members)
	}
}

// Measures the recomputation after each change of the lists.
func BenchmarkBorrowableEnginesAtTargetSize(b *testing.B) {
	members, list := targetFleet()
	for b.Loop() {
		borrowableEngines("vm-000", list, members)
	}
}

// Measures one Acquire and Done.
func BenchmarkAcquireAtTargetSize(b *testing.B) {
	members, list := targetFleet()
	vm := newTestVM(b.Context(), list...)
	vm.config.VM, vm.config.FailureDomain = "vm-000", "d0"
	vm.config.Members = func() []Member { return members }
	work := engineWork("fields", 100)
	for b.Loop() {
		g, err := vm.Acquire(context.Background(), work)
		if err != nil {
			b.Fatal(err)
		}
		g.Done(Result{Cost: 50})
	}
}
