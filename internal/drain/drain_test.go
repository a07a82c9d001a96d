package drain

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	routeTimeout = 10 * time.Second
	answerPeriod = 6800 * time.Millisecond
)

// Guards against requests that a leaving VM accepts and cuts off, and against ones that it refuses although it could
// answer them.
func TestRequestsThatCannotBeAnsweredInTimeAreRefused(t *testing.T) {
	start := time.Now()
	g := NewGate()
	g.NoteAnswered("short", 900*time.Millisecond, start)
	g.NoteAnswered("long", 9*time.Second, start)
	if ok, _ := g.Admit("long", routeTimeout, start); !ok {
		t.Error("a VM that doesn't leave refuses a request")
	}
	g.Leave(start, start.Add(answerPeriod))
	for name, c := range map[string]struct {
		route string
		limit time.Duration
		at    time.Duration
		want  bool
		wait  time.Duration
	}{
		"a short one at once":                          {"short", routeTimeout, 0, true, NoticePeriod},
		"a short one in time":                          {"short", routeTimeout, 5400 * time.Millisecond, true, 0},
		"a short one too late":                         {"short", routeTimeout, 5600 * time.Millisecond, false, 0},
		"one whose deadline is early":                  {"long", time.Second, 5600 * time.Millisecond, true, 0},
		"a long one at once":                           {"long", routeTimeout, time.Second, false, NoticePeriod - time.Second},
		"one of unknown duration at once":              {"unknown", routeTimeout, time.Second, true, NoticePeriod - time.Second},
		"one of unknown duration on a kept connection": {"unknown", routeTimeout, 3 * time.Second, false, 0},
	} {
		if ok, wait := g.Admit(c.route, c.limit, start.Add(c.at)); ok != c.want || wait != c.wait {
			t.Errorf("%s: %v, come back after %v; want %v, %v", name, ok, wait, c.want, c.wait)
		}
	}
}

// Guards against a leaving VM that refuses what it can answer, because a request with an earlier time than the one before
// made it forget how long requests take.
func TestDurationsOutliveEarlierTimes(t *testing.T) {
	start := time.Unix(1000, 0).Truncate(durationPeriod).Add(-time.Second)
	g := NewGate()
	g.NoteAnswered("r", time.Second, start)
	for _, at := range []time.Duration{2 * time.Second, 0, 2 * time.Second} {
		if _, known := g.longest("r", start.Add(at)); !known {
			t.Errorf("the duration is not known at %s", at)
		}
	}
}

// Guards against a request that is admitted between the last look at the open requests and the end of the process.
func TestNoRequestIsAdmittedAfterTheLastOne(t *testing.T) {
	for range 200 {
		g := NewGate()
		g.Leave(time.Now(), time.Now().Add(time.Minute))
		var callers sync.WaitGroup
		ended := make(chan struct{})
		for range 4 {
			callers.Go(func() {
				g.Begin()
				defer g.End()
				if ok, _ := g.Admit("r", time.Second, time.Now()); !ok {
					return
				}
				select {
				case <-ended:
					t.Error("the VM ended while an admitted request was open")
				case <-time.After(100 * time.Microsecond):
				}
			})
		}
		g.Close()
		for g.Open() > 0 {
			time.Sleep(10 * time.Microsecond)
		}
		if ok, _ := g.Admit("r", time.Second, time.Now()); ok {
			t.Error("a closed gate admits a request")
		}
		callers.Wait()
		close(ended)
	}
}

// Guards against a request that is cut off without an answer because it is still open when the VM stops to answer.
func TestOpenRequestsEndWhenTheVMStopsToAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		ctx, cancel := g.Context(t.Context(), routeTimeout)
		defer cancel()
		g.Leave(time.Now(), time.Now().Add(time.Second))
		g.Leave(time.Now(), time.Now().Add(time.Hour))
		began := time.Now()
		<-ctx.Done()
		if took := time.Since(began); took != time.Second || context.Cause(ctx) != context.DeadlineExceeded {
			t.Errorf("it ended after %v by %v", took, context.Cause(ctx))
		}
		if left := g.Left(time.Second, time.Now()); left != 0 {
			t.Errorf("%v are left", left)
		}
	})
}
