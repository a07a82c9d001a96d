package step

import (
	"time"

	"dogwoodpond/internal/target"
)

const (
	// firstStall and nextStall are the silences before the first and between later
	// events after which an item goes on at another engine that has room.
	firstStall = 700 * time.Millisecond
	nextStall  = 500 * time.Millisecond
	// stallAgain is the pause until the next look when no other engine has room.
	stallAgain = 200 * time.Millisecond
	// slowEvents is after how many events an item's pace is judged, and again
	// after each further such number.
	slowEvents = 4
	// moveFrom is how many times slower than the median engine an engine must be
	// for its items to move. The prompt is read again there, and a slot taken.
	moveFrom = 1.8
	// idleMoveFrom is how many times slower than an engine with a free slot an engine
	// must be for its items to move there when no item of the step waits for a slot.
	// The step ends with its longest items; those on slow engines decide when.
	idleMoveFrom = 1.2
	// maxMoves bounds the moves of one item.
	maxMoves = 4
)

// pacer measures the time between events.
type pacer struct {
	started time.Time
	events  int
}

// event counts an event and reports whether it is time to judge the pace.
func (p *pacer) event() bool {
	p.events++
	return p.events%slowEvents == 0
}

func (p *pacer) average(now time.Time) time.Duration {
	return now.Sub(p.started) / time.Duration(p.events)
}

// judgePace moves the item to another engine with room when its own is much slower than
// the others, or somewhat slower than one that nothing else of the step waits for.
func (a *itemRun) judgePace(pace *pacer) {
	now := time.Now()
	average := pace.average(now)
	a.entry.NoteSpeed(average, now)
	*pace = pacer{started: now}
	engines := a.run.m.engines(a.need.service, now)
	if a.run.moves(a.index) >= maxMoves {
		return
	}
	// The look at all engines comes last: most paces are fine, and most items wait.
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

// movesToFaster reports whether another engine is known to be enough faster that an
// item gains by a move as long as no other item wants the slot.
func movesToFaster(pace time.Duration, other *target.Entry, now time.Time) bool {
	p := other.Pace(now)
	return p > 0 && float64(pace) >= idleMoveFrom*float64(p)
}

// stalled moves the item off an engine that has fallen silent, where another has
// room.
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
