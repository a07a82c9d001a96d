package dispatch

import "sync"

// accountBook holds what is counted for a client account over all pools.
type accountBook struct {
	mu      sync.Mutex
	running int
	meter   reclaimMeter
}

// allowsReclaimable reports whether work may go to a reclaimable upstream.
func (b *accountBook) allowsReclaimable(w Work) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return w.Repeatable && b.meter.allows(w.Contract.Reclaimable.Percent, w.Cost)
}

// begin counts a grant and reports false when the account is at its limit.
func (b *accountBook) begin(w Work, reclaimable bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running >= max(1, w.Contract.Limits.Running) {
		return false
	}
	b.running++
	if reclaimable {
		b.meter.begin(w.Cost)
	}
	return true
}

// end uncounts a grant and reports whether the account was at its limit.
func (b *accountBook) end(w Work, reclaimable bool, cost int64) (wasFull bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasFull = b.running >= w.Contract.Limits.Running
	b.running--
	if w.Repeatable {
		b.meter.end(reclaimable, w.Cost, cost)
	}
	return wasFull
}
