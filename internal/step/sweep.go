package step

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/rowstore"
)

const (
	// sweepInterval is the interval at which expired steps are removed.
	sweepInterval = 5 * time.Second
	// retentionGracePeriod is a grace period added to the retention time of ended steps before
	// they are removed.
	retentionGracePeriod = 30 * time.Second
	// sweepMaxRows is the maximum number of rows removed in one transaction; the store
	// accepts 100.
	sweepMaxRows = 80
)

// sweep removes the rows and objects of expired steps. The state row is removed last,
// so that a later sweep finds a step whose removal was interrupted.
func (m *Manager) sweep(ctx context.Context) {
	now, ok := m.Clock.StoreNow()
	if !ok {
		return
	}
	for _, r := range m.expired(now) {
		if err := m.removeStep(ctx, r); err != nil {
			m.Events.Emit(event.DependencyLost, event.Subject{Step: r.ID, Detail: "removal of a step: " + err.Error()})
			return
		}
	}
}

// expired returns the ended steps whose retention has passed and that this VM ranks first
// to remove.
func (m *Manager) expired(now int64) []stateRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var steps []stateRecord
	for id, r := range m.states {
		if m.isExpired(r, now) && m.Members.Rank(id) == 0 {
			steps = append(steps, r)
		}
	}
	return steps
}

// isExpired reports whether a step has ended and its retention has passed, so that it may have been
// removed.
func (m *Manager) isExpired(r stateRecord, now int64) bool {
	age := time.Duration(now-r.SubmittedAt) * time.Millisecond
	return r.Ended && age > m.Retention+retentionGracePeriod
}

// mayBeRemoved reports whether a step that this VM knows is expired or, since the store's clock is
// unknown, may be.
func (m *Manager) mayBeRemoved(id string) bool {
	now, ok := m.Clock.StoreNow()
	known, isKnown := m.lookUp(id)
	return !ok || isKnown && m.isExpired(known, now)
}

// removeStep removes the objects and rows of a step, the last rows of each table first: a reader during
// the removal finds fewer results, none of them at the position of another. The names of the rows beside
// the state row sort before it. Each transaction expects the
// state row: one that takes effect late must not remove rows of a step with the same ID that was
// submitted since.
func (m *Manager) removeStep(ctx context.Context, r stateRecord) error {
	for _, name := range r.Objects {
		if err := m.Store.DeleteObject(ctx, name); err != nil {
			return err
		}
	}
	for _, table := range []string{itemsTable, resultTable, textTable, stateTable} {
		rows, err := rowstore.ReadAll(ctx, m.Store, table, r.ID)
		if err != nil {
			return err
		}
		if table != stateTable {
			slices.Reverse(rows)
		}
		for len(rows) > 0 {
			n := min(len(rows), sweepMaxRows)
			txn := rowstore.Txn{Expected: []rowstore.Expectation{{Key: stateKey(r.ID), Version: r.version}}}
			for _, row := range rows[:n] {
				txn.Deletes = append(txn.Deletes, row.Key)
			}
			_, err := m.Store.Commit(ctx, txn)
			var conflict *rowstore.Conflict
			if errors.As(err, &conflict) {
				// The step was removed already.
				return nil
			}
			if err != nil {
				return err
			}
			rows = rows[n:]
		}
	}
	return nil
}
