package step

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/wait"
)

// takeoverLoop takes over steps without a live owner and removes expired steps, until ctx
// ends.
func (m *Manager) takeoverLoop(ctx context.Context) {
	ticker := time.NewTicker(takeoverCheckInterval)
	defer ticker.Stop()
	lastSweep := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.takeoverSignal:
		}
		takeOvers, releases := m.selectForTakeover(time.Now())
		for _, r := range takeOvers {
			m.tasks.Go(func() {
				defer m.endTakeover(r.ID)
				m.takeOver(ctx, r)
			})
		}
		for _, r := range releases {
			m.tasks.Go(func() {
				defer m.endTakeover(r.ID)
				m.release(ctx, r)
			})
		}
		if time.Since(lastSweep) > sweepInterval {
			lastSweep = time.Now()
			m.sweep(ctx)
			m.checks.Expire(time.Now().Add(-m.Retention - retentionGracePeriod))
		}
	}
}

// selectForTakeover returns the steps that this VM should run but does not, and marks them
// as being taken over until endTakeover. A step is taken over when its owner's process is dead, by the VM
// that ranks first for the step. Each further VM waits longer, according to its rank. releases are
// the steps whose rows name this VM and that it must leave to others.
//
// Heartbeats may lag behind the state rows: while the store refuses some of the VMs, or after a
// partition. A state row is therefore a sign of life of the owner that it names, and a takeover needs
// the whole period without a heartbeat after it. Otherwise VMs that take each other for dead
// exchange the step at the rate of their transactions.
func (m *Manager) selectForTakeover(now time.Time) (takeOvers, releases []stateRecord) {
	if !m.Members.Ready() {
		return nil, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return nil, nil
	}
	for _, r := range m.openStatesLocked() {
		id := r.ID
		if _, busy := m.takingOver[id]; busy || m.runs[id] != nil {
			continue
		}
		if r.Owner != "" && m.Members.Alive(r.Owner, r.OwnerIncarnation) && !m.isOwner(r) {
			delete(m.unownedSince, id)
			continue
		}
		since, ok := m.unownedSince[id]
		if !ok {
			since = now
			m.unownedSince[id] = now
		}
		// A step whose owner is this VM needs no waiting: an earlier incarnation of this
		// VM is certainly dead, even while its status row still makes it look alive to
		// others, for example after a power failure of all VMs.
		switch ownStep := r.Owner == m.VM; {
		case ownStep && m.mustRelease(r):
			m.takingOver[id] = false
			releases = append(releases, r)
		case ownStep || m.canTakeOver(r, now.Sub(m.deathCountsFrom(r, since))):
			m.takingOver[id] = true
			takeOvers = append(takeOvers, r)
		}
	}
	return takeOvers, releases
}

// openStatesLocked returns the states of the steps that have not ended, in the order of their submission. mu must be
// held.
func (m *Manager) openStatesLocked() []stateRecord {
	var open []stateRecord
	for _, r := range m.states {
		if !r.Ended {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(a, b stateRecord) int {
		return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.ID, b.ID))
	})
	return open
}

// endTakeover ends what selectForTakeover has begun for a step.
func (m *Manager) endTakeover(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.takingOver, id)
}

// deathCountsFrom returns the time from which on a step counts as without a live owner. That is since,
// when the owner's heartbeats had stopped, but at least Members.DeathPeriod after the last sign of life
// and after the last outage of the store. An owner that handed the step over needs no such time.
func (m *Manager) deathCountsFrom(r stateRecord, since time.Time) time.Time {
	if r.Owner == "" {
		return since
	}
	evidenceFrom := r.changeSeenAt
	if ended := m.Members.OutageEndedAt(); ended.After(evidenceFrom) {
		evidenceFrom = ended
	}
	if earliest := evidenceFrom.Add(m.Members.DeathPeriod()); earliest.After(since) {
		return earliest
	}
	return since
}

// canTakeOver reports whether this VM may take over a step that has had no live owner for
// the given time. This VM must have the configuration under which the step was accepted and
// room for the step, the step's residency must allow this VM's failure domain, and the delay that
// follows from this VM's rank and from the step's last owners must have passed. mu must be held.
func (m *Manager) canTakeOver(r stateRecord, unownedFor time.Duration) bool {
	if m.needsNewerConfiguration(r.Spec) {
		m.readConfiguration()
		return false
	}
	residency := m.stepResidency(r.Spec)
	if !residency.Allows(m.Domain) || !m.hasRoomLocked(r.State) {
		return false
	}
	rank := m.Members.RankWithinResidency(r.ID, residency)
	return unownedFor >= time.Duration(rank)*takeoverRankDelay+takeoverDelay(r.State)
}

// takeOver makes this VM the owner of a step and runs the items without a committed
// result. The results are read after the change of the state row: from then on no other run can
// commit any, so the read is complete. The row is left as it is if it names this process, which has
// not run the step under it.
func (m *Manager) takeOver(ctx context.Context, r stateRecord) {
	if !m.isOwner(r) || m.hadRun(r) {
		lost := m.lostOwnerOf(r)
		if !m.isOwner(r) {
			r.ShortOwners = m.shortOwnersAfter(r.State)
		}
		var ok bool
		if r, ok = m.becomeOwner(ctx, r, 0); !ok {
			return
		}
		r.lostOwner = lost
	}
	for ctx.Err() == nil && m.isCurrent(r) {
		items, err := m.readItems(ctx, r.State)
		var committed []Result
		if err == nil {
			committed, err = readAllResults(ctx, m.Store, r.ID)
		}
		if err == nil {
			err = m.readSuspicions(ctx, r.ID)
		}
		var texts map[string]savedText
		if err == nil && len(committed) < r.Total {
			texts, err = readTexts(ctx, m.Store, r.ID, func(row rowstore.Row) {
				m.Events.Emit(event.RowUnreadable, event.Subject{Step: r.ID, Detail: row.String()})
			})
		}
		if err == nil {
			m.start(r, items, committed, texts)
			m.releaseIfLeaving(ctx, r)
			return
		}
		if fault.Is[*fault.Internal](err) {
			m.Events.Emit(event.RowUnreadable, event.Subject{Step: r.ID, Detail: err.Error()})
		}
		wait.For(ctx, stepIOBackoff)
	}
}

// becomeOwner makes this VM the next owner of a step, unless the state row has changed
// since r was read. From then on no earlier run can commit results of the step. generated is
// the share of the texts that an early run has generated; 0 without an early run.
func (m *Manager) becomeOwner(ctx context.Context, r stateRecord, generated float64) (owned stateRecord, ok bool) {
	next := r.State
	next.Owner, next.OwnerIncarnation, next.Nonce = m.VM, m.Incarnation, uuid.NewString()
	next.GeneratedShare = generated
	next.OwnerSince, _ = m.Clock.StoreNow()
	next.Epoch++
	owned, ok, err := m.replaceState(ctx, r, next)
	if err != nil {
		m.emitTakeoverFailed(next, err)
	}
	return owned, ok && err == nil
}

// emitTakeoverFailed emits the event that this VM failed to take over a step.
func (m *Manager) emitTakeoverFailed(next State, err error) {
	m.Events.Emit(event.TakeoverFailed, event.Subject{Step: next.ID, Account: next.Account, Epoch: uint64(next.Epoch), Detail: err.Error()})
}

// isCurrent reports whether r is still the newest known state of the step and the step has
// not ended.
func (m *Manager) isCurrent(r stateRecord) bool {
	known, ok := m.lookUp(r.ID)
	return ok && known.version == r.version && !known.Ended
}

// Leave hands over every step that this VM owns: it commits the finished results and then
// clears the owner in the state row, which the other VMs watch. It returns when all steps
// are handed over or ctx ends.
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
		handOvers.Go(func() { m.handOver(ctx, r, reasonLeaving) })
	}
	handOvers.Wait()
}

// handOver stops a run's items, commits the finished results, saves the partial texts and
// clears the owner in the state row. A run that was not accepted is only stopped.
func (m *Manager) handOver(ctx context.Context, r *run, reason string) {
	silent := r.silentAttempts(time.Now())
	r.stopItems()
	if !r.accepted() {
		m.stop(r)
		return
	}
	r.flush(ctx)
	r.saveTexts(ctx, 1)
	m.suspectEnded(ctx, r, silent)
	r.saveSuspicions(ctx)
	m.releaseStep(ctx, r.current(), reason)
	m.stop(r)
}

// releaseIfLeaving hands over a step that this VM owns if it doesn't run because the VM is leaving.
// Leave hands over only the steps that run.
func (m *Manager) releaseIfLeaving(ctx context.Context, rec stateRecord) {
	if m.isLeaving() && m.runOf(rec.ID) == nil {
		m.releaseStep(ctx, rec, reasonLeaving)
	}
}

// The reasons for which a VM releases a step, in the details of events.
const (
	reasonLeaving         = "the VM is leaving"
	reasonNoConfiguration = "the VM could not get the configuration under which the step was accepted"
	reasonNoRoom          = "the VM has no room for the step"
	reasonEndedSoon       = "processes of the VM ended soon after they had got the step"
)

// releaseStep clears the owner in the state row of a step that this VM owns.
func (m *Manager) releaseStep(ctx context.Context, rec stateRecord, reason string) {
	next := rec.State
	next.Owner, next.OwnerIncarnation, next.Nonce = "", "", uuid.NewString()
	if _, replaced, err := m.replaceState(ctx, rec, next); err == nil && replaced {
		m.Events.Emit(event.StepHandedOver, event.Subject{Step: rec.ID, Account: rec.Account, Epoch: uint64(rec.Epoch), Detail: reason})
	}
}
