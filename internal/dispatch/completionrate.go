package dispatch

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the rate's exponential decay.
	rateTimeConstant = 5 * time.Second
	// defaultRetryAfter is reported until a rate has been measured.
	defaultRetryAfter = 2 * time.Second
	// minRetryAfter and maxRetryAfter limit the wait reported to rejected callers.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// completionMeter measures the rate at which requests end.
type completionMeter struct {
	rate float64
	at   time.Time
}

// recordEnd counts the end of a request.
func (m *completionMeter) recordEnd(now time.Time) {
	m.rate = m.currentRate(now) + 1/rateTimeConstant.Seconds()
	m.at = now
}

// currentRate returns the rate in requests per second.
func (m *completionMeter) currentRate(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/rateTimeConstant.Seconds())
}

// retryAfter estimates when an account with this number of queued requests and
// this fraction of the shares will have free queue slots again.
func (m *completionMeter) retryAfter(queued int, fraction float64, now time.Time) time.Duration {
	rate := m.currentRate(now) * fraction
	if rate <= 0 {
		return defaultRetryAfter
	}
	seconds := float64(max(1, queued)) / rate
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}
