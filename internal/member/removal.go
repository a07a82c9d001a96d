package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/rowstore"
)

const (
	// statusRowTTL is how long a VM must be unresponsive for its row to be removed. A
	// VM that returns later writes a new row with its first heartbeat.
	statusRowTTL = time.Minute
	// removalDuty is the duty by which the VMs are ranked for the removal of rows.
	removalDuty = "removal of silent members"
)

// removeExpired removes the rows of VMs that were replaced for good. In a fleet whose
// VMs are replaced all the time the list would otherwise grow without bound, and with
// it the intervals that the budget sets.
func (l *List) removeExpired(ctx context.Context) {
	if l.Rank(removalDuty) != 0 {
		return
	}
	for _, status := range l.expiredRows() {
		key := rowstore.Key{Table: table, Part: status.vm.FailureDomain, Name: status.vm.ID}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := l.store.Commit(callCtx, rowstore.Txn{
			Expected: []rowstore.Expectation{{Key: key, Version: status.version}},
			Deletes:  []rowstore.Key{key},
		})
		cancel()
		var conflict *rowstore.Conflict
		switch {
		case errors.As(err, &conflict):
		case err != nil:
			l.events.Emit(event.DependencyLost, event.Subject{Peer: status.vm.ID, Detail: "removal of a silent VM: " + err.Error()})
			return
		default:
			l.events.Emit(event.PeerRemoved, event.Subject{Peer: status.vm.ID, Count: status.unchangedFor.Milliseconds()})
		}
	}
}

// expiredRows returns the rows that may be removed.
func (l *List) expiredRows() []statusRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []statusRow
	for id, status := range l.rows {
		if id != l.self.ID && status.unchangedFor >= statusRowTTL {
			expired = append(expired, *status)
		}
	}
	return expired
}
