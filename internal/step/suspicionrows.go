package step

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/wait"
)

const (
	// suspicionSaveTimeout bounds one save of suspicions.
	suspicionSaveTimeout = 2 * time.Second
	// maxSaveCommits bounds the commits of one save. Each further one follows a change of the step's
	// state row.
	maxSaveCommits = 4
	// acceptancePollInterval is the time between two checks whether another copy of an early run's step is accepted.
	acceptancePollInterval = 100 * time.Millisecond
)

// signalSave makes saveSuspicionsLoop save suspicions.
func (r *run) signalSave() {
	select {
	case r.saveCh <- struct{}{}:
	default:
	}
}

// requests returns the identities of the run's items and of their score calls, and whether the items are done.
func (r *run) requests() map[suspicion.Request]bool {
	requests := make(map[suspicion.Request]bool)
	for i, current := range r.phases() {
		requests[r.request(i)] = current == phaseDone
		if r.items[i].Score != nil {
			requests[r.scoreRequest(i)] = current == phaseDone
		}
	}
	return requests
}

// saveSuspicions brings the rows of suspicions up to date, and reports whether it did.
func (r *run) saveSuspicions(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case r.saveSlot <- struct{}{}:
	}
	defer func() { <-r.saveSlot }()
	records := r.m.suspicions.Unstored(r.requests())
	if len(records) == 0 {
		return true
	}
	if err := r.m.commitSuspicions(ctx, r.current(), records); err != nil {
		if ctx.Err() == nil {
			r.m.Events.Emit(event.DependencyLost, event.Subject{Step: r.rec.ID, Detail: "lost answers: " + err.Error()})
		}
		return false
	}
	r.m.suspicions.NoteStored(records, time.Now())
	return true
}

// confirmSuspicions reports whether this VM has read, after a time, what other VMs have stored of the items, and reads it if
// it hasn't. Of two VMs that each store an attempt at an item and then read, one at least knows of both.
func (r *run) confirmSuspicions(ctx context.Context, after time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case r.saveSlot <- struct{}{}:
	}
	defer func() { <-r.saveSlot }()
	if !r.confirmedAt.Before(after) {
		return true
	}
	began := time.Now()
	for _, id := range r.m.openStepsOf(r.rec.Account) {
		if err := r.m.readSuspicions(ctx, id); err != nil {
			if ctx.Err() == nil {
				r.m.Events.Emit(event.DependencyLost, event.Subject{Step: id, Detail: "lost answers: " + err.Error()})
			}
			return false
		}
	}
	r.confirmedAt = began
	return true
}

// openStepsOf returns the steps of an account that have not ended, as far as this VM knows. They may have the same items.
func (m *Manager) openStepsOf(account string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for id, s := range m.states {
		if s.Account == account && !s.Ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// saveSuspicionsLoop saves lost answers at once, until the run ends, and then once more: the trainer may
// submit the items of an incomplete group again.
func (r *run) saveSuspicionsLoop() {
	if !r.tellPeersUntilAccepted() {
		r.saveOnceAccepted()
		return
	}
	r.signalSave()
	for ended := false; !ended; {
		select {
		case <-r.ctx.Done():
			ended = true
		case <-r.saveCh:
			// The items of an engine lose their answers at the same moment.
			wait.For(r.ctx, dispatchBatchDelay)
		}
		if !r.saveChangedSuspicions() {
			r.tellPeers()
			wait.For(r.ctx, refusedCommitBackoff)
			r.signalSave()
		}
	}
}

// saveOnceAccepted saves the lost answers of an early run that was stopped, once another copy of its step is accepted: they count
// for that one. It ends at the latest when the lost answers expire.
func (r *run) saveOnceAccepted() {
	for wait.For(r.m.ctx, acceptancePollInterval) && !r.m.canAbandon(r) {
		if len(r.m.suspicions.Unstored(r.requests())) == 0 || r.saveChangedSuspicions() {
			return
		}
	}
}

// commitSuspicions adds rows with lost answers to a step. It expects only that the step exists: what an
// earlier owner or another copy of the step knows holds too.
func (m *Manager) commitSuspicions(ctx context.Context, rec stateRecord, records []suspicion.Record) error {
	chunks, err := pack(records, rowLimit)
	if err != nil {
		return err
	}
	if known, ok := m.lookUp(rec.ID); ok {
		rec = known
	}
	if rec.version == 0 {
		return errors.WithStack(&fault.StepUnknown{Step: rec.ID})
	}
	var puts []rowstore.Put
	var expected []rowstore.Expectation
	for _, chunk := range chunks {
		key := rowstore.Key{Table: stateTable, Part: rec.ID, Name: m.suspicions.RowName()}
		puts = append(puts, rowstore.Put{Key: key, Value: chunk.body})
		expected = append(expected, rowstore.Expectation{Key: key})
	}
	version := rec.version
	for range maxSaveCommits {
		_, err = rowstore.CommitConfirmed(ctx, m.Store, rowstore.Txn{
			Expected: append([]rowstore.Expectation{{Key: stateKey(rec.ID), Version: version}}, expected...), Puts: puts,
		})
		var conflict *rowstore.Conflict
		if !errors.As(err, &conflict) {
			return err
		}
		if version = conflict.Row(stateKey(rec.ID)).Version; version == 0 {
			return errors.WithStack(&fault.StepUnknown{Step: rec.ID})
		}
	}
	return err
}

// readSuspicions reads the lost answers of a step, which this VM may not have watched yet.
func (m *Manager) readSuspicions(ctx context.Context, id string) error {
	rows, err := rowstore.ReadAll(ctx, m.Store, stateTable, id)
	m.observeSuspicions(rows)
	return err
}

// observeSuspicions joins the rows of suspicions among rows to the ledger. The runs save what an older row of another
// VM took back although an attempt is in progress here.
func (m *Manager) observeSuspicions(rows []rowstore.Row) {
	if !slices.ContainsFunc(rows, suspicion.IsRow) {
		return
	}
	for _, row := range m.suspicions.Observe(rows, time.Now()) {
		m.Events.Emit(event.RowUnreadable, event.Subject{Step: row.Part, Detail: row.String()})
	}
	for _, r := range m.runsByDueTime() {
		r.signalSave()
	}
	m.notifyDispatcher()
}
