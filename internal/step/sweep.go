package step

import (
	"context"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/kept"
)

const (
	// sweepEvery is the period of looking for steps whose rows may go.
	sweepEvery = 5 * time.Second
	// keepSlack is added to the time for which ended steps stay readable.
	keepSlack = 30 * time.Second
	// sweptAtOnce bounds the rows removed in one transaction; the store takes 100.
	sweptAtOnce = 80
)

// sweep removes the rows of ended steps that nobody may ask for any more. The
// state row goes last, so that a step whose removal broke off is found again.
func (m *Manager) sweep(ctx context.Context) {
	now, ok := m.Clock.StoreNow()
	if !ok {
		return
	}
	for _, r := range m.expired(now) {
		if err := m.remove(ctx, r); err != nil {
			m.Events.Emit(event.DependencyLost, event.Subject{Step: r.ID, Detail: "removal of a step: " + err.Error()})
			return
		}
	}
}

func (m *Manager) expired(now int64) []record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []record
	for id, r := range m.known {
		age := time.Duration(now-r.SubmittedAt) * time.Millisecond
		if r.Ended && age > m.Keep+keepSlack && m.Members.Rank(id) == 0 {
			found = append(found, r)
		}
	}
	return found
}

func (m *Manager) remove(ctx context.Context, r record) error {
	for _, name := range r.Objects {
		if err := m.Store.DropObject(ctx, name); err != nil {
			return err
		}
	}
	for _, table := range []string{itemsTable, resultTable, textTable, stateTable} {
		rows, err := kept.ReadAll(ctx, m.Store, table, r.ID)
		if err != nil {
			return err
		}
		for len(rows) > 0 {
			n := min(len(rows), sweptAtOnce)
			var txn kept.Txn
			for _, row := range rows[:n] {
				txn.Removes = append(txn.Removes, row.Key)
			}
			if _, err := m.Store.Commit(ctx, txn); err != nil {
				return err
			}
			rows = rows[n:]
		}
	}
	return nil
}
