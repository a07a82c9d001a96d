package budget

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a fleet that uses up the calls of a store that does not grow with it:
// edits would not be in force in time, and steps would not be accepted.
func TestPeriodsOfLargeFleetsFitTheStore(t *testing.T) {
	for _, rates := range []Rates{{800, 2000}, {3200, 16000}} {
		for _, vms := range []int{9, 60, 195, 300, 390, 1000} {
			b := New(rates)
			b.SetFleet(vms)
			var writes, reads float64
			for use := range uses {
				if use == Probes {
					continue
				}
				calls := float64(vms) / b.Period(use, 0).Seconds()
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

func TestSmallFleetsGetThePeriodThatTheyWant(t *testing.T) {
	b := New(Rates{})
	b.SetFleet(9)
	for use := range uses {
		if got := b.Period(use, 500*time.Millisecond); got != 500*time.Millisecond {
			t.Errorf("use %d has a period of %s", use, got)
		}
	}
}

// Guards against VMs that go on calling at their usual rate while the store refuses them:
// a burst of calls after an outage would keep refusals up.
func TestRefusalsSlowTheLoopsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Rates{})
		b.SetFleet(9)
		const usual = time.Second
		for range 100 {
			b.Refused(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		if got := b.Period(Beats, usual); got != usual {
			t.Errorf("beats come every %s, want %s: the others would take this VM for dead", got, usual)
		}
		if got := b.Period(Upstreams, usual); got != mostSlow*usual {
			t.Errorf("after 10 s of refusals the period is %s, want %s", got, mostSlow*usual)
		}
		time.Sleep(10 * time.Second)
		if got := b.Period(Upstreams, usual); got != usual {
			t.Errorf("10 s after the last refusal the period is %s, want %s", got, usual)
		}
	})
}
