package dispatch

import (
	"context"
	"fmt"
	"testing"

	"dogwoodpond/internal/platform"
)

// targetFleet is the fleet at the target size: 390 VMs and 720 engines in 7
// failure domains, with the demands of 8 accounts known of each cell mate.
func targetFleet() ([]Member, []platform.Upstream) {
	var members []Member
	for i := range 390 {
		m := Member{VM: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprint("d", i%7), Heard: true}
		for a := range 8 {
			m.Flows = append(m.Flows, demandOf(fmt.Sprint(a), 100, uint32(a+i%5)))
		}
		members = append(members, m)
	}
	var list []platform.Upstream
	for i := range 720 {
		list = append(list, engineOf(fmt.Sprintf("e%03d", i), fmt.Sprint("d", i%7), 8))
	}
	return members, list
}

// BenchmarkDivisionAtTargetSize is the work of one division, which a VM does at
// most ten times a second for each pool.
func BenchmarkDivisionAtTargetSize(b *testing.B) {
	members, list := targetFleet()
	d := division{list: list, limits: make(parts), borrowed: make(map[string]bool)}
	for b.Loop() {
		clear(d.limits)
		clear(d.borrowed)
		d.shared("vm-000", "d0", testPool, members)
	}
}

// BenchmarkLendingAtTargetSize is the work after each change of the lists.
func BenchmarkLendingAtTargetSize(b *testing.B) {
	members, list := targetFleet()
	for b.Loop() {
		lendingTo("vm-000", list, members)
	}
}

// BenchmarkAcquireAtTargetSize is the way of one request through the dispatcher.
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
