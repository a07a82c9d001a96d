package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// stalledUpstream is an upstream that stands still: it accepts no connection until it resumes, while
// the kernel establishes connections and keeps what arrives on them.
type stalledUpstream struct {
	t        *testing.T
	listener net.Listener

	mu sync.Mutex
	// executions counts the executions by request ID.
	executions map[string]int
	last       time.Time
}

// addStalled adds a stalled service, or engine, to the harnesses.
func addStalled(t *testing.T, id string, kind platformapi.UpstreamKind, harnesses ...*harness) *stalledUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	for _, h := range harnesses {
		u := platformapi.Upstream{ID: id, Kind: kind, Address: listener.Addr().String()}
		if kind == platformapi.KindEngine {
			u.Model = testModel
		} else {
			u.Service = testService
		}
		h.dispatcher.add(u)
	}
	return &stalledUpstream{t: t, listener: listener, executions: make(map[string]int)}
}

// resume executes what waits, and returns when nothing has arrived for some time.
func (u *stalledUpstream) resume() {
	const quietTime = 500 * time.Millisecond
	server := &http.Server{Handler: u}
	u.t.Cleanup(func() { _ = server.Close() })
	u.last = time.Now()
	go func() { _ = server.Serve(u.listener) }()
	for !u.quietFor(quietTime) {
		time.Sleep(20 * time.Millisecond)
	}
}

func (u *stalledUpstream) quietFor(duration time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.last) > duration
}

// ServeHTTP executes a request, also one whose connection was reset.
func (u *stalledUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last = time.Now()
	u.executions[stalledCallOf(string(body))]++
	_, _ = io.WriteString(w, "done")
}

// stalledCallOf returns the name of the call in a body.
func stalledCallOf(body string) string {
	_, name, _ := strings.Cut(body, "call-")
	name, _, _ = strings.Cut(name, ".")
	return name
}

// stalledCall is a call to upstreams that stand still.
type stalledCall struct {
	name, path, body, key string
	// wait is when the caller leaves, timeout the call's own.
	wait, timeout time.Duration
}

// sendStalled sends a call and returns the execution that its caller was told, empty for none.
func (h *harness) sendStalled(call stalledCall) fault.Execution {
	ctx, cancel := context.WithTimeout(h.t.Context(), call.wait)
	defer cancel()
	got, err := h.try(http.MethodPost, call.path, call.body, func(r *http.Request) {
		*r = *r.WithContext(ctx)
		r.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(max(call.timeout.Milliseconds(), 1), 10))
		if call.key != "" {
			r.Header.Set("Idempotency-Key", call.key)
		}
	})
	if err != nil {
		return ""
	}
	return got.refusal.Execution
}

// stalledCase is a kind of calls to upstreams that stand still.
type stalledCase struct {
	name, path string
	kind       platformapi.UpstreamKind
	// keyed calls have an idempotency key, and their callers repeat them at another VM.
	keyed bool
}

// plan returns calls whose callers leave, or whose deadlines pass, at any point of an attempt.
func (c stalledCase) plan() []stalledCall {
	const calls, maxWait = 300, 6 * time.Millisecond
	random := rand.New(rand.NewPCG(48, 1))
	all := make([]stalledCall, calls)
	for n := range all {
		name, short := strconv.Itoa(n), 1+time.Duration(random.Int64N(int64(maxWait)))
		call := stalledCall{name: name, path: c.path, body: "call-" + name + ".", wait: short, timeout: time.Minute}
		if c.keyed {
			call.key = "key-" + name
		}
		if c.kind == platformapi.KindEngine {
			call.body = fmt.Sprintf(`{"model":"berry-1","prompt":"call-%s.","maxTokens":16,"timeoutSeconds":1}`, name)
		}
		// Timeouts of generate calls are whole seconds, so few of these calls have one.
		if n%10 == 1 || n%2 == 1 && c.kind == platformapi.KindService {
			call.wait, call.timeout = time.Minute, short
		}
		all[n] = call
	}
	return all
}

// told is what the caller of a call was told about its execution, first and when it repeated the call.
type told struct{ first, again fault.Execution }

// sendAll sends calls through two VMs and returns what their callers were told, by call.
func (c stalledCase) sendAll(first, second *harness) map[string]told {
	const callers = 30
	calls := make(chan stalledCall)
	var mu sync.Mutex
	all := make(map[string]told)
	var active sync.WaitGroup
	for range callers {
		active.Go(func() {
			for call := range calls {
				t := told{first: first.sendStalled(call)}
				if c.keyed {
					t.again = second.sendStalled(call)
				}
				mu.Lock()
				all[call.name] = t
				mu.Unlock()
			}
		})
	}
	for _, call := range c.plan() {
		calls <- call
	}
	close(calls)
	active.Wait()
	return all
}

// Guards against calls that are reported as not run, or that run twice, when a stalled upstream runs
// later what was canceled or timed out.
func TestCallsAtStalledUpstreamsAreNotReportedNotRun(t *testing.T) {
	for _, c := range []stalledCase{
		{name: "service", path: "/v1/services/desk/deposit", kind: platformapi.KindService},
		{name: "service, idempotency key", path: "/v1/services/desk/deposit", kind: platformapi.KindService, keyed: true},
		{name: "engine", path: "/v1/generate", kind: platformapi.KindEngine},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first := newHarness(t, harnessOptions{quiet: true})
			second := first.peer()
			upstreams := []*stalledUpstream{addStalled(t, "u1", c.kind, first, second), addStalled(t, "u2", c.kind, first, second)}
			first.serve()
			second.serve()
			all := c.sendAll(first, second)
			executions := make(map[string]int)
			for _, u := range upstreams {
				u.resume()
				for name, n := range u.executions {
					executions[name] += n
				}
			}
			c.check(t, all, executions)
		})
	}
}

// check compares what callers were told with what was executed.
func (c stalledCase) check(t *testing.T, all map[string]told, executions map[string]int) {
	t.Helper()
	counts := make(map[told]int)
	for name, tell := range all {
		counts[tell]++
		n := executions[name]
		if n > 1 && c.kind == platformapi.KindService {
			t.Errorf("call %s was executed %d times", name, n)
		}
		// A keyed call that did not run may be run when it is repeated.
		notRun := tell.first == fault.NotRun && (!c.keyed || tell.again == fault.NotRun)
		if n > 0 && notRun {
			t.Errorf("call %s was reported as not run and was executed %d times", name, n)
		}
	}
	if want := len(all) / 10; len(executions) < want {
		t.Errorf("%d calls were executed after the stall, want %d or more", len(executions), want)
	}
	t.Logf("callers were told %v; %d calls were executed later", counts, len(executions))
}
