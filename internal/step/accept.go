package step

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
)

const (
	// submitTime bounds an acceptance. While the store is away, handing the step in
	// at another VM would not find a better one, so the trainer is kept waiting.
	submitTime = 8 * time.Second
	// earlyStart is how long an acceptance may be open before its items start all
	// the same. While the store is away the results are made but not listed, so that
	// a step that is accepted after an outage is whole a moment later.
	earlyStart = 250 * time.Millisecond
	// refusedWait is the Retry-After when a step can't be kept now.
	refusedWait = 300 * time.Millisecond
)

// Submit accepts a step. When it returns nil the step is kept, whatever happens
// to this VM. Its failures are marked: NotRun promises that no part of the step
// was kept and none ever will be by this call.
func (m *Manager) Submit(ctx context.Context, spec Spec, items []Item) error {
	if known, ok := m.lookUp(spec.ID); ok {
		return sameAccount(known, spec)
	}
	now, ok := m.Clock.StoreNow()
	if !ok {
		return notKept(&fault.StoreUnavailable{Operation: "submit"})
	}
	ctx, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	spec.SubmittedAt = now
	state := State{Spec: spec, Total: len(items), Epoch: 1, Nonce: uuid.NewString()}
	state.Work, state.Behind = work(items), m.behind(spec)
	state.Owner, state.OwnerLife = m.ownerFor(spec)
	txn, state, err := creation(ctx, m.Store, state, items)
	if err != nil {
		return notKept(err)
	}
	early := &earlyRun{manager: m, state: state, items: items}
	timer := time.AfterFunc(earlyStart, early.start)
	version, err := kept.CommitSurely(ctx, m.Store, txn)
	timer.Stop()
	err = m.submitted(record{State: state, version: version}, items, early, err)
	if early.close() {
		// Items have run, so that nothing may be promised any more.
		return fault.WithExecution(err, fault.Unknown)
	}
	return err
}

// ownerFor chooses the owner of a new step: the process that has the other steps of
// its model. It knows how many slots of the model's engines are taken, where two
// owners would fill the same ones, and has connections to them. While the store is
// away the step stays here, where its items can start at once.
func (m *Manager) ownerFor(spec Spec) (vm, life string) {
	if p, ok := m.Prefer(spec.Model, m.stepResidency(spec)); ok && m.StoreWell() {
		return p.VM, p.Life
	}
	if m.isLeaving() {
		return "", ""
	}
	return m.VM, m.Life
}

// work adds up the expected work of items.
func work(items []Item) float64 {
	total := 0.0
	for _, item := range items {
		total += item.Expected
	}
	return total
}

// behind returns how far a step's oldest allowed version is behind the one named
// last.
func (m *Manager) behind(spec Spec) int64 {
	named, ok := m.Named(spec.Model)
	if !ok {
		named = 1
	}
	return max(named-spec.MinVersion, 0)
}

// submitted judges the outcome of an acceptance.
func (m *Manager) submitted(r record, items []Item, early *earlyRun, err error) error {
	var conflict *kept.Conflict
	if errors.As(err, &conflict) {
		kept, decodeErr := decodeState(conflict.Row(stateKey(r.ID)))
		if decodeErr != nil {
			return decodeErr
		}
		m.learn(kept)
		early.decide(kept)
		if !slices.Equal(kept.Objects, r.Objects) {
			m.loops.Go(func() { m.dropUnused(r.Objects) })
		}
		return sameAccount(kept, r.Spec)
	}
	var lost *fault.StoreUnavailable
	if errors.As(err, &lost) && !lost.EffectUnknown {
		return notKept(err)
	}
	if err != nil {
		return fault.WithExecution(err, fault.Unknown)
	}
	m.Events.Emit(event.StepOpened, event.Subject{Step: r.ID, Account: r.Account, Count: int64(r.Total)})
	m.note(r)
	switch {
	case r.Owner != m.VM:
	case early.accept(r):
		m.owned(r, 0)
	default:
		m.start(r, items, nil, nil)
	}
	return nil
}

// dropUnused removes the objects of a copy of a step that was not accepted. What can't be
// removed stays in the store and is told.
func (m *Manager) dropUnused(objects []string) {
	for _, name := range objects {
		if err := m.Store.DropObject(m.ctx, name); err != nil {
			m.Events.Emit(event.DependencyLost, event.Subject{Detail: "removal of the object " + name + ": " + err.Error()})
		}
	}
}

func notKept(err error) error {
	return fault.WithExecution(&refusal{cause: err}, fault.NotRun)
}

// refusal is a failure with the time after which a retry makes sense.
type refusal struct{ cause error }

func (r *refusal) Error() string { return r.cause.Error() }

// Unwrap returns the cause.
func (r *refusal) Unwrap() error { return r.cause }

// RetryAfter implements fault.RetryAfterer.
func (*refusal) RetryAfter() time.Duration { return refusedWait }

func sameAccount(r record, spec Spec) error {
	if r.Account != spec.Account {
		return errors.WithStack(&fault.StepMismatch{Step: spec.ID})
	}
	return nil
}
