package dispatch

import "sync"

// accountState holds an account's running requests and reclaimable work over all pools.
type accountState struct {
	mu          sync.Mutex
	running     int
	reclaimable reclaimableLimiter
}

// allowsReclaimable reports whether w may run on a reclaimable upstream.
func (a *accountState) allowsReclaimable(w Work) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return w.Repeatable && a.reclaimable.allows(w.Contract.Reclaimable.Percent, w.Cost)
}

// tryAcquire counts a grant. It returns false if the account is at its limit of running
// requests.
func (a *accountState) tryAcquire(w Work, reclaimable bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running >= max(1, w.Contract.Limits.Running) {
		return false
	}
	a.running++
	if reclaimable {
		a.reclaimable.begin(w.Cost)
	}
	return true
}

// release ends a grant and reports whether the account was at its limit of running
// requests.
func (a *accountState) release(w Work, reclaimable bool, cost int64) (wasAtLimit bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasAtLimit = a.running >= w.Contract.Limits.Running
	a.running--
	if w.Repeatable {
		a.reclaimable.end(reclaimable, w.Cost, cost)
	}
	return wasAtLimit
}
