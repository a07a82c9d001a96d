package step

import (
	"sync"
	"time"

	"dogwoodpond/internal/poison"
)

// ownerLossNotice is the longest time from the death of a VM until the others find it dead.
const ownerLossNotice = 6 * time.Second

// unaccountedRequests holds the items and score calls of which the previous owner of a step may have
// had an attempt in flight when it died. Nobody knows at which upstream that attempt ran, so each of
// these requests may have ended one upstream more than the ledger holds. It is safe for concurrent use.
type unaccountedRequests struct {
	// lostOwnerAt is when the owner was found dead.
	lostOwnerAt time.Time

	mu       sync.Mutex
	requests map[poison.Request]bool
	// own holds the suspicions that this run has added itself.
	own map[loss]bool
}

// newUnaccountedRequests returns the unaccounted requests of a run whose results are known.
func newUnaccountedRequests(r *run) *unaccountedRequests {
	u := &unaccountedRequests{lostOwnerAt: r.rec.lostOwnerAt, requests: make(map[poison.Request]bool), own: make(map[loss]bool)}
	if u.lostOwnerAt.IsZero() {
		return u
	}
	for i := range r.items {
		if r.list.phase(i) == phaseDone {
			continue
		}
		for _, request := range r.requestsOf(i) {
			u.requests[request] = true
		}
	}
	return u
}

func (u *unaccountedRequests) has(request poison.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests[request]
}

func (u *unaccountedRequests) remove(request poison.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.requests, request)
}

// addSuspicion records that an incarnation may end, or may have ended, under an attempt of this run.
func (r *run) addSuspicion(request poison.Request, incarnation poison.Incarnation, at time.Time) {
	r.m.suspicions.Add(request, incarnation, at)
	u := r.unaccounted
	u.mu.Lock()
	defer u.mu.Unlock()
	u.own[loss{Request: request, Incarnation: incarnation}] = true
}

// accountForRecorded drops an item of which the lost owner has recorded a lost answer: that was its
// only attempt, or the later ones were recorded before they were sent.
func (r *run) accountForRecorded(request poison.Request) {
	u := r.unaccounted
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, incarnation := range r.m.suspicions.Suspects(request) {
		if !u.own[loss{Request: request, Incarnation: incarnation}] {
			delete(u.requests, request)
		}
	}
}

// settleUnaccounted reports whether the ledger holds all that counts against a request to a service. If
// one more end would be too many, and the lost owner's attempt is unaccounted for, the request waits until
// the list shows which upstreams ended about when that owner did. One of these counts against it.
func (r *run) settleUnaccounted(request poison.Request, service string, now time.Time) bool {
	u := r.unaccounted
	if r.m.suspicions.Count(request) != poison.MaxEnds-1 || !u.has(request) {
		return true
	}
	if now.Sub(u.lostOwnerAt) < listedSurvivalDelay || r.m.Roster.ListAge(now) > listedSurvivalDelay/2 {
		return false
	}
	u.remove(request)
	for _, entry := range r.m.Roster.Ended(service, u.lostOwnerAt.Add(-ownerLossNotice)) {
		if incarnation := incarnationOf(entry); !r.m.suspicions.Has(request, incarnation) {
			r.m.suspicions.Add(request, incarnation, now)
			r.losses.signal()
			break
		}
	}
	return true
}

// lostOwnerSince returns when this VM found the owner of a step dead; zero if the step has no owner.
func (m *Manager) lostOwnerSince(r stateRecord) time.Time {
	if r.Owner == "" {
		return time.Time{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if since, ok := m.unownedSince[r.ID]; ok {
		return since
	}
	return time.Now()
}
