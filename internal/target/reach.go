package target

import "time"

// Bounds of the attempts at upstreams that can't be reached. They answer the load of a VM that a partition
// cuts off from many engines while it has hundreds of items for them: without a backoff of the engine, each
// item tries each engine again.
const (
	// reachBackoff is how long an upstream gets no attempt after a failed connection. It doubles with each
	// further one up to maxReachBackoff.
	reachBackoff    = 40 * time.Millisecond
	maxReachBackoff = 640 * time.Millisecond
	// probeTimeout is how long one attempt at an unreachable upstream keeps others back. A dial fails
	// earlier; an attempt that hangs on a connection from before a partition may not.
	probeTimeout = 700 * time.Millisecond
	// unreachablePeriod is how long after a failed connection an upstream counts as unreachable. During a
	// partition attempts fail at most maxReachBackoff and the time of a dial apart; later the failure says
	// nothing of the present.
	unreachablePeriod = 1500 * time.Millisecond
)

// Contact is what the start of an attempt shows of the connection to an upstream.
type Contact int

const (
	// Undecided: it shows nothing, for example because the attempt was canceled.
	Undecided Contact = iota
	// Answered: the upstream answered.
	Answered
	// NoConnection: there was no connection, and nothing was sent.
	NoConnection
)

// reach is whether this VM can connect to one upstream. The entry's mu guards it.
type reach struct {
	// failures is the number of failed connections in a row; 0 while the upstream is reachable.
	failures int
	// failedAt is when the last one failed, and dueAt when the next attempt may start.
	failedAt, dueAt time.Time
	// reopened is Roster.reopened at the last failure.
	reopened int64
	// probeUntil is until when an attempt in progress keeps others back.
	probeUntil time.Time
}

// admits reports whether an attempt may start. Once another unreachable upstream has answered since the
// last failure, which reopened shows, a partition has probably ended, and the backoff doesn't count.
func (r *reach) admits(reopened int64, now time.Time) bool {
	return r.failures == 0 || !now.Before(r.probeUntil) && (!now.Before(r.dueAt) || r.reopened != reopened)
}

// begin records that an attempt starts.
func (r *reach) begin(now time.Time) {
	if r.failures > 0 {
		r.probeUntil = now.Add(probeTimeout)
	}
}

// note records the contact of an attempt that began at a time. Attempts that began before the last failed
// connection tell nothing new when they fail. It reports whether the upstream is reachable again.
func (r *reach) note(contact Contact, began, now time.Time, reopenedCount int64) (reopened bool) {
	switch {
	case contact == Answered:
		reopened = r.failures > 0
		*r = reach{}
	case r.failures > 0 && began.Before(r.failedAt):
	case contact == NoConnection:
		backoff := min(reachBackoff<<min(r.failures, 8), maxReachBackoff)
		r.failures++
		r.failedAt, r.dueAt, r.probeUntil, r.reopened = now, now.Add(backoff), time.Time{}, reopenedCount
	case r.failures > 0:
		r.dueAt, r.probeUntil = now.Add(reachBackoff), time.Time{}
	}
	return reopened
}

// AdmitsAttempt reports whether an attempt may start at the upstream. After a failed connection one
// attempt at a time may, with a backoff between them, until the upstream has answered again.
func (e *Entry) AdmitsAttempt(now time.Time) bool {
	reopened := e.roster.reopened.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reach.admits(reopened, now)
}

// Unreachable reports whether a connection to the upstream failed within unreachablePeriod and none has
// succeeded since.
func (e *Entry) Unreachable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reach.failures > 0 && now.Sub(e.reach.failedAt) < unreachablePeriod
}

// NoteContact records what the start of an attempt that began at a time has shown, and reports whether
// the upstream answered for the first time after a failed connection.
func (e *Entry) NoteContact(contact Contact, began time.Time) (reopened bool) {
	now := time.Now()
	e.mu.Lock()
	reopened = e.reach.note(contact, began, now, e.roster.reopened.Load())
	e.mu.Unlock()
	if reopened {
		// The failures were those of the connection.
		e.failures.Store(0)
		e.suspectUntil.Store(0)
		e.roster.reopened.Add(1)
	}
	return reopened
}
