package target

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/lease"
)

const (
	testBound  = 19
	testWarmup = 3 * time.Second
)

// slowStarting returns an upstream that stays cold for a time, in a roster of its own.
func slowStarting(coldFor time.Duration) (*Roster, *Entry) {
	info := up("a", "x")
	info.ColdFor = coldFor
	r := newTestRoster(info)
	r.SetSlowStarts(map[string]SlowStart{"desk": {PerSecond: testBound, Warmup: testWarmup}})
	return r, r.Service("desk")[0]
}

// sendAll begins requests until no more are admitted, and returns how many there were.
func sendAll(e *Entry) int {
	n := 0
	for n < 10*testBound && e.TryBegin() {
		n++
		e.End()
	}
	return n
}

// Guards against a burst that crashes an upstream just after its start.
func TestColdUpstreamGetsAShareOfItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := slowStarting(testWarmup)
		if n := sendAll(e); n != testBound/sharesOfCold {
			t.Errorf("%d requests were sent at once, want %d", n, testBound/sharesOfCold)
		}
		time.Sleep(admissionWindow)
		if n := sendAll(e); n == 0 {
			t.Error("nothing was sent in the next second")
		}
		time.Sleep(testWarmup)
		r.Reached()
		if n := sendAll(e); n <= testBound/sharesOfCold {
			t.Errorf("a warm upstream got only %d requests", n)
		}
	})
}

// Guards against several VMs that each send what one may.
func TestColdUpstreamIsLeftToOneVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := slowStarting(testWarmup)
		r.TakeTurns(func(*Entry) bool { return false })
		if n := sendAll(e); n != 0 {
			t.Errorf("a VM whose turn it is not sent %d requests", n)
		}
		if chosen := r.Reserve(Want{Service: "desk", Domain: "x"}); chosen != nil {
			t.Error("the upstream was chosen")
		}
	})
}

// Guards against a restart under the same ID that the list has not shown yet: the VM's
// connections broke, and it would greet the upstream with the load of a warm one.
func TestUpstreamThatFellSilentCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := slowStarting(0)
		e.NoAnswer()
		if n := sendAll(e); n > testBound/sharesOfUnsure {
			t.Errorf("%d requests were sent to a silent upstream", n)
		}
		time.Sleep(admissionWindow)
		e.Succeeded()
		if n := sendAll(e); n > testBound/sharesOfUnsure {
			t.Errorf("%d requests were sent right after its return", n)
		}
		r.Apply(Listed(up("a", "x")))
		time.Sleep(admissionWindow)
		if n := sendAll(e); n <= testBound/sharesOfCold {
			t.Errorf("%d requests were sent after its entry said that it is warm", n)
		}
	})
}

// Guards against a VM that was cut off from the list and takes what it knew for true.
func TestOldViewCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := slowStarting(0)
		time.Sleep(staleAfter + time.Millisecond)
		if n := sendAll(e); n > testBound/sharesOfOutdated {
			t.Errorf("%d requests were sent on an old view", n)
		}
		time.Sleep(admissionWindow)
		r.Reached()
		if n := sendAll(e); n <= testBound/sharesOfCold {
			t.Errorf("%d requests were sent on a fresh view", n)
		}
	})
}

// Guards against bounds where the operator sets none, or for a service without a warm-up.
func TestUpstreamsWithoutABoundTakeAnyNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := slowStarting(0)
		r.SetSlowStarts(nil)
		e.NoAnswer()
		if n := sendAll(e); n != 10*testBound {
			t.Errorf("only %d requests were sent", n)
		}
		r.SetSlowStarts(map[string]SlowStart{"desk": {PerSecond: 5}})
		if n := sendAll(e); n != 10*testBound {
			t.Errorf("only %d requests were sent to a service without a warm-up", n)
		}
	})
}

// Guards against entries with warm-ups that are negative or endless.
func TestImpossibleWarmupsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := slowStarting(1000 * time.Hour)
		time.Sleep(longestWarmup)
		if e.Cold(time.Now()) {
			t.Error("an upstream is cold for hours")
		}
		info := up("a", "x")
		info.ColdFor = -time.Hour
		r.Apply(Listed(info))
		if e.Cold(time.Now()) {
			t.Error("an upstream with a negative warm-up is cold")
		}
	})
}

// coldFleet is a fleet of VMs before one upstream, each with its own view of when it
// started and of which VMs live.
type coldFleet struct {
	rng     *rand.Rand
	arrived []time.Time
	names   []string
}

// vmView is what one VM of the fleet knows.
type vmView struct {
	name   string
	live   []string
	entry  *Entry
	roster *Roster
	// frozenFrom and frozenFor stop the VM for a while.
	frozenFrom, frozenFor time.Duration
	// knows is when it hears that the upstream has started.
	knows time.Duration
	delay time.Duration
}

// play lets every VM send whenever it may for some seconds around a start of the upstream
// and returns when the requests arrived.
func (f *coldFleet) play(vms []*vmView, length time.Duration) []time.Time {
	const tick = 20 * time.Millisecond
	for at := time.Duration(0); at < length; at += tick {
		f.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		for _, v := range vms {
			if v.knows > at-tick && v.knows <= at {
				info := up("a", "x")
				info.ColdFor = testWarmup
				v.roster.Apply(Listed(info))
			}
			frozen := at >= v.frozenFrom && at < v.frozenFrom+v.frozenFor
			if at < v.knows || frozen {
				continue
			}
			v.roster.Reached()
			for v.entry.TryBegin() {
				v.entry.End()
				f.arrived = append(f.arrived, time.Now().Add(v.delay))
			}
		}
		time.Sleep(tick)
	}
	slices.SortFunc(f.arrived, time.Time.Compare)
	return f.arrived
}

// busiest returns the most arrivals in any second.
func busiest(arrived []time.Time) int {
	most := 0
	for i, first := range arrived {
		n := 0
		for n < len(arrived)-i && arrived[i+n].Sub(first) < time.Second {
			n++
		}
		most = max(most, n)
	}
	return most
}

// Guards against a cold upstream that gets more than its bound from all VMs together. The
// load is work that always waits on every VM; lists of members differ by two VMs that
// froze, died or joined, and requests take uneven times.
func TestFleetKeepsTheBoundOfAColdUpstream(t *testing.T) {
	for _, size := range []int{3, 9, 66, 390} {
		seeds := uint64(max(2, 200/size))
		for seed := range seeds {
			synctest.Test(t, func(t *testing.T) {
				f := &coldFleet{rng: rand.New(rand.NewPCG(seed, uint64(size)))}
				for i := range size {
					f.names = append(f.names, fmt.Sprint("vm", i))
				}
				lost := []string{f.names[f.rng.IntN(size)], f.names[f.rng.IntN(size)]}
				var vms []*vmView
				for _, name := range f.names {
					v := &vmView{name: name, live: f.names, knows: time.Duration(f.rng.IntN(600)) * time.Millisecond, delay: time.Duration(f.rng.IntN(40)) * time.Millisecond}
					missing := lost[:f.rng.IntN(len(lost)+1)]
					v.live = slices.DeleteFunc(slices.Clone(f.names), func(n string) bool { return n != name && slices.Contains(missing, n) })
					if f.rng.IntN(8) == 0 {
						v.frozenFrom, v.frozenFor = time.Duration(f.rng.IntN(2000))*time.Millisecond, time.Duration(f.rng.IntN(2000))*time.Millisecond
					}
					v.roster, v.entry = slowStarting(testWarmup)
					v.roster.TakeTurns(func(e *Entry) bool {
						first, _ := lease.First("cold/"+e.Info().ID, v.live)
						return first == v.name
					})
					vms = append(vms, v)
				}
				arrived := f.play(vms, testWarmup-600*time.Millisecond)
				if most := busiest(arrived); most > testBound {
					t.Errorf("%d VMs, seed %d: %d requests in a second, at most %d are allowed", size, seed, most, testBound)
				}
				if len(arrived) < testBound/sharesOfCold {
					t.Errorf("%d VMs, seed %d: only %d requests were sent although work waited", size, seed, len(arrived))
				}
			})
		}
	}
}

// Guards against an upstream that gets less work because it refuses or fails requests: one
// that answers has not started again.
func TestUpstreamThatAnswersBadlyIsNotTakenForCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, e := slowStarting(0)
		e.NoteLoad(Load{Running: 4, Slots: 4}, time.Now())
		e.Failed(time.Now())
		if n := sendAll(e); n <= testBound/sharesOfCold {
			t.Errorf("only %d requests were sent", n)
		}
	})
}

// Guards against an upstream that gets a fraction of its work because single answers are
// lost, garbled or hang, while its other streams run on.
func TestUpstreamWhoseStreamsRunOnIsNotTakenForCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, e := slowStarting(0)
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		e.NoAnswer()
		time.Sleep(100 * time.Millisecond)
		later := time.Now()
		e.RunsOn(later)
		if n := e.Admissible(later); n > testBound/sharesOfUnsure {
			t.Errorf("%d requests are admitted by an attempt that began after the lost one", n)
		}
		e.Succeeded()
		e.NoAnswer()
		e.RunsOn(began)
		if n := e.Admissible(later); n <= testBound/sharesOfCold {
			t.Errorf("only %d requests are admitted though a stream runs on", n)
		}
	})
}
