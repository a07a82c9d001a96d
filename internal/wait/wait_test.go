package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against loops that pause although their time has come, and against ones that go
// on after their context has ended.
func TestWaitsThatAreDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		for _, d := range []time.Duration{0, -time.Second} {
			if !For(ctx, d) {
				t.Errorf("a wait of %s ends as if its context had", d)
			}
		}
		cancel()
		for _, d := range []time.Duration{-time.Second, 0, time.Second} {
			if For(ctx, d) {
				t.Errorf("a wait of %s goes on after its context has ended", d)
			}
		}
		if took := time.Since(started); took != 0 {
			t.Errorf("the waits took %s", took)
		}
	})
}
