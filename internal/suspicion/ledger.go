package suspicion

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"dogwoodpond/internal/target"
)

// Ledger holds the suspicions that a VM knows. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	suspicions map[Request]map[target.Incarnation]state
	// stored holds when this VM learned that a row of the store holds a suspicion which no later row lifts.
	stored map[Suspicion]time.Time
	// ends holds the incarnations that may have ended, also those that no request is under suspicion for any more.
	ends map[target.Incarnation]end
	// rows holds the names of the rows that were read, by step. Those of this process contain process and a number.
	rows    map[string]map[string]bool
	process string
	written atomic.Int64
}

// state is what is known of a suspicion.
type state struct {
	// at is when the answer was lost, when the attempt began, or when this process learned of either from another one.
	at time.Time
	// lostAt is when the answer was lost, also by the clock of another process; zero if that is unknown.
	lostAt time.Time
	// open is true while the attempt runs, runsOn once a report has listed the request after that.
	open, runsOn bool
	// canceled is true if the attempt was canceled while the upstream answered. It counts only if runsOn
	// is true as well.
	canceled bool
	// recorded is true if another process has stored the suspicion, or has told this one of it.
	recorded bool
}

// counts reports whether the suspicion counts against the request.
func (s state) counts() bool { return !s.canceled || s.runsOn }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		suspicions: make(map[Request]map[target.Incarnation]state),
		stored:     make(map[Suspicion]time.Time),
		ends:       make(map[target.Incarnation]end),
		rows:       make(map[string]map[string]bool),
		process:    uuid.NewString(),
	}
}

// Begin records that an attempt at a request under suspicion begins, under which the incarnation may end.
// Add or Remove must follow.
func (l *Ledger) Begin(request Request, incarnation target.Incarnation, at time.Time) {
	l.put(request, incarnation, state{at: at, open: true})
}

// CallInProgress returns what stands for the upstream of a call under suspicion that this process makes: it is chosen only
// during the call.
func (l *Ledger) CallInProgress() target.Incarnation {
	return target.Incarnation{Upstream: "call in progress, " + l.process}
}

// Add records that the incarnation may have ended under the request.
func (l *Ledger) Add(request Request, incarnation target.Incarnation, at time.Time) {
	l.put(request, incarnation, state{at: at})
}

// Cancel records that an attempt at the request was canceled although the incarnation answered. If it counted
// against the request, it does so until a report lifts it. If not, it does once a report shows that the
// incarnation still runs the request. DropUnconfirmed must follow.
func (l *Ledger) Cancel(request Request, incarnation target.Incarnation, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspicions[request][incarnation]
	l.putLocked(request, incarnation, state{at: at, canceled: !ok || !s.counts()})
}

// DropUnconfirmed removes a canceled attempt that doesn't count.
func (l *Ledger) DropUnconfirmed(request Request, incarnation target.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.suspicions[request][incarnation]; ok && !s.counts() {
		l.removeLocked(request, incarnation)
	}
}

func (l *Ledger) put(request Request, incarnation target.Incarnation, s state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.putLocked(request, incarnation, s)
}

func (l *Ledger) putLocked(request Request, incarnation target.Incarnation, s state) {
	if l.suspicions[request] == nil {
		l.suspicions[request] = make(map[target.Incarnation]state)
	}
	before := l.suspicions[request][incarnation]
	s.recorded = s.recorded || before.recorded
	if s.lostAt.IsZero() {
		s.lostAt = before.lostAt
	}
	l.suspicions[request][incarnation] = s
}

// Withdraw takes back what this process has recorded of an attempt that did not run. Another process may have
// lost an answer to the request at the same incarnation.
func (l *Ledger) Withdraw(request Request, incarnation target.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspicions[request][incarnation]; s.recorded {
		l.putLocked(request, incarnation, state{at: s.at})
		return
	}
	l.removeLocked(request, incarnation)
}

// Remove records that the incarnation did not end under the request.
func (l *Ledger) Remove(request Request, incarnation target.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(request, incarnation)
}

func (l *Ledger) removeLocked(request Request, incarnation target.Incarnation) {
	delete(l.suspicions[request], incarnation)
	if len(l.suspicions[request]) == 0 {
		delete(l.suspicions, request)
	}
}

// Forget removes all that is known of a request.
func (l *Ledger) Forget(request Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspicions, request)
}

const (
	// SurvivalDelay is how long after a lost answer a report shows whether the incarnation has survived
	// the request and given it up. A process may take a moment to end after it has closed its
	// connections, and a list of runs is some hundred milliseconds old.
	SurvivalDelay = 300 * time.Millisecond
	// runsOnDelay is how long after the end of an attempt a list of runs is certainly newer than that.
	runsOnDelay = 500 * time.Millisecond
	// UnlistedSurvivalDelay is how long after a lost answer an incarnation that doesn't list its runs must
	// still run, or still be listed, to have survived the request.
	UnlistedSurvivalDelay = 6 * time.Second
)

// NoteReport records a report of the incarnation and when it was asked: it has not ended under the requests that
// lost their answers some time before, unless it still runs them. It may still end under attempts that run.
// NoteReport returns the requests that the report is the first to list after their answers were lost, and how many
// suspicions are left that a later report may lift.
func (l *Ledger) NoteReport(incarnation target.Incarnation, asked time.Time, report RunReport) (runsOn []Request, left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.ends[incarnation]; ok && asked.After(e.at) {
		delete(l.ends, incarnation)
	}
	for request, suspicions := range l.suspicions {
		s, ok := suspicions[incarnation]
		if !ok || s.open {
			continue
		}
		delay := SurvivalDelay
		if !report.Complete && s.counts() {
			delay = UnlistedSurvivalDelay
		}
		age, listed := asked.Sub(s.at), report.Complete && slices.Contains(report.Runs, request.ID)
		if age >= delay && !listed {
			l.removeLocked(request, incarnation)
			continue
		}
		left++
		if age >= runsOnDelay && listed && !s.runsOn {
			s.runsOn = true
			suspicions[incarnation] = s
			runsOn = append(runsOn, request)
		}
	}
	return runsOn, left
}

// Suspects returns the incarnations that may have ended under a request, in a fixed order.
func (l *Ledger) Suspects(request Request) []target.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	incarnations := make([]target.Incarnation, 0, len(l.suspicions[request]))
	for incarnation, s := range l.suspicions[request] {
		if s.counts() {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.SortFunc(incarnations, func(a, b target.Incarnation) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Started, b.Started))
	})
	return incarnations
}

// LostAt returns when the incarnation may have ended under a request; ok is false if no answer was lost
// there, or not yet, so that no report can lift or confirm a suspicion.
func (l *Ledger) LostAt(request Request, incarnation target.Incarnation) (at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspicions[request][incarnation]
	return s.at, ok && !s.open
}

// LostBefore reports whether the last answer to a request was lost before a time.
func (l *Ledger) LostBefore(request Request, before time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.suspicions[request] {
		if s.counts() && !s.at.Before(before) {
			return false
		}
	}
	return true
}

// Count returns how many incarnations may have ended under a request.
func (l *Ledger) Count(request Request) int { return len(l.Suspects(request)) }

// recordedBefore reports whether a suspicion against a request is of another process, or not younger than a time.
func (l *Ledger) recordedBefore(request Request, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.suspicions[request] {
		if s.counts() && (s.recorded || !s.at.After(since)) {
			return true
		}
	}
	return false
}

// OtherLastAttempt reports whether this process has learned since a time of what another process may be running: the last
// attempt at another request.
func (l *Ledger) OtherLastAttempt(request Request, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, suspicions := range l.suspicions {
		if other == request {
			continue
		}
		count, isRecent := 0, false
		for _, s := range suspicions {
			if s.counts() {
				count++
				isRecent = isRecent || s.recorded && s.at.After(since)
			}
		}
		if count >= MaxEnds && isRecent {
			return true
		}
	}
	return false
}

// Has reports whether an incarnation may have ended under a request.
func (l *Ledger) Has(request Request, incarnation target.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspicions[request][incarnation]
	return ok && s.counts()
}

// RunsOn reports whether a report has listed a request after its answer seemed lost.
func (l *Ledger) RunsOn(request Request, incarnation target.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspicions[request][incarnation].runsOn
}

// IsSuspected reports whether an incarnation may have ended, or may still end, under any request.
func (l *Ledger) IsSuspected(incarnation target.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, suspicions := range l.suspicions {
		if s, ok := suspicions[incarnation]; ok && s.counts() {
			return true
		}
	}
	return false
}

// Expire removes the suspicions that are older than a time.
func (l *Ledger) Expire(before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, suspicions := range l.suspicions {
		for incarnation, s := range suspicions {
			if s.at.Before(before) {
				l.removeLocked(request, incarnation)
				// The incarnation has not survived, so that no row may say so.
				delete(l.stored, Suspicion{request, incarnation})
			}
		}
	}
	maps.DeleteFunc(l.ends, func(_ target.Incarnation, e end) bool { return e.at.Before(before) })
	maps.DeleteFunc(l.stored, func(_ Suspicion, at time.Time) bool { return at.Before(before) })
}

// Empty reports whether no request is under suspicion.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspicions) == 0
}
