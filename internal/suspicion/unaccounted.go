package suspicion

import (
	"context"
	"slices"
	"sync"
	"time"

	"dogwoodpond/internal/target"
)

// ownerLossNotice is the longest time from the death of a VM until the others find it dead.
const ownerLossNotice = 6 * time.Second

// LostOwner is what a VM knows of an owner of a step that died before the VM took the step over. It is
// zero if the owner handed the step over.
type LostOwner struct {
	// FoundDeadAt is when this VM found the owner dead, KnownSince when it learned that it was the owner. An
	// upstream that was missed before that got no item of the step.
	FoundDeadAt, KnownSince time.Time
}

// Unaccounted holds the items and score calls of which the previous owner of a step may have
// had an attempt in flight when it died. Nobody knows at which upstream that attempt ran, so each of
// these requests may have ended one upstream more than the ledger holds. It is safe for concurrent use.
type Unaccounted struct {
	ledger *Ledger
	owner  LostOwner
	// since is when the run began. Only the suspicions of its own attempts are younger.
	since time.Time

	mu       sync.Mutex
	requests map[Request]bool
	// survivors holds the upstreams that have reported since the owner was found dead, with the requests that
	// each ran then: it did not end under the owner's attempts at others.
	survivors map[*target.Entry][]string
	// ended holds the upstreams that ended about when the owner died, once they are known.
	ended   []*target.Entry
	settled bool
}

// NewUnaccounted returns the unaccounted requests of a run: those of requests that are not done, if the owner was lost.
func NewUnaccounted(ledger *Ledger, owner LostOwner, requests func() map[Request]bool) *Unaccounted {
	u := &Unaccounted{
		ledger: ledger, owner: owner, since: time.Now(),
		requests: make(map[Request]bool), survivors: make(map[*target.Entry][]string),
	}
	if u.ownerLost() {
		for request, done := range requests() {
			u.requests[request] = !done
		}
	}
	return u
}

func (u *Unaccounted) ownerLost() bool { return !u.owner.FoundDeadAt.IsZero() }

// KnowsEnds reports whether the run has lasted long enough for this VM to know whether upstreams keep ending. The
// previous owner saw its own attempts lose their answers, and this process may have just started.
func (u *Unaccounted) KnowsEnds(now time.Time) bool { return now.Sub(u.since) >= burstSettlePeriod }

// NoteEnded records which upstreams ended about when the owner died, as soon as the list shows it.
func (u *Unaccounted) NoteEnded(roster *target.Roster, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	until := u.owner.FoundDeadAt.Add(UnlistedSurvivalDelay)
	if u.settled || len(u.requests) == 0 || now.Before(until) || roster.ListAge(now) > UnlistedSurvivalDelay/2 {
		return
	}
	u.settled = true
	since := u.owner.FoundDeadAt.Add(-ownerLossNotice)
	if u.owner.KnownSince.After(since) {
		since = u.owner.KnownSince
	}
	for _, e := range roster.Ended(since, until) {
		if !e.ListedAt().After(u.owner.FoundDeadAt) {
			u.ended = append(u.ended, e)
		}
	}
}

// AskSurvivors asks the engines that the open requests may have run at which of them still run after the owner was
// found dead.
func (u *Unaccounted) AskSurvivors(ctx context.Context, c *Checks, engines func() []*target.Entry) {
	if !u.ownerLost() {
		return
	}
	for _, entry := range engines() {
		c.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			report, err := c.Engines.RunReport(ctx, entry)
			if err != nil || !report.Complete || report.Started != entry.Info().Started {
				return
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			u.survivors[entry] = report.Runs
		})
	}
}

// DropRecorded drops a request of which the lost owner has recorded a suspicion: that was its
// only attempt, or the later ones were recorded before they were sent.
func (u *Unaccounted) DropRecorded(request Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.requests[request] && u.ledger.recordedBefore(request, u.since) {
		delete(u.requests, request)
	}
}

// Settle reports whether the ledger holds all that counts against a request to a service. If one more end would
// be too many, and the lost owner's attempt is unaccounted for, the request waits until the list shows which
// upstreams ended about when that owner did. One of these counts against it, and onAdd is called.
func (u *Unaccounted) Settle(request Request, service string, now time.Time, onAdd func()) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ledger.Count(request) != MaxEnds-1 || !u.requests[request] {
		return true
	}
	if !u.settled {
		return false
	}
	delete(u.requests, request)
	for _, e := range u.ended {
		runs, survived := u.survivors[e]
		if e.Info().Service != service || survived && !slices.Contains(runs, request.ID) || u.ledger.Has(request, e.Incarnation()) {
			continue
		}
		u.ledger.Add(request, e.Incarnation(), now)
		onAdd()
		break
	}
	return true
}

// PossibleEnds returns how many upstreams may have ended under a request.
func (u *Unaccounted) PossibleEnds(request Request) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.ledger.Count(request)
	if u.requests[request] {
		n++
	}
	return n
}
