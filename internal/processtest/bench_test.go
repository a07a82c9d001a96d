package processtest

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"dogwoodpond/internal/engine"
)

// BenchmarkAddedLatency alternately requests a completion directly from an engine
// process and the same completion through a daemon process. It reports p50 and p99
// of both latencies, their differences in microseconds and their ratios.
func BenchmarkAddedLatency(b *testing.B) {
	f := startFleet(b, topology{domains: []string{"a"}, vms: 1, engines: 1, engineArgs: []string{"--token-time", "0s", "--prefill-time", "0s"}})
	key := f.grant(testContract("strathallan"))
	completion := fmt.Appendf(nil, `{"request_id":"r","model":%q,"prompt":%q,"max_tokens":16,"stream":true}`, model, streamPrompt)
	var direct, through []time.Duration
	for b.Loop() {
		started := time.Now()
		status, answer := f.call(http.MethodPost, "http://"+f.engines[0].Address+engine.PathCompletions, completion, nil)
		direct = append(direct, time.Since(started))
		if status != http.StatusOK {
			b.Fatalf("direct: %d %s", status, answer)
		}
		started = time.Now()
		status, answer = f.generate(f.vms[0], key, streamPrompt, 16)
		through = append(through, time.Since(started))
		if status != http.StatusOK {
			b.Fatalf("through: %d %s", status, answer)
		}
	}
	slices.Sort(direct)
	slices.Sort(through)
	for _, p := range []struct {
		name    string
		percent int
	}{{"p50", 50}, {"p99", 99}} {
		at := (len(direct) - 1) * p.percent / 100
		d, t := direct[at], through[at]
		b.ReportMetric(float64(d.Microseconds()), p.name+"-direct-µs")
		b.ReportMetric(float64(t.Microseconds()), p.name+"-through-µs")
		b.ReportMetric(float64((t - d).Microseconds()), p.name+"-added-µs")
		b.ReportMetric(float64(t)/float64(d), p.name+"-ratio")
	}
}
