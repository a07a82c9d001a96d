package step

import (
	"cmp"
	"time"

	"dogwoodpond/internal/target"
)

const (
	// firstEventTimeout and nextEventTimeout are the longest times without an event, before the
	// first event and between later ones. An item that exceeds them moves to another engine with
	// a free slot.
	firstEventTimeout = 700 * time.Millisecond
	nextEventTimeout  = 500 * time.Millisecond
	// stallCheckInterval is the interval at which a stalled item checks again for another engine
	// with a free slot.
	stallCheckInterval = 200 * time.Millisecond
	// speedEvents is the number of events over which an attempt's speed is measured. A single event
	// can be late because this VM had no processor time.
	speedEvents = 2
	// maxMoves is the largest number of moves of one item.
	maxMoves = 4
)

// checkSpeed moves the item to another engine with a free slot when the move pays. An item under
// suspicion stays: its engine may go on with it and end.
func (a *attempt) checkSpeed(unitTime time.Duration, now time.Time) {
	if a.run.moves(a.index) >= maxMoves || a.run.m.suspicions.Has(a.run.request(a.index), a.entry.Incarnation()) {
		return
	}
	list := a.run.shortlists.get(a.run.m, a.need, now)
	work := list.remainingWork(a.run, a.need.service)
	read, tokens := a.run.text(a.index).lastEvent, a.run.items[a.index].ExpectedTokens
	share := work.shareOfLongest(read, tokens)
	if !delaysStep(share, unitTime, list.fastest) {
		return
	}
	other := place(list.pool, a.need, a.entry, now)
	if other == nil {
		return
	}
	m := move{
		remaining: work.events(read, tokens), shareOfLongest: share,
		here: unitTime, there: expectedUnitTime(other, list.pool.median, now),
		reading: max(0, a.firstEventAfter-unitTime), othersPending: a.run.hasPending(),
	}
	if m.pays() {
		a.cancel(errMoved)
	}
}

// expectedUnitTime returns the expected time for an event of an item that moves to an engine: the
// higher one of the short-term and the long-term time, or the median of all engines when neither is known.
func expectedUnitTime(e *target.Entry, median time.Duration, now time.Time) time.Duration {
	return cmp.Or(max(e.ExpectedUnitTime(now), e.LongTermUnitTime()), median)
}

// handleStall records that an unresponsive engine may have ended under the item. It moves the item away
// if another engine has a free slot, and otherwise checks again after stallCheckInterval.
func (a *attempt) handleStall() {
	if a.ended.Load() {
		return
	}
	now := time.Now()
	a.suspected.Store(true)
	a.run.suspect(a.index, a.entry, now.Add(-nextEventTimeout))
	if place(a.run.shortlists.get(a.run.m, a.need, now).pool, a.need, a.entry, now) == nil {
		a.stallTimer.Reset(stallCheckInterval)
		return
	}
	a.entry.NoteUnanswered()
	a.entry.NoteFailure(now)
	a.cancel(errStalled)
}
