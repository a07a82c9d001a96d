package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/fault"
)

// NewNonce returns a nonce for a transaction.
func NewNonce() string { return uuid.NewString() }

// readBackTries bounds how often a commit without an answer is read back.
const readBackTries = 4

// CommitSurely runs a transaction and settles a lost reply. When the reply of
// a commit is lost the transaction may have taken effect; running it again
// would then fail its own preconditions and look like a lost race. So the
// first written row, which must not be a deletion, is read back: if it
// carries this transaction's nonce the commit took effect, else it did not or
// it was overwritten since. If the store stays silent, the failure is
// *fault.StoreUnavailable with EffectUnknown.
func CommitSurely(ctx context.Context, tables Tables, txn Txn) error {
	err := tables.Commit(ctx, txn)
	var lost *fault.StoreUnavailable
	if err == nil || !errors.As(err, &lost) || !lost.EffectUnknown {
		return err
	}
	row, readErr := readBack(ctx, tables, txn.Writes[0].Key)
	if readErr != nil {
		return err
	}
	if row.Nonce == txn.Nonce {
		return nil
	}
	if unchanged(row, txn) {
		// A commit whose reply was lost may still be on its way, so an
		// unchanged row does not prove that it will not take effect later.
		return err
	}
	return errors.WithStack(&fault.PreconditionFailed{Row: row.Key, Have: row.Version})
}

func readBack(ctx context.Context, tables Tables, key string) (Row, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 20 * time.Millisecond
	read := func() (Row, error) { return tables.Get(ctx, key) }
	return backoff.Retry(ctx, read, backoff.WithBackOff(policy), backoff.WithMaxTries(readBackTries))
}

// unchanged reports whether the row is still as the transaction demanded it.
func unchanged(row Row, txn Txn) bool {
	for _, p := range txn.Preconditions {
		if p.Key == row.Key {
			return p.Version == row.Version
		}
	}
	return false
}
