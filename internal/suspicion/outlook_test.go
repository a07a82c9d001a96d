package suspicion

import (
	"math"
	"slices"
	"testing"
	"time"
)

// endsAt returns ends at times after a start.
func endsAt(start time.Time, after ...time.Duration) []time.Time {
	var ends []time.Time
	for _, d := range after {
		ends = append(ends, start.Add(d))
	}
	return ends
}

// Guards against attempts at requests under suspicion that begin shortly before more upstreams end, and against requests
// that wait for good.
func TestRiskOfAnAttempt(t *testing.T) {
	const ms = time.Millisecond
	// every returns n bursts of two ends.
	every := func(gap time.Duration, n int) (ends []time.Duration) {
		for i := range n {
			ends = append(ends, time.Duration(i)*gap, time.Duration(i)*gap)
		}
		return ends
	}
	waves, series, longSeries := every(2*time.Second, 7), every(200*ms, 3), every(200*ms, 10)
	mixed := slices.Sorted(slices.Values(append(every(2*time.Second, 7), 150*ms, 1200*ms, 3100*ms, 5900*ms)))
	paused := []time.Duration{0, 0, 3000 * ms, 3000 * ms}
	for name, play := range map[string]struct {
		ends      []time.Duration
		upstreams int
		// quiet is the time since the last end, duration that of the attempt.
		quiet, duration time.Duration
		// want is the risk, and repeated that of causes that were seen more than once.
		want, repeated float64
	}{
		"no end":                                {nil, 8, 0, time.Second, 0, 0},
		"one end":                               {[]time.Duration{0}, 8, 0, time.Second, 0.125, 0},
		"one end, a second ago":                 {[]time.Duration{0}, 8, settlePeriod, time.Second, 0, 0},
		"one end of many":                       {[]time.Duration{0}, 100, 0, time.Second, 0.01, 0},
		"two together":                          {[]time.Duration{0, 5 * ms}, 8, settlePeriod, time.Second, 0.25, 0},
		"two together, some time ago":           {[]time.Duration{0, 5 * ms}, 8, burstSettlePeriod, time.Second, 0, 0},
		"waves, a short attempt after one":      {waves, 8, 1000 * ms, 300 * ms, 0, 0},
		"waves, a longer attempt after one":     {waves, 8, 1000 * ms, 400 * ms, 0.25, 0.25},
		"waves, an attempt of unknown duration": {waves, 8, 1000 * ms, 0, 1 - math.Pow(0.75, maxBursts), 1 - math.Pow(0.75, maxBursts)},
		"waves, the next is late":               {waves, 8, 2900 * ms, 500 * ms, 0.25, 0.25},
		"waves, the next did not come":          {waves, 8, 3000 * ms, 10 * time.Second, 0, 0},
		"waves beside single ends":              {mixed, 8, 2900 * ms, 500 * ms, 0.25, 0.25},
		"a series, within it":                   {series, 8, 100 * ms, 200 * ms, 0.25, 0.25},
		"a series, a long attempt within it":    {series, 8, 100 * ms, time.Minute, 1 - math.Pow(0.75, maxBursts), 1 - math.Pow(0.75, maxBursts)},
		"a series, after it":                    {series, 8, burstSettlePeriod, time.Minute, 0, 0},
		"single ends of many go on":             {[]time.Duration{0, 500 * ms, 1000 * ms, 1500 * ms, 2000 * ms, 2500 * ms, 3000 * ms}, 100, 100 * ms, time.Minute, 1 - math.Pow(0.99, maxBursts), 1 - math.Pow(0.99, maxBursts)},
		"a long series, some time after it":     {longSeries, 8, settlePeriod, time.Minute, 0, 0},
		"a long series, within it":              {longSeries, 8, 100 * ms, 200 * ms, 0.25, 0.25},
		"a pause that may recur":                {paused, 8, 3500 * ms, time.Second, 0.25, 0.25},
		"a pause that is over":                  {paused, 8, 4500 * ms, time.Second, 0, 0},
		"a pause that is too long to wait for":  {[]time.Duration{0, 0, 10 * time.Second, 10 * time.Second}, 8, maxSettlePeriod, time.Minute, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(100, 0)
			now := start
			if len(play.ends) > 0 {
				now = start.Add(play.ends[len(play.ends)-1] + play.quiet)
			}
			outlook := newOutlook(endsAt(start, play.ends...), play.upstreams, now)
			const tolerance = 1e-9
			if got := outlook.Risk(play.duration); math.Abs(got-play.want) > tolerance {
				t.Errorf("risk %g, want %g", got, play.want)
			}
			if got := outlook.RepeatedRisk(play.duration); math.Abs(got-play.repeated) > tolerance {
				t.Errorf("repeated risk %g, want %g", got, play.repeated)
			}
		})
	}
}
