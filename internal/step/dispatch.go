package step

import (
	"context"
	"sort"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/wait"
)

const (
	// dispatchEvery is the period of looking for free engines without a reason;
	// mostly the end of an item wakes the dispatcher.
	dispatchEvery = 40 * time.Millisecond
	// dispatchPause gathers the wake-ups of items that end together.
	dispatchPause = 2 * time.Millisecond
)

// dispatchLoop starts items whenever engines have room.
func (m *Manager) dispatchLoop(ctx context.Context) {
	timer := time.NewTicker(dispatchEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			wait.For(ctx, dispatchPause)
		case <-timer.C:
		}
		for _, r := range m.byUrgency() {
			m.dispatchScores(r)
			m.dispatch(r)
		}
	}
}

// byUrgency returns the runs in the order in which they are due.
func (m *Manager) byUrgency() []*run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var runs []*run
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].due < runs[j].due })
	return runs
}

// dispatch starts the items of a run for which there is room.
func (m *Manager) dispatch(r *run) {
	now := time.Now()
	rankings := make(map[kind]*ranking)
	m.chooseOrder(r, rankings, now)
	for at, ok := r.next(waiting, 0, now); ok; at, ok = r.next(waiting, at+1, now) {
		i := r.order[at]
		n, routed := r.needOf(i)
		if !routed || m.tooLate(r) {
			r.giveUp(i, waiting, routed)
			continue
		}
		engines, known := rankings[n.kind()]
		if !known {
			engines = newRanking(m.pool(n.service, now), n, now)
			rankings[n.kind()] = engines
		}
		if entry := engines.best(); entry != nil && r.begin(i, waiting, running) {
			entry.Begin()
			m.loops.Go(func() { r.runItem(i, n, entry) })
		}
	}
}

// chooseOrder puts the order in force that fits the engines which serve the run now,
// and keeps their ranking for the rest of the pass.
func (m *Manager) chooseOrder(r *run, rankings map[kind]*ranking, now time.Time) {
	at, ok := r.next(waiting, 0, now)
	if !ok {
		return
	}
	if n, routed := r.needOf(r.order[at]); routed {
		engines := newRanking(m.pool(n.service, now), n, now)
		rankings[n.kind()] = engines
		r.order = r.orders.with(slotsFor(engines.pool.engines, n, now))
	}
}

// tooLate reports whether the items of a step may be given up.
func (m *Manager) tooLate(r *run) bool {
	now, ok := m.Clock.StoreNow()
	return ok && r.rec.GiveUp > 0 && now > r.rec.SubmittedAt+r.rec.GiveUp.Milliseconds()
}

// giveUp lists an item that waits in a phase as abandoned.
func (r *run) giveUp(i int, from phase, routed bool) {
	if !r.begin(i, from, running) {
		return
	}
	reason := "out of time"
	if !routed {
		reason = "its route was removed"
	}
	r.abandon(i, reason)
}

func (r *run) abandon(i int, reason string) {
	r.m.Events.Emit(event.ItemAbandoned, event.Subject{Step: r.rec.ID, Slot: r.items[i].ID, Account: r.rec.Account, Detail: reason})
	r.finish(i, Result{Item: r.items[i].ID, Outcome: Abandoned})
}
