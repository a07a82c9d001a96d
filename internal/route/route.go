// Package route is the aggregate of the operators' configuration: which service
// a request goes to, what may be repeated, how long it may take, and which client
// account a key belongs to. A Snapshot is immutable; a request uses one snapshot
// from its start to its end.
package route

import (
	"hash/fnv"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Kind says what may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run once at most for each ID.
	AtMostOnce Kind = "at-most-once"
	// Stream responses are events; a stream runs at most once unless the route
	// is Resumable.
	Stream Kind = "stream"
	// Steps are submitted whole and run later.
	Steps Kind = "steps"
)

// Route is one rule of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the latency within which a response is fully useful.
	Objective time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	// Split lists the services of the route with their weights.
	Split []Share
	// Attempts is how many upstreams one request may be sent to.
	Attempts int
	// Anonymous requests need no key.
	Anonymous bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// RunObjective is how long after its submission a step should be whole, and
	// GiveUp when its items may be given up. Both are for steps.
	RunObjective, GiveUp time.Duration
	// SingleVersion wants each sample from one version of the weights.
	SingleVersion bool
	// Residency limits where the requests of the route may go.
	Residency Residency
}

// Share is one service of a route and its weight.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service picks the service for a request. The choice depends on the ID alone,
// so that every attempt of a request and every VM choose alike.
func (r *Route) Service(requestID string) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID))
	at := int(h.Sum32() % uint32(total))
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is one group of upstreams.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// Connections bounds the connections to one upstream over all callers.
	Connections int
	// Warmup is how long an upstream is cold after its start, and ColdRate how many
	// requests a second it bears then.
	Warmup   time.Duration
	ColdRate float64
	// Engine is set for model engines.
	Engine *Engine
	// Scale is set where upstreams can be ordered.
	Scale *Scale
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// KVTokens is the memory of one engine in tokens.
	KVTokens int
	Models   []string
}

// Scale bounds the orders for upstreams, in each failure domain.
type Scale struct {
	Minimum, Maximum int
	Boot             time.Duration
	// ReclaimablePrice is the price of reclaimable upstreams as a part of that
	// of the others; 0 means that there are none.
	ReclaimablePrice float64
	Prices           map[string]float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Account is one client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority ranks the account; nil means that its routes' priorities hold.
	Priority *int
	// Residency limits where the account's requests may go.
	Residency Residency
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Accounts are in the order of their names. Keyed is false when the
	// configuration knows no accounts at all, and then no key is asked for.
	Accounts []Account
	Keyed    bool

	byHost map[string][]*Route
	byKey  map[string]string
	routes []*Route
	// residencies holds the limits of the accounts that have any.
	residencies map[string]Residency
	resident    bool
}

// NewSnapshot indexes a configuration. keyed tells whether it names accounts.
func NewSnapshot(version int64, routes []*Route, services map[string]*Service, limits Limits, accounts []Account, keyed bool) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Services: services,
		Limits:   limits,
		Accounts: accounts,
		Keyed:    keyed,
		byHost:   make(map[string][]*Route),
		byKey:    make(map[string]string),
		routes:   routes,

		residencies: make(map[string]Residency),
	}
	for _, r := range routes {
		s.resident = s.resident || r.Residency.Limited()
		host := strings.ToLower(r.Host)
		s.byHost[host] = append(s.byHost[host], r)
	}
	for _, list := range s.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			s.byKey[key] = a.Name
		}
		if a.Residency.Limited() {
			s.residencies[a.Name] = a.Residency
			s.resident = true
		}
	}
	return s
}

// Residency returns where a request of a route and an account may go: both limits bind.
func (s *Snapshot) Residency(r *Route, account string) Residency {
	return r.Residency.And(s.residencies[account])
}

// Resident reports whether any route or account limits where its requests may go.
func (s *Snapshot) Resident() bool { return s.resident }

// Routes returns all routes.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Match returns the route of a host whose prefix is the longest that begins the
// path. It fails with *fault.RouteUnknown.
func (s *Snapshot) Match(host, path string) (*Route, error) {
	for _, r := range s.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return nil, errors.WithStack(&fault.RouteUnknown{})
}

// StepsRoute returns a route for steps of a host, under which the steps of that
// host may be read. ok is false when the host has none.
func (s *Snapshot) StepsRoute(host string) (r *Route, ok bool) {
	for _, r := range s.byHost[strings.ToLower(host)] {
		if r.Kind == Steps {
			return r, true
		}
	}
	return nil, false
}

// Authenticate returns the client account of a key. Anonymous routes need none.
// It fails with *fault.KeyMissing or *fault.KeyInvalid.
func (s *Snapshot) Authenticate(r *Route, key string) (account string, err error) {
	if account, ok := s.byKey[key]; ok && key != "" {
		return account, nil
	}
	if !s.Keyed || r.Anonymous {
		return "", nil
	}
	if key == "" {
		return "", errors.WithStack(&fault.KeyMissing{})
	}
	return "", errors.WithStack(&fault.KeyInvalid{})
}

// View holds the snapshot in force. It is safe for concurrent use.
type View struct {
	current atomic.Pointer[Snapshot]
}

// NewView returns a view without a snapshot.
func NewView() *View { return &View{} }

// Load returns the snapshot in force, or nil before the first.
func (v *View) Load() *Snapshot { return v.current.Load() }

// Offer puts a snapshot in force if it is newer than the present one, and
// reports whether it did. Versions never go back within the life of a process: a
// late answer of the store or of a peer would otherwise bring withdrawn keys back.
func (v *View) Offer(s *Snapshot) bool {
	for {
		present := v.current.Load()
		if present != nil && present.Version >= s.Version {
			return false
		}
		if v.current.CompareAndSwap(present, s) {
			return true
		}
	}
}
