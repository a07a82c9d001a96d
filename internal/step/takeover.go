package step

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/wait"
)

// considerLoop looks for steps that nobody runs.
func (m *Manager) considerLoop(ctx context.Context) {
	ticker := time.NewTicker(considerEvery)
	defer ticker.Stop()
	lastSweep := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.look:
		}
		for _, r := range m.unowned(time.Now()) {
			m.loops.Go(func() { m.takeOver(ctx, r) })
		}
		if time.Since(lastSweep) > sweepEvery {
			lastSweep = time.Now()
			m.sweep(ctx)
		}
	}
}

// unowned returns the steps that this VM should run but does not, and marks them
// as being loaded. A step is taken over when its owner's process is gone, by the
// VM that ranks first for it; the others wait longer, each by its rank.
func (m *Manager) unowned(now time.Time) []record {
	if !m.Members.Ready() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return nil
	}
	var found []record
	for id, r := range m.known {
		if r.Ended || m.runs[id] != nil || m.loading[id] {
			continue
		}
		if r.Owner != "" && m.Members.Alive(r.Owner, r.OwnerLife) && (r.Owner != m.VM || r.OwnerLife != m.Life) {
			delete(m.orphan, id)
			continue
		}
		since, ok := m.orphan[id]
		if !ok {
			since = now
			m.orphan[id] = now
		}
		// The life before of this VM is over, whatever its row says to the others: this VM
		// knows it first when all lost power together.
		mine := r.Owner == m.VM
		if !mine && !m.mayTakeOver(r, now.Sub(since)) {
			continue
		}
		m.loading[id] = true
		found = append(found, r)
	}
	return found
}

// mayTakeOver reports whether this VM may take a step over that has had no living owner for
// a while: one that may read its items, when its turn by rank has come.
func (m *Manager) mayTakeOver(r record, orphanFor time.Duration) bool {
	residency := m.stepResidency(r.Spec)
	return residency.Allows(m.Domain) && orphanFor >= time.Duration(m.Members.RankWithin(r.ID, residency))*takeoverStep
}

// takeOver makes this VM the owner of a step and runs what is not listed yet.
// The results are read after the change of owner: from then on nobody else can
// list any, so that what is read is all there is.
func (m *Manager) takeOver(ctx context.Context, r record) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.loading, r.ID)
	}()
	if r.Owner != m.VM || r.OwnerLife != m.Life {
		var ok bool
		if r, ok = m.becomeOwner(ctx, r, 0); !ok {
			return
		}
	}
	for ctx.Err() == nil && m.stillMine(r) {
		items, err := readItems(ctx, m.Store, r.State)
		var listed []Result
		if err == nil {
			listed, err = readAllResults(ctx, m.Store, r.ID)
		}
		var texts map[string]savedText
		if err == nil && len(listed) < r.Total {
			texts, err = readTexts(ctx, m.Store, r.ID, func(row kept.Row) {
				m.Events.Emit(event.RowUnreadable, event.Subject{Step: r.ID, Detail: row.String()})
			})
		}
		if err == nil {
			m.start(r, items, listed, texts)
			return
		}
		if fault.Is[*fault.Internal](err) {
			m.Events.Emit(event.RowUnreadable, event.Subject{Step: r.ID, Detail: err.Error()})
		}
		wait.For(ctx, loadPause)
	}
}

// becomeOwner makes this VM the next owner of a step, if the step still is what the record
// says. Nobody else can list results of it from then on. made is which part of the texts
// an early run has.
func (m *Manager) becomeOwner(ctx context.Context, r record, made float64) (owned record, ok bool) {
	next := r.State
	next.Owner, next.OwnerLife, next.Nonce = m.VM, m.Life, uuid.NewString()
	next.Made = made
	next.Epoch++
	owned, ok, err := m.replaceState(ctx, r, next)
	if err != nil {
		m.notTaken(next, err)
	}
	return owned, ok && err == nil
}

func (m *Manager) notTaken(next State, err error) {
	m.Events.Emit(event.StepNotTaken, event.Subject{Step: next.ID, Account: next.Account, Epoch: uint64(next.Epoch), Detail: err.Error()})
}

func (m *Manager) stillMine(r record) bool {
	known, ok := m.lookUp(r.ID)
	return ok && known.version == r.version && !known.Ended
}

// Leave hands every step over: results at hand are listed, then the owner is
// taken out of the state, which the other VMs see at once. It returns when that is
// done or ctx ends.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	var runs []*run
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	m.mu.Unlock()
	var handOvers sync.WaitGroup
	for _, r := range runs {
		handOvers.Go(func() { m.handOver(ctx, r) })
	}
	handOvers.Wait()
}

func (m *Manager) handOver(ctx context.Context, r *run) {
	r.stopItems()
	if !r.accepted() {
		m.stop(r)
		return
	}
	r.flush(ctx)
	r.saveTexts(ctx, 1)
	rec := r.current()
	next := rec.State
	next.Owner, next.OwnerLife, next.Nonce = "", "", uuid.NewString()
	if _, done, err := m.replaceState(ctx, rec, next); err == nil && done {
		m.Events.Emit(event.StepHandedOver, event.Subject{Step: rec.ID, Account: rec.Account, Epoch: uint64(rec.Epoch)})
	}
	m.stop(r)
}
