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

// leavingGrace is how long a leaving upstream may still get new work: the
// platform's list lags, and the VMs poll it.
const leavingGrace = 3 * time.Second

// The platform is about to stop an engine and a desk and lists them as leaving.
// Work that they still get is cut off when they stop: a stream breaks, and a
// deposit has an unknown outcome.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a", "b"}, vms: 2, engines: 2, desks: 2})
	key := f.grant(testContract("strathallan"))
	l := &load{fleet: f, balancer: newBalancer(f, func() []*vm { return f.vms }), key: key, stop: make(chan struct{}), served: make(map[string]int)}
	l.run("generate", 4, l.generate)
	l.run("unkeyed", 4, l.unkeyed)
	engine, desk := f.engines[0], f.desks[0]
	await(t, "both get work", func() bool { return f.counts(engine).Started > 10 && f.counts(desk).Started > 10 })
	for _, u := range []platformapi.Upstream{engine.Upstream, desk.Upstream} {
		u.State = platformapi.UpstreamLeaving
		f.setUpstream(u)
	}
	time.Sleep(leavingGrace)
	engineBefore, deskBefore := f.counts(engine).Started, f.counts(desk).Started
	served := l.total()
	await(t, "the others serve on", func() bool { return l.total() > served+200 })
	if now := f.counts(engine).Started; now != engineBefore {
		t.Errorf("the leaving engine got %d new requests", now-engineBefore)
	}
	if now := f.counts(desk).Started; now != deskBefore {
		t.Errorf("the leaving desk got %d new calls", now-deskBefore)
	}
	close(l.stop)
	l.workers.Wait()
	for _, problem := range l.failures {
		t.Error(problem)
	}
}

func (l *load) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, n := range l.served {
		total += n
	}
	return total
}

// An engine and a desk die without notice in the middle of their work. Callers
// must not notice more than a delay: generations go on elsewhere, and a deposit
// that was cut off is told as unknown, never as "not run".
func TestCrashedUpstreamsLoseNoGeneration(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a", "b"}, vms: 2, engines: 2, desks: 1, engineArgs: []string{"--token-time", "5ms"}})
	key := f.grant(testContract("strathallan"))
	l := &load{fleet: f, balancer: newBalancer(f, func() []*vm { return f.vms }), key: key, stop: make(chan struct{}), served: make(map[string]int)}
	l.run("stream", 6, l.shortStream)
	await(t, "streams run at the engine", func() bool { return f.counts(f.engines[0]).Started > 3 })
	f.engines[0].kill()
	served := l.total()
	await(t, "the streams go on", func() bool { return l.total() > served+24 })
	close(l.stop)
	l.workers.Wait()
	t.Logf("streams: %d, failed: %d", l.total(), len(l.failures))
	for _, problem := range l.failures {
		t.Error(problem)
	}
}

// latencies makes calls one after the other and returns their sorted times.
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

// The whole platform hangs: its store, its lists, billing. Requests that wait
// for any of it on their way stop with it.
func TestFrozenPlatformDoesNotSlowGenerations(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a", "b", "c"}, vms: 1, engines: 1})
	key := f.grant(testContract("strathallan"))
	const calls = 600
	f.latencies(t, key, calls/4)
	healthy := f.latencies(t, key, calls)
	f.addFault(f.platURL, standin.Fault{Path: "/", Mode: standin.FaultFreeze})
	frozen := f.latencies(t, key, calls)
	f.clearFaults(f.platURL)
	for _, p := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		h, z := healthy[int(p.at*calls)], frozen[int(p.at*calls)]
		t.Logf("%s: healthy %v, frozen %v, ratio %.2f", p.name, h.Round(10*time.Microsecond), z.Round(10*time.Microsecond), float64(z)/float64(h))
	}
}
