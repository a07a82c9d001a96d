package step

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
)

const (
	// submitTimeout is the timeout of a submission. During an outage of the store another
	// VM could not accept the step either, so the trainer waits here.
	submitTimeout = 8 * time.Second
	// earlyStartDelay is how long a submission may remain uncommitted before its items start
	// anyway. During an outage of the store results are generated but not committed, so
	// that a step accepted after the outage completes shortly afterwards.
	earlyStartDelay = 250 * time.Millisecond
	// submitRetryAfter is the Retry-After value when a step can't be stored now.
	submitRetryAfter = 300 * time.Millisecond
)

// Submit accepts a step. When it returns nil, the step is stored and survives the
// loss of this VM. Errors carry an execution status: NotRun guarantees that this call
// has stored no part of the step and never will.
func (m *Manager) Submit(ctx context.Context, spec Spec, items []Item) error {
	now, clockOK := m.Clock.StoreNow()
	// An expired step may have been removed, which this VM need not know yet. The store decides.
	if known, ok := m.lookUp(spec.ID); ok && !(clockOK && m.isExpired(known, now)) {
		return sameAccount(known, spec)
	}
	if !clockOK {
		return notStored(&fault.StoreUnavailable{Operation: "submit"})
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	spec.SubmittedAt = now
	state := State{Spec: spec, Total: len(items), Epoch: 1, Nonce: uuid.NewString(), ItemBytes: itemBytes(items), OwnerSince: now}
	if m.StepMemory > 0 && state.ItemBytes > m.StepMemory {
		return fault.WithExecution(errors.WithStack(&fault.BodyTooLarge{Limit: m.StepMemory}), fault.NotRun)
	}
	state.ExpectedTokens, state.VersionLag = expectedTokens(items), m.versionLag(spec)
	state.Owner, state.OwnerIncarnation = m.ownerFor(state)
	txn, state, err := creationTxn(ctx, m.Store, state, items)
	if err != nil {
		return notStored(err)
	}
	early := &earlyRun{manager: m, state: state, items: items}
	timer := time.AfterFunc(earlyStartDelay, early.start)
	version, err := rowstore.CommitConfirmed(ctx, m.Store, txn)
	timer.Stop()
	err = m.handleSubmitOutcome(ctx, stateRecord{State: state, version: version}, items, early, err)
	if early.close() {
		// Items have run, so the error must not claim that nothing was executed.
		return fault.WithExecution(err, fault.Unknown)
	}
	return err
}

// ownerFor chooses the owner of a new step: the process that owns the other steps of
// the same model. That process knows how many slots of the model's engines are in use
// and has connections to them, whereas two owners would fill the same slots. During an
// outage of the store this VM becomes the owner, because its items can start here at once. A VM
// without room for the step leaves it to the others.
func (m *Manager) ownerFor(state State) (vm, incarnation string) {
	p, ok := m.PreferredOwner(state.Model, m.stepResidency(state.Spec))
	if ok && m.StoreAvailable() && p.VM != m.VM {
		return p.VM, p.Incarnation
	}
	if m.isLeaving() || !m.hasRoom(state) {
		return "", ""
	}
	return m.VM, m.Incarnation
}

// expectedTokens returns the expected number of output tokens of all items.
func expectedTokens(items []Item) float64 {
	total := 0.0
	for _, item := range items {
		total += item.ExpectedTokens
	}
	return total
}

// versionLag returns the number of versions between a step's oldest allowed version and the one
// that the trainer announced last.
func (m *Manager) versionLag(spec Spec) int64 {
	announced, ok := m.AnnouncedVersion(spec.Model)
	if !ok {
		announced = 1
	}
	return max(announced-spec.MinVersion, 0)
}

// handleSubmitOutcome handles the outcome of the commit that creates a step.
func (m *Manager) handleSubmitOutcome(ctx context.Context, r stateRecord, items []Item, early *earlyRun, err error) error {
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		accepted, decodeErr := decodeState(conflict.Row(stateKey(r.ID)))
		if decodeErr != nil {
			return decodeErr
		}
		m.observeState(accepted)
		early.claimOrStop(accepted)
		if !slices.Equal(accepted.Objects, r.Objects) {
			m.tasks.Go(func() { m.deleteUnusedObjects(r.Objects) })
		}
		return sameAccount(accepted, r.Spec)
	}
	var unavailable *fault.StoreUnavailable
	if errors.As(err, &unavailable) && !unavailable.EffectUnknown {
		return notStored(err)
	}
	if err != nil {
		return fault.WithExecution(err, fault.Unknown)
	}
	opened := event.Subject{Step: r.ID, Account: r.Account, Count: int64(r.Total)}
	if now, ok := m.Clock.StoreNow(); ok {
		opened.Detail = (time.Duration(max(0, now-r.SubmittedAt)) * time.Millisecond).String()
	}
	m.Events.Emit(event.StepOpened, opened)
	m.recordState(r)
	switch {
	case r.Owner != m.VM:
	case early.accept(r, nil):
		m.emitOwned(r, 0)
	case !m.hasRoom(r.State):
		// The takeover loop leaves the step to another VM.
	default:
		m.start(r, items, nil, nil)
		m.releaseIfLeaving(ctx, r)
	}
	return nil
}

// deleteUnusedObjects deletes the objects of a copy of a step that was not accepted. An object
// that can't be deleted stays in the store and is reported by an event.
func (m *Manager) deleteUnusedObjects(objects []string) {
	for _, name := range objects {
		if err := m.Store.DeleteObject(m.ctx, name); err != nil {
			m.Events.Emit(event.DependencyLost, event.Subject{Detail: "removal of the object " + name + ": " + err.Error()})
		}
	}
}

// notStored returns the error of a submission that was not accepted and never will be.
func notStored(err error) error {
	return fault.WithExecution(&retryAfterError{cause: err}, fault.NotRun)
}

// retryAfterError is an error with a Retry-After time.
type retryAfterError struct{ cause error }

func (r *retryAfterError) Error() string { return r.cause.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (r *retryAfterError) Unwrap() error { return r.cause }

// RetryAfter implements fault.RetryAfterer.
func (*retryAfterError) RetryAfter() time.Duration { return submitRetryAfter }

// sameAccount fails with *fault.StepMismatch when the known step r belongs to another account
// than the submission.
func sameAccount(r stateRecord, spec Spec) error {
	if r.Account != spec.Account {
		return errors.WithStack(&fault.StepMismatch{Step: spec.ID})
	}
	return nil
}
