// Package dispatch decides which request runs next and on which upstream. It
// consists of a fair queue over client accounts, a picker over upstreams, and
// limits. The queue, the picker and the division of slots take no locks and read no clock;
// Scheduler adds both.
package dispatch

import (
	"context"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi"
)

// Pool names a set of interchangeable upstreams.
type Pool struct {
	Kind platformapi.UpstreamKind
	// Service is set for plain services.
	Service string
	// Model and Adapter are set for engines.
	Model   string
	Adapter string
}

// String returns a short name for logs and error messages.
func (p Pool) String() string {
	if p.Kind == platformapi.KindService {
		return p.Service
	}
	if p.Adapter == "" {
		return p.Model
	}
	return p.Model + "+" + p.Adapter
}

// Work describes a request that needs a slot on an upstream.
type Work struct {
	Request  string
	Account  contract.Account
	Contract contract.Contract
	Pool     Pool
	// Cost is the estimated cost in tokens.
	Cost int64
	// Background work is granted after other work of the same account.
	Background bool
	// Repeatable work may run on reclaimable upstreams.
	Repeatable bool
	// Affinity sends work with a shared prefix to the same upstream; 0 means no
	// affinity.
	Affinity uint64
	// MinVersion excludes engines that report older weights; 0 allows any version.
	MinVersion int64
	// Exclude holds the IDs of upstreams that failed this request before.
	Exclude []string
	// Retry marks an attempt after the first; it counts against the retry budget.
	Retry bool
}

// Result reports how an attempt ended.
type Result struct {
	// Cost is the actual cost in tokens.
	Cost int64
	// Failed is true if the upstream caused the failure.
	Failed bool
}

// Grant is the right to use a slot of an upstream. Done must be called exactly once.
type Grant struct {
	Upstream platformapi.Upstream
	Done     func(Result)
}

// Dispatcher grants slots of upstreams.
//
// Acquire waits in the fair queue of the work's account until a slot is free or
// ctx ends. It fails with *fault.QueueFull, *fault.LimitExceeded,
// *fault.NoUpstream, *fault.DeadlineExceeded or *fault.CallerGone. On any error the
// work has not been executed. Implementations are safe for concurrent use.
type Dispatcher interface {
	Acquire(ctx context.Context, work Work) (Grant, error)
}
