package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
)

// benchEngine immediately answers with one short stream.
func benchEngine(w http.ResponseWriter, r *http.Request) {
	scripted(func(s *script) { s.complete() })(w, r)
}

// BenchmarkGenerate measures one generate call without the network of the
// caller: the handler, the dispatch by a fake dispatcher that never queues, and
// one stream over loopback. Run it with -cpu 1 for requests per second on one
// core.
func BenchmarkGenerate(b *testing.B) {
	h := newHarness(b, harnessOptions{quiet: true})
	h.engine("e1", benchEngine)
	handler := h.server.Handler()
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodPost, "/v1/generate", bytes.NewReader([]byte(generateText)))
		request.Header.Set("Authorization", "Bearer "+testKey)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			b.Fatalf("%d %s", recorder.Code, recorder.Body)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkAdmit measures the checks before the dispatch: the key, the
// contract, and the search for exposed keys in a body of 4 KB.
func BenchmarkAdmit(b *testing.B) {
	h := newHarness(b, harnessOptions{quiet: true})
	body := bytes.Repeat([]byte(`{"text":"a \"quoted\" line\n"}`), 200)[:4096]
	handler := h.server.Handler()
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		request := httptest.NewRequest(http.MethodPost, "/v1/generate", bytes.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+testKey)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusBadRequest {
			b.Fatalf("%d %s", recorder.Code, recorder.Body)
		}
	}
}
