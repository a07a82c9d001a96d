// Package route is the aggregate of the operators' configuration: which service a
// request is routed to, whether it may run more than once, how long it may take, and
// which client account a key belongs to. A Snapshot is immutable; a request uses one
// snapshot from start to end.
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

// Kind says how the requests of a route run and whether they may run more than once.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once for each request ID.
	AtMostOnce Kind = "at-most-once"
	// Stream requests are answered by a stream of events and run at most once, unless
	// the route is Resumable.
	Stream Kind = "stream"
	// Steps requests submit a step, which runs later.
	Steps Kind = "steps"
)

// Route is one rule of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the target latency; a response within it is fully useful.
	Objective time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Split lists the services of the route and their weights.
	Split []Share
	// Attempts is the largest number of upstreams that one request may be sent to.
	Attempts int
	// Anonymous is true when requests need no key.
	Anonymous bool
	// Resumable is true when streams may continue at another upstream.
	Resumable bool
	// RunObjective is how long after its submission a step should be complete, and
	// AbandonAfter how long after it the step's items may be abandoned. Both are for steps.
	RunObjective, AbandonAfter time.Duration
	// SingleVersion requires that each sample comes from one weight version.
	SingleVersion bool
	// Residency limits the failure domains of the requests of the route.
	Residency Residency
}

// Share is one service of a route and its weight.
type Share struct {
	Service string
	Weight  int
}

// share returns the weight for sums; a negative weight counts as 0.
func (s Share) share() uint64 { return uint64(max(s.Weight, 0)) }

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request. The choice depends only on the request ID,
// so that it is the same for every attempt and on every VM.
func (r *Route) Service(requestID string) string {
	var total uint64
	for _, s := range r.Split {
		total += s.share()
	}
	if total == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID))
	at := uint64(h.Sum32()) % total
	for _, s := range r.Split {
		if at < s.share() {
			return s.Service
		}
		at -= s.share()
	}
	return ""
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path for health checks.
	HealthPath string
	// Connections is the largest number of connections to one upstream, summed over all
	// callers.
	Connections int
	// Warmup is how long an upstream is cold after its start. ColdRate is the number of
	// requests per second that it can handle while cold.
	Warmup   time.Duration
	ColdRate float64
	// Engine is set for model engines.
	Engine *Engine
	// Scale is set when upstreams can be ordered.
	Scale *Scale
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// KVTokens is the size of the KV cache of one engine in tokens.
	KVTokens int
	Models   []string
}

// Scale limits the upstreams that are ordered in each failure domain.
type Scale struct {
	Minimum, Maximum int
	// Boot is how long an ordered upstream takes to boot.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream relative to that of
	// another one; 0 means that reclaimable upstreams can't be ordered.
	ReclaimablePrice float64
	// Prices holds the price of an upstream in each failure domain in which upstreams can
	// be ordered.
	Prices map[string]float64
}

// Limits holds the limits for requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority is the priority of the account's requests; nil means that the priority
	// of the route applies.
	Priority *int
	// Residency limits the failure domains of the account's requests.
	Residency Residency
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Accounts are sorted by name. HasAccounts is false when the configuration has no
	// accounts at all; then no key is required.
	Accounts    []Account
	HasAccounts bool

	byHost map[string][]*Route
	byKey  map[string]string
	routes []*Route
	// residencies holds the residencies of the accounts that set a limit.
	residencies        map[string]Residency
	hasResidencyLimits bool
	// priorities holds the priorities of the accounts that have one.
	priorities map[string]int
}

// NewSnapshot indexes a configuration. hasAccounts says whether it has accounts.
func NewSnapshot(version int64, routes []*Route, services map[string]*Service, limits Limits, accounts []Account, hasAccounts bool) *Snapshot {
	s := &Snapshot{
		Version:     version,
		Services:    services,
		Limits:      limits,
		Accounts:    accounts,
		HasAccounts: hasAccounts,
		byHost:      make(map[string][]*Route),
		byKey:       make(map[string]string),
		routes:      routes,

		residencies: make(map[string]Residency),
		priorities:  make(map[string]int),
	}
	for _, r := range routes {
		s.hasResidencyLimits = s.hasResidencyLimits || r.Residency.Limited()
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
		if a.Priority != nil && *a.Priority >= 0 {
			s.priorities[a.Name] = *a.Priority
		}
		if a.Residency.Limited() {
			s.residencies[a.Name] = a.Residency
			s.hasResidencyLimits = true
		}
	}
	return s
}

// Residency returns the residency of a request: the limits of its route and of its account
// both apply.
func (s *Snapshot) Residency(r *Route, account string) Residency {
	return r.Residency.And(s.residencies[account])
}

// Priority returns the priority of a request: that of its account, or that of its route if the
// account has none or an invalid one.
func (s *Snapshot) Priority(r *Route, account string) int {
	if p, ok := s.priorities[account]; ok {
		return p
	}
	return max(r.Priority, 0)
}

// ForwardsToEngines reports whether requests of callers, other than steps, are forwarded to
// model engines or to services that the configuration does not describe.
func (s *Snapshot) ForwardsToEngines() bool {
	for _, r := range s.routes {
		if r.Kind == Steps {
			continue
		}
		for _, share := range r.Split {
			if service := s.Services[share.Service]; service == nil || service.Engine != nil {
				return true
			}
		}
	}
	return false
}

// HasResidencyLimits reports whether any route or account has a limited residency.
func (s *Snapshot) HasResidencyLimits() bool { return s.hasResidencyLimits }

// Routes returns all routes.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Match returns the route of a host with the longest prefix of the path. It fails with
// *fault.RouteUnknown.
func (s *Snapshot) Match(host, path string) (*Route, error) {
	for _, r := range s.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return nil, errors.WithStack(&fault.RouteUnknown{})
}

// StepsRoute returns a route of kind Steps of a host, through which the steps of the host
// can be read. ok is false when the host has none.
func (s *Snapshot) StepsRoute(host string) (r *Route, ok bool) {
	for _, r := range s.byHost[strings.ToLower(host)] {
		if r.Kind == Steps {
			return r, true
		}
	}
	return nil, false
}

// Authenticate returns the client account of a key. The account is empty when an anonymous
// route, or a configuration without accounts, is used without a known key. Authenticate
// fails with *fault.KeyMissing or *fault.KeyInvalid.
func (s *Snapshot) Authenticate(r *Route, key string) (account string, err error) {
	if account, ok := s.byKey[key]; ok && key != "" {
		return account, nil
	}
	if !s.HasAccounts || r.Anonymous {
		return "", nil
	}
	if key == "" {
		return "", errors.WithStack(&fault.KeyMissing{})
	}
	return "", errors.WithStack(&fault.KeyInvalid{})
}

// View holds the current snapshot. It is safe for concurrent use.
type View struct {
	current atomic.Pointer[Snapshot]
}

// NewView returns a view without a snapshot.
func NewView() *View { return &View{} }

// Load returns the current snapshot, or nil before the first.
func (v *View) Load() *Snapshot { return v.current.Load() }

// StoreIfNewer replaces the current snapshot if s is newer, and reports whether it did. Versions
// never decrease within an incarnation: a late answer of the store or of a peer would
// otherwise make withdrawn keys valid again.
func (v *View) StoreIfNewer(s *Snapshot) bool {
	for {
		previous := v.current.Load()
		if previous != nil && previous.Version >= s.Version {
			return false
		}
		if v.current.CompareAndSwap(previous, s) {
			return true
		}
	}
}
