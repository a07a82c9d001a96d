package step

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// Two regions of three failure domains each.
var (
	north = []string{"n1", "n2", "n3"}
	south = []string{"s1", "s2", "s3"}
)

// newRegionCluster returns a cluster with one VM and one engine in each failure domain; the
// engine has the name of its domain. Steps are restricted to the residencies of their route
// and account.
func newRegionCluster(t *testing.T, byRoute, byAccount route.Residency) *cluster {
	cl := newCluster(t)
	for _, domain := range slices.Concat(north, south) {
		cl.instances = append(cl.instances, target.Instance{ID: domain, Service: "lm", Address: domain, FailureDomain: domain, Slots: 4, Versions: map[string]int64{"m": 1}})
		cl.domains["vm-"+domain] = domain
	}
	routes := []*route.Route{{Name: "r", Host: "h", Prefix: "/s/", Kind: route.Steps, Split: []route.Share{{Service: "lm", Weight: 1}}, Residency: byRoute}}
	cl.configuration = route.NewSnapshot(1, routes, nil, route.Limits{}, []route.Account{{Name: "acc", Residency: byAccount}}, true)
	for _, domain := range slices.Concat(north, south) {
		cl.start("vm-" + domain)
	}
	return cl
}

// usedEngines returns the engines that received items.
func (cl *cluster) usedEngines() []string {
	cl.engines.mu.Lock()
	defer cl.engines.mu.Unlock()
	var all []string
	for _, engines := range cl.engines.attempts {
		all = append(all, engines...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// domainsOutside returns the used failure domains that are not allowed.
func domainsOutside(used, allowed []string) []string {
	return slices.DeleteFunc(slices.Clone(used), func(domain string) bool { return slices.Contains(allowed, domain) })
}

// Guards against items that run in a region that the residency of their route or account
// excludes, also when the allowed engines are full or fail, or when an excluded engine is in
// the owner's own failure domain.
func TestItemsStayInResidencyOfRouteAndAccount(t *testing.T) {
	for _, c := range []struct {
		name               string
		byRoute, byAccount route.Residency
		allowed            []string
	}{
		{"route", route.NewResidency(south), route.Residency{}, south},
		{"account", route.Residency{}, route.NewResidency(south), south},
		{"route and account", route.NewResidency([]string{"n1", "s1", "s2"}), route.NewResidency(south), []string{"s1", "s2"}},
		{"neither", route.Residency{}, route.Residency{}, slices.Concat(north, south)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newRegionCluster(t, c.byRoute, c.byAccount)
				cl.engines.behave["s1"] = func(_ string, n int) reply {
					if n == 1 {
						return reply{}
					}
					return goodReply
				}
				time.Sleep(time.Second)
				submit(t, cl.vms["vm-n1"], spec("s"), items(60))
				checkTexts(t, readUntilComplete(t, cl.vms["vm-n2"], "s"), 3)
				if wrong := domainsOutside(cl.usedEngines(), c.allowed); len(wrong) > 0 {
					t.Errorf("items ran in the excluded domains %v", wrong)
				}
				if missing := domainsOutside(c.allowed, cl.usedEngines()); len(missing) > 0 {
					t.Errorf("no item ran in the allowed domains %v", missing)
				}
			})
		})
	}
}

// Guards against a takeover after the loss of the owner by a VM outside the step's
// residency, which would read the items there.
func TestTakeoverStaysInResidency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newRegionCluster(t, route.NewResidency(south), route.Residency{})
		cl.engines.behave[""] = pacedBehaviour(20, 100*time.Millisecond)
		time.Sleep(time.Second)
		owner := cl.vms["vm-s2"]
		submit(t, owner, spec("s"), items(8))
		time.Sleep(500 * time.Millisecond)
		cl.crash(owner)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for _, domain := range north {
				if cl.vms["vm-"+domain].runOf("s") != nil {
					t.Fatalf("the VM in %s runs the step", domain)
				}
			}
		}
		if cl.vms["vm-s1"].runOf("s") == nil {
			t.Error("vm-s1 does not run the step 2 s after the loss of its owner")
		}
		checkTexts(t, readUntilComplete(t, cl.vms["vm-n1"], "s"), 20)
	})
}

// Guards against a cold engine that no VM may use, because the owner that ranks first for
// it owns only steps whose residency excludes the engine.
func TestFirstSenderRespectsResidency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newRegionCluster(t, route.NewResidency(south), route.Residency{})
		a := cl.vms["vm-s1"]
		a.recordState(stateRecord{State: State{Spec: spec("s"), Owner: a.VM}, version: 1})
		// The pending watch call ends only by its timeout, since no row was written.
		time.Sleep(ownerGracePeriod + watchTimeout)
		for _, e := range a.Roster.Upstreams("lm") {
			allowed := slices.Contains(south, e.Info().FailureDomain)
			if first, _ := a.IsFirstSender(e); first != allowed {
				t.Errorf("the only owner is the first sender of %s: %v", e.Info().ID, first)
			}
		}
	})
}
