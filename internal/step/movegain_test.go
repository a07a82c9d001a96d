package step

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodpond/internal/target"
)

// moveRule decides whether an item moves from one engine to another.
type moveRule func(o *moveOwner, i *movedItem, other *target.Entry, unitTime time.Duration, now time.Time) bool

// thresholdRule is the rule that thresholds decided: 1.8 times the median time for an event, or, while
// no item is pending, 1.2 times that of the other engine.
func thresholdRule(o *moveOwner, _ *movedItem, other *target.Entry, unitTime time.Duration, now time.Time) bool {
	limit := 1.8 * float64(target.MedianUnitTime(o.engines, now))
	there := other.ExpectedUnitTime(now)
	return limit > 0 && float64(unitTime) >= limit && float64(other.UnitTime(now)) < limit ||
		len(o.pending) == 0 && there > 0 && float64(unitTime) >= 1.2*float64(there)
}

// gainRule is the rule of the product.
func gainRule(o *moveOwner, i *movedItem, other *target.Entry, unitTime time.Duration, now time.Time) bool {
	work := o.work
	return move{
		remaining: work.events(i.read, i.hint), shareOfLongest: work.shareOfLongest(i.read, i.hint),
		here: unitTime, there: expectedUnitTime(other, o.pool.median, now),
		reading: moveReading, othersPending: len(o.pending) > 0,
	}.pays()
}

const (
	moveTick    = 2 * time.Millisecond
	moveReading = 3 * time.Millisecond
	// moveRestart is the pass of the dispatcher and the call to the other engine.
	moveRestart   = 8 * time.Millisecond
	moveStepEvery = 4 * time.Second
	// slowPhase is how long other work slows an engine down.
	slowPhase = 600 * time.Millisecond
)

// movePlay plays trainers' steps on engines of three lasting speeds, in virtual time. Each owner of
// steps knows what it has measured itself.
type movePlay struct {
	lengths *rand.Rand
	phases  *rand.Rand
	// checkEvents is the number of events between two checks of a run's speed.
	checkEvents int
	speeds      []float64
	slowTil     []time.Duration
	running     []int
	owners      []*moveOwner
	items       int
	moves       int
	last        []time.Duration
	due         []time.Duration
}

type moveOwner struct {
	engines []*target.Entry
	pool    pool
	rates   eventRates
	work    remainingWork
	fastest time.Duration
	pending []*movedItem
	active  []*movedItem
}

type movedItem struct {
	step           *movedStep
	events         int
	hint           float64
	read           int64
	moves          int
	engine         int
	waits, current time.Duration
	meter          speedMeter
	checkedAt      time.Time
}

type movedStep struct {
	started    time.Duration
	left       int
	groupLeft  map[int]int
	groupsLeft int
	groups     map[*movedItem]int
}

func newMovePlay(seed uint64, checkEvents int) *movePlay {
	p := &movePlay{checkEvents: checkEvents, lengths: rand.New(rand.NewPCG(seed, 5)), phases: rand.New(rand.NewPCG(seed, 6)), slowTil: make([]time.Duration, 48), running: make([]int, 48)}
	for i := range 48 {
		p.speeds = append(p.speeds, []float64{0.7, 0.7, 1.7}[i%3])
	}
	for range 3 {
		engines := engineList(48, 8)
		p.owners = append(p.owners, &moveOwner{engines: engines})
	}
	return p
}

func (p *movePlay) submit(o *moveOwner, at time.Duration) {
	groups := 10 + 5*p.lengths.IntN(2)
	s := &movedStep{started: at, left: groups * 16, groupLeft: map[int]int{}, groupsLeft: groups, groups: map[*movedItem]int{}}
	for g := range groups {
		s.groupLeft[g] = 16
		for range 16 {
			// The mean is 16 events; one in a hundred has more than 40.
			events := int(math.Round(14 * math.Exp(0.45*p.lengths.NormFloat64())))
			i := &movedItem{step: s, events: max(events, 1), hint: 69 * float64(max(events, 1)) * math.Exp(0.25*p.lengths.NormFloat64())}
			s.groups[i] = g
			o.pending = append(o.pending, i)
		}
	}
	p.items += groups * 16
}

// run plays the steps of some rounds under a rule.
func (p *movePlay) run(rounds int, rule moveRule) {
	start := time.Unix(1000, 0)
	n := need{domain: "x"}
	for at := time.Duration(0); ; at += moveTick {
		now := start.Add(at)
		idle := true
		for e := range p.speeds {
			// Phases of 0.6 s take 15 % of the time.
			if at >= p.slowTil[e] && p.phases.Float64() < float64(moveTick)/float64(3400*time.Millisecond) {
				p.slowTil[e] = at + slowPhase
			}
		}
		for k, o := range p.owners {
			if offset := time.Duration(k) * 1300 * time.Millisecond; at >= offset && (at-offset)%moveStepEvery == 0 && int((at-offset)/moveStepEvery) < rounds {
				p.submit(o, at)
			}
			if at%(100*time.Millisecond) == 0 || o.pool.engines == nil {
				o.pool = newTestPool(o.engines, now)
				o.fastest = time.Hour
				for _, e := range o.engines {
					if t := e.ExpectedUnitTime(now); t > 0 {
						o.fastest = min(o.fastest, expectedUnitTime(e, o.pool.median, now))
					}
				}
				o.work = remainingWork{eventsPerToken: o.rates.eventsPerToken("lm")}
				for _, i := range slices.Concat(o.pending, o.active) {
					o.work.longest = max(o.work.longest, o.work.size(i.read, i.hint))
				}
			}
			p.dispatch(o, n, now)
			p.advance(o, n, rule, at, now)
			idle = idle && len(o.pending)+len(o.active) == 0
		}
		if idle && at > time.Duration(rounds)*moveStepEvery {
			return
		}
	}
}

func (p *movePlay) dispatch(o *moveOwner, n need, now time.Time) {
	for len(o.pending) > 0 {
		longest := 0
		for k, i := range o.pending {
			if i.hint > o.pending[longest].hint {
				longest = k
			}
		}
		e := place(o.pool, n, nil, now)
		if e == nil {
			return
		}
		i := o.pending[longest]
		o.pending = append(o.pending[:longest], o.pending[longest+1:]...)
		for k := range o.engines {
			if o.engines[k] == e {
				i.engine = k
			}
		}
		e.Begin()
		p.running[i.engine]++
		i.waits, i.current = moveRestart+moveReading, 0
		i.meter, i.checkedAt = newSpeedMeter(now), now
		o.active = append(o.active, i)
	}
}

func (p *movePlay) advance(o *moveOwner, n need, rule moveRule, at time.Duration, now time.Time) {
	var active []*movedItem
	for _, i := range o.active {
		if p.step(o, i, n, rule, at, now) {
			active = append(active, i)
			continue
		}
		o.engines[i.engine].End()
		p.running[i.engine]--
	}
	o.active = active
}

// step advances an item by a tick, and reports whether it goes on at its engine.
func (p *movePlay) step(o *moveOwner, i *movedItem, n need, rule moveRule, at time.Duration, now time.Time) bool {
	if i.waits > 0 {
		i.waits -= moveTick
		i.meter, i.checkedAt = newSpeedMeter(now), now
		return true
	}
	perEvent := 69 * (0.65 + 0.015*float64(p.running[i.engine])) * p.speeds[i.engine] * float64(time.Millisecond)
	if at < p.slowTil[i.engine] {
		perEvent *= 2.5
	}
	i.current += time.Duration(float64(moveTick) / perEvent * float64(time.Second))
	if i.current < time.Second {
		return true
	}
	i.current -= time.Second
	i.read++
	e := o.engines[i.engine]
	e.NoteLoad(target.Load{Running: p.running[i.engine], Slots: 8}, now)
	if i.read == int64(i.events) {
		p.finish(o, i, at)
		return false
	}
	unitTime, ok := i.meter.addEvent(now)
	if p.checkEvents > 1 {
		// The rule with thresholds measured over four events, without an overlap.
		if ok = i.meter.events%p.checkEvents == 0; ok {
			unitTime, i.checkedAt = now.Sub(i.checkedAt)/time.Duration(p.checkEvents), now
		}
	}
	if !ok {
		return true
	}
	e.NoteUnitTime(unitTime, now)
	if p.checkEvents == 1 && !delaysStep(o.work.shareOfLongest(i.read, i.hint), unitTime, o.fastest) {
		return true
	}
	other := place(o.pool, n, e, now)
	if i.moves >= maxMoves || other == nil || !rule(o, i, other, unitTime, now) {
		return true
	}
	i.moves++
	p.moves++
	o.pending = append(o.pending, i)
	return false
}

func (p *movePlay) finish(o *moveOwner, i *movedItem, at time.Duration) {
	o.rates.note("lm", int64(i.events), i.hint)
	s := i.step
	s.left--
	g := s.groups[i]
	if s.groupLeft[g]--; s.groupLeft[g] == 0 {
		if s.groupsLeft--; s.groupsLeft == len(s.groupLeft)/10 {
			p.due = append(p.due, at-s.started)
		}
	}
	if s.left == 0 {
		p.last = append(p.last, at-s.started)
	}
}

func meanOf(times []time.Duration) time.Duration {
	var sum time.Duration
	for _, t := range times {
		sum += t
	}
	return sum / time.Duration(max(len(times), 1))
}

// Guards against moves that cost more than they gain: engines with lasting speeds of 0.7, 0.7 and 1.7
// times the usual time, and phases of 0.6 s in which they take 2.5 times as long. Runs that are cut
// must stay under a tenth of the items, and the last items must not be later than under the rule
// with thresholds.
func TestMovesPay(t *testing.T) {
	const seeds, rounds = 2, 4
	total := func(rule moveRule, checkEvents int) *movePlay {
		var total movePlay
		for seed := range uint64(seeds) {
			p := newMovePlay(seed, checkEvents)
			p.run(rounds, rule)
			total.items, total.moves = total.items+p.items, total.moves+p.moves
			total.last, total.due = append(total.last, p.last...), append(total.due, p.due...)
		}
		return &total
	}
	before, after := total(thresholdRule, 4), total(gainRule, 1)
	t.Logf("thresholds: %d moves of %d items, nine tenths of the groups after %s, last item after %s", before.moves, before.items, meanOf(before.due), meanOf(before.last))
	t.Logf("gain: %d moves of %d items, nine tenths of the groups after %s, last item after %s", after.moves, after.items, meanOf(after.due), meanOf(after.last))
	if share := float64(after.moves) / float64(after.items); share > 0.1 {
		t.Errorf("%.3f moves for each item", share)
	}
	if meanOf(after.last) > meanOf(before.last) {
		t.Errorf("the last item ends after %s, under the rule with thresholds after %s", meanOf(after.last), meanOf(before.last))
	}
	if limit := meanOf(before.due) * 21 / 20; meanOf(after.due) > limit {
		t.Errorf("nine tenths of the groups are complete after %s, over %s", meanOf(after.due), limit)
	}
}
