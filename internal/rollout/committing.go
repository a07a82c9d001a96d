package rollout

import (
	"context"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/usage"
)

const (
	// commitInterval is the minimum interval between two commits of a step.
	// Samples that finish in between are written by the next commit.
	commitInterval = 100 * time.Millisecond
	// progressPollInterval is how often an owner without commits reads the
	// progress, to detect withdrawn samples and a takeover by another VM.
	progressPollInterval = time.Second
	// maxBatchSamples and maxBatchBytes bound the samples of one commit. A
	// single sample may exceed maxBatchBytes.
	maxBatchSamples = 64
	maxBatchBytes   = 256 << 10
	// commitBackoff is the wait after a failed commit, whose outcome may be
	// unknown, unless the error names a time to retry.
	commitBackoff = 250 * time.Millisecond
)

// commitResult is the result of a commit, or of a read of the progress.
type commitResult struct {
	batch    []generatedSample
	rejected []rejection
	progress sample.Progress
	err      error
}

// commitOrPoll starts a commit of the ready samples, or a read of the progress when
// nothing has been committed for progressPollInterval.
func (o *owner) commitOrPoll(ctx context.Context, now time.Time) {
	if o.committing || now.Before(o.nextCommitAt) {
		return
	}
	if len(o.ready) == 0 && now.Before(o.nextCommitAt.Add(progressPollInterval)) {
		return
	}
	batch := o.ready[:batchLength(o.ready)]
	o.ready = o.ready[len(batch):]
	o.committing = true
	o.background.Go(func() { send(ctx, o.commits, o.commit(ctx, batch)) })
}

func batchLength(ready []generatedSample) int {
	bytes := 0
	for i, g := range ready {
		bytes += len(g.sample.Text)
		if i == maxBatchSamples || (i > 0 && bytes > maxBatchBytes) {
			return i
		}
	}
	return len(ready)
}

// commit validates a batch and commits the accepted samples. It retries while
// other writers change the progress concurrently, and validates the batch again
// for each try. It records the usage itself, because nobody receives its result
// when the owner stops.
func (o *owner) commit(ctx context.Context, batch []generatedSample) commitResult {
	c := commitResult{batch: batch}
	for {
		c.err = o.tryCommit(ctx, &c)
		if !fault.Is[*fault.PreconditionFailed](c.err) {
			return c
		}
	}
}

func (o *owner) tryCommit(ctx context.Context, c *commitResult) error {
	if err := o.settleUnconfirmed(ctx); err != nil {
		return err
	}
	accepted, rejected, err := o.validateBatch(ctx, c.batch)
	if err != nil {
		return err
	}
	c.rejected = rejected
	progress, written, err := o.store.commit(ctx, o.ref, o.guard, accepted)
	if err != nil {
		o.unconfirmed = written
		return err
	}
	if written != nil {
		o.recordUsage(*written)
	}
	c.progress = progress
	return nil
}

func (o *owner) validateBatch(ctx context.Context, batch []generatedSample) (accepted []sample.Sample, rejected []rejection, err error) {
	if len(batch) == 0 {
		return nil, nil, nil
	}
	all := make([]sample.Sample, 0, len(batch))
	for _, g := range batch {
		all = append(all, g.sample)
	}
	v, err := o.policy.refreshFor(ctx, o.ref.account, o.definition.Model, all)
	if err != nil {
		return nil, nil, err
	}
	for _, s := range all {
		if err := v.check(s); err != nil {
			rejected = append(rejected, rejection{position: s.Slot.Position, err: err})
			continue
		}
		accepted = append(accepted, s)
	}
	return accepted, rejected, nil
}

// handleCommitResult processes the result of a commit. After a failure the batch
// is put back for the next commit. If the failed commit took effect after all,
// the next one settles it, and skips the samples of filled slots.
func (o *owner) handleCommitResult(c commitResult, before sample.Progress, now time.Time) sample.Progress {
	o.committing = false
	o.nextCommitAt = now.Add(commitInterval)
	if c.err != nil {
		o.ready = append(c.batch, o.ready...)
		o.nextCommitAt = now.Add(fault.RetryAfterOf(c.err, commitBackoff))
		return before
	}
	for _, r := range c.rejected {
		o.reject(r, now)
	}
	o.plan.reconcile(c.progress)
	if v, err := o.policy.fromKnownVersions(o.ref.account, o.definition.Model); err == nil {
		o.minVersion = v.oldestAcceptable()
	}
	return c.progress
}

// recordUsage counts committed samples for metrics and billing. Only the tokens
// of committed samples are billed. The tokens of hedges, failed attempts and
// rejected samples are not charged to the account.
func (m *Manager) recordUsage(w batchWrite) {
	account := string(w.ref.account)
	tokens := int64(0)
	for _, s := range w.samples {
		tokens += int64(s.Tokens)
	}
	m.usage.Add(w.ref.account, usage.Counts{Requests: int64(len(w.samples)), Tokens: tokens})
	m.metrics.committed.WithLabelValues(account).Add(float64(len(w.samples)))
	m.metrics.commits.WithLabelValues(account).Inc()
	m.events.Emit(event.SamplesCommitted, event.Subject{Account: account, Step: w.ref.step, Count: int64(len(w.samples))})
}
