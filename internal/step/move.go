package step

import (
	"time"

	"dogwoodpond/internal/target"
)

const (
	// firstEventTimeout and nextEventTimeout are the longest times without an event, before the
	// first event and between later ones. An item that exceeds them moves to another engine with
	// a free slot.
	firstEventTimeout = 700 * time.Millisecond
	nextEventTimeout  = 500 * time.Millisecond
	// stallCheckInterval is the interval at which a stalled attempt checks again whether another engine
	// has a free slot, and whether its answer is lost.
	stallCheckInterval = 200 * time.Millisecond
	// silenceTimeout is the longest time without an event at an engine that doesn't report that it runs the
	// item. confirmedSilenceTimeout is that at an engine which does: it may be busy with others, or its
	// connection may never deliver the rest of the text.
	silenceTimeout          = 4 * time.Second
	confirmedSilenceTimeout = 10 * time.Second
	// speedCheckEvents is the number of events between two checks of an attempt's speed.
	speedCheckEvents = 4
	// moveMinSlowdown is how many times slower than the median engine an engine must be for its
	// items to move. A move costs another engine a slot and a second read of the prompt.
	moveMinSlowdown = 1.8
	// idleMoveMinSlowdown is how many times slower than an engine with a free slot an engine must
	// be for its items to move there when no item of the step is pending. The longest items
	// finish last, and those at slow engines decide when the step is complete.
	idleMoveMinSlowdown = 1.2
	// maxMoves is the largest number of moves of one item.
	maxMoves = 4
)

// unitTimeMeter measures the average time between events.
type unitTimeMeter struct {
	started time.Time
	events  int
}

// addEvent counts an event and reports whether the speed should be checked now.
func (m *unitTimeMeter) addEvent() bool {
	m.events++
	return m.events%speedCheckEvents == 0
}

// average returns the average time between the events so far.
func (m *unitTimeMeter) average(now time.Time) time.Duration {
	return now.Sub(m.started) / time.Duration(m.events)
}

// checkSpeed moves the item to another engine with a free slot when its own engine is much
// slower than the median, or, while no item of the step is pending, slower than the other
// engine by idleMoveMinSlowdown. An item under suspicion stays: its engine may go on with it and
// end.
func (a *attempt) checkSpeed(meter *unitTimeMeter) {
	now := time.Now()
	average := meter.average(now)
	a.entry.NoteUnitTime(average, now)
	*meter = unitTimeMeter{started: now}
	if a.run.moves(a.index) >= maxMoves || a.run.m.suspicions.Has(a.run.request(a.index), a.entry.Incarnation()) {
		return
	}
	list := a.run.shortlists.get(a.run.m, a.need, now)
	limit := moveMinSlowdown * float64(list.medianUnitTime)
	slow := limit > 0 && float64(average) >= limit
	nonePending := !a.run.hasPending()
	if !slow && !nonePending {
		return
	}
	other := place(list.pool, a.need, a.entry, now)
	if other == nil {
		return
	}
	if slow && float64(other.UnitTime(now)) < limit || nonePending && isWorthMove(average, other, now) {
		a.cancel(errMoved)
	}
}

// isWorthMove reports whether another engine is known to be faster by idleMoveMinSlowdown, so
// that an item with this time between events gains by a move if no other item needs the slot.
func isWorthMove(unitTime time.Duration, other *target.Entry, now time.Time) bool {
	otherTime := other.ExpectedUnitTime(now)
	return otherTime > 0 && float64(unitTime) >= idleMoveMinSlowdown*float64(otherTime)
}

// handleStall records that an unresponsive engine may have ended under the item. It ends the attempt if another
// engine has a free slot, if the engine reports that it no longer runs the item, or if the silence has lasted too
// long. Otherwise it checks again after stallCheckInterval. A stalled attempt takes a slot that other stalled items
// wait for, so that none of them may depend on free slots alone.
func (a *attempt) handleStall() {
	if a.ended.Load() {
		return
	}
	now := time.Now()
	if a.suspected.CompareAndSwap(false, true) {
		a.run.suspect(a.index, a.entry, now.Add(-nextEventTimeout))
	}
	suspicions, request, incarnation := a.run.m.suspicions, a.run.request(a.index), a.entry.Incarnation()
	silence := now.Sub(a.run.silentSince(a.index))
	switch {
	case place(a.run.shortlists.get(a.run.m, a.need, now).pool, a.need, a.entry, now) != nil:
		a.entry.NoteUnanswered()
		a.entry.NoteFailure(now)
		a.cancel(errStalled)
	case !suspicions.Has(request, incarnation):
		a.entry.NoteSilentConnection()
		a.cancel(errAnswerLost)
	case silence >= confirmedSilenceTimeout, silence >= silenceTimeout && !suspicions.RunsOn(request, incarnation):
		a.entry.NoteSilentConnection()
		a.entry.NoteUnanswered()
		a.entry.NoteFailure(now)
		a.cancel(errStalled)
	default:
		a.stallTimer.Reset(stallCheckInterval)
	}
}
