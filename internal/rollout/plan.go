package rollout

import (
	"slices"
	"time"

	"dogwoodpond/internal/sample"
)

// phase is the state of a slot at its owner.
type phase int

const (
	// pending slots wait for a worker with capacity.
	pending phase = iota
	// running slots have at least one attempt in flight.
	running
	// finishing slots have a result that is being scored or waits for its
	// commit.
	finishing
	// filled slots have a committed sample.
	filled
)

const (
	// hedgeFactor is the multiple of the median duration after which an attempt
	// is hedged.
	hedgeFactor = 2
	// hedgePercent bounds the tokens spent on hedges, as a percentage of the
	// maximum number of tokens of the step.
	hedgePercent = 10
	// overdueFactor is the multiple of the median duration after which an
	// attempt times out and its worker counts as unresponsive.
	// minOverdueTimeout is the shortest such timeout. initialOverdueTimeout
	// applies until an attempt has succeeded.
	overdueFactor         = 8
	minOverdueTimeout     = 30 * time.Second
	initialOverdueTimeout = 2 * time.Minute
	// maxDoublings bounds the doubling of timeouts and backoffs that grow with
	// failures.
	maxDoublings = 8
	// minSlotBackoff and maxSlotBackoff bound the backoff of a slot after an
	// attempt without an accepted result, and the backoff between two calls to
	// the scoring service.
	minSlotBackoff = 100 * time.Millisecond
	maxSlotBackoff = 5 * time.Second
)

// attempt is one generation of a slot's sample on a worker.
type attempt struct {
	id       int
	position int
	worker   *workerState
	began    time.Time
	hedge    bool
	cancel   func()
}

// slotState is the owner's state for one slot.
type slotState struct {
	slot     sample.Slot
	phase    phase
	attempts []*attempt
	// failures counts consecutive attempts without an accepted result.
	failures int
	retryAt  time.Time
}

// plan decides which slot is generated next and on which worker. It does no I/O
// and reads no clock. It is not safe for concurrent use.
type plan struct {
	step      string
	slots     []slotState
	workerSet workerSet
	// lastID is the ID of the latest attempt.
	lastID int
	// durations holds the durations of successful attempts, sorted.
	durations []time.Duration
	hedging   bool
	maxTokens int
	// hedgeTokens is the maximum number of tokens that the hedges so far can
	// have generated.
	hedgeTokens int64
}

func newPlan(step string, d sample.Definition, hedging bool) *plan {
	p := &plan{step: step, workerSet: make(workerSet), hedging: hedging, maxTokens: d.MaxTokens}
	for _, s := range d.Slots() {
		p.slots = append(p.slots, slotState{slot: s})
	}
	return p
}

// startPending starts attempts for pending slots while workers have capacity,
// and returns the attempts.
func (p *plan) startPending(now time.Time) []*attempt {
	var started []*attempt
	for i := range p.slots {
		s := &p.slots[i]
		if s.phase != pending || now.Before(s.retryAt) {
			continue
		}
		w := p.workerSet.pick(p.group(s.slot), now, "")
		if w == nil {
			break
		}
		started = append(started, p.startAttempt(s, w, now, false))
	}
	return started
}

func (p *plan) group(s sample.Slot) string { return p.step + "/" + s.Group }

func (p *plan) startAttempt(s *slotState, w *workerState, now time.Time, hedge bool) *attempt {
	p.lastID++
	a := &attempt{id: p.lastID, position: s.slot.Position, worker: w, began: now, hedge: hedge}
	w.inFlight++
	s.phase = running
	s.attempts = append(s.attempts, a)
	return a
}

// startHedges starts second attempts for the slots that delay the end of the
// step, and returns the attempts. It hedges nothing while a slot is pending:
// its first attempt makes better use of the capacity. Each hedge is charged
// with the maximum number of tokens that it can generate, so that the budget
// holds whatever the engines do.
func (p *plan) startHedges(now time.Time) []*attempt {
	if !p.hedging || len(p.durations) == 0 || p.hasPending() {
		return nil
	}
	threshold := hedgeFactor * p.durations[len(p.durations)/2]
	var started []*attempt
	for _, s := range p.unhedged() {
		if now.Sub(s.attempts[0].began) < threshold || !p.hasHedgeBudget() {
			break
		}
		w := p.workerSet.pick(p.group(s.slot), now, s.attempts[0].worker.info.VM)
		if w == nil {
			break
		}
		p.hedgeTokens += int64(p.maxTokens)
		started = append(started, p.startAttempt(s, w, now, true))
	}
	return started
}

func (p *plan) hasPending() bool {
	return slices.ContainsFunc(p.slots, func(s slotState) bool { return s.phase == pending })
}

func (p *plan) hasHedgeBudget() bool {
	budget := int64(len(p.slots)) * int64(p.maxTokens) * hedgePercent / 100
	return p.hedgeTokens+int64(p.maxTokens) <= budget
}

// unhedged returns the slots with a single attempt, the longest running first.
func (p *plan) unhedged() []*slotState {
	var single []*slotState
	for i := range p.slots {
		if s := &p.slots[i]; s.phase == running && len(s.attempts) == 1 {
			single = append(single, s)
		}
	}
	slices.SortStableFunc(single, func(a, b *slotState) int { return a.attempts[0].began.Compare(b.attempts[0].began) })
	return single
}

// overdue returns the attempts that have exceeded their timeout. A worker that
// is cut off from the owner only stays on the platform's list, and a connection
// to it may hang for minutes without an error; without the timeout the step
// would stall for as long. The timeout doubles with each failure of a slot, so that a generation
// that really takes long succeeds in the end.
func (p *plan) overdue(now time.Time) []*attempt {
	timeout := initialOverdueTimeout
	if n := len(p.durations); n > 0 {
		timeout = max(minOverdueTimeout, overdueFactor*p.durations[n/2])
	}
	var expired []*attempt
	for i := range p.slots {
		s := &p.slots[i]
		for _, a := range s.attempts {
			if now.Sub(a.began) > timeout<<min(s.failures, maxDoublings) {
				expired = append(expired, a)
			}
		}
	}
	return expired
}

// remove removes an attempt from the plan. found is false for an attempt that
// was canceled before, whose result must be ignored. needed is false when the
// slot needs no result.
func (p *plan) remove(a *attempt) (found, needed bool) {
	s := &p.slots[a.position]
	index := slices.Index(s.attempts, a)
	if index < 0 {
		return false, false
	}
	a.worker.inFlight--
	s.attempts = slices.Delete(s.attempts, index, index+1)
	if len(s.attempts) == 0 && s.phase == running {
		s.phase = pending
	}
	return true, s.phase == pending || s.phase == running
}

// markSucceeded records that an attempt returned a result that its slot needs.
// It cancels the slot's other attempts, so that they generate no more tokens.
func (p *plan) markSucceeded(a *attempt, now time.Time) {
	s := &p.slots[a.position]
	s.phase = finishing
	took := now.Sub(a.began)
	index, _ := slices.BinarySearch(p.durations, took)
	p.durations = slices.Insert(p.durations, index, took)
	p.cancelAttempts(s)
}

// cancelAttempts cancels all attempts of a slot.
func (p *plan) cancelAttempts(s *slotState) {
	for _, a := range s.attempts {
		a.worker.inFlight--
		a.cancel()
	}
	s.attempts = nil
}

// removeWorker cancels the attempts on a removed worker. Their slots are
// generated elsewhere at once and don't wait for an answer that may never arrive.
func (p *plan) removeWorker(w *workerState) {
	for i := range p.slots {
		s := &p.slots[i]
		for _, a := range slices.Clone(s.attempts) {
			if a.worker == w {
				a.cancel()
				p.remove(a)
			}
		}
	}
}

// retry makes a slot without an accepted result pending again. The backoff
// grows with each failure, to limit the load on an engine that always
// misreports. A filled slot stays filled: only reconcile knows that its sample was
// withdrawn.
func (p *plan) retry(position int, now time.Time) {
	s := &p.slots[position]
	if s.phase == filled {
		return
	}
	p.cancelAttempts(s)
	s.phase = pending
	s.retryAt = now.Add(min(maxSlotBackoff, minSlotBackoff<<min(s.failures, maxDoublings)))
	s.failures++
}

// reconcile updates the plan from the progress that was read: slots that
// another owner filled need no attempt, and slots of withdrawn samples need a
// new one.
func (p *plan) reconcile(progress sample.Progress) {
	for i := range p.slots {
		s := &p.slots[i]
		switch has := progress.Has(i); {
		case has && s.phase != filled:
			p.cancelAttempts(s)
			s.phase = filled
		case !has && s.phase == filled:
			s.phase = pending
			s.failures = 0
		}
	}
}
