package admission

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// slotUpstream is an upstream with slots and a queue.
type slotUpstream struct {
	work           time.Duration
	slots, waiting int

	mu       sync.Mutex
	inside   int
	arrivals int
	running  int
	order    []string
	free     chan struct{}
}

// upstreams is a target.Transport to upstreams that report their load, by ID.
type upstreams map[string]*slotUpstream

func newUpstreams(slots, waiting int, work ...time.Duration) upstreams {
	u := make(upstreams)
	for i, w := range work {
		u[fmt.Sprint(i)] = &slotUpstream{work: w, slots: slots, waiting: waiting, free: make(chan struct{}, slots)}
	}
	return u
}

func (u upstreams) arrivals() (n int) {
	for _, s := range u {
		s.mu.Lock()
		n += s.arrivals
		s.mu.Unlock()
	}
	return n
}

func (u upstreams) Call(ctx context.Context, e *target.Entry, request *target.Request) (*target.Response, error) {
	s := u[e.Info().ID]
	time.Sleep(upstreamTrip)
	notRun := s.serve(ctx, request.Account)
	load := s.load()
	time.Sleep(upstreamTrip)
	if ctx.Err() != nil {
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{}), fault.Unknown)
	}
	e.NoteLoad(load, time.Now())
	return &target.Response{Status: http.StatusOK, NotRun: notRun, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func (s *slotUpstream) load() target.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return target.Load{Running: s.running, Waiting: s.inside - s.running, Slots: s.slots}
}

func (s *slotUpstream) add(inside, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside += inside
	s.running += running
}

func (s *slotUpstream) serve(ctx context.Context, account string) (notRun bool) {
	s.mu.Lock()
	s.arrivals++
	full := s.inside >= s.slots+s.waiting
	if !full {
		s.inside++
		s.order = append(s.order, account)
	}
	s.mu.Unlock()
	if full {
		return true
	}
	defer s.add(-1, 0)
	select {
	case s.free <- struct{}{}:
	case <-ctx.Done():
		return true
	}
	s.add(0, 1)
	time.Sleep(s.work)
	s.add(0, -1)
	<-s.free
	return false
}

type unobserved struct{}

func (unobserved) ObserveWait(string, int, time.Duration) {}
func (unobserved) CountShed(string, int, string)          {}
func (unobserved) SetQueueLength(string, int)             {}

// newForwarder returns the forwarder of a VM, with or without a queue.
func newForwarder(u upstreams, queued bool) (*forward.Forwarder, *Controller) {
	events := event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
	roster := target.NewRoster(events)
	var list []target.Instance
	for id, s := range u {
		list = append(list, target.Instance{ID: id, Service: modelService, FailureDomain: "d" + id, Slots: s.slots})
	}
	roster.Replace(list)
	f := &forward.Forwarder{Roster: roster, Transport: u, Meter: forward.Unmetered{}, Events: events, RetryBudget: retry.NewBudget()}
	c := NewController(roster, events, unobserved{})
	if queued {
		f.Admission = c
	}
	return f, c
}

func newCall(account string, priority int) forward.Call {
	return forward.Call{ID: account, Account: account, Priority: priority, Arrived: time.Now(), Method: http.MethodPost, Route: &route.Route{
		Kind: route.Idempotent, Attempts: 2, Objective: modelObjective, Split: []route.Share{{Service: modelService, Weight: 1}},
	}}
}

// playBurst plays a burst at many VMs, and returns what callers got.
func playBurst(u upstreams, queued bool, vms int, rate float64, duration time.Duration, seed uint64) (o outcome) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	var forwarders []*forward.Forwarder
	random := rand.New(rand.NewPCG(seed, 5))
	for i := range vms {
		f, c := newForwarder(u, queued)
		c.random = rand.New(rand.NewPCG(seed, uint64(2*vms+i))).Float64
		f.Domain = fmt.Sprint("d", i%len(u))
		f.Roster.SetRandom(rand.New(rand.NewPCG(seed, uint64(vms+i))).Float64)
		forwarders = append(forwarders, f)
	}
	for started := time.Now(); time.Since(started) < duration; {
		f := forwarders[random.IntN(vms)]
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), modelDeadline)
			defer cancel()
			arrived := time.Now()
			_, err := f.Do(ctx, newCall("a", 0))
			mu.Lock()
			defer mu.Unlock()
			o.requests++
			switch {
			case err != nil:
				o.refused++
			case time.Since(arrived)+2*callerTrip <= modelObjective:
				o.inTime++
			default:
				o.late++
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	calls.Wait()
	// Canceled attempts that run end within the duration of a request.
	time.Sleep(modelDeadline)
	o.arrivals = u.arrivals()
	return o
}

// Guards against a queue that costs requests their objective although the capacity is enough, and
// against requests that callers and upstreams send in vain when it is not.
func TestQueueInBurst(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		rate float64
		// least is the least share in time, relative to that without a queue. arrivals is the
		// largest number of arrivals per request.
		least, arrivals float64
	}{
		{"capacity for all", 240, 0.98, 1.2},
		{"nine tenths of the capacity", 380, 0.98, 1.15},
		{"twice the capacity", 840, 0.95, 0.85},
	} {
		synctest.Test(t, func(t *testing.T) {
			play := func(queued bool) (sum outcome) {
				for seed := range uint64(3) {
					sum.add(playBurst(newUpstreams(6, 24, 25*ms, 100*ms, 100*ms, 100*ms), queued, 60, c.rate, 4*time.Second, seed))
				}
				return sum
			}
			direct, queued := play(false), play(true)
			t.Logf("%s, without queue: %s", c.name, direct)
			t.Logf("%s, with queue: %s", c.name, queued)
			if queued.share() < c.least*direct.share() || queued.arrivalsPerRequest() > c.arrivals {
				t.Errorf("%s: too few requests in time, or too many arrivals", c.name)
			}
		})
	}
}
