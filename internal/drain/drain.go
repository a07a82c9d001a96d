// Package drain decides which requests a VM that is leaving still accepts: those that it can answer before its
// process ends. A VM keeps getting requests while it leaves, until the load balancer has noticed, and later on
// connections that callers keep open. A request that is accepted too late would be cut off; one that is refused at
// once goes to another VM.
//
// The load that it answers is that of a planned stop under traffic, with requests of any duration.
package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// NoticePeriod is how long callers may still open connections to a VM that has become unready: the
	// load balancer polls readiness once a second and stops sending callers after the second failed poll.
	NoticePeriod = 2600 * time.Millisecond
	// durationMargin is the ratio of the time that a request may take to the longest one that its route took lately.
	durationMargin = 1.5
)

// Gate admits requests until the VM has stopped to answer. It is safe for concurrent use.
type Gate struct {
	open atomic.Int64
	// departure is set once the VM leaves.
	departure atomic.Pointer[departure]
	closed    atomic.Bool
	// answering ends when the VM stops to answer.
	answering     context.Context
	stopAnswering context.CancelCauseFunc

	mu sync.Mutex
	// durations holds how long the requests to each route have taken lately.
	durations map[string]*durations
}

// departure is when a VM began to leave, and until when it answers.
type departure struct{ since, until time.Time }

// NewGate returns the gate of a VM that serves.
func NewGate() *Gate {
	answering, stop := context.WithCancelCause(context.Background())
	return &Gate{answering: answering, stopAnswering: stop, durations: make(map[string]*durations)}
}

// Begin counts a request as open until End is called for it. It must come before Admit.
func (g *Gate) Begin() { g.open.Add(1) }

// End ends a request that Begin counted.
func (g *Gate) End() { g.open.Add(-1) }

// Open returns the number of open requests.
func (g *Gate) Open() int64 { return g.open.Load() }

// Leave records that the VM leaves and answers requests until a time, at which the contexts of those still open end.
func (g *Gate) Leave(now, until time.Time) {
	if g.departure.CompareAndSwap(nil, &departure{since: now, until: until}) {
		time.AfterFunc(until.Sub(now), func() { g.stopAnswering(context.DeadlineExceeded) })
	}
}

// Leaving reports whether the VM leaves.
func (g *Gate) Leaving() bool { return g.departure.Load() != nil }

// Close makes Admit refuse all requests. Those that were admitted before are counted by Open.
func (g *Gate) Close() { g.closed.Store(true) }

// Admit reports whether a request to a route can be answered in time, or may be while callers still come through the
// load balancer. limit is the time after which the request has an answer in any case. retryAfter is when the caller
// should come back if it can't be.
func (g *Gate) Admit(route string, limit time.Duration, now time.Time) (ok bool, retryAfter time.Duration) {
	d := g.departure.Load()
	if d == nil {
		return true, 0
	}
	if noticed := d.since.Add(NoticePeriod); now.Before(noticed) {
		retryAfter = noticed.Sub(now)
	}
	if g.closed.Load() {
		return false, retryAfter
	}
	left := d.until.Sub(now)
	if limit <= left {
		return true, 0
	}
	longest, known := g.longest(route, now)
	if retryAfter > 0 {
		return !known || longest <= left, retryAfter
	}
	return known && time.Duration(durationMargin*float64(longest)) <= left, retryAfter
}

// Left returns the time for which the VM answers, limit at most.
func (g *Gate) Left(limit time.Duration, now time.Time) time.Duration {
	if d := g.departure.Load(); d != nil {
		return max(0, min(limit, d.until.Sub(now)))
	}
	return limit
}

// Context returns a context of a request that ends after limit, and when the VM stops to answer.
func (g *Gate) Context(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	ctx, cancel := context.WithTimeout(ctx, limit)
	stop := context.AfterFunc(g.answering, func() { end(context.Cause(g.answering)) })
	return ctx, func() {
		stop()
		cancel()
		end(nil)
	}
}

// durations holds the longest durations of the requests to a route, in the current period and in the one before.
type durations struct {
	period          int64
	longest, before time.Duration
}

// durationPeriod is the length of the periods of durations.
const durationPeriod = 30 * time.Second

// advance moves to the period of a time.
func (d *durations) advance(now time.Time) {
	switch period := now.UnixNano() / int64(durationPeriod); period - d.period {
	case 0, -1: // a request may come with an earlier time, and clocks are set back
	case 1:
		d.period, d.before, d.longest = period, d.longest, 0
	default:
		d.period, d.before, d.longest = period, 0, 0
	}
}

// NoteAnswered records how long a request to a route took.
func (g *Gate) NoteAnswered(route string, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.durations[route]
	if d == nil {
		d = &durations{}
		g.durations[route] = d
	}
	d.advance(now)
	d.longest = max(d.longest, took)
}

// longest returns how long a request to a route took at most in the last one or two periods.
func (g *Gate) longest(route string, now time.Time) (longest time.Duration, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.durations[route]
	if d == nil {
		return 0, false
	}
	d.advance(now)
	longest = max(d.longest, d.before)
	return longest, longest > 0
}
