package processtest

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/standin"
)

// leavingGracePeriod is the time during which an upstream that is listed as leaving
// may still receive requests, because the platform's list lags and the VMs poll it.
const leavingGracePeriod = 3 * time.Second

// The platform lists an engine and a service as leaving before it stops them. New
// requests sent to them would be interrupted by the stop: a stream would be
// truncated, and a deposit would have an unknown outcome.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 2, engines: 2, services: 2})
	key := f.grant(testContract("strathallan"))
	l := &loadGenerator{fleet: f, balancer: newBalancer(f, func() []*vm { return f.vms }), key: key, stop: make(chan struct{}), calls: make(map[string]int)}
	l.run("generate", 4, l.generate)
	l.run("unkeyed", 4, l.unkeyed)
	engine, service := f.engines[0], f.services[0]
	await(t, "work at the engine and the service", func() bool { return f.counts(engine).Started > 10 && f.counts(service).Started > 10 })
	for _, u := range []platformapi.Upstream{engine.Upstream, service.Upstream} {
		u.State = platformapi.UpstreamLeaving
		f.setUpstream(u)
	}
	time.Sleep(leavingGracePeriod)
	engineBefore, serviceBefore := f.counts(engine).Started, f.counts(service).Started
	before := l.total()
	await(t, "200 more calls", func() bool { return l.total() > before+200 })
	if now := f.counts(engine).Started; now != engineBefore {
		t.Errorf("the leaving engine received %d new requests", now-engineBefore)
	}
	if now := f.counts(service).Started; now != serviceBefore {
		t.Errorf("the leaving service received %d new calls", now-serviceBefore)
	}
	close(l.stop)
	l.workers.Wait()
	for _, problem := range l.failures {
		t.Error(problem)
	}
}

// total returns the number of calls made so far.
func (l *loadGenerator) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, n := range l.calls {
		total += n
	}
	return total
}

// An engine is killed while it answers streams. The streams must continue at another
// engine, so that callers see no more than a delay.
func TestKilledEngineFailsNoStream(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 2, engines: 2, services: 1, engineArgs: []string{"--token-time", "5ms"}})
	key := f.grant(testContract("strathallan"))
	l := &loadGenerator{fleet: f, balancer: newBalancer(f, func() []*vm { return f.vms }), key: key, stop: make(chan struct{}), calls: make(map[string]int)}
	l.run("stream", 6, l.shortStream)
	await(t, "streams at the engine", func() bool { return f.counts(f.engines[0]).Started > 3 })
	f.engines[0].kill()
	before := l.total()
	await(t, "24 more streams", func() bool { return l.total() > before+24 })
	close(l.stop)
	l.workers.Wait()
	t.Logf("streams: %d, failed: %d", l.total(), len(l.failures))
	for _, problem := range l.failures {
		t.Error(problem)
	}
}

// latencies makes a number of generate calls, one after the other at each VM, and
// returns their sorted latencies.
func (f *fleet) latencies(t *testing.T, key string, calls int) []time.Duration {
	t.Helper()
	var mu sync.Mutex
	var workers sync.WaitGroup
	times := make([]time.Duration, 0, calls)
	for w, v := range f.vms {
		workers.Go(func() {
			for n := range calls / len(f.vms) {
				started := time.Now()
				status, answer := f.generate(v, key, fmt.Sprint("latency ", w, n), 16)
				mu.Lock()
				times = append(times, time.Since(started))
				if status != http.StatusOK {
					t.Errorf("%s: %d %s", v.id, status, answer)
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	slices.Sort(times)
	return times
}

// The platform freezes: the store, the lists and billing are unresponsive. A
// generation that waited for one of them would not end. The test logs the latencies
// with a healthy and a frozen platform.
func TestFrozenPlatformDoesNotSlowGenerations(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a", "b", "c"}, vms: 1, engines: 1})
	key := f.grant(testContract("strathallan"))
	const calls = 600
	f.latencies(t, key, calls/4)
	healthy := f.latencies(t, key, calls)
	f.addFault(f.platformURL, standin.Fault{Path: "/", Mode: standin.FaultFreeze})
	frozen := f.latencies(t, key, calls)
	f.clearFaults(f.platformURL)
	for _, p := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		h, z := healthy[int(p.at*calls)], frozen[int(p.at*calls)]
		t.Logf("%s: healthy %v, frozen %v, ratio %.2f", p.name, h.Round(10*time.Microsecond), z.Round(10*time.Microsecond), float64(z)/float64(h))
	}
}
