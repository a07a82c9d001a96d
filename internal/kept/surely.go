package kept

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/wait"
)

const (
	// firstPause and longestPause bound the pauses between the tries of a commit
	// whose outcome is open. The store answers within 5 ms when it is well, and
	// its outages last seconds.
	firstPause   = 30 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// CommitSurely runs a transaction until its outcome is certain or ctx ends. A
// commit without an answer may have taken effect, or may do so seconds later if
// its expectations still hold; reading the rows back proves nothing. So the very
// same transaction is sent again: whichever copy comes first moves the expected
// rows on, and every other copy is refused. A refusal that shows the values of
// this transaction means that a copy did it.
//
// The transaction must put at least one row that it also expects, with a value
// that no other writer writes. It fails with *Conflict when another writer won,
// and then no copy ever takes effect; otherwise with *fault.StoreUnavailable.
func CommitSurely(ctx context.Context, store Store, txn Txn) (int64, error) {
	pause, maybeDone := firstPause, false
	for {
		version, err := store.Commit(ctx, txn)
		if err == nil {
			return version, nil
		}
		var conflict *Conflict
		if errors.As(err, &conflict) {
			if done, at := carriedOut(conflict, txn); maybeDone && done {
				return at, nil
			}
			return 0, err
		}
		var lost *fault.StoreUnavailable
		if !errors.As(err, &lost) {
			return 0, err
		}
		maybeDone = maybeDone || lost.EffectUnknown
		if lost.Back {
			pause = firstPause
		}
		if !wait.For(ctx, pause) {
			return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: maybeDone})
		}
		pause = min(2*pause, longestPause)
	}
}

// carriedOut reports whether the current rows are those that the transaction
// puts, and their version.
func carriedOut(conflict *Conflict, txn Txn) (done bool, version int64) {
	for _, put := range txn.Puts {
		if !expects(txn, put.Key) {
			continue
		}
		row := conflict.Row(put.Key)
		if row.Version == 0 || !bytes.Equal(row.Value, put.Value) {
			return false, 0
		}
		done, version = true, row.Version
	}
	return done, version
}

func expects(txn Txn, key Key) bool {
	for _, e := range txn.Expected {
		if e.Key == key {
			return true
		}
	}
	return false
}
