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

// answered is what a caller got and when, since its request.
type answered struct {
	refusal Refusal
	after   time.Duration
	retry   string
}

// ask sends a request to a handler in virtual time.
func ask(t *testing.T, handler http.Handler, path, body string, change ...func(*http.Request)) answered {
	t.Helper()
	started := time.Now()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	for _, c := range change {
		c(request)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	got := answered{after: time.Since(started), retry: recorder.Header().Get("Retry-After")}
	if err := json.Unmarshal(recorder.Body.Bytes(), &got.refusal); err != nil {
		t.Fatalf("%d %q", recorder.Code, recorder.Body)
	}
	return got
}

// givenUp are the moments at which a request is given up on.
var givenUp = []struct {
	name string
	path string
	body string
	code fault.Code
	// at is when the request is given up on, after it came.
	at      time.Duration
	arrange func(r *rig)
}{
	{name: "shed at once", path: "/v1/generate", body: generateText, code: fault.CodeQueueFull, at: 0,
		arrange: refuseWith(&fault.QueueFull{Wait: 3 * time.Second})},
	{name: "shed after a wait in the queue", path: "/v1/generate", body: generateText, code: fault.CodeQueueFull, at: 7 * time.Second,
		arrange: refuseAfter(7*time.Second, &fault.QueueFull{Wait: 3 * time.Second})},
	{name: "service shed after a wait", path: "/v1/services/desk/x", body: "tree", code: fault.CodeLimitExceeded, at: 7 * time.Second,
		arrange: refuseAfter(7*time.Second, &fault.LimitExceeded{Wait: 3 * time.Second})},
	{name: "deadline in the queue", path: "/v1/generate", body: strings.Replace(generateText, "{", `{"timeoutSeconds":5,`, 1),
		code: fault.CodeDeadlineExceeded, at: 5 * time.Second, arrange: untilEnded},
	{name: "service deadline in the queue", path: "/v1/services/desk/x", body: "tree", code: fault.CodeDeadlineExceeded,
		at: serviceTimeout, arrange: untilEnded},
	{name: "key withdrawn in the queue", path: "/v1/generate", body: generateText, code: fault.CodeKeyWithdrawn, at: 4 * time.Second,
		arrange: withdrawnAfter(4 * time.Second)},
	{name: "keyed call, key withdrawn in the queue", path: "/v1/services/desk/x", body: "tree", code: fault.CodeKeyWithdrawn, at: 4 * time.Second,
		arrange: withdrawnAfter(4 * time.Second)},
	{name: "cut off too long", path: "/v1/generate", body: generateText, code: fault.CodeConfigurationStale, at: 0,
		arrange: func(r *rig) { r.ager.age.Store(int64(time.Hour)) }},
	{name: "draining", path: "/v1/generate", body: generateText, code: fault.CodeDraining, at: 0,
		arrange: func(r *rig) { r.server.Refuse() }},
	{name: "store down", path: "/v1/services/desk/x", body: "tree", code: fault.CodeStoreUnavailable, at: 0,
		arrange: func(r *rig) { r.tables.down.Store(true) }},
}

func refuseAfter(wait time.Duration, err error) func(*rig) {
	return func(r *rig) {
		r.places.hook = func(context.Context, dispatch.Work) error {
			time.Sleep(wait)
			return errors.WithStack(err)
		}
	}
}

func withdrawnAfter(wait time.Duration) func(*rig) {
	return func(r *rig) {
		untilEnded(r)
		go func() {
			time.Sleep(wait)
			r.withdraw("k1")
		}()
	}
}

// A request is given up on, and its answer is held back to slow its caller
// down. The caller waits for nothing, and its place on the VM is not free.
func TestGivenUpRequestIsAnsweredAtOnce(t *testing.T) {
	for _, c := range givenUp {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, rigOptions{})
				c.arrange(r)
				got := ask(t, r.server.Handler(), c.path, c.body, keyed)
				if got.refusal.Code != c.code || got.after != c.at {
					t.Errorf("got %s after %v, want %s after %v", got.refusal.Code, got.after, c.code, c.at)
				}
				if got.refusal.Execution != fault.NotRun {
					t.Errorf("the execution is %s", got.refusal.Execution)
				}
				if got.retry != strconv.Itoa(got.refusal.RetryAfterSeconds) && got.refusal.RetryAfterSeconds != 0 {
					t.Errorf("Retry-After is %q, the body says %d", got.retry, got.refusal.RetryAfterSeconds)
				}
				if got.refusal.RetryAfterSeconds == 0 && c.code != fault.CodeKeyWithdrawn {
					t.Error("the caller is not told when to come back")
				}
			})
		})
	}
}

// The last attempt has failed and no retry is left. A back-off before the
// refusal would only keep the caller waiting.
func TestNoBackOffBeforeTheRefusal(t *testing.T) {
	for _, path := range []string{"/v1/generate", "/v1/services/desk/x"} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, rigOptions{})
			// An address that can't be dialled fails without a network.
			r.places.add(platformapi.Upstream{ID: "e1", Kind: platformapi.KindEngine, Model: testModel, Address: "no address"})
			r.places.add(platformapi.Upstream{ID: "s1", Kind: platformapi.KindService, Service: testService, Address: "no address"})
			started := time.Now()
			var last time.Duration
			r.places.hook = func(context.Context, dispatch.Work) error {
				last = time.Since(started)
				return nil
			}
			got := ask(t, r.server.Handler(), path, generateText)
			if got.after != last || last == 0 {
				t.Errorf("%s: refused after %v, the last attempt was at %v", path, got.after, last)
			}
		})
	}
}
