// Package poison bounds how many upstreams one request may end. Limits on retries count answers
// of failure; an upstream that ends gives no answer. A request that ends each upstream that runs
// it, a query of death, would otherwise go from one to the next for as long as it is retried.
//
// Whether an upstream ended is known only later, and a connection breaks for other reasons too.
// So a request that lost its answer at an incarnation of an upstream is under suspicion until
// that incarnation shows that it still runs.
package poison

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MaxEnds is the largest number of upstreams that may have ended under a request that is sent
// again.
const MaxEnds = 3

// Request identifies a request: an ID that is unique within its client account.
type Request struct {
	Account string `json:"account"`
	ID      string `json:"request"`
}

// Incarnation is one incarnation of an upstream.
type Incarnation struct {
	Upstream string `json:"upstream"`
	// Started is the start of the incarnation in Unix milliseconds.
	Started int64 `json:"started"`
}

// Ledger holds, for each request under suspicion, the incarnations that may have ended under it. It is
// safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// losses holds, by request and incarnation, when the answer was lost.
	losses map[Request]map[Incarnation]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{losses: make(map[Request]map[Incarnation]time.Time)} }

// Add records that the incarnation may end, or may have ended, under the request.
func (l *Ledger) Add(request Request, incarnation Incarnation, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.losses[request] == nil {
		l.losses[request] = make(map[Incarnation]time.Time)
	}
	l.losses[request][incarnation] = at
}

// Remove records that the incarnation did not end under the request.
func (l *Ledger) Remove(request Request, incarnation Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(request, incarnation)
}

func (l *Ledger) removeLocked(request Request, incarnation Incarnation) {
	delete(l.losses[request], incarnation)
	if len(l.losses[request]) == 0 {
		delete(l.losses, request)
	}
}

// Forget removes all that is known of a request.
func (l *Ledger) Forget(request Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.losses, request)
}

// NoteRunning records that the incarnation ran at a time: it has not ended under the requests that
// lost their answers before.
func (l *Ledger) NoteRunning(incarnation Incarnation, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, losses := range l.losses {
		if lostAt, ok := losses[incarnation]; ok && lostAt.Before(at) {
			l.removeLocked(request, incarnation)
		}
	}
}

// Suspects returns the incarnations that may have ended under a request, in a fixed order.
func (l *Ledger) Suspects(request Request) []Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	incarnations := make([]Incarnation, 0, len(l.losses[request]))
	for incarnation := range l.losses[request] {
		incarnations = append(incarnations, incarnation)
	}
	slices.SortFunc(incarnations, func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Started, b.Started))
	})
	return incarnations
}

// LostAt returns when the incarnation may have ended under a request.
func (l *Ledger) LostAt(request Request, incarnation Incarnation) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.losses[request][incarnation]
}

// Count returns how many incarnations may have ended under a request.
func (l *Ledger) Count(request Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.losses[request])
}

// Has reports whether an incarnation may have ended under a request.
func (l *Ledger) Has(request Request, incarnation Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.losses[request][incarnation]
	return ok
}

// Expire removes the suspicions that are older than a time.
func (l *Ledger) Expire(before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, losses := range l.losses {
		for incarnation, at := range losses {
			if at.Before(before) {
				l.removeLocked(request, incarnation)
			}
		}
	}
}

// Empty reports whether no request is under suspicion.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.losses) == 0
}

// Describe returns incarnations for events.
func Describe(incarnations []Incarnation) string {
	var parts []string
	for _, i := range incarnations {
		parts = append(parts, i.Upstream+" started "+strconv.FormatInt(i.Started, 10))
	}
	return strings.Join(parts, ", ")
}
