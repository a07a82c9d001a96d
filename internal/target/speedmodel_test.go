package target

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model compares ways to estimate how fast upstreams are at the moment, in virtual time:
// from the durations that a VM has measured, or from the slowdown that load reports carry.

// machinePark models machines that upstreams share with other work. Each has a speed of its
// own, and phases in which the other work slows it down.
type machinePark struct {
	// speeds are the slowdowns of the machines without other work, used in turn.
	speeds []float64
	// In each period a machine is slowed down by slowFactor with probability slowShare.
	period     time.Duration
	slowShare  float64
	slowFactor float64
	// together makes all machines slow in the same periods.
	together bool
	seed     uint64
}

// slowdown returns the slowdown of a machine at a time.
func (p machinePark) slowdown(machine int, at time.Duration) float64 {
	factor := p.speeds[machine%len(p.speeds)]
	stream := uint64(machine)
	if p.together {
		stream = 0
	}
	if rand.New(rand.NewPCG(p.seed^stream<<32, uint64(at/p.period))).Float64() < p.slowShare {
		factor *= p.slowFactor
	}
	return factor
}

// finish returns when work that starts at a time is done on a machine.
func (p machinePark) finish(machine int, from, work time.Duration) time.Duration {
	for {
		factor := p.slowdown(machine, from)
		end := from - from%p.period + p.period
		if done := time.Duration(float64(end-from) / factor); done < work {
			work -= done
			from = end
			continue
		}
		return from + time.Duration(float64(work)*factor)
	}
}

// speedView is what one VM concludes about the speeds of upstreams: a way to weigh reported
// slowdowns and measured times.
type speedView interface {
	note(upstream int, slowdown float64, took time.Duration, now time.Time)
	// unitTime returns the expected time for one unit of work; 0 if unknown.
	unitTime(upstream int, now time.Time) float64
}

// measuredView ignores reports and uses measured times.
type measuredView struct{ entries []*Entry }

func (v measuredView) note(i int, _ float64, took time.Duration, now time.Time) {
	v.entries[i].NoteUnitTime(took, now)
}
func (v measuredView) unitTime(i int, now time.Time) float64 {
	return float64(v.entries[i].ExpectedUnitTime(now))
}

// lastReportView uses the last report alone.
type lastReportView struct{ last []float64 }

func (v lastReportView) note(i int, slowdown float64, _ time.Duration, _ time.Time) {
	v.last[i] = slowdown
}
func (v lastReportView) unitTime(i int, _ time.Time) float64 { return v.last[i] }

const (
	// slowdownMemory is the time constant with which slowdownAverage forgets reports.
	slowdownMemory = 4 * time.Second
	// slowdownPrior is the weight of the assumption that work takes as long as usual, as a
	// multiple of the weight of reports over slowdownMemory.
	slowdownPrior = 0.25
)

// slowdownAverage is the average of an upstream's reported slowdowns, with a confidence that
// grows with the time that the reports cover and falls with their age.
type slowdownAverage struct {
	sum, weight float64
	at          time.Time
}

func (s *slowdownAverage) note(slowdown float64, now time.Time) {
	remaining := s.remaining(now)
	added := 1 - remaining
	s.sum = s.sum*remaining + slowdown*added
	s.weight = s.weight*remaining + added
	s.at = now
}

// remaining returns the share of the weight that has not been forgotten at now.
func (s *slowdownAverage) remaining(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(s.at)) / float64(slowdownMemory))
}

// value returns the estimate of the slowdown at now: 1 without reports.
func (s *slowdownAverage) value(now time.Time) float64 {
	remaining := s.remaining(now)
	return (s.sum*remaining + slowdownPrior) / (s.weight*remaining + slowdownPrior)
}

// averagedReportView uses the decayed average of the reports alone.
type averagedReportView struct{ averages []slowdownAverage }

func (v averagedReportView) note(i int, slowdown float64, _ time.Duration, now time.Time) {
	v.averages[i].note(slowdown, now)
}
func (v averagedReportView) unitTime(i int, now time.Time) float64 {
	return v.averages[i].value(now)
}

// combinedView multiplies the decayed average by the measured time relative to it.
type combinedView struct {
	averages []slowdownAverage
	entries  []*Entry
}

func (v combinedView) note(i int, slowdown float64, took time.Duration, now time.Time) {
	v.averages[i].note(slowdown, now)
	v.entries[i].NoteUnitTime(time.Duration(float64(took)/v.averages[i].value(now)), now)
}
func (v combinedView) unitTime(i int, now time.Time) float64 {
	return float64(v.entries[i].ExpectedUnitTime(now)) * v.averages[i].value(now)
}

// measured is the name of the view that the roster uses.
const measured = "measured"

var speedViews = []struct {
	name   string
	create func(upstreams int) speedView
}{
	{measured, func(n int) speedView { return measuredView{modelEntries(n)} }},
	{"last report", func(n int) speedView { return lastReportView{make([]float64, n)} }},
	{"averaged", func(n int) speedView { return averagedReportView{make([]slowdownAverage, n)} }},
	{"combined", func(n int) speedView { return combinedView{make([]slowdownAverage, n), modelEntries(n)} }},
}

func modelEntries(n int) []*Entry {
	entries := make([]*Entry, n)
	for i := range entries {
		entries[i] = newEntry(nil, Instance{ID: fmt.Sprint(i)})
	}
	return entries
}

// speedModel plays requests of several VMs at the upstreams of one service.
type speedModel struct {
	park             machinePark
	upstreams, slots int
	vms              int
	// Each VM starts a burst of requests per interval; a single request starts at a random
	// time.
	burst    int
	interval time.Duration
	duration time.Duration
	// A request takes units of work on a machine without slowdown.
	work  time.Duration
	units int
	// speedCost returns the cost of an upstream by its speed relative to the median.
	speedCost func(ratio float64) float64
}

type modelEvent struct {
	at           time.Duration
	vm, upstream int
	arrived      time.Duration
	started      time.Duration
	burst        int
	// arrival is true for the start of a burst.
	arrival bool
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// speedResult is what callers get.
type speedResult struct {
	// mean is the mean duration of a request.
	mean time.Duration
	// burst90 is the mean time until 90 of 100 requests of a burst are done.
	burst90 time.Duration
	// fullest is the mean load of the fullest upstream when a request starts, as a multiple of
	// an equal share.
	fullest float64
}

func (m speedModel) play(create func(int) speedView, seed uint64) speedResult {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(0, 0).Add(time.Hour)
	views := make([]speedView, m.vms)
	for i := range views {
		views[i] = create(m.upstreams)
	}
	running := make([]int, m.upstreams)
	waiting := make([][]modelEvent, m.upstreams)
	var events modelEvents
	for vm := range m.vms {
		for at := time.Duration(random.Int64N(int64(m.interval))); at < m.duration; {
			heap.Push(&events, modelEvent{at: at, vm: vm, arrival: true})
			gap := m.interval
			if m.burst == 1 {
				gap = time.Duration(random.ExpFloat64() * float64(m.interval))
			}
			at += gap
		}
	}
	var times []time.Duration
	var burstTimes [][]time.Duration
	var fullest float64
	begin := func(e modelEvent, now time.Duration) {
		running[e.upstream]++
		e.started = now
		e.at = m.park.finish(e.upstream, now, m.work*time.Duration(m.units))
		heap.Push(&events, e)
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(modelEvent)
		now := start.Add(e.at)
		if e.arrival {
			burstTimes = append(burstTimes, nil)
			for range m.burst {
				chosen := m.choose(views[e.vm], running, waiting, now)
				request := modelEvent{vm: e.vm, upstream: chosen, arrived: e.at, burst: len(burstTimes) - 1}
				if running[chosen] < m.slots {
					begin(request, e.at)
				} else {
					waiting[chosen] = append(waiting[chosen], request)
				}
				sum := 0
				for _, n := range running {
					sum += n
				}
				fullest += float64(slices.Max(running)) * float64(m.upstreams) / float64(sum)
			}
			continue
		}
		running[e.upstream]--
		if queue := waiting[e.upstream]; len(queue) > 0 {
			waiting[e.upstream] = queue[1:]
			begin(queue[0], e.at)
		}
		took := e.at - e.arrived
		times = append(times, took)
		burstTimes[e.burst] = append(burstTimes[e.burst], took)
		views[e.vm].note(e.upstream, math.Round(100*m.park.slowdown(e.upstream, e.at))/100, (e.at-e.started)/time.Duration(m.units), now)
	}
	var bursts []time.Duration
	for _, b := range burstTimes {
		slices.Sort(b)
		bursts = append(bursts, b[(len(b)*9-1)/10])
	}
	return speedResult{mean: meanOf(times), burst90: meanOf(bursts), fullest: fullest / float64(len(times))}
}

func meanOf(times []time.Duration) time.Duration {
	var total time.Duration
	for _, d := range times {
		total += d
	}
	return total / time.Duration(len(times))
}

// choose returns the upstream with the lowest cost, as a VM that knows the counts does.
func (m speedModel) choose(view speedView, running []int, waiting [][]modelEvent, now time.Time) int {
	var known []float64
	for i := range m.upstreams {
		if t := view.unitTime(i, now); t > 0 {
			known = append(known, t)
		}
	}
	slices.Sort(known)
	best, least := 0, math.Inf(1)
	for i := range m.upstreams {
		cost := float64(running[i]+len(waiting[i])) / float64(m.slots)
		if running[i] >= m.slots {
			cost += 10
		}
		if t := view.unitTime(i, now); t > 0 {
			cost += m.speedCost(t / known[(len(known)-1)/2])
		}
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}

// plainCost and placementCost weigh the speed of an upstream as Choose and the placement of
// items do.
func plainCost(ratio float64) float64 {
	if ratio > slowFactor {
		return slowCost
	}
	return 0
}

func placementCost(ratio float64) float64 { return 5 * min(ratio-1, 1) }

// Guards against an estimate of speeds that follows the slowdowns in load reports although
// callers are served no better by it: reports are seldom fresh, and what lasts shows in the
// measured durations as well.
func TestMeasuredTimesServeAsWellAsReportedSlowdowns(t *testing.T) {
	plain := speedModel{upstreams: 4, slots: 6, vms: 60, work: 21 * time.Millisecond, units: 1, burst: 1, interval: 1200 * time.Millisecond, duration: 60 * time.Second, speedCost: plainCost}
	steps := speedModel{upstreams: 48, slots: 8, vms: 3, work: 20 * time.Millisecond, units: 17, burst: 220, interval: 4 * time.Second, duration: 60 * time.Second, speedCost: placementCost}
	const tolerance = 1.02
	even, uneven := []float64{1}, []float64{0.7, 0.7, 1.7}
	for _, load := range []struct {
		name  string
		model speedModel
	}{{"plain requests", plain}, {"steps", steps}} {
		means, bursts := make(map[string]float64), make(map[string]float64)
		for _, park := range []struct {
			name string
			park machinePark
		}{
			{"even", machinePark{speeds: even, period: time.Second}},
			{"even, phases", machinePark{speeds: even, period: 600 * time.Millisecond, slowShare: 0.15, slowFactor: 2.5}},
			{"even, short phases", machinePark{speeds: even, period: 60 * time.Millisecond, slowShare: 0.15, slowFactor: 2.5}},
			{"uneven", machinePark{speeds: uneven, period: time.Second}},
			{"uneven, phases", machinePark{speeds: uneven, period: 600 * time.Millisecond, slowShare: 0.15, slowFactor: 2.5}},
			{"uneven, phases together", machinePark{speeds: uneven, period: 600 * time.Millisecond, slowShare: 0.15, slowFactor: 2.5, together: true}},
			{"uneven, short phases", machinePark{speeds: uneven, period: 60 * time.Millisecond, slowShare: 0.15, slowFactor: 2.5}},
			{"uneven, long phases", machinePark{speeds: uneven, period: 6 * time.Second, slowShare: 0.15, slowFactor: 2.5}},
		} {
			for _, view := range speedViews {
				load.model.park = park.park
				load.model.park.seed = 11
				r := load.model.play(view.create, 3)
				t.Logf("%s, %s, %s: mean %s, 90 of 100 of a burst %s, fullest %.2f", load.name, park.name, view.name, r.mean.Round(time.Millisecond), r.burst90.Round(time.Millisecond), r.fullest)
				means[view.name] += float64(r.mean)
				bursts[view.name] += float64(r.burst90)
			}
		}
		for name := range means {
			if means[measured] > tolerance*means[name] || bursts[measured] > tolerance*bursts[name] {
				t.Errorf("%s: the view %q serves requests or bursts better than measured durations", load.name, name)
			}
		}
	}
}
