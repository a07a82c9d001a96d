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
	hedgeAfter = 2
	// hedgePercent bounds the tokens spent on hedges, as a percentage of the
	// maximum number of tokens of the step.
	hedgePercent = 10
	// overdueFactor is the multiple of the median duration after which an
	// attempt times out and its worker counts as unresponsive.
	// minOverdueTimeout is the shortest such timeout. initialOverdueTimeout
	// applies until an attempt has succeeded.
	overdueAfter = 8
	overdueMin   = 30 * time.Second
	overdueFirst = 2 * time.Minute
	// maxDoublings bounds the doubling of timeouts and backoffs that grow with
	// failures.
	maxDoublings = 8
	// minSlotBackoff and maxSlotBackoff bound the backoff of a slot after an
	// attempt without an accepted result, and the backoff between two calls to
	// the scoring service.
	slotRestMin = 100 * time.Millisecond
	slotRestMax = 5 * time.Second
)

// attempt is one generation of a slot's sample on a worker.
type run struct {
	id       int
	position int
	lane     *lane
	began    time.Time
	hedge    bool
	cancel   func()
}

// slotState is the owner's state for one slot.
type slotPlan struct {
	slot  sample.Slot
	phase phase
	runs  []*run
	// failures counts consecutive attempts without an accepted result.
	failures int
	restTill time.Time
}

// plan decides which slot is generated next and on which worker. It does no I/O
// and reads no clock. It is not safe for concurrent use.
type plan struct {
	step  string
	slots []slotPlan
	lanes lanes
	// lastID is the ID of the latest attempt.
	next int
	// durations holds the durations of successful attempts, sorted.
	durations []time.Duration
	hedging   bool
	maxTokens int
	// hedgeTokens is the maximum number of tokens that the hedges so far can
	// have generated.
	hedgeTokens int64
}

func newPlan(step string, d sample.Definition, hedging bool) *plan {
	p := &plan{step: step, lanes: make(lanes), hedging: hedging, maxTokens: d.MaxTokens}
	for _, s := range d.Slots() {
		p.slots = append(p.slots, slotPlan{slot: s})
	}
	return p
}

// startPending starts attempts for pending slots while workers have capacity,
// and returns the attempts.
func (p *plan) starts(now time.Time) []*run {
	var begun []*run
	for i := range p.slots {
		s := &p.slots[i]
		if s.phase != pending || now.Before(s.restTill) {
			continue
		}
		l := p.lanes.pick(p.group(s.slot), now, "")
		if l == nil {
			break
		}
		begun = append(begun, p.begin(s, l, now, false))
	}
	return begun
}

func (p *plan) group(s sample.Slot) string { return p.step + "/" + s.Group }

func (p *plan) begin(s *slotPlan, l *lane, now time.Time, hedge bool) *run {
	p.next++
	r := &run{id: p.next, position: s.slot.Position, lane: l, began: now, hedge: hedge}
	l.running++
	s.phase = running
	s.runs = append(s.runs, r)
	return r
}

// startHedges starts second attempts for the slots that delay the end of the
// step, and returns the attempts. It hedges nothing while a slot is pending:
// its first attempt makes better use of the capacity. Each hedge is charged
// with the maximum number of tokens that it can generate, so that the budget
// holds whatever the engines do.
func (p *plan) hedges(now time.Time) []*run {
	if !p.hedging || len(p.durations) == 0 || p.waiting() {
		return nil
	}
	limit := hedgeAfter * p.durations[len(p.durations)/2]
	var begun []*run
	for _, s := range p.slowest() {
		if now.Sub(s.runs[0].began) < limit || !p.affordable() {
			break
		}
		l := p.lanes.pick(p.group(s.slot), now, s.runs[0].lane.worker.VM)
		if l == nil {
			break
		}
		p.hedgeTokens += int64(p.maxTokens)
		begun = append(begun, p.begin(s, l, now, true))
	}
	return begun
}

func (p *plan) waiting() bool {
	return slices.ContainsFunc(p.slots, func(s slotPlan) bool { return s.phase == pending })
}

func (p *plan) affordable() bool {
	budget := int64(len(p.slots)) * int64(p.maxTokens) * hedgePercent / 100
	return p.hedgeTokens+int64(p.maxTokens) <= budget
}

// unhedged returns the slots with a single attempt, the longest running first.
func (p *plan) slowest() []*slotPlan {
	var single []*slotPlan
	for i := range p.slots {
		if s := &p.slots[i]; s.phase == running && len(s.runs) == 1 {
			single = append(single, s)
		}
	}
	slices.SortStableFunc(single, func(a, b *slotPlan) int { return a.runs[0].began.Compare(b.runs[0].began) })
	return single
}

// overdue returns the attempts that have exceeded their timeout. A worker that
// cannot be reached from the owner alone stays on the platform's list, and its
// connection may hang for minutes without an error. The step would stall for as
// long. The timeout doubles with each failure of a slot, so that a generation
// that really takes long succeeds in the end.
func (p *plan) overdue(now time.Time) []*run {
	limit := overdueFirst
	if n := len(p.durations); n > 0 {
		limit = max(overdueMin, overdueAfter*p.durations[n/2])
	}
	var late []*run
	for i := range p.slots {
		s := &p.slots[i]
		for _, r := range s.runs {
			if now.Sub(r.began) > limit<<min(s.failures, maxDoublings) {
				late = append(late, r)
			}
		}
	}
	return late
}

// remove removes an attempt from the plan. found is false for an attempt that
// was canceled before, whose result must be ignored. needed is false when the
// slot needs no result.
func (p *plan) ended(r *run) (known, useful bool) {
	s := &p.slots[r.position]
	at := slices.Index(s.runs, r)
	if at < 0 {
		return false, false
	}
	r.lane.running--
	s.runs = slices.Delete(s.runs, at, at+1)
	if len(s.runs) == 0 && s.phase == running {
		s.phase = pending
	}
	return true, s.phase == pending || s.phase == running
}

// succeed records that an attempt returned a result that its slot needs. It
// cancels the slot's other attempts, so that they generate no more tokens.
func (p *plan) won(r *run, now time.Time) {
	s := &p.slots[r.position]
	s.phase = finishing
	took := now.Sub(r.began)
	at, _ := slices.BinarySearch(p.durations, took)
	p.durations = slices.Insert(p.durations, at, took)
	p.drop(s)
}

// cancelAttempts cancels all attempts of a slot.
func (p *plan) drop(s *slotPlan) {
	for _, r := range s.runs {
		r.lane.running--
		r.cancel()
	}
	s.runs = nil
}

// removeWorker cancels the attempts on a removed worker. Their slots are
// generated elsewhere at once, instead of waiting for an answer that may never
// arrive.
func (p *plan) dropLane(l *lane) {
	for i := range p.slots {
		s := &p.slots[i]
		for _, r := range slices.Clone(s.runs) {
			if r.lane == l {
				r.cancel()
				p.ended(r)
			}
		}
	}
}

// retry makes a slot without an accepted result pending again. The backoff
// grows with each failure, to limit the load on an engine that always
// misreports.
func (p *plan) again(position int, now time.Time) {
	s := &p.slots[position]
	p.drop(s)
	s.phase = pending
	s.restTill = now.Add(min(slotRestMax, slotRestMin<<min(s.failures, maxDoublings)))
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
			p.drop(s)
			s.phase = filled
		case !has && s.phase == filled:
			s.phase = pending
			s.failures = 0
		}
	}
}
