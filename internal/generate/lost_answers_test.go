package generate

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/suspicion"
)

// serveTokenAndEnd answers a completion request with one token more and breaks the connection.
func serveTokenAndEnd(w http.ResponseWriter, r *http.Request) {
	var request engine.CompletionRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	chunk, _ := json.Marshal(engine.CompletionChunk{
		ID: request.RequestID, Model: request.Model, WeightVersion: 1, Incarnation: "i",
		Choices: []engine.CompletionChoice{{Offset: len(request.Resume), Tokens: []string{"a"}}},
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", chunk)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against a request that ends one engine after another, each after it has produced a token.
func TestEnginesThatMayEndUnderARequestAreLimited(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"after a token": serveTokenAndEnd,
		"no answer":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			p := &faultyPool{anonymous: true}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				p.attempts.Add(1)
				serve(w, r)
			}))
			defer server.Close()
			p.upstreams = []platformapi.Upstream{{ID: "e", Address: strings.TrimPrefix(server.URL, "http://")}}
			if _, err := newLocalRunner(p).Generate(t.Context(), endlessRequest(), nil); err == nil || p.attempts.Load() != suspicion.MaxEnds {
				t.Errorf("%d attempts, %v", p.attempts.Load(), err)
			}
		})
	}
}

// Guards against a limit on ended engines that counts answers of failure, which show that the engine
// still runs.
func TestFailuresOfRunningEnginesAreNoLostAnswers(t *testing.T) {
	p := &faultyPool{anonymous: true}
	var failures atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if failures.Add(1) <= suspicion.MaxEnds {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		serveOneToken(w, r)
	}))
	defer server.Close()
	p.upstreams = []platformapi.Upstream{{ID: "e", Address: strings.TrimPrefix(server.URL, "http://")}}
	if _, err := newLocalRunner(p).Generate(t.Context(), endlessRequest(), nil); err != nil {
		t.Error(err)
	}
}

// newLocalRunner returns a runner at the engines of a pool.
func newLocalRunner(p *faultyPool) *Local {
	view := contract.NewView()
	account := contract.DefaultContract("strathallan")
	view.Advance(&contract.Snapshot{Revision: 1, Contracts: map[contract.Account]contract.Contract{account.Account: account}})
	return NewLocal(view, p, engine.NewClient(newRecorder()), newPolicy(), newRecorder())
}

// endlessRequest returns a request that no engine completes by its length.
func endlessRequest() Request {
	return Request{ID: "q", Account: "strathallan", Model: attemptModel, Prompt: "p", MaxTokens: 12}
}
