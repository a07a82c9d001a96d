package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/upstream"
)

var berryPool = Pool{Kind: platformapi.KindEngine, Model: "berry-1"}

func engineOf(id, domain string, slots int) platformapi.Upstream {
	return platformapi.Upstream{
		ID: id, Kind: platformapi.KindEngine, FailureDomain: domain, State: platformapi.UpstreamLive, Slots: slots, Model: "berry-1",
	}
}

func newRecorder() *event.Recorder {
	return event.NewRecorder("vm-a1", 1024, event.NewClock(time.Now), zap.NewNop())
}

// testVM is a scheduler with its dependencies.
type testVM struct {
	*Scheduler
	directory *upstream.Directory
	loads     *upstream.Loads
	events    *event.Recorder
}

func newTestVM(ctx context.Context, upstreams ...platformapi.Upstream) testVM {
	vm := testVM{directory: upstream.NewDirectory(), loads: upstream.NewLoads(), events: newRecorder()}
	vm.directory.Replace(upstreams)
	vm.Scheduler = NewScheduler(Config{
		VM:            "vm-a1",
		FailureDomain: "a",
		Directory:     vm.directory,
		Loads:         vm.loads,
		Health:        upstream.NewHealth(vm.events),
		Events:        vm.events,
	})
	go vm.Run(ctx)
	return vm
}

func engineWork(account string, cost int64) Work {
	w := workOf(account, 100, cost)
	w.Pool = berryPool
	w.Repeatable = true
	return w
}

// fakeEngine serves as many requests concurrently as it has slots, in the order of arrival.
type fakeEngine struct{ slots chan struct{} }

func (e *fakeEngine) serve(d time.Duration) {
	e.slots <- struct{}{}
	time.Sleep(d)
	<-e.slots
}

// smallAccountLatency lets one account send 200 long requests at once and another account
// one request a second later. It returns the latency of the second account's request.
func smallAccountLatency(d Dispatcher) time.Duration {
	e := &fakeEngine{slots: make(chan struct{}, 4)}
	run := func(account string) {
		g, err := d.Acquire(context.Background(), engineWork(account, 100))
		if err != nil {
			return
		}
		e.serve(time.Second)
		g.Done(Result{Cost: 100})
	}
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() { run("flood") })
	}
	time.Sleep(time.Second + time.Millisecond)
	started := time.Now()
	run("small")
	elapsed := time.Since(started)
	all.Wait()
	return elapsed
}

// Guards against a flood of 200 long requests that delays another account's single
// request. In a FIFO queue the request waits until the whole flood has been served, in
// the fair queue at most until one slot is free.
func TestFloodDoesNotDelayASmallAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 4))
		if fair := smallAccountLatency(vm); fair > 2*time.Second {
			t.Fatalf("the small account waited %v for an answer that takes 1s", fair)
		}
		if fifo := smallAccountLatency(NewFIFO(vm.directory)); fifo < 40*time.Second {
			t.Fatalf("the small account waited only %v with FIFO, want at least 40s for the comparison to be valid", fifo)
		}
	})
}

// Guards against a request beyond the queue's limit that waits instead of being
// rejected at once with the time after which the queue will have drained. A caller
// whose request is undecided can do nothing else meanwhile.
func TestRequestBeyondQueueLimitIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 1))
		work := engineWork("fields", 10)
		work.Contract.Limits.Queue = 20
		serveFor(vm, work, 10*time.Second, time.Second)
		for range 20 {
			go func() { _, _ = vm.Acquire(ctx, work) }()
		}
		synctest.Wait()
		started := time.Now()
		for range 2 {
			go func() { _, _ = vm.Acquire(ctx, work) }()
		}
		synctest.Wait()
		_, err := vm.Acquire(ctx, work)
		if !fault.Is[*fault.QueueFull](err) {
			t.Fatalf("got error %v, want QueueFull", err)
		}
		if elapsed := time.Since(started); elapsed != 0 {
			t.Errorf("the request was rejected after %v, want at once", elapsed)
		}
		wait := fault.RetryAfterOf(err, 0)
		if wait < 15*time.Second || wait > 30*time.Second {
			t.Errorf("retry after %v, want 15s to 30s: 20 requests are queued and one ends per second", wait)
		}
	})
}

// serveFor runs requests one after the other for the given duration.
func serveFor(d Dispatcher, w Work, duration, each time.Duration) {
	for started := time.Now(); time.Since(started) < duration; {
		g, err := d.Acquire(context.Background(), w)
		if err != nil {
			return
		}
		time.Sleep(each)
		g.Done(Result{Cost: w.Cost})
	}
}

// Guards against a slot that is lost when its caller cancels at the moment of the
// grant. Each such caller would cost the engine one slot until the VM restarts, until
// no request is served.
func TestSlotOfACanceledRequestIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 1))
		for range 50 {
			acquireCtx, stop := context.WithTimeout(ctx, time.Minute)
			g, err := vm.Acquire(acquireCtx, engineWork("fields", 10))
			stop()
			if err != nil {
				t.Fatalf("the slot is lost: %v", err)
			}
			caller, leave := context.WithCancel(ctx)
			ended := make(chan Grant, 1)
			go func() {
				g, _ := vm.Acquire(caller, engineWork("fields", 10))
				ended <- g
			}()
			synctest.Wait()
			go leave()
			go g.Done(Result{Cost: 10})
			if g := <-ended; g.Done != nil {
				g.Done(Result{Cost: 10})
			}
		}
		synctest.Wait()
		last, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		if _, err := vm.Acquire(last, engineWork("fields", 10)); err != nil {
			t.Fatalf("the slot is lost: %v", err)
		}
	})
}

// Guards against slots that stay unused because the account next in the queue is at
// its limit of running requests. Other accounts must get them.
func TestRunningLimitLeavesSlotsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 4))
		limited := engineWork("limited", 10)
		limited.Contract.Limits.Running = 1
		first, err := vm.Acquire(ctx, limited)
		if err != nil {
			t.Fatal(err)
		}
		second := make(chan error, 1)
		go func() {
			_, err := vm.Acquire(ctx, limited)
			second <- err
		}()
		synctest.Wait()
		if _, err := vm.Acquire(ctx, engineWork("other", 10)); err != nil {
			t.Fatal(err)
		}
		if len(second) != 0 {
			t.Fatal("the account runs two requests at once")
		}
		first.Done(Result{Cost: 10})
		if err := <-second; err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against queued requests that wait for their deadline after the last upstream
// of their pool is listed as leaving. They must fail soon.
func TestQueuedRequestsFailWhenTheirPoolHasNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 1))
		if _, err := vm.Acquire(ctx, engineWork("fields", 10)); err != nil {
			t.Fatal(err)
		}
		waiter := make(chan error, 1)
		acquireCtx, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		go func() {
			_, err := vm.Acquire(acquireCtx, engineWork("fields", 10))
			waiter <- err
		}()
		synctest.Wait()
		time.Sleep(2 * tickInterval)
		leaving := engineOf("e1", "a", 1)
		leaving.State = platformapi.UpstreamLeaving
		vm.directory.Replace([]platformapi.Upstream{leaving})
		started := time.Now()
		if err := <-waiter; !fault.Is[*fault.NoUpstream](err) {
			t.Fatalf("got error %v, want NoUpstream", err)
		}
		if elapsed := time.Since(started); elapsed > time.Second {
			t.Fatalf("the queued request failed after %v, want at most 1s", elapsed)
		}
		time.Sleep(2 * tickInterval)
		recorded := vm.events.Since(event.Stamp{})
		if len(recorded) != 1 || recorded[0].Number != event.UpstreamLeaving || recorded[0].Upstream != "e1" {
			t.Errorf("recorded events %+v, want UpstreamLeaving for e1", recorded)
		}
	})
}

// Guards against failed attempts on an upstream that is leaving, is no longer listed,
// does not answer load polls, or reports another model. It would abort or reject new
// work.
func TestNoNewWorkForUpstreamsThatLeaveOrServeAnotherModel(t *testing.T) {
	changes := map[string]func(vm testVM){
		"leaving": func(vm testVM) {
			e := engineOf("e1", "a", 8)
			e.State = platformapi.UpstreamLeaving
			vm.directory.Replace([]platformapi.Upstream{e, engineOf("e2", "a", 8)})
		},
		"vanished": func(vm testVM) { vm.directory.Replace([]platformapi.Upstream{engineOf("e2", "a", 8)}) },
		"unreachable": func(vm testVM) {
			vm.loads.Set("e1", upstream.Report{MissedPolls: 2})
			vm.loads.Set("e2", upstream.Report{Load: engine.Load{Model: "berry-1"}, At: time.Now()})
		},
		"other model": func(vm testVM) {
			vm.loads.Set("e1", upstream.Report{Load: engine.Load{Model: "rota-2"}, At: time.Now()})
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				vm := newTestVM(ctx, engineOf("e1", "a", 8), engineOf("e2", "a", 8))
				if g, err := vm.Acquire(ctx, engineWork("fields", 10)); err == nil {
					g.Done(Result{})
				}
				change(vm)
				for range 8 {
					g, err := vm.Acquire(ctx, engineWork("fields", 10))
					if err != nil {
						t.Fatal(err)
					}
					if g.Upstream.ID == "e1" {
						t.Fatal("e1 got new work")
					}
				}
			})
		})
	}
}

// Guards against work on an engine whose weight load failed and that still serves old
// weights. Its samples would be stale, and a step that repeatedly got them would never
// be complete. Work for any version may still run there.
func TestEngineWithOldWeightsGetsNoWorkThatNeedsNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("old", "a", 8), engineOf("new", "a", 8))
		report := func(id string, version int64) {
			vm.loads.Set(id, upstream.Report{Load: engine.Load{Model: "berry-1", WeightVersion: version}, At: time.Now()})
		}
		report("old", 1)
		report("new", 2)
		needsNew := engineWork("fields", 10)
		needsNew.MinVersion = 2
		for range 8 {
			g, err := vm.Acquire(ctx, needsNew)
			if err != nil {
				t.Fatal(err)
			}
			if g.Upstream.ID == "old" {
				t.Fatal("work that needs version 2 went to an engine with version 1")
			}
		}
		if g, err := vm.Acquire(ctx, engineWork("fields", 10)); err != nil || g.Upstream.ID != "old" {
			t.Errorf("work for any version got %q, %v, want the engine with free slots", g.Upstream.ID, err)
		}
		report("old", 2)
		if g, err := vm.Acquire(ctx, needsNew); err != nil || g.Upstream.ID != "old" {
			t.Errorf("after the weight load got %q, %v, want the engine with free slots", g.Upstream.ID, err)
		}
	})
}

// Guards against excluding all engines when this VM's own network fails for a moment
// and no engine seems to answer load polls. Every request would wait for a fault that
// may have ended.
func TestEnginesAreUsedWhenNoneSeemsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 1), engineOf("e2", "a", 1))
		vm.loads.Set("e1", upstream.Report{MissedPolls: 5})
		vm.loads.Set("e2", upstream.Report{MissedPolls: 5})
		acquireCtx, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		if _, err := vm.Acquire(acquireCtx, engineWork("fields", 10)); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against too much work on reclaimable upstreams when a contract allows half of
// an account's repeatable work there. Work that may not be repeated would be lost with
// them, and more than half would stall the account's steps when a failure domain is
// reclaimed.
func TestReclaimableUpstreamsGetOnlyTheContractsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		reclaimable := engineOf("cheap", "a", 8)
		reclaimable.Reclaimable = true
		vm := newTestVM(ctx, reclaimable, engineOf("paid", "a", 8))
		tokens := map[string]int64{}
		for i := range 400 {
			w := engineWork("fields", 100)
			w.Contract.Reclaimable.Percent = 50
			w.Repeatable = i%4 != 0
			g, err := vm.Acquire(ctx, w)
			if err != nil {
				t.Fatal(err)
			}
			if !w.Repeatable && g.Upstream.Reclaimable {
				t.Fatal("work that may not be repeated runs on a reclaimable upstream")
			}
			cost := int64(10 + i%90)
			if w.Repeatable {
				tokens[g.Upstream.ID] += cost
			}
			g.Done(Result{Cost: cost})
			if tokens["cheap"] > tokens["paid"] {
				t.Fatalf("after %d requests %v tokens, want at most half on the reclaimable upstream", i, tokens)
			}
		}
		if tokens["cheap"]*3 < tokens["paid"] {
			t.Fatalf("too little work on the reclaimable upstream: %v", tokens)
		}
	})
}

// Guards against a group of samples that is spread over all engines. Its samples share
// a long prompt that an engine caches; each engine would compute it anew, and the step
// would take longer.
func TestGroupStaysOnOneEngineWhileItHasFreeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var engines []platformapi.Upstream
		for i := range 5 {
			engines = append(engines, engineOf(fmt.Sprint("e", i), "a", 8))
		}
		vm := newTestVM(ctx, engines...)
		used := map[string]int{}
		for range 12 {
			w := engineWork("fields", 10)
			w.Affinity = 4711
			g, err := vm.Acquire(ctx, w)
			if err != nil {
				t.Fatal(err)
			}
			used[g.Upstream.ID]++
		}
		counts := []int{}
		for _, n := range used {
			counts = append(counts, n)
		}
		slices.Sort(counts)
		if !slices.Equal(counts, []int{4, 8}) {
			t.Fatalf("12 requests of a group went to %v, want 8 on one engine and 4 on the next", used)
		}
	})
}

// Guards against more work for an engine that fails every attempt. After a few failures
// it must be ejected, and its recovery must be detected by a single probe request.
func TestFailingEngineIsEjectedAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("bad", "a", 4), engineOf("good", "a", 4))
		attempt := func(failing bool) (bad int) {
			for range 40 {
				g, err := vm.Acquire(ctx, engineWork("fields", 10))
				if err != nil {
					t.Fatal(err)
				}
				isBad := g.Upstream.ID == "bad"
				if isBad {
					bad++
				}
				time.Sleep(10 * time.Millisecond)
				g.Done(Result{Cost: 10, Failed: isBad && failing})
			}
			return bad
		}
		if n := attempt(true); n != 3 {
			t.Fatalf("%d attempts went to the failing engine, want 3", n)
		}
		time.Sleep(3 * time.Second)
		if n := attempt(true); n != 1 {
			t.Fatalf("%d attempts probed the failing engine, want 1", n)
		}
		time.Sleep(5 * time.Second)
		if n := attempt(false); n < 10 {
			t.Fatalf("only %d attempts went to the recovered engine, want at least 10", n)
		}
	})
}

// Guards against answers to requests sent before an ejection: they must neither end
// the ejection nor prolong it.
func TestAnswersFromBeforeAnEjectionDoNotChangeIt(t *testing.T) {
	health := upstream.NewHealth(newRecorder())
	ids := []string{"e1", "e2"}
	now := time.Now()
	for range 3 {
		health.NoteFailure("e1", ids, now)
	}
	health.NoteSuccess("e1", ids, time.Millisecond, now)
	if health.State("e1", now) != upstream.Ejected {
		t.Error("an earlier answer ended the ejection")
	}
	for range 5 {
		health.NoteFailure("e1", ids, now)
	}
	if health.State("e1", now.Add(3*time.Second)) != upstream.Probing {
		t.Error("earlier failures prolonged the ejection")
	}
}

// Guards against an engine that stays ejected although its probe succeeds: a request from before
// the engine moved to its present pool ends while the probe runs.
func TestEndOfEarlierRequestDoesNotEndProbe(t *testing.T) {
	for name, end := range map[string]Result{"failed": {Cost: 10, Failed: true}, "canceled": {}, "answered": {Cost: 10}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				vm := newTestVM(ctx, engineOf("moved", "a", 4))
				acquire := func(work Work) Grant {
					g, err := vm.Acquire(ctx, work)
					if err != nil {
						t.Fatal(err)
					}
					return g
				}
				earlier := acquire(engineWork("fields", 10))
				moved, other := engineOf("moved", "a", 4), engineOf("other", "a", 4)
				moved.Model, other.Model = "rota-2", "rota-2"
				vm.directory.Replace([]platformapi.Upstream{moved, other})
				work := engineWork("fields", 10)
				work.Pool.Model, work.Exclude = "rota-2", []string{"other"}
				for range 3 {
					acquire(work).Done(Result{Cost: 10, Failed: true})
				}
				time.Sleep(3 * time.Second)
				probe := acquire(work)
				earlier.Done(end)
				if health := vm.config.Health; health.State("moved", time.Now()) != upstream.Ejected {
					t.Error("the engine gets requests while its probe runs")
				}
				probe.Done(Result{Cost: 10})
				if health := vm.config.Health; health.State("moved", time.Now()) != upstream.Healthy {
					t.Error("the engine is ejected after its probe succeeded")
				}
			})
		})
	}
}

// Guards against ejecting every engine when all fail at once, for example because of a
// bad model, which would replace slow service by none. Half of a pool must stay in
// rotation.
func TestHalfOfAPoolIsNeverEjected(t *testing.T) {
	health := upstream.NewHealth(newRecorder())
	ids := []string{"e1", "e2", "e3", "e4", "e5"}
	now := time.Now()
	for range 20 {
		for _, id := range ids {
			health.NoteFailure(id, ids, now)
		}
	}
	if out := health.EjectedCount(); out != 2 {
		t.Fatalf("%d of 5 upstreams are ejected, want 2", out)
	}
}

// Guards against an engine that is ten times slower than the others and delays every
// request that it gets, although none fails.
func TestSlowEngineIsEjected(t *testing.T) {
	health := upstream.NewHealth(newRecorder())
	ids := []string{"e1", "e2", "e3"}
	now := time.Now()
	for range 20 {
		health.NoteSuccess("e1", ids, 10*time.Millisecond, now)
		health.NoteSuccess("e2", ids, time.Millisecond, now)
		health.NoteSuccess("e3", ids, time.Millisecond, now)
	}
	if health.State("e1", now) != upstream.Ejected {
		t.Fatal("the slow engine still gets work")
	}
	if health.State("e2", now) != upstream.Healthy || health.State("e3", now) != upstream.Healthy {
		t.Fatal("a healthy engine is not in rotation")
	}
}
