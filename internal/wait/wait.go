// Package wait lets loops wait until a time has passed or their context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether ctx is still active. It
// doesn't wait if d is 0 or less.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
