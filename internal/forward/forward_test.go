package forward

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
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// answer is how an upstream answers an attempt.
type answer struct {
	after  time.Duration
	status int
	notRun bool
	body   io.Reader
	// execution is the mark of a failure without an answer.
	execution fault.Execution
}

// upstreams answers attempts. It implements target.Caller.
type upstreams struct {
	mu       sync.Mutex
	reached  []string
	resumed  []string
	cancels  int
	byID     map[string]answer
	fallback answer
}

func (u *upstreams) Call(ctx context.Context, e *target.Entry, request *target.Request) (*target.Response, error) {
	id := e.Info().ID
	u.mu.Lock()
	u.reached = append(u.reached, id)
	u.resumed = append(u.resumed, request.ResumeAfter)
	a, ok := u.byID[id]
	u.mu.Unlock()
	if !ok {
		a = u.fallback
	}
	select {
	case <-ctx.Done():
		u.mu.Lock()
		u.cancels++
		u.mu.Unlock()
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), fault.Unknown)
	case <-time.After(a.after):
	}
	if a.execution != "" {
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), a.execution)
	}
	body := a.body
	if body == nil {
		body = strings.NewReader("answer of " + id)
	}
	return &target.Response{Status: a.status, NotRun: a.notRun, Length: -1, Header: http.Header{}, Body: io.NopCloser(body)}, nil
}

func (u *upstreams) sent() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.reached)
}

// meter counts runs.
type meter struct {
	mu sync.Mutex
	n  int
}

func (m *meter) Began(string, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n++
}

func (m *meter) Refused(string, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n--
}

func newForwarder(u *upstreams) *Forwarder {
	events := event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
	roster := target.NewRoster(events)
	var list []target.Instance
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, target.Instance{ID: id, Service: "desk", Address: id, FailureDomain: "x", Slots: 4})
	}
	roster.Replace(list)
	return &Forwarder{Roster: roster, Caller: u, Meter: &meter{}, Events: events, Budget: retry.NewBudget(), Domain: "x"}
}

// An upstream takes requests and never answers, while its connections stand. A second
// attempt saves each caller, but only after the pause for it, and each costs another
// upstream's time; so later requests must go elsewhere at once.
func TestHangingUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{fallback: answer{after: 20 * time.Millisecond, status: http.StatusOK}, byID: map[string]answer{"a": {after: time.Hour}}}
		f := newForwarder(u)
		first := 0
		for range 20 {
			before := u.sent()
			if _, err := f.Do(t.Context(), call(route.Idempotent, 2)); err != nil {
				t.Fatal(err)
			}
			if u.reached[before] == "a" {
				first++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if first > 3 {
			t.Errorf("%d of 20 requests went to the hanging upstream first", first)
		}
	})
}

func call(kind route.Kind, attempts int) Call {
	return Call{ID: "q", Account: "acc", Arrived: time.Now(), Method: http.MethodPost, URI: "/a/", Route: &route.Route{
		Kind: kind, Attempts: attempts, Objective: 150 * time.Millisecond, Split: []route.Share{{Service: "desk", Weight: 1}},
	}}
}

var ok = answer{status: http.StatusOK, after: 20 * time.Millisecond}

func do(t *testing.T, u *upstreams, c Call) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return newForwarder(u).Do(ctx, c)
}

// A deposit is charged and the answer is lost. Sent again, it would be charged a
// second time; refused with a promise, the caller would do the same.
func TestAtMostOnceIsNeverSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{fallback: answer{execution: fault.Unknown}}
		_, err := do(t, u, call(route.AtMostOnce, 3))
		if u.sent() != 1 {
			t.Errorf("sent %d times", u.sent())
		}
		if fault.ExecutionOf(err) == fault.NotRun {
			t.Errorf("the caller is told that it has not run: %v", err)
		}
	})
}

// An upstream is full and says that it has not run the request. That is the one
// case in which a request that must not be repeated goes elsewhere.
func TestAtMostOnceGoesOnAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{byID: map[string]answer{"a": {status: 503, notRun: true}}, fallback: ok}
		got, err := do(t, u, call(route.AtMostOnce, 1))
		if err != nil || got.Status != http.StatusOK || u.sent() != 2 {
			t.Errorf("%+v, %v after %d attempts", got, err, u.sent())
		}
	})
}

// Every upstream refuses. The caller may come back, and is told when.
func TestRefusedEverywhereIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{fallback: answer{status: 503, notRun: true}}
		_, err := do(t, u, call(route.AtMostOnce, 2))
		if fault.ExecutionOf(err) != fault.NotRun || fault.RetryAfterOf(err, 0) == 0 {
			t.Errorf("Do = %v", err)
		}
		if u.sent() != 3 {
			t.Errorf("sent %d times to 3 upstreams", u.sent())
		}
	})
}

// Billing wants what upstreams began, no more and no less: neither what was refused
// nor a run whose answer got lost may be counted wrongly.
func TestRunsAreCountedAsTheyBegan(t *testing.T) {
	for _, c := range []struct {
		name string
		a    answer
		want int
	}{
		{"answered", ok, 1},
		{"refused, then answered", answer{status: 503, notRun: true}, 1},
		{"no connection, then answered", answer{execution: fault.NotRun}, 1},
		{"lost, then answered", answer{execution: fault.Unknown}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstreams{byID: map[string]answer{"a": c.a}, fallback: ok}
				f := newForwarder(u)
				if _, err := f.Do(t.Context(), call(route.Idempotent, 2)); err != nil {
					t.Fatal(err)
				}
				if n := f.Meter.(*meter).n; n != c.want {
					t.Errorf("%d runs counted, want %d", n, c.want)
				}
			})
		})
	}
}

// One upstream ran the request and failed, the next one refuses it. "Not run"
// would be a lie.
func TestOneRunForbidsThePromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{byID: map[string]answer{"a": {execution: fault.Unknown}}, fallback: answer{status: 503, notRun: true}}
		_, err := do(t, u, call(route.Idempotent, 3))
		if fault.ExecutionOf(err) == fault.NotRun {
			t.Errorf("the caller is told that it has not run: %v", err)
		}
	})
}

// An upstream hangs. The caller of an idempotent request must not wait for it
// until its time is over.
func TestSlowUpstreamIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{byID: map[string]answer{"a": {after: time.Hour}}, fallback: ok}
		started := time.Now()
		got, err := do(t, u, call(route.Idempotent, 2))
		if err != nil || string(got.Body) == "answer of a" {
			t.Fatalf("%+v, %v", got, err)
		}
		if took := time.Since(started); took > 100*time.Millisecond {
			t.Errorf("answered after %s", took)
		}
		synctest.Wait()
		if u.cancels != 1 {
			t.Errorf("%d attempts were cancelled, the hanging one should be", u.cancels)
		}
	})
}

// No more upstreams run a request than the operator allows, hedges included.
func TestAttemptsAreBounded(t *testing.T) {
	for attempts := 1; attempts <= 3; attempts++ {
		synctest.Test(t, func(t *testing.T) {
			u := &upstreams{fallback: answer{after: 100 * time.Millisecond, execution: fault.Unknown}}
			_, err := do(t, u, call(route.Idempotent, attempts))
			if err == nil || u.sent() > attempts {
				t.Errorf("%d attempts allowed, %d sent, %v", attempts, u.sent(), err)
			}
		})
	}
}

// breaking is a body that breaks off.
func breaking(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), errReader{})
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// An answer breaks off half-way. Passed on, the caller would take half a booking
// for the whole.
func TestTruncatedAnswerIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{byID: map[string]answer{"a": {status: 200, body: breaking("half")}}, fallback: ok}
		got, err := do(t, u, call(route.Idempotent, 2))
		if err != nil || string(got.Body) == "half" {
			t.Errorf("%+v, %v", got, err)
		}
		u = &upstreams{fallback: answer{status: 200, body: breaking("half")}}
		if got, err := do(t, u, call(route.AtMostOnce, 2)); err == nil {
			t.Errorf("got %+v", got)
		}
	})
}

// The caller's time ends while an upstream still works: it may have run.
func TestOutOfTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{fallback: answer{after: time.Hour}}
		started := time.Now()
		_, err := do(t, u, call(route.AtMostOnce, 1))
		if !fault.Is[*fault.DeadlineExceeded](err) || fault.ExecutionOf(err) == fault.NotRun {
			t.Errorf("Do = %v", err)
		}
		if took := time.Since(started); took > 2100*time.Millisecond {
			t.Errorf("the final answer came after %s", took)
		}
	})
}

// An upstream answers with a failure of its own and no other attempt does better.
// The caller gets that answer, not one that was made up.
func TestUpstreamsOwnFailureIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{fallback: answer{status: 500}}
		_, err := do(t, u, call(route.Idempotent, 2))
		own, isOwn := AnswerOf(err)
		if !isOwn || own.Status != 500 || !strings.HasPrefix(string(own.Body), "answer of") {
			t.Errorf("Do = %v", err)
		}
		if u.sent() != 2 {
			t.Errorf("sent %d times", u.sent())
		}
	})
}

// Every upstream fails. Without a budget each request would be sent as often as
// its route allows, and the load of a failing service would double.
func TestRetriesAreBudgeted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{fallback: answer{execution: fault.Unknown}}
		f := newForwarder(u)
		const requests = 400
		for range requests {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, _ = f.Do(ctx, call(route.Idempotent, 3))
			cancel()
		}
		if u.sent() > requests+80 {
			t.Errorf("%d attempts for %d requests", u.sent(), requests)
		}
	})
}

// sink collects a stream.
type sink struct {
	starts int
	text   string
}

func (s *sink) Start(*Answer) error { s.starts++; return nil }

func (s *sink) Event(raw []byte) error { s.text += string(raw); return nil }

func stream(t *testing.T, u *upstreams, c Call) (*sink, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	out := &sink{}
	started, err := newForwarder(u).Stream(ctx, c, out)
	return out, started, err
}

// A stream breaks off inside an event. It goes on at another upstream behind the
// last whole event; the caller sees one stream without a hole.
func TestStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{
			byID:     map[string]answer{"a": {status: 200, body: breaking("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")}},
			fallback: answer{status: 200, body: strings.NewReader("id: 3\ndata: c\n\n")},
		}
		c := call(route.Stream, 2)
		c.Route.Resumable = true
		out, _, err := stream(t, u, c)
		if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; err != nil || out.text != want || out.starts != 1 {
			t.Errorf("%q, %d starts, %v", out.text, out.starts, err)
		}
		if u.resumed[1] != "2" {
			t.Errorf("resumed after %q", u.resumed[1])
		}
	})
}

// The same on a route whose streams run once: it must end visibly broken.
func TestStreamThatRunsOnceIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{fallback: answer{status: 200, body: breaking("id: 1\ndata: a\n\n")}}
		_, started, err := stream(t, u, call(route.Stream, 3))
		if err == nil || !started || u.sent() != 1 {
			t.Errorf("started %v, %v after %d attempts", started, err, u.sent())
		}
	})
}

// An upstream sends an event twice or leaves one out.
func TestStreamNoticesHoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, body := range []string{"id: 1\n\nid: 1\n\n", "id: 1\n\nid: 3\n\n"} {
			u := &upstreams{fallback: answer{status: 200, body: strings.NewReader(body)}}
			out, _, err := stream(t, u, call(route.Stream, 1))
			if err == nil || out.text != "id: 1\n\n" {
				t.Errorf("%q, %v", out.text, err)
			}
		}
	})
}
