package suspicion

import (
	"slices"
	"time"

	"dogwoodpond/internal/target"
)

// end is that an incarnation of a service may have ended, whatever it ran.
type end struct {
	service string
	// at is when the first answer was lost there.
	at time.Time
}

// AddLost records that the incarnation of a service may have ended under the request, whose answer was lost at a time.
func (l *Ledger) AddLost(request Request, incarnation target.Incarnation, service string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.putLocked(request, incarnation, state{at: at, lostAt: at})
	if _, known := l.ends[incarnation]; !known {
		l.ends[incarnation] = end{service, at}
	}
}

// NoteAnswering records that an incarnation which may have ended answers.
func (l *Ledger) NoteAnswering(incarnation target.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.ends, incarnation)
}

// lossNotice is the longest time from an end until this VM has noticed that an answer was lost there.
const lossNotice = 100 * time.Millisecond

// MayEndSeveral reports whether a request may be the cause for which several upstreams at a time have lately ended in a
// service: it lost an answer each time. It takes nothing back that counts against the others.
func (l *Ledger) MayEndSeveral(request Request, outlook Outlook) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	missed := 0
	for _, ended := range outlook.common {
		if !l.lostAtLocked(request, ended) {
			missed++
		}
	}
	// Any of the others may be at a time that this VM doesn't know.
	for _, s := range l.suspicions[request] {
		if s.lostAt.IsZero() {
			missed--
		}
	}
	return len(outlook.common) > 0 && missed <= 0
}

// lostAtLocked reports whether an answer to a request was lost when upstreams ended at a time.
func (l *Ledger) lostAtLocked(request Request, ended time.Time) bool {
	for _, s := range l.suspicions[request] {
		if !s.lostAt.IsZero() && s.lostAt.Sub(ended).Abs() <= lossNotice {
			return true
		}
	}
	return false
}

// OutlookOf returns what the ends that this VM knows of let it expect of a service.
func (l *Ledger) OutlookOf(service string, roster *target.Roster, now time.Time) Outlook {
	ends := roster.PossibleEnds(service)
	l.mu.Lock()
	for incarnation, e := range l.ends {
		if e.service == service && !roster.HasAnsweredSince(incarnation, e.at) {
			ends[incarnation] = e.at
		}
	}
	l.mu.Unlock()
	var times []time.Time
	for _, at := range ends {
		if now.Sub(at) < outlookPeriod {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return newOutlook(times, roster.CountUsable(service, now), now)
}
