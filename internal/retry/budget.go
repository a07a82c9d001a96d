// Package retry decides whether and when a failed attempt is repeated: a budget
// that is a share of recent successes, a back-off with jitter, and a circuit
// per upstream that probes its way back.
package retry

import "sync/atomic"

// The budget counts in thousandths of a retry, so that a success can pay for a
// part of one.
const (
	oneRetry = 1000
	// perSuccess lets one request in five be retried.
	perSuccess = oneRetry / 5
	// reserve is what a budget holds at most, and at the start. It covers the
	// streams that one VM has on one crashed engine, which all have to move at
	// once.
	reserve = 64 * oneRetry
)

// Budget bounds the retries of one pool. When every upstream fails, unbounded
// retries multiply the load by the number of attempts and keep an overloaded
// pool down; with a budget the pool sees the plain load once the reserve is
// spent. It is safe for concurrent use.
type Budget struct {
	left atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.left.Store(reserve)
	return b
}

// Success pays for a part of a later retry.
func (b *Budget) Success() {
	for {
		left := b.left.Load()
		if left >= reserve || b.left.CompareAndSwap(left, min(left+perSuccess, reserve)) {
			return
		}
	}
}

// Take takes one retry and reports whether the budget held one.
func (b *Budget) Take() bool {
	for {
		left := b.left.Load()
		if left < oneRetry {
			return false
		}
		if b.left.CompareAndSwap(left, left-oneRetry) {
			return true
		}
	}
}
