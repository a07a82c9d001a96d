// Package wait pauses loops that have to end with their context.
package wait

import (
	"context"
	"time"
)

// For pauses for d or until ctx ends, and reports whether ctx is still alive. It doesn't
// pause if d is 0 or less.
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
