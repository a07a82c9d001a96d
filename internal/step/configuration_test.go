package step

import (
	"strings"
	"testing"
	"time"

	"dogwoodpond/internal/route"
	"dogwoodpond/internal/scoring"
)

// stepRoutes returns a version of the configuration whose routes lead steps to services, by prefix.
func stepRoutes(version int64, services map[string]string) *route.Snapshot {
	var routes []*route.Route
	for prefix, service := range services {
		routes = append(routes, &route.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: route.Steps, Split: []route.Share{{Service: service, Weight: 1}},
		})
	}
	return route.NewSnapshot(version, routes, nil, route.Limits{}, nil, false)
}

// withScores gives each item a score call.
func withScores(list []Item) []Item {
	for i := range list {
		list[i].Score = &scoring.Call{ID: "score-" + list[i].ID, Host: "h2", Path: "/j/x"}
	}
	return list
}

// Guards against the loss of an accepted step whose owner has an older configuration than the VM that accepted it.
func TestOwnerWaitsForTheConfigurationOfItsStep(t *testing.T) {
	former := stepRoutes(1, map[string]string{"/other/": "lm"})
	added := stepRoutes(2, map[string]string{"/other/": "lm", "/s/": "lm"})
	for _, play := range []struct {
		name          string
		owned, stored *route.Snapshot
		// accepted is the version that the row of the step names.
		accepted int64
		// unreadableFor is how long the owner can't read the configuration.
		unreadableFor time.Duration
		items         []Item
	}{
		{"a new route", former, added, 2, 0, items(8)},
		{"a new route, in a row of an older build", former, added, 0, 0, items(8)},
		{"a new route that can't be read at first", former, added, 2, 2 * time.Second, items(8)},
		{"a new route in such a row that can't be read at first", former, added, 0, 2 * time.Second, items(8)},
		{"no configuration at first", nil, added, 2, 2 * time.Second, items(8)},
		{"a new route of score calls", configuration(1, false), configuration(2, true), 2, time.Second, withScores(items(8))},
		{"another service", stepRoutes(1, map[string]string{"/s/": "judge"}), stepRoutes(2, map[string]string{"/s/": "lm"}), 2, time.Second, items(8)},
	} {
		t.Run(play.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1", "e2")
				cl.configuration, cl.storedConfiguration = stepRoutes(0, nil), play.stored
				if play.owned != nil {
					cl.configuration = play.owned
				}
				readableFrom := time.Now().Add(play.unreadableFor)
				cl.configurationReadable = func(string) bool { return !time.Now().Before(readableFrom) }
				a := cl.start("a")
				s := spec("s")
				s.ConfigurationVersion = play.accepted
				submit(t, a, s, play.items)
				results := readUntilComplete(t, a, "s")
				checkTexts(t, results, goodReply.events)
				for item, engines := range cl.engines.attempts {
					for _, engine := range engines {
						if !strings.HasPrefix(engine, "e") {
							t.Errorf("item %s was sent to %s, under an older configuration", item, engine)
						}
					}
				}
			})
		})
	}
}

// Guards against a step that waits for ever because its owner can't get the configuration under which it was accepted.
func TestOwnerWithoutTheConfigurationHandsItsStepOver(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.storedConfiguration = stepRoutes(2, map[string]string{"/s/": "lm"})
		cl.configurationReadable = func(name string) bool { return name == "c" }
		cl.configuration = stepRoutes(1, nil)
		a := cl.start("a")
		cl.start("b")
		cl.start("c")
		s := spec("s")
		s.ConfigurationVersion = 2
		submit(t, a, s, items(8))
		checkTexts(t, readUntilComplete(t, a, "s"), goodReply.events)
	})
}

// Guards against items of a removed route that wait until their time is up, at an owner that has learned of the step
// or of the removal late.
func TestItemsOfARemovedRouteEndAtOnce(t *testing.T) {
	former := stepRoutes(1, map[string]string{"/s/": "lm"})
	removed := stepRoutes(2, map[string]string{"/other/": "lm"})
	for name, owned := range map[string]*route.Snapshot{"before it owns the step": removed, "while it owns the step": former} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1")
				cl.engines.behave[""] = pacedBehaviour(10, 100*time.Millisecond)
				cl.configuration, cl.storedConfiguration = owned, removed
				a := cl.start("a")
				s := spec("s")
				s.ConfigurationVersion = 1
				submit(t, a, s, items(12))
				time.Sleep(200 * time.Millisecond)
				a.View.StoreIfNewer(removed)
				time.Sleep(1500 * time.Millisecond)
				results, total, err := a.Results(t.Context(), "s", "acc", 0, 0)
				if err != nil || len(results) != total {
					t.Fatalf("%d results of %d items, %v", len(results), total, err)
				}
				abandoned := 0
				for _, r := range results {
					if r.Outcome == Abandoned {
						abandoned++
					}
				}
				if want := 12 - len(cl.engines.attempts); abandoned != want {
					t.Errorf("%d items are abandoned, want the %d that had not begun", abandoned, want)
				}
			})
		})
	}
}
