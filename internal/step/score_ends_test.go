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

	mu    sync.Mutex
	ended map[string]bool
}

// Call implements target.Transport.
func (s *mortalScorers) Call(_ context.Context, entry *target.Entry, request *target.Request) (*target.Response, error) {
	id := entry.Info().ID
	s.mu.Lock()
	down := s.ended[id]
	if string(request.Body) == s.fatal {
		s.ended[id] = true
	}
	s.mu.Unlock()
	switch {
	case down:
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), fault.NotRun)
	case string(request.Body) == s.fatal:
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), fault.Unknown)
	}
	return &target.Response{Status: http.StatusOK, Header: http.Header{}, Digest: "d", Body: io.NopCloser(strings.NewReader("score"))}, nil
}

func (s *mortalScorers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ended)
}

// Guards against a score call that ends several upstreams with each of its tries.
func TestScoreCallWithRetriesEndsThreeUpstreamsAtMost(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		for _, id := range []string{"j2", "j3", "j4", "j5", "j6", "j7"} {
			cl.instances = append(cl.instances, target.Instance{ID: id, Service: "judge", Address: id, FailureDomain: "x", Slots: 8, Started: 1})
		}
		scorers := &mortalScorers{fatal: "i0", ended: map[string]bool{}}
		cl.scoring = func(v Config) Scorer {
			return &scoring.Client{Forwarder: &forward.Forwarder{Roster: v.Roster, Transport: scorers, Meter: forward.Unmetered{}, Events: v.Events, RetryBudget: retry.NewBudget()}}
		}
		a := cl.start("a")
		submit(t, a, spec("s"), scoredItems(4))
		time.Sleep(5 * time.Second)
		if n := scorers.count(); n > suspicion.MaxEnds {
			t.Errorf("%d upstreams ended under a score call", n)
		}
		if results, _, err := a.Results(t.Context(), "s", "acc", 0, 0); err != nil || len(results) != 3 {
			t.Errorf("%d results of the other items, %v", len(results), err)
		}
	})
}
