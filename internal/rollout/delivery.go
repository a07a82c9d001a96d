package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/sample"
)

const (
	// maxDeliveryBatches is the maximum number of batches in one answer.
	maxDeliveryBatches = 16
	// pollInterval is how often a waiting pull reads the progress.
	pollInterval = 100 * time.Millisecond
)

// Samples returns the samples after the pull's cursor, in order and without
// gaps. If there are none, it waits up to pull.Wait for the first.
//
// A number always has the same content, or a tombstone if the sample became
// stale before the trainer acknowledged it. The tombstone is written to the
// store before it is sent, so that no later answer of any VM contains the
// content.
//
// A pull that the trainer has abandoned may still run on a VM that was paused.
// Each pull therefore registers its number in the progress before it validates,
// sends or withdraws samples. A pull whose number is not higher than the
// registered one fails with *fault.PullOvertaken and does none of these.
func (m *Manager) Samples(ctx context.Context, account contract.Account, step string, pull sample.Pull) ([]sample.Sample, error) {
	r := stepRef{account: account, step: step}
	deadline := time.Now().Add(pull.Wait)
	for {
		progress, _, err := m.store.progress(ctx, r)
		if err != nil {
			return nil, err
		}
		if err := progress.CheckCursor(pull.After); err != nil {
			return nil, err
		}
		if pull.Number == 0 {
			pull.Number = progress.Pull + 1
		}
		if progress.Committed > pull.After {
			return m.registerAndDeliver(ctx, r, progress.Model, pull)
		}
		if !time.Now().Before(deadline) {
			return nil, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(&fault.CallerGone{})
		case <-time.After(pollInterval):
		}
	}
}

func (m *Manager) registerAndDeliver(ctx context.Context, r stepRef, model string, pull sample.Pull) ([]sample.Sample, error) {
	_, err := m.store.update(ctx, r, func(p sample.Progress) (sample.Progress, bool, error) {
		if err := p.CheckCursor(pull.After); err != nil {
			return p, false, err
		}
		next, err := p.RegisterPull(r.step, pull.Number)
		return next, true, err
	})
	if err != nil {
		return nil, err
	}
	return m.deliver(ctx, r, model, pull)
}

// deliver reads and validates the samples after the cursor. The validation uses
// a read of the weight store that began after the pull: an older read could
// miss a new version, and a stale sample would be delivered. Stale samples are
// withdrawn first; then all samples are read and validated again, since more
// may have become stale meanwhile.
func (m *Manager) deliver(ctx context.Context, r stepRef, model string, pull sample.Pull) ([]sample.Sample, error) {
	for {
		batches, err := m.store.batches(ctx, r, pull.After, maxDeliveryBatches)
		if err != nil {
			return nil, err
		}
		v, err := m.policy.refresh(ctx, r.account, model, time.Now())
		if err != nil {
			return nil, err
		}
		withdrawn, err := m.withdrawStale(ctx, r, batches, pull, v)
		if err != nil {
			return nil, err
		}
		if !withdrawn {
			return m.collectSamples(r, batches, pull.After, v), nil
		}
	}
}

// withdrawStale withdraws stale samples, and reports whether the batches must
// be read again. It considers only samples after the cursor: the trainer
// already has the earlier ones.
func (m *Manager) withdrawStale(ctx context.Context, r stepRef, batches []batch, pull sample.Pull, v validator) (bool, error) {
	stale := func(s sample.Sample) bool {
		return s.Number > pull.After && !s.Withdrawn && v.checkStaleness(s) != nil
	}
	found := false
	for _, b := range batches {
		if !anySample(b.samples, stale) {
			continue
		}
		found = true
		count, err := m.store.withdraw(ctx, r, pull.Number, b, stale)
		if fault.Is[*fault.PreconditionFailed](err) {
			continue
		}
		if err != nil {
			return false, err
		}
		if count == 0 {
			// The trainer has acknowledged these samples since the pull began,
			// so that it no longer waits for this pull.
			return false, errors.WithStack(&fault.CallerGone{})
		}
		m.metrics.withdrawn.WithLabelValues(string(r.account)).Add(float64(count))
		m.events.Emit(event.SamplesWithdrawn, event.Subject{Account: string(r.account), Step: r.step, Count: int64(count)})
		m.startCampaign(r)
	}
	return found, nil
}

func anySample(samples []sample.Sample, match func(sample.Sample) bool) bool {
	for _, s := range samples {
		if match(s) {
			return true
		}
	}
	return false
}

// collectSamples returns the samples after the cursor and records their ages.
func (m *Manager) collectSamples(r stepRef, batches []batch, after int64, v validator) []sample.Sample {
	var samples []sample.Sample
	for _, b := range batches {
		for _, s := range b.samples {
			if s.Number <= after {
				continue
			}
			samples = append(samples, s)
			if !s.Withdrawn {
				m.metrics.observeAge(r.account, v.age(s))
			}
		}
	}
	return samples
}

// Ack acknowledges the samples up to a number. Acknowledged samples are never
// withdrawn and never sent again.
func (m *Manager) Ack(ctx context.Context, account contract.Account, step string, through int64) error {
	r := stepRef{account: account, step: step}
	_, err := m.store.update(ctx, r, func(p sample.Progress) (sample.Progress, bool, error) {
		next := p.Ack(through)
		return next, next.Acked != p.Acked, nil
	})
	return err
}
