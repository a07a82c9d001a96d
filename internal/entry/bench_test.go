package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"dogwoodpond/internal/engine"
)

// benchEngine answers one short stream at once.
func benchEngine(w http.ResponseWriter, r *http.Request) {
	scripted(func(s *script) { s.whole() })(w, r)
}

// BenchmarkGenerate measures one generate call without the callers' network:
// the handler, the dispatch by a stand-in that never queues, and one stream
// over loopback. Run it with -cpu 1 for requests a second on one core.
func BenchmarkGenerate(b *testing.B) {
	r := newRig(b, rigOptions{quiet: true})
	r.engine("e1", benchEngine)
	handler := r.server.Handler()
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

// BenchmarkAdmit measures what comes before the dispatch: the key, the contract
// and the look for exposed keys in a body of 4 KB.
func BenchmarkAdmit(b *testing.B) {
	r := newRig(b, rigOptions{quiet: true})
	body := bytes.Repeat([]byte(`{"text":"a \"quoted\" line\n"}`), 200)[:4096]
	handler := r.server.Handler()
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

// BenchmarkAddedLatency makes the same call to the engine directly and through
// the server, in turn, over loopback. It reports both in microseconds and their
// ratio.
func BenchmarkAddedLatency(b *testing.B) {
	r := newRig(b, rigOptions{quiet: true})
	m := r.engine("e1", benchEngine)
	url := r.serve()
	direct, through := make([]time.Duration, 0, b.N), make([]time.Duration, 0, b.N)
	for b.Loop() {
		direct = append(direct, timed(b, func() *http.Request {
			body := fmt.Sprintf(`{"request_id":"r","model":%q,"prompt":"p","max_tokens":16,"stream":true}`, testModel)
			return benchRequest(b, m.URL+engine.PathCompletions, body)
		}))
		through = append(through, timed(b, func() *http.Request {
			request := benchRequest(b, url+"/v1/generate", generateText)
			request.Header.Set("Authorization", "Bearer "+testKey)
			return request
		}))
	}
	for _, p := range []struct {
		name string
		at   float64
	}{{"p50", 0.50}, {"p99", 0.99}} {
		d, t := quantile(direct, p.at), quantile(through, p.at)
		b.ReportMetric(float64(d.Microseconds()), p.name+"-direct-µs")
		b.ReportMetric(float64(t.Microseconds()), p.name+"-through-µs")
		b.ReportMetric(float64((t - d).Microseconds()), p.name+"-added-µs")
		b.ReportMetric(float64(t)/float64(d), p.name+"-ratio")
	}
}

func benchRequest(b *testing.B, url, body string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		b.Fatal(err)
	}
	return request
}

// timed sends a request and reads its whole answer.
func timed(b *testing.B, build func() *http.Request) time.Duration {
	request := build()
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("%d %v", response.StatusCode, err)
	}
	_ = response.Body.Close()
	return time.Since(started)
}

func quantile(all []time.Duration, at float64) time.Duration {
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[int(at*float64(len(sorted)-1))]
}
