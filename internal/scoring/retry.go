// Package scoring scores finished samples by calls to plain services. Such a call is
// idempotent, lies outside usage, and is made only once the text of its sample is
// whole.
package scoring

import (
	"time"

	"dogwoodpond/internal/forward"
)

// Pauses bound the pause between two tries; it doubles from First to Longest.
type Pauses struct{ First, Longest time.Duration }

// Tries is what is known of the tries to score one sample, and decides how the
// scoring goes on. The zero value of its counts is a sample that was never tried.
type Tries struct {
	Pauses
	// Failures counts the answers by which services said that the call failed. Calls
	// that were refused unrun, broken off or late tell nothing about the call itself
	// and don't count: a service that is away must not cost any sample its score.
	Failures int

	unscored int
}

// Failed counts a failed try and returns the pause until the next.
func (t *Tries) Failed(err error) time.Duration {
	t.Failures += forward.FailedAnswers(err)
	const mostDoublings = 16
	pause := min(t.First<<min(t.unscored, mostDoublings), t.Longest)
	t.unscored++
	return pause
}

// Hopeless reports whether so many answers said that the call failed that the sample
// is given up. A limit of 0 never gives up.
func (t *Tries) Hopeless(limit int) bool { return limit > 0 && t.Failures >= limit }
