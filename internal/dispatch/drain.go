package dispatch

import (
	"math"
	"time"
)

const (
	// drainMemory is the time over which the measured rate forgets.
	drainMemory = 5 * time.Second
	// defaultWait is told while no rate has been measured.
	defaultWait = 2 * time.Second
	// shortestWait and longestWait bound what a refused caller is told.
	shortestWait = time.Second
	longestWait  = time.Minute
)

// drainMeter measures how many requests end in a second.
type drainMeter struct {
	rate float64
	at   time.Time
}

// ended notes the end of a request.
func (m *drainMeter) ended(now time.Time) {
	m.rate = m.current(now) + 1/drainMemory.Seconds()
	m.at = now
}

// current returns the rate in requests a second.
func (m *drainMeter) current(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/drainMemory.Seconds())
}

// retryAfter tells when an account with so many waiting requests and this
// fraction of the shares will have room again.
func (m *drainMeter) retryAfter(waiting int, fraction float64, now time.Time) time.Duration {
	rate := m.current(now) * fraction
	if rate <= 0 {
		return defaultWait
	}
	seconds := float64(max(1, waiting)) / rate
	if seconds >= longestWait.Seconds() {
		return longestWait
	}
	return max(shortestWait, time.Duration(seconds*float64(time.Second)))
}
