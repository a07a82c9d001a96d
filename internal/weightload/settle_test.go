package weightload

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

// gap is the time between two answers of an engine, which stood still for part of it.
type gap struct{ length, stall time.Duration }

func genGaps() gopter.Gen {
	return gen.SliceOf(gopter.CombineGens(
		gen.Int64Range(1, int64(2*time.Second)), gen.Float64Range(0, 1), gen.Bool(), gen.Bool(),
	).Map(func(drawn []any) gap {
		length := time.Duration(drawn[0].(int64))
		if drawn[2].(bool) {
			length = length%maxCountedGap + 1
		}
		if drawn[3].(bool) {
			return gap{length: length}
		}
		return gap{length: length, stall: time.Duration(drawn[1].(float64) * float64(length))}
	}))
}

// However its answers fall, an engine settles only after it ran for settleTime, less
// maxCountedGap for each stall, and it settles after a bounded number of answers.
func TestSettlingRule(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 5000
	properties := gopter.NewProperties(parameters)
	properties.Property("settled after enough running", prop.ForAll(func(gaps []gap) bool {
		var s settling
		now := time.Unix(0, 0)
		s.noteAnswer(now)
		var ran, mistaken time.Duration
		for _, g := range gaps {
			now = now.Add(g.length)
			s.noteAnswer(now)
			ran += g.length - g.stall
			mistaken += min(g.stall, maxCountedGap)
			if s.settled() {
				return ran+mistaken >= settleTime
			}
		}
		return true
	}, genGaps()))
	const answers = int((settleTime + probeInterval - 1) / probeInterval)
	properties.Property("settled after a bounded number of answers", prop.ForAll(func(lengths []time.Duration) bool {
		var s settling
		now := time.Unix(0, 0)
		s.noteAnswer(now)
		for _, length := range lengths {
			now = now.Add(length)
			s.noteAnswer(now)
		}
		return s.settled()
	}, gen.SliceOfN(answers, gen.Int64Range(int64(probeInterval), int64(time.Minute)).Map(func(d int64) time.Duration { return time.Duration(d) }))))
	properties.TestingRun(t)
}

// observedEngines are the engines of a fleet with latencies, which record the orders.
type observedEngines struct {
	*fleet
	// latency returns how long an engine takes to answer a call.
	latency func(id string) time.Duration

	mu     sync.Mutex
	orders []observedOrder
	// probes and reports count the calls to each engine, reading those in flight, and
	// mostReading is the highest number of them so far.
	probes, reports      map[string]int
	reading, mostReading int
	// probed receives the time of the first probe, if it is not nil.
	probed chan time.Time
}

type observedOrder struct {
	id    string
	epoch uint64
	at    time.Time
}

// noLatency is a latency of calls that are answered at once.
func noLatency(string) time.Duration { return 0 }

func (o *observedEngines) Report(ctx context.Context, e *target.Entry) (Report, error) {
	defer o.countReading(o.reports, e)()
	if !wait.For(ctx, o.latency(e.Info().ID)) {
		return Report{}, ctx.Err()
	}
	return o.fleet.Report(ctx, e)
}

func (o *observedEngines) Probe(ctx context.Context, e *target.Entry) error {
	defer o.countReading(o.probes, e)()
	select {
	case o.probed <- time.Now():
	default:
	}
	if !wait.For(ctx, o.latency(e.Info().ID)) {
		return ctx.Err()
	}
	return o.fleet.Probe(ctx, e)
}

// countReading counts a call to an engine. The returned function ends it.
func (o *observedEngines) countReading(calls map[string]int, e *target.Entry) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	calls[e.Info().ID]++
	o.reading++
	o.mostReading = max(o.mostReading, o.reading)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.reading--
	}
}

func (o *observedEngines) Order(ctx context.Context, e *target.Entry, order Order) (Reply, error) {
	o.mu.Lock()
	o.orders = append(o.orders, observedOrder{e.Info().ID, order.Epoch, time.Now()})
	o.mu.Unlock()
	return o.fleet.Order(ctx, e, order)
}

// ordersOf returns the orders to an engine.
func (o *observedEngines) ordersOf(id string) []observedOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(o.orders), func(order observedOrder) bool { return order.id != id })
}

// heldLease is the guard of a lease that is held all along.
type heldLease uint64

func (heldLease) Check() error        { return nil }
func (h heldLease) Epoch() uint64     { return uint64(h) }
func (heldLease) Deadline() time.Time { return time.Now().Add(time.Minute) }

func (heldLease) Confirm(context.Context) error { return nil }

func (heldLease) BeginAction(context.Context, string) (func(bool), error) {
	return func(bool) {}, nil
}

func (heldLease) PendingUntil(string) time.Time { return time.Time{} }

// newObservedLoader returns a loader of n engines on which loads are due.
func newObservedLoader(n int, latency func(id string) time.Duration) (*Loader, *observedEngines) {
	engines := &observedEngines{fleet: newFleet(n), latency: latency, probes: make(map[string]int), reports: make(map[string]int)}
	engines.announceVersion("m", 5)
	events := event.NewRecorder("a", 256, event.NewClock(time.Now), zap.NewNop())
	l := &Loader{
		VM: "a", Domain: "x", Roster: engines.roster, Engines: engines, Demands: engines, Store: engines.store,
		Events: events,
		Leases: lease.NewManager(rowstore.NewTables(engines.store, "lease"), "a", 3*time.Second, events),
		busy:   make(map[*target.Entry]bool), suspectUntil: make(map[*target.Entry]time.Time),
	}
	return l, engines
}

// serveFor runs a lease term of the loader for d.
func serveFor(t *testing.T, l *Loader, epoch uint64, d time.Duration) {
	serveWith(t, l, heldLease(epoch), d)
}

func serveWith(t *testing.T, l *Loader, guard lease.Guard, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	_ = l.serveTerm(ctx, guard)
}

// heldBackEvents returns the engines whose orders were reported as held back.
func heldBackEvents(l *Loader) []string {
	var out []string
	for _, r := range l.Events.Since(event.Stamp{}) {
		if r.Number == event.OrderHeldBack {
			out = append(out, r.Upstream)
		}
	}
	return out
}

// Guards against a wait longer than the order grace period for engines that run all along,
// and against orders within that period.
func TestRunningEngineGetsItsOrderAtTheEndOfTheGracePeriod(t *testing.T) {
	for _, latency := range []time.Duration{0, time.Millisecond, 15 * time.Millisecond, 30 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			l, engines := newObservedLoader(15, func(string) time.Duration { return latency })
			acquiredAt := time.Now()
			serveFor(t, l, 1, 1500*time.Millisecond)
			var first []time.Duration
			for _, order := range engines.orders {
				first = append(first, order.at.Sub(acquiredAt)-latency)
			}
			// The report that precedes an order takes the latency.
			want := slices.Repeat([]time.Duration{lease.OrderGracePeriod(orderTimeout)}, maxConcurrentLoads(15))
			if !slices.Equal(first, want) {
				t.Errorf("latency %s: orders %v after the acquisition, want %v", latency, first, want)
			}
			if held := heldBackEvents(l); len(held) > 0 {
				t.Errorf("latency %s: orders to %v were reported as held back", latency, held)
			}
		})
	}
}

// Guards against orders to an engine that may still hold one of the previous holder, and
// against other engines that wait for it.
func TestEngineWithoutAnswersGetsNoOrderAndTakesNoLoadSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, engines := newObservedLoader(4, noLatency)
		engines.engines["e00"].stall(time.Hour)
		acquiredAt := time.Now()
		serveFor(t, l, 1, 20*time.Second)
		if n := len(engines.ordersOf("e00")); n > 0 {
			t.Errorf("%d orders to an engine that never answered", n)
		}
		if first := engines.orders[0].at.Sub(acquiredAt); first != lease.OrderGracePeriod(orderTimeout) {
			t.Errorf("the first order to the other engines came %s after the acquisition", first)
		}
		if byVersion := engines.versions("m"); byVersion[5] != 3 {
			t.Errorf("engines by version: %v", byVersion)
		}
		if held := heldBackEvents(l); !slices.Equal(held, []string{"e00"}) {
			t.Errorf("orders were reported as held back for %v, want once for e00", held)
		}
		// Each failed probe takes reportTimeout, and suspectBackoff passes before the next.
		if n, most := engines.probes["e00"], int(20*time.Second/(reportTimeout+suspectBackoff))+1; n < most/2 || n > most {
			t.Errorf("%d probes of an engine without answers in 20 s, want up to %d", n, most)
		}
	})
}

// guardOfSuccessor is the guard of a holder whose predecessor left an unanswered order at e00.
type guardOfSuccessor struct {
	heldLease
	pendingUntil time.Time
}

func (g guardOfSuccessor) PendingUntil(receiver string) time.Time {
	if receiver != "e00" {
		return time.Time{}
	}
	return g.pendingUntil
}

// Guards against an order to an engine at which one of an earlier holder may still arrive, and
// against a wait of the other engines for it.
func TestEngineWithAPendingOrderGetsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pendingFor = 7 * time.Second
		l, engines := newObservedLoader(4, noLatency)
		acquiredAt := time.Now()
		serveWith(t, l, guardOfSuccessor{1, acquiredAt.Add(pendingFor)}, 20*time.Second)
		first := make(map[string]time.Duration)
		for _, order := range engines.orders {
			if _, ok := first[order.id]; !ok {
				first[order.id] = order.at.Sub(acquiredAt)
			}
		}
		if wait := pendingFor + lease.OrderGracePeriod(orderTimeout); first["e00"] < wait || first["e00"] > wait+planInterval {
			t.Errorf("the first order to the engine came %s after the acquisition, want %s", first["e00"], wait)
		}
		if first["e01"] != lease.OrderGracePeriod(orderTimeout) {
			t.Errorf("the first order to another engine came %s after the acquisition", first["e01"])
		}
		if held := heldBackEvents(l); !slices.Equal(held, []string{"e00"}) {
			t.Errorf("orders were reported as held back for %v, want once for e00", held)
		}
	})
}

// Guards against an engine that keeps old weights since it answers slowly.
func TestSlowEngineGetsItsWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 450 * time.Millisecond
		l, engines := newObservedLoader(1, func(string) time.Duration { return latency })
		acquiredAt := time.Now()
		serveFor(t, l, 1, 10*time.Second)
		orders := engines.ordersOf("e00")
		if byVersion := engines.versions("m"); byVersion[5] != 1 || len(orders) == 0 {
			t.Fatalf("engines by version: %v, %d orders", byVersion, len(orders))
		}
		if wait := orders[0].at.Sub(acquiredAt); wait > 5*time.Second {
			t.Errorf("the first order came %s after the acquisition", wait)
		}
	})
}

// Guards against a holder that trusts what it saw of an engine in an earlier term: another
// VM may have held the lease since.
func TestEachTermSettlesTheEnginesAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, engines := newObservedLoader(1, noLatency)
		serveFor(t, l, 1, 5*time.Second)
		if n := len(engines.ordersOf("e00")); n != 1 {
			t.Fatalf("%d orders in the first term, want 1", n)
		}
		engines.announceVersion("m", 8)
		const stall = 3600 * time.Millisecond
		engines.engines["e00"].stall(stall)
		acquiredAt := time.Now()
		serveFor(t, l, 3, 10*time.Second)
		orders := engines.ordersOf("e00")
		if len(orders) != 2 || orders[1].epoch != 3 {
			t.Fatalf("orders %v, want a second one of epoch 3", orders)
		}
		if wait := orders[1].at.Sub(acquiredAt); wait < stall+settleTime {
			t.Errorf("the order came %s after the acquisition, the engine stood still for %s of it", wait, stall)
		}
	})
}

// Guards against many probes at once in a large failure domain, and against engines that a
// later load finds unsettled.
func TestProbesOfALargeDomainAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 572
		l, engines := newObservedLoader(n, func(string) time.Duration { return probeInterval / 2 })
		engines.demands = nil
		serveFor(t, l, 1, 30*time.Second)
		perEngine := int(settleTime/probeInterval) + 2
		for id := range engines.engines {
			if probes, all := engines.probes[id], engines.probes[id]+engines.reports[id]; probes != 1 || all != perEngine {
				t.Errorf("%s got %d probes over new connections and %d reads in all, want 1 and %d", id, probes, all, perEngine)
			}
		}
		if engines.mostReading != maxOtherProbes {
			t.Errorf("%d engines were probed at once, want %d", engines.mostReading, maxOtherProbes)
		}
	})
}

// Guards against loads that wait in a large failure domain although its engines run, and
// against reports of engines that have no place to load anyway.
func TestRunningEnginesOfALargeDomainHoldNothingBack(t *testing.T) {
	for _, latency := range []time.Duration{10 * time.Millisecond, 150 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			const n = 572
			l, engines := newObservedLoader(n, func(string) time.Duration { return latency })
			l.Events = event.NewRecorder("a", 4*n, event.NewClock(time.Now), zap.NewNop())
			acquiredAt := time.Now()
			serveFor(t, l, 1, 12*time.Second)
			first := 0
			for _, order := range engines.orders {
				if order.at.Sub(acquiredAt) == lease.OrderGracePeriod(orderTimeout)+latency {
					first++
				}
			}
			if latency < settleSlack && first != maxConcurrentLoads(n) {
				t.Errorf("%d orders at the end of the grace period, want %d", first, maxConcurrentLoads(n))
			}
			if len(engines.orders) != n {
				t.Errorf("latency %s: %d orders, want %d", latency, len(engines.orders), n)
			}
			t.Logf("latency %s: the last of %d orders came %s after the acquisition", latency, len(engines.orders), engines.orders[len(engines.orders)-1].at.Sub(acquiredAt))
			if held := heldBackEvents(l); len(held) > 0 {
				t.Errorf("latency %s: orders to %d engines were reported as held back", latency, len(held))
			}
		})
	}
}

// Guards against an engine that is listed at another address and counts as settled by the
// answers from the earlier one.
func TestEngineAtANewAddressSettlesAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, engines := newObservedLoader(1, noLatency)
		engines.demands = nil
		var movedAt time.Time
		time.AfterFunc(3*time.Second, func() {
			moved := *engines.roster.Upstreams("lm")[0].Info()
			moved.Address = "elsewhere"
			engines.roster.Replace([]target.Instance{moved})
			movedAt = time.Now()
			engines.announceVersion("m", 5)
		})
		serveFor(t, l, 1, 6*time.Second)
		orders := engines.ordersOf("e00")
		if len(orders) == 0 {
			t.Fatal("no order to the engine at its new address")
		}
		if wait := orders[0].at.Sub(movedAt); wait < settleTime {
			t.Errorf("the engine got an order %s after it was listed at another address, want at least %s", wait, settleTime)
		}
	})
}

// Guards against a load that waits for the probes of slow engines on which no load is due.
func TestDueLoadDoesNotWaitForProbesOfOtherEngines(t *testing.T) {
	const last = "e39"
	for _, dueAfter := range []time.Duration{950 * time.Millisecond, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			l, engines := newObservedLoader(40, func(id string) time.Duration {
				if id == last {
					return 0
				}
				return 450 * time.Millisecond
			})
			engines.demands = nil
			for _, e := range engines.roster.Upstreams("lm") {
				if id := e.Info().ID; id != last {
					e.NoteVersion("m", 5)
					engines.engines[id].versions["m"] = 5
				}
			}
			acquiredAt := time.Now()
			time.AfterFunc(dueAfter, func() {
				engines.fleet.mu.Lock()
				defer engines.fleet.mu.Unlock()
				engines.demands = []Demand{{Model: "m", AnnouncedVersion: 5, ExpectedTokens: 1}}
			})
			serveFor(t, l, 1, 9*time.Second)
			if len(engines.orders) != 1 || engines.orders[0].id != last {
				t.Fatalf("orders %v, want one to %s", engines.orders, last)
			}
			const want = settleTime + settleSlack + 2*planInterval
			if wait := engines.orders[0].at.Sub(acquiredAt) - dueAfter; wait > want {
				t.Errorf("a load that was due %s after the acquisition was ordered %s later, want at most %s", dueAfter, wait, want)
			}
		})
	}
}
