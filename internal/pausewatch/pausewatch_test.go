package pausewatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
)

// Guards against a pause, or a suspended machine, that no log shows.
func TestPausesAndSuspensionsAreDistinguished(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		elapsed         reading
		paused, stepped time.Duration
	}{
		"no pause":                     {reading{checkInterval, checkInterval}, 0, 0},
		"short delay":                  {reading{checkInterval + 299*ms, checkInterval + 299*ms}, 0, 0},
		"process paused":               {reading{5200 * ms, 5200 * ms}, 5000 * ms, 0},
		"machine suspended":            {reading{checkInterval, 5200 * ms}, 0, 5000 * ms},
		"machine suspended and slow":   {reading{700 * ms, 5700 * ms}, 500 * ms, 5000 * ms},
		"wall clock set back":          {reading{checkInterval, checkInterval - 400*ms}, 0, -400 * ms},
		"wall clock adjusted a little": {reading{checkInterval, checkInterval + 50*ms}, 0, 0},
	} {
		first := reading{monotonic: time.Hour, wall: 1000 * time.Hour}
		second := reading{monotonic: first.monotonic + c.elapsed.monotonic, wall: first.wall + c.elapsed.wall}
		if paused, stepped := pauseBetween(first, second); paused != c.paused || stepped != c.stepped {
			t.Errorf("%s: paused %s, stepped %s; want %s, %s", name, paused, stepped, c.paused, c.stepped)
		}
	}
}

// Guards against events of a process that was not paused.
func TestRunningProcessReportsNoPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := event.NewRecorder("vm", 8, event.NewClock(time.Now), zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		Run(ctx, events)
		if got := events.Since(event.Stamp{}); len(got) > 0 {
			t.Errorf("events %v, want none", got)
		}
	})
}
