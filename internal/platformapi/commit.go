package platformapi

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/wait"
)

// NewNonce returns a nonce for a transaction.
func NewNonce() string { return uuid.NewString() }

const (
	// maxConfirmAttempts limits the attempts to confirm a commit with an unknown
	// outcome.
	maxConfirmAttempts = 4
	// confirmBackoff is the backoff after the first of these attempts; it grows by
	// half after each further one.
	confirmBackoff = 20 * time.Millisecond
)

// CommitConfirmed runs a transaction, and tries to confirm it if its outcome is
// unknown. A commit without an answer may have taken effect, may take effect
// later, or may never take effect. A plain retry would fail the preconditions of
// the transaction if the first copy took effect, as if another writer had
// committed first. Therefore CommitConfirmed reads the row of the first write,
// which must not be a deletion. If the row has the nonce of this transaction, the
// commit took effect. If the row still meets its precondition, the same
// transaction is sent again. Versions never repeat, so at most one of the copies
// takes effect.
//
// CommitConfirmed fails with *fault.PreconditionFailed only if no copy has taken
// effect or ever will. It fails with *fault.StoreUnavailable, whose EffectUnknown
// is true, if the store did not answer or the row has been overwritten since.
//
// If the row of the first write must be absent, only the writer of this
// transaction may delete it later. After a deletion by another writer, a
// transaction that took effect would look like one that never ran, and would run
// again.
func CommitConfirmed(ctx context.Context, tables Tables, txn Txn) error {
	firstErr := tables.Commit(ctx, txn)
	if !isEffectUnknown(firstErr) {
		return firstErr
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = confirmBackoff
	delays.RandomizationFactor = 0
	lastErr := firstErr
	for range maxConfirmAttempts {
		var known bool
		if lastErr, known = confirm(ctx, tables, txn, lastErr); known {
			return lastErr
		}
		if !wait.For(ctx, delays.NextBackOff()) {
			return firstErr
		}
	}
	return firstErr
}

// confirm determines the outcome of a commit whose last attempt failed with
// lastErr, and sends the transaction again if no copy has taken effect yet. If known
// is true, err is the outcome; otherwise it is the error of the last attempt.
func confirm(ctx context.Context, tables Tables, txn Txn, lastErr error) (err error, known bool) {
	row, readErr := tables.Get(ctx, txn.Writes[0].Key)
	if readErr != nil {
		return lastErr, false
	}
	switch outcomeOf(row, txn) {
	case committed:
		return nil, true
	case superseded:
		return errors.WithStack(&fault.PreconditionFailed{Row: row.Key, Have: row.Version}), true
	case overwritten:
		return newEffectUnknownError(), true
	case pending:
	}
	if fault.Is[*fault.PreconditionFailed](lastErr) {
		// A copy was refused although the first row is unchanged. So another row
		// of the transaction has changed, and every copy will be refused.
		return lastErr, true
	}
	err = tables.Commit(ctx, txn)
	return err, err == nil
}

// outcome is what a row shows of a transaction whose answer was lost.
type outcome int

const (
	// pending means that no copy has taken effect yet.
	pending outcome = iota
	// committed means that a copy took effect.
	committed
	// superseded means that another transaction wrote the version that this one
	// would have written, so that no copy ever takes effect.
	superseded
	// overwritten means that the row has been written again since, so that it no
	// longer shows the outcome.
	overwritten
)

func outcomeOf(row Row, txn Txn) outcome {
	if row.Exists() && row.Nonce == txn.Nonce {
		return committed
	}
	for _, p := range txn.Preconditions {
		if p.Key != row.Key {
			continue
		}
		switch row.Version {
		case p.Version:
			return pending
		case p.Version + 1:
			return superseded
		}
	}
	return overwritten
}

func isEffectUnknown(err error) bool {
	var unavailable *fault.StoreUnavailable
	return errors.As(err, &unavailable) && unavailable.EffectUnknown
}

func newEffectUnknownError() error {
	return errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
}
