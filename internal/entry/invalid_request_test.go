package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/fault"
)

// invalidRequests are requests that no handler can serve.
var invalidRequests = []struct {
	name, method, path, body string
	status                   int
	code                     fault.Code
}{
	{"empty body", http.MethodPost, "/v1/generate", "", 400, fault.CodeBadRequest},
	{"half an object", http.MethodPost, "/v1/generate", `{"model":"be`, 400, fault.CodeBadRequest},
	{"two objects", http.MethodPost, "/v1/generate", generateText + generateText, 400, fault.CodeBadRequest},
	{"an array", http.MethodPost, "/v1/generate", `[]`, 400, fault.CodeBadRequest},
	{"null", http.MethodPost, "/v1/generate", `null`, 400, fault.CodeBadRequest},
	{"wrong type", http.MethodPost, "/v1/generate", `{"model":7,"prompt":"p","maxTokens":1}`, 400, fault.CodeBadRequest},
	{"number out of range", http.MethodPost, "/v1/generate", `{"model":"m","prompt":"p","maxTokens":1e99}`, 400, fault.CodeBadRequest},
	{"too many tokens", http.MethodPost, "/v1/generate", `{"model":"m","prompt":"p","maxTokens":131073}`, 400, fault.CodeBadRequest},
	{"negative timeout", http.MethodPost, "/v1/generate", `{"model":"m","prompt":"p","maxTokens":1,"timeoutSeconds":-1}`, 400, fault.CodeBadRequest},
	{"timeout out of range", http.MethodPost, "/v1/generate", `{"model":"m","prompt":"p","maxTokens":1,"timeoutSeconds":9223372036854775807}`, 400, fault.CodeBadRequest},
	{"deep nesting", http.MethodPost, "/v1/generate", strings.Repeat("[", 4000), 400, fault.CodeBadRequest},
	{"body above the limit", http.MethodPost, "/v1/generate", strings.Repeat(" ", 4097), 413, fault.CodeBodyTooLarge},
	{"unknown path", http.MethodPost, "/v1/nothing", "", 404, fault.CodeRouteUnknown},
	{"root", http.MethodGet, "/", "", 404, fault.CodeRouteUnknown},
	{"doubled slash before a service", http.MethodGet, "//v1/services/desk/x", "", 400, fault.CodeBadRequest},
	{"dots", http.MethodPost, "/v1/../v1/generate", generateText, 404, fault.CodeRouteUnknown},
	{"wrong method", http.MethodGet, "/v1/generate", "", 405, fault.CodeRouteUnknown},
	{"made-up method", "BREW", "/v1/services/desk/pot", "", 405, fault.CodeRouteUnknown},
	{"step is not JSON", http.MethodPut, "/v1/steps/s1", `{`, 400, fault.CodeBadRequest},
	{"step without groups", http.MethodPut, "/v1/steps/s1", `{"model":"m","maxTokens":8}`, 400, fault.CodeBadRequest},
	{"ack is not JSON", http.MethodPost, "/v1/steps/s1/ack", `x`, 400, fault.CodeBadRequest},
	{"parameter is not a number", http.MethodGet, "/v1/steps/s1/samples?after=x", "", 400, fault.CodeBadRequest},
	{"invalid escape in the query", http.MethodGet, "/v1/services/desk/x?a=%zz", "", 400, fault.CodeBadRequest},
	{"query with semicolon", http.MethodGet, "/v1/services/desk/x?a=1;b=2", "", 400, fault.CodeBadRequest},
}

// A VM receives invalid requests from faulty scripts, scanners and faulty
// proxies. Without a code, a caller can't tell what to correct, and a panic or
// a redirect would look like a fault of the VM.
func TestInvalidRequestGetsTypedRefusal(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	for _, c := range invalidRequests {
		t.Run(c.name, func(t *testing.T) {
			got := h.call(c.method, c.path, c.body)
			if got.status != c.status || got.refusal.Code != c.code || got.refusal.Execution != fault.NotRun {
				t.Errorf("got %d %s", got.status, got.body)
			}
			wantCompleteRefusal(t, got)
		})
	}
	if strings.Contains(h.log.String(), "panic") {
		t.Error("a handler panicked")
	}
}

// wantCompleteRefusal checks that a refusal is JSON and has all fields.
func wantCompleteRefusal(t *testing.T, got answer) {
	t.Helper()
	if got.header.Get("Content-Type") != "application/json" {
		t.Errorf("the refusal has content type %s", got.header.Get("Content-Type"))
	}
	var fields map[string]any
	if err := json.Unmarshal(got.body, &fields); err != nil {
		t.Fatalf("%v in %s", err, got.body)
	}
	for _, name := range []string{"code", "execution", "retryAfterSeconds", "requestId", "message"} {
		if _, ok := fields[name]; !ok {
			t.Errorf("the refusal has no field %s", name)
		}
	}
	if fields["requestId"] == "" || fields["requestId"] != got.header.Get("X-Request-Id") {
		t.Errorf("request ID is %v in the body and %q in the header", fields["requestId"], got.header.Get("X-Request-Id"))
	}
}

// invalidKeys are Authorization headers without a valid key.
var invalidKeys = []string{
	"", " ", "Bearer", "Bearer ", "bearer " + testKey, "Basic ZHdw", "Bearer dwp_", "Bearer dwp__", "Bearer dwp_k1",
	"Bearer dwp_k1_", "Bearer dwp_k1_short", "Bearer " + testKey + "x", "Bearer  " + testKey, "Bearer DWP_k1_" + testSecret,
	"Bearer dwp_K1_" + testSecret, "Bearer dwp_\u20ac_0123456789abcdef", "Bearer " + strings.Repeat("dwp_", 1000),
}

// Keys are malformed or wrong in different ways. If the refusals differed, an
// attacker who guesses keys would learn which part of a key was right.
func TestInvalidKeysGetTheSameRefusal(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	for _, header := range invalidKeys {
		got := h.call(http.MethodPost, "/v1/generate", generateText, withHeader("Authorization", header))
		want := fault.CodeKeyInvalid
		if strings.TrimSpace(header) == "" {
			want = fault.CodeKeyMissing
		}
		if got.status != http.StatusUnauthorized || got.refusal.Code != want || got.refusal.Execution != fault.NotRun {
			t.Errorf("%q: %d %s", header, got.status, got.body)
		}
		wantCompleteRefusal(t, got)
	}
}

// A handler panics because of a defect. Its caller must get a refusal, and
// other requests must not be affected.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.engine("e1", scripted(func(s *script) { s.complete() }))
	var dispatched atomic.Int64
	h.dispatcher.hook = func(context.Context, dispatch.Work) error {
		if dispatched.Add(1) == 1 {
			panic("defect")
		}
		return nil
	}
	got := h.call(http.MethodPost, "/v1/generate", generateText)
	if got.status != http.StatusInternalServerError || got.refusal.Code != fault.CodeInternal || got.refusal.Execution != fault.Unknown {
		t.Errorf("got %d %s", got.status, got.body)
	}
	wantCompleteRefusal(t, got)
	if got := h.call(http.MethodPost, "/v1/generate", generateText); got.status != http.StatusOK {
		t.Errorf("the next request got %d %s", got.status, got.body)
	}
}

// A handler panics in the middle of a stream. If the response ended normally,
// the partial answer would look complete to a caller that relies on HTTP.
func TestPanicInStreamClosesTheConnection(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.engine("e1", scripted(func(s *script) { s.chunk(0, "a"); s.disconnect() }))
	var dispatched atomic.Int64
	h.dispatcher.hook = func(context.Context, dispatch.Work) error {
		if dispatched.Add(1) > 1 {
			panic("defect")
		}
		return nil
	}
	if part, err := h.try(http.MethodPost, "/v1/generate", streamText("16")); err == nil {
		t.Errorf("the stream ended without an error after %s", part.body)
	}
}

// A caller announces a body and sends less, or sends an invalid chunk. A call
// with an incomplete body must not reach the service.
func TestIncompleteBodyIsNotRun(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	m := h.service("s1", func(http.ResponseWriter, *http.Request) {})
	address := strings.TrimPrefix(h.serve(), "http://")
	for _, rest := range []string{
		"Content-Length: 100\r\n\r\nhalf",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /v1/services/desk/deposit HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s", testKey, rest)
		_ = conn.(*net.TCPConn).CloseWrite()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%q: %v", rest, err)
			continue
		}
		body, _ := io.ReadAll(response.Body)
		var refusal Refusal
		if json.Unmarshal(body, &refusal) != nil || refusal.Code != fault.CodeBadRequest || refusal.Execution != fault.NotRun {
			t.Errorf("%q: %d %s", rest, response.StatusCode, body)
		}
		_ = conn.Close()
	}
	if m.bytes.Load() != 0 {
		t.Errorf("the service got %d bytes", m.bytes.Load())
	}
}

// A caller sends a part of its body and then nothing, on an open connection.
// Without a timeout, its request would stay open forever, and a planned stop
// would wait for it.
func TestStalledBodyTimesOut(t *testing.T) {
	h := newHarness(t, harnessOptions{bodyTimeout: 100 * time.Millisecond})
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.serve(), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /v1/generate HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nhalf", testKey)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	var refusal Refusal
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil || refusal.Code != fault.CodeBadRequest || refusal.Execution != fault.NotRun {
		t.Errorf("got %d %+v %v", response.StatusCode, refusal, err)
	}
}

func FuzzGenerateBody(f *testing.F) {
	for _, c := range invalidRequests {
		f.Add([]byte(c.body))
	}
	f.Add([]byte(generateText))
	f.Fuzz(func(t *testing.T, body []byte) {
		call, err := parseGenerate(body)
		if err != nil {
			if fault.CodeOf(err) != fault.CodeBadRequest || fault.ExecutionOf(err) != fault.NotRun {
				t.Errorf("%q: %v", body, err)
			}
			return
		}
		if call.Model == "" || call.Prompt == "" || call.MaxTokens < 1 || call.MaxTokens > maxTokensLimit || call.timeout() <= 0 {
			t.Errorf("%q was read as %+v", body, call)
		}
	})
}
