package step

import (
	"fmt"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
)

const (
	// maxRepeatRisk and maxLastRisk bound the chance that an engine ends for a cause of its own under an attempt at an item
	// under suspicion, and under the last one that is allowed. Such an end counts like any other.
	maxRepeatRisk = 0.25
	maxLastRisk   = 0.05
	// maxRepeatWait is the longest time that an item waits for a lower risk after its answer was lost. Its last attempt waits
	// for as long as it takes.
	maxRepeatWait = 4 * time.Second
	// maxTurnWait is the longest time that the last attempt at an item waits for those at others.
	maxTurnWait = 8 * time.Second
	// otherLastPeriod is how long the last attempt of another VM is taken to run, unless that VM has taken it back.
	otherLastPeriod = 2 * time.Second
)

const (
	// minRestShare is the share of a text that is expected to be left where it already has about the expected length or more.
	minRestShare = 0.2
	// attemptDelay is the time that an attempt at an item under suspicion takes beside its events: it is recorded, and the
	// engine may be busy or read the prompt anew.
	attemptDelay = 500 * time.Millisecond
)

// postponeReason returns why an attempt at an item under suspicion waits; empty if it doesn't. mayEndSeveral is true if the item may
// end other engines together with its own.
func (r *run) postponeReason(i int, n need, outlook suspicion.Outlook, last, mayEndSeveral bool, now time.Time) (reason string) {
	duration := r.expectedDuration(i, n, now)
	switch {
	case r.awaitsLowerRisk(i, outlook, duration, now):
		return fmt.Sprintf("risk %.2f in %s", outlook.Risk(duration), duration.Round(time.Millisecond))
	case last && r.awaitsTurn(i, mayEndSeveral, now):
		return "last attempts of other items"
	}
	return ""
}

// awaitsLowerRisk reports whether an attempt at an item under suspicion waits, because an engine may well end under it
// for a cause of its own.
func (r *run) awaitsLowerRisk(i int, outlook suspicion.Outlook, duration time.Duration, now time.Time) bool {
	request := r.request(i)
	if r.unaccounted.PossibleEnds(request) >= suspicion.MaxEnds-1 {
		return outlook.Risk(duration) > maxLastRisk || !r.unaccounted.KnowsEnds(now)
	}
	return outlook.RepeatedRisk(duration) > maxRepeatRisk && !r.m.suspicions.LostBefore(request, now.Add(-maxRepeatWait))
}

// awaitsTurn reports whether the last attempt at an item waits for others, because they or the item itself may end
// several engines together.
func (r *run) awaitsTurn(i int, mayEndSeveral bool, now time.Time) bool {
	if r.m.suspects.mayBeginLast(mayEndSeveral) && !(mayEndSeveral && r.m.otherLastRuns(r.request(i), now)) {
		return false
	}
	return r.mayAwaitTurn(i, now)
}

// otherLastRuns reports whether another VM may be running the last attempt at another item.
func (m *Manager) otherLastRuns(request suspicion.Request, now time.Time) bool {
	return m.suspicions.OtherLastAttempt(request, now.Add(-otherLastPeriod))
}

// mayAwaitTurn reports whether the last attempt at an item, which waits for others, may go on to wait.
func (r *run) mayAwaitTurn(i int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.progress[i]
	if p.awaitsTurnSince.IsZero() {
		p.awaitsTurnSince = now
	}
	return now.Sub(p.awaitsTurnSince) < maxTurnWait
}

// notePostponed tells, once an attempt, that the next attempt at an item under suspicion waits.
func (r *run) notePostponed(i int, reason string) {
	r.mu.Lock()
	postponed := r.progress[i].postponed
	r.progress[i].postponed = true
	r.mu.Unlock()
	if !postponed {
		subject := r.suspicionSubject(i, r.request(i))
		subject.Detail = reason
		r.m.Events.Emit(event.ItemPostponed, subject)
	}
}

// expectedDuration estimates how long an attempt at the rest of an item's text takes; 0 if unknown.
func (r *run) expectedDuration(i int, n need, now time.Time) time.Duration {
	events := r.m.eventRates.expectedEvents(n.service, r.items[i].ExpectedTokens)
	unitTime := target.MedianExpectedUnitTime(r.m.engines(n.service, now), now)
	if events == 0 || unitTime == 0 {
		return 0
	}
	left := max(events-float64(r.text(i).lastEvent), minRestShare*events)
	return attemptDelay + time.Duration(left*float64(unitTime))
}

// outlooks holds the outlooks of services during a pass of the dispatcher.
type outlooks map[string]suspicion.Outlook

func (o outlooks) of(m *Manager, service string, now time.Time) suspicion.Outlook {
	outlook, known := o[service]
	if !known {
		outlook = m.suspicions.OutlookOf(service, m.Roster, now)
		o[service] = outlook
	}
	return outlook
}
