package route

import (
	"slices"
	"strconv"
	"testing"

	"dogwoodpond/internal/fault"
)

func snapshot(version int64) *Snapshot {
	routes := []*Route{
		{Name: "all", Host: "desk.example", Prefix: "/a/", Split: []Share{{Service: "s", Weight: 1}}},
		{Name: "inner", Host: "desk.example", Prefix: "/a/b/", Split: []Share{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}},
		{Name: "open", Host: "desk.example", Prefix: "/open/", Anonymous: true},
	}
	accounts := []Account{{Name: "fields", Keys: []string{"k1", "k2"}}}
	return NewSnapshot(version, routes, nil, Limits{}, accounts, true)
}

func TestLongestPrefixWins(t *testing.T) {
	s := snapshot(1)
	for path, want := range map[string]string{"/a/x": "all", "/a/b/x": "inner", "/a/bc": "all", "/open/": "open"} {
		r, err := s.Match("DESK.example", path)
		if err != nil || r.Name != want {
			t.Errorf("Match(%q) = %v, %v; want %s", path, r, err, want)
		}
	}
	if _, err := s.Match("desk.example", "/b/"); !fault.Is[*fault.RouteUnknown](err) {
		t.Errorf("a path without a route: %v", err)
	}
	if _, err := s.Match("other.example", "/a/"); !fault.Is[*fault.RouteUnknown](err) {
		t.Errorf("another host: %v", err)
	}
}

func TestAuthenticate(t *testing.T) {
	s := snapshot(1)
	closed, open := s.Routes()[0], s.Routes()[2]
	if account, err := s.Authenticate(closed, "k2"); err != nil || account != "fields" {
		t.Errorf("a good key: %q, %v", account, err)
	}
	if _, err := s.Authenticate(closed, ""); !fault.Is[*fault.KeyMissing](err) {
		t.Errorf("no key: %v", err)
	}
	if _, err := s.Authenticate(closed, "k3"); !fault.Is[*fault.KeyInvalid](err) {
		t.Errorf("an unknown key: %v", err)
	}
	if account, err := s.Authenticate(open, "k3"); err != nil || account != "" {
		t.Errorf("an anonymous route: %q, %v", account, err)
	}
}

// Guards against an old version of the configuration that replaces a newer one and makes
// withdrawn keys valid again. It comes from a late answer of the store, or from a peer with
// an old version.
func TestViewRejectsOlderVersions(t *testing.T) {
	v := NewView()
	if !v.StoreIfNewer(snapshot(5)) || v.StoreIfNewer(snapshot(4)) || v.StoreIfNewer(snapshot(5)) {
		t.Error("an older or equal version was accepted, or the first one was not")
	}
	if v.Load().Version != 5 {
		t.Errorf("the current version is %d, want 5", v.Load().Version)
	}
}

// Guards against attempts of one request that are sent to different services, and against a
// split that differs from the weights over many requests.
func TestSplitIsFixedPerRequest(t *testing.T) {
	r := snapshot(1).Routes()[1]
	counts := map[string]int{}
	for i := range 4000 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		service := r.Service(id)
		if r.Service(id) != service {
			t.Fatal("the service of a request changes")
		}
		counts[service]++
	}
	if counts["s"] < 2700 || counts["s"] > 3300 {
		t.Errorf("of 4000 requests, 3 of 4 should be routed to s: %v", counts)
	}
}

// Guards against a panic in the choice of a service by weights that no operator means.
func TestServiceOfExtremeWeights(t *testing.T) {
	for _, c := range []struct {
		weights []int
		want    []string
	}{
		{weights: []int{1 << 32}, want: []string{"0"}},
		{weights: []int{1 << 31, 1 << 31}, want: []string{"0", "1"}},
		{weights: []int{-1, 1}, want: []string{"1"}},
		{weights: []int{-1, 0}, want: []string{""}},
	} {
		r := &Route{}
		for i, weight := range c.weights {
			r.Split = append(r.Split, Share{Service: strconv.Itoa(i), Weight: weight})
		}
		for id := range 100 {
			if got := r.Service(strconv.Itoa(id)); !slices.Contains(c.want, got) {
				t.Errorf("weights %v: service %q, want one of %q", c.weights, got, c.want)
			}
		}
	}
}
