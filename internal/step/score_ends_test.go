package step

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
)

// mortalScorers are upstreams of which each ends when it gets the score call of one item. It implements
// target.Transport.
type mortalScorers struct {
	fatal string
	// until, if set, is when upstreams stop to end.
	until time.Time

	mu    sync.Mutex
	ended map[string]bool
}

// Call implements target.Transport.
func (s *mortalScorers) Call(_ context.Context, entry *target.Entry, request *target.Request) (*target.Response, error) {
	id := entry.Info().ID
	s.mu.Lock()
	down := s.ended[id]
	ends := string(request.Body) == s.fatal && (s.until.IsZero() || time.Now().Before(s.until))
	if ends {
		s.ended[id] = true
	}
	s.mu.Unlock()
	switch {
	case down:
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), fault.NotRun)
	case ends:
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), fault.Unknown)
	}
	return &target.Response{Status: http.StatusOK, Header: http.Header{}, Digest: "d", Body: io.NopCloser(strings.NewReader("score"))}, nil
}

func (s *mortalScorers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ended)
}

// newScorerCluster returns a cluster whose score calls go to seven mortal upstreams.
func newScorerCluster(t *testing.T, scorers *mortalScorers) *cluster {
	cl := newCluster(t, "e1")
	for _, id := range []string{"j2", "j3", "j4", "j5", "j6", "j7"} {
		cl.instances = append(cl.instances, target.Instance{ID: id, Service: "judge", Address: id, FailureDomain: "x", Slots: 8, Started: 1})
	}
	cl.scoring = func(v Config) Scorer {
		return &scoring.Client{Forwarder: &forward.Forwarder{Roster: v.Roster, Transport: scorers, Meter: forward.Unmetered{}, Events: v.Events, RetryBudget: retry.NewBudget()}}
	}
	return cl
}

// startWithScorers starts a VM whose score calls go to seven mortal upstreams, and submits a step of four items.
func startWithScorers(t *testing.T, scorers *mortalScorers) *testVM {
	a := newScorerCluster(t, scorers).start("a")
	submit(t, a, spec("s"), scoredItems(4))
	return a
}

// Guards against a score call that ends several upstreams with each of its tries.
func TestScoreCallWithRetriesEndsThreeUpstreamsAtMost(t *testing.T) {
	bubble(t, func(t *testing.T) {
		scorers := &mortalScorers{fatal: "i0", ended: map[string]bool{}}
		a := startWithScorers(t, scorers)
		time.Sleep(5 * time.Second)
		if n := scorers.count(); n > suspicion.MaxEnds {
			t.Errorf("%d upstreams ended under a score call", n)
		}
		if results, _, err := a.Results(t.Context(), "s", "acc", 0, 0); err != nil || len(results) != 3 {
			t.Errorf("%d results of the other items, %v", len(results), err)
		}
	})
}

// Guards against a text that is never scored because its call's upstreams crashed one after the other.
func TestScoreCallOutlivesSeriesOfCrashes(t *testing.T) {
	bubble(t, func(t *testing.T) {
		a := startWithScorers(t, &mortalScorers{fatal: "i0", ended: map[string]bool{}, until: time.Now().Add(600 * time.Millisecond)})
		time.Sleep(5 * time.Second)
		if results, _, err := a.Results(t.Context(), "s", "acc", 0, 0); err != nil || len(results) != 4 {
			t.Errorf("%d of 4 results, %v", len(results), err)
		}
	})
}

// Guards against a score call that ends more upstreams because its item is in two open steps, whose owners make it at the
// same time.
func TestScoreCallOfTwoOwnersEndsThreeUpstreamsAtMost(t *testing.T) {
	for _, gap := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				scorers := &mortalScorers{fatal: "i0", ended: map[string]bool{}}
				cl := newScorerCluster(t, scorers)
				a, b := cl.start("a"), cl.start("b")
				time.Sleep(time.Second)
				submit(t, a, spec("s"), scoredItems(4))
				time.Sleep(gap)
				submit(t, b, spec("s2"), scoredItems(4))
				time.Sleep(20 * time.Second)
				if n := scorers.count(); n > suspicion.MaxEnds {
					t.Errorf("%d upstreams ended under a score call", n)
				}
				for v, step := range map[*testVM]string{a: "s", b: "s2"} {
					if results, _, err := v.Results(t.Context(), step, "acc", 0, 0); err != nil || len(results) != 3 {
						t.Errorf("%d results of the other items of step %s, %v", len(results), step, err)
					}
				}
			})
		})
	}
}

// Guards against a score call that ends more upstreams because copies of its step run early at one VM after the other.
func TestScoreCallOfEarlyCopiesEndsThreeUpstreamsAtMost(t *testing.T) {
	for _, away := range []time.Duration{12 * time.Second, 20 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				scorers := &mortalScorers{fatal: "i0", ended: map[string]bool{}}
				cl := newScorerCluster(t, scorers)
				var vms []*testVM
				for _, name := range []string{"a", "b", "c"} {
					vms = append(vms, cl.start(name))
				}
				time.Sleep(time.Second)
				cl.store.SetDown(true)
				time.AfterFunc(away, func() { cl.store.SetDown(false) })
				for _, v := range vms {
					if v.Submit(t.Context(), spec("s"), scoredItems(4)) == nil {
						break
					}
				}
				time.Sleep(20 * time.Second)
				if n := scorers.count(); n > suspicion.MaxEnds {
					t.Errorf("%d upstreams ended under a score call", n)
				}
			})
		})
	}
}

// Guards against a score call that is held back because a call which the lost owner had recorded counts twice.
func TestScoreCallOfLostOwnerCountsOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.readLists()
		cl.scorer.behave = func(ctx context.Context, item string, n int) error {
			switch {
			case item != "i0" || n > 2:
				return nil
			case n == 1:
				return endedScorer("j0", 1)
			}
			<-ctx.Done()
			return context.Cause(ctx)
		}
		cl.instances = append(cl.instances, target.Instance{ID: "j9", Service: "judge", Address: "j9", FailureDomain: "x", Slots: 8, Started: 1})
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), scoredItems(4))
		for cl.scorer.count("i0") < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		cl.crash(a)
		time.Sleep(3600 * time.Millisecond)
		b.Roster.Apply(target.UnlistedChange("j9"))
		time.Sleep(20 * time.Second)
		if results, _, err := b.Results(t.Context(), "s", "acc", 0, 0); err != nil || len(results) != 4 {
			t.Errorf("%d of 4 results, %v", len(results), err)
		}
	})
}
