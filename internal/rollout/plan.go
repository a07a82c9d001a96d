package rollout

import (
	"slices"
	"time"

	"dogwoodpond/internal/sample"
)

// phase is how far the owner is with a slot.
type phase int

const (
	// pending slots wait for a place.
	pending phase = iota
	// running slots have at least one generation on its way.
	running
	// finishing slots have a result that is scored or waits for its commit.
	finishing
	// filled slots have a committed sample.
	filled
)

const (
	// hedgeAfter is how many times the median duration a generation must have
	// run before it is hedged.
	hedgeAfter = 2
	// hedgePercent bounds the tokens spent on hedges, in percent of the tokens
	// that the step may generate at all.
	hedgePercent = 10
	// overdueAfter is how many times the median duration a run may take before
	// its worker counts as silent, and overdueMin the least time; before any run
	// has ended overdueFirst holds.
	overdueAfter = 8
	overdueMin   = 30 * time.Second
	overdueFirst = 2 * time.Minute
	// maxDoublings bounds the doubling of times that grow with failures.
	maxDoublings = 8
	// slotRestMin and slotRestMax bound the pause of a slot whose result was
	// of no use.
	slotRestMin = 100 * time.Millisecond
	slotRestMax = 5 * time.Second
)

// run is one generation of a slot.
type run struct {
	id       int
	position int
	lane     *lane
	began    time.Time
	hedge    bool
	cancel   func()
}

// slotPlan is the owner's plan for one slot.
type slotPlan struct {
	slot  sample.Slot
	phase phase
	runs  []*run
	// failures counts the results in a row that were of no use.
	failures int
	restTill time.Time
}

// plan decides which slot runs next and where. It does no I/O and reads no
// clock; one goroutine uses it.
type plan struct {
	step  string
	slots []slotPlan
	lanes lanes
	// next numbers the runs.
	next int
	// durations are those of the generations that were of use, sorted.
	durations []time.Duration
	hedging   bool
	maxTokens int
	// hedgeTokens is what the hedges so far may have cost at most.
	hedgeTokens int64
}

func newPlan(step string, d sample.Definition, hedging bool) *plan {
	p := &plan{step: step, lanes: make(lanes), hedging: hedging, maxTokens: d.MaxTokens}
	for _, s := range d.Slots() {
		p.slots = append(p.slots, slotPlan{slot: s})
	}
	return p
}

// starts returns the runs to begin now.
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

// hedges returns second runs for the slots that hold up the end of the step.
// Nothing is hedged while a slot still waits for its first run: the place does
// more good there. Each hedge is charged with the most tokens that it can cost,
// so that the budget holds whatever the engines do.
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

// slowest returns the slots with a single run, the longest running first.
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

// overdue returns the runs that take so long that no answer is expected any
// more. A worker that is cut off from the owner alone stays on the platform's
// list, and its connection may hang for minutes without a failure; a step would
// stand still for as long. A slot that was overdue before gets twice the time,
// so that an answer which truly takes long comes through in the end.
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

// ended takes a run out of the plan. known is false for a run that was
// cancelled before; its report means nothing any more. useful is false when the
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

// won notes the useful result of a run that ended: the slot's other runs are
// cancelled, so that the losers stop costing tokens.
func (p *plan) won(r *run, now time.Time) {
	s := &p.slots[r.position]
	s.phase = finishing
	took := now.Sub(r.began)
	at, _ := slices.BinarySearch(p.durations, took)
	p.durations = slices.Insert(p.durations, at, took)
	p.drop(s)
}

// drop cancels all runs of a slot.
func (p *plan) drop(s *slotPlan) {
	for _, r := range s.runs {
		r.lane.running--
		r.cancel()
	}
	s.runs = nil
}

// dropLane cancels the runs of a worker that is gone. Its slots run elsewhere
// at once, in place of waiting for an answer that may never come.
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

// again puts a slot back whose result was of no use. The pause grows, so that
// an engine that misreports all the time is not kept busy for nothing.
func (p *plan) again(position int, now time.Time) {
	s := &p.slots[position]
	p.drop(s)
	s.phase = pending
	s.restTill = now.Add(min(slotRestMax, slotRestMin<<min(s.failures, maxDoublings)))
	s.failures++
}

// reconcile brings the plan in line with the progress as it was read: slots
// that another owner filled need no run, and withdrawn ones need a new one.
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
