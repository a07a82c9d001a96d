package target

import "time"

// SlowStart bounds the requests to an upstream that has just started and would crash under
// the load of a warm one. The zero value sets no bound.
type SlowStart struct {
	// PerSecond is the largest number of requests in any second, summed over all VMs.
	PerSecond int
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration
}

// warmth is this VM's view of whether an upstream is warming up.
type warmth int

const (
	warm warmth = iota
	// cold upstreams have reported that they are.
	cold
	// uncertain upstreams did not answer an attempt and may have restarted.
	uncertain
	// staleList applies to all upstreams while the list has not been read for staleAfter.
	staleList
)

const (
	// admissionWindow is the sliding window in which requests are counted. It is longer than
	// the one second of the bound because requests reach an upstream with varying delays.
	admissionWindow = 1200 * time.Millisecond
	// coldDivisor is the number of equal shares into which the bound of a cold upstream is
	// divided. The cold sender, one VM at a time, uses one share. The other shares
	// cover earlier cold senders that have not learnt yet that they no longer are.
	coldDivisor = 3
	// uncertainDivisor and staleListDivisor are the same for upstreams in those states.
	// Every VM that runs a copy of a step may use such an upstream, by its own view of the
	// state.
	uncertainDivisor = 6
	staleListDivisor = 4
	// warmReserveDivisor sets the part of the bound, 1/warmReserveDivisor, that is not used
	// while the upstream is warm. It may restart unnoticed, and the requests sent just
	// before then count towards the bound.
	warmReserveDivisor = 4
	// staleAfter is the age of the list beyond which any upstream may have restarted
	// unnoticed.
	staleAfter = 3 * time.Second
	// maxWarmup bounds how long an upstream is considered cold without a new report from
	// it.
	maxWarmup = time.Minute
)

// admission limits the requests of this VM to one upstream. The entry's mu guards it.
type admission struct {
	bound SlowStart
	// coldUntil is when the upstream is warm according to its own report.
	coldUntil time.Time
	// unansweredSince is when the first attempt ended without an answer since the upstream
	// was last known not to have restarted; zero when there was none.
	unansweredSince time.Time
	// warmBy is when the upstream is warm even if it restarted just before its first answer
	// after unansweredSince; zero until that answer.
	warmBy time.Time
	// sentAt holds the times of the latest requests, oldest first.
	sentAt []time.Time
}

// setColdFor records how much longer the upstream is cold according to its list entry.
func (a *admission) setColdFor(coldFor time.Duration, now time.Time) {
	a.coldUntil = now.Add(min(max(coldFor, 0), maxWarmup))
	a.confirmRunning()
}

// confirmRunning records that the upstream has not restarted unnoticed.
func (a *admission) confirmRunning() { a.unansweredSince, a.warmBy = time.Time{}, time.Time{} }

// noteUnanswered records an attempt without an answer: the upstream may be restarting.
func (a *admission) noteUnanswered(now time.Time) {
	if !a.mayHaveRestarted(now) {
		a.unansweredSince = now
	}
	a.warmBy = time.Time{}
}

// mayHaveRestarted reports whether the upstream may be warming up after a restart that the
// list does not show yet.
func (a *admission) mayHaveRestarted(now time.Time) bool {
	return !a.unansweredSince.IsZero() && (a.warmBy.IsZero() || now.Before(a.warmBy))
}

// noteAnswered records an answer. If an earlier attempt got none, the upstream may have
// restarted just before this answer.
func (a *admission) noteAnswered(now time.Time) {
	if !a.unansweredSince.IsZero() && a.warmBy.IsZero() {
		a.warmBy = now.Add(a.bound.Warmup)
	}
}

// warmth returns the state of the upstream at now. stale says whether the list is stale.
func (a *admission) warmth(stale bool, now time.Time) warmth {
	switch {
	case now.Before(a.coldUntil):
		return cold
	case a.bound.Warmup > 0 && a.mayHaveRestarted(now):
		return uncertain
	case a.bound.Warmup > 0 && stale:
		return staleList
	}
	return warm
}

// limit returns how many requests this VM may send within admissionWindow; bounded is
// false when there is no limit. coldSender says whether this VM may send requests to the
// upstream while it is cold.
//
// The limits are meant for the start of a step: hundreds of items look for a slot at the
// same time, and as many of them end and are replaced within the next second.
func (s SlowStart) limit(w warmth, coldSender bool, slots int) (requests int, bounded bool) {
	bound := s.PerSecond
	switch {
	case bound <= 0:
		return 0, false
	case w == cold && coldSender:
		return max(bound/coldDivisor, 1), true
	case w == cold:
		return 0, true
	case w == uncertain:
		return max(bound/uncertainDivisor, 1), true
	case w == staleList:
		return max(bound/staleListDivisor, 1), true
	case s.Warmup <= 0:
		return 0, false
	}
	return max(bound-bound/warmReserveDivisor, slots), true
}

// recent returns the number of requests sent within admissionWindow, and forgets older
// ones.
func (a *admission) recent(now time.Time) int {
	n := 0
	for n < len(a.sentAt) && now.Sub(a.sentAt[n]) >= admissionWindow {
		n++
	}
	a.sentAt = a.sentAt[:copy(a.sentAt, a.sentAt[n:])]
	return len(a.sentAt)
}

func (a *admission) record(now time.Time) {
	if a.bound.PerSecond > 0 {
		a.recent(now)
		a.sentAt = append(a.sentAt, now)
	}
}

// unlimited is the result of Admissible when there is no limit.
const unlimited = 1 << 30

// Admits reports whether this VM may send a request to the upstream now without
// exceeding the bound of its slow start.
func (e *Entry) Admits(now time.Time) bool { return e.Admissible(now) > 0 }

// Admissible returns how many requests this VM may send to the upstream now.
func (e *Entry) Admissible(now time.Time) int {
	allowed, bounded := e.limit(now)
	if !bounded {
		return unlimited
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(allowed-e.admission.recent(now), 0)
}

// limit returns how many requests this VM may send to the upstream within
// admissionWindow; bounded is false when there is no limit.
func (e *Entry) limit(now time.Time) (requests int, bounded bool) {
	stale, slots := e.roster.stale(now), e.Slots()
	e.mu.Lock()
	w, bound := e.admission.warmth(stale, now), e.admission.bound
	e.mu.Unlock()
	// isColdSender reads the fleet's state, which few calls need.
	coldSender := w == cold && e.roster.isColdSender(e)
	return bound.limit(w, coldSender, slots)
}

func (e *Entry) setSlowStart(bound SlowStart) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.bound = bound
}

func (e *Entry) noteListed(coldFor time.Duration, now time.Time) {
	e.listedAt.Store(now.UnixNano())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.setColdFor(coldFor, now)
}

// NoteUnanswered records an attempt that got no complete answer: the upstream may be restarting.
func (e *Entry) NoteUnanswered() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.noteUnanswered(now)
}

// NoteRunningSince records that an attempt that began at the given time is still being answered: the
// upstream has not restarted since then, even if other attempts got no answer.
func (e *Entry) NoteRunningSince(began time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if began.Before(e.admission.unansweredSince) {
		e.admission.confirmRunning()
	}
}

// Cold reports whether the upstream is warming up according to its own report.
func (e *Entry) Cold(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admission.warmth(false, now) == cold
}

// TryBegin counts a request to the upstream like Begin if the request may be sent, and
// reports whether it may.
func (e *Entry) TryBegin() bool {
	now := time.Now()
	allowed, bounded := e.limit(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if bounded && e.admission.recent(now) >= allowed {
		return false
	}
	e.admission.record(now)
	e.inFlight.Add(1)
	return true
}
