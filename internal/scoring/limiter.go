package scoring

import (
	"sync"
	"time"

	"dogwoodpond/internal/target"
)

// reservedShare is the part of a service's slots that calls leave to callers' own
// requests.
const reservedShare = 0.25

// Lanes bounds the calls that a VM has open at each service. The load is a burst of
// calls whenever the samples of a step end together, beside a few callers' requests a
// second. Sent at once, the burst would stand in the upstreams' queues, which are first
// in, first out, and every caller's request would wait behind it. The bound follows
// what the upstreams report of their load, so that the calls of other VMs count as
// well. One call may always be open, so that callers can't starve the steps either.
// It is safe for concurrent use.
type Lanes struct {
	mu   sync.Mutex
	open map[string]int
}

// NewLanes returns lanes without open calls.
func NewLanes() *Lanes { return &Lanes{open: make(map[string]int)} }

// Room returns how many more calls may go to a service whose usable upstreams are
// given.
func (l *Lanes) Room(service string, upstreams []*target.Entry, now time.Time) int {
	if len(upstreams) == 0 {
		return 0
	}
	slots, free := 0, 0
	for _, e := range upstreams {
		slots += e.Slots()
		free += max(e.Free(now), 0)
	}
	room := free - int(float64(slots)*reservedShare+1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[service] == 0 {
		return max(room, 1)
	}
	return max(room, 0)
}

// Begin counts a call to a service; End takes it back.
func (l *Lanes) Begin(service string) { l.add(service, 1) }

// End ends a call that Begin counted.
func (l *Lanes) End(service string) { l.add(service, -1) }

func (l *Lanes) add(service string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[service] += n; l.open[service] == 0 {
		delete(l.open, service)
	}
}
