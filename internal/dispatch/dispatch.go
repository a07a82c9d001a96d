// Package dispatch decides which request runs next and on which upstream: a
// fair queue over client accounts, a picker over upstreams, and limits. Its
// decisions are pure; the runner around them is thin.
package dispatch

import (
	"context"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platform"
)

// Pool names a set of interchangeable upstreams.
type Pool struct {
	Kind platform.UpstreamKind
	// Service is set for plain services.
	Service string
	// Model and Adapter are set for engines.
	Model   string
	Adapter string
}

// String returns a short name for logs.
func (p Pool) String() string {
	if p.Kind == platform.KindService {
		return p.Service
	}
	if p.Adapter == "" {
		return p.Model
	}
	return p.Model + "+" + p.Adapter
}

// Work asks for a place on an upstream.
type Work struct {
	Request  string
	Account  contract.Account
	Contract contract.Contract
	Pool     Pool
	// Cost is the estimate in tokens.
	Cost int64
	// Background work yields to other work of the same account.
	Background bool
	// Repeatable work may run on reclaimable upstreams.
	Repeatable bool
	// Affinity brings work with a shared prefix to the same upstream; 0 for none.
	Affinity uint64
	// MinVersion keeps the work from engines that report older weights; 0 means
	// any.
	MinVersion int64
	// Exclude names upstreams that failed this request before.
	Exclude []string
	// Retry marks an attempt after the first; it is taken from the retry budget.
	Retry bool
}

// Result tells the dispatcher how an attempt ended.
type Result struct {
	// Cost is the true cost in tokens.
	Cost int64
	// Failed is true when the upstream is to blame.
	Failed bool
}

// Grant is a place on an upstream. Done must be called exactly once.
type Grant struct {
	Upstream platform.Upstream
	Done     func(Result)
}

// Dispatcher grants places on upstreams.
//
// Acquire waits in the fair queue of the work's account until a place is free
// or ctx ends. It fails with *fault.QueueFull, *fault.LimitExceeded,
// *fault.NoUpstream, *fault.DeadlineExceeded or *fault.CallerGone; whatever it
// fails with, nothing has run. Implementations are safe for concurrent use.
type Dispatcher interface {
	Acquire(ctx context.Context, work Work) (Grant, error)
}
