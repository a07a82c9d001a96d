package target

import "time"

// SlowStart bounds the requests to an upstream that has started a moment ago and would
// crash under the load of a warm one. The zero value sets no bound.
type SlowStart struct {
	// PerSecond is the most requests in any second, over all VMs together.
	PerSecond int
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration
}

// warmth is what this VM knows about an upstream's start.
type warmth int

const (
	warm warmth = iota
	// cold upstreams said themselves that they are.
	cold
	// unsure is an upstream that left an attempt unanswered and may have started again.
	unsure
	// outdated is an upstream of a list that has not answered for long.
	outdated
)

const (
	// admissionWindow is the span over which requests count. It is longer than the
	// second of the bound, because requests of this VM reach an upstream at uneven delays.
	admissionWindow = 1200 * time.Millisecond
	// sharesOfCold is into how many equal shares the bound of a cold upstream is cut. One
	// VM at a time uses one; the others are for VMs before it that have not heard yet that
	// their turn is over.
	sharesOfCold = 3
	// sharesOfUnsure and sharesOfOutdated are the same for upstreams that every VM that
	// runs a copy of a step may use, each by what it knows itself.
	sharesOfUnsure   = 6
	sharesOfOutdated = 4
	// warmReserve is the part of the bound, as one in so many, that stays free while the
	// upstream is warm: it may turn cold unnoticed, and what was sent just before counts.
	warmReserve = 4
	// staleAfter is the age of the list from which on every upstream may have started
	// again unnoticed.
	staleAfter = 3 * time.Second
	// longestWarmup bounds how long an upstream is believed to be cold without a word
	// from it.
	longestWarmup = time.Minute
)

// admission holds what limits the requests of this VM to one upstream. It belongs to the
// entry's lock.
type admission struct {
	bound SlowStart
	// coldUntil is when the upstream is warm by its own word.
	coldUntil time.Time
	// doubtedAt is when the first attempt ended without an answer since the upstream was
	// known to run on; zero when there is no doubt.
	doubtedAt time.Time
	// warmBy is when it is warm even if it has started just before its first answer since
	// then; zero until that answer.
	warmBy time.Time
	// sent are the latest requests, oldest first.
	sent []time.Time
}

// listed takes what the upstream's entry says of its warmth.
func (a *admission) listed(coldFor time.Duration, now time.Time) {
	a.coldUntil = now.Add(min(max(coldFor, 0), longestWarmup))
	a.trust()
}

// trust ends the doubt whether the upstream has started again.
func (a *admission) trust() { a.doubtedAt, a.warmBy = time.Time{}, time.Time{} }

// unanswered notes an attempt without an answer: the upstream may be starting again.
func (a *admission) unanswered(now time.Time) {
	if !a.doubted(now) {
		a.doubtedAt = now
	}
	a.warmBy = time.Time{}
}

func (a *admission) doubted(now time.Time) bool {
	return !a.doubtedAt.IsZero() && (a.warmBy.IsZero() || now.Before(a.warmBy))
}

// answered notes an answer. An upstream that is doubted may have started just before.
func (a *admission) answered(now time.Time) {
	if !a.doubtedAt.IsZero() && a.warmBy.IsZero() {
		a.warmBy = now.Add(a.bound.Warmup)
	}
}

func (a *admission) warmth(stale bool, now time.Time) warmth {
	switch {
	case now.Before(a.coldUntil):
		return cold
	case a.bound.Warmup > 0 && a.doubted(now):
		return unsure
	case a.bound.Warmup > 0 && stale:
		return outdated
	}
	return warm
}

// limit returns how many requests this VM may send within the window; bounded is false
// when any number may be sent. first tells whether this VM is the one whose turn it is
// while the upstream is cold.
//
// The load is the start of a step: hundreds of items look for a slot at the same moment,
// and as many of them end and are replaced within the next second.
func (s SlowStart) limit(w warmth, first bool, slots int) (most int, bounded bool) {
	per := s.PerSecond
	switch {
	case per <= 0:
		return 0, false
	case w == cold && first:
		return max(per/sharesOfCold, 1), true
	case w == cold:
		return 0, true
	case w == unsure:
		return max(per/sharesOfUnsure, 1), true
	case w == outdated:
		return max(per/sharesOfOutdated, 1), true
	case s.Warmup <= 0:
		return 0, false
	}
	return max(per-per/warmReserve, slots), true
}

// recent returns how many requests were sent within the window.
func (a *admission) recent(now time.Time) int {
	n := 0
	for n < len(a.sent) && now.Sub(a.sent[n]) >= admissionWindow {
		n++
	}
	a.sent = a.sent[:copy(a.sent, a.sent[n:])]
	return len(a.sent)
}

func (a *admission) count(now time.Time) {
	if a.bound.PerSecond > 0 {
		a.recent(now)
		a.sent = append(a.sent, now)
	}
}

// unlimited stands for any number of requests.
const unlimited = 1 << 30

// Admits reports whether this VM may send a request to the upstream now without
// overloading it while it warms up.
func (e *Entry) Admits(now time.Time) bool { return e.Admissible(now) > 0 }

// Admissible returns how many requests this VM may send to the upstream now.
func (e *Entry) Admissible(now time.Time) int {
	most, bounded := e.limit(now)
	if !bounded {
		return unlimited
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(most-e.admission.recent(now), 0)
}

// limit returns how many requests this VM may send to the upstream within the window.
func (e *Entry) limit(now time.Time) (most int, bounded bool) {
	stale, slots := e.roster.stale(now), e.Slots()
	e.mu.Lock()
	w, bound := e.admission.warmth(stale, now), e.admission.bound
	e.mu.Unlock()
	// Whose turn it is takes a look at the fleet, which few calls need.
	first := w == cold && e.roster.isFirst(e)
	return bound.limit(w, first, slots)
}

func (e *Entry) setSlowStart(bound SlowStart) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.bound = bound
}

func (e *Entry) noteListed(coldFor time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.listed(coldFor, now)
}

// NoAnswer notes an attempt that got no whole answer: the upstream may be starting again.
func (e *Entry) NoAnswer() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.unanswered(now)
}

// RunsOn notes that an attempt that began at a moment still gets its answer: the upstream
// has not started again since then, whatever became of other attempts.
func (e *Entry) RunsOn(began time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if began.Before(e.admission.doubtedAt) {
		e.admission.trust()
	}
}

// Cold reports whether the upstream is warming up by its own word.
func (e *Entry) Cold(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admission.warmth(false, now) == cold
}

// TryBegin counts a request to the upstream like Begin, if it may be sent.
func (e *Entry) TryBegin() bool {
	now := time.Now()
	most, bounded := e.limit(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if bounded && e.admission.recent(now) >= most {
		return false
	}
	e.admission.count(now)
	e.inFlight.Add(1)
	return true
}
