package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against loops that pause although they are due, and against loops that
// continue after their context has ended.
func TestForReturnsAtOnceWhenDueOrCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		for _, d := range []time.Duration{0, -time.Second} {
			if !For(ctx, d) {
				t.Errorf("a wait of %s reports that its context has ended", d)
			}
		}
		cancel()
		for _, d := range []time.Duration{-time.Second, 0, time.Second} {
			if For(ctx, d) {
				t.Errorf("a wait of %s does not report that its context has ended", d)
			}
		}
		if elapsed := time.Since(started); elapsed != 0 {
			t.Errorf("the waits took %s", elapsed)
		}
	})
}
