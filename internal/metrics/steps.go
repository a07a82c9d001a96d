package metrics

import (
	"context"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/sample"
)

// Steps measures how long trainers wait for samples. It forwards all other calls to the
// embedded Steps.
type Steps struct {
	entry.Steps
	metrics *Metrics
}

// NewSteps returns a Steps that calls next and records the waits in m.
func NewSteps(next entry.Steps, m *Metrics) *Steps { return &Steps{Steps: next, metrics: m} }

// Samples implements entry.Steps. It records the duration of each pull, even if the
// pull returns no sample, because the trainer is idle during a pull.
func (s *Steps) Samples(ctx context.Context, account contract.Account, step string, pull sample.Pull) ([]sample.Sample, error) {
	started := time.Now()
	samples, err := s.Steps.Samples(ctx, account, step, pull)
	s.metrics.TrainerIdle.WithLabelValues(string(account)).Add(time.Since(started).Seconds())
	return samples, err
}
