package admission

import (
	"time"

	"dogwoodpond/internal/target"
)

const (
	// minPause and maxPause bound the pause after a refusal.
	minPause = 10 * time.Millisecond
	maxPause = 2 * time.Second
	// noLimit is above any number of requests at an upstream.
	noLimit = 1 << 20
)

// pause is the time for which an upstream gets no requests of this VM after a refusal or a report
// of a long queue. It grows with each of them and shrinks with other answers, so that VMs which have less than one request in
// flight at an upstream, and know little of the others, share its capacity.
type pause struct {
	length time.Duration
	until  time.Time
}

// lengthened returns the pause after a refusal, or after an answer that tells of more requests than
// are answered in time. drain is the time in which the upstream runs the requests in excess; random
// is in [0, 1).
func (p pause) lengthened(drain time.Duration, random float64, now time.Time) pause {
	length := min(max(2*p.length, drain, minPause), maxPause)
	return pause{length: length, until: now.Add(time.Duration(float64(length) * (0.5 + random)))}
}

// shortened returns the pause after any other answer.
func (p pause) shortened() pause {
	if p.length /= 2; p.length < minPause {
		p.length = 0
	}
	return p
}

// bound returns the number of requests at an upstream, of all VMs together, that are answered
// within the time left until the objective; at least its slots. A request that is late anyway gets
// only a free slot.
func bound(slots int, left, unitTime time.Duration) int {
	if unitTime <= 0 || unitTime >= left {
		return slots
	}
	return min(int(float64(slots)*float64(left)/float64(unitTime)), noLimit)
}

// hasCapacity reports whether an upstream has capacity for a request with the given time left
// until its objective, as far as this VM knows. A pause counts only while at least half of the slots are
// known to be taken: no request is refused at a service that has recovered.
func hasCapacity(e *target.Entry, p pause, left time.Duration, now time.Time) bool {
	inside, slots := atUpstream(e, now), e.Slots()
	if now.Before(p.until) && 2*inside >= slots {
		return false
	}
	return inside < bound(slots, left, e.ExpectedUnitTime(now))
}

// atUpstream estimates the number of requests at an upstream.
func atUpstream(e *target.Entry, now time.Time) int { return e.InFlight() + e.ExpectedOthers(now) }
