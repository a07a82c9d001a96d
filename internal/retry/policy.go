package retry

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/event"
)

// Policy holds the retry budgets of all pools and the circuits of all
// upstreams of one VM. It is safe for concurrent use.
type Policy struct {
	*Circuits
	budgets sync.Map
	retries *prometheus.CounterVec
}

// The results that the counter of retries tells apart.
const (
	resultRetried = "retried"
	resultDenied  = "denied"
)

// NewPolicy returns a policy with full budgets that registers its metrics.
func NewPolicy(registry prometheus.Registerer, events *event.Recorder) *Policy {
	p := &Policy{
		Circuits: NewCircuits(events),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_retries_total",
			Help: "Failed attempts by what followed: retried, or denied by the retry budget.",
		}, []string{"pool", "result"}),
	}
	registry.MustRegister(p.retries)
	return p
}

// Success pays into a pool's budget.
func (p *Policy) Success(pool string) { p.budget(pool).Success() }

// Take takes a retry from a pool's budget and reports whether there was one.
func (p *Policy) Take(pool string) bool {
	if !p.budget(pool).Take() {
		p.retries.WithLabelValues(pool, resultDenied).Inc()
		return false
	}
	p.retries.WithLabelValues(pool, resultRetried).Inc()
	return true
}

func (p *Policy) budget(pool string) *Budget {
	if found, ok := p.budgets.Load(pool); ok {
		return found.(*Budget)
	}
	kept, _ := p.budgets.LoadOrStore(pool, NewBudget())
	return kept.(*Budget)
}

const (
	firstDelay = 20 * time.Millisecond
	maxDelay   = time.Second
)

// Delays spaces the attempts of one request. The jitter keeps requests that
// failed together from coming back together.
type Delays struct {
	policy *backoff.ExponentialBackOff
}

// NewDelays returns the delays of one request.
func NewDelays() *Delays {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstDelay
	policy.MaxInterval = maxDelay
	return &Delays{policy: policy}
}

// Wait waits before the next attempt and reports whether ctx still goes on.
func (d *Delays) Wait(ctx context.Context) bool {
	timer := time.NewTimer(d.policy.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
