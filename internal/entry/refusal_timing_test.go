package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// timedRefusal is a refusal and its delay since the request was sent.
type timedRefusal struct {
	refusal    Refusal
	after      time.Duration
	retryAfter string
}

// timedCall sends a POST request to the handler and measures, in virtual time,
// how long its refusal takes.
func timedCall(t *testing.T, handler http.Handler, path, body string, change ...func(*http.Request)) timedRefusal {
	t.Helper()
	started := time.Now()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	for _, c := range change {
		c(request)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	got := timedRefusal{after: time.Since(started), retryAfter: recorder.Header().Get("Retry-After")}
	if err := json.Unmarshal(recorder.Body.Bytes(), &got.refusal); err != nil {
		t.Fatalf("%d %q", recorder.Code, recorder.Body)
	}
	return got
}

// refusalCases are requests that are refused at a known time.
var refusalCases = []struct {
	name string
	path string
	body string
	code fault.Code
	// wantAfter is the time from the request to its refusal.
	wantAfter time.Duration
	arrange   func(h *harness)
}{
	{name: "shed at once", path: "/v1/generate", body: generateText, code: fault.CodeQueueFull, wantAfter: 0,
		arrange: refuseWith(&fault.QueueFull{Wait: 3 * time.Second})},
	{name: "shed after a wait in the queue", path: "/v1/generate", body: generateText, code: fault.CodeQueueFull, wantAfter: 7 * time.Second,
		arrange: refuseAfter(7*time.Second, &fault.QueueFull{Wait: 3 * time.Second})},
	{name: "service shed after a wait", path: "/v1/services/desk/x", body: "tree", code: fault.CodeLimitExceeded, wantAfter: 7 * time.Second,
		arrange: refuseAfter(7*time.Second, &fault.LimitExceeded{Wait: 3 * time.Second})},
	{name: "deadline in the queue", path: "/v1/generate", body: strings.Replace(generateText, "{", `{"timeoutSeconds":5,`, 1),
		code: fault.CodeDeadlineExceeded, wantAfter: 5 * time.Second, arrange: blockUntilDone},
	{name: "service deadline in the queue", path: "/v1/services/desk/x", body: "tree", code: fault.CodeDeadlineExceeded,
		wantAfter: maxServiceTimeout, arrange: blockUntilDone},
	{name: "key withdrawn in the queue", path: "/v1/generate", body: generateText, code: fault.CodeKeyWithdrawn, wantAfter: 4 * time.Second,
		arrange: withdrawKeyAfter(4 * time.Second)},
	{name: "service call, key withdrawn in the queue", path: "/v1/services/desk/x", body: "tree", code: fault.CodeKeyWithdrawn, wantAfter: 4 * time.Second,
		arrange: withdrawKeyAfter(4 * time.Second)},
	{name: "configuration stale", path: "/v1/generate", body: generateText, code: fault.CodeConfigurationStale, wantAfter: 0,
		arrange: func(h *harness) { h.configurationAge.age.Store(int64(time.Hour)) }},
	{name: "draining", path: "/v1/generate", body: generateText, code: fault.CodeDraining, wantAfter: 0,
		arrange: func(h *harness) { h.server.RefuseNewRequests() }},
	{name: "store down", path: "/v1/services/desk/x", body: "tree", code: fault.CodeStoreUnavailable, wantAfter: 0,
		arrange: func(h *harness) { h.tables.down.Store(true) }},
}

// refuseAfter makes the dispatcher refuse requests with err after wait.
func refuseAfter(wait time.Duration, err error) func(*harness) {
	return func(h *harness) {
		h.dispatcher.hook = func(context.Context, dispatch.Work) error {
			time.Sleep(wait)
			return errors.WithStack(err)
		}
	}
}

// withdrawKeyAfter withdraws the caller's key after wait, while its request is
// queued.
func withdrawKeyAfter(wait time.Duration) func(*harness) {
	return func(h *harness) {
		blockUntilDone(h)
		go func() {
			time.Sleep(wait)
			h.withdraw("k1")
		}()
	}
}

// A VM must not delay a refusal in order to slow its caller down: the caller
// would wait for nothing, and its request would occupy the VM longer than
// needed.
func TestRefusalIsSentAtOnce(t *testing.T) {
	for _, c := range refusalCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, harnessOptions{})
				c.arrange(h)
				got := timedCall(t, h.server.Handler(), c.path, c.body, withIdempotencyKey)
				if got.refusal.Code != c.code || got.after != c.wantAfter {
					t.Errorf("got %s after %v, want %s after %v", got.refusal.Code, got.after, c.code, c.wantAfter)
				}
				if got.refusal.Execution != fault.NotRun {
					t.Errorf("the execution is %s", got.refusal.Execution)
				}
				if got.retryAfter != strconv.Itoa(got.refusal.RetryAfterSeconds) && got.refusal.RetryAfterSeconds != 0 {
					t.Errorf("Retry-After is %q, the body says %d", got.retryAfter, got.refusal.RetryAfterSeconds)
				}
				if got.refusal.RetryAfterSeconds == 0 && c.code != fault.CodeKeyWithdrawn {
					t.Error("the refusal has no retry delay")
				}
			})
		})
	}
}

// The last attempt fails and no retry is left. A backoff before the refusal
// would only delay the caller.
func TestNoBackoffAfterTheLastAttempt(t *testing.T) {
	for _, path := range []string{"/v1/generate", "/v1/services/desk/x"} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, harnessOptions{})
			// An address that can't be dialled fails without a network.
			h.dispatcher.add(platformapi.Upstream{ID: "e1", Kind: platformapi.KindEngine, Model: testModel, Address: "no address"})
			h.dispatcher.add(platformapi.Upstream{ID: "s1", Kind: platformapi.KindService, Service: testService, Address: "no address"})
			started := time.Now()
			var last time.Duration
			h.dispatcher.hook = func(context.Context, dispatch.Work) error {
				last = time.Since(started)
				return nil
			}
			got := timedCall(t, h.server.Handler(), path, generateText)
			if got.after != last || last == 0 {
				t.Errorf("%s: refused after %v, the last attempt was at %v", path, got.after, last)
			}
		})
	}
}
