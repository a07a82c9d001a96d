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

// evictionFleet has one paid engine in each failure domain, and reclaimable ones
// in the second only.
func evictionFleet(t *testing.T) (*fleet, string, []upstreamProcess) {
	t.Helper()
	slow := []string{"--token-time", "10ms"}
	f := startFleet(t, shape{domains: []string{"a", "b"}, vms: 2, engines: 1, engineArgs: slow})
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

// step runs a step of a trainer beside the eviction and returns what it got.
func (f *fleet) step(name, key string) <-chan standin.TrainerResult {
	var entries []string
	for _, v := range f.vms {
		entries = append(entries, v.callers)
	}
	done := make(chan standin.TrainerResult, 1)
	go func() {
		result, err := standin.NewTrainer(standin.TrainerConfig{
			Entries: entries, Key: key, Step: name, Model: model, Groups: 16, Samples: 8, MaxTokens: 128, Timeout: patience,
		}).Run(f.t.Context())
		if err != nil {
			f.t.Errorf("step %s: %v", name, err)
		}
		done <- result
	}()
	return done
}

// workTokens adds up a counter of all VMs, by whether upstreams were reclaimable.
func (f *fleet) workTokens(reclaimable bool) (sum float64) {
	label := fmt.Sprintf("reclaimable=\"%t\"", reclaimable)
	for _, v := range f.vms {
		_, answer := f.call(http.MethodGet, "http://"+v.callers+"/metrics", nil, nil)
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

func checkStep(t *testing.T, got standin.TrainerResult) {
	t.Helper()
	if got.Samples != got.Wanted || got.Repeated != 0 || got.Gaps != 0 || got.Unattributed != 0 || got.Wrong != 0 {
		t.Errorf("the step ended with %+v", got)
	}
}

// The platform takes back all reclaimable engines of a failure domain, once with
// a second of notice and once with none, while a step and streams run on them.
// Lost samples would stall the trainer, and lost streams would cut off callers.
func TestEvictionOfAFailureDomainLosesNothing(t *testing.T) {
	for _, notice := range []time.Duration{time.Second, 0} {
		t.Run(fmt.Sprintf("notice %v", notice), func(t *testing.T) {
			t.Parallel()
			f, key, reclaimable := evictionFleet(t)
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
			t.Logf("the streams were whole %v after the eviction", time.Since(evicted).Round(time.Millisecond))
			result := <-step
			checkStep(t, result)
			t.Logf("the step was whole %v after the eviction", time.Since(evicted).Round(time.Millisecond))
			cheap, paid := f.workTokens(true), f.workTokens(false)
			t.Logf("%.0f of %.0f tokens (%.0f %%) on reclaimable engines before and around their eviction, none lost",
				cheap, cheap+paid, 100*cheap/(cheap+paid))
		})
	}
}

// evict takes engines back as the platform does: the list says so, if there is
// any notice, and then they are gone.
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

// No reclaimable engine can be had. Work that may run on them must run on paid
// ones instead of waiting for what does not come.
func TestWorkRunsWithoutReclaimableEngines(t *testing.T) {
	t.Parallel()
	f := startFleet(t, shape{domains: []string{"a"}, vms: 2, engines: 2})
	c := testContract("strathallan")
	c.Reclaimable.Percent = 100
	checkStep(t, <-f.step("round-1", f.grant(c)))
	if cheap := f.workTokens(true); cheap != 0 {
		t.Errorf("%.0f tokens on reclaimable engines that are not there", cheap)
	}
}
