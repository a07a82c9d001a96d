package budget

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a large fleet whose periodic calls use up the rates of the store:
// configuration edits would take effect too late, and steps would not be accepted.
func TestIntervalsOfLargeFleetsFitStoreRates(t *testing.T) {
	for _, rates := range []Rates{{800, 2000}, {3200, 16000}} {
		for _, vms := range []int{9, 60, 195, 300, 390, 1000} {
			b := New(rates)
			b.SetFleetSize(vms)
			var writes, reads float64
			for use := range useCount {
				if use == Probes {
					continue
				}
				calls := float64(vms) / b.Interval(use, 0).Seconds()
				if shares[use].writes {
					writes += calls
				} else {
					reads += calls
				}
			}
			if limit := 0.5*float64(rates.Writes) + 1; writes > limit {
				t.Errorf("%d VMs write %.0f times a second, at most %.0f are allowed", vms, writes, limit)
			}
			if limit := 0.75*float64(rates.Reads) + 1; reads > limit {
				t.Errorf("%d VMs read %.0f times a second, at most %.0f are allowed", vms, reads, limit)
			}
		}
	}
}

func TestSmallFleetsUseMinInterval(t *testing.T) {
	b := New(Rates{})
	b.SetFleetSize(9)
	for use := range useCount {
		if got := b.Interval(use, 500*time.Millisecond); got != 500*time.Millisecond {
			t.Errorf("use %d has an interval of %s", use, got)
		}
	}
}

// Guards against VMs that continue to call at their usual rate while the store refuses
// calls: the burst of calls after an outage would keep the store refusing them.
func TestRefusalsLengthenIntervalsTemporarily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Rates{})
		b.SetFleetSize(9)
		const minInterval = time.Second
		for range 100 {
			b.NoteRefused(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		if got := b.Interval(Heartbeats, minInterval); got != minInterval {
			t.Errorf("the heartbeat interval is %s, want %s: other VMs would consider this VM dead", got, minInterval)
		}
		if got := b.Interval(Upstreams, minInterval); got != maxBackoffFactor*minInterval {
			t.Errorf("after 10 s of refusals the interval is %s, want %s", got, maxBackoffFactor*minInterval)
		}
		time.Sleep(10 * time.Second)
		if got := b.Interval(Upstreams, minInterval); got != minInterval {
			t.Errorf("10 s after the last refusal the interval is %s, want %s", got, minInterval)
		}
	})
}
