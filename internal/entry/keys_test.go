package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// jsonEscaped returns text with every character written as a JSON escape.
func jsonEscaped(text string) string {
	var out strings.Builder
	for _, c := range text {
		fmt.Fprintf(&out, `\u%04X`, c)
	}
	return out.String()
}

// percentEscaped returns text with every byte written as a percent escape.
func percentEscaped(text string) string {
	var out strings.Builder
	for _, c := range []byte(text) {
		fmt.Fprintf(&out, "%%%02x", c)
	}
	return out.String()
}

// bodyWithPrompt returns the body of a generate call whose prompt is text.
// Escapes in text are not changed.
func bodyWithPrompt(text string) string {
	return `{"model":"berry-1","prompt":"` + text + `","maxTokens":4}`
}

// exposedKeyRequests send a key in a part of the request that could reach an
// upstream.
var exposedKeyRequests = map[string]func(h *harness) (answer, error){
	"path": func(h *harness) (answer, error) {
		return h.try(http.MethodGet, "/v1/services/desk/"+testSecret, "")
	},
	"path, percent-encoded": func(h *harness) (answer, error) {
		return h.try(http.MethodGet, "/v1/services/desk/"+percentEscaped(testSecret), "")
	},
	"path, percent-encoded twice": func(h *harness) (answer, error) {
		return h.try(http.MethodGet, "/v1/services/desk/"+strings.ReplaceAll(percentEscaped(testSecret), "%", "%25"), "")
	},
	"service name": func(h *harness) (answer, error) {
		return h.try(http.MethodGet, "/v1/services/"+testSecret, "")
	},
	"query": func(h *harness) (answer, error) {
		return h.try(http.MethodGet, "/v1/services/desk/x?key="+testSecret, "")
	},
	"query, percent-encoded": func(h *harness) (answer, error) {
		return h.try(http.MethodGet, "/v1/services/desk/x?"+percentEscaped(testKey)+"=1", "")
	},
	"body": func(h *harness) (answer, error) { return h.try(http.MethodPost, "/v1/services/desk/x", testKey) },
	"form": func(h *harness) (answer, error) {
		return h.try(http.MethodPost, "/v1/services/desk/x", "a="+percentEscaped(testSecret))
	},
	"prompt": func(h *harness) (answer, error) {
		return h.try(http.MethodPost, "/v1/generate", bodyWithPrompt(testSecret))
	},
	"JSON escape": func(h *harness) (answer, error) {
		return h.try(http.MethodPost, "/v1/generate", bodyWithPrompt(jsonEscaped(testSecret)))
	},
	"JSON escape in JSON": func(h *harness) (answer, error) {
		quoted, _ := json.Marshal(`"` + jsonEscaped(testSecret) + `"`)
		return h.try(http.MethodPost, "/v1/generate", bodyWithPrompt(strings.Trim(string(quoted), `"`)))
	},
	"JSON field name": func(h *harness) (answer, error) {
		return h.try(http.MethodPost, "/v1/services/desk/x", `{"`+testSecret+`":1}`)
	},
	"more layers of escapes than are decoded": func(h *harness) (answer, error) {
		return h.try(http.MethodPost, "/v1/services/desk/x", "%"+strings.Repeat("25", 20)+"41")
	},
	"header": func(h *harness) (answer, error) {
		return h.try(http.MethodGet, "/v1/services/desk/x", "", withHeader("Accept", testSecret))
	},
	"cookie": func(h *harness) (answer, error) {
		return h.try(http.MethodGet, "/v1/services/desk/x", "", withHeader("Cookie", "key="+url.QueryEscape(testKey)))
	},
	"idempotency key": func(h *harness) (answer, error) {
		return h.try(http.MethodPost, "/v1/services/desk/x", "", withHeader("Idempotency-Key", testKey))
	},
	"trailer": func(h *harness) (answer, error) {
		return h.try(http.MethodPost, "/v1/services/desk/x", "tree", func(q *http.Request) {
			q.ContentLength = -1
			q.Trailer = http.Header{"X-Key": {testKey}}
		})
	},
	"another caller's key": func(h *harness) (answer, error) {
		return h.try(http.MethodPost, "/v1/generate", bodyWithPrompt("use "+otherKey+" please"))
	},
	"another caller's key, escaped": func(h *harness) (answer, error) {
		return h.try(http.MethodPost, "/v1/generate", bodyWithPrompt(jsonEscaped(otherKey)))
	},
}

// A caller puts a key into a prompt, a link or one of its own headers. If the
// request were forwarded, the key could appear in the logs of an upstream, and
// readers of the logs could act for the client account.
func TestRequestWithExposedKeyIsNotRun(t *testing.T) {
	for name, call := range exposedKeyRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, harnessOptions{})
			h.engine("e1", scripted(func(s *script) { s.complete() }))
			h.service("s1", func(http.ResponseWriter, *http.Request) {})
			got, err := call(h)
			if err != nil || got.refusal.Code != fault.CodeKeyExposed || got.refusal.Execution != fault.NotRun {
				t.Errorf("got %d %s %v", got.status, got.body, err)
			}
			if seen := h.metered[0].bytes.Load() + h.metered[1].bytes.Load(); seen != 0 {
				t.Errorf("the upstreams got %d bytes", seen)
			}
		})
	}
}

// Ordinary text may contain escapes or something that resembles a key. Refusing
// it would fail valid requests.
func TestTextWithoutActiveKeyIsAccepted(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.engine("e1", scripted(func(s *script) { s.complete() }))
	for _, text := range []string{
		`100 % sure`, `50%25 off`, `a \"quoted\" word`, `a line\nand another\t`, `dwp_k1_`, `dwp_k1_0123456789abcdef`,
		`\\\\\\\\`, `\u20ac 5 and \ud83c\udf53`, withdrawnKey, `%zz %`, `\\u00`,
	} {
		if got := h.call(http.MethodPost, "/v1/generate", bodyWithPrompt(text)); got.status != http.StatusOK {
			t.Errorf("%s: %d %s", text, got.status, got.body)
		}
	}
}

// Streams are retried and resumed at another engine, a GET is retried, and
// callers send additional headers. An attempt that copied the caller's request
// instead of building a new one would forward the key.
func TestUpstreamsReceiveNoKey(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	seen := make(chan string, 64)
	record := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			seen <- fmt.Sprint(q.Method, q.RequestURI, q.Host, q.Header, string(body), q.Trailer)
			q.Body = io.NopCloser(bytes.NewReader(body))
			next(w, q)
		}
	}
	h.engine("e1", record(scripted(func(s *script) { s.chunk(s.resume, "a"); s.disconnect() })))
	h.engine("e2", record(scripted(func(s *script) { s.complete() })))
	h.service("s1", record(abort))
	h.service("s2", record(func(http.ResponseWriter, *http.Request) {}))
	extra := func(q *http.Request) {
		q.Header.Add("Authorization", "Bearer "+otherKey)
		q.Header.Set("X-Forwarded-For", "10.0.0.1")
	}
	h.call(http.MethodPost, "/v1/generate", generateText, extra)
	h.call(http.MethodPost, "/v1/generate", streamText("16"), extra)
	h.call(http.MethodGet, "/v1/services/desk/fields", "", extra)
	h.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", extra, withIdempotencyKey)
	h.call(http.MethodPost, "/v1/services/desk/deposit", "tree 18", extra)
	attempts := len(seen)
	for range attempts {
		text := <-seen
		for _, forbidden := range []string{testSecret, otherSecret, "dwp_", "Authorization", "X-Forwarded-For"} {
			if strings.Contains(text, forbidden) {
				t.Errorf("an upstream got %q in %s", forbidden, text)
			}
		}
	}
	if attempts < 7 {
		t.Errorf("only %d attempts were seen", attempts)
	}
}

// A key is withdrawn after a request was authenticated and before its session
// began. CancelWithdrawnKeys does not see the session, so without a second check
// the request would run to completion.
func TestKeyWithdrawnBetweenCheckAndSession(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	m := h.engine("e1", scripted(func(s *script) { s.complete() }))
	h.configurationAge.hook = func() { h.withdraw("k1") }
	got := h.call(http.MethodPost, "/v1/generate", generateText)
	if got.refusal.Code != fault.CodeKeyWithdrawn || got.refusal.Execution != fault.NotRun || m.bytes.Load() != 0 {
		t.Errorf("got %d %s, the engine %d bytes", got.status, got.body, m.bytes.Load())
	}
}

// Many people can read logs, so these must not contain keys. Every request of
// this test contains a key, and many fail with errors that could quote their
// input.
func TestNoOutputContainsAKey(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.engine("e1", scripted(func(s *script) { s.chunk(s.resume, "a"); s.disconnect() }))
	h.service("s1", abort)
	var answers strings.Builder
	record := func(got answer, err error) { fmt.Fprintln(&answers, got.header, string(got.body), err) }
	for _, call := range exposedKeyRequests {
		record(call(h))
	}
	record(h.try(http.MethodGet, "/v2/"+testSecret, ""))
	record(h.try(testSecret, "/v1/generate", ""))
	record(h.try(http.MethodPatch, "/v1/services/"+testSecret, ""))
	record(h.try(http.MethodPost, "/v1/generate", `{"`+testSecret+`":1}`))
	record(h.try(http.MethodPost, "/v1/generate", generateText))
	record(h.try(http.MethodPost, "/v1/services/desk/x", "tree", withIdempotencyKey))
	for _, header := range []string{testKey, "Bearer x" + testKey, "Bearer dwp_" + testSecret, "Bearer " + withdrawnKey, "Bearer " + noContractKey, "Bearer dwp_k1_" + otherSecret} {
		record(h.try(http.MethodPost, "/v1/generate", generateText, withHeader("Authorization", header)))
	}
	h.withdraw("k1")
	record(h.try(http.MethodPost, "/v1/generate", generateText))

	events, err := json.Marshal(h.events.Since(event.Stamp{}))
	if err != nil {
		t.Fatal(err)
	}
	rows, err := h.tables.Scan(t.Context(), "", "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	store, err := json.Marshal(rows)
	if err != nil {
		t.Fatal(err)
	}
	outputs := map[string]string{
		"log": h.log.String(), "events": string(events), "metrics": h.metrics(), "answers": answers.String(),
		"store": string(store), "snapshot": fmt.Sprint(*h.view.Load()),
	}
	for name, text := range outputs {
		if text == "" {
			t.Errorf("%s is empty", name)
		}
		for _, secret := range []string{testSecret, otherSecret, strings.SplitN(withdrawnKey, "_", 3)[2], strings.SplitN(noContractKey, "_", 3)[2]} {
			if strings.Contains(text, secret) {
				at := strings.Index(text, secret)
				t.Errorf("%s contains a key: …%s…", name, text[max(0, at-80):at+len(secret)])
			}
		}
	}
}

// metrics returns the text of the metrics endpoint.
func (h *harness) metrics() string {
	got := h.call(http.MethodGet, "/metrics", "")
	return string(got.body)
}

func FuzzUnescape(f *testing.F) {
	for _, seed := range []string{"%41", `\u0041`, `\\`, "%", `\`, "%4", `\u004`, "plain"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		next := unescape(text)
		if next != nil && len(next) >= len(text) {
			t.Errorf("unescaping %q gave %q, which is not shorter", text, next)
		}
		detector := keyDetector{secret: []byte(testSecret), snapshot: contract.EmptySnapshot()}
		escaped := append([]byte(percentEscaped(testSecret)), text...)
		if !detector.containsKey(escaped) {
			t.Errorf("the escaped secret before %q was not found", text)
		}
	})
}
