package configcheck

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"dogwoodpond/internal/route"
)

func (k *checker) checkRoutes() {
	routes := k.Snapshot.Routes()
	k.require(len(routes) > 0, Warning, k.path("routes"), "", "at least one route; without routes every request is refused")
	type match struct{ host, prefix string }
	firstMatch, firstName := map[match]int{}, map[string]int{}
	for i, r := range routes {
		at := func(field string) string { return k.path("routes", i, field) }
		k.require(r.Host != "" && !strings.Contains(r.Host, ":"), Error, at("host"), r.Host, "a host name without a port; no request matches another one")
		k.require(r.Prefix == "" || r.Prefix[0] == '/', Error, at("prefix"), r.Prefix, `a path that begins with "/"; no request matches another one`)
		key := match{strings.ToLower(r.Host), r.Prefix}
		if first, ok := firstMatch[key]; ok {
			k.require(false, Error, at("prefix"), r.Prefix, "a prefix that no other route of the host has; all requests match "+k.path("routes", first))
		} else {
			firstMatch[key] = i
		}
		if first, ok := firstName[r.Name]; ok {
			k.require(false, Warning, at("name"), r.Name, "a name of its own; events and logs can't tell the route from "+k.path("routes", first))
		} else {
			firstName[r.Name] = i
		}
		k.checkRouteTimes(r, at)
		k.checkSplit(i, r)
		k.require(r.Priority >= 0, Warning, at("priority"), strconv.Itoa(r.Priority), "0 (the highest) or greater")
	}
}

func (k *checker) checkRouteTimes(r *route.Route, at func(field string) string) {
	for _, f := range []struct {
		name  string
		value time.Duration
	}{{"timeout", r.Timeout}, {"objective", r.Objective}, {"runObjective", r.RunObjective}, {"abandonAfter", r.AbandonAfter}} {
		k.require(f.value >= 0, Warning, at(f.name), f.value.String(), "0 or greater; a negative time is served as if it were absent")
	}
	if r.Kind == route.Steps {
		k.require(r.AbandonAfter <= 0 || r.RunObjective <= r.AbandonAfter, Warning, at("runObjective"), r.RunObjective.String(),
			fmt.Sprintf("at most %s, after which items are abandoned (%s)", r.AbandonAfter, k.wireName("abandonAfter")))
		return
	}
	if r.Timeout <= 0 || r.Objective <= 0 {
		return
	}
	if r.Objective > r.Timeout {
		k.require(false, Warning, at("objective"), r.Objective.String(), fmt.Sprintf("at most the timeout, %s", r.Timeout))
		return
	}
	// An attempt is expected to take up to the objective, so later attempts would start only
	// after the deadline.
	possible := int(min(r.Timeout/r.Objective, math.MaxInt32))
	k.require(!r.Repeatable() || r.Attempts <= possible, Warning, at("attempts"), strconv.Itoa(r.Attempts),
		fmt.Sprintf("at most %d: attempts of %s each within the timeout of %s", possible, r.Objective, r.Timeout))
}

func (k *checker) checkSplit(i int, r *route.Route) {
	total, negative := 0.0, false
	for j, share := range r.Split {
		at := k.path("routes", i, "split", j)
		if len(r.Split) == 1 && share.Weight == 1 {
			at = k.path("routes", i) // The share may stand for the route's only service.
		}
		total += float64(share.Weight)
		negative = negative || share.Weight < 0
		k.require(share.Weight >= 0, Error, k.path("routes", i, "split", j, "weight"), strconv.Itoa(share.Weight), "0 or greater; requests would reach no service or another one")
		if k.Snapshot.Services[share.Service] == nil {
			severity, allowed := Warning, "a service of this configuration; only upstreams of this name would be used, without slow start or scaling"
			if share.Service == "" {
				severity, allowed = Error, "a service; without one no upstream serves the route"
			}
			k.require(false, severity, at+"."+k.wireName("service"), share.Service, allowed)
		}
	}
	k.require(negative || total > 0 && total <= math.MaxUint32, Error, k.path("routes", i, "split"), fmt.Sprintf("weights with the sum %.0f", total),
		fmt.Sprintf("weights with a sum of 1 to %d; otherwise requests reach no service or another one", uint32(math.MaxUint32)))
}

func (k *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range k.Snapshot.Routes() {
		for _, share := range r.Split {
			used[share.Service] = true
		}
	}
	for _, name := range k.sortedServices() {
		s, position := k.Snapshot.Services[name], k.ServicePositions[name]
		at := func(parts ...any) string { return k.path(append([]any{"services", position}, parts...)...) }
		k.require(name != "", Error, at("name"), "", "a name, to which routes and upstreams refer")
		k.require(used[name], Warning, at("name"), name, "a service that a route names; no request reaches this one")
		k.require(s.Connections >= 0, Warning, at("connections"), strconv.Itoa(s.Connections), "0 or greater")
		if s.Engine != nil {
			k.require(s.Engine.Slots > 0, Warning, at("engine", "slots"), strconv.Itoa(s.Engine.Slots), "1 or greater; otherwise no engines are ordered")
			k.require(s.Engine.KVTokens >= 0, Warning, at("engine", "kvTokens"), strconv.Itoa(s.Engine.KVTokens), "0 or greater")
		}
		if s.Scale != nil {
			k.checkScale(s.Scale, func(field string) string { return at("scale", field) })
		}
	}
}

// sortedServices returns the names of the services in the order of the file.
func (k *checker) sortedServices() []string {
	return slices.SortedFunc(maps.Keys(k.Snapshot.Services), func(x, y string) int { return k.ServicePositions[x] - k.ServicePositions[y] })
}

func (k *checker) checkScale(s *route.Scale, at func(field string) string) {
	k.require(s.Maximum >= 0, Error, at("maximum"), strconv.Itoa(s.Maximum), "0 or greater")
	k.require(s.Minimum >= 0, Warning, at("minimum"), strconv.Itoa(s.Minimum), "0 or greater")
	k.require(s.Minimum <= s.Maximum || s.Maximum < 0, Warning, at("minimum"), strconv.Itoa(s.Minimum), fmt.Sprintf("at most the maximum, %d; more are never ordered", s.Maximum))
	k.require(s.Boot >= 0, Warning, at("boot"), s.Boot.String(), "0 or greater")
	k.require(s.ReclaimablePrice >= 0 && s.ReclaimablePrice < 1, Warning, at("reclaimablePrice"), formatFloat(s.ReclaimablePrice),
		"0 (none are ordered) or more, and less than 1; otherwise no reclaimable upstreams are ordered")
	for _, domain := range slices.Sorted(maps.Keys(s.Prices)) {
		price := s.Prices[domain]
		k.require(price >= 0, Warning, at("prices")+"."+domain, formatFloat(price), "0 or greater")
	}
}

func (k *checker) checkLimits() {
	l := k.Snapshot.Limits
	for _, f := range []struct {
		name  string
		value int64
		text  string
	}{
		{"headerBytes", int64(l.HeaderBytes), strconv.Itoa(l.HeaderBytes)}, {"bodyBytes", int64(l.BodyBytes), strconv.Itoa(l.BodyBytes)},
		{"headerTimeout", int64(l.HeaderTimeout), l.HeaderTimeout.String()}, {"idleTimeout", int64(l.IdleTimeout), l.IdleTimeout.String()},
	} {
		k.require(f.value >= 0, Warning, k.path("limits", f.name), f.text, "0 or greater; a negative limit is served as if it were absent")
	}
}

func (k *checker) checkAccounts() {
	accounts := k.Snapshot.Accounts
	closed := slices.ContainsFunc(k.Snapshot.Routes(), func(r *route.Route) bool { return !r.Anonymous })
	k.require(!k.Snapshot.HasAccounts || len(accounts) > 0 || !closed, Error, k.path("accounts"), "an empty list",
		"at least one client account, or no such field: then requests need no key")
	type owner struct{ account, key int }
	owners, names := map[string]owner{}, map[string]int{}
	for i, a := range accounts {
		if first, ok := names[a.Name]; ok {
			k.require(false, Warning, k.path("accounts", i, "name"), a.Name, "a name of its own; the requests count for the same client account as those of "+k.path("accounts", first))
		} else {
			names[a.Name] = i
		}
		k.require(a.Name != "", Error, k.path("accounts", i, "name"), "", "a name; otherwise the keys count as no key")
		k.require(len(a.Keys) > 0, Error, k.path("accounts", i, "keys"), "", fmt.Sprintf("at least one key; client account %q can send no request", a.Name))
		k.require(a.Priority == nil || *a.Priority >= 0, Warning, k.path("accounts", i, "priority"), formatOptional(a.Priority), "0 (the highest) or greater")
		for j, key := range a.Keys {
			at := k.path("accounts", i, "keys", j)
			k.require(key != "" && key == strings.TrimSpace(key), Error, at, "", fmt.Sprintf("a text without white space at its ends; this key of client account %q is never accepted", a.Name))
			first, repeated := owners[key]
			switch {
			case !repeated:
				owners[key] = owner{i, j}
			case accounts[first.account].Name == a.Name:
				k.require(false, Warning, at, "", "a key that is listed once; it is the same as "+k.path("accounts", first.account, "keys", first.key))
			default:
				k.require(false, Error, at, "", fmt.Sprintf("a key of one client account; %s (client account %q) is the same, and its requests count for %q",
					k.path("accounts", first.account, "keys", first.key), accounts[first.account].Name, a.Name))
			}
		}
	}
}

// checkResidency reports the client accounts whose requests may go to no failure domain on
// some routes. An account that can use no route at all is unusable.
func (k *checker) checkResidency() {
	routes := k.Snapshot.Routes()
	for i, a := range k.Snapshot.Accounts {
		var blocked []string
		for j, r := range routes {
			if both := k.Snapshot.Residency(r, a.Name); both.Limited() && len(both.Domains()) == 0 {
				blocked = append(blocked, k.path("routes", j))
			}
		}
		if len(blocked) == 0 {
			continue
		}
		severity := Warning
		if len(blocked) == len(routes) {
			severity = Error
		}
		k.require(false, severity, k.path("accounts", i, "residency"), strings.Join(a.Residency.Domains(), ", "),
			fmt.Sprintf("regions that the routes allow as well; requests of client account %q are refused on %s", a.Name, strings.Join(blocked, ", ")))
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func formatOptional(n *int) string {
	if n == nil {
		return ""
	}
	return strconv.Itoa(*n)
}
