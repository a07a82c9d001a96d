package dispatch

import (
	"slices"
	"testing"

	"dogwoodpond/internal/platform"
)

// names returns the IDs of engines.
func names(list []platform.Upstream) []string {
	var ids []string
	for _, u := range list {
		ids = append(ids, u.ID)
	}
	return ids
}

func saying(vm, domain string, engines ...string) Member {
	m := Member{VM: vm, FailureDomain: domain, Heard: true}
	for _, e := range engines {
		m.Unreachable = append(m.Unreachable, engineID(e))
	}
	return m
}

// The platform takes two of three engines back and lists them for a while
// longer. The VM whose part they were would wait for engines that never answer,
// while the third is idle; its callers would notice waits of many seconds.
func TestPartsOfGoneEnginesAreSharedAnew(t *testing.T) {
	list := []platform.Upstream{engineOf("e1", "b", 8), engineOf("e2", "b", 8), engineOf("e3", "b", 8)}
	members := []Member{saying("vm-b1", "b", "e2", "e3"), saying("vm-b2", "b", "e2", "e3")}
	if got := names(reachable(list, members)); !slices.Equal(got, []string{"e1"}) {
		t.Errorf("%v are shared, want e1", got)
	}
	for _, vm := range []string{"vm-b1", "vm-b2"} {
		d := division{list: list, limits: make(parts), borrowed: make(map[string]bool)}
		d.shared(vm, "b", berryPool.hash(), members)
		if d.limits["e1"] == 0 {
			t.Errorf("%s has no part of the engine that answers: %v", vm, d.limits)
		}
		if d.limits["e2"] > 1 || d.limits["e3"] > 1 {
			t.Errorf("%s still has parts of the engines that are gone: %v", vm, d.limits)
		}
	}
}

// A VM's own network breaks, a digest is wrong, or two failure domains are cut
// off from each other. Engines that the others reach must stay theirs, or one
// VM's trouble would stop the work of all.
func TestOneVMCanNotTakeEnginesAway(t *testing.T) {
	list := []platform.Upstream{engineOf("e1", "b", 8), engineOf("e2", "b", 8)}
	cases := []struct {
		name    string
		members []Member
	}{
		{"one VM says so", []Member{saying("vm-b1", "b", "e1"), saying("vm-b2", "b")}},
		{"one VM says so twice", []Member{saying("vm-b1", "b", "e1", "e1"), saying("vm-b2", "b")}},
		{"VMs of another failure domain say so", []Member{
			saying("vm-a1", "a", "e1"), saying("vm-a2", "a", "e1"), saying("vm-b1", "b"), saying("vm-b2", "b"),
		}},
		{"all engines seem gone", []Member{saying("vm-b1", "b", "e1", "e2"), saying("vm-b2", "b", "e1", "e2")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := reachable(list, c.members); len(got) != len(list) {
				t.Errorf("only %v are shared", names(got))
			}
		})
	}
}

// An engine that is not shared must still be asked for its load, or it would
// never come back.
func TestGoneEngineIsStillAsked(t *testing.T) {
	list := []platform.Upstream{engineOf("e1", "b", 8), engineOf("e2", "b", 8)}
	var members []Member
	for _, vm := range []string{"vm-b1", "vm-b2", "vm-b3", "vm-b4"} {
		members = append(members, saying(vm, "b", "e2"))
	}
	keepers := 0
	for _, m := range members {
		if keptBy(m.VM, "b", list, members)["e2"] {
			keepers++
		}
	}
	if keepers != votesUntilGone {
		t.Errorf("%d VMs ask the engine, want %d", keepers, votesUntilGone)
	}
}
