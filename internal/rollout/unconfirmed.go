package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/wait"
)

// settleTimeout bounds how long Close waits for the outcomes of commits. It leaves
// time for reads after commitGracePeriod.
const settleTimeout = commitGracePeriod + 2*time.Second

// batchWrite is the transaction that writes a batch of samples.
type batchWrite struct {
	ref   stepRef
	epoch uint64
	txn   platformapi.Txn
	// progressVersion is the version of the progress row that the transaction
	// requires.
	progressVersion uint64
	samples         []sample.Sample
}

func (w batchWrite) lastNumber() int64 { return w.samples[len(w.samples)-1].Number }

// writeOutcome is what the store shows of a batchWrite whose answer was lost.
type writeOutcome int

const (
	// writePending writes have not taken effect and still may.
	writePending writeOutcome = iota
	writeCommitted
	// writeSuperseded writes never take effect.
	writeSuperseded
	// writeUndecidable writes were followed by a withdrawal under a later owner,
	// which overwrote the only trace of them.
	writeUndecidable
)

// outcome reads the outcome of a write. It relies on at most one write of an
// owner having an unknown outcome at a time.
func (s store) outcome(ctx context.Context, w batchWrite) (writeOutcome, error) {
	progress, row, err := s.progress(ctx, w.ref)
	if err != nil {
		return writePending, err
	}
	switch {
	case row.Version == w.progressVersion:
		return writePending, nil
	case progress.Committed < w.lastNumber():
		return writeSuperseded, nil
	case progress.Epoch == w.epoch:
		// Only the owner with this epoch assigns numbers.
		return writeCommitted, nil
	}
	batchRow, err := s.tables.Get(ctx, w.ref.batchKey(w.lastNumber()))
	switch {
	case err != nil:
		return writePending, err
	case batchRow.Nonce == w.txn.Nonce:
		return writeCommitted, nil
	case batchRow.Version > 1:
		return writeUndecidable, nil
	default:
		return writeSuperseded, nil
	}
}

func isOutcomeUnknown(err error) bool {
	var unavailable *fault.StoreUnavailable
	return errors.As(err, &unavailable) && unavailable.EffectUnknown
}

// settleUnconfirmed finds out whether the previous write took effect, if that is
// unknown, and sends it again if it is pending. It fails with
// *fault.PreconditionFailed when the outcome must be read again.
func (o *owner) settleUnconfirmed(ctx context.Context) error {
	if o.unconfirmed == nil {
		return nil
	}
	w := *o.unconfirmed
	outcome, err := o.store.outcome(ctx, w)
	if err != nil {
		return err
	}
	if outcome == writePending {
		if err := o.guard.Check(); err != nil {
			return err
		}
		if err := o.store.send(ctx, w.txn); err != nil {
			return err
		}
		outcome = writeCommitted
	}
	o.unconfirmed = nil
	o.concludeWrite(w, outcome)
	return nil
}

// concludeWrite records the usage of a write with a known outcome. Usage that
// can't be decided is not billed.
func (m *Manager) concludeWrite(w batchWrite, outcome writeOutcome) {
	switch outcome {
	case writeCommitted:
		m.recordUsage(w)
	case writeUndecidable:
		m.emitUnbilled(w, "a commit was overwritten before its outcome was known")
	case writePending, writeSuperseded:
	}
}

func (m *Manager) emitUnbilled(w batchWrite, reason string) {
	m.events.Emit(event.UsageIncomplete, event.Subject{
		Account: string(w.ref.account),
		Step:    w.ref.step,
		Count:   int64(len(w.samples)),
		Detail:  reason,
	})
}

// addUnconfirmed takes over a write whose owner has stopped.
func (m *Manager) addUnconfirmed(w batchWrite) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unconfirmed = append(m.unconfirmed, w)
}

func (m *Manager) takeUnconfirmed() []batchWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.unconfirmed
	m.unconfirmed = nil
	return taken
}

// settleAbandoned concludes the writes of owners that have stopped, and reports
// whether no outcome is unknown any more. It sends none of them again: another VM
// may own the step.
func (m *Manager) settleAbandoned(ctx context.Context) bool {
	select {
	case m.settling <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-m.settling }()
	settled := true
	for _, w := range m.takeUnconfirmed() {
		outcome, err := m.store.outcome(ctx, w)
		if err != nil || outcome == writePending {
			m.addUnconfirmed(w)
			settled = false
			continue
		}
		m.concludeWrite(w, outcome)
	}
	return settled
}

// settleBeforeClose concludes the writes of owners until all outcomes are known
// or the deadline has passed.
func (m *Manager) settleBeforeClose(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for !m.settleAbandoned(ctx) {
		if !wait.For(ctx, commitBackoff) {
			break
		}
	}
	for _, w := range m.takeUnconfirmed() {
		m.emitUnbilled(w, "the outcome of a commit is unknown")
	}
}
