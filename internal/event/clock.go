package event

import (
	"fmt"
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock. Stamps order the events of all
// processes consistently with causality: each message contains its sender's
// stamp, and all later events of the receiver have larger stamps.
type Stamp struct {
	// WallMicros is the wall time in microseconds since the Unix epoch, or a
	// larger value received from a peer.
	WallMicros int64 `json:"wallMicros"`
	// Logical orders stamps with the same WallMicros.
	Logical uint32 `json:"logical"`
}

// Before reports whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool {
	if s.WallMicros != other.WallMicros {
		return s.WallMicros < other.WallMicros
	}
	return s.Logical < other.Logical
}

// String returns the stamp as "seconds.micros+logical".
func (s Stamp) String() string {
	const microsPerSecond = 1_000_000
	return fmt.Sprintf("%d.%06d+%d", s.WallMicros/microsPerSecond, s.WallMicros%microsPerSecond, s.Logical)
}

// ParseStamp parses the output of Stamp.String; ok is false if text is not a stamp.
func ParseStamp(text string) (s Stamp, ok bool) {
	var seconds, micros int64
	var logical uint32
	n, err := fmt.Sscanf(text, "%d.%d+%d", &seconds, &micros, &logical)
	if err != nil || n != 3 {
		return Stamp{}, false
	}
	return Stamp{WallMicros: seconds*1_000_000 + micros, Logical: logical}, true
}

// Clock is a hybrid logical clock. It is used only to order events and the digests of
// peers; no decision about leases or leadership depends on it.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns a stamp larger than every stamp that the clock has returned or
// observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMicro()
	if wall > c.last.WallMicros {
		c.last = Stamp{WallMicros: wall}
		return c.last
	}
	c.last.Logical++
	return c.last
}

// Observe advances the clock to at least the stamp of a received message, so
// that the next stamp is larger.
func (c *Clock) Observe(received Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(received) {
		c.last = received
	}
}
