package platform

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
	// settleTries bounds how often a commit without an answer is looked into.
	settleTries = 4
	// settlePause is the first pause between the tries; it doubles.
	settlePause = 20 * time.Millisecond
)

// CommitSurely runs a transaction and settles a lost reply. When the reply of
// a commit is lost the transaction may have taken effect, may take effect
// later, or never. Running it again blindly would fail its own preconditions
// and look like a lost race. So the first written row, which must not be a
// deletion, is read: if it carries this transaction's nonce the commit took
// effect. If it is still as the precondition demanded, the same transaction is
// sent again: versions never repeat, so at most one of the copies takes effect.
//
// It fails with *fault.PreconditionFailed only when no copy took or will take
// effect. Otherwise the failure is *fault.StoreUnavailable with EffectUnknown:
// the store stayed silent, or the row was overwritten since.
//
// A first row that must be absent may be deleted only by the writer itself:
// after a deletion by others, a copy would be taken for one that never ran.
func CommitSurely(ctx context.Context, tables Tables, txn Txn) error {
	lost := tables.Commit(ctx, txn)
	if !effectUnknown(lost) {
		return lost
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = settlePause
	pauses.RandomizationFactor = 0
	latest := lost
	for range settleTries {
		var settled bool
		if latest, settled = settle(ctx, tables, txn, latest); settled {
			return latest
		}
		if !wait.For(ctx, pauses.NextBackOff()) {
			return lost
		}
	}
	return lost
}

// settle looks into a commit whose latest try failed with latest. It returns
// the outcome of the commit, or, when it is not settled, that of a new try.
func settle(ctx context.Context, tables Tables, txn Txn, latest error) (err error, settled bool) {
	row, readErr := tables.Get(ctx, txn.Writes[0].Key)
	if readErr != nil {
		return latest, false
	}
	switch fateOf(row, txn) {
	case committed:
		return nil, true
	case superseded:
		return errors.WithStack(&fault.PreconditionFailed{Row: row.Key, Have: row.Version}), true
	case overwritten:
		return unknownEffect(), true
	case pending:
	}
	if fault.Is[*fault.PreconditionFailed](latest) {
		// A copy was refused while the first row is untouched, so another row
		// of the transaction has moved on and every copy will be refused.
		return latest, true
	}
	err = tables.Commit(ctx, txn)
	return err, err == nil
}

// fate is what a row tells about a transaction whose reply was lost.
type fate int

const (
	// pending means that no copy has taken effect yet.
	pending fate = iota
	// committed means that a copy took effect.
	committed
	// superseded means that no copy ever takes effect.
	superseded
	// overwritten means that the row was written again, so that it does not
	// show any more what became of the transaction.
	overwritten
)

func fateOf(row Row, txn Txn) fate {
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

func effectUnknown(err error) bool {
	var lost *fault.StoreUnavailable
	return errors.As(err, &lost) && lost.EffectUnknown
}

func unknownEffect() error {
	return errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
}
