package dispatch

import (
	"slices"
	"testing"

	"dogwoodpond/internal/platformapi"
)

// names returns the IDs of engines.
func names(list []platformapi.Upstream) []string {
	var ids []string
	for _, u := range list {
		ids = append(ids, u.ID)
	}
	return ids
}

func memberReporting(vm, domain string, engines ...string) Member {
	m := Member{VM: vm, FailureDomain: domain, DemandKnown: true}
	for _, e := range engines {
		m.Unreachable = append(m.Unreachable, engineHash(e))
	}
	return m
}

// Guards against quotas on dead engines. The platform stops two of three engines but
// lists them for a while longer; requests of the VM with quotas there would wait many
// seconds for engines that never answer, while the third engine is idle.
func TestUnreachableEnginesAreNotShared(t *testing.T) {
	list := []platformapi.Upstream{engineOf("e1", "b", 8), engineOf("e2", "b", 8), engineOf("e3", "b", 8)}
	members := []Member{memberReporting("vm-b1", "b", "e2", "e3"), memberReporting("vm-b2", "b", "e2", "e3")}
	if got := names(reachable(list, members)); !slices.Equal(got, []string{"e1"}) {
		t.Errorf("%v are shared, want e1", got)
	}
	for _, vm := range []string{"vm-b1", "vm-b2"} {
		a := assignment{upstreams: list, limits: make(allocation), borrowed: make(map[string]bool)}
		a.assignShared(vm, "b", berryPool.hash(), members)
		if a.limits["e1"] == 0 {
			t.Errorf("%s has no slots of the engine that answers: %v", vm, a.limits)
		}
		if a.limits["e2"] > 1 || a.limits["e3"] > 1 {
			t.Errorf("%s still has a quota on unreachable engines: %v", vm, a.limits)
		}
	}
}

// Guards against a fault that takes engines away from VMs that reach them: one VM's
// network fails, a digest is wrong, or two failure domains are cut off from each other.
// If all engines of a failure domain are reported, all of them must stay.
func TestSingleVMCannotExcludeEngines(t *testing.T) {
	list := []platformapi.Upstream{engineOf("e1", "b", 8), engineOf("e2", "b", 8)}
	cases := []struct {
		name    string
		members []Member
	}{
		{"one VM reports an engine", []Member{memberReporting("vm-b1", "b", "e1"), memberReporting("vm-b2", "b")}},
		{"one VM reports an engine twice", []Member{memberReporting("vm-b1", "b", "e1", "e1"), memberReporting("vm-b2", "b")}},
		{"VMs of another failure domain report an engine", []Member{
			memberReporting("vm-a1", "a", "e1"), memberReporting("vm-a2", "a", "e1"), memberReporting("vm-b1", "b"), memberReporting("vm-b2", "b"),
		}},
		{"all engines are reported", []Member{memberReporting("vm-b1", "b", "e1", "e2"), memberReporting("vm-b2", "b", "e1", "e2")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := reachable(list, c.members); len(got) != len(list) {
				t.Errorf("only %v are shared, want all engines", names(got))
			}
		})
	}
}

// Guards against an engine that is excluded forever: while its slots are not divided,
// some VMs must still poll its load.
func TestUnreachableEngineIsStillPolled(t *testing.T) {
	list := []platformapi.Upstream{engineOf("e1", "b", 8), engineOf("e2", "b", 8)}
	var members []Member
	for _, vm := range []string{"vm-b1", "vm-b2", "vm-b3", "vm-b4"} {
		members = append(members, memberReporting(vm, "b", "e2"))
	}
	pollers := 0
	for _, m := range members {
		if monitoredEngines(m.VM, "b", list, members)["e2"] {
			pollers++
		}
	}
	if pollers != unreachableQuorum {
		t.Errorf("%d VMs poll the engine, want %d", pollers, unreachableQuorum)
	}
}
