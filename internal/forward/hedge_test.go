package forward

import (
	"testing"
	"time"
)

// Guards against a dead upstream whose hedges are answered after the objective, and against hedges of
// requests that are as fast as their upstream usually is.
func TestHedgeDelay(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct{ objective, here, elsewhere, want time.Duration }{
		{150 * ms, 0, 0, 60 * ms},
		{10 * ms, 0, 0, 20 * ms},
		{150 * ms, 25 * ms, 25 * ms, 60 * ms},
		{150 * ms, 50 * ms, 0, 100 * ms},
		{150 * ms, 100 * ms, 24 * ms, 120 * ms},
		{150 * ms, 100 * ms, 100 * ms, 150 * ms},
		{150 * ms, time.Hour, time.Hour, 150 * ms},
	} {
		if got := HedgeDelay(c.objective, c.here, c.elsewhere); got != c.want {
			t.Errorf("HedgeDelay(%s, %s, %s) = %s, want %s", c.objective, c.here, c.elsewhere, got, c.want)
		}
	}
}
