package scoring

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// fakeScorer is a fake scoring service. It implements target.Transport.
type fakeScorer struct {
	// answer returns the response of an upstream. If it is nil, the upstream never
	// answers.
	answer func(upstream string) *target.Response

	mu      sync.Mutex
	reached []string
	last    target.Request
}

func (f *fakeScorer) Call(ctx context.Context, e *target.Entry, request *target.Request) (*target.Response, error) {
	id := e.Info().ID
	f.mu.Lock()
	f.reached = append(f.reached, id)
	f.last = *request
	f.mu.Unlock()
	if response := f.answer(id); response != nil {
		return response, nil
	}
	<-ctx.Done()
	return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), fault.Unknown)
}

func scoredResponse(digest, body string) *target.Response {
	return &target.Response{Status: http.StatusOK, Digest: digest, Length: -1, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

func failedResponse() *target.Response {
	return &target.Response{Status: http.StatusInternalServerError, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
}

func newClient(f *fakeScorer) *Client {
	events := event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
	roster := target.NewRoster(events)
	var list []target.Instance
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, target.Instance{ID: id, Service: "judge", Address: id, FailureDomain: "x", Slots: 4})
	}
	roster.Replace(list)
	return &Client{Forwarder: &forward.Forwarder{Roster: roster, Transport: f, Meter: forward.Unmetered{}, Events: events, RetryBudget: retry.NewBudget(), Domain: "x"}}
}

func scoreRoute(attempts int) *route.Route {
	return &route.Route{Kind: route.AtMostOnce, Attempts: attempts, Objective: 400 * time.Millisecond, Timeout: 2 * time.Second, Split: []route.Share{{Service: "judge", Weight: 1}}}
}

var call = Call{ID: "q", Host: "h", Path: "/j/1", Body: []byte("b")}

func TestScoreIsTheDigestOfTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeScorer{answer: func(string) *target.Response { return scoredResponse("d1", "text") }}
		score, err := newClient(f).Score(t.Context(), call, scoreRoute(2), route.Residency{}, 0)
		if err != nil || score != "d1" {
			t.Errorf("Score = %q, %v", score, err)
		}
		if f.last.Account != "" || f.last.Remaining <= 0 || f.last.Remaining > 2*time.Second {
			t.Errorf("the call has account %q and %s left, want no account and at most 2s", f.last.Account, f.last.Remaining)
		}
	})
}

// Guards against a step that waits for the timeout of a score call because one upstream
// of the scoring service is unresponsive, although another one answers within
// milliseconds.
func TestUnresponsiveUpstreamDoesNotDelayCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The first upstream that the call reaches is the unresponsive one.
		f := &fakeScorer{}
		f.answer = func(id string) *target.Response {
			f.mu.Lock()
			defer f.mu.Unlock()
			if id == f.reached[0] {
				return nil
			}
			return scoredResponse("d2", "")
		}
		started := time.Now()
		score, err := newClient(f).Score(t.Context(), call, scoreRoute(2), route.Residency{}, 0)
		if err != nil || score != "d2" || time.Since(started) > 400*time.Millisecond {
			t.Errorf("Score = %q, %v after %s", score, err, time.Since(started))
		}
	})
}

// Guards against samples that are never abandoned although every upstream answers that the
// call failed, and against samples abandoned too early. Only such answers count against a
// sample, so Score must report how many there were.
func TestFailedAnswersAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeScorer{answer: func(string) *target.Response { return failedResponse() }}
		_, err := newClient(f).Score(t.Context(), call, scoreRoute(2), route.Residency{}, 0)
		if n := forward.FailedAnswerCount(err); n != 2 {
			t.Errorf("%d failed answers, want 2: %v", n, err)
		}
		state := RetryState{Backoff: Backoff{Min: time.Millisecond, Max: time.Second}}
		state.NoteFailure(err)
		if !state.ShouldAbandon(2) || state.ShouldAbandon(3) {
			t.Errorf("to be abandoned with limit 2: %t, with limit 3: %t", state.ShouldAbandon(2), state.ShouldAbandon(3))
		}
	})
}

// Guards against samples abandoned for faults of the service. An answer that is truncated,
// has no digest or refuses the call gives no score and doesn't count against the sample.
func TestAnswersWithoutAScore(t *testing.T) {
	for name, response := range map[string]func() *target.Response{
		"no digest": func() *target.Response { return scoredResponse("", "text") },
		"not found": func() *target.Response {
			return &target.Response{Status: http.StatusNotFound, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
		},
		"truncated body": func() *target.Response {
			r := scoredResponse("d", "")
			r.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), truncatedBody{}))
			return r
		},
		"truncated long body": func() *target.Response {
			r := scoredResponse("d", "")
			r.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 70<<10)), truncatedBody{}))
			return r
		},
		"refused": func() *target.Response {
			r := failedResponse()
			r.Status, r.NotRun = http.StatusServiceUnavailable, true
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeScorer{answer: func(string) *target.Response { return response() }}
				score, err := newClient(f).Score(t.Context(), call, scoreRoute(2), route.Residency{}, 0)
				if err == nil || score != "" || forward.FailedAnswerCount(err) != 0 {
					t.Errorf("Score = %q, %v", score, err)
				}
			})
		})
	}
}

// truncatedBody is the end of a response body whose connection was interrupted.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestBackoffGrowsUpToLimit(t *testing.T) {
	state := RetryState{Backoff: Backoff{Min: 40 * time.Millisecond, Max: 640 * time.Millisecond}}
	if first, second := state.NoteFailure(nil), state.NoteFailure(nil); second != 2*first {
		t.Errorf("backoffs of %s and %s, want the second doubled", first, second)
	}
	for range 100 {
		if backoff := state.NoteFailure(nil); backoff <= 0 || backoff > 640*time.Millisecond {
			t.Fatalf("backoff of %s, want at most 640ms", backoff)
		}
	}
	if state.ShouldAbandon(1) || state.ShouldAbandon(0) {
		t.Error("the sample is to be abandoned although no upstream answered that the call failed")
	}
}

// Guards against callers' requests that are queued after a burst of score calls. The
// samples of a step end together, and their calls could take all slots of the service.
func TestScoreCallsLeaveSlotsToCallers(t *testing.T) {
	now := time.Now()
	c := newClient(&fakeScorer{})
	list := c.Forwarder.Roster.Usable("judge", now)
	limiter := NewCallLimiter()
	if n := limiter.Available("judge", list, now); n != 8 {
		t.Errorf("%d calls may be sent with 12 free slots, want 8", n)
	}
	for _, e := range list {
		for range 3 {
			e.Begin()
		}
	}
	limiter.Begin("judge")
	if n := limiter.Available("judge", list, now); n != 0 {
		t.Errorf("%d calls may be sent with 3 free slots, want 0", n)
	}
	limiter.End("judge")
	if n := limiter.Available("judge", list, now); n != 1 {
		t.Errorf("%d calls may be sent while none is open, want 1", n)
	}
	if n := limiter.Available("judge", nil, now); n != 0 {
		t.Errorf("%d calls may be sent without upstreams, want 0", n)
	}
}

// Guards against calls to a service whose slots are taken by calls of other VMs. This VM
// knows of them only from the load that the upstreams report in their answers.
func TestScoreCallsFollowReportedLoad(t *testing.T) {
	now := time.Now()
	c := newClient(&fakeScorer{})
	list := c.Forwarder.Roster.Usable("judge", now)
	limiter := NewCallLimiter()
	limiter.Begin("judge")
	for _, e := range list {
		e.NoteLoad(target.Load{Running: 4, Waiting: 2, Slots: 4}, now)
	}
	if n := limiter.Available("judge", list, now); n != 0 {
		t.Errorf("%d calls may be sent to a service without free slots, want 0", n)
	}
}
