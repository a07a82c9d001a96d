package step

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/wait"
)

const (
	// groupTime is how long finished results are collected before they are committed
	// together. It is short compared with the interval of a trainer's reads, and long
	// enough that one step does not exhaust the commit rate of its partition.
	groupTime = 60 * time.Millisecond
	// groupBytes is the size of collected texts from which on a commit doesn't wait for
	// groupTime.
	groupBytes = 200 << 10
)

// commitLoop commits finished results in batches, from the acceptance of the step until
// the run ends.
func (r *run) commitLoop() {
	select {
	case <-r.ctx.Done():
		return
	case <-r.isAccepted:
	}
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.more:
		}
		if !r.full() {
			wait.For(r.ctx, groupTime)
		}
		if r.listOnce(r.ctx) {
			r.signalMore()
		}
	}
}

// listOnce commits one batch of finished results and reports whether more are queued.
// Results that finish during the commit are left for the next batch, since committing each
// as soon as the store answers would cost one transaction per result.
func (r *run) listOnce(ctx context.Context) (more bool) {
	r.commit.Lock()
	defer r.commit.Unlock()
	batch, position := r.take()
	if len(batch) == 0 || !r.list(ctx, batch, position) {
		return false
	}
	return r.waiting() > 0
}

// waiting returns the number of results that are finished but not committed.
func (r *run) waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue)
}

// signalMore notifies commitLoop of finished results.
func (r *run) signalMore() {
	select {
	case r.more <- struct{}{}:
	default:
	}
}

// full reports whether the queued results are worth a commit before groupTime has passed.
func (r *run) full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queued >= groupBytes
}

// flush commits all finished results, until a commit fails or ctx ends.
func (r *run) flush(ctx context.Context) {
	more := true
	for more && ctx.Err() == nil {
		more = r.listOnce(ctx)
	}
}

// take returns the next results to commit and the position of the first. They stay in the
// queue until they are committed.
func (r *run) take() ([]Result, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const atOnce = 60
	n, size := 0, 0
	for n < len(r.queue) && n < atOnce && (n == 0 || size < groupBytes) {
		size += len(r.queue[n].Text)
		n++
	}
	return append([]Result(nil), r.queue[:n]...), len(r.listed)
}

// list commits results at a position and reports whether another batch may follow: after a
// commit, or, once loadPause has passed, after a failure to store a text that is too large
// for a row.
func (r *run) list(ctx context.Context, batch []Result, position int) bool {
	rec := r.current()
	puts, err := listing(ctx, r.m.Store, rec.ID, position, batch)
	if err != nil {
		r.m.Events.Emit(event.DependencyLost, event.Subject{Step: rec.ID, Detail: "results: " + err.Error()})
		return wait.For(ctx, loadPause)
	}
	txn := kept.Txn{Puts: puts, Expected: []kept.Expectation{{Key: stateKey(rec.ID), Version: rec.version}}}
	for _, put := range puts {
		txn.Expected = append(txn.Expected, kept.Expectation{Key: put.Key})
	}
	started := time.Now()
	_, err = kept.CommitSurely(ctx, r.m.Store, txn)
	var conflict *kept.Conflict
	if errors.As(err, &conflict) {
		r.overtaken(conflict)
		return false
	}
	if err != nil {
		return false
	}
	r.noteListed(batch)
	r.m.Events.Emit(event.SamplesCommitted, event.Subject{
		Step: rec.ID, Account: rec.Account, Epoch: uint64(rec.Epoch), Count: int64(len(batch)),
		Detail: time.Since(started).Round(time.Millisecond).String(),
	})
	return true
}

// overtaken stops the run after the store rejected its results because the state row has
// changed: another VM owns the step now, or the step has ended.
func (r *run) overtaken(conflict *kept.Conflict) {
	rec := r.current()
	r.m.Events.Emit(event.StepLost, event.Subject{Step: rec.ID, Account: rec.Account, Epoch: uint64(rec.Epoch)})
	if now, err := decodeState(conflict.Row(stateKey(rec.ID))); err == nil {
		r.m.learn(now)
	}
	r.m.stop(r)
}

// noteListed moves committed results from queue to listed and notifies readers.
func (r *run) noteListed(batch []Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range batch {
		r.queued -= len(result.Text)
	}
	r.queue = r.queue[len(batch):]
	r.listed = append(r.listed, batch...)
	close(r.changed)
	r.changed = make(chan struct{})
	if len(r.listed) == len(r.items) {
		r.m.Events.Emit(event.StepCompleted, event.Subject{Step: r.rec.ID, Account: r.rec.Account, Count: int64(len(r.listed))})
	}
}

// resultsFrom returns the committed results from a position on, and a channel that is
// closed when more are committed.
func (r *run) resultsFrom(position int) ([]Result, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position >= len(r.listed) {
		return nil, r.changed
	}
	return within(readLimit, r.listed[position:]), r.changed
}
