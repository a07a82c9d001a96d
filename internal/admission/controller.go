package admission

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/target"
)

const (
	// checkInterval is how often waiting requests are tried again. Capacity that other VMs leave
	// free shows only with time, by the age of their load.
	checkInterval = 5 * time.Millisecond
	// drainWindow is the time over which the drain rate of a queue is measured.
	drainWindow = time.Second
	// minRetryAfter is the least Retry-After. Shorter waits gain nothing against the round trip.
	minRetryAfter = 50 * time.Millisecond
	// jitterShare is the largest share of the wait that is added at random, so that callers who
	// were refused together do not return together.
	jitterShare = 0.5
	// defaultWait is the expected wait of a queue whose drain rate is unknown.
	defaultWait = 250 * time.Millisecond
	// defaultObjective is the objective of requests whose route sets none.
	defaultObjective = time.Second
)

// Reasons for which requests are shed.
const (
	reasonFull     = "queue full"
	reasonWait     = "expected wait"
	reasonDeadline = "deadline"
)

// Observer records what the queues do.
type Observer interface {
	// ObserveWait records that a request left the queue of a service with a place after a wait.
	ObserveWait(service string, priority int, wait time.Duration)
	// CountShed counts a request that was shed.
	CountShed(service string, priority int, reason string)
	// SetQueueLength sets the number of requests that wait for a service.
	SetQueueLength(service string, length int)
}

// Controller queues the plain requests of this VM while the upstreams of their service have no
// capacity. It is safe for concurrent use.
type Controller struct {
	roster   *target.Roster
	events   *event.Recorder
	observer Observer
	// random returns a number in [0, 1) for pauses and the jitter of Retry-After.
	random func() float64

	mu       sync.Mutex
	services map[string]*serviceQueue
	pauses   map[*target.Entry]pause
}

// serviceQueue is the queue of one service with its measured drain rate.
type serviceQueue struct {
	name   string
	queue  *queue
	grants []time.Time
	// checking is true while a goroutine tries the waiting requests again.
	checking bool
}

// waitResult ends the wait of a request.
type waitResult struct {
	entry *target.Entry
	err   error
}

// NewController returns a controller with empty queues.
func NewController(roster *target.Roster, events *event.Recorder, observer Observer) *Controller {
	return &Controller{roster: roster, events: events, observer: observer, random: rand.Float64, services: make(map[string]*serviceQueue), pauses: make(map[*target.Entry]pause)}
}

// grant implements forward.Grant.
type grant struct {
	controller *Controller
	service    string
	entry      *target.Entry
	objective  time.Duration
	once       sync.Once
}

// Upstream implements forward.Grant.
func (g *grant) Upstream() *target.Entry { return g.entry }

// End implements forward.Grant.
func (g *grant) End(o forward.GrantOutcome) {
	g.once.Do(func() { g.controller.end(g, o) })
}

func (c *Controller) end(g *grant, o forward.GrantOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p, paused := c.pauses[g.entry]
	slots, unitTime, inside := g.entry.Slots(), g.entry.ExpectedUnitTime(now), atUpstream(g.entry, now)
	excess := inside - bound(slots, g.objective, unitTime)
	switch {
	case o == forward.GrantRefused:
		c.pauses[g.entry] = p.lengthened(unitTime*time.Duration(inside)/time.Duration(slots), c.random(), now)
		maps.DeleteFunc(c.pauses, func(e *target.Entry, _ pause) bool { return e.Unlisted() })
	case o == forward.GrantAnswered && excess > 0:
		c.pauses[g.entry] = p.lengthened(unitTime*time.Duration(excess)/time.Duration(slots), c.random(), now)
	case o == forward.GrantAnswered && paused:
		if c.pauses[g.entry] = p.shortened(); p.shortened().length == 0 {
			delete(c.pauses, g.entry)
		}
	}
	g.entry.End()
	if s := c.services[g.service]; s != nil {
		c.dispatch(s, now)
	}
}

// Waiting implements forward.Admission.
func (c *Controller) Waiting(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	return s != nil && s.queue.length > 0
}

// Acquire implements forward.Admission. It returns at once while an upstream of the service has
// capacity and nothing more urgent waits, and for services whose upstreams report no load.
func (c *Controller) Acquire(ctx context.Context, r forward.AdmissionRequest) (forward.Grant, error) {
	now := time.Now()
	objective := r.Call.Route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Hour)
	}
	w := &waiter{
		Request: Request{ID: r.Call.ID, Account: r.Call.Account, Priority: r.Call.Priority, Objective: r.Call.Arrived.Add(objective), Deadline: deadline, Bytes: len(r.Call.Body)},
		since:   now, granted: make(chan waitResult, 1),
	}
	// A request that no upstream answers in time any more takes capacity from one that still can be,
	// so it does not wait longer. If none could be from the start, it waits until its deadline.
	if last := w.Objective.Add(-c.roster.LeastUnitTime(r.Criteria.Service, now)); last.After(now) && last.Before(w.Deadline) {
		w.Deadline = last
	}
	w.place = func(now time.Time) bool {
		e, wait := c.reserve(r.Criteria, w.Objective.Sub(now), now)
		if wait {
			return false
		}
		w.granted <- waitResult{entry: e}
		return true
	}
	s := c.enqueue(r, w, now)
	select {
	case o := <-w.granted:
		return c.granted(ctx, s, r, w, o)
	case <-ctx.Done():
	}
	c.mu.Lock()
	left := s.queue.remove(w)
	c.observer.SetQueueLength(s.name, s.queue.length)
	c.mu.Unlock()
	if left {
		return nil, contextError(ctx)
	}
	return c.granted(ctx, s, r, w, <-w.granted)
}

// granted returns the grant or the error with which the wait of a request ended.
func (c *Controller) granted(ctx context.Context, s *serviceQueue, r forward.AdmissionRequest, w *waiter, o waitResult) (forward.Grant, error) {
	if wait := time.Since(w.since); wait > 0 && o.err == nil && o.entry != nil && w.arrival > 0 {
		c.observer.ObserveWait(s.name, w.Priority, wait)
		c.events.Emit(event.RequestQueued, event.Subject{Request: r.Call.ID, Account: r.Call.Account, Detail: s.name, Count: wait.Milliseconds()})
	}
	switch {
	case o.err != nil:
		return nil, o.err
	case o.entry == nil:
		return nil, nil
	}
	g := &grant{controller: c, service: s.name, entry: o.entry, objective: w.Objective.Sub(r.Call.Arrived)}
	if ctx.Err() != nil {
		g.End(forward.GrantFailed)
		return nil, contextError(ctx)
	}
	return g, nil
}

// contextError returns the error of a request whose context ended before it had a place.
func contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.WithExecution(errors.WithStack(&fault.DeadlineExceeded{}), fault.NotRun)
	}
	return fault.WithExecution(errors.WithStack(&fault.CallerGone{}), fault.NotRun)
}

// enqueue gives the request a place if there is one, and else queues or sheds it.
func (c *Controller) enqueue(r forward.AdmissionRequest, w *waiter, now time.Time) *serviceQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[r.Criteria.Service]
	if s == nil {
		s = &serviceQueue{name: r.Criteria.Service, queue: newQueue(maxWaiting, maxWaitingBytes)}
		c.services[s.name] = s
	}
	priority := clampPriority(w.Priority)
	if s.queue.ahead(priority) == 0 && w.place(now) {
		return s
	}
	if wait := s.expectedWait(priority, now); now.Add(wait).After(w.Deadline) {
		c.shed(s, w, reasonWait, now)
		return s
	}
	for _, victim := range s.queue.add(w) {
		c.shed(s, victim, reasonFull, now)
	}
	c.dispatch(s, now)
	if s.queue.length > 0 && !s.checking {
		s.checking = true
		time.AfterFunc(checkInterval, func() { c.check(s) })
	}
	return s
}

// check tries the waiting requests again, and sheds those whose deadline has passed.
func (c *Controller) check(s *serviceQueue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.dispatch(s, now)
	for _, w := range s.queue.expired(now.Add(checkInterval)) {
		c.shed(s, w, reasonDeadline, now)
	}
	if s.checking = s.queue.length > 0; s.checking {
		time.AfterFunc(checkInterval, func() { c.check(s) })
	}
}

// dispatch gives places to waiting requests while there are any.
func (c *Controller) dispatch(s *serviceQueue, now time.Time) {
	done := now.Add(c.roster.LeastUnitTime(s.name, now))
	for s.queue.next(done, func(w *waiter) bool { return w.place(now) }) != nil {
		s.grants = append(s.grants, now)
	}
	s.forgetGrants(now)
	c.observer.SetQueueLength(s.name, s.queue.length)
}

func (s *serviceQueue) forgetGrants(now time.Time) {
	s.grants = slices.DeleteFunc(s.grants, func(at time.Time) bool { return now.Sub(at) > drainWindow })
}

// expectedWait returns the time after which a new request would get a place, by the rate at which
// the queue drained; 0 if nothing waits.
func (s *serviceQueue) expectedWait(priority int, now time.Time) time.Duration {
	s.forgetGrants(now)
	ahead := s.queue.ahead(priority)
	if ahead == 0 || len(s.grants) == 0 {
		return 0
	}
	return time.Duration(ahead) * drainWindow / time.Duration(len(s.grants))
}

// shed ends the wait of a request with a refusal.
func (c *Controller) shed(s *serviceQueue, w *waiter, reason string, now time.Time) {
	wait := s.expectedWait(w.Priority, now)
	if wait <= 0 {
		wait = defaultWait
	}
	c.observer.CountShed(s.name, w.Priority, reason)
	c.events.Emit(event.RequestShed, event.Subject{Request: w.ID, Account: w.Account, Detail: fmt.Sprintf("%s: %s", s.name, reason), Count: wait.Milliseconds()})
	wait = max(minRetryAfter, time.Duration(float64(wait)*(1+jitterShare*c.random())))
	w.granted <- waitResult{err: fault.WithExecution(errors.WithStack(&fault.NoUpstream{Pool: s.name, Wait: wait}), fault.NotRun)}
}

// reserve takes a place at an upstream with capacity. wait is true if there is none now. Without
// any upstream, entry is nil.
func (c *Controller) reserve(criteria target.Criteria, left time.Duration, now time.Time) (entry *target.Entry, wait bool) {
	var full []*target.Entry
	reported := false
	for _, e := range c.roster.Usable(criteria.Service, now) {
		reported = reported || e.HasReported()
		if e.Suspect(now) {
			continue
		}
		if !hasCapacity(e, c.pauses[e], left, now) {
			full = append(full, e)
		}
	}
	if !reported || len(full) == 0 {
		return c.roster.Reserve(criteria), false
	}
	restricted := criteria
	restricted.Skip = append(slices.Clip(criteria.Skip), full...)
	if e := c.roster.Choose(restricted, now); e != nil && !e.Suspect(now) && e.TryBegin() {
		return e, false
	}
	// A request that no upstream may get, whatever its load, does not wait.
	return nil, c.roster.Choose(criteria, now) != nil
}
