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

// jsonEscaped writes every character of a text as a JSON escape.
func jsonEscaped(text string) string {
	var out strings.Builder
	for _, c := range text {
		fmt.Fprintf(&out, `\u%04X`, c)
	}
	return out.String()
}

// percentEscaped writes every character of a text as a percent escape.
func percentEscaped(text string) string {
	var out strings.Builder
	for _, c := range []byte(text) {
		fmt.Fprintf(&out, "%%%02x", c)
	}
	return out.String()
}

func prompt(text string) string {
	return `{"model":"berry-1","prompt":"` + text + `","maxTokens":4}`
}

// exposures are requests that carry a key where an upstream could see it.
var exposures = map[string]func(r *rig) (answer, error){
	"path": func(r *rig) (answer, error) {
		return r.try(http.MethodGet, "/v1/services/desk/"+testSecret, "")
	},
	"path, percent-encoded": func(r *rig) (answer, error) {
		return r.try(http.MethodGet, "/v1/services/desk/"+percentEscaped(testSecret), "")
	},
	"path, percent-encoded twice": func(r *rig) (answer, error) {
		return r.try(http.MethodGet, "/v1/services/desk/"+strings.ReplaceAll(percentEscaped(testSecret), "%", "%25"), "")
	},
	"service name": func(r *rig) (answer, error) {
		return r.try(http.MethodGet, "/v1/services/"+testSecret, "")
	},
	"query": func(r *rig) (answer, error) {
		return r.try(http.MethodGet, "/v1/services/desk/x?key="+testSecret, "")
	},
	"query, percent-encoded": func(r *rig) (answer, error) {
		return r.try(http.MethodGet, "/v1/services/desk/x?"+percentEscaped(testKey)+"=1", "")
	},
	"body": func(r *rig) (answer, error) { return r.try(http.MethodPost, "/v1/services/desk/x", testKey) },
	"form": func(r *rig) (answer, error) {
		return r.try(http.MethodPost, "/v1/services/desk/x", "a="+percentEscaped(testSecret))
	},
	"prompt": func(r *rig) (answer, error) { return r.try(http.MethodPost, "/v1/generate", prompt(testSecret)) },
	"JSON escape": func(r *rig) (answer, error) {
		return r.try(http.MethodPost, "/v1/generate", prompt(jsonEscaped(testSecret)))
	},
	"JSON escape in JSON": func(r *rig) (answer, error) {
		quoted, _ := json.Marshal(`"` + jsonEscaped(testSecret) + `"`)
		return r.try(http.MethodPost, "/v1/generate", prompt(strings.Trim(string(quoted), `"`)))
	},
	"JSON field name": func(r *rig) (answer, error) {
		return r.try(http.MethodPost, "/v1/services/desk/x", `{"`+testSecret+`":1}`)
	},
	"seventeen layers": func(r *rig) (answer, error) {
		return r.try(http.MethodPost, "/v1/services/desk/x", "%"+strings.Repeat("25", 20)+"41")
	},
	"header": func(r *rig) (answer, error) {
		return r.try(http.MethodGet, "/v1/services/desk/x", "", withHeader("Accept", testSecret))
	},
	"cookie": func(r *rig) (answer, error) {
		return r.try(http.MethodGet, "/v1/services/desk/x", "", withHeader("Cookie", "key="+url.QueryEscape(testKey)))
	},
	"idempotency key": func(r *rig) (answer, error) {
		return r.try(http.MethodPost, "/v1/services/desk/x", "", withHeader("Idempotency-Key", testKey))
	},
	"trailer": func(r *rig) (answer, error) {
		return r.try(http.MethodPost, "/v1/services/desk/x", "tree", func(q *http.Request) {
			q.ContentLength = -1
			q.Trailer = http.Header{"X-Key": {testKey}}
		})
	},
	"another caller's key": func(r *rig) (answer, error) {
		return r.try(http.MethodPost, "/v1/generate", prompt("use "+otherKey+" please"))
	},
	"another caller's key, escaped": func(r *rig) (answer, error) {
		return r.try(http.MethodPost, "/v1/generate", prompt(jsonEscaped(otherKey)))
	},
}

// A caller pastes its key into a prompt, a link or a header of its own. Passed
// on, the key would lie in an upstream's logs, and whoever reads them could act
// for the client account.
func TestRequestThatCarriesAKeyElsewhereIsNotRun(t *testing.T) {
	for name, call := range exposures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, rigOptions{})
			r.engine("e1", scripted(func(s *script) { s.whole() }))
			r.service("s1", func(http.ResponseWriter, *http.Request) {})
			got, err := call(r)
			if err != nil || got.refusal.Code != fault.CodeKeyExposed || got.refusal.Execution != fault.NotRun {
				t.Errorf("got %d %s %v", got.status, got.body, err)
			}
			if seen := r.metered[0].bytes.Load() + r.metered[1].bytes.Load(); seen != 0 {
				t.Errorf("the upstreams got %d bytes", seen)
			}
		})
	}
}

// Text with escapes, or with something that looks like a key, is ordinary; a
// check that refuses it loses honest requests.
func TestOrdinaryTextIsNotTakenForAKey(t *testing.T) {
	r := newRig(t, rigOptions{})
	r.engine("e1", scripted(func(s *script) { s.whole() }))
	for _, text := range []string{
		`100 % sure`, `50%25 off`, `a \"quoted\" word`, `a line\nand another\t`, `dwp_k1_`, `dwp_k1_0123456789abcdef`,
		`\\\\\\\\`, `\u20ac 5 and \ud83c\udf53`, goneKey, `%zz %`, `\\u00`,
	} {
		if got := r.call(http.MethodPost, "/v1/generate", prompt(text)); got.status != http.StatusOK {
			t.Errorf("%s: %d %s", text, got.status, got.body)
		}
	}
}

// A stream breaks, is retried and resumed elsewhere; a GET is repeated; callers
// bring headers of their own. An attempt that is built from the caller's
// request, and not anew, takes the key along.
func TestNoAttemptCarriesTheKey(t *testing.T) {
	r := newRig(t, rigOptions{})
	seen := make(chan string, 64)
	record := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			seen <- fmt.Sprint(q.Method, q.RequestURI, q.Host, q.Header, string(body), q.Trailer)
			q.Body = io.NopCloser(bytes.NewReader(body))
			next(w, q)
		}
	}
	r.engine("e1", record(scripted(func(s *script) { s.chunk(s.resume, "a"); s.cut() })))
	r.engine("e2", record(scripted(func(s *script) { s.whole() })))
	r.service("s1", record(abort))
	r.service("s2", record(func(http.ResponseWriter, *http.Request) {}))
	extra := func(q *http.Request) {
		q.Header.Add("Authorization", "Bearer "+otherKey)
		q.Header.Set("X-Forwarded-For", "10.0.0.1")
	}
	r.call(http.MethodPost, "/v1/generate", generateText, extra)
	r.call(http.MethodPost, "/v1/generate", streamText("16"), extra)
	r.call(http.MethodGet, "/v1/services/desk/fields", "", extra)
	r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", extra, keyed)
	r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 18", extra)
	attempts := len(seen)
	for range attempts {
		text := <-seen
		for _, hidden := range []string{testSecret, otherSecret, "dwp_", "Authorization", "X-Forwarded-For"} {
			if strings.Contains(text, hidden) {
				t.Errorf("an upstream got %q in %s", hidden, text)
			}
		}
	}
	if attempts < 7 {
		t.Errorf("only %d attempts were seen", attempts)
	}
}

// A key is withdrawn after a request was authenticated and before its session
// is known. The withdrawal's sweep misses it, and it would run to its end.
func TestWithdrawalBetweenCheckAndSession(t *testing.T) {
	r := newRig(t, rigOptions{})
	m := r.engine("e1", scripted(func(s *script) { s.whole() }))
	r.ager.hook = func() { r.withdraw("k1") }
	got := r.call(http.MethodPost, "/v1/generate", generateText)
	if got.refusal.Code != fault.CodeKeyWithdrawn || got.refusal.Execution != fault.NotRun || m.bytes.Load() != 0 {
		t.Errorf("got %d %s, the engine %d bytes", got.status, got.body, m.bytes.Load())
	}
}

// Keys end up in logs, and logs are read by many. Every request of this test
// carries a key in some way, and many fail in ways that quote their input.
func TestNoOutputHoldsAKey(t *testing.T) {
	r := newRig(t, rigOptions{})
	r.engine("e1", scripted(func(s *script) { s.chunk(s.resume, "a"); s.cut() }))
	r.service("s1", abort)
	var answers strings.Builder
	note := func(got answer, err error) { fmt.Fprintln(&answers, got.header, string(got.body), err) }
	for _, call := range exposures {
		note(call(r))
	}
	note(r.try(http.MethodGet, "/v2/"+testSecret, ""))
	note(r.try(testSecret, "/v1/generate", ""))
	note(r.try(http.MethodPatch, "/v1/services/"+testSecret, ""))
	note(r.try(http.MethodPost, "/v1/generate", `{"`+testSecret+`":1}`))
	note(r.try(http.MethodPost, "/v1/generate", generateText))
	note(r.try(http.MethodPost, "/v1/services/desk/x", "tree", keyed))
	for _, header := range []string{testKey, "Bearer x" + testKey, "Bearer dwp_" + testSecret, "Bearer " + goneKey, "Bearer " + bareKey, "Bearer dwp_k1_" + otherSecret} {
		note(r.try(http.MethodPost, "/v1/generate", generateText, withHeader("Authorization", header)))
	}
	r.withdraw("k1")
	note(r.try(http.MethodPost, "/v1/generate", generateText))

	events, err := json.Marshal(r.events.Since(event.Stamp{}))
	if err != nil {
		t.Fatal(err)
	}
	rows, err := r.tables.Scan(t.Context(), "", "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	store, err := json.Marshal(rows)
	if err != nil {
		t.Fatal(err)
	}
	outputs := map[string]string{
		"log": r.log.String(), "events": string(events), "metrics": r.metrics(), "answers": answers.String(),
		"store": string(store), "snapshot": fmt.Sprint(*r.view.Load()),
	}
	for name, text := range outputs {
		if text == "" {
			t.Errorf("%s: nothing to look at", name)
		}
		for _, secret := range []string{testSecret, otherSecret, strings.SplitN(goneKey, "_", 3)[2], strings.SplitN(bareKey, "_", 3)[2]} {
			if strings.Contains(text, secret) {
				at := strings.Index(text, secret)
				t.Errorf("%s holds a key: …%s…", name, text[max(0, at-80):at+len(secret)])
			}
		}
	}
}

// metrics returns the text of all metrics.
func (r *rig) metrics() string {
	got := r.call(http.MethodGet, "/metrics", "")
	return string(got.body)
}

func FuzzUnescape(f *testing.F) {
	for _, seed := range []string{"%41", `\u0041`, `\\`, "%", `\`, "%4", `\u004`, "plain"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		next := unescape(text)
		if next != nil && len(next) >= len(text) {
			t.Errorf("%q grew to %q", text, next)
		}
		guard := exposureGuard{secret: []byte(testSecret), snapshot: contract.Empty()}
		escaped := append([]byte(percentEscaped(testSecret)), text...)
		if !guard.exposed(escaped) {
			t.Errorf("the secret before %q was missed", text)
		}
	})
}
