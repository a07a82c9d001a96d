// Package admission lets plain requests wait at the VM that accepted them while the upstreams of
// their service have no capacity. The queue and the limits read no clock and do no I/O;
// Controller adds time, concurrency and the roster.
//
// It is meant for bursts of 12 to 20 times the usual rate while most upstreams of a service are
// several times slower than usual.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Request is a request that asks for a place at an upstream.
type Request struct {
	ID, Account string
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Objective is when the answer is due, and Deadline when the caller gives up.
	Objective, Deadline time.Time
	// Bytes is the memory that the waiting request uses.
	Bytes int
}

// waiter is a request in a queue.
type waiter struct {
	Request
	arrival uint64
	since   time.Time
	// granted receives the outcome once; its buffer of one keeps the sender from blocking.
	granted chan waitResult
	// place takes a place for the request at an upstream, if one has capacity.
	place func(now time.Time) (taken bool)
}

// maxPriority is the largest priority that is told apart. Larger ones are a mistake in the
// configuration and count as it.
const maxPriority = 1000

func clampPriority(p int) int { return min(max(p, 0), maxPriority) }

const (
	// maxWaiting bounds the requests that wait for one service at a VM. A VM accepts a few
	// requests a second; a longer queue could not be served within the callers' deadlines.
	maxWaiting = 256
	// maxWaitingBytes bounds the memory of the bodies that wait for one service.
	maxWaitingBytes = 16 << 20
)

// flow holds the waiting requests of one client account within a priority.
type flow struct {
	account string
	// start is the virtual time at which the account's next request starts: the number of
	// requests that it was granted, at least as many as those of the flows served last.
	start   float64
	waiting []*waiter
}

// class holds the flows of one priority.
type class struct {
	flows       map[string]*flow
	virtualTime float64
}

// queue holds the waiting requests of one service: by priority, then fair among client
// accounts, then by the objective. It reads no clock.
//
// It is meant for bursts that exceed the capacity, for one client account that sends as much as
// 80 others, and for urgent requests that arrive behind many others.
type queue struct {
	classes map[int]*class
	length  int
	bytes   int
	arrival uint64
	maxLen  int
	maxSize int
}

func newQueue(maxLen, maxSize int) *queue {
	return &queue{classes: make(map[int]*class), maxLen: maxLen, maxSize: maxSize}
}

// add queues a request and returns the requests that are shed for it, possibly itself.
func (q *queue) add(w *waiter) (shed []*waiter) {
	q.arrival++
	w.arrival = q.arrival
	w.Priority = clampPriority(w.Priority)
	c := q.classes[w.Priority]
	if c == nil {
		c = &class{flows: make(map[string]*flow)}
		q.classes[w.Priority] = c
	}
	f := c.flows[w.Account]
	if f == nil {
		// An account without waiting requests gets no credit for its idle time.
		f = &flow{account: w.Account, start: c.virtualTime}
		c.flows[w.Account] = f
	}
	if len(f.waiting) == 0 {
		f.start = max(f.start, c.virtualTime)
	}
	f.waiting = append(f.waiting, w)
	q.length++
	q.bytes += w.Bytes
	for q.length > q.maxLen || q.bytes > q.maxSize && q.length > 0 {
		victim := q.leastUrgent()
		q.remove(victim)
		shed = append(shed, victim)
	}
	return shed
}

// leastUrgent returns the request to shed: of the lowest priority, of the account with the most
// waiting requests, the latest one. A flooding account then can't lock out the others.
func (q *queue) leastUrgent() *waiter {
	for _, p := range slices.Backward(q.priorities()) {
		var longest *flow
		for _, f := range q.classes[p].flows {
			if longest == nil || len(f.waiting) > len(longest.waiting) || len(f.waiting) == len(longest.waiting) && f.account > longest.account {
				longest = f
			}
		}
		if longest != nil && len(longest.waiting) > 0 {
			return longest.waiting[len(longest.waiting)-1]
		}
	}
	return nil
}

// priorities returns the priorities with flows, highest first.
func (q *queue) priorities() []int {
	list := make([]int, 0, len(q.classes))
	for p := range q.classes {
		list = append(list, p)
	}
	slices.Sort(list)
	return list
}

// remove removes a request and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	c := q.classes[w.Priority]
	if c == nil || c.flows[w.Account] == nil {
		return false
	}
	f := c.flows[w.Account]
	i := slices.Index(f.waiting, w)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	q.length--
	q.bytes -= w.Bytes
	q.forget(c, f, w.Priority)
	return true
}

// forget removes a flow whose state equals that of a new one, and a class without flows and
// requests.
func (q *queue) forget(c *class, f *flow, priority int) {
	if len(f.waiting) == 0 && f.start <= c.virtualTime {
		delete(c.flows, f.account)
	}
	if !slices.ContainsFunc(c.list(), func(f *flow) bool { return len(f.waiting) > 0 }) {
		delete(q.classes, priority)
	}
}

// list returns the flows with the lowest start first.
func (c *class) list() []*flow {
	list := make([]*flow, 0, len(c.flows))
	for _, f := range c.flows {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.account, b.account))
	})
	return list
}

// next removes and returns the first request that take accepts, or nil. Requests of one service
// differ in the failure domains that they may be sent to, so that others may be accepted
// although the first one is not.
//
// A request whose objective is not after done is late anyway.
func (q *queue) next(done time.Time, take func(*waiter) bool) *waiter {
	for _, p := range q.priorities() {
		c := q.classes[p]
		for _, f := range c.list() {
			for _, w := range f.byUrgency(done) {
				if !take(w) {
					continue
				}
				c.virtualTime = max(c.virtualTime, f.start)
				f.start++
				q.remove(w)
				return w
			}
		}
	}
	return nil
}

// byUrgency returns the flow's requests by objective. Those that are late anyway come last, since
// they would make the next ones late.
func (f *flow) byUrgency(done time.Time) []*waiter {
	list := slices.Clone(f.waiting)
	late := func(w *waiter) int {
		if !w.Objective.After(done) {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), a.Objective.Compare(b.Objective), cmp.Compare(a.arrival, b.arrival))
	})
	return list
}

// expired removes and returns the requests whose deadline is not after the given time.
func (q *queue) expired(at time.Time) []*waiter {
	var list []*waiter
	for _, c := range q.classes {
		for _, f := range c.flows {
			for _, w := range f.waiting {
				if !w.Deadline.After(at) {
					list = append(list, w)
				}
			}
		}
	}
	for _, w := range list {
		q.remove(w)
	}
	return list
}

// ahead returns the number of waiting requests of the given priority and above.
func (q *queue) ahead(priority int) int {
	n := 0
	for p, c := range q.classes {
		for _, f := range c.flows {
			if p <= priority {
				n += len(f.waiting)
			}
		}
	}
	return n
}
