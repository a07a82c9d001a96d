package configcheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"dogwoodpond/internal/route"
)

func version(n int64, change func(routes []*route.Route, services map[string]*route.Service, limits *route.Limits, accounts []route.Account)) Configuration {
	routes := []*route.Route{
		{Name: "steps", Host: "h", Prefix: "/s/", Kind: route.Steps, RunObjective: time.Second, Attempts: 3, Split: []route.Share{{Service: "lm", Weight: 1}}},
		{Name: "desk", Host: "h", Prefix: "/d/", Kind: route.Idempotent, Attempts: 2, Split: []route.Share{{Service: "lm", Weight: 1}}},
		{Name: "desk", Host: "i", Prefix: "/d/", Kind: route.Idempotent, Attempts: 2, Split: []route.Share{{Service: "lm", Weight: 1}}},
	}
	services := map[string]*route.Service{"lm": {Name: "lm"}}
	limits := route.Limits{BodyBytes: 100}
	accounts := []route.Account{{Name: "acc", Keys: []string{"secret-1", "secret-2"}}, {}}
	change(routes, services, &limits, accounts)
	return Configuration{Snapshot: route.NewSnapshot(n, routes, services, limits, accounts, true), WireNames: map[string]string{"accounts": "tenants"}}
}

func unchanged([]*route.Route, map[string]*route.Service, *route.Limits, []route.Account) {}

// Guards against a difference that is missing, has the wrong entry, or shows a key.
func TestDiffNamesEachField(t *testing.T) {
	before := version(4, unchanged)
	after := version(5, func(routes []*route.Route, services map[string]*route.Service, limits *route.Limits, accounts []route.Account) {
		routes[0].RunObjective, routes[1].Attempts, routes[2].Name = 2*time.Second, 4, "new"
		services["lm"].Engine, services["lm"].Scale = &route.Engine{Slots: 8}, &route.Scale{Prices: map[string]float64{"x": 1.5}}
		services["spare"] = &route.Service{Name: "spare"}
		limits.BodyBytes = 200
		accounts[0].Keys = []string{"secret-2", "secret-3", "secret-4"}
		accounts[0].Residency = route.NewResidency([]string{"north"})
	})
	differences := Diff(before, after)
	var got []string
	for _, d := range differences {
		got = append(got, strings.Join([]string{d.Change, d.Path, d.Before, d.After, d.Effect}, "|"))
	}
	want := []string{
		"removed|routes[desk]#2|desk||at once", "removed|routes[desk]#2.host|i||at once", "removed|routes[desk]#2.prefix|/d/||at once",
		"removed|routes[desk]#2.kind|idempotent||at once", "removed|routes[desk]#2.split|lm:1||at once", "removed|routes[desk]#2.attempts|2||at once",
		"changed|version|4|5|at once", "changed|routes[steps].runObjective|1s|2s|new steps", "changed|routes[desk].attempts|2|4|at once",
		"added|routes[new]||new|at once", "added|routes[new].host||i|at once", "added|routes[new].prefix||/d/|at once",
		"added|routes[new].kind||idempotent|at once", "added|routes[new].split||lm:1|at once", "added|routes[new].attempts||2|at once",
		"changed|services[lm].engine||true|at once", "changed|services[lm].slots|0|8|at once", "changed|services[lm].scale||true|at once",
		"changed|services[lm].prices||x:1.5|at once", "added|services[spare]||spare|at once", "changed|limits.bodyBytes|100|200|at once",
		"changed|tenants[acc].keys|2|3 (2 added, 1 removed)|at once", "changed|tenants[acc].residency||[north]|at once",
	}
	if !slices.Equal(got, want) {
		t.Errorf("the differences are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against a changed configuration that VMs ignore because its version is not newer.
func TestVersionMustGrowWithAChange(t *testing.T) {
	inForce := version(4, unchanged)
	changed := func(n int64) Configuration {
		return version(n, func(routes []*route.Route, _ map[string]*route.Service, _ *route.Limits, _ []route.Account) {
			routes[0].Attempts = 1
		})
	}
	for _, c := range []struct {
		next Configuration
		want int
	}{{version(4, unchanged), 0}, {changed(5), 0}, {changed(4), 1}, {version(3, unchanged), 1}} {
		if got := CheckAgainst(c.next, inForce, Diff(inForce, c.next)); len(got) != c.want {
			t.Errorf("version %d has the problems %+v, want %d", c.next.Snapshot.Version, got, c.want)
		}
	}
}
