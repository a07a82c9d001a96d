package generate

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/retry"
)

const (
	attemptEngines  = 10
	attemptRequests = 400
	attemptWorkers  = 8
	attemptModel    = "berry-1"
)

// faultyPool is a pool of engines of which some fail every attempt.
type faultyPool struct {
	upstreams []platformapi.Upstream
	attempts  atomic.Int64
	next      atomic.Int64
	// anonymous gives every grant a new upstream ID, so that no circuit opens.
	anonymous bool
}

func newFaultyPool(t *testing.T, failing int) *faultyPool {
	p := &faultyPool{}
	for n := range attemptEngines {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.attempts.Add(1)
			if n < failing {
				panic(http.ErrAbortHandler)
			}
			serveOneToken(w, r)
		}))
		t.Cleanup(server.Close)
		p.upstreams = append(p.upstreams, platformapi.Upstream{
			ID: fmt.Sprintf("e%d", n), Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	return p
}

// serveOneToken answers a completion request with one token.
func serveOneToken(w http.ResponseWriter, r *http.Request) {
	var request engine.CompletionRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	chunk, _ := json.Marshal(engine.CompletionChunk{
		ID: request.RequestID, Model: request.Model, WeightVersion: 1, Incarnation: "i",
		Choices: []engine.CompletionChoice{{Tokens: []string{"a"}, FinishReason: "stop"}},
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: %s\n\n", chunk, engine.DoneEvent)
}

// Acquire implements dispatch.Dispatcher. It grants the engines round-robin.
func (p *faultyPool) Acquire(_ context.Context, work dispatch.Work) (dispatch.Grant, error) {
	for range p.upstreams {
		n := p.next.Add(1)
		u := p.upstreams[n%int64(len(p.upstreams))]
		if slices.Contains(work.Exclude, u.ID) {
			continue
		}
		if p.anonymous {
			u.ID = fmt.Sprintf("%s-%d", u.ID, n)
		}
		return dispatch.Grant{Upstream: u, Done: func(dispatch.Result) {}}, nil
	}
	return dispatch.Grant{}, errors.WithStack(&fault.NoUpstream{Pool: work.Pool.String(), Wait: time.Second})
}

// runRequests makes attemptRequests requests, each with the policy that
// nextPolicy returns, and returns how many were served.
func (p *faultyPool) runRequests(t *testing.T, nextPolicy func() *retry.Policy) int64 {
	t.Helper()
	view := contract.NewView()
	account := contract.DefaultContract("strathallan")
	view.Advance(&contract.Snapshot{Revision: 1, Contracts: map[contract.Account]contract.Contract{account.Account: account}})
	engines := engine.NewClient(newRecorder())
	var served atomic.Int64
	var workers sync.WaitGroup
	for range attemptWorkers {
		workers.Go(func() {
			for n := range attemptRequests / attemptWorkers {
				local := NewLocal(view, p, engines, nextPolicy(), newRecorder())
				request := Request{ID: fmt.Sprint(n), Account: account.Account, Model: attemptModel, Prompt: "p", MaxTokens: 4}
				if _, err := local.Generate(t.Context(), request, nil); err == nil {
					served.Add(1)
				}
			}
		})
	}
	workers.Wait()
	return served.Load()
}

func newRecorder() *event.Recorder {
	return event.NewRecorder("vm-1", 16, event.NewClock(time.Now), zap.NewNop())
}

func newPolicy() *retry.Policy { return retry.NewPolicy(prometheus.NewRegistry(), newRecorder()) }

// Some or all engines fail every attempt. If each request were retried up to its
// limit of attempts, the load would multiply by that limit while the engines have
// the least capacity. The retry budget must limit the attempts.
func TestAttemptsPerRequest(t *testing.T) {
	t.Logf("%d requests, %d engines; attempts per request (share served)", attemptRequests, attemptEngines)
	t.Logf("%8s %18s %18s %18s", "failing", "no limit", "budget", "budget, circuits")
	for _, failing := range []int{0, 1, 5, 10} {
		row := fmt.Sprintf("%7d%%", failing*100/attemptEngines)
		for _, mode := range []string{"none", "budget", "both"} {
			pool := newFaultyPool(t, failing)
			pool.anonymous = mode == "budget"
			shared := newPolicy()
			nextPolicy := func() *retry.Policy { return shared }
			if mode == "none" {
				nextPolicy = newPolicy
			}
			served := pool.runRequests(t, nextPolicy)
			attempts := pool.attempts.Load()
			row += fmt.Sprintf(" %10.3f (%4.0f%%)", float64(attempts)/attemptRequests, 100*float64(served)/attemptRequests)
			const budgetCapacity, successesPerRetry = 64, 5
			if limit := attemptRequests + budgetCapacity + served/successesPerRetry; mode != "none" && attempts > limit {
				t.Errorf("%d%% failing, %s: %d attempts, limit %d", failing*100/attemptEngines, mode, attempts, limit)
			}
			if failing == 0 && served != attemptRequests {
				t.Errorf("%s: only %d requests were served although no engine fails", mode, served)
			}
		}
		t.Log(row)
	}
}
