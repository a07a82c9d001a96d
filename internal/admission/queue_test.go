package admission

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/target"
)

var queueStart = time.Unix(1000, 0)

func newWaiter(account string, priority int, due time.Duration) *waiter {
	return &waiter{Request: Request{Account: account, Priority: priority, Objective: queueStart.Add(due), Deadline: queueStart.Add(10 * due), Bytes: 1}}
}

func acceptAny(*waiter) bool { return true }

// Guards against a client account that gets the places of 80 others because it sends as many requests.
func TestOneAccountAgainstEighty(t *testing.T) {
	q := newQueue(1000, 1000)
	for range 80 {
		q.add(newWaiter("large", 0, time.Second))
	}
	for i := range 80 {
		q.add(newWaiter(fmt.Sprint("small", i), 0, time.Second))
	}
	large := 0
	for range 81 {
		if q.next(queueStart, acceptAny).Account == "large" {
			large++
		}
	}
	if large > 2 {
		t.Errorf("%d of 81 places went to the large account", large)
	}
}

// Guards against an urgent request behind a bulk route, against bulk requests that displace it from a
// full queue, and against requests that are late anyway before those that are not.
func TestUrgentRequestsComeFirst(t *testing.T) {
	q := newQueue(4, 1000)
	for range 4 {
		q.add(newWaiter("bulk", 5, time.Second))
	}
	late, soon, later := newWaiter("a", 0, 0), newWaiter("a", 0, time.Second), newWaiter("a", 0, 2*time.Second)
	for _, w := range []*waiter{late, later, soon} {
		if shed := q.add(w); len(shed) != 1 || shed[0].Account != "bulk" {
			t.Fatalf("shed %+v", shed)
		}
	}
	if got := []*waiter{q.next(queueStart, acceptAny), q.next(queueStart, acceptAny), q.next(queueStart, acceptAny)}; !slices.Equal(got, []*waiter{soon, later, late}) {
		t.Errorf("order %+v", got)
	}
}

// Guards against a queue that loses or doubles requests, exceeds its bounds, keeps requests past
// their deadlines or leaves a client account without places.
func TestQueueProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	properties := gopter.NewProperties(parameters)
	properties.Property("requests leave once, within bounds", prop.ForAll(func(steps []int) bool {
		q := newQueue(20, 15)
		waiting := make(map[*waiter]bool)
		leave := func(list ...*waiter) bool {
			for _, w := range list {
				if !waiting[w] {
					return false
				}
				delete(waiting, w)
			}
			return true
		}
		now := queueStart
		for _, s := range steps {
			ok := true
			switch s % 5 {
			case 0, 1, 2:
				w := newWaiter(fmt.Sprint(s%7), s%3-1, time.Duration(s%50+1)*time.Millisecond)
				waiting[w] = true
				ok = leave(q.add(w)...)
			case 3:
				before := q.length
				w := q.next(now, acceptAny)
				ok = (w == nil) == (before == 0) && (w == nil || leave(w))
			case 4:
				now = now.Add(time.Duration(s) * time.Millisecond)
				ok = leave(q.expired(now)...)
				for w := range waiting {
					ok = ok && w.Deadline.After(now)
				}
			}
			if !ok || q.length != len(waiting) || q.length > 20 || q.bytes > 15 {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 400))))
	properties.Property("no account starves", prop.ForAll(func(accounts int, flood int) bool {
		q := newQueue(1000, 1000)
		q.add(newWaiter("victim", 0, time.Second))
		for range accounts + 1 {
			for i := range accounts {
				for range flood {
					q.add(newWaiter(fmt.Sprint(i), 0, time.Millisecond))
				}
			}
			if q.next(queueStart, acceptAny).Account == "victim" {
				return true
			}
		}
		return false
	}, gen.IntRange(1, 10), gen.IntRange(1, 5)))
	properties.Property("no upstream gets more than its bound, and none waits below it", prop.ForAll(func(requests, others int) bool {
		held := true
		synctest.Test(t, func(t *testing.T) {
			u := newUpstreams(4, 8, 50*time.Millisecond)
			f, c := newForwarder(u, true)
			e := f.Roster.Upstreams(modelService)[0]
			e.NoteLoad(target.Load{Running: min(others, 4), Waiting: max(0, others-4), Slots: 4}, time.Now())
			e.NoteUnitTime(50*time.Millisecond, time.Now())
			limit := bound(4, modelObjective, 50*time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			var calls sync.WaitGroup
			for range requests {
				calls.Go(func() { _, _ = acquire(ctx, c, "a", 0) })
			}
			synctest.Wait()
			held = e.InFlight() == max(0, min(requests, limit-others))
			cancel()
			calls.Wait()
		})
		return held
	}, gen.IntRange(0, 20), gen.IntRange(0, 20)))
	properties.TestingRun(t)
}

func acquire(ctx context.Context, c *Controller, account string, priority int) (forward.Grant, error) {
	call := newCall(account, priority)
	return c.Acquire(ctx, forward.AdmissionRequest{Call: &call, Criteria: target.Criteria{Service: modelService}})
}

// fill takes all capacity of the only upstream and returns its grants.
func fill(t *testing.T, f *forward.Forwarder, c *Controller) (grants []forward.Grant) {
	e := f.Roster.Upstreams(modelService)[0]
	e.NoteLoad(target.Load{Slots: 2}, time.Now())
	for e.InFlight() < 2 {
		g, err := acquire(t.Context(), c, "a", 0)
		if err != nil {
			t.Fatal(err)
		}
		grants = append(grants, g)
	}
	return grants
}

// Guards against requests of callers that have left and keep a place, and against requests that wait for
// an upstream that has left.
func TestRequestsLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c := newForwarder(newUpstreams(2, 2, time.Second), true)
		grants := fill(t, f, c)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		if _, err := acquire(ctx, c, "b", 0); !fault.Is[*fault.CallerGone](err) || fault.ExecutionOf(err) != fault.NotRun || c.Waiting(modelService) {
			t.Errorf("after the caller has left: %v", err)
		}
		time.AfterFunc(20*time.Millisecond, func() {
			f.Roster.Replace([]target.Instance{{ID: "new", Service: modelService, Slots: 2}})
		})
		g, err := acquire(t.Context(), c, "b", 0)
		if err != nil || g.Upstream().Info().ID != "new" {
			t.Errorf("after the upstream has left: %v, %v", g, err)
		}
		for _, g := range grants {
			g.End(forward.GrantAnswered)
		}
		if got := f.Events.Select(event.Query{Numbers: []event.Number{event.RequestQueued}}); len(got) != 1 || got[0].Count < 20 || got[0].Count > 25 {
			t.Errorf("events of queued requests: %+v", got)
		}
	})
}

// Guards against callers that are all refused with the same Retry-After and return together, and
// against requests that wait until no answer can be in time.
func TestShedRequestsReturnAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c := newForwarder(newUpstreams(2, 2, time.Second), true)
		fill(t, f, c)
		started := time.Now()
		waits := make(map[time.Duration]bool)
		var mu sync.Mutex
		var calls sync.WaitGroup
		for range 20 {
			calls.Go(func() {
				_, err := acquire(t.Context(), c, "b", 0)
				mu.Lock()
				defer mu.Unlock()
				if fault.ExecutionOf(err) != fault.NotRun {
					t.Errorf("shed with %v", err)
				}
				waits[fault.RetryAfterOf(err, 0)] = true
			})
		}
		calls.Wait()
		if took := time.Since(started); took > modelObjective || len(waits) < 15 {
			t.Errorf("%d different waits after %s", len(waits), took)
		}
	})
}

// Guards against a change for services whose upstreams report no load.
func TestServiceWithoutReportsIsNotQueued(t *testing.T) {
	f, c := newForwarder(newUpstreams(1, 0, time.Second), true)
	for range 50 {
		if g, err := acquire(t.Context(), c, "a", 0); err != nil || g == nil {
			t.Fatal(g, err)
		}
	}
	if n := f.Roster.Upstreams(modelService)[0].InFlight(); n != 50 {
		t.Errorf("%d requests in flight", n)
	}
}
