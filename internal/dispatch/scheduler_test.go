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
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/upstream"
)

var berryPool = Pool{Kind: platform.KindEngine, Model: "berry-1"}

func engineOf(id, domain string, slots int) platform.Upstream {
	return platform.Upstream{
		ID: id, Kind: platform.KindEngine, FailureDomain: domain, State: platform.UpstreamLive, Slots: slots, Model: "berry-1",
	}
}

func quietRecorder() *event.Recorder {
	return event.NewRecorder("vm-a1", 1024, event.NewClock(time.Now), zap.NewNop())
}

// testVM is a scheduler with its parts.
type testVM struct {
	*Scheduler
	directory *upstream.Directory
	loads     *upstream.Loads
	events    *event.Recorder
}

func newTestVM(ctx context.Context, upstreams ...platform.Upstream) testVM {
	vm := testVM{directory: upstream.NewDirectory(), loads: upstream.NewLoads(), events: quietRecorder()}
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

// slowEngine serves slots requests at once, in the order of arrival.
type slowEngine struct{ slots chan struct{} }

func (e *slowEngine) serve(d time.Duration) {
	e.slots <- struct{}{}
	time.Sleep(d)
	<-e.slots
}

// floodAndAsk lets one account send 200 long requests at once and another one
// a second later, and returns how long the other waited for its answer.
func floodAndAsk(d Dispatcher) time.Duration {
	e := &slowEngine{slots: make(chan struct{}, 4)}
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
	begun := time.Now()
	run("small")
	took := time.Since(begun)
	all.Wait()
	return took
}

// One account sends 200 long requests at once, and another asks for one answer
// meanwhile. With a plain queue its caller waits until the whole flood has been
// served; with the fair queue for one place to come free, at most.
func TestFloodDoesNotDelayASmallAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 4))
		if fair := floodAndAsk(vm); fair > 2*time.Second {
			t.Fatalf("the small account waited %v for an answer that takes 1s", fair)
		}
		if plain := floodAndAsk(NewFIFO(vm.directory)); plain < 40*time.Second {
			t.Fatalf("the baseline took only %v: the test shows nothing", plain)
		}
	})
}

// A request beyond the queue's limit must hear so at once, with the time after
// which the queue will have drained, for a caller held in doubt can do nothing
// else meanwhile.
func TestRefusalComesAtOnceWithTheMeasuredTime(t *testing.T) {
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
		begun := time.Now()
		for range 2 {
			go func() { _, _ = vm.Acquire(ctx, work) }()
		}
		synctest.Wait()
		_, err := vm.Acquire(ctx, work)
		if !fault.Is[*fault.QueueFull](err) {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(begun); took != 0 {
			t.Errorf("the refusal was held for %v", took)
		}
		wait := fault.RetryAfterOf(err, 0)
		if wait < 15*time.Second || wait > 30*time.Second {
			t.Errorf("told to come back after %v; 20 wait and one a second ends", wait)
		}
	})
}

// serveFor runs one request after the other for a while.
func serveFor(d Dispatcher, w Work, span, each time.Duration) {
	for begun := time.Now(); time.Since(begun) < span; {
		g, err := d.Acquire(context.Background(), w)
		if err != nil {
			return
		}
		time.Sleep(each)
		g.Done(Result{Cost: w.Cost})
	}
}

// A caller goes away at the very moment when its place comes free. Were the
// place lost, each such caller would cost the engine one slot until the VM is
// restarted, and in the end nobody would be served.
func TestPlaceOfACallerThatLeftIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 1))
		for range 50 {
			patient, stop := context.WithTimeout(ctx, time.Minute)
			g, err := vm.Acquire(patient, engineWork("fields", 10))
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

// An account may run only so many requests at once by its contract. Others must
// use the places that it may not.
func TestRunningLimitLeavesPlacesToOthers(t *testing.T) {
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

// The platform's list shows that the last upstream of a pool is leaving while
// requests wait for it. They must hear so, not wait for their deadline.
func TestWaitersHearThatTheirPoolIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 1))
		if _, err := vm.Acquire(ctx, engineWork("fields", 10)); err != nil {
			t.Fatal(err)
		}
		waiter := make(chan error, 1)
		patient, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		go func() {
			_, err := vm.Acquire(patient, engineWork("fields", 10))
			waiter <- err
		}()
		synctest.Wait()
		time.Sleep(2 * tickPeriod)
		leaving := engineOf("e1", "a", 1)
		leaving.State = platform.UpstreamLeaving
		vm.directory.Replace([]platform.Upstream{leaving})
		begun := time.Now()
		if err := <-waiter; !fault.Is[*fault.NoUpstream](err) {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(begun); took > time.Second {
			t.Fatalf("the waiter heard after %v", took)
		}
		time.Sleep(2 * tickPeriod)
		told := vm.events.Since(event.Stamp{})
		if len(told) != 1 || told[0].Number != event.UpstreamLeaving || told[0].Upstream != "e1" {
			t.Errorf("the time line says %+v", told)
		}
	})
}

// An upstream is leaving, or has vanished from the list, or does not answer polls
// of its load, or its own report says that it serves another model by now. New work sent there would be cut off or
// refused, and its callers would see failed attempts.
func TestNoNewWorkForUpstreamsThatLeaveOrServeAnotherModel(t *testing.T) {
	changes := map[string]func(vm testVM){
		"leaving": func(vm testVM) {
			e := engineOf("e1", "a", 8)
			e.State = platform.UpstreamLeaving
			vm.directory.Replace([]platform.Upstream{e, engineOf("e2", "a", 8)})
		},
		"vanished": func(vm testVM) { vm.directory.Replace([]platform.Upstream{engineOf("e2", "a", 8)}) },
		"unreachable": func(vm testVM) {
			vm.loads.Set("e1", upstream.Report{Misses: 2})
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
						t.Fatal("new work for e1")
					}
				}
			})
		})
	}
}

// An engine failed its swap and still serves old weights. Samples that it made
// would be stale at once, and a step that kept meeting it would never be whole;
// work that takes any weights may go on there.
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
			t.Errorf("work for any version got %q, %v, want the engine with room", g.Upstream.ID, err)
		}
		report("old", 2)
		if g, err := vm.Acquire(ctx, needsNew); err != nil || g.Upstream.ID != "old" {
			t.Errorf("after the swap got %q, %v, want the engine with room", g.Upstream.ID, err)
		}
	})
}

// This VM's own network fails for a moment, so that no engine seems to answer the
// polls of its load. Were all left out, every request would wait for a fault that
// may be over already.
func TestEnginesAreUsedWhenNoneSeemsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("e1", "a", 1), engineOf("e2", "a", 1))
		vm.loads.Set("e1", upstream.Report{Misses: 5})
		vm.loads.Set("e2", upstream.Report{Misses: 5})
		patient, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		if _, err := vm.Acquire(patient, engineWork("fields", 10)); err != nil {
			t.Fatal(err)
		}
	})
}

// A contract lets half of an account's repeatable work run on reclaimable
// upstreams. Work that may not be repeated would be lost with them, and more
// than half would stall the account's steps when a failure domain is reclaimed.
func TestReclaimableUpstreamsGetOnlyTheContractsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		cheap := engineOf("cheap", "a", 8)
		cheap.Reclaimable = true
		vm := newTestVM(ctx, cheap, engineOf("paid", "a", 8))
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
				t.Fatalf("after %d requests %v tokens", i, tokens)
			}
		}
		if tokens["cheap"]*3 < tokens["paid"] {
			t.Fatalf("the share is hardly used: %v", tokens)
		}
	})
}

// The samples of a group share a long prompt, which an engine keeps in its
// cache. Spread over all engines each would compute it anew, and the step would
// take longer.
func TestGroupMeetsOnOneEngineAsLongAsItHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var engines []platform.Upstream
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
			t.Fatalf("12 requests of a group went to %v", used)
		}
	})
}

// An engine answers every attempt with a failure. After a few it must get no
// more work, and once it is well again it must be found out by a single request.
func TestFailingEngineIsEjectedAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vm := newTestVM(ctx, engineOf("bad", "a", 4), engineOf("good", "a", 4))
		attempt := func(broken bool) (bad int) {
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
				g.Done(Result{Cost: 10, Failed: isBad && broken})
			}
			return bad
		}
		if n := attempt(true); n != 3 {
			t.Fatalf("%d attempts went to the failing engine", n)
		}
		time.Sleep(3 * time.Second)
		if n := attempt(true); n != 1 {
			t.Fatalf("%d attempts probed the failing engine", n)
		}
		time.Sleep(5 * time.Second)
		if n := attempt(false); n < 10 {
			t.Fatalf("only %d attempts went to the engine that is well again", n)
		}
	})
}

// An engine is ejected while several of its requests still run. Their answers
// came from before the ejection: they must neither end it nor make it longer.
func TestAnswersFromBeforeAnEjectionDoNotJudgeIt(t *testing.T) {
	health := upstream.NewHealth(quietRecorder())
	ids := []string{"e1", "e2"}
	now := time.Now()
	for range 3 {
		health.Failed("e1", ids, now)
	}
	health.Succeeded("e1", ids, time.Millisecond, now)
	if health.Standing("e1", now) != upstream.Ejected {
		t.Error("an earlier answer ended the ejection")
	}
	for range 5 {
		health.Failed("e1", ids, now)
	}
	if health.Standing("e1", now.Add(3*time.Second)) != upstream.Probing {
		t.Error("earlier failures made the ejection longer")
	}
}

// Every engine fails at once, for example because of a bad model. Ejecting all
// of them would turn slow service into none; half of a pool must stay in.
func TestHalfOfAPoolIsNeverEjected(t *testing.T) {
	health := upstream.NewHealth(quietRecorder())
	ids := []string{"e1", "e2", "e3", "e4", "e5"}
	now := time.Now()
	for range 20 {
		for _, id := range ids {
			health.Failed(id, ids, now)
		}
	}
	if out := health.Out(); out != 2 {
		t.Fatalf("%d of 5 are ejected", out)
	}
}

// An engine that answers ten times slower than its like holds up every request
// that it gets, although none fails.
func TestSlowEngineIsEjected(t *testing.T) {
	health := upstream.NewHealth(quietRecorder())
	ids := []string{"e1", "e2", "e3"}
	now := time.Now()
	for range 20 {
		health.Succeeded("e1", ids, 10*time.Millisecond, now)
		health.Succeeded("e2", ids, time.Millisecond, now)
		health.Succeeded("e3", ids, time.Millisecond, now)
	}
	if health.Standing("e1", now) != upstream.Ejected {
		t.Fatal("the slow engine still gets work")
	}
	if health.Standing("e2", now) != upstream.Healthy || health.Standing("e3", now) != upstream.Healthy {
		t.Fatal("a good engine is out")
	}
}
