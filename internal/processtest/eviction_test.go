package processtest

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/standin"
)

// startEvictionFleet starts a fleet with one paid engine in each of two failure
// domains and two reclaimable engines in the second. It returns the fleet, a
// caller's key and the reclaimable engines.
func startEvictionFleet(t *testing.T) (*fleet, string, []upstreamProcess) {
	t.Helper()
	slow := []string{"--token-time", "10ms"}
	f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 2, engines: 1, engineArgs: slow})
	var reclaimable []upstreamProcess
	for n := range 2 {
		u := platformapi.Upstream{
			ID: fmt.Sprintf("cheap-b%d", n+1), Kind: platformapi.KindEngine, FailureDomain: "b",
			State: platformapi.UpstreamLive, Model: model, Slots: 8, Reclaimable: true,
		}
		reclaimable = append(reclaimable, f.startUpstream(u, append([]string{"engine"}, slow...)))
	}
	c := testContract("strathallan")
	c.Reclaimable.Percent = 60
	return f, f.grant(c), reclaimable
}

// step runs one step of a trainer in the background. The channel receives its
// result.
func (f *fleet) step(name, key string) <-chan standin.TrainerResult {
	var entries []string
	for _, v := range f.vms {
		entries = append(entries, v.callerAddress)
	}
	done := make(chan standin.TrainerResult, 1)
	go func() {
		result, err := standin.NewTrainer(standin.TrainerConfig{
			Entries: entries, Key: key, Step: name, Model: model, Groups: 16, Samples: 8, MaxTokens: 128, Timeout: waitTimeout,
		}).Run(f.t.Context())
		if err != nil {
			f.t.Errorf("step %s: %v", name, err)
		}
		done <- result
	}()
	return done
}

// workTokens returns the sum of dogwoodpond_work_tokens_total over all VMs for
// upstreams that are reclaimable, or for those that are not.
func (f *fleet) workTokens(reclaimable bool) (sum float64) {
	label := fmt.Sprintf("reclaimable=\"%t\"", reclaimable)
	for _, v := range f.vms {
		_, answer := f.call(http.MethodGet, "http://"+v.callerAddress+"/metrics", nil, nil)
		lines := bufio.NewScanner(strings.NewReader(string(answer)))
		for lines.Scan() {
			line := lines.Text()
			if !strings.HasPrefix(line, "dogwoodpond_work_tokens_total{") || !strings.Contains(line, label) {
				continue
			}
			var value float64
			if _, err := fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &value); err == nil {
				sum += value
			}
		}
	}
	return sum
}

// checkStep checks that a trainer received every sample of its step once and in
// order, with a complete text and a weight version for every token.
func checkStep(t *testing.T, got standin.TrainerResult) {
	t.Helper()
	if got.Samples != got.Wanted || got.Repeated != 0 || got.Gaps != 0 || got.Unattributed != 0 || got.WrongLength != 0 {
		t.Errorf("the result of the step is %+v", got)
	}
}

// The platform evicts all reclaimable engines of a failure domain while a step and
// streams run on them: in one case with a notice of one second, in the other without
// notice. A lost sample would stall the trainer, and a lost stream would leave its
// caller with a truncated answer.
func TestEvictionOfReclaimableEnginesLosesNothing(t *testing.T) {
	for _, notice := range []time.Duration{time.Second, 0} {
		t.Run(fmt.Sprintf("notice %v", notice), func(t *testing.T) {
			t.Parallel()
			f, key, reclaimable := startEvictionFleet(t)
			step := f.step("round-1", key)
			var streams []*stream
			for n := range 8 {
				streams = append(streams, f.openStream(f.vms[n%len(f.vms)], key, 1024))
			}
			await(t, "work on the reclaimable engines", func() bool { return f.counts(reclaimable[0]).Tokens > 100 })
			f.evict(reclaimable, notice)
			evicted := time.Now()
			for _, s := range streams {
				if rest := s.readAll(t); !strings.Contains(rest, "event: answer") {
					t.Errorf("a stream ended with %q", tail(rest))
				}
			}
			t.Logf("the streams were complete %v after the eviction", time.Since(evicted).Round(time.Millisecond))
			result := <-step
			checkStep(t, result)
			t.Logf("the step was complete %v after the eviction", time.Since(evicted).Round(time.Millisecond))
			reclaimableTokens, paidTokens := f.workTokens(true), f.workTokens(false)
			t.Logf("%.0f of %.0f tokens (%.0f %%) were generated on reclaimable engines, no sample or stream was lost",
				reclaimableTokens, reclaimableTokens+paidTokens, 100*reclaimableTokens/(reclaimableTokens+paidTokens))
		})
	}
}

// evict stops engines as the platform does. With a notice, it lists them as leaving
// for that time first; then it kills them.
func (f *fleet) evict(engines []upstreamProcess, notice time.Duration) {
	f.t.Helper()
	if notice > 0 {
		for _, e := range engines {
			e.State = platformapi.UpstreamLeaving
			f.setUpstream(e.Upstream)
		}
		time.Sleep(notice)
	}
	for _, e := range engines {
		e.kill()
	}
}

// A contract prefers reclaimable engines, but there are none. The work must run on
// paid engines instead of waiting for reclaimable ones.
func TestWorkRunsWithoutReclaimableEngines(t *testing.T) {
	t.Parallel()
	f := startFleet(t, topology{domains: []string{"a"}, vms: 2, engines: 2})
	c := testContract("strathallan")
	c.Reclaimable.Percent = 100
	checkStep(t, <-f.step("round-1", f.grant(c)))
	if reclaimableTokens := f.workTokens(true); reclaimableTokens != 0 {
		t.Errorf("%.0f tokens are counted for reclaimable engines, but there are none", reclaimableTokens)
	}
}
