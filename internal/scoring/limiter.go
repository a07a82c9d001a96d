package scoring

import (
	"sync"
	"time"

	"dogwoodpond/internal/target"
)

// reservedShare is the share of a service's slots that score calls leave to callers'
// requests.
const reservedShare = 0.25

// CallLimiter limits the score calls that a VM has open at each service. The samples of a step
// often end together and cause a burst of score calls, while callers send a few requests
// per second. If the burst were sent at once, it would fill the upstreams' queues, which
// are first in, first out, and delay every caller's request. The limit depends on the load
// that the upstreams report, so that it takes the calls of other VMs into account. One
// call may always be open, so that callers' requests can't starve the steps.
// Lanes is safe for concurrent use.
type CallLimiter struct {
	mu   sync.Mutex
	open map[string]int
}

// NewCallLimiter returns a limiter without open calls.
func NewCallLimiter() *CallLimiter { return &CallLimiter{open: make(map[string]int)} }

// Available returns how many more calls may be sent to a service, given the upstreams of the
// service that may get requests.
func (l *CallLimiter) Available(service string, upstreams []*target.Entry, now time.Time) int {
	if len(upstreams) == 0 {
		return 0
	}
	slots, free := 0, 0
	for _, e := range upstreams {
		slots += e.Slots()
		free += max(e.FreeSlots(now), 0)
	}
	available := free - int(float64(slots)*reservedShare+1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[service] == 0 {
		return max(available, 1)
	}
	return max(available, 0)
}

// Begin counts an open call to a service.
func (l *CallLimiter) Begin(service string) { l.add(service, 1) }

// End removes a call that Begin counted.
func (l *CallLimiter) End(service string) { l.add(service, -1) }

// add changes the number of open calls to a service by n.
func (l *CallLimiter) add(service string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[service] += n; l.open[service] == 0 {
		delete(l.open, service)
	}
}
