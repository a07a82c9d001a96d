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
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/retry"
)

const (
	attemptEngines  = 10
	attemptRequests = 400
	attemptWorkers  = 8
	attemptModel    = "berry-1"
)

// brownOut is a pool of engines of which some fail every attempt.
type brownOut struct {
	upstreams []platform.Upstream
	attempts  atomic.Int64
	next      atomic.Int64
	// anonymous gives every grant a new upstream ID, so that no circuit learns.
	anonymous bool
}

func newBrownOut(t *testing.T, failing int) *brownOut {
	b := &brownOut{}
	for n := range attemptEngines {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.attempts.Add(1)
			if n < failing {
				panic(http.ErrAbortHandler)
			}
			answerShortly(w, r)
		}))
		t.Cleanup(server.Close)
		b.upstreams = append(b.upstreams, platform.Upstream{
			ID: fmt.Sprintf("e%d", n), Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	return b
}

// answerShortly answers with one token.
func answerShortly(w http.ResponseWriter, r *http.Request) {
	var request engine.CompletionRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	text, _ := json.Marshal(engine.CompletionChunk{
		ID: request.RequestID, Model: request.Model, WeightVersion: 1, Incarnation: "i",
		Choices: []engine.CompletionChoice{{Tokens: []string{"a"}, FinishReason: "stop"}},
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: %s\n\n", text, engine.DoneEvent)
}

// Acquire implements dispatch.Dispatcher: it grants the engines in turn.
func (b *brownOut) Acquire(_ context.Context, work dispatch.Work) (dispatch.Grant, error) {
	for range b.upstreams {
		n := b.next.Add(1)
		u := b.upstreams[n%int64(len(b.upstreams))]
		if slices.Contains(work.Exclude, u.ID) {
			continue
		}
		if b.anonymous {
			u.ID = fmt.Sprintf("%s-%d", u.ID, n)
		}
		return dispatch.Grant{Upstream: u, Done: func(dispatch.Result) {}}, nil
	}
	return dispatch.Grant{}, errors.WithStack(&fault.NoUpstream{Pool: work.Pool.String(), Wait: time.Second})
}

// run makes the requests; each gets its policy from policies. It returns how
// many were answered.
func (b *brownOut) run(t *testing.T, policies func() *retry.Policy) int64 {
	t.Helper()
	view := contract.NewView()
	account := contract.DefaultContract("strathallan")
	view.Advance(&contract.Snapshot{Revision: 1, Contracts: map[contract.Account]contract.Contract{account.Account: account}})
	engines := engine.NewClient()
	var served atomic.Int64
	var workers sync.WaitGroup
	for range attemptWorkers {
		workers.Go(func() {
			for n := range attemptRequests / attemptWorkers {
				local := NewLocal(view, b, engines, policies(), quietEvents())
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

func quietEvents() *event.Recorder {
	return event.NewRecorder("vm-1", 16, event.NewClock(time.Now), zap.NewNop())
}

func newPolicy() *retry.Policy { return retry.NewPolicy(prometheus.NewRegistry(), quietEvents()) }

// A part of the engines fails every attempt, up to all of them. Were each
// request tried until its attempts are used up, the load would grow by that
// number in the very moment in which the engines can't bear any.
func TestAttemptsPerRequest(t *testing.T) {
	t.Logf("%d requests, %d engines; attempts per request (share served)", attemptRequests, attemptEngines)
	t.Logf("%8s %18s %18s %18s", "failing", "no bound", "budget", "budget, circuits")
	for _, failing := range []int{0, 1, 5, 10} {
		row := fmt.Sprintf("%7d%%", failing*100/attemptEngines)
		for _, mode := range []string{"none", "budget", "both"} {
			pool := newBrownOut(t, failing)
			pool.anonymous = mode == "budget"
			shared := newPolicy()
			policies := func() *retry.Policy { return shared }
			if mode == "none" {
				policies = newPolicy
			}
			served := pool.run(t, policies)
			attempts := pool.attempts.Load()
			row += fmt.Sprintf(" %10.3f (%4.0f%%)", float64(attempts)/attemptRequests, 100*float64(served)/attemptRequests)
			const reserve, share = 64, 5
			if bound := attemptRequests + reserve + served/share; mode != "none" && attempts > bound {
				t.Errorf("%d%% failing, %s: %d attempts, bound %d", failing*100/attemptEngines, mode, attempts, bound)
			}
			if failing == 0 && served != attemptRequests {
				t.Errorf("%s: only %d were served by well engines", mode, served)
			}
		}
		t.Log(row)
	}
}
