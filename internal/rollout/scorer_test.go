package rollout

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/service"
)

// fakeDispatcher is a fake dispatcher that grants every request the same upstream.
type fakeDispatcher struct {
	address string
	last    dispatch.Work
	failed  bool
}

// Acquire implements dispatch.Dispatcher.
func (o *fakeDispatcher) Acquire(_ context.Context, work dispatch.Work) (dispatch.Grant, error) {
	o.last = work
	return dispatch.Grant{
		Upstream: platformapi.Upstream{ID: "judge-1", Address: o.address},
		Done:     func(r dispatch.Result) { o.failed = r.Failed },
	}, nil
}

// A scoring service answers with an error, with a truncated answer, or with an
// answer without a score. A made-up score of 0 would teach the trainer that a
// good answer is bad.
func TestServiceScorerRequiresScore(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		length string
		score  float64
		fails  bool
	}{
		{name: "a score", status: http.StatusOK, body: `{"score":0.25}`, score: 0.25},
		{name: "a score of 0", status: http.StatusOK, body: `{"score":0}`},
		{name: "an error", status: http.StatusInternalServerError, body: `{"score":1}`, fails: true},
		{name: "no score", status: http.StatusOK, body: `{}`, fails: true},
		{name: "not JSON", status: http.StatusOK, body: `ok`, fails: true},
		{name: "truncated answer", status: http.StatusOK, body: `{"score":0.25}`, length: "4096", fails: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got ScoreRequest
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost || r.URL.Path != PathScore || json.NewDecoder(r.Body).Decode(&got) != nil {
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				if c.length != "" {
					w.Header().Set("Content-Length", c.length)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			view := contract.NewView()
			terms := contract.DefaultContract(testAccount)
			next, err := contract.EmptySnapshot().Apply(contract.Entry{Revision: 1, Kind: contract.EditContract, Contract: &terms})
			if err != nil {
				t.Fatal(err)
			}
			view.Advance(next)
			dispatcher := &fakeDispatcher{address: strings.TrimPrefix(server.URL, "http://")}
			scorer := NewServiceScorer(view, dispatcher, service.NewClient())
			want := ScoreRequest{Step: "s", Slot: sample.Slot{Group: "g", Index: 1, Position: 3}, Prompt: "p", Text: "t"}
			score, err := scorer.Score(t.Context(), testAccount, "judge", want)
			if c.fails != (err != nil) || score != c.score {
				t.Errorf("score %v, %v", score, err)
			}
			if err != nil && !fault.Is[*fault.UpstreamFailed](err) && !fault.Is[*fault.AnswerTruncated](err) {
				t.Errorf("failure %v", err)
			}
			if got != want {
				t.Errorf("the service got %+v", got)
			}
			if dispatcher.last.Account != testAccount || dispatcher.last.Pool.Service != "judge" || !dispatcher.last.Background {
				t.Errorf("work %+v", dispatcher.last)
			}
		})
	}
	scorer := NewServiceScorer(contract.NewView(), &fakeDispatcher{}, service.NewClient())
	if _, err := scorer.Score(t.Context(), testAccount, "judge", ScoreRequest{}); !fault.Is[*fault.AccountUnknown](err) {
		t.Errorf("an account without a contract gave %v", err)
	}
}
