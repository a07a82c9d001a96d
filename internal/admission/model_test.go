package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/target"
)

// The model plays a burst of plain requests of many VMs at few upstreams in virtual time, with
// the choice of upstreams, the hedge delay and the retry budget of the product.

const (
	modelObjective = 150 * time.Millisecond
	modelDeadline  = 1500 * time.Millisecond
	// callerTrip and upstreamTrip are one-way latencies.
	callerTrip   = 3 * time.Millisecond
	upstreamTrip = 2 * time.Millisecond
	modelService = "desk"
	// busyWait is how long callers wait after a refusal.
	busyWait = 250 * time.Millisecond
	// maxRefusals limits the attempts of a request that upstreams refuse.
	maxRefusals = 4
)

// load is one load of the model.
type load struct {
	vms, upstreams, slots, queue int
	// rate is the usual rate of requests per second; it is multiplied by factor from burstAt on.
	rate, factor   float64
	burstAt, endAt time.Duration
	work           time.Duration
	slowed         int // upstreams that are slowBy times as slow from burstAt on
	slowBy         float64
	phaseShare     float64 // share of phases of 0.6 s in which a machine is 2.5 times as slow
	seed           uint64
}

// way is a way to decide about attempts.
type way struct {
	choose     func(vm *modelVM, skip []*target.Entry, spareOnly bool, now time.Time) *target.Entry
	hedgeDelay func(*modelVM, *target.Entry, time.Time) time.Duration
	mayHedge   func(*modelVM, time.Time) bool
	// noteRefusal records the refusal by a full upstream.
	noteRefusal func(*target.Entry, time.Time)
	noteAnswer  func(*target.Entry, time.Duration, time.Time)
}

// earlierWay sends by the cost function and hedges at a share of the objective, without regard to load.
var earlierWay = way{
	choose: func(vm *modelVM, skip []*target.Entry, spareOnly bool, now time.Time) *target.Entry {
		entries := vm.roster.Usable(modelService, now)
		median := target.MedianUnitTime(entries, now)
		var best *target.Entry
		var least float64
		for _, e := range entries {
			cost := float64(e.InFlight()+e.OthersInFlight(now)) / float64(e.Slots())
			if e.Info().FailureDomain != vm.domain {
				cost += 0.35
			}
			if t := e.UnitTime(now); median > 0 && t > 2*median {
				cost += 0.8
			}
			if e.Suspect(now) {
				cost += 100
			}
			if !slices.Contains(skip, e) && (best == nil || cost < least) {
				best, least = e, cost
			}
		}
		return best
	},
	hedgeDelay: func(*modelVM, *target.Entry, time.Time) time.Duration {
		return forward.HedgeDelay(modelObjective, 0, 0)
	},
	mayHedge:    func(*modelVM, time.Time) bool { return true },
	noteRefusal: func(e *target.Entry, now time.Time) { e.NoteFailure(now) },
	noteAnswer:  func(e *target.Entry, took time.Duration, now time.Time) { e.NoteUnitTime(took, now) },
}

// expectedTimeWay chooses by the expected time, and hedges from spare capacity only.
var expectedTimeWay = way{
	choose: func(vm *modelVM, skip []*target.Entry, spareOnly bool, now time.Time) *target.Entry {
		return vm.roster.Choose(target.Criteria{Service: modelService, Domain: vm.domain, Skip: skip, SpareOnly: spareOnly}, now)
	},
	hedgeDelay: func(vm *modelVM, e *target.Entry, now time.Time) time.Duration {
		here, elsewhere := vm.roster.ExpectedTimes(e, now)
		return forward.HedgeDelay(modelObjective, here, elsewhere)
	},
	mayHedge:    func(vm *modelVM, now time.Time) bool { return !vm.roster.Loaded(modelService, now) },
	noteRefusal: func(*target.Entry, time.Time) {},
	noteAnswer:  func(e *target.Entry, took time.Duration, now time.Time) { e.NoteAnswerTime(took, now) },
}

type modelVM struct {
	domain string
	roster *target.Roster
	budget *retry.Budget
}

type modelRequest struct {
	arrived  time.Duration
	vm       *modelVM
	tried    []*target.Entry
	pending  []*modelAttempt
	refusals int
	ran      int
	done     bool
	repeated bool
}

type modelAttempt struct {
	request  *modelRequest
	entry    *target.Entry
	sent     time.Duration
	canceled bool
}

type modelUpstream struct {
	index, running int
	waiting        []*modelAttempt
}

// outcome is what callers get, and what it costs.
type outcome struct {
	requests, inTime, late, refused, arrivals, rejected, wasted int
}

func (o outcome) String() string {
	return fmt.Sprintf("%d of %d in time, %d late, %d refused; %.2f arrivals per request, %d rejected, %d ran for nothing",
		o.inTime, o.requests, o.late, o.refused, o.arrivalsPerRequest(), o.rejected, o.wasted)
}

type timer struct {
	at   time.Duration
	seq  int
	call func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

type model struct {
	load
	way       way
	random    *rand.Rand
	now       time.Duration
	timers    timers
	seq       int
	vms       []*modelVM
	upstreams []*modelUpstream
	result    outcome
}

func (m *model) after(d time.Duration, call func()) {
	m.seq++
	heap.Push(&m.timers, timer{m.now + d, m.seq, call})
}

// modelStart is later than the time at which entries are created, when upstreams count as cold.
var modelStart = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *model) clock() time.Time { return modelStart.Add(m.now) }

func (l load) play(w way) outcome {
	m := &model{load: l, way: w, random: rand.New(rand.NewPCG(l.seed, 5))}
	var list []target.Instance
	for i := range l.upstreams {
		m.upstreams = append(m.upstreams, &modelUpstream{index: i})
		list = append(list, target.Instance{ID: fmt.Sprint(i), Service: modelService, FailureDomain: fmt.Sprint("d", i%4), Slots: l.slots})
	}
	for i := range l.vms {
		events := event.NewRecorder("vm", 1, event.NewClock(m.clock), zap.NewNop())
		vm := &modelVM{domain: fmt.Sprint("d", i%4), roster: target.NewRoster(events), budget: retry.NewBudget()}
		vm.roster.SetRandom(m.random.Float64)
		vm.roster.Replace(list)
		m.vms = append(m.vms, vm)
	}
	m.scheduleArrival()
	for len(m.timers) > 0 {
		t := heap.Pop(&m.timers).(timer)
		m.now = t.at
		t.call()
	}
	return m.result
}

func (m *model) scheduleArrival() {
	rate := m.rate
	if m.now >= m.burstAt {
		rate *= m.factor
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now >= m.endAt {
			return
		}
		m.scheduleArrival()
		r := &modelRequest{arrived: m.now, vm: m.vms[m.random.IntN(len(m.vms))]}
		m.result.requests++
		m.begin(r)
	})
}

// begin serves a request at its VM.
func (m *model) begin(r *modelRequest) {
	if !m.send(r, false) {
		m.refuse(r)
		return
	}
	m.after(m.way.hedgeDelay(r.vm, r.tried[0], m.clock()), func() {
		if !r.done && len(r.pending) == 1 && r.ran == 0 && m.way.mayHedge(r.vm, m.clock()) && r.vm.budget.Take() {
			m.send(r, true)
		}
	})
	m.after(modelDeadline-(m.now-r.arrived), func() {
		if !r.done {
			m.end(r)
			m.result.late++
		}
	})
}

func (m *model) end(r *modelRequest) {
	r.done = true
	for _, a := range r.pending {
		m.after(upstreamTrip, func() { a.canceled = true })
	}
}

func (m *model) refuse(r *modelRequest) {
	if r.repeated {
		r.done = true
		m.result.refused++
		return
	}
	m.after(busyWait+2*callerTrip, func() {
		*r = modelRequest{arrived: r.arrived, vm: m.vms[m.random.IntN(len(m.vms))], repeated: true}
		m.begin(r)
	})
}

func (m *model) send(r *modelRequest, spareOnly bool) bool {
	e := m.way.choose(r.vm, r.tried, spareOnly, m.clock())
	if e == nil {
		return false
	}
	e.TryBegin()
	a := &modelAttempt{request: r, entry: e, sent: m.now}
	r.tried, r.pending = append(r.tried, e), append(r.pending, a)
	u := m.upstreams[slices.IndexFunc(m.upstreams, func(u *modelUpstream) bool { return fmt.Sprint(u.index) == e.Info().ID })]
	m.after(upstreamTrip, func() { m.arrive(u, a) })
	return true
}

func (m *model) arrive(u *modelUpstream, a *modelAttempt) {
	m.result.arrivals++
	switch {
	case u.running < m.slots:
		m.run(u, a)
	case len(u.waiting) < m.queue:
		u.waiting = append(u.waiting, a)
	default:
		m.result.rejected++
		m.respond(u, a, false)
	}
}

func (m *model) run(u *modelUpstream, a *modelAttempt) {
	u.running++
	took := float64(m.work)
	if m.now >= m.burstAt && u.index >= m.load.upstreams-m.slowed {
		took *= m.slowBy
	}
	const phase, phaseFactor = 600 * time.Millisecond, 2.5
	if rand.New(rand.NewPCG(m.seed^uint64(u.index)<<32, uint64(m.now/phase))).Float64() < m.phaseShare {
		took *= phaseFactor
	}
	m.after(time.Duration(took), func() {
		m.respond(u, a, true)
		u.running--
		for len(u.waiting) > 0 && u.running < m.slots {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			if next.canceled {
				m.respond(u, next, false)
				continue
			}
			m.run(u, next)
		}
	})
}

func (m *model) respond(u *modelUpstream, a *modelAttempt, ran bool) {
	report := target.Load{Running: u.running, Waiting: len(u.waiting), Slots: m.slots}
	m.after(upstreamTrip, func() {
		r, now := a.request, m.clock()
		defer a.entry.End()
		if a.canceled || r.done || !slices.Contains(r.pending, a) {
			if ran {
				m.result.wasted++
			}
			return
		}
		a.entry.NoteLoad(report, now)
		r.pending = slices.DeleteFunc(r.pending, func(p *modelAttempt) bool { return p == a })
		if !ran {
			m.way.noteRefusal(a.entry, now)
			if r.refusals++; (r.refusals > maxRefusals || !m.send(r, true)) && len(r.pending) == 0 {
				m.refuse(r)
			}
			return
		}
		m.way.noteAnswer(a.entry, m.now-a.sent, now)
		r.vm.budget.NoteSuccess()
		for _, p := range r.pending {
			p.entry.NoteUnitTime(m.now-p.sent, now)
		}
		m.end(r)
		if m.now-r.arrived+2*callerTrip <= modelObjective {
			m.result.inTime++
		} else {
			m.result.late++
		}
	})
}

var burst = load{
	vms: 60, upstreams: 4, slots: 6, queue: 24, rate: 12, factor: 20, burstAt: 6 * time.Second, endAt: 12 * time.Second,
	work: 25 * time.Millisecond, slowed: 3, slowBy: 4,
}

func (o outcome) share() float64 { return float64(o.inTime) / float64(o.requests) }

func (o outcome) arrivalsPerRequest() float64 { return float64(o.arrivals) / float64(o.requests) }

func (o *outcome) add(other outcome) {
	o.requests, o.inTime, o.late, o.refused = o.requests+other.requests, o.inTime+other.inTime, o.late+other.late, o.refused+other.refused
	o.arrivals, o.rejected, o.wasted = o.arrivals+other.arrivals, o.rejected+other.rejected, o.wasted+other.wasted
}

// playSeeds plays the burst with a change and five seeds.
func playSeeds(change func(*load), w way) (sum outcome) {
	for seed := range uint64(5) {
		l := burst
		l.seed = seed
		change(&l)
		sum.add(l.play(w))
	}
	return sum
}

// Guards against a burst of 20 times the usual rate while three of four upstreams are 4 times as
// slow, in which requests that are sent again and again take the capacity that would be enough
// for each of them once.
func TestBurstAtSlowUpstreamsIsServed(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*load)
		// inTime is the least share of requests that are answered in time, and arrivals the
		// largest number of arrivals per request.
		inTime, arrivals float64
	}{
		{"burst", func(*load) {}, 0.92, 1.15},
		{"burst, phases", func(l *load) { l.phaseShare = 0.15 }, 0.75, 1.2},
		{"burst at even upstreams, phases", func(l *load) { l.slowed, l.phaseShare = 0, 0.15 }, 0.99, 1.15},
		{"usual rate, phases", func(l *load) { l.factor, l.slowed, l.phaseShare = 1, 0, 0.15 }, 0.99, 1.2},
	} {
		earlier, now := playSeeds(c.change, earlierWay), playSeeds(c.change, expectedTimeWay)
		t.Logf("%s, earlier: %s", c.name, earlier)
		t.Logf("%s, expected time: %s", c.name, now)
		if now.share() < c.inTime || now.share() < earlier.share() || now.arrivalsPerRequest() > c.arrivals {
			t.Errorf("%s: too few requests in time, or too many arrivals", c.name)
		}
	}
}
