package step

import (
	"context"
	"sort"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/wait"
)

const (
	// dispatchInterval is the interval at which the dispatcher checks for free engines
	// without being signaled. Usually the end of an attempt signals it.
	dispatchInterval = 40 * time.Millisecond
	// suspectReviewInterval is the minimum interval between two reviews of the items under suspicion.
	// Passes can follow each other much faster.
	suspectReviewInterval = 20 * time.Millisecond
	// dispatchBatchDelay delays a pass after a signal, so that one pass serves all attempts
	// that end together.
	dispatchBatchDelay = 2 * time.Millisecond
)

// dispatchLoop starts items and score calls whenever engines and scoring services have
// free slots, once the state table has been read.
func (m *Manager) dispatchLoop(ctx context.Context) {
	timer := time.NewTicker(dispatchInterval)
	defer timer.Stop()
	var reviewedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.dispatchSignal:
			wait.For(ctx, dispatchBatchDelay)
		case <-timer.C:
		}
		if !m.statesRead.Load() {
			continue
		}
		review := time.Since(reviewedAt) >= suspectReviewInterval
		if review {
			reviewedAt = time.Now()
		}
		for _, r := range m.runsByDueTime() {
			if m.handOverIfBehind(r, time.Now()) {
				continue
			}
			if review {
				r.unaccounted.NoteEnded(m.Roster, reviewedAt)
				m.reviewSuspects(r)
			}
			m.dispatchScores(r)
			m.dispatch(r)
		}
	}
}

// runsByDueTime returns the runs, earliest due time first.
func (m *Manager) runsByDueTime() []*run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var runs []*run
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].due < runs[j].due })
	return runs
}

// dispatch starts the pending items of a run for which an engine has a free slot, and
// abandons those whose time has passed or whose route was removed.
func (m *Manager) dispatch(r *run) {
	now := time.Now()
	rankings := make(map[needKey]*ranking)
	prompts := make(promptRankings)
	expected := make(outlooks)
	var suspects []suspectAttempt
	m.chooseOrder(r, rankings, now)
	for pos, ok := r.nextInPhase(phasePending, 0, now); ok; pos, ok = r.nextInPhase(phasePending, pos+1, now) {
		i := r.order[pos]
		n, routed := r.needOf(i)
		if !routed || m.canAbandon(r) {
			r.abandonFrom(i, phasePending, routed)
			continue
		}
		if m.suspicions.Count(r.request(i)) > 0 {
			if attempt, ok := m.placeSuspect(r, i, n, expected.of(m, n.service, now), now); ok {
				suspects = append(suspects, attempt)
			}
			continue
		}
		engines, known := rankings[n.key()]
		if !known {
			engines = newRanking(m.newPool(m.engines(n.service, now), n, now), n.withoutPrompt(), now)
			rankings[n.key()] = engines
		}
		if engines.pool.promptMatters(n) {
			engines = prompts.get(n, engines.pool, now)
		} else {
			n.prompt = nil
		}
		if entry := engines.best(); entry != nil && r.changePhase(i, phasePending, phaseRunning) {
			n.prompt.noteSent(entry, n, now)
			entry.Begin()
			m.tasks.Go(func() { r.runAttempt(i, n, entry) })
		}
	}
	m.startSuspects(r, suspects)
}

// chooseOrder selects the item order that suits the slots of the engines that can serve
// the run now, and stores their ranking in rankings for the rest of the pass.
func (m *Manager) chooseOrder(r *run, rankings map[needKey]*ranking, now time.Time) {
	pos, ok := r.nextInPhase(phasePending, 0, now)
	if !ok {
		return
	}
	if n, routed := r.needOf(r.order[pos]); routed {
		engines := newRanking(m.newPool(m.engines(n.service, now), n, now), n.withoutPrompt(), now)
		rankings[n.key()] = engines
		r.order = r.startOrders.forSlots(slotsFor(engines.pool.engines, n, now))
	}
}

// canAbandon reports whether the time after which the items of a step may be abandoned has
// passed on the store's clock. It is false while the clock is unknown.
func (m *Manager) canAbandon(r *run) bool {
	now, ok := m.Clock.StoreNow()
	return ok && r.rec.AbandonAfter > 0 && now > r.rec.SubmittedAt+r.rec.AbandonAfter.Milliseconds()
}

// abandonFrom abandons an item if it is in the phase from. routed is false when no route leads
// to a service for the item any more.
func (r *run) abandonFrom(i int, from phase, routed bool) {
	if !r.changePhase(i, from, phaseRunning) {
		return
	}
	reason := "out of time"
	if !routed {
		reason = "its route was removed"
	}
	r.abandon(i, reason)
}

// abandon finishes an item without a text.
func (r *run) abandon(i int, reason string) {
	if r.finish(i, Result{Item: r.items[i].ID, Outcome: Abandoned}) {
		r.m.Events.Emit(event.ItemAbandoned, event.Subject{Step: r.rec.ID, Slot: r.items[i].ID, Account: r.rec.Account, Detail: reason})
	}
}
