// Package retry limits and spaces the retries of failed attempts. It has a retry
// budget that successes refill, an exponential backoff with jitter, and a circuit
// breaker per upstream that closes again after a successful probe.
package retry

import "sync/atomic"

// A budget is counted in thousandths of a retry, so that a success can add a
// fraction of one.
const (
	retryCost = 1000
	// successCredit allows one retry for every five successful requests.
	successCredit = retryCost / 5
	// budgetCapacity is the largest balance, and the initial one. It covers the
	// streams that one VM has at one engine: if the engine crashes, all of them
	// move at once.
	budgetCapacity = 64 * retryCost
)

// Budget limits the retries of one pool, which is a group of interchangeable
// upstreams: a service, or the engines of a model. When every upstream fails, unlimited
// retries multiply the load by the number of attempts and prevent an overloaded
// pool from recovering. With a budget, the pool gets only the original load once
// the balance is used up. It is safe for concurrent use.
type Budget struct {
	balance atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.balance.Store(budgetCapacity)
	return b
}

// NoteSuccess adds the credit of one successful request, up to the budget's capacity.
func (b *Budget) NoteSuccess() {
	for {
		balance := b.balance.Load()
		if balance >= budgetCapacity || b.balance.CompareAndSwap(balance, min(balance+successCredit, budgetCapacity)) {
			return
		}
	}
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		balance := b.balance.Load()
		if balance < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}
