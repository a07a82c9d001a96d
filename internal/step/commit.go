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
)

// commitLoop commits finished results in batches, from the acceptance of the step until
// the run ends.
func (r *run) commitLoop() {
	select {
	case <-r.ctx.Done():
		return
	case <-r.acceptedCh:
	}
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.uncommittedCh:
		}
		if !r.isBatchFull() {
			wait.For(r.ctx, commitDelay)
		}
		if r.commitBatch(r.ctx) {
			r.signalUncommitted()
		}
	}
}

// commitBatch commits one batch of finished results and reports whether more are queued.
// Results that finish during the commit are left for the next batch, since committing each
// as soon as the store answers would cost one transaction per result.
func (r *run) commitBatch(ctx context.Context) (more bool) {
	r.commitMu.Lock()
	defer r.commitMu.Unlock()
	batch, position := r.nextBatch()
	if len(batch) == 0 || !r.commitResults(ctx, batch, position) {
		return false
	}
	return r.uncommittedCount() > 0
}

// uncommittedCount returns the number of results that are finished but not committed.
func (r *run) uncommittedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.uncommitted)
}

// signalUncommitted notifies commitLoop of finished results.
func (r *run) signalUncommitted() {
	select {
	case r.uncommittedCh <- struct{}{}:
	default:
	}
}

// isBatchFull reports whether the queued results are worth a commit before commitDelay has
// passed.
func (r *run) isBatchFull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.uncommittedBytes >= commitBatchBytes
}

// flush commits all finished results. It stops when a commit fails or ctx ends.
func (r *run) flush(ctx context.Context) {
	more := true
	for more && ctx.Err() == nil {
		more = r.commitBatch(ctx)
	}
}

// nextBatch returns the next results to commit and the position of the first. They stay in
// uncommitted until markCommitted removes them.
func (r *run) nextBatch() ([]Result, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const maxResults = 60
	n, size := 0, 0
	for n < len(r.uncommitted) && n < maxResults && (n == 0 || size < commitBatchBytes) {
		size += len(r.uncommitted[n].Text)
		n++
	}
	return append([]Result(nil), r.uncommitted[:n]...), len(r.committed)
}

// commitResults commits results at a position and reports whether another batch may follow.
// It may after a commit. It also may after a failure to prepare the rows, for example to
// store a text that is too large for one; commitResults then waits for stepIOBackoff first.
func (r *run) commitResults(ctx context.Context, batch []Result, position int) bool {
	rec := r.current()
	puts, err := resultPuts(ctx, r.m.Store, rec.ID, position, batch)
	if err != nil {
		r.m.Events.Emit(event.DependencyLost, event.Subject{Step: rec.ID, Detail: "results: " + err.Error()})
		return wait.For(ctx, stepIOBackoff)
	}
	txn := rowstore.Txn{Puts: puts, Expected: []rowstore.Expectation{{Key: stateKey(rec.ID), Version: rec.version}}}
	for _, put := range puts {
		txn.Expected = append(txn.Expected, rowstore.Expectation{Key: put.Key})
	}
	started := time.Now()
	_, err = rowstore.CommitConfirmed(ctx, r.m.Store, txn)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		r.handleConflict(conflict, position)
		return false
	}
	if err != nil {
		r.m.Events.Emit(event.CommitUnknown, event.Subject{
			Step: rec.ID, Account: rec.Account, Epoch: uint64(rec.Epoch), Count: int64(len(batch)), Position: int64(position), Detail: err.Error(),
		})
		return false
	}
	r.markCommitted(batch)
	r.m.Events.Emit(event.SamplesCommitted, event.Subject{
		Step: rec.ID, Account: rec.Account, Epoch: uint64(rec.Epoch), Count: int64(len(batch)), Position: int64(position),
		Detail: time.Since(started).Round(time.Millisecond).String(),
	})
	return true
}

// handleConflict stops the run after the store rejected its results from a position on, because
// the state row has changed: another VM owns the step now, or the step has ended.
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

// markCommitted moves a batch from uncommitted to committed and notifies readers.
func (r *run) markCommitted(batch []Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range batch {
		r.uncommittedBytes -= len(result.Text)
	}
	r.uncommitted = r.uncommitted[len(batch):]
	r.appendCommitted(batch)
	close(r.committedCh)
	r.committedCh = make(chan struct{})
	if len(r.committed) == len(r.items) {
		r.m.Events.Emit(event.StepCompleted, event.Subject{Step: r.rec.ID, Account: r.rec.Account, Count: int64(len(r.committed))})
	}
}

// appendCommitted appends committed results. An item that is committed already is reported by an
// event. r.mu must be held.
func (r *run) appendCommitted(results []Result) {
	for _, result := range results {
		position := len(r.committed)
		if first, ok := r.positions[result.Item]; ok {
			r.m.Events.Emit(event.ItemListedTwice, event.Subject{
				Step: r.rec.ID, Slot: result.Item, Account: r.rec.Account, Position: int64(position),
				Detail: "first position " + strconv.Itoa(first),
			})
		} else {
			r.positions[result.Item] = position
		}
		r.committed = append(r.committed, result)
	}
}

// resultsFrom returns the committed results from a position on, and a channel that is
// closed when more are committed.
func (r *run) resultsFrom(position int) ([]Result, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position >= len(r.committed) {
		return nil, r.committedCh
	}
	return truncateResults(readLimit, r.committed[position:]), r.committedCh
}
