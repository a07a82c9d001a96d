package step

import (
	"time"

	"dogwoodpond/internal/target"
)

const (
	// firstStall and nextStall are the longest times without an event, before the first
	// event and between later ones. An item that exceeds them moves to another engine with
	// a free slot.
	firstStall = 700 * time.Millisecond
	nextStall  = 500 * time.Millisecond
	// stallAgain is the interval at which a stalled item checks again for another engine
	// with a free slot.
	stallAgain = 200 * time.Millisecond
	// slowEvents is the number of events between two checks of an attempt's speed.
	slowEvents = 4
	// moveFrom is how many times slower than the median engine an engine must be for its
	// items to move. A move costs another engine a slot and a second read of the prompt.
	moveFrom = 1.8
	// idleMoveFrom is how many times slower than an engine with a free slot an engine must
	// be for its items to move there when no item of the step is pending. The longest items
	// finish last, and those at slow engines decide when the step is complete.
	idleMoveFrom = 1.2
	// maxMoves is the largest number of moves of one item.
	maxMoves = 4
)

// pacer measures the average time between events.
type pacer struct {
	started time.Time
	events  int
}

// event counts an event and reports whether the speed is to be checked now.
func (p *pacer) event() bool {
	p.events++
	return p.events%slowEvents == 0
}

func (p *pacer) average(now time.Time) time.Duration {
	return now.Sub(p.started) / time.Duration(p.events)
}

// judgePace moves the item to another engine with a free slot when its own engine is much
// slower than the median, or, while no item of the step is pending, slower than the other
// engine by idleMoveFrom.
func (a *itemRun) judgePace(pace *pacer) {
	now := time.Now()
	average := pace.average(now)
	a.entry.NoteSpeed(average, now)
	*pace = pacer{started: now}
	engines := a.run.m.engines(a.need.service, now)
	if a.run.moves(a.index) >= maxMoves {
		return
	}
	// Placement considers all engines, so the cheap checks come first: most engines are
	// fast enough, and most of the time items are pending.
	limit := moveFrom * float64(target.MedianSpeed(engines, now))
	slow := limit > 0 && float64(average) >= limit
	idle := !a.run.anyWaiting()
	if !slow && !idle {
		return
	}
	other := place(pool{engines: engines, others: a.run.m.others(engines)}, a.need, a.entry, now)
	if other == nil {
		return
	}
	if slow && float64(other.Speed(now)) < limit || idle && movesToFaster(average, other, now) {
		a.cancel(errMoved)
	}
}

// movesToFaster reports whether another engine is known to be faster by idleMoveFrom, so
// that an item with this time per event gains by a move if no other item needs the slot.
func movesToFaster(pace time.Duration, other *target.Entry, now time.Time) bool {
	p := other.Pace(now)
	return p > 0 && float64(pace) >= idleMoveFrom*float64(p)
}

// stalled moves the item away from an unresponsive engine if another engine has a free
// slot, and otherwise checks again after stallAgain.
func (a *itemRun) stalled() {
	if a.over.Load() {
		return
	}
	now := time.Now()
	if place(a.run.m.pool(a.need.service, now), a.need, a.entry, now) == nil {
		a.stall.Reset(stallAgain)
		return
	}
	a.entry.NoAnswer()
	a.entry.Failed(now)
	a.cancel(errMoved)
}
