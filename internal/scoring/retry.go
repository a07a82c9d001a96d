// Package scoring scores the samples of steps by calls to services that are not engines.
// A score call is idempotent, is not charged to a client account, and is made only after
// the text of its sample is complete.
package scoring

import (
	"time"

	"dogwoodpond/internal/forward"
)

// Backoff has the limits of the backoff between two tries to score a sample. The backoff
// doubles from First up to Longest.
type Backoff struct{ Min, Max time.Duration }

// RetryState counts the failed tries to score one sample. A try is one score call, which may
// make several attempts at upstreams. The counts of a sample without a failed try are 0.
type RetryState struct {
	Backoff
	// NegativeAnswers counts the answers that say that the call failed. Attempts that were
	// refused without execution, interrupted or timed out are no evidence against the
	// sample and don't count: an outage of a service must not cost a sample its score.
	NegativeAnswers int

	failedTries int
}

// NoteFailure records that a try failed with err, and returns the backoff until the next try.
func (t *RetryState) NoteFailure(err error) time.Duration {
	t.NegativeAnswers += forward.FailedAnswerCount(err)
	const maxDoublings = 16
	backoff := min(t.Min<<min(t.failedTries, maxDoublings), t.Max)
	t.failedTries++
	return backoff
}

// ShouldAbandon reports whether the sample is to be abandoned, because at least limit answers
// said that the call failed. With a limit of 0, it returns false.
func (t *RetryState) ShouldAbandon(limit int) bool { return limit > 0 && t.NegativeAnswers >= limit }
