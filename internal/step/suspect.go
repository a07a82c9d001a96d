package step

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

// request returns the identity of an item among those of all steps. A trainer may submit an item of an
// incomplete group again in a later step.
func (r *run) request(i int) suspicion.Request {
	return suspicion.Request{Account: r.rec.Account, ID: r.items[i].ID}
}

// suspectAttempt is an attempt at an item under suspicion that has a slot but was not started.
type suspectAttempt struct {
	index int
	need  need
	entry *target.Entry
	// mayEndSeveral is true for the last attempt at an item that may end other engines together with its own.
	mayEndSeveral bool
}

// placeSuspect takes an engine for an item under suspicion. It holds the item back if as many engines as
// are allowed may have ended under it. While its suspicions can't be saved, because the run is not
// accepted or the store is away, the item waits.
func (m *Manager) placeSuspect(r *run, i int, n need, outlook suspicion.Outlook, now time.Time) (suspectAttempt, bool) {
	request := r.request(i)
	r.unaccounted.DropRecorded(request)
	if !r.unaccounted.Settle(request, n.service, now, r.signalSave) {
		return suspectAttempt{}, false
	}
	count := m.suspicions.Count(request)
	if count >= suspicion.MaxEnds {
		r.hold(i)
		return suspectAttempt{}, false
	}
	if !r.mayRunSuspects(now) || !m.StoreAvailable() {
		return suspectAttempt{}, false
	}
	last := r.unaccounted.PossibleEnds(request) >= suspicion.MaxEnds-1
	mayEndSeveral := last && m.suspicions.MayEndSeveral(request, outlook)
	if reason := r.postponeReason(i, n, outlook, last, mayEndSeveral, now); reason != "" {
		r.notePostponed(i, reason)
		return suspectAttempt{}, false
	}
	candidates := m.newPool(m.engines(n.service, now), n, now)
	candidates.engines = slices.DeleteFunc(candidates.engines, func(e *target.Entry) bool {
		return m.suspicions.Has(request, e.Incarnation())
	})
	apart := candidates
	apart.engines = slices.DeleteFunc(slices.Clone(candidates.engines), func(e *target.Entry) bool {
		return m.suspects.has(e) || m.suspicions.IsSuspected(e.Incarnation())
	})
	entry := place(apart, n, nil, now)
	if entry == nil && r.unaccounted.PossibleEnds(request) < suspicion.MaxEnds-1 {
		entry = place(candidates, n, nil, now)
	}
	if entry == nil || !r.changePhase(i, phasePending, phaseRunning) {
		return suspectAttempt{}, false
	}
	if last {
		m.suspects.addLast(entry, mayEndSeveral)
	} else {
		m.suspects.add(entry)
	}
	entry.Begin()
	return suspectAttempt{index: i, need: n, entry: entry, mayEndSeveral: mayEndSeveral}, true
}

// earlySuspectDelay is how long items under suspicion wait after the acceptance of an early run, until
// the runs of the step's other copies have stopped and saved what they know.
const earlySuspectDelay = 500 * time.Millisecond

// mayRunSuspects reports whether the run is accepted and knows the lost answers of other copies of its
// step.
func (r *run) mayRunSuspects(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.acceptedAt.IsZero() && (r.early == nil || now.Sub(r.acceptedAt) >= earlySuspectDelay)
}

// startSuspects starts attempts at items under suspicion. An engine that doesn't report gets none: an answer
// lost there would count against the item, although the engine had ended before.
func (m *Manager) startSuspects(r *run, attempts []suspectAttempt) {
	for _, a := range attempts {
		m.tasks.Go(func() {
			defer m.suspects.remove(a.entry)
			if !m.checks.IsRunning(r.itemCtx, a.entry) {
				a.entry.NoteFailure(time.Now())
				r.withdraw(a, retryBackoff)
				return
			}
			if !r.recordSuspectAttempt(a) {
				// The random part separates this VM from one that has withdrawn an attempt at the same item.
				r.withdraw(a, retryBackoff+rand.N(maxRetryBackoff))
				return
			}
			r.runAttempt(a.index, a.need, a.entry)
		})
	}
}

// recordSuspectAttempt records that an attempt at an item under suspicion begins, and reports whether it may be sent: the next
// owner will know of it, should this process end together with the engine, and no other owner makes an attempt at the same time
// that is one too many or that has to run apart from this one. An engine that has ended must not be recorded: it would count if
// the owner ended then.
func (r *run) recordSuspectAttempt(a suspectAttempt) bool {
	request := r.request(a.index)
	if !r.record(request, a.entry.Incarnation()) {
		return false
	}
	now := time.Now()
	return !a.mayEndSeveral || !r.m.otherLastRuns(request, now) || !r.mayAwaitTurn(a.index, now)
}

// record records that an attempt at a request under suspicion begins, and reports whether it is stored and not one too many
// beside those of other owners.
func (r *run) record(request suspicion.Request, incarnation target.Incarnation) bool {
	r.m.suspicions.Begin(request, incarnation, time.Now())
	// Attempts that start together are saved together.
	wait.For(r.itemCtx, dispatchBatchDelay)
	ctx, cancel := context.WithTimeout(r.itemCtx, suspicionSaveTimeout)
	defer cancel()
	return r.saveSuspicions(ctx) && r.confirmSuspicions(ctx, time.Now()) && r.m.suspicions.Count(request) <= suspicion.MaxEnds
}

// withdraw takes back an attempt at an item under suspicion that was not sent.
func (r *run) withdraw(a suspectAttempt, backoff time.Duration) {
	a.entry.End()
	a.entry.NoteContact(target.Undecided, time.Now())
	r.lift(r.request(a.index), func() { r.m.suspicions.Withdraw(r.request(a.index), a.entry.Incarnation()) })
	r.requeue(a.index, backoff)
}

// noteAttemptEnd updates the suspicions against an item after an attempt at it.
func (r *run) noteAttemptEnd(i int, entry *target.Entry, outcome attemptOutcome) {
	request, incarnation := r.request(i), entry.Incarnation()
	switch outcome {
	case attemptUnanswered, attemptInterrupted, attemptStalled:
		r.suspect(i, entry, time.Now())
	case attemptInvalid, attemptEndless, attemptMoved, attemptStale:
		r.noteCanceled(i, entry)
	case attemptComplete:
		// An item whose text is rejected runs again, and may have ended the other engines.
		if versionsAllowed(r.text(i).versions, r.rec.Spec) {
			r.lift(request, func() { r.m.suspicions.Forget(request) })
		} else {
			r.lift(request, func() { r.m.suspicions.Remove(request, incarnation) })
		}
	case attemptRefused, attemptUnreachable:
		r.lift(request, func() { r.m.suspicions.Withdraw(request, incarnation) })
	default:
		r.lift(request, func() { r.m.suspicions.Remove(request, incarnation) })
	}
}

// noteAttemptObsolete updates the suspicions against an item whose attempt was of no use any more when it
// ended. While the step is open another VM may run the item, at the same engine too, so that a report
// which lists it says nothing about a canceled attempt.
func (r *run) noteAttemptObsolete(i int, entry *target.Entry, outcome attemptOutcome, canceled bool) {
	request, incarnation := r.request(i), entry.Incarnation()
	switch {
	case r.m.ctx.Err() != nil:
	case !canceled && outcome == attemptComplete:
		r.m.suspicions.Remove(request, incarnation)
	case canceled && (r.stepEnded() || r.m.suspicions.Has(request, incarnation)):
		r.noteCanceled(i, entry)
	case !canceled && r.m.suspicions.Has(request, incarnation):
		r.m.suspicions.Add(request, incarnation, time.Now())
	}
}

// stepEnded reports whether the trainer has ended the step.
func (r *run) stepEnded() bool {
	known, ok := r.m.lookUp(r.rec.ID)
	return ok && known.Ended
}

// noteCanceled records that this VM has canceled an attempt at an engine that answered, and asks the engine
// whether it goes on with the item.
func (r *run) noteCanceled(i int, entry *target.Entry) {
	request, incarnation, now := r.request(i), entry.Incarnation(), time.Now()
	r.m.suspicions.Cancel(request, incarnation, now)
	r.m.tasks.Go(func() { r.m.checks.Follow(r.m.ctx, request, incarnation, now, func() { r.saveChangedSuspicions() }) })
}

// saveChangedSuspicions brings the rows of suspicions up to date for a run that may have ended, and reports whether
// it did. The step of an early run may not be in the store yet; saveSuspicionsLoop saves what is known once it is.
func (r *run) saveChangedSuspicions() bool {
	if _, known := r.m.lookUp(r.rec.ID); !known {
		return false
	}
	ctx, cancel := context.WithTimeout(r.m.ctx, suspicionSaveTimeout)
	defer cancel()
	return r.saveSuspicions(ctx)
}

// noteResumed updates the suspicions against an item whose attempt goes on after the engine seemed to have
// ended.
func (r *run) noteResumed(i int, entry *target.Entry) {
	request, incarnation := r.request(i), entry.Incarnation()
	r.m.suspicions.NoteAnswering(incarnation)
	if r.m.suspicions.Count(request) > 1 {
		r.m.suspicions.Begin(request, incarnation, time.Now())
		return
	}
	r.m.suspicions.Remove(request, incarnation)
}

// lift lifts suspicions against a request, and has the rows that hold them taken back.
func (r *run) lift(request suspicion.Request, lift func()) {
	if r.m.suspicions.Count(request) > 0 {
		lift()
		r.signalSave()
	}
}

// suspect records that an engine may have ended under an item, at a time or shortly after it.
func (r *run) suspect(i int, entry *target.Entry, at time.Time) {
	r.m.suspicions.AddLost(r.request(i), entry.Incarnation(), entry.Info().Service, at)
	r.signalSave()
	r.m.notifyDispatcher()
}

// silentPeriod is how long an attempt without an event may last until its engine may have ended
// without a trace.
const silentPeriod = 200 * time.Millisecond

// silentAttempts returns the items whose attempts had no event for silentPeriod, by engine.
func (r *run) silentAttempts(now time.Time) map[*target.Entry][]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	silent := make(map[*target.Entry][]int)
	for i := range r.progress {
		p := &r.progress[i]
		if r.list.phase(i) == phaseRunning && p.engine != nil && now.Sub(p.silentSince) >= silentPeriod {
			silent[p.engine] = append(silent[p.engine], i)
		}
	}
	return silent
}

// suspectEnded records the silent attempts at engines that don't report, for the next owner. Their
// outcomes will not be known here.
func (m *Manager) suspectEnded(ctx context.Context, r *run, silent map[*target.Entry][]int) {
	var checks sync.WaitGroup
	for entry, items := range silent {
		checks.Go(func() {
			if m.checks.IsRunning(ctx, entry) {
				return
			}
			for _, i := range items {
				m.suspicions.Add(r.request(i), entry.Incarnation(), time.Now())
			}
		})
	}
	checks.Wait()
}

// hold makes a pending item wait until fewer engines may have ended under it.
func (r *run) hold(i int) {
	if !r.changePhase(i, phasePending, phaseHeld) {
		return
	}
	r.m.Events.Emit(event.ItemHeldBack, r.suspicionSubject(i, r.request(i)))
}

// suspicionSubject returns the subject of an event on the suspicions against an item or its score call.
func (r *run) suspicionSubject(i int, request suspicion.Request) event.Subject {
	incarnations := r.m.suspicions.Suspects(request)
	return event.Subject{
		Request: request.ID, Step: r.rec.ID, Slot: r.items[i].ID, Account: r.rec.Account, Count: int64(len(incarnations)), Detail: suspicion.Describe(incarnations),
	}
}

// reviewSuspects checks the engines that may have ended under the items of a run, and releases or
// abandons the items that were held back.
func (m *Manager) reviewSuspects(r *run) {
	if m.suspicions.Empty() && !r.hasHeld() {
		return
	}
	now := time.Now()
	for i, current := range r.phases() {
		switch current {
		case phasePending, phaseRunning:
			// An engine that ran when the item left it may end for another cause while the item runs.
			m.checks.Check(m.ctx, r.request(i), now)
		case phaseUnscored:
			m.checks.CheckListed(r.scoreRequest(i), now)
		case phaseHeld:
			m.checks.Check(m.ctx, r.request(i), now)
			m.reviewHeld(r, i)
		}
	}
}

// reviewHeld releases an item that was held back, or abandons it.
func (m *Manager) reviewHeld(r *run, i int) {
	_, routed := r.needOf(i)
	if !routed || m.canAbandon(r) {
		r.abandonFrom(i, phaseHeld, routed)
		return
	}
	request := r.request(i)
	if m.suspicions.Count(request) < suspicion.MaxEnds && r.changePhase(i, phaseHeld, phasePending) {
		m.Events.Emit(event.ItemReleased, r.suspicionSubject(i, request))
	}
}

// phases returns the phases of all items.
func (r *run) phases() []phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list.phases)
}

// hasHeld reports whether an item is held back.
func (r *run) hasHeld() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.has(phaseHeld)
}

// enginesOfOpenItems returns the engines that may run the run's unfinished items.
func (r *run) enginesOfOpenItems() []*target.Entry {
	var engines []*target.Entry
	seen := make(map[string]bool)
	for i, current := range r.phases() {
		if n, routed := r.needOf(i); routed && current != phaseDone && !seen[n.service] {
			seen[n.service] = true
			engines = append(engines, r.m.engines(n.service, time.Now())...)
		}
	}
	return engines
}

// lostOwnerOf returns what this VM knows of the dead owner of a step. The attempts of this process are in
// its ledger.
func (m *Manager) lostOwnerOf(r stateRecord) suspicion.LostOwner {
	if r.Owner == "" || m.isOwner(r) {
		return suspicion.LostOwner{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	foundDeadAt, ok := m.unownedSince[r.ID]
	if !ok {
		foundDeadAt = time.Now()
	}
	return suspicion.LostOwner{FoundDeadAt: foundDeadAt, KnownSince: r.ownerKnownSince}
}
