package retry

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"dogwoodpond/internal/event"
)

func newTestPolicy() *Policy {
	events := event.NewRecorder("vm-1", 64, event.NewClock(time.Now), zap.NewNop())
	return NewPolicy(prometheus.NewRegistry(), events)
}

// Every upstream fails and every request is tried again and again. The retries
// come on top of the load that the upstreams can't bear already, and keep them
// down.
func TestBudgetBoundsRetriesByRecentSuccesses(t *testing.T) {
	properties := gopter.NewProperties(&gopter.TestParameters{MinSuccessfulTests: 200, MaxSize: 400, Rng: gopter.DefaultTestParametersWithSeed(7).Rng, Workers: 1})
	properties.Property("retries never exceed the reserve and a fifth of the successes", prop.ForAll(
		func(succeeds []bool) bool {
			budget := NewBudget()
			successes, retries := 0, 0
			for _, ok := range succeeds {
				if ok {
					budget.Success()
					successes++
				}
				// Whatever happens, a retry is asked for.
				if budget.Take() {
					retries++
				}
			}
			return retries <= reserve/oneRetry+successes*perSuccess/oneRetry
		},
		gen.SliceOf(gen.Bool()),
	))
	properties.TestingRun(t)
}

// Many requests fail in the same moment. Two that take the last retry together
// would stretch the budget, the more the busier the VM is.
func TestBudgetIsExactUnderConcurrency(t *testing.T) {
	budget := NewBudget()
	var mu sync.Mutex
	var asks sync.WaitGroup
	taken := 0
	for range 8 {
		asks.Go(func() {
			for range 1000 {
				if budget.Take() {
					mu.Lock()
					taken++
					mu.Unlock()
				}
			}
		})
	}
	asks.Wait()
	if want := reserve / oneRetry; taken != want {
		t.Errorf("%d retries were taken of %d", taken, want)
	}
}

// One model's engines all fail. If all pools shared a budget, its retries would
// leave none to the pools that are well.
func TestPoolsHaveTheirOwnBudgets(t *testing.T) {
	p := newTestPolicy()
	for p.Take("berry-1") {
		continue
	}
	if !p.Take("tree-1") {
		t.Error("another pool's budget is empty")
	}
}

// An upstream fails every attempt. Without a circuit each request wastes an
// attempt on it; with one that never closes, a mended upstream stays idle.
func TestCircuitOpensAndProbesItsWayBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPolicy()
		fail := func() bool {
			done, allowed := p.Allow("e1")
			if allowed {
				done(Failed)
			}
			return allowed
		}
		for n := range tripAfter {
			if !fail() {
				t.Fatalf("attempt %d was not allowed", n)
			}
		}
		if fail() || !slices.Equal(p.Open(), []string{"e1"}) {
			t.Errorf("the circuit is not open: %v", p.Open())
		}
		time.Sleep(openTime + time.Millisecond)
		probe, allowed := p.Allow("e1")
		if !allowed || len(p.Open()) != 0 {
			t.Fatal("no probe was allowed")
		}
		if _, second := p.Allow("e1"); second {
			t.Error("two probes were allowed at once")
		}
		probe(Succeeded)
		if !fail() || len(p.Open()) != 0 {
			t.Error("the circuit did not close")
		}
	})
}

// Callers leave while an upstream works for them. Counted against it, their
// leaving would close an upstream that is well.
func TestAbandonedAttemptsDoNotOpenACircuit(t *testing.T) {
	p := newTestPolicy()
	for range 10 * tripAfter {
		done, allowed := p.Allow("e1")
		if !allowed {
			t.Fatal("the circuit opened")
		}
		done(Abandoned)
	}
}

// Requests that failed together come back together, in step, and find the
// upstream just as busy.
func TestDelaysGrowWithJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := map[string]bool{}
		for range 32 {
			delays, started := NewDelays(), time.Now()
			last := time.Duration(0)
			for range 12 {
				before := time.Now()
				if !delays.Wait(t.Context()) {
					t.Fatal("the wait was ended")
				}
				last = time.Since(before)
				if last > maxDelay*3/2 {
					t.Errorf("waited %v", last)
				}
			}
			if last < firstDelay {
				t.Errorf("the last wait of %v is no longer than the first", last)
			}
			first[fmt.Sprint(time.Since(started))] = true
		}
		if len(first) < 16 {
			t.Errorf("32 requests had only %d different delays", len(first))
		}
	})
}
