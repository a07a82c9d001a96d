package metrics

import (
	"context"
	"strconv"
	"time"

	"dogwoodpond/internal/dispatch"
)

// Dispatcher measures the queue waits and the work of another dispatcher.
type Dispatcher struct {
	next    dispatch.Dispatcher
	metrics *Metrics
}

// NewDispatcher returns a dispatcher that calls next and records its waits and work
// in m.
func NewDispatcher(next dispatch.Dispatcher, m *Metrics) *Dispatcher {
	return &Dispatcher{next: next, metrics: m}
}

// Acquire implements dispatch.Dispatcher. It also records the wait of refused work,
// because the caller waited for the refusal.
func (d *Dispatcher) Acquire(ctx context.Context, work dispatch.Work) (dispatch.Grant, error) {
	started := time.Now()
	grant, err := d.next.Acquire(ctx, work)
	account := string(work.Account)
	d.metrics.QueueWait.WithLabelValues(account).Observe(time.Since(started).Seconds())
	if err != nil {
		return grant, err
	}
	reclaimable := strconv.FormatBool(grant.Upstream.Reclaimable)
	done := grant.Done
	grant.Done = func(result dispatch.Result) {
		done(result)
		d.metrics.WorkTokens.WithLabelValues(account, reclaimable).Add(float64(result.Cost))
		if result.Failed {
			d.metrics.FailedWorkTokens.WithLabelValues(account, reclaimable).Add(float64(result.Cost))
		}
	}
	return grant, nil
}
