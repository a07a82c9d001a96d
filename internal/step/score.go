package step

import (
	"context"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/scoring"
)

// scorePauses are the pauses between tries to score one text. The step waits for
// nothing else by then, so the first is short.
var scorePauses = scoring.Pauses{First: failedPause, Longest: longestPause}

// Scorer sends the calls that score texts. It is safe for concurrent use.
type Scorer interface {
	// Score returns the score that the service of a route gave.
	Score(ctx context.Context, call scoring.Call, by *route.Route, residency route.Residency) (string, error)
}

// awaitScore keeps the whole text of an item until its score is known. The item is no
// longer waiting to run: one that was would run again and stand at two positions.
func (r *run) awaitScore(i int) {
	r.mu.Lock()
	p := &r.progress[i]
	p.phase, p.notBefore = unscored, time.Time{}
	p.partial.whole, p.wholeAt = true, time.Now()
	p.tries.Pauses = scorePauses
	r.mu.Unlock()
	r.m.poke()
}

// dispatchScores starts the calls of a run for which the services have room.
func (m *Manager) dispatchScores(r *run) {
	now := time.Now()
	late := m.tooLate(r)
	room := make(map[string]int)
	for at, ok := r.next(unscored, 0, now); ok; at, ok = r.next(unscored, at+1, now) {
		i := r.order[at]
		by, routed := r.scoreRoute(i)
		if late || !routed {
			r.giveUp(i, unscored, routed)
			continue
		}
		if by == nil {
			continue
		}
		service := by.Service(r.items[i].Score.ID)
		if _, known := room[service]; !known {
			room[service] = m.lanes.Room(service, m.Roster.Usable(service, now), now)
		}
		if room[service] <= 0 || !r.begin(i, unscored, beingScored) {
			continue
		}
		room[service]--
		m.lanes.Begin(service)
		m.loops.Go(func() {
			defer m.lanes.End(service)
			r.score(i, by)
		})
	}
}

// scoreRoute returns the route of an item's call in the configuration in force, nil
// while there is none: it may come back, and the text is kept so long. routed is false
// when the item's own route is gone as well, so that nobody waits for the item any
// more.
func (r *run) scoreRoute(i int) (by *route.Route, routed bool) {
	snapshot := r.m.View.Load()
	if snapshot == nil {
		return nil, true
	}
	call := r.items[i].Score
	if by, err := snapshot.Match(call.Host, call.Path); err == nil {
		return by, true
	}
	_, routed = r.needOf(i)
	return nil, routed
}

// score makes the call for an item once, and decides how it goes on.
func (r *run) score(i int, by *route.Route) {
	item := r.items[i]
	score, err := r.m.Scorer.Score(r.itemCtx, *item.Score, by, r.m.residency(r.rec.Account, by))
	if r.itemCtx.Err() != nil {
		return
	}
	subject := event.Subject{Step: r.rec.ID, Slot: item.ID, Account: r.rec.Account, Request: item.Score.ID}
	if err == nil {
		at, engine := r.wholeText(i)
		subject.Count, subject.Upstream = time.Since(at).Milliseconds(), engine
		r.m.Events.Emit(event.SampleScored, subject)
		r.listText(i, score)
		return
	}
	tries, pause := r.countTry(i, err)
	subject.Detail, subject.Count = string(fault.CodeOf(err)), int64(tries.Failures)
	r.m.Events.Emit(event.ScoreFailed, subject)
	if tries.Hopeless(max(by.Attempts, 1)) {
		r.abandon(i, "its call for a score failed at every attempt")
		return
	}
	r.putBack(i, unscored, pause)
}

// wholeText returns when the text of an item was whole, and the upstream that made it.
func (r *run) wholeText(i int) (at time.Time, by string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[i].wholeAt, r.progress[i].madeBy
}

// countTry counts a failed try to score an item.
func (r *run) countTry(i int, err error) (scoring.Tries, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := r.progress[i].tries.Failed(err)
	return r.progress[i].tries, pause
}
