package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/kept"
)

const (
	// removeAfter is how long a VM must be silent for its row to be removed. One that
	// comes back later writes a new row with its first beat.
	removeAfter = time.Minute
	// removalWork names the removals in the rank of the VMs.
	removalWork = "removal of silent members"
)

// removeSilent removes the rows of VMs that were replaced for good. The load is a fleet
// whose VMs change all the time: with their rows the list would grow without end, and with
// it the periods of the budget.
func (l *List) removeSilent(ctx context.Context) {
	if l.Rank(removalWork) != 0 {
		return
	}
	for _, s := range l.longSilent() {
		key := kept.Key{Table: table, Part: s.vm.FailureDomain, Name: s.vm.ID}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := l.store.Commit(call, kept.Txn{
			Expected: []kept.Expectation{{Key: key, Version: s.version}},
			Removes:  []kept.Key{key},
		})
		cancel()
		var beaten *kept.Conflict
		switch {
		case errors.As(err, &beaten):
		case err != nil:
			l.events.Emit(event.DependencyLost, event.Subject{Peer: s.vm.ID, Detail: "removal of a silent VM: " + err.Error()})
			return
		default:
			l.events.Emit(event.PeerRemoved, event.Subject{Peer: s.vm.ID, Count: s.silent.Milliseconds()})
		}
	}
}

// longSilent returns what is known of the VMs whose rows may be removed.
func (l *List) longSilent() []seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	var gone []seen
	for id, s := range l.rows {
		if id != l.self.ID && s.silent >= removeAfter {
			gone = append(gone, *s)
		}
	}
	return gone
}
