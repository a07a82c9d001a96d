package rollout

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/sample"
)

// runStep runs one step on one VM to its end and returns the trainer.
func runStep(c *cluster, d sample.Definition) *trainer {
	c.start("vm-a", nil)
	tr := newTrainer(c, "s", d)
	tr.open(d)
	tr.finish()
	return tr
}

// An engine restarts in mid-stream or reports no published version for its
// tokens. The sample must be generated again: the trainer would otherwise learn
// from tokens that belong to no known version.
func TestUnattributableSamplesAreRegenerated(t *testing.T) {
	corruptions := map[string]func(*generate.Result){
		"no version":      func(r *generate.Result) { r.Spans[0].Version = 0 },
		"never published": func(r *generate.Result) { r.Spans[0].Version = 99 },
		"gap":             func(r *generate.Result) { r.Spans[0].Start = 1 },
		"restart": func(r *generate.Result) {
			r.Spans = []generate.Span{
				{End: 4, Version: 1, Upstream: "e1", Incarnation: "i1"},
				{Start: 4, End: testTokens, Version: 1, Upstream: "e1", Incarnation: "i2"},
			}
		},
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, noBound)
				defer c.stop()
				c.engine.corrupt = func(request generate.Request, attempt int, result *generate.Result) error {
					if request.Slot == "g0.0" && attempt <= 2 {
						corrupt(result)
					}
					return nil
				}
				tr := runStep(c, testStep(2, 2))
				if attempts := c.engine.attempts["g0.0"]; attempts != 3 {
					t.Errorf("the corrupted slot was generated %d times", attempts)
				}
				got := tr.received["g0.0"]
				if err := sample.CheckAttribution(got.Slot, got.Tokens, got.Spans, 1); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// An engine has loaded a version that was published a moment ago and that this
// VM has not read yet. The sample is valid and must not be rejected.
func TestJustPublishedVersionIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.engine.corrupt = func(request generate.Request, attempt int, _ *generate.Result) error {
			if request.Slot == "g0.0" {
				c.weights.publish()
			}
			return nil
		}
		c.engine.duration = func(string, int) time.Duration { return 1530 * time.Millisecond }
		runStep(c, testStep(2, 2))
		for slot, attempts := range c.engine.attempts {
			if attempts != 1 {
				t.Errorf("slot %s was generated %d times", slot, attempts)
			}
		}
	})
}

// New weights are published while samples wait for a slow trainer. Samples past
// the bound must not be delivered, and the step must still be completed.
func TestStaleBeforeDelivery(t *testing.T) {
	bounds := map[string]contract.Staleness{
		"versions": {MaxVersions: 1},
		"seconds":  {MaxVersions: 1000, MaxSeconds: 30},
	}
	for name, bound := range bounds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, bound)
				defer c.stop()
				c.start("vm-a", nil)
				d := testStep(3, 2)
				tr := newTrainer(c, "s", d)
				tr.open(d)
				time.Sleep(5 * time.Second)
				for range 2 {
					c.weights.publish()
					time.Sleep(20 * time.Second)
				}
				tr.finish()
				if tr.tombstones != d.Count() {
					t.Errorf("%d tombstones", tr.tombstones)
				}
			})
		})
	}
}

// A reply is lost, new weights are published, and the trainer pulls again. It
// must receive tombstones for the old samples and never their content;
// otherwise it would receive stale samples, or a slot twice.
func TestStaleAtRedelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, contract.Staleness{MaxVersions: 0})
		defer c.stop()
		c.start("vm-a", nil)
		c.start("vm-b", nil)
		d := testStep(3, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		time.Sleep(5 * time.Second)
		lost := tr.pull()
		c.weights.publish()
		again := tr.pull()
		if len(lost) != d.Count() || len(again) < d.Count() {
			t.Fatalf("%d samples delivered, then %d", len(lost), len(again))
		}
		for i := range lost {
			if again[i].Number != lost[i].Number || !again[i].Withdrawn || again[i].Text != "" || again[i].Spans != nil {
				t.Errorf("%+v was delivered again as %+v", lost[i], again[i])
			}
		}
		tr.finish()
	})
}

// While the weight store is unavailable, it is unknown whether a sample is
// fresh. The sample must wait, and be neither delivered nor dropped.
func TestWeightStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, contract.Staleness{MaxVersions: 0})
		defer c.stop()
		v := c.start("vm-a", nil)
		d := testStep(2, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		time.Sleep(5 * time.Second)
		c.weights.setDown(true)
		_, err := v.manager.Samples(t.Context(), testAccount, "s", sample.Pull{})
		if !fault.Is[*fault.StoreUnavailable](err) {
			t.Fatalf("a pull during the outage returned error %v, want StoreUnavailable", err)
		}
		c.weights.setDown(false)
		tr.finish()
		if tr.tombstones != 0 {
			t.Errorf("%d tombstones", tr.tombstones)
		}
	})
}

// testScorer is a fake scoring service that is unavailable until upAt.
type testScorer struct {
	upAt  time.Time
	calls atomic.Int64
}

// Score implements Scorer.
func (s *testScorer) Score(_ context.Context, _ contract.Account, _ string, request ScoreRequest) (float64, error) {
	s.calls.Add(1)
	time.Sleep(10 * time.Millisecond)
	if time.Now().Before(s.upAt) {
		return 0, errors.WithStack(&fault.UpstreamFailed{Upstream: "scorer", Reason: "down"})
	}
	return float64(len(request.Text)), nil
}

// The scoring service is unavailable for a minute during a step. The step must
// only take longer: no sample is lost, duplicated, delivered without its score,
// or generated a second time.
func TestScorerDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		began := time.Now()
		scorer := &testScorer{upAt: began.Add(time.Minute)}
		c.scorer = scorer
		d := testStep(10, 2)
		d.Scorer = "judge"
		tr := runStep(c, d)
		for slot, s := range tr.received {
			if s.Score == nil || *s.Score != float64(len(s.Text)) {
				t.Errorf("slot %s has score %v", slot, s.Score)
			}
			if c.engine.attempts[slot] != 1 {
				t.Errorf("slot %s was generated %d times", slot, c.engine.attempts[slot])
			}
		}
		if took := time.Since(began); took > 80*time.Second {
			t.Errorf("the step took %s", took)
		}
		// Each waiting sample is retried at most once per maxSlotBackoff, after
		// the first shorter backoffs.
		if calls := scorer.calls.Load(); calls > 400 {
			t.Errorf("%d calls to the scorer", calls)
		}
	})
}

// Samples wait for the scoring service until they are stale. They must be
// generated again with the current weights.
func TestStaleWhileScoring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, contract.Staleness{MaxVersions: 0})
		defer c.stop()
		c.scorer = &testScorer{upAt: time.Now().Add(time.Minute)}
		time.AfterFunc(30*time.Second, c.weights.publish)
		d := testStep(2, 2)
		d.Scorer = "judge"
		tr := runStep(c, d)
		for slot, s := range tr.received {
			if sample.OldestVersion(s.Spans) != 2 {
				t.Errorf("slot %s has version %d", slot, sample.OldestVersion(s.Spans))
			}
		}
	})
}

// peers is a list of workers that a test can change.
type peers struct {
	mu   sync.Mutex
	list []Worker
}

// Workers implements Workers.
func (p *peers) Workers() []Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Worker(nil), p.list...)
}

func (p *peers) set(list ...Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
}

// runnerFunc is a function that implements generate.Runner.
type runnerFunc func(ctx context.Context, request generate.Request) (generate.Result, error)

// Generate implements generate.Runner.
func (f runnerFunc) Generate(ctx context.Context, request generate.Request, _ generate.Sink) (generate.Result, error) {
	return f(ctx, request)
}

// A peer that runs attempts for the owner crashes or freezes and is removed from
// the platform's list later, is cut off from the owner alone and stays on the
// list, is full, or drains. Its slots must be generated elsewhere, or the step
// would never end.
func TestPeerFails(t *testing.T) {
	failures := map[string]runnerFunc{
		"crashes": func(context.Context, generate.Request) (generate.Result, error) {
			return generate.Result{}, errors.WithStack(&fault.PeerUnavailable{VM: "vm-b"})
		},
		"freezes": func(ctx context.Context, _ generate.Request) (generate.Result, error) {
			<-ctx.Done()
			return generate.Result{}, errors.WithStack(&fault.CallerGone{})
		},
		"is cut off": func(ctx context.Context, _ generate.Request) (generate.Result, error) {
			<-ctx.Done()
			return generate.Result{}, errors.WithStack(&fault.CallerGone{})
		},
		"is full": func(context.Context, generate.Request) (generate.Result, error) {
			return generate.Result{}, errors.WithStack(&fault.Remote{VM: "vm-b", RemoteCode: fault.CodeQueueFull, Wait: 2 * time.Second})
		},
		"drains": func(context.Context, generate.Request) (generate.Result, error) {
			return generate.Result{}, errors.WithStack(&fault.Remote{VM: "vm-b", RemoteCode: fault.CodeDraining})
		},
	}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, noBound)
				c.withoutHedging = true
				defer c.stop()
				own := Worker{VM: "vm-a", FailureDomain: "a", Runner: c.engine}
				var sent atomic.Int64
				workers := &peers{}
				workers.set(own, Worker{VM: "vm-b", FailureDomain: "b", Runner: runnerFunc(
					func(ctx context.Context, request generate.Request) (generate.Result, error) {
						sent.Add(1)
						return failure(ctx, request)
					})})
				c.workers = workers
				c.start("vm-a", nil)
				if name != "is cut off" {
					time.AfterFunc(10*time.Second, func() { workers.set(own) })
				}
				d := testStep(16, 2)
				tr := newTrainer(c, "s", d)
				tr.open(d)
				tr.finish()
				if sent.Load() == 0 {
					t.Fatal("the peer got no attempts, so its failure is not covered")
				}
			})
		})
	}
}

// An owner must use the engines of every failure domain for a step. Using only
// its own would leave most of the engines idle.
func TestStepUsesEveryFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		var mu sync.Mutex
		got := make(map[string]int)
		workers := &peers{}
		for _, domain := range []string{"a", "b", "c"} {
			for n := range 3 {
				vm := fmt.Sprintf("vm-%s%d", domain, n)
				workers.list = append(workers.list, Worker{VM: vm, FailureDomain: domain, Runner: runnerFunc(
					func(ctx context.Context, request generate.Request) (generate.Result, error) {
						mu.Lock()
						got[domain]++
						mu.Unlock()
						return c.engine.Generate(ctx, request, nil)
					})})
			}
		}
		c.workers = workers
		c.start("vm-a", nil)
		d := testStep(64, 4)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		tr.finish()
		for _, domain := range []string{"a", "b", "c"} {
			if got[domain] < d.Count()/6 {
				t.Errorf("failure domain %s got %d attempts for %d slots", domain, got[domain], d.Count())
			}
		}
	})
}

// An engine that has become a hundred times slower holds one slot and delays
// the whole step, unless another engine generates the slot as well.
func TestStragglerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.start("vm-b", nil)
		c.engine.duration = func(slot string, attempt int) time.Duration {
			if slot == "g5.1" && attempt == 1 {
				return 100 * time.Second
			}
			return time.Second
		}
		began := time.Now()
		runStep(c, testStep(10, 2))
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("the step took %s", took)
		}
		if attempts := c.engine.attempts["g5.1"]; attempts != 2 {
			t.Errorf("the straggler was generated %d times", attempts)
		}
	})
}

// All engines become slow after one fast answer, so that every other slot looks
// like a straggler. Hedging all of them would double the load of engines that
// are already busy.
func TestHedgesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.start("vm-b", nil)
		c.engine.duration = func(slot string, attempt int) time.Duration {
			if slot == "g0.0" {
				return time.Second
			}
			return 20 * time.Second
		}
		d := testStep(10, 2)
		runStep(c, d)
		attempts := 0
		for _, n := range c.engine.attempts {
			attempts += n
		}
		if most := d.Count() * (100 + hedgePercent) / 100; attempts <= d.Count() || attempts > most {
			t.Errorf("%d attempts for %d slots", attempts, d.Count())
		}
	})
}
