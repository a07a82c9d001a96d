package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
)

// impatient gives up on a silent engine soon.
var impatient = engine.Patience{First: 300 * time.Millisecond, Next: 300 * time.Millisecond}

// brokenStreams are the ways in which an engine's stream goes wrong. Each leaves
// the answer "a b c d" to be completed elsewhere, from the token named.
var brokenStreams = []struct {
	name string
	// good is how many tokens arrive before the fault.
	good int
	play func(s *script)
}{
	{"closed before the answer", 0, func(s *script) { s.cut() }},
	{"reset after a token", 1, func(s *script) { s.chunk(0, "a"); s.cut() }},
	{"closed without the terminal event", 2, func(s *script) { s.chunk(0, "a", "b") }},
	{"terminal event before the last chunk", 2, func(s *script) { s.chunk(0, "a", "b"); s.raw(engine.DoneEvent) }},
	{"doubled chunk", 2, func(s *script) { s.chunk(0, "a", "b"); s.chunk(0, "a", "b"); s.last(2, "c", "d") }},
	{"gap", 1, func(s *script) { s.chunk(0, "a"); s.last(2, "c", "d") }},
	{"chunk of another request", 1, func(s *script) { s.chunk(0, "a"); s.send("other", 1, "", "z"); s.last(1, "b", "c", "d") }},
	{"chunk is not JSON", 1, func(s *script) { s.chunk(0, "a"); s.raw(`{"id":`) }},
	{"event of two megabytes", 1, func(s *script) { s.chunk(0, "a"); s.raw(strings.Repeat("x", 2<<20)) }},
	{"more tokens than asked for", 1, func(s *script) { s.chunk(0, "a"); s.chunk(1, strings.Split(strings.Repeat("z", 40), "")...) }},
	{"no choice", 1, func(s *script) { s.chunk(0, "a"); s.raw(fmt.Sprintf(`{"id":%q,"model":"berry-1","choices":[]}`, s.id)) }},
	{"another model's chunk", 1, func(s *script) {
		s.chunk(0, "a")
		s.raw(fmt.Sprintf(`{"id":%q,"model":"other","choices":[{"offset":1,"tokens":["z"]}]}`, s.id))
	}},
	{"silent from the start", 0, func(s *script) { s.header(); s.hang() }},
	{"silent after a token", 1, func(s *script) { s.chunk(0, "a"); s.hang() }},
	{"drips comments", 1, func(s *script) {
		s.chunk(0, "a")
		for s.r.Context().Err() == nil {
			_, _ = io.WriteString(s.w, ": still here\n")
			_ = http.NewResponseController(s.w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}},
}

// An engine's stream goes wrong in the middle and another engine goes on. The
// caller would see words twice, miss some, read another caller's, or wait for
// ever for an engine that hangs.
func TestBrokenStreamIsCompletedElsewhere(t *testing.T) {
	for _, broken := range brokenStreams {
		t.Run(broken.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, rigOptions{patience: impatient})
			r.engine("e1", scripted(broken.play))
			r.engine("e2", scripted(func(s *script) { s.whole() }))
			got := r.call(http.MethodPost, "/v1/generate", generateText)
			var whole GenerateAnswer
			if err := json.Unmarshal(got.body, &whole); err != nil || whole.Text != "abcd" || whole.Attempts != 2 {
				t.Fatalf("got %d %s", got.status, got.body)
			}
			wantSpans(t, whole.Spans, broken.good)
		})
		t.Run(broken.name+", streamed", func(t *testing.T) {
			t.Parallel()
			r := newRig(t, rigOptions{patience: impatient})
			r.engine("e1", scripted(broken.play))
			r.engine("e2", scripted(func(s *script) { s.whole() }))
			got := r.call(http.MethodPost, "/v1/generate", streamText("16"))
			tokens, end := readEvents(t, got.body)
			var whole GenerateAnswer
			if err := json.Unmarshal([]byte(end.Data), &whole); err != nil || end.Type != eventAnswer {
				t.Fatalf("the stream ended with %s %s", end.Type, end.Data)
			}
			if tokens != "abcd" || whole.Tokens != 4 {
				t.Errorf("got %q, %d tokens", tokens, whole.Tokens)
			}
			wantSpans(t, whole.Spans, broken.good)
		})
	}
}

// wantSpans checks that e1 ran the first good tokens and e2 the rest.
func wantSpans(t *testing.T, spans []generate.Span, good int) {
	t.Helper()
	want := []generate.Span{{Start: 0, End: good, Version: 7, Upstream: "e1", Incarnation: "i1"}}
	if good == 0 {
		want = nil
	}
	want = append(want, generate.Span{Start: good, End: 4, Version: 7, Upstream: "e2", Incarnation: "i1"})
	if fmt.Sprint(spans) != fmt.Sprint(want) {
		t.Errorf("spans %v, want %v", spans, want)
	}
}

// readEvents returns the tokens of a stream's chunks, which must follow each
// other without a gap, and its last event.
func readEvents(t *testing.T, body []byte) (string, sse.Event) {
	t.Helper()
	var tokens []string
	var end sse.Event
	for e, err := range sse.Read(strings.NewReader(string(body)), nil) {
		if err != nil {
			t.Fatal(err)
		}
		end = e
		if e.Type != eventChunk {
			continue
		}
		var chunk generate.Chunk
		if err := json.Unmarshal([]byte(e.Data), &chunk); err != nil {
			t.Fatal(err)
		}
		if chunk.Offset != len(tokens) {
			t.Errorf("a chunk starts at %d after %d tokens", chunk.Offset, len(tokens))
		}
		tokens = append(tokens, chunk.Tokens...)
	}
	return strings.Join(tokens, ""), end
}

// The last chunk arrives and the connection breaks before the terminal event.
// Resuming a finished answer elsewhere would make an engine write on after its
// end; the finish reason already says that it is whole.
func TestLostTerminalEventDoesNotReopenAFinishedAnswer(t *testing.T) {
	r := newRig(t, rigOptions{})
	r.engine("e1", scripted(func(s *script) { s.last(0, "a", "b", "c", "d"); s.cut() }))
	second := r.engine("e2", scripted(func(s *script) { s.chunk(s.resume, "z") }))
	got := r.call(http.MethodPost, "/v1/generate", generateText)
	if !strings.Contains(string(got.body), `"abcd"`) || second.requests.Load() != 0 {
		t.Errorf("got %s after %d requests elsewhere", got.body, second.requests.Load())
	}
}

// An engine goes on after the last chunk. What of it is the answer can't be
// told, so the caller must not get any of it as a whole answer.
func TestChunkAfterTheLastIsNoAnswer(t *testing.T) {
	r := newRig(t, rigOptions{})
	r.engine("e1", scripted(func(s *script) { s.last(0, "a"); s.last(1, "b"); s.raw(engine.DoneEvent) }))
	got := r.call(http.MethodPost, "/v1/generate", generateText)
	if got.refusal.Code != fault.CodeUpstreamFailed || got.refusal.Execution != fault.Ran {
		t.Errorf("got %d %s", got.status, got.body)
	}
}

// The engine is lost in the middle of a stream and no other is there. The caller
// must not take the part for the whole: it gets an error event and no answer.
func TestStreamThatCannotBeCompletedEndsWithAnError(t *testing.T) {
	r := newRig(t, rigOptions{})
	r.engine("e1", scripted(func(s *script) {
		s.header()
		if s.resume == 0 {
			s.chunk(0, "a")
		}
		s.cut()
	}))
	got := r.call(http.MethodPost, "/v1/generate", streamText("16"))
	tokens, end := readEvents(t, got.body)
	var refusal Refusal
	if err := json.Unmarshal([]byte(end.Data), &refusal); err != nil || end.Type != eventError {
		t.Fatalf("the stream ended with %s %s", end.Type, end.Data)
	}
	if tokens != "a" || refusal.Execution != fault.Ran || refusal.RetryAfterSeconds == 0 {
		t.Errorf("got %q and %+v", tokens, refusal)
	}
}

// A caller hangs up. An engine that goes on writes tokens for nobody and keeps
// its place from those who wait.
func TestEngineIsCancelledWhenItsCallerLeaves(t *testing.T) {
	r := newRig(t, rigOptions{})
	cancelled := make(chan struct{})
	r.engine("e1", scripted(func(s *script) {
		s.chunk(0, "a")
		s.hang()
		close(cancelled)
	}))
	request, err := http.NewRequest(http.MethodPost, r.serve()+"/v1/generate", strings.NewReader(streamText("16")))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	<-cancelled
}

// The key of a caller that has stopped reading is withdrawn. Its handler waits
// in a write that no cancellation reaches, so the connection would stay open and
// a planned stop would wait for it.
func TestWithdrawalReachesACallerThatDoesNotRead(t *testing.T) {
	r := newRig(t, rigOptions{})
	cancelled := make(chan struct{})
	full := make(chan struct{}, 1)
	r.engine("e1", scripted(func(s *script) {
		defer close(cancelled)
		long := strings.Repeat("x", 64<<10)
		for n := 0; s.r.Context().Err() == nil; n++ {
			s.chunk(n, long)
			if n == 400 {
				full <- struct{}{}
			}
			if n > 400 {
				time.Sleep(time.Millisecond)
			}
		}
	}))
	request, err := http.NewRequest(http.MethodPost, r.serve()+"/v1/generate", strings.NewReader(streamText("131072")))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	select {
	case <-full:
	case <-time.After(2 * time.Second):
		// The buffers on the way are full earlier on some machines; the
		// handler then waits in its write already.
	}
	r.withdraw("k1")
	<-cancelled
	// Far above the time for a last event, far below the time for a slow write.
	r.awaitIdle(defaultWriteTimeout / 2)
}

// awaitIdle waits until no request runs.
func (r *rig) awaitIdle(patience time.Duration) {
	r.t.Helper()
	deadline := time.Now().Add(patience)
	for r.server.sessions.count() > 0 {
		if time.Now().After(deadline) {
			r.t.Fatal("the handler still waits for its caller")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A caller asks for something large and never reads it. Its handler would hold
// the answer, and a planned stop would wait for it until the drain time is over.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	for _, path := range []string{"/v1/services/desk/fields", "/v1/generate"} {
		r := newRig(t, rigOptions{writeTimeout: 100 * time.Millisecond})
		large := strings.Repeat("x", 8<<20)
		r.service("s1", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) })
		r.engine("e1", scripted(func(s *script) {
			for n := range 40 {
				s.chunk(n, large[:1<<19])
			}
			s.last(40, "end")
			s.raw(engine.DoneEvent)
		}))
		body := strings.Replace(generateText, `"maxTokens":16`, `"maxTokens":64`, 1)
		request, err := http.NewRequest(http.MethodPost, r.serve()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+testKey)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		r.awaitIdle(defaultWriteTimeout / 2)
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			t.Errorf("%s: the cut answer ended like a whole one", path)
		}
		_ = response.Body.Close()
	}
}

// count returns how many requests run.
func (s *sessions) count() int {
	total := 0
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for _, running := range shard.running {
			total += len(running)
		}
		shard.mu.Unlock()
	}
	return total
}

// brokenAnswers are the ways in which a plain service's answer goes wrong.
var brokenAnswers = map[string]http.HandlerFunc{
	"closed before the answer": abort,
	"shorter than its length": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	},
	"chunks without an end": func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	},
	"neither length nor chunks": func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		_ = conn.Close()
	},
	"an answer to another request": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "another")
		_, _ = io.WriteString(w, "somebody else's booking")
	},
	"larger than any answer": func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 17<<20))
	},
}

// A desk breaks off its answer, or answers another family's request. A caller
// that takes it for its own reads a booking that it does not have.
func TestBrokenServiceAnswerIsNeverPassedOn(t *testing.T) {
	for name, handler := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, rigOptions{})
			broken := r.service("s1", handler)
			r.service("s2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
			got := r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17")
			if got.status != http.StatusBadGateway || got.refusal.Execution != fault.Unknown {
				t.Errorf("POST got %d %s", got.status, got.body)
			}
			if runs := r.metered[0].requests.Load() + r.metered[1].requests.Load(); runs != 1 {
				t.Errorf("POST reached the desks %d times", runs)
			}
			broken.requests.Store(0)
			for range 2 {
				got = r.call(http.MethodGet, "/v1/services/desk/fields", "")
				if got.status != http.StatusOK || string(got.body) != "whole" {
					t.Errorf("GET got %d %s", got.status, got.body)
				}
			}
			if broken.requests.Load() == 0 {
				t.Error("no GET met the broken desk")
			}
		})
	}
}

// The caller gives its request two seconds. An engine that does not know works
// on for minutes for a caller that is gone.
func TestDeadlineAndRequestIDReachTheUpstream(t *testing.T) {
	r := newRig(t, rigOptions{})
	seen := make(chan http.Header, 2)
	r.engine("e1", func(w http.ResponseWriter, q *http.Request) {
		seen <- q.Header
		scripted(func(s *script) { s.whole() })(w, q)
	})
	r.service("s1", func(_ http.ResponseWriter, q *http.Request) { seen <- q.Header })
	for _, got := range []answer{
		r.call(http.MethodPost, "/v1/generate", strings.Replace(generateText, "{", `{"timeoutSeconds":2,`, 1)),
		r.call(http.MethodGet, "/v1/services/desk/fields", "", withHeader("X-Request-Timeout-Ms", "2000")),
	} {
		header := <-seen
		if header.Get("X-Request-Id") != got.header.Get("X-Request-Id") {
			t.Errorf("request ID %q, the caller's is %q", header.Get("X-Request-Id"), got.header.Get("X-Request-Id"))
		}
		var millis int
		if _, err := fmt.Sscan(header.Get("X-Request-Timeout-Ms"), &millis); err != nil || millis < 1 || millis > 2000 {
			t.Errorf("remaining time is %q", header.Get("X-Request-Timeout-Ms"))
		}
	}
}

// Two callers ask at once, each for its own prompt, over the same connections.
// An answer that is matched by anything but its request would reach the other.
func TestAnswersAreNotCrossed(t *testing.T) {
	r := newRig(t, rigOptions{})
	echo := func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		_, _ = w.Write(body)
	}
	r.service("s1", echo)
	r.service("s2", echo)
	results := make(chan string, 64)
	for n := range cap(results) {
		go func() {
			text := fmt.Sprint("tree ", n)
			got, err := r.try(http.MethodPost, "/v1/services/desk/deposit", text)
			if err != nil || string(got.body) != text {
				results <- fmt.Sprintf("%q got %q %v", text, got.body, err)
				return
			}
			results <- ""
		}()
	}
	for range cap(results) {
		if problem := <-results; problem != "" {
			t.Error(problem)
		}
	}
}

// A path is passed on as the caller wrote it; an escaped slash that became a
// slash would name another booking.
func TestServicePathIsPassedOnAsWritten(t *testing.T) {
	r := newRig(t, rigOptions{})
	seen := make(chan string, 1)
	r.service("s1", func(_ http.ResponseWriter, q *http.Request) { seen <- q.RequestURI })
	for _, path := range []string{"/a%2Fb/c", "/a//b", "/a/../b", "/", "/x%20y?q=1&q=2", "/%E2%82%AC"} {
		if got := r.call(http.MethodGet, "/v1/services/desk"+path, ""); got.status != http.StatusOK {
			t.Errorf("%s: %d %s", path, got.status, got.body)
			continue
		}
		if uri := <-seen; uri != path {
			t.Errorf("%s arrived as %s", path, uri)
		}
	}
}
