package step

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
)

// itemProgress is what a run knows of one item beside its phase and its result.
type itemProgress struct {
	// notBefore is the time before which no attempt or score call may start.
	notBefore time.Time
	// failures counts the answers that reported the item as failed.
	failures int
	// savedFailures is the number of failures, including those of score calls, that was
	// last saved.
	savedFailures int
	// moves counts the attempts that were canceled to move the item to another engine.
	moves int
	// interruptions counts the consecutive interrupted attempts without a new event;
	// lastBeforeInterruptions is the last event before them.
	interruptions           int
	lastBeforeInterruptions int64
	// partial is the text as far as it has been read.
	partial partialText
	// scoreTries are the attempts to score the text, which was complete at completedAt.
	scoreTries  scoring.RetryState
	completedAt time.Time
	// scoreHeld is true while the score call is held back.
	scoreHeld bool
	// lastUpstream is the upstream that sent the last event of the text; empty when a previous
	// owner read that event.
	lastUpstream string
	// engine is the engine of the attempt in progress, and silentSince the time of its last event or
	// of its start.
	engine      *target.Entry
	silentSince time.Time
	// postponed is true once it was told that the next attempt at the item, which is under suspicion, waits; awaitsTurnSince
	// is when it began to wait for the last attempts at others, zero if it doesn't.
	postponed       bool
	awaitsTurnSince time.Time
	// cancelCall cancels the attempt or score call that started last; nil before the first.
	cancelCall context.CancelCauseFunc
}

// errAdopted is the cancellation cause of an attempt or score call whose item got a result of the
// previous owner.
var errAdopted = errors.New("item has a result of the previous owner")

// run is the execution of a step by its owner.
type run struct {
	m *Manager
	// rec is the state of the step when the run started. An early run may be accepted
	// under another state of the same step.
	rec   stateRecord
	items []Item
	// startOrders are the possible orders in which items start; order is the current one, which
	// only the dispatcher changes once the run has started.
	startOrders startOrders
	order       []int
	// shortlists holds the engines to which items may move.
	shortlists shortlists
	// ctx ends with the run.
	ctx    context.Context
	cancel context.CancelFunc
	// itemCtx bounds attempts and score calls. It ends before ctx when the step is handed
	// over.
	itemCtx   context.Context
	stopItems context.CancelFunc
	// due is when the step should be complete, in milliseconds of the store's clock.
	due int64

	// startedAt is when the run started.
	startedAt time.Time
	// awaitsConfiguration is true once the run had to wait for a configuration, handsOver once it is handed over
	// because it waited too long.
	awaitsConfiguration, handsOver atomic.Bool

	// early is set for a run that started before the step was accepted.
	early *earlyRun
	// acceptedState is the state row under which results may be committed, nil until the step
	// is in the store. acceptedCh is closed when it is set.
	acceptedState atomic.Pointer[stateRecord]
	acceptedCh    chan struct{}

	// mu guards the fields down to committedCh.
	mu       sync.Mutex
	progress []itemProgress
	list     *itemList
	// acceptedAt is when the run was accepted, zero before.
	acceptedAt time.Time
	// committedCh is closed and replaced when results have been committed.
	committedCh chan struct{}
	// queuedCh signals commitLoop that results may be queued.
	queuedCh chan struct{}
	// commitSlot holds a value during a commit of results. It is no mutex, because a handover must
	// not wait for it longer than its context lasts. pending, which it guards, is the batch whose
	// commit was prepared or sent and is not confirmed; nil if there is none.
	commitSlot chan struct{}
	pending    *pendingBatch

	// saveCh signals saveSuspicionsLoop. saveSlot holds a value during a save, which may last as long as its context.
	saveCh, saveSlot chan struct{}
	// told holds the suspicions that the other VMs were told of. Only saveSuspicionsLoop uses it.
	told map[suspicion.Suspicion]bool
	// confirmedAt is when the last read of other VMs' rows for an attempt began; saveSlot guards it.
	confirmedAt time.Time
	// unaccounted holds the requests of which a lost owner may have left an attempt that nobody knows.
	unaccounted *suspicion.Unaccounted
}

// newRun returns a run of a step; the items with a result in committed are done.
func newRun(m *Manager, rec stateRecord, items []Item, committed []Result) *run {
	r := &run{
		m:           m,
		rec:         rec,
		items:       items,
		startOrders: newStartOrders(items, nil),
		due:         rec.SubmittedAt + rec.RunObjective.Milliseconds(),
		progress:    make([]itemProgress, len(items)),
		list:        newItemList(items),
		startedAt:   time.Now(),
		committedCh: make(chan struct{}),
		queuedCh:    make(chan struct{}, 1),
		commitSlot:  make(chan struct{}, 1),

		acceptedCh: make(chan struct{}),
		saveCh:     make(chan struct{}, 1), saveSlot: make(chan struct{}, 1), told: make(map[suspicion.Suspicion]bool),
	}
	r.order = r.startOrders.byLength
	r.ctx, r.cancel = context.WithCancel(m.ctx)
	r.itemCtx, r.stopItems = context.WithCancel(r.ctx)
	r.list.adopt(committed)
	r.emitRepeated(0)
	r.unaccounted = suspicion.NewUnaccounted(m.suspicions, rec.lostOwner, r.requests)
	return r
}

// restoreTexts restores texts that this or another VM read earlier, if the step allows their
// weight versions. It must be called before items start.
func (r *run) restoreTexts(texts map[string]savedText) {
	if len(texts) == 0 {
		return
	}
	restored := make(map[string]bool)
	for i, item := range r.items {
		saved, ok := texts[item.ID]
		restored[item.Group] = restored[item.Group] || ok
		if !ok || r.list.phase(i) == phaseDone {
			continue
		}
		p := &r.progress[i]
		p.failures = max(p.failures, saved.Failures)
		p.scoreTries.NegativeAnswers = max(p.scoreTries.NegativeAnswers, saved.ScoreFailures)
		p.savedFailures = saved.Failures + saved.ScoreFailures
		if r.list.phase(i) != phasePending || !canResume(saved.Versions, r.rec.Spec) || item.MaxEvents > 0 && saved.LastEvent > int64(item.MaxEvents) {
			continue
		}
		p.partial = saved.toPartial()
		if saved.Complete {
			r.handleComplete(i)
		}
	}
	r.startOrders = newStartOrders(r.items, restored)
	r.order = r.startOrders.byLength
}

// accept sets the state row under which results may be committed, after it has adopted the results
// that the previous owner committed. It returns the phases in which the items of these were. Only
// Manager.accept calls it, at most once.
func (r *run) accept(rec stateRecord, committed []Result) map[int]phase {
	var adopted map[int]phase
	if len(committed) > 0 {
		adopted = r.adopt(committed)
	}
	r.mu.Lock()
	r.acceptedAt = time.Now()
	r.mu.Unlock()
	r.acceptedState.Store(&rec)
	close(r.acceptedCh)
	return adopted
}

// accepted reports whether results may be committed.
func (r *run) accepted() bool { return r.acceptedState.Load() != nil }

// current returns the state under which the run commits results, or, until it is accepted,
// the one it started with.
func (r *run) current() stateRecord {
	if rec := r.acceptedState.Load(); rec != nil {
		return *rec
	}
	return r.rec
}

// nextInPhase returns the position in the current order of the next item that is in a phase and
// may start now, at or after the position from; ok is false when there is none.
func (r *run) nextInPhase(in phase, from int, now time.Time) (pos int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ; from < len(r.order); from++ {
		i := r.order[from]
		if r.list.phase(i) == in && !now.Before(r.progress[i].notBefore) {
			return from, true
		}
	}
	return 0, false
}

// hasPending reports whether an item is pending.
func (r *run) hasPending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.has(phasePending)
}

// changePhase moves an item from one phase to another. It returns false when the item is not in
// the phase from, or when the run's attempts and score calls have been canceled.
func (r *run) changePhase(i int, from, to phase) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.itemCtx.Err() == nil && r.list.move(i, to, from)
}

// requeue makes an item pending again, for an attempt after a backoff.
func (r *run) requeue(i int, backoff time.Duration) {
	r.moveAfter(i, backoff, phasePending, phasePending, phaseRunning)
}

// moveAfter moves an item from one of the phases from to another, from which it is continued
// after a backoff. It reports whether it did.
func (r *run) moveAfter(i int, backoff time.Duration, to phase, from ...phase) bool {
	r.mu.Lock()
	moved := r.list.move(i, to, from...)
	if moved {
		r.progress[i].notBefore = time.Now().Add(backoff)
	}
	r.mu.Unlock()
	r.m.notifyDispatcher()
	return moved
}

// beginCall returns the context of an attempt or score call of an item. It ends with the run's
// attempts and score calls, or when the item gets a result of the previous owner.
func (r *run) beginCall(i int) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(r.itemCtx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[i].cancelCall = cancel
	if r.list.phase(i) == phaseDone {
		cancel(errAdopted)
	}
	return ctx, cancel
}

// isObsolete reports whether the outcome of an item's attempt or score call is of no use any
// more: the item has a result, or the run's attempts and score calls have been canceled.
func (r *run) isObsolete(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.itemCtx.Err() != nil || r.list.phase(i) == phaseDone
}

// remaining estimates which part of the items' texts is still to be generated, between 0
// and 1.
func (r *run) remaining() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := 0.0
	for i := range r.progress {
		if phase := r.list.phase(i); phase == phasePending || phase == phaseRunning {
			left += remainingShare(r.progress[i].partial.lastEvent, r.items[i].ExpectedTokens)
		}
	}
	return left / float64(max(len(r.items), 1))
}

// remainingShare estimates which part of a text remains after a number of its events. When the
// expected length is unknown, the estimate only falls with each event.
func remainingShare(events int64, expected float64) float64 {
	if expected <= 0 {
		return 1 / (1 + float64(events))
	}
	return max(0, 1-float64(events)/expected)
}

// adopt adopts the results that the previous owner committed. It cancels the attempts and score
// calls of their items, which would keep slots that other items need. It returns the phases in
// which the items were.
func (r *run) adopt(results []Result) map[int]phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	adopted := r.list.adopt(results)
	r.emitRepeated(0)
	r.notifyReadersLocked()
	for i := range adopted {
		r.progress[i].partial = partialText{}
		if cancel := r.progress[i].cancelCall; cancel != nil {
			cancel(errAdopted)
		}
	}
	return adopted
}

// emitAdopted emits the event that a previous owner's results were adopted; adopted holds the
// phases in which their items were.
func (r *run) emitAdopted(results int, adopted map[int]phase) {
	counts := make(map[phase]int)
	for _, p := range adopted {
		counts[p]++
	}
	var parts []string
	for p := phasePending; p <= phaseDone; p++ {
		parts = append(parts, strconv.Itoa(counts[p])+" "+p.String())
	}
	r.m.Events.Emit(event.ResultsAdopted, event.Subject{
		Step: r.rec.ID, Account: r.rec.Account, Count: int64(results), Detail: strings.Join(parts, ", "),
	})
}

// text returns the text of an item as far as it has been read.
func (r *run) text(i int) partialText {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[i].partial
}

// setText replaces the text of an item.
func (r *run) setText(i int, text partialText) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[i].partial = text
	r.progress[i].silentSince = time.Now()
}

// silentSince returns when the attempt at an item that runs had its last event, or its start if it had none.
func (r *run) silentSince(i int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[i].silentSince
}

// noteAttemptStart records the engine of an attempt that starts.
func (r *run) noteAttemptStart(i int, entry *target.Entry) {
	r.m.suspicions.DropUnconfirmed(r.request(i), entry.Incarnation())
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.progress[i]
	p.engine, p.silentSince = entry, time.Now()
	p.postponed, p.awaitsTurnSince = false, time.Time{}
}

// countFailure counts an answer that reported an item as failed, and returns the number of
// such answers so far.
func (r *run) countFailure(i int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[i].failures++
	return r.progress[i].failures
}

// setLastUpstream records the upstream that sent the last event of an item's text.
func (r *run) setLastUpstream(i int, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[i].lastUpstream = upstream
}

// countMove counts an attempt that was canceled to move its item to another engine.
func (r *run) countMove(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[i].moves++
}

// moves returns how many attempts at an item were canceled to move it to another engine.
func (r *run) moves(i int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[i].moves
}

// finish queues an item's result for commit. It returns false when the item has a result already,
// which it keeps.
func (r *run) finish(i int, result Result) bool {
	r.mu.Lock()
	queued := r.list.queue(i, result)
	if queued {
		r.progress[i].partial = partialText{}
	}
	r.mu.Unlock()
	if queued {
		r.signalQueued()
		r.m.notifyDispatcher()
	}
	return queued
}

// saveLoop saves the texts of long items at intervals, so that another VM can resume them
// if this one dies.
func (r *run) saveLoop() {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if r.accepted() {
			r.saveTexts(r.ctx, saveMinEvents)
		}
	}
}

// item returns an item by its ID.
func (r *run) item(id string) (Item, bool) {
	for _, item := range r.items {
		if item.ID == id {
			return item, true
		}
	}
	return Item{}, false
}

// needOf returns what an item of the run requires of an engine. The service follows from
// the configuration in force; ok is false when it no longer has a route for the item. While
// that is not known, no engine meets the need.
func (r *run) needOf(i int) (n need, ok bool) {
	snapshot, showsRemovals := r.configuration()
	if snapshot == nil {
		return need{}, true
	}
	matched, err := snapshot.Match(r.rec.Host, r.items[i].Path)
	if err != nil {
		if !showsRemovals {
			r.awaitConfiguration("it has no route for an item")
		}
		return need{}, !showsRemovals
	}
	return need{
		service:    matched.Service(r.items[i].ID),
		model:      r.rec.Model,
		minVersion: r.rec.MinVersion,
		domain:     r.m.Domain,
		residency:  snapshot.Residency(matched, r.rec.Account),
		route:      matched,
		prompt:     r.m.promptNeed(&r.items[i], snapshot.Services[matched.Service(r.items[i].ID)]),
	}, true
}

// engines returns the engines that may receive items of a service.
func (m *Manager) engines(service string, now time.Time) []*target.Entry {
	return m.Roster.Usable(service, now)
}
