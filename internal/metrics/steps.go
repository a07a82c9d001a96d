package metrics

import (
	"context"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/sample"
)

// Steps measures how long trainers wait for the samples of other steps.
type Steps struct {
	entry.Steps
	metrics *Metrics
}

// NewSteps returns steps that measure next.
func NewSteps(next entry.Steps, m *Metrics) *Steps { return &Steps{Steps: next, metrics: m} }

// Samples implements entry.Steps. The time of a pull counts whether or not a
// sample came: the trainer was idle.
func (s *Steps) Samples(ctx context.Context, account contract.Account, step string, pull sample.Pull) ([]sample.Sample, error) {
	asked := time.Now()
	samples, err := s.Steps.Samples(ctx, account, step, pull)
	s.metrics.TrainerIdle.WithLabelValues(string(account)).Add(time.Since(asked).Seconds())
	return samples, err
}
