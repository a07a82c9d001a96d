package forward

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
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
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

// fakeAnswer is the answer of a fake upstream to an attempt.
type fakeAnswer struct {
	delay  time.Duration
	status int
	notRun bool
	body   io.Reader
	// text is the body if body is nil and text is set, contentType its media type.
	text, contentType string
	// execution, if not empty, makes the attempt fail without an answer. It is the
	// execution of the error.
	execution fault.Execution
}

// fakeUpstreams is a fake target.Transport. byID gives the answer of each upstream;
// fallback is the answer of the others.
type fakeUpstreams struct {
	mu sync.Mutex
	// attempted and lastEventIDs hold the upstream and LastEventID of each attempt.
	attempted    []string
	lastEventIDs []string
	cancels      int
	byID         map[string]fakeAnswer
	// sequence holds the answers to the first attempts, at any upstream.
	sequence []fakeAnswer
	fallback fakeAnswer
}

func (u *fakeUpstreams) Call(ctx context.Context, e *target.Entry, request *target.Request) (*target.Response, error) {
	id := e.Info().ID
	u.mu.Lock()
	u.attempted = append(u.attempted, id)
	u.lastEventIDs = append(u.lastEventIDs, request.LastEventID)
	a, ok := u.byID[id]
	if !ok {
		a = u.fallback
	}
	if len(u.sequence) > 0 {
		a, u.sequence = u.sequence[0], u.sequence[1:]
	}
	u.mu.Unlock()
	select {
	case <-ctx.Done():
		u.mu.Lock()
		u.cancels++
		u.mu.Unlock()
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), fault.Unknown)
	case <-time.After(a.delay):
	}
	if a.execution != "" {
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), a.execution)
	}
	body := a.body
	if body == nil {
		body = strings.NewReader(cmp.Or(a.text, "answer of "+id))
	}
	header := http.Header{}
	if a.contentType != "" {
		header.Set("Content-Type", a.contentType)
	}
	return &target.Response{Status: a.status, NotRun: a.notRun, Length: -1, Header: header, Body: io.NopCloser(body)}, nil
}

func (u *fakeUpstreams) sentCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.attempted)
}

// fakeMeter is a Meter that counts the runs of all accounts.
type fakeMeter struct {
	mu            sync.Mutex
	runs, pending int
}

func (m *fakeMeter) CountRun(string, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs++
}

func (m *fakeMeter) CountPendingRun(string, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs++
	m.pending++
}

func (m *fakeMeter) ConfirmRun(string, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending--
}

func (m *fakeMeter) UncountRun(string, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs--
	m.pending--
}

func newForwarder(u *fakeUpstreams) *Forwarder {
	events := event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
	roster := target.NewRoster(events)
	var list []target.Instance
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, target.Instance{ID: id, Service: "desk", Address: id, FailureDomain: "x", Slots: 4})
	}
	roster.Replace(list)
	return &Forwarder{Roster: roster, Transport: u, Meter: &fakeMeter{}, Events: events, RetryBudget: retry.NewBudget(), Domain: "x"}
}

// An upstream accepts requests on open connections but never answers. Hedges still get
// an answer for each caller, but only after the hedge delay and at the cost of another
// upstream; so later requests must go to other upstreams first.
func TestHangingUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{delay: 20 * time.Millisecond, status: http.StatusOK}, byID: map[string]fakeAnswer{"a": {delay: time.Hour}}}
		f := newForwarder(u)
		first := 0
		for range 20 {
			before := u.sentCount()
			if _, err := f.Do(t.Context(), newCall(route.Idempotent, 2)); err != nil {
				t.Fatal(err)
			}
			if u.attempted[before] == "a" {
				first++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if first > 3 {
			t.Errorf("%d of 20 requests went to the hanging upstream first", first)
		}
	})
}

func newCall(kind route.Kind, attempts int) Call {
	return Call{ID: "q", Account: "acc", Arrived: time.Now(), Method: http.MethodPost, URI: "/a/", Route: &route.Route{
		Kind: kind, Attempts: attempts, Objective: 150 * time.Millisecond, Split: []route.Share{{Service: "desk", Weight: 1}},
	}}
}

var okAnswer = fakeAnswer{status: http.StatusOK, delay: 20 * time.Millisecond}

func do(t *testing.T, u *fakeUpstreams, c Call) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return newForwarder(u).Do(ctx, c)
}

// Guards against a request that runs twice, for example a payment that is charged twice:
// an upstream runs it, but the answer is lost. The request must not be sent again, and
// the caller must not be told that it has not run, since the caller would then repeat it.
func TestAtMostOnceIsNotRetriedIfItMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{execution: fault.Unknown}}
		_, err := do(t, u, newCall(route.AtMostOnce, 3))
		if u.sentCount() != 1 {
			t.Errorf("sent %d times, want once", u.sentCount())
		}
		if fault.ExecutionOf(err) == fault.NotRun {
			t.Errorf("the error says that the request has not run: %v", err)
		}
	})
}

// An upstream has no free slot and answers that it has not run the request. Only then may
// an at-most-once request be sent to another upstream.
func TestAtMostOnceIsRetriedAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{byID: map[string]fakeAnswer{"a": {status: 503, notRun: true}}, fallback: okAnswer}
		got, err := do(t, u, newCall(route.AtMostOnce, 1))
		if err != nil || got.Status != http.StatusOK || u.sentCount() != 2 {
			t.Errorf("%+v, %v after %d attempts", got, err, u.sentCount())
		}
	})
}

// Every upstream refuses the request. The caller must learn that it has not run and when
// to retry it.
func TestRequestRefusedByAllUpstreamsIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{status: 503, notRun: true}}
		_, err := do(t, u, newCall(route.AtMostOnce, 2))
		if fault.ExecutionOf(err) != fault.NotRun || fault.RetryAfterOf(err, 0) == 0 {
			t.Errorf("Do = %v", err)
		}
		if u.sentCount() != 3 {
			t.Errorf("sent %d times, want once to each of 3 upstreams", u.sentCount())
		}
	})
}

// Guards against wrong usage reports: a refused attempt must not be counted, and a run
// whose answer was lost must be.
func TestMeterCountsRunsThatBegan(t *testing.T) {
	for _, c := range []struct {
		name string
		a    fakeAnswer
		want int
	}{
		{"answered", okAnswer, 1},
		{"refused, then answered", fakeAnswer{status: 503, notRun: true}, 1},
		{"no connection, then answered", fakeAnswer{execution: fault.NotRun}, 1},
		{"lost, then answered", fakeAnswer{execution: fault.Unknown}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &fakeUpstreams{byID: map[string]fakeAnswer{"a": c.a}, fallback: okAnswer}
				f := newForwarder(u)
				if _, err := f.Do(t.Context(), newCall(route.Idempotent, 2)); err != nil {
					t.Fatal(err)
				}
				if runs := f.Meter.(*fakeMeter).runs; runs != c.want {
					t.Errorf("%d runs counted, want %d", runs, c.want)
				}
				if pending := f.Meter.(*fakeMeter).pending; pending != 0 {
					t.Errorf("%d runs are still pending", pending)
				}
			})
		})
	}
}

// Guards against an error that wrongly says that the request has not run: one upstream
// may have run it before it failed, and the next ones refuse it.
func TestRefusalAfterPossibleRunDoesNotReportNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{byID: map[string]fakeAnswer{"a": {execution: fault.Unknown}}, fallback: fakeAnswer{status: 503, notRun: true}}
		_, err := do(t, u, newCall(route.Idempotent, 3))
		if fault.ExecutionOf(err) == fault.NotRun {
			t.Errorf("the error says that the request has not run: %v", err)
		}
	})
}

// An upstream hangs. The caller of an idempotent request must get an answer from another
// one long before its deadline.
func TestRequestAtHangingUpstreamIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{byID: map[string]fakeAnswer{"a": {delay: time.Hour}}, fallback: okAnswer}
		started := time.Now()
		got, err := do(t, u, newCall(route.Idempotent, 2))
		if err != nil || string(got.Body) == "answer of a" {
			t.Fatalf("%+v, %v", got, err)
		}
		if took := time.Since(started); took > 100*time.Millisecond {
			t.Errorf("answered after %s", took)
		}
		synctest.Wait()
		if u.cancels != 1 {
			t.Errorf("%d attempts were canceled, want only the hanging one", u.cancels)
		}
	})
}

// Guards against canceled attempts without a trace: their usage may be billed, and no other
// event tells what became of them.
func TestCanceledAttemptIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{byID: map[string]fakeAnswer{"a": {delay: time.Hour}}, fallback: okAnswer}
		f := newForwarder(u)
		if _, err := f.Do(t.Context(), newCall(route.Idempotent, 2)); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		got := f.Events.Select(event.Query{Request: "q", Numbers: []event.Number{event.AttemptCanceled}})
		if len(got) != 1 || got[0].Upstream != "a" || got[0].Detail != string(fault.Unknown) {
			t.Errorf("events of canceled attempts: %+v", got)
		}
	})
}

// Guards against a request that runs at more upstreams than its route allows, hedges
// included.
func TestAttemptsAreLimited(t *testing.T) {
	for attempts := 1; attempts <= 3; attempts++ {
		synctest.Test(t, func(t *testing.T) {
			u := &fakeUpstreams{fallback: fakeAnswer{delay: 100 * time.Millisecond, execution: fault.Unknown}}
			_, err := do(t, u, newCall(route.Idempotent, attempts))
			if err == nil || u.sentCount() > attempts {
				t.Errorf("%d attempts allowed, %d sent, %v", attempts, u.sentCount(), err)
			}
		})
	}
}

// manyUpstreams returns a forwarder with more upstreams than may end under one request.
func manyUpstreams(u *fakeUpstreams) *Forwarder {
	f := newForwarder(u)
	var list []target.Instance
	for n := range 3 * suspicion.MaxEnds {
		id := "u" + strconv.Itoa(n)
		list = append(list, target.Instance{ID: id, Service: "desk", Address: id, FailureDomain: "x", Slots: 4})
	}
	f.Roster.Replace(list)
	return f
}

// Guards against a request that ends more upstreams than are allowed, on a route with more attempts.
func TestUpstreamsThatMayEndUnderARequestAreLimited(t *testing.T) {
	const attempts = 3 * suspicion.MaxEnds
	for name, fallback := range map[string]fakeAnswer{
		"no answer": {delay: 10 * time.Millisecond, execution: fault.Unknown},
		"hedged":    {delay: time.Second, execution: fault.Unknown},
		"truncated": {delay: 10 * time.Millisecond, status: 200, body: truncatedBody("part")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &fakeUpstreams{fallback: fallback}
				f := manyUpstreams(u)
				started := time.Now()
				_, err := f.Do(t.Context(), newCall(route.Idempotent, attempts))
				if err == nil || fault.ExecutionOf(err) == fault.NotRun || u.sentCount() != suspicion.MaxEnds || time.Since(started) > 5*time.Second {
					t.Errorf("%d attempts, %v after %s", u.sentCount(), err, time.Since(started))
				}
			})
		})
	}
	t.Run("stream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			u := &fakeUpstreams{fallback: fakeAnswer{status: 200, body: truncatedBody("")}}
			c := newCall(route.Stream, attempts)
			c.Route.Resumable = true
			_, err := manyUpstreams(u).Stream(t.Context(), c, &recordingSink{})
			if err == nil || u.sentCount() != suspicion.MaxEnds {
				t.Errorf("%d attempts, %v", u.sentCount(), err)
			}
		})
	})
}

// Guards against a limit on ended upstreams that counts answers of failure, which show that the upstream
// still runs.
func TestServerErrorsCountOnlyAsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const attempts = 3 * suspicion.MaxEnds
		u := &fakeUpstreams{fallback: fakeAnswer{status: 503}}
		_, err := manyUpstreams(u).Do(t.Context(), newCall(route.Idempotent, attempts))
		if err == nil || u.sentCount() != attempts {
			t.Errorf("%d attempts, %v", u.sentCount(), err)
		}
	})
}

// truncatedBody returns a body that fails after text.
func truncatedBody(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), truncatedReader{})
}

type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a truncated answer that the caller takes for a complete one.
func TestTruncatedAnswerIsNotDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{byID: map[string]fakeAnswer{"a": {status: 200, body: truncatedBody("half")}}, fallback: okAnswer}
		got, err := do(t, u, newCall(route.Idempotent, 2))
		if err != nil || string(got.Body) == "half" {
			t.Errorf("%+v, %v", got, err)
		}
		u = &fakeUpstreams{fallback: fakeAnswer{status: 200, body: truncatedBody("half")}}
		if got, err := do(t, u, newCall(route.AtMostOnce, 2)); err == nil {
			t.Errorf("got the truncated answer %+v", got)
		}
	})
}

// The deadline is exceeded while an attempt is pending: the request may have run.
func TestDeadlineExceededDuringAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{delay: time.Hour}}
		started := time.Now()
		_, err := do(t, u, newCall(route.AtMostOnce, 1))
		if !fault.Is[*fault.DeadlineExceeded](err) || fault.ExecutionOf(err) == fault.NotRun {
			t.Errorf("Do = %v", err)
		}
		if took := time.Since(started); took > 2100*time.Millisecond {
			t.Errorf("Do returned after %s, deadline 2s", took)
		}
	})
}

// All upstreams answer with a server error. The caller must get such an answer, not an
// error of the forwarder.
func TestServerErrorIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{status: 500}}
		_, err := do(t, u, newCall(route.Idempotent, 2))
		got, found := ServerErrorAnswer(err)
		if !found || got.Status != 500 || !strings.HasPrefix(string(got.Body), "answer of") {
			t.Errorf("Do = %v", err)
		}
		if u.sentCount() != 2 {
			t.Errorf("sent %d times, want 2", u.sentCount())
		}
	})
}

// Every upstream fails. Without a retry budget, each request would be sent as often as
// its route allows, which multiplies the load of a failing service.
func TestRetriesAreLimitedByBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{execution: fault.Unknown}}
		f := newForwarder(u)
		const requests = 400
		for range requests {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, _ = f.Do(ctx, newCall(route.Idempotent, 3))
			cancel()
		}
		if u.sentCount() > requests+80 {
			t.Errorf("%d attempts for %d requests, want at most 80 retries", u.sentCount(), requests)
		}
	})
}

// recordingSink is a Sink that records the events of a stream.
type recordingSink struct {
	starts int
	text   string
}

func (s *recordingSink) Start(*Answer) error { s.starts++; return nil }

func (s *recordingSink) Event(raw []byte) error { s.text += string(raw); return nil }

func stream(t *testing.T, u *fakeUpstreams, c Call) (*recordingSink, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	out := &recordingSink{}
	started, err := newForwarder(u).Stream(ctx, c, out)
	return out, started, err
}

// A stream is interrupted within an event. It must be resumed at another upstream after
// its last complete event, and the caller must get one stream without a gap.
func TestInterruptedStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{
			byID:     map[string]fakeAnswer{"a": {status: 200, body: truncatedBody("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")}},
			fallback: fakeAnswer{status: 200, body: strings.NewReader("id: 3\ndata: c\n\n")},
		}
		c := newCall(route.Stream, 2)
		c.Route.Resumable = true
		out, _, err := stream(t, u, c)
		if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; err != nil || out.text != want || out.starts != 1 {
			t.Errorf("text %q, %d starts, %v", out.text, out.starts, err)
		}
		if u.lastEventIDs[1] != "2" {
			t.Errorf("resumed after event %q, want 2", u.lastEventIDs[1])
		}
	})
}

// Guards against a resumable stream that waits until its caller leaves because its upstream, or the connection, is silent
// before the first byte. A stream that has no other attempt, or no upstream with spare capacity, waits on.
func TestStreamWithoutAnAnswerMovesToASpareUpstream(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts int
		loaded   bool
		moves    bool
	}{
		{"with an attempt left", 2, false, true},
		{"with no attempt left", 1, false, false},
		{"at a loaded service", 2, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &fakeUpstreams{
					sequence: []fakeAnswer{{delay: 4 * time.Second, status: 200, text: "id: 1\ndata: late\n\n"}},
					fallback: fakeAnswer{status: 200, text: "id: 1\ndata: b\n\n"},
				}
				f := newForwarder(u)
				call := newCall(route.Stream, c.attempts)
				call.Route.Resumable = true
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				go func() {
					for c.loaded && wait.For(ctx, 100*time.Millisecond) {
						for _, e := range f.Roster.Upstreams("desk") {
							e.NoteLoad(target.Load{Running: 4, Waiting: 1, Slots: 4}, time.Now())
						}
					}
				}()
				out := &recordingSink{}
				started := time.Now()
				if _, err := f.Stream(ctx, call, out); err != nil {
					t.Fatal(err)
				}
				if moved := u.sentCount() == 2; moved != c.moves || moved && time.Since(started) > 2*time.Second {
					t.Errorf("sent %d times, complete after %s, text %q", u.sentCount(), time.Since(started), out.text)
				}
			})
		})
	}
}

// Guards against a resumed stream that ends as complete because an upstream answers the resumed run with a failure, or
// with what is no stream.
func TestAnswerThatIsNoStreamDoesNotEndResumedStream(t *testing.T) {
	const start, rest = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	for name, second := range map[string]fakeAnswer{
		"500 without a body":    {status: http.StatusInternalServerError, body: http.NoBody},
		"500 with a body":       {status: http.StatusInternalServerError, text: "failed"},
		"500 with events":       {status: http.StatusInternalServerError, text: "id: 3\ndata: x\n\n"},
		"404":                   {status: http.StatusNotFound, body: http.NoBody},
		"422":                   {status: http.StatusUnprocessableEntity, body: http.NoBody},
		"503 that may have run": {status: http.StatusServiceUnavailable, body: http.NoBody},
		"503 that has not run":  {status: http.StatusServiceUnavailable, notRun: true, body: http.NoBody},
		"204":                   {status: http.StatusNoContent, body: http.NoBody},
		"another media type":    {status: http.StatusOK, contentType: "application/json", body: http.NoBody},
		"a later event":         {status: http.StatusOK, text: "id: 4\ndata: d\n\n"},
		"an earlier event":      {status: http.StatusOK, text: "id: 2\ndata: b\n\n"},
	} {
		for _, attempts := range []int{2, 3} {
			t.Run(fmt.Sprintf("%s, %d attempts", name, attempts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					answers := []fakeAnswer{{status: http.StatusOK, contentType: "text/event-stream", body: truncatedBody(start)}, second, {status: http.StatusOK, contentType: "text/event-stream; charset=utf-8", body: strings.NewReader(rest)}}
					u := &fakeUpstreams{sequence: answers}
					c := newCall(route.Stream, attempts)
					c.Route.Resumable = true
					out, started, err := stream(t, u, c)
					if resumed := attempts == 3 || second.notRun; resumed && (err != nil || out.text != start+rest) || !resumed && (err == nil || out.text != start) || !started {
						t.Errorf("text %q, started %v, %v", out.text, started, err)
					}
				})
			})
		}
	}
}

// Guards against an answer of failure to which the events of another upstream are appended.
func TestFailureInsteadOfStreamIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{sequence: []fakeAnswer{{status: http.StatusInternalServerError, body: strings.NewReader("failed")}}, fallback: fakeAnswer{status: http.StatusOK, body: strings.NewReader("id: 1\n\n")}}
		c := newCall(route.Stream, 3)
		c.Route.Resumable = true
		out, _, err := stream(t, u, c)
		if err != nil || out.text != "failed" || out.starts != 1 || u.sentCount() != 1 {
			t.Errorf("text %q after %d attempts, %v", out.text, u.sentCount(), err)
		}
	})
}

// A stream is interrupted on a route whose streams are not resumable. It must not be sent
// again, and the caller must get an error.
func TestStreamThatIsNotResumableIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{status: 200, body: truncatedBody("id: 1\ndata: a\n\n")}}
		_, started, err := stream(t, u, newCall(route.Stream, 3))
		if err == nil || !started || u.sentCount() != 1 {
			t.Errorf("started %v, %v after %d attempts", started, err, u.sentCount())
		}
	})
}

// Guards against corrupted text: an upstream repeats an event or skips one.
func TestStreamRejectsRepeatedAndMissingEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, body := range []string{"id: 1\n\nid: 1\n\n", "id: 1\n\nid: 3\n\n"} {
			u := &fakeUpstreams{fallback: fakeAnswer{status: 200, body: strings.NewReader(body)}}
			out, _, err := stream(t, u, newCall(route.Stream, 1))
			if err == nil || out.text != "id: 1\n\n" {
				t.Errorf("text %q, %v", out.text, err)
			}
		}
	})
}

// Guards against an error that wrongly says that a resumable stream has not run: one upstream may
// have run it, and the next ones refuse it.
func TestRefusalOfAStreamAfterPossibleRunDoesNotReportNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{byID: map[string]fakeAnswer{"a": {execution: fault.Unknown}}, fallback: fakeAnswer{status: 503, notRun: true}}
		c := newCall(route.Stream, 3)
		c.Route.Resumable = true
		_, started, err := stream(t, u, c)
		if err == nil || started || u.sentCount() != 3 {
			t.Fatalf("started %v, %v after %d attempts", started, err, u.sentCount())
		}
		if fault.ExecutionOf(err) == fault.NotRun {
			t.Errorf("the error says that the stream has not run: %v", err)
		}
	})
}
