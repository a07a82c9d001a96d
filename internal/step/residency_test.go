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

// newRegions returns a world with an engine, which bears its domain's name, and a VM for
// each failure domain. Steps must stay in the regions of their route and account.
func newRegions(t *testing.T, byRoute, byAccount route.Residency) *world {
	w := newWorld(t)
	for _, domain := range slices.Concat(north, south) {
		w.list = append(w.list, target.Instance{ID: domain, Service: "lm", Address: domain, FailureDomain: domain, Slots: 4, Versions: map[string]int64{"m": 1}})
		w.domains["vm-"+domain] = domain
	}
	routes := []*route.Route{{Name: "r", Host: "h", Prefix: "/s/", Kind: route.Steps, Split: []route.Share{{Service: "lm", Weight: 1}}, Residency: byRoute}}
	w.configuration = route.NewSnapshot(1, routes, nil, route.Limits{}, []route.Account{{Name: "acc", Residency: byAccount}}, true)
	for _, domain := range slices.Concat(north, south) {
		w.start("vm-" + domain)
	}
	return w
}

// ranAt returns the engines that items reached.
func (w *world) ranAt() []string {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	var all []string
	for _, engines := range w.engines.runs {
		all = append(all, engines...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func outside(used, allowed []string) []string {
	return slices.DeleteFunc(slices.Clone(used), func(domain string) bool { return slices.Contains(allowed, domain) })
}

// Guards against items that run in a region where their route or account may not be, also
// when its engines are full, fail, or lie in the owner's own failure domain.
func TestItemsStayInTheRegionsOfRouteAndAccount(t *testing.T) {
	for _, c := range []struct {
		name               string
		byRoute, byAccount route.Residency
		allowed            []string
	}{
		{"route", route.ResideIn(south), route.Residency{}, south},
		{"account", route.Residency{}, route.ResideIn(south), south},
		{"both bind", route.ResideIn([]string{"n1", "s1", "s2"}), route.ResideIn(south), []string{"s1", "s2"}},
		{"neither", route.Residency{}, route.Residency{}, slices.Concat(north, south)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newRegions(t, c.byRoute, c.byAccount)
				w.engines.behave["s1"] = func(_ string, n int) reply {
					if n == 1 {
						return reply{}
					}
					return good
				}
				time.Sleep(time.Second)
				submit(t, w.vms["vm-n1"], spec("s"), items(60))
				checkTexts(t, readWhole(t, w.vms["vm-n2"], "s"), 3)
				if wrong := outside(w.ranAt(), c.allowed); len(wrong) > 0 {
					t.Errorf("items ran in %v", wrong)
				}
				if missing := outside(c.allowed, w.ranAt()); len(missing) > 0 {
					t.Errorf("no item ran in %v", missing)
				}
			})
		})
	}
}

// Guards against the items of a step that are read by a VM in a region where they may not
// be, after the owner was lost.
func TestStepIsTakenOverInItsOwnRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRegions(t, route.ResideIn(south), route.Residency{})
		w.engines.behave[""] = paced(20, 100*time.Millisecond)
		time.Sleep(time.Second)
		first := w.vms["vm-s2"]
		submit(t, first, spec("s"), items(8))
		time.Sleep(500 * time.Millisecond)
		w.crash(first)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for _, domain := range north {
				if w.vms["vm-"+domain].runOf("s") != nil {
					t.Fatalf("the VM in %s runs the step", domain)
				}
			}
		}
		if w.vms["vm-s1"].runOf("s") == nil {
			t.Error("nobody runs the step 2 s after the loss of its owner")
		}
		checkTexts(t, readWhole(t, w.vms["vm-n1"], "s"), 20)
	})
}

// Guards against a cold engine that nobody may use, because the owner that ranks first for
// it owns steps that may not go there.
func TestOwnerHasNoTurnWhereItsStepMayNotGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRegions(t, route.ResideIn(south), route.Residency{})
		a := w.vms["vm-s1"]
		a.note(record{State: State{Spec: spec("s"), Owner: a.VM}, version: 1})
		// The call for changes that is under way ends, since no row was written.
		time.Sleep(ownersSettle + watchWait)
		for _, e := range a.Roster.Service("lm") {
			in := slices.Contains(south, e.Info().FailureDomain)
			if first, _ := a.FirstSender(e); first != in {
				t.Errorf("the only owner has the turn at %s: %v", e.Info().ID, first)
			}
		}
	})
}
