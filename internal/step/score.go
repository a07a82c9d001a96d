package step

import (
	"context"
	"math/rand/v2"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/suspicion"
)

// scoreBackoff bounds the backoff between attempts to score one text. By then the item
// needs nothing but its score, so the first backoff is short.
var scoreBackoff = scoring.Backoff{Min: retryBackoff, Max: maxRetryBackoff}

// Scorer sends score calls for texts. It is safe for concurrent use.
type Scorer interface {
	// Score returns the score that a service of the route returned. earlierLosses is the number of
	// upstreams that may have ended under earlier tries of the call.
	Score(ctx context.Context, call scoring.Call, callRoute *route.Route, residency route.Residency, earlierLosses int) (string, error)
}

// awaitScore moves an item with a complete text to the phase in which it needs a score, so that
// it is not generated again meanwhile.
func (r *run) awaitScore(i int) {
	r.mu.Lock()
	if r.list.move(i, phaseUnscored, phasePending, phaseRunning) {
		p := &r.progress[i]
		p.notBefore = time.Time{}
		p.partial.complete, p.completedAt = true, time.Now()
		p.scoreTries.Backoff = scoreBackoff
	}
	r.mu.Unlock()
	r.m.notifyDispatcher()
}

// dispatchScores starts the score calls of a run for which the scoring services have free
// slots, and abandons the items whose time has passed or whose routes were removed.
func (m *Manager) dispatchScores(r *run) {
	now := time.Now()
	abandonable := m.canAbandon(r)
	expected := make(outlooks)
	free := make(map[string]int)
	for pos, ok := r.nextInPhase(phaseUnscored, 0, now); ok; pos, ok = r.nextInPhase(phaseUnscored, pos+1, now) {
		i := r.order[pos]
		callRoute, routed := r.scoreRoute(i)
		if abandonable || !routed {
			r.abandonFrom(i, phaseUnscored, routed)
			continue
		}
		if callRoute == nil {
			continue
		}
		service := callRoute.Service(r.items[i].Score.ID)
		r.unaccounted.DropRecorded(r.scoreRequest(i))
		if !r.unaccounted.Settle(r.scoreRequest(i), service, now, r.signalSave) || r.holdScore(i) {
			continue
		}
		if m.suspicions.Count(r.scoreRequest(i)) > 0 && (!r.mayRunSuspects(now) || !m.StoreAvailable()) {
			continue
		}
		if r.isLastScoreCall(i) && expected.of(m, service, now).Risk(callRoute.Objective) > maxLastRisk {
			continue
		}
		if _, known := free[service]; !known {
			free[service] = m.callLimiter.Available(service, m.Roster.Usable(service, now), now)
		}
		if free[service] <= 0 || !r.changePhase(i, phaseUnscored, phaseScoring) {
			continue
		}
		free[service]--
		m.callLimiter.Begin(service)
		m.tasks.Go(func() {
			defer m.callLimiter.End(service)
			r.score(i, callRoute)
		})
	}
}

// scoreRoute returns the route of an item's score call in the configuration in force, or
// nil while there is none. The text is kept meanwhile, since the route may be restored.
// routed is false when the item's own route was removed as well; nobody needs the item
// then.
func (r *run) scoreRoute(i int) (callRoute *route.Route, routed bool) {
	snapshot, _ := r.configuration()
	if snapshot == nil {
		return nil, true
	}
	call := r.items[i].Score
	if callRoute, err := snapshot.Match(call.Host, call.Path); err == nil {
		return callRoute, true
	}
	_, routed = r.needOf(i)
	return nil, routed
}

// score makes the score call of an item once. It finishes the item, abandons it, or queues
// the next attempt.
func (r *run) score(i int, callRoute *route.Route) {
	item := r.items[i]
	ctx, cancel := r.beginCall(i)
	defer cancel(nil)
	earlierLosses := r.unaccounted.PossibleEnds(r.scoreRequest(i))
	if !r.isLastScoreCall(i) {
		// The last try is left for a call of its own, which waits until the upstreams are settled.
		earlierLosses++
	}
	if !r.recordScoreCall(i) {
		r.withdrawScoreCall(i)
		r.moveAfter(i, retryBackoff+rand.N(maxRetryBackoff), phaseUnscored, phaseScoring)
		return
	}
	score, err := r.m.Scorer.Score(ctx, *item.Score, callRoute, r.m.residency(r.rec.Account, callRoute), earlierLosses)
	if r.isObsolete(i) {
		r.withdrawScoreCall(i)
		return
	}
	for _, incarnation := range forward.LostUpstreams(err) {
		r.m.suspicions.AddLost(r.scoreRequest(i), incarnation, callRoute.Service(item.Score.ID), time.Now())
		r.signalSave()
	}
	r.withdrawScoreCall(i)
	subject := event.Subject{Step: r.rec.ID, Slot: item.ID, Account: r.rec.Account, Request: item.Score.ID}
	if err == nil {
		completedAt, engine := r.completedBy(i)
		subject.Count, subject.Upstream = time.Since(completedAt).Milliseconds(), engine
		r.m.Events.Emit(event.SampleScored, subject)
		r.finishWithText(i, score)
		return
	}
	state, backoff := r.countScoreFailure(i, err)
	subject.Detail, subject.Count = string(fault.CodeOf(err)), int64(state.NegativeAnswers)
	r.m.Events.Emit(event.ScoreFailed, subject)
	if state.ShouldAbandon(max(callRoute.Attempts, 1)) {
		r.abandon(i, "its call for a score failed at every attempt")
		return
	}
	r.moveAfter(i, backoff, phaseUnscored, phaseScoring)
}

// recordScoreCall records that an item's score call begins if it is under suspicion, and reports whether it may be made: two
// owners of the item must not make calls that are one too many at the same time.
func (r *run) recordScoreCall(i int) bool {
	request := r.scoreRequest(i)
	return r.m.suspicions.Count(request) == 0 || r.record(request, r.m.suspicions.CallInProgress())
}

// withdrawScoreCall takes back what recordScoreCall has recorded. The upstreams of the call are known now.
func (r *run) withdrawScoreCall(i int) {
	request := r.scoreRequest(i)
	r.lift(request, func() { r.m.suspicions.Withdraw(request, r.m.suspicions.CallInProgress()) })
}

// scoreRequest returns the identity of an item's score call.
func (r *run) scoreRequest(i int) suspicion.Request {
	return suspicion.Request{Account: r.rec.Account, ID: "score/" + r.items[i].Score.ID}
}

// isLastScoreCall reports whether one more end is the last one allowed under an item's score call.
func (r *run) isLastScoreCall(i int) bool {
	return r.unaccounted.PossibleEnds(r.scoreRequest(i)) >= suspicion.MaxEnds-1
}

// holdScore reports whether an item's score call must wait, because as many upstreams as are allowed may
// have ended under it.
func (r *run) holdScore(i int) bool {
	request := r.scoreRequest(i)
	held := r.m.suspicions.Count(request) >= suspicion.MaxEnds
	r.mu.Lock()
	changed := r.progress[i].scoreHeld != held
	r.progress[i].scoreHeld = held
	r.mu.Unlock()
	switch {
	case changed && held:
		r.m.Events.Emit(event.ItemHeldBack, r.suspicionSubject(i, request))
	case changed:
		r.m.Events.Emit(event.ItemReleased, r.suspicionSubject(i, request))
	}
	return held
}

// completedBy returns when the text of an item was complete, and the upstream that sent its
// last event.
func (r *run) completedBy(i int) (completedAt time.Time, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[i].completedAt, r.progress[i].lastUpstream
}

// countScoreFailure counts a failed score call of an item. It returns the failed tries so far and
// the backoff before the next one.
func (r *run) countScoreFailure(i int, err error) (scoring.RetryState, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	backoff := r.progress[i].scoreTries.NoteFailure(err)
	return r.progress[i].scoreTries, backoff
}
