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

// The values of the label "result" of the retry counter.
const (
	resultRetried = "retried"
	resultDenied  = "denied"
)

// NewPolicy returns a policy with full budgets and registers its metrics.
func NewPolicy(registry prometheus.Registerer, events *event.Recorder) *Policy {
	p := &Policy{
		Circuits: NewCircuits(events),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_retries_total",
			Help: "Failed attempts by result: retried, or denied by the retry budget.",
		}, []string{"pool", "result"}),
	}
	registry.MustRegister(p.retries)
	return p
}

// NoteSuccess adds the credit of one successful request to a pool's budget.
func (p *Policy) NoteSuccess(pool string) { p.budget(pool).NoteSuccess() }

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
	stored, _ := p.budgets.LoadOrStore(pool, NewBudget())
	return stored.(*Budget)
}

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// Backoff spaces the attempts of one request by an exponential backoff. Its jitter
// keeps requests that failed together from being retried together.
type Backoff struct {
	policy *backoff.ExponentialBackOff
}

// NewBackoff returns the backoff of one request.
func NewBackoff() *Backoff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialBackoff
	policy.MaxInterval = maxBackoff
	return &Backoff{policy: policy}
}

// Wait waits until the next attempt may start. It returns false if ctx ends first.
func (b *Backoff) Wait(ctx context.Context) bool {
	timer := time.NewTimer(b.policy.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
