package step

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/wait"
)

const (
	// commitDelay is how long finished results are collected before they are committed
	// together. It is short compared with the interval of a trainer's reads, and long
	// enough that one step does not exhaust the commit rate of its partition.
	commitDelay = 60 * time.Millisecond
	// commitBatchBytes is the size of collected texts from which on a commit doesn't wait for
	// commitDelay.
	commitBatchBytes = 200 << 10
	// refusedCommitBackoff is the backoff after a commit that the store refused. Refused calls are
	// charged, and full storage stays full until expired steps are removed.
	refusedCommitBackoff = time.Second
)

// commitLoop commits finished results in batches, from the acceptance of the step until
// the run ends. Results that have collected before the acceptance or during a long commit, as in an
// outage of the store, are a backlog: they are committed without commitDelay between their batches.
func (r *run) commitLoop() {
	select {
	case <-r.ctx.Done():
		return
	case <-r.acceptedCh:
	}
	backlogEnd := r.resultCount()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.queuedCh:
		}
		if !r.isCommitDue(backlogEnd) {
			wait.For(r.ctx, commitDelay)
		}
		started := time.Now()
		more, err := r.commitBatch(r.ctx)
		if time.Since(started) >= commitDelay {
			backlogEnd = r.resultCount()
		}
		if err != nil {
			more = wait.For(r.ctx, refusedCommitBackoff)
		}
		if more {
			r.signalQueued()
		}
	}
}

// pendingBatch is a batch of finished results with the transaction that commits it.
type pendingBatch struct {
	results []Result
	// position is that of the first result.
	position int
	commit   rowstore.PendingCommit
}

// commitBatch commits one batch of finished results and reports whether more are queued. It fails
// if the commit fails; the failure has been handled.
// Results that finish during the commit are left for the next batch, since committing each
// as soon as the store answers would cost one transaction per result.
//
// A batch whose commit failed stays the next one, with the same transaction: its copies may still
// take effect.
func (r *run) commitBatch(ctx context.Context) (more bool, err error) {
	select {
	case <-ctx.Done():
		return false, nil
	case r.commitSlot <- struct{}{}:
	}
	defer func() { <-r.commitSlot }()
	if r.pending == nil {
		batch, err := r.nextBatch(ctx)
		if err != nil {
			r.m.Events.Emit(event.DependencyLost, event.Subject{Step: r.rec.ID, Detail: "results: " + err.Error()})
			return wait.For(ctx, stepIOBackoff), nil
		}
		r.pending = batch
	}
	if r.pending == nil {
		return false, nil
	}
	if err := r.commitPending(ctx); err != nil {
		return false, err
	}
	return r.queuedCount() > 0, nil
}

// queuedCount returns the number of results that are finished but not committed.
func (r *run) queuedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list.queued)
}

// signalQueued notifies commitLoop of finished results.
func (r *run) signalQueued() {
	select {
	case r.queuedCh <- struct{}{}:
	default:
	}
}

// resultCount returns the number of results, committed or queued.
func (r *run) resultCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list.committed) + len(r.list.queued)
}

// isCommitDue reports whether the queued results are worth a commit before commitDelay has
// passed: they fill a batch, or the next one is in the backlog, which ends at a position.
func (r *run) isCommitDue(backlogEnd int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.queuedBytes >= commitBatchBytes || len(r.list.queued) >= maxBatchResults || len(r.list.committed) < backlogEnd
}

// flush commits all finished results. It stops when a commit fails or ctx ends.
func (r *run) flush(ctx context.Context) {
	more := true
	for more && ctx.Err() == nil {
		// commitBatch has handled the error.
		more, _ = r.commitBatch(ctx)
	}
}

// nextBatch returns the next batch to commit, nil if no results are queued. They stay queued until
// markCommitted is called. It fails if a text that is too large for a row can't be stored.
func (r *run) nextBatch(ctx context.Context) (*pendingBatch, error) {
	r.mu.Lock()
	results, position := r.list.batch()
	r.mu.Unlock()
	if len(results) == 0 {
		return nil, nil
	}
	rec := r.current()
	puts, err := resultPuts(ctx, r.m.Store, rec.ID, position, results)
	if err != nil {
		return nil, err
	}
	txn := rowstore.Txn{Puts: puts, Expected: append(
		[]rowstore.Expectation{{Key: stateKey(rec.ID), Version: rec.version}}, endOfResults(rec.ID, position, puts)...,
	)}
	return &pendingBatch{results: results, position: position, commit: rowstore.PendingCommit{Txn: txn}}, nil
}

// commitPending commits the pending batch. It stops the run if the store rejected the batch.
func (r *run) commitPending(ctx context.Context) error {
	rec, batch := r.current(), r.pending
	started := time.Now()
	_, err := batch.commit.Confirm(ctx, r.m.Store)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		r.handleConflict(conflict, batch.position)
		return err
	}
	subject := event.Subject{
		Step: rec.ID, Account: rec.Account, Epoch: uint64(rec.Epoch), Count: int64(len(batch.results)), Position: int64(batch.position),
	}
	if err != nil {
		subject.Detail = err.Error()
		switch {
		case batch.commit.EffectUnknown:
			r.m.Events.Emit(event.CommitUnknown, subject)
		case ctx.Err() == nil:
			r.m.Events.Emit(event.DependencyLost, event.Subject{Step: rec.ID, Detail: "results: " + err.Error()})
		}
		return err
	}
	r.pending = nil
	r.markCommitted(batch.results)
	subject.Detail = time.Since(started).Round(time.Millisecond).String()
	r.m.Events.Emit(event.SamplesCommitted, subject)
	return nil
}

// handleConflict stops the run after the store rejected its results from a position on: another VM
// owns the step now, the step has ended, or, under an unchanged state row, the position is taken.
func (r *run) handleConflict(conflict *rowstore.Conflict, position int) {
	rec := r.current()
	now, err := decodeState(conflict.Row(stateKey(rec.ID)))
	lost := event.Subject{Step: rec.ID, Account: rec.Account, Epoch: uint64(rec.Epoch), Position: int64(position)}
	if err == nil && now.version == rec.version {
		lost.Detail = "the state is unchanged, but rows of these results exist"
	}
	r.m.Events.Emit(event.StepLost, lost)
	if err == nil {
		r.m.observeState(now)
	}
	r.m.stop(r)
}

// markCommitted marks a batch as committed and notifies readers.
func (r *run) markCommitted(batch []Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	position := len(r.list.committed)
	r.list.confirm(batch)
	r.emitRepeated(position)
	r.notifyReadersLocked()
	if r.list.complete() {
		r.m.Events.Emit(event.StepCompleted, event.Subject{Step: r.rec.ID, Account: r.rec.Account, Count: int64(len(r.list.committed))})
	}
}

// notifyReadersLocked notifies readers of committed results, with mu held.
func (r *run) notifyReadersLocked() {
	close(r.committedCh)
	r.committedCh = make(chan struct{})
}

// emitRepeated emits an event for each committed result, from a position on, whose item has an
// earlier result too.
func (r *run) emitRepeated(from int) {
	for _, position := range r.list.repeated(from) {
		item := r.list.committed[position].Item
		r.m.Events.Emit(event.ItemListedTwice, event.Subject{
			Step: r.rec.ID, Slot: item, Account: r.rec.Account, Position: int64(position),
			Detail: "first position " + strconv.Itoa(r.list.positions[item]),
		})
	}
}

// resultsFrom returns the committed results from a position on, and a channel that is
// closed when more are committed.
func (r *run) resultsFrom(position int) ([]Result, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position >= len(r.list.committed) {
		return nil, r.committedCh
	}
	return truncateResults(readLimit, r.list.committed[position:]), r.committedCh
}
