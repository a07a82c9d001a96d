// Package outage tells whether a dependency answers. What waits for one that has fallen
// silent should go on as soon as it answers again: a call that was sent into the silence
// is never answered, and waiting for its timeout makes the outage longer for callers.
package outage

import (
	"context"
	"sync"
	"time"

	"dogwoodpond/internal/wait"
)

const (
	// leastGrace, mostGrace and graceAnswers give the calls of an outage, behind its end,
	// the time of some answers like the one that ended it: the dependency may be slow.
	leastGrace   = 30 * time.Millisecond
	mostGrace    = 500 * time.Millisecond
	graceAnswers = 3
)

// Watch follows one dependency. Its zero value says that it answers. It is safe for
// concurrent use.
type Watch struct {
	mu    sync.Mutex
	since time.Time
	// over is closed when the outage ends; nil without one.
	over chan struct{}
	// grace is how long the calls of the last outage may go on after its end: they may
	// have been sent behind it.
	grace time.Duration
	// begun wakes Probe.
	begun chan struct{}
}

// Lost notes that the dependency did not answer, and reports whether that began an
// outage.
func (w *Watch) Lost(now time.Time) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over != nil {
		return false
	}
	w.since, w.over = now, make(chan struct{})
	select {
	case w.wakeUp() <- struct{}{}:
	default:
	}
	return true
}

// Answers notes that the dependency answered a call after some time, and returns how long
// the outage took that ended with it; ok is false when there was none.
func (w *Watch) Answers(now time.Time, after time.Duration) (took time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over == nil {
		return 0, false
	}
	w.grace = min(leastGrace+graceAnswers*after, mostGrace)
	close(w.over)
	w.over = nil
	return now.Sub(w.since), true
}

// Well reports whether the dependency answered the last time that it was asked.
func (w *Watch) Well() bool { return w.Over() == nil }

// Over returns a channel that is closed when the present outage ends; nil without one.
func (w *Watch) Over() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// wakeUp returns the channel that wakes Probe. The lock must be held.
func (w *Watch) wakeUp() chan struct{} {
	if w.begun == nil {
		w.begun = make(chan struct{}, 1)
	}
	return w.begun
}

// Probe asks the dependency again and again during each outage until ctx ends: one
// question at a time, each on a connection of its own. ask must bound its time, and call
// Answers when it gets an answer.
func (w *Watch) Probe(ctx context.Context, period func() time.Duration, ask func(context.Context)) {
	w.mu.Lock()
	begun := w.wakeUp()
	w.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-begun:
		}
		for asked := time.Now(); !w.Well() && wait.For(ctx, period()-time.Since(asked)); {
			asked = time.Now()
			ask(ctx)
		}
	}
}

// Bound returns a context for a call that begins now. During an outage it ends when the
// outage does: the call was sent into the silence.
func (w *Watch) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	over := w.Over()
	ctx, cancel := context.WithCancel(ctx)
	if over == nil {
		return ctx, cancel
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-over:
			if wait.For(ctx, w.lastGrace()) {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

func (w *Watch) lastGrace() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grace
}
