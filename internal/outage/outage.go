// Package outage tracks whether a dependency is available. Calls that wait for an
// unresponsive dependency should be retried as soon as it is available again: a call that
// was sent during the outage is never answered, and waiting for its timeout prolongs the
// outage for callers.
package outage

import (
	"context"
	"sync"
	"time"

	"dogwoodpond/internal/wait"
)

const (
	// Calls that were sent during an outage get a grace period after its end, because some
	// of them may have reached the dependency after it became available. The period is
	// minGrace plus graceFactor times the duration of the call that ended the outage, as
	// the dependency may be slow, and at most maxGrace.
	minGrace    = 30 * time.Millisecond
	maxGrace    = 500 * time.Millisecond
	graceFactor = 3
)

// Monitor tracks the outages of one dependency. In the zero value, the dependency is
// available. A Watch is safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// startedAt is the start of the current or last outage.
	startedAt time.Time
	// ended is closed when the current outage ends; it is nil without an outage.
	ended chan struct{}
	// grace is the grace period of the last outage.
	grace time.Duration
	// began notifies Probe of the start of an outage.
	began chan struct{}
}

// NoteUnanswered records that the dependency did not answer a call, and reports whether this is
// the start of an outage.
func (w *Monitor) NoteUnanswered(now time.Time) (started bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended != nil {
		return false
	}
	w.startedAt, w.ended = now, make(chan struct{})
	select {
	case w.beganSignal() <- struct{}{}:
	default:
	}
	return true
}

// NoteAnswered records that the dependency answered a call, which took callDuration. If that
// ends an outage, it returns the outage's duration and true.
func (w *Monitor) NoteAnswered(now time.Time, callDuration time.Duration) (outageDuration time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended == nil {
		return 0, false
	}
	w.grace = min(minGrace+graceFactor*callDuration, maxGrace)
	close(w.ended)
	w.ended = nil
	return now.Sub(w.startedAt), true
}

// IsAvailable reports whether the dependency is available, that is, whether there is no outage.
func (w *Monitor) IsAvailable() bool { return w.OutageEnded() == nil }

// OutageEnded returns a channel that is closed when the current outage ends, or nil if there is
// no outage.
func (w *Monitor) OutageEnded() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// beganSignal returns the channel began and creates it if necessary. w.mu must be held.
func (w *Monitor) beganSignal() chan struct{} {
	if w.began == nil {
		w.began = make(chan struct{}, 1)
	}
	return w.began
}

// Probe calls probe at an interval during each outage, until ctx ends. Probes don't run
// concurrently. probe must use a new connection, limit its duration, and call Answers if
// it gets an answer.
func (w *Monitor) Probe(ctx context.Context, interval func() time.Duration, probe func(context.Context)) {
	w.mu.Lock()
	began := w.beganSignal()
	w.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-began:
		}
		for probedAt := time.Now(); !w.IsAvailable() && wait.For(ctx, interval()-time.Since(probedAt)); {
			probedAt = time.Now()
			probe(ctx)
		}
	}
}

// CallContext returns a context for a call that is sent now. If there is an outage, the context
// ends a grace period after the outage: the call is probably lost and should be retried
// without waiting for its timeout.
func (w *Monitor) CallContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ended := w.OutageEnded()
	ctx, cancel := context.WithCancel(ctx)
	if ended == nil {
		return ctx, cancel
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-ended:
			if wait.For(ctx, w.lastGrace()) {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

func (w *Monitor) lastGrace() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grace
}
