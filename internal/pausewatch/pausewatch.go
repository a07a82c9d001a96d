// Package pausewatch reports that the process or its machine stood still. Terms of leases,
// timeouts and write deadlines run on the monotonic clock, which goes on while the process
// is paused, and may stop while its machine is suspended.
package pausewatch

import (
	"context"
	"fmt"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/wait"
)

const (
	// checkInterval is the interval between two readings of the clocks.
	checkInterval = 200 * time.Millisecond
	// minReported is the shortest pause or difference between the clocks that is reported.
	// Shorter ones are frequent on loaded machines.
	minReported = 300 * time.Millisecond
)

// reading is one reading of both clocks.
type reading struct {
	// monotonic is the time since an arbitrary moment, wall the time since the Unix epoch.
	monotonic, wall time.Duration
}

// pauseBetween returns how much later than due the second of two readings was taken, and
// by how much the wall clock advanced more than the monotonic clock. Either is 0 if it is
// shorter than minReported; stepped is negative if the wall clock was set back.
func pauseBetween(first, second reading) (paused, stepped time.Duration) {
	monotonic := second.monotonic - first.monotonic
	if late := monotonic - checkInterval; late >= minReported {
		paused = late
	}
	if difference := (second.wall - first.wall) - monotonic; difference.Abs() >= minReported {
		stepped = difference
	}
	return paused, stepped
}

// Run emits an event after each pause of the process, and when the wall clock and the
// monotonic clock diverge, until ctx ends.
func Run(ctx context.Context, events *event.Recorder) {
	started := time.Now()
	read := func() reading {
		now := time.Now()
		return reading{monotonic: now.Sub(started), wall: time.Duration(now.UnixNano())}
	}
	last := read()
	for wait.For(ctx, checkInterval) {
		now := read()
		paused, stepped := pauseBetween(last, now)
		if paused != 0 {
			events.Emit(event.ProcessPaused, event.Subject{Count: paused.Milliseconds()})
		}
		if stepped != 0 {
			events.Emit(event.ClocksDiverged, event.Subject{Count: stepped.Milliseconds(), Detail: fmt.Sprintf("within %s of the monotonic clock", now.monotonic-last.monotonic)})
		}
		last = now
	}
}
