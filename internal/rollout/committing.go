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
	// commitPeriod is the shortest time between two commits of a step. What
	// finishes meanwhile goes into the next commit.
	commitPeriod = 100 * time.Millisecond
	// reloadPeriod is how often an owner without commits reads the progress,
	// to learn of withdrawn samples and of a successor.
	reloadPeriod = time.Second
	// maxBatch and maxBatchBytes bound the samples of one commit; a single
	// sample may be larger.
	maxBatch      = 64
	maxBatchBytes = 256 << 10
	// commitRetry is the pause after a commit whose outcome is not known.
	commitRetry = 250 * time.Millisecond
)

// committed is what a commit, or a reading of the progress, returned.
type committed struct {
	batch    []finished
	rejected []rejection
	progress sample.Progress
	// numbered are the samples that were written.
	numbered []sample.Sample
	err      error
}

// flush begins a commit of what is ready, or reads the progress when nothing
// has been committed for a while.
func (o *owner) flush(ctx context.Context, now time.Time) {
	if o.committing || now.Before(o.commitAt) {
		return
	}
	if len(o.ready) == 0 && now.Before(o.commitAt.Add(reloadPeriod)) {
		return
	}
	batch := o.ready[:batchLength(o.ready)]
	o.ready = o.ready[len(batch):]
	o.committing = true
	o.beside.Go(func() { send(ctx, o.commits, o.commit(ctx, batch)) })
}

func batchLength(ready []finished) int {
	bytes := 0
	for i, f := range ready {
		bytes += len(f.sample.Text)
		if i == maxBatch || (i > 0 && bytes > maxBatchBytes) {
			return i
		}
	}
	return len(ready)
}

// commit judges a batch and commits what passes, until no other writer of the
// progress comes in between. Each try judges anew.
func (o *owner) commit(ctx context.Context, batch []finished) committed {
	c := committed{batch: batch}
	for {
		c.rejected = nil
		var fit []sample.Sample
		fit, c.rejected, c.err = o.judgeBatch(ctx, batch)
		if c.err != nil {
			return c
		}
		c.progress, c.numbered, c.err = o.store.commit(ctx, o.ref, o.guard, fit)
		if !fault.Is[*fault.PreconditionFailed](c.err) {
			return c
		}
	}
}

func (o *owner) judgeBatch(ctx context.Context, batch []finished) (fit []sample.Sample, rejected []rejection, err error) {
	if len(batch) == 0 {
		return nil, nil, nil
	}
	all := make([]sample.Sample, 0, len(batch))
	for _, f := range batch {
		all = append(all, f.sample)
	}
	v, err := o.judge.prepareFor(ctx, o.ref.account, o.definition.Model, all)
	if err != nil {
		return nil, nil, err
	}
	for _, s := range all {
		if err := v.acceptable(s); err != nil {
			rejected = append(rejected, rejection{position: s.Slot.Position, err: err})
			continue
		}
		fit = append(fit, s)
	}
	return fit, rejected, nil
}

// takeCommitted handles the end of a commit. After a failure the batch waits
// for the next one: the progress tells by then whether it took effect after
// all, so that nothing is committed twice.
func (o *owner) takeCommitted(c committed, before sample.Progress, now time.Time) sample.Progress {
	o.committing = false
	o.commitAt = now.Add(commitPeriod)
	if c.err != nil {
		o.ready = append(c.batch, o.ready...)
		o.commitAt = now.Add(fault.RetryAfterOf(c.err, commitRetry))
		return before
	}
	for _, r := range c.rejected {
		o.reject(r, now)
	}
	if len(c.numbered) > 0 {
		o.account(c.numbered)
	}
	o.plan.reconcile(c.progress)
	if v, err := o.judge.known(o.ref.account, o.definition.Model); err == nil {
		o.minimum = v.oldestUseful()
	}
	return c.progress
}

// account counts committed samples, for the metrics and for billing. Only the
// tokens of committed samples count: what hedges, failures and rejections cost
// besides is the system's own.
func (o *owner) account(samples []sample.Sample) {
	account := string(o.ref.account)
	tokens := int64(0)
	for _, s := range samples {
		tokens += int64(s.Tokens)
	}
	o.usage.Add(o.ref.account, usage.Figures{Requests: int64(len(samples)), Tokens: tokens})
	o.metrics.committed.WithLabelValues(account).Add(float64(len(samples)))
	o.metrics.commits.WithLabelValues(account).Inc()
	o.events.Emit(event.SamplesCommitted, event.Subject{Account: account, Step: o.ref.step, Count: int64(len(samples))})
}
