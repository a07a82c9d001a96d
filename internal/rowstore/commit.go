package rowstore

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/wait"
)

const (
	// minCommitBackoff and maxCommitBackoff bound the backoff between the attempts of a
	// commit with an unknown outcome. An available store answers within 5 ms, and its
	// outages last seconds.
	minCommitBackoff = 30 * time.Millisecond
	maxCommitBackoff = 400 * time.Millisecond
)

// CommitConfirmed runs a transaction and retries it until its outcome is known or ctx ends. See
// PendingCommit.Confirm for its errors.
func CommitConfirmed(ctx context.Context, store Store, txn Txn) (int64, error) {
	return (&PendingCommit{Txn: txn}).Confirm(ctx, store)
}

// PendingCommit is a transaction whose outcome is to be found out, possibly by several calls of
// Confirm. Its zero value with a Txn has not been sent.
type PendingCommit struct {
	Txn Txn
	// EffectUnknown is true if a copy of the transaction may have taken effect or may still do
	// so.
	EffectUnknown bool
}

// Confirm runs the transaction and retries it until its outcome is known or ctx ends. A
// commit without an answer may have taken effect, or may do so seconds later if its
// expectations still hold, so reading the rows proves nothing. Therefore the same
// transaction is sent again: the first copy that the store runs changes the versions of the
// expected rows, and every other copy is refused. If a refusal shows the values of this
// transaction, one of its copies has taken effect.
//
// The transaction must put at least one row that it also expects, with a value that no
// other writer writes. Confirm fails with *Conflict if another writer won; then no
// copy ever takes effect. It fails with another error, such as *fault.PlatformRefused, only
// while no copy can have taken effect; after a copy without an answer, such an error says
// nothing about that copy and is retried. If ctx ends first, Confirm fails with
// *fault.StoreUnavailable, whose EffectUnknown is that of the PendingCommit.
func (p *PendingCommit) Confirm(ctx context.Context, store Store) (int64, error) {
	backoff := minCommitBackoff
	for {
		version, err := store.Commit(ctx, p.Txn)
		if err == nil {
			p.EffectUnknown = false
			return version, nil
		}
		var conflict *Conflict
		if errors.As(err, &conflict) {
			committed, rowVersion := isCommitted(conflict, p.Txn)
			committed = committed && p.EffectUnknown
			p.EffectUnknown = false
			if committed {
				return rowVersion, nil
			}
			return 0, err
		}
		var unavailable *fault.StoreUnavailable
		if errors.As(err, &unavailable) {
			p.EffectUnknown = p.EffectUnknown || unavailable.EffectUnknown
		} else if !p.EffectUnknown {
			return 0, err
		}
		if unavailable != nil && unavailable.Recovered {
			// The store has answered other calls since, so the outage is over.
			backoff = minCommitBackoff
		}
		if !wait.For(ctx, backoff) {
			return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: p.EffectUnknown})
		}
		backoff = min(2*backoff, maxCommitBackoff)
	}
}

// isCommitted reports whether the rows that the transaction both expects and puts have the
// values of its puts, and the version of these rows.
func isCommitted(conflict *Conflict, txn Txn) (committed bool, version int64) {
	for _, put := range txn.Puts {
		if !expects(txn, put.Key) {
			continue
		}
		row := conflict.Row(put.Key)
		if row.Version == 0 || !bytes.Equal(row.Value, put.Value) {
			return false, 0
		}
		committed, version = true, row.Version
	}
	return committed, version
}

func expects(txn Txn, key Key) bool {
	for _, e := range txn.Expected {
		if e.Key == key {
			return true
		}
	}
	return false
}
