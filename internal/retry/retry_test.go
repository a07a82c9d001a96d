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

// Guards against retries that keep a pool overloaded: when every upstream fails and
// every request is retried without limit, the retries add to a load that the
// upstreams can't handle already.
func TestBudgetBoundsRetriesByRecentSuccesses(t *testing.T) {
	properties := gopter.NewProperties(&gopter.TestParameters{MinSuccessfulTests: 200, MaxSize: 400, Rng: gopter.DefaultTestParametersWithSeed(7).Rng, Workers: 1})
	properties.Property("retries never exceed the capacity plus a fifth of the successes", prop.ForAll(
		func(succeeds []bool) bool {
			budget := NewBudget()
			successes, retries := 0, 0
			for _, ok := range succeeds {
				if ok {
					budget.NoteSuccess()
					successes++
				}
				// Every request asks for a retry, successful or not.
				if budget.Take() {
					retries++
				}
			}
			return retries <= budgetCapacity/retryCost+successes*successCredit/retryCost
		},
		gen.SliceOf(gen.Bool()),
	))
	properties.TestingRun(t)
}

// Guards against a race in Take: if two requests that fail at the same moment both
// took the last retry, the budget would be exceeded, the more the busier the VM is.
func TestBudgetIsExactUnderConcurrency(t *testing.T) {
	budget := NewBudget()
	var mu sync.Mutex
	var takers sync.WaitGroup
	taken := 0
	for range 8 {
		takers.Go(func() {
			for range 1000 {
				if budget.Take() {
					mu.Lock()
					taken++
					mu.Unlock()
				}
			}
		})
	}
	takers.Wait()
	if want := budgetCapacity / retryCost; taken != want {
		t.Errorf("%d retries were taken, want %d", taken, want)
	}
}

// Guards against a budget that pools share: if all engines of one model fail, their
// retries would leave none to the pools whose engines are available.
func TestPoolsHaveTheirOwnBudgets(t *testing.T) {
	p := newTestPolicy()
	for p.Take("berry-1") {
		continue
	}
	if !p.Take("tree-1") {
		t.Error("another pool's budget is empty")
	}
}

// An upstream fails every attempt. Without a circuit, each request wastes an attempt
// on it; with a circuit that never closes again, a recovered upstream stays idle.
func TestCircuitOpensAndClosesAfterProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPolicy()
		fail := func() bool {
			done, allowed := p.Allow("e1")
			if allowed {
				done(Failed)
			}
			return allowed
		}
		for n := range tripThreshold {
			if !fail() {
				t.Fatalf("attempt %d was not allowed", n)
			}
		}
		if fail() || !slices.Equal(p.OpenUpstreams(), []string{"e1"}) {
			t.Errorf("the circuit is not open: %v", p.OpenUpstreams())
		}
		time.Sleep(openTimeout + time.Millisecond)
		probe, allowed := p.Allow("e1")
		if !allowed || len(p.OpenUpstreams()) != 0 {
			t.Fatal("no probe was allowed")
		}
		if _, second := p.Allow("e1"); second {
			t.Error("two probes were allowed at once")
		}
		probe(Succeeded)
		if !fail() || len(p.OpenUpstreams()) != 0 {
			t.Error("the circuit did not close")
		}
	})
}

// Guards against canceled requests that take a working upstream out of rotation:
// attempts that end because their caller left must not count as failures.
func TestCanceledAttemptsDoNotOpenCircuit(t *testing.T) {
	p := newTestPolicy()
	for range 10 * tripThreshold {
		done, allowed := p.Allow("e1")
		if !allowed {
			t.Fatal("the circuit opened")
		}
		done(Inconclusive)
	}
}

// Guards against synchronized retries: without jitter, requests that failed together
// are retried at the same time and overload the upstream again.
func TestDelaysGrowWithJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := map[string]bool{}
		for range 32 {
			delays, started := NewBackoff(), time.Now()
			last := time.Duration(0)
			for range 12 {
				before := time.Now()
				if !delays.Wait(t.Context()) {
					t.Fatal("Wait returned false although the context has not ended")
				}
				last = time.Since(before)
				if last > maxBackoff*3/2 {
					t.Errorf("waited %v, longer than the largest backoff with jitter", last)
				}
			}
			if last < initialBackoff {
				t.Errorf("the last wait of %v is shorter than the initial backoff", last)
			}
			first[fmt.Sprint(time.Since(started))] = true
		}
		if len(first) < 16 {
			t.Errorf("32 requests had only %d different total delays", len(first))
		}
	})
}
