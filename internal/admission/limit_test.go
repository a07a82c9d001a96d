package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/target"
)

// Guards against requests that are refused after a burst because of a long pause, although the upstream
// has free slots.
func TestPauseEndsOnceSlotsAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		roster := target.NewRoster(event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop()))
		roster.Replace([]target.Instance{{ID: "a", Service: "desk", Slots: 6}})
		e := roster.Upstreams("desk")[0]
		now := time.Now()
		p := pause{length: maxPause, until: now.Add(maxPause)}
		e.NoteLoad(target.Load{Running: 6, Waiting: 24, Slots: 6}, now)
		if hasCapacity(e, p, time.Second, now) {
			t.Error("a full upstream gets a request during its pause")
		}
		e.NoteLoad(target.Load{Running: 2, Slots: 6}, now)
		if !hasCapacity(e, p, time.Second, now) {
			t.Error("an upstream with four of six slots free gets no request")
		}
	})
}
