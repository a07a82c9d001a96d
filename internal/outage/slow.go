package outage

import (
	"sync"
	"time"
)

const (
	// slowCallDuration is the duration from which on a call counts as slow.
	slowCallDuration = 500 * time.Millisecond
	// slowReportInterval is the minimum interval between reports of slow calls.
	slowReportInterval = time.Second
)

// SlowCalls selects the slow calls to a dependency that should be reported: the first one, and then
// at most one for each slowReportInterval. In the zero value, no call has been noted. SlowCalls is
// safe for concurrent use.
type SlowCalls struct {
	mu         sync.Mutex
	reportedAt time.Time
	// slowest is the duration of the slowest call since the last report.
	slowest time.Duration
}

// Note records that the dependency answered a call, which took callDuration without the time that
// the call asked the dependency to wait. If slow calls should be reported now, it returns the
// duration of the slowest one since the last report and true.
func (s *SlowCalls) Note(now time.Time, callDuration time.Duration) (slowest time.Duration, report bool) {
	if callDuration < slowCallDuration {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowest = max(s.slowest, callDuration)
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < slowReportInterval {
		return 0, false
	}
	slowest, s.slowest, s.reportedAt = s.slowest, 0, now
	return slowest, true
}
