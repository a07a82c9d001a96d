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

// newSlowStartUpstream returns an upstream that stays cold for a time, in its own roster.
func newSlowStartUpstream(coldFor time.Duration) (*Roster, *Entry) {
	info := newInstance("a", "x")
	info.ColdFor = coldFor
	r := newTestRoster(info)
	r.SetSlowStarts(map[string]SlowStart{"desk": {PerSecond: testBound, Warmup: testWarmup}})
	return r, r.Upstreams("desk")[0]
}

// sendUntilRefused begins requests until no more are admitted, and returns their number.
func sendUntilRefused(e *Entry) int {
	n := 0
	for n < 10*testBound && e.TryBegin() {
		n++
		e.End()
	}
	return n
}

// Guards against a burst of requests that crashes an upstream just after its start.
func TestColdUpstreamGetsAShareOfItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := newSlowStartUpstream(testWarmup)
		if n := sendUntilRefused(e); n != testBound/coldDivisor {
			t.Errorf("%d requests were admitted at once, want %d", n, testBound/coldDivisor)
		}
		time.Sleep(admissionWindow)
		if n := sendUntilRefused(e); n == 0 {
			t.Error("no request was admitted in the next second")
		}
		time.Sleep(testWarmup)
		r.NoteListRead()
		if n := sendUntilRefused(e); n <= testBound/coldDivisor {
			t.Errorf("a warm upstream got only %d requests", n)
		}
	})
}

// Guards against several VMs that each use the share of one.
func TestColdUpstreamIsUsedByOneVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := newSlowStartUpstream(testWarmup)
		r.SetColdSender(func(*Entry) bool { return false })
		if n := sendUntilRefused(e); n != 0 {
			t.Errorf("%d requests of a VM that may not use the cold upstream were admitted", n)
		}
		if chosen := r.Reserve(Criteria{Service: "desk", Domain: "x"}); chosen != nil {
			t.Error("the cold upstream was chosen")
		}
	})
}

// Guards against overload after a restart with the same ID that the list doesn't show yet.
// The VM's connections broke, and it would send the restarted upstream the load of a warm
// one.
func TestUnansweredAttemptMakesUpstreamUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := newSlowStartUpstream(0)
		e.NoteUnanswered()
		if n := sendUntilRefused(e); n > testBound/uncertainDivisor {
			t.Errorf("%d requests to an uncertain upstream were admitted", n)
		}
		time.Sleep(admissionWindow)
		e.NoteSuccess()
		if n := sendUntilRefused(e); n > testBound/uncertainDivisor {
			t.Errorf("%d requests were admitted right after its first answer", n)
		}
		r.Apply(ListedChange(newInstance("a", "x")))
		time.Sleep(admissionWindow)
		if n := sendUntilRefused(e); n <= testBound/coldDivisor {
			t.Errorf("only %d requests were admitted after its entry reported it as warm", n)
		}
	})
}

// Guards against overload by a VM that can't read the list and relies on its old view: an
// upstream may have restarted since.
func TestStaleListLimitsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := newSlowStartUpstream(0)
		time.Sleep(staleAfter + time.Millisecond)
		if n := sendUntilRefused(e); n > testBound/staleListDivisor {
			t.Errorf("%d requests were admitted with a stale list", n)
		}
		time.Sleep(admissionWindow)
		r.NoteListRead()
		if n := sendUntilRefused(e); n <= testBound/coldDivisor {
			t.Errorf("only %d requests were admitted with a fresh list", n)
		}
	})
}

// Guards against limits where the operator sets no bound, or the service has no warm-up.
func TestUpstreamsWithoutBoundAreUnlimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := newSlowStartUpstream(0)
		r.SetSlowStarts(nil)
		e.NoteUnanswered()
		if n := sendUntilRefused(e); n != 10*testBound {
			t.Errorf("only %d requests were admitted without a bound", n)
		}
		r.SetSlowStarts(map[string]SlowStart{"desk": {PerSecond: 5}})
		if n := sendUntilRefused(e); n != 10*testBound {
			t.Errorf("only %d requests were admitted to a service without a warm-up", n)
		}
	})
}

// Guards against entries with a negative or excessive warm-up.
func TestInvalidWarmupsAreClamped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e := newSlowStartUpstream(1000 * time.Hour)
		time.Sleep(maxWarmup)
		if e.Cold(time.Now()) {
			t.Error("an upstream is cold for longer than maxWarmup")
		}
		info := newInstance("a", "x")
		info.ColdFor = -time.Hour
		r.Apply(ListedChange(info))
		if e.Cold(time.Now()) {
			t.Error("an upstream with a negative warm-up is cold")
		}
	})
}

// coldFleet is a fleet of VMs that use one upstream. Each has its own view of when the
// upstream started and of which VMs are alive.
type coldFleet struct {
	rng     *rand.Rand
	arrived []time.Time
	names   []string
}

// vmView is what one VM of the fleet knows.
type vmView struct {
	name    string
	members []string
	entry   *Entry
	roster  *Roster
	// frozenFrom and frozenFor are when the VM is suspended, and for how long.
	frozenFrom, frozenFor time.Duration
	// listedAt is when the VM learns that the upstream has started.
	listedAt     time.Duration
	networkDelay time.Duration
}

// simulate lets every VM send whenever it may, for a time after a start of the upstream, and
// returns the times at which the requests arrive.
func (f *coldFleet) simulate(vms []*vmView, length time.Duration) []time.Time {
	const tick = 20 * time.Millisecond
	for at := time.Duration(0); at < length; at += tick {
		f.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		for _, v := range vms {
			if v.listedAt > at-tick && v.listedAt <= at {
				info := newInstance("a", "x")
				info.ColdFor = testWarmup
				v.roster.Apply(ListedChange(info))
			}
			frozen := at >= v.frozenFrom && at < v.frozenFrom+v.frozenFor
			if at < v.listedAt || frozen {
				continue
			}
			v.roster.NoteListRead()
			for v.entry.TryBegin() {
				v.entry.End()
				f.arrived = append(f.arrived, time.Now().Add(v.networkDelay))
			}
		}
		time.Sleep(tick)
	}
	slices.SortFunc(f.arrived, time.Time.Compare)
	return f.arrived
}

// maxPerSecond returns the largest number of arrivals in any second.
func maxPerSecond(arrived []time.Time) int {
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

// Guards against a cold upstream that gets more than its bound from all VMs together.
// Requests are always queued on every VM, the VMs' member lists differ by up to two VMs that
// froze, died or joined, and network delays vary.
func TestFleetStaysWithinColdUpstreamBound(t *testing.T) {
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
					v := &vmView{name: name, members: f.names, listedAt: time.Duration(f.rng.IntN(600)) * time.Millisecond, networkDelay: time.Duration(f.rng.IntN(40)) * time.Millisecond}
					missing := lost[:f.rng.IntN(len(lost)+1)]
					v.members = slices.DeleteFunc(slices.Clone(f.names), func(n string) bool { return n != name && slices.Contains(missing, n) })
					if f.rng.IntN(8) == 0 {
						v.frozenFrom, v.frozenFor = time.Duration(f.rng.IntN(2000))*time.Millisecond, time.Duration(f.rng.IntN(2000))*time.Millisecond
					}
					v.roster, v.entry = newSlowStartUpstream(testWarmup)
					v.roster.SetColdSender(func(e *Entry) bool {
						first, _ := lease.First("cold/"+e.Info().ID, v.members)
						return first == v.name
					})
					vms = append(vms, v)
				}
				arrived := f.simulate(vms, testWarmup-600*time.Millisecond)
				if most := maxPerSecond(arrived); most > testBound {
					t.Errorf("%d VMs, seed %d: %d requests in one second, want at most %d", size, seed, most, testBound)
				}
				if len(arrived) < testBound/coldDivisor {
					t.Errorf("%d VMs, seed %d: only %d requests were sent although more were queued", size, seed, len(arrived))
				}
			})
		}
	}
}

// Guards against an upstream that becomes uncertain because it refuses or fails requests.
// An upstream that answers has not restarted.
func TestFailingUpstreamIsNotUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, e := newSlowStartUpstream(0)
		e.NoteLoad(Load{Running: 4, Slots: 4}, time.Now())
		e.NoteFailure(time.Now())
		if n := sendUntilRefused(e); n <= testBound/coldDivisor {
			t.Errorf("only %d requests were admitted", n)
		}
	})
}

// Guards against an upstream that stays uncertain because single answers are lost, garbled
// or hang, while its other streams continue.
func TestUpstreamWithRunningStreamsIsNotUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, e := newSlowStartUpstream(0)
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		e.NoteUnanswered()
		time.Sleep(100 * time.Millisecond)
		later := time.Now()
		e.NoteRunningSince(later)
		if n := e.Admissible(later); n > testBound/uncertainDivisor {
			t.Errorf("%d requests are admitted because of an attempt that began after the lost one", n)
		}
		e.NoteSuccess()
		e.NoteUnanswered()
		e.NoteRunningSince(began)
		if n := e.Admissible(later); n <= testBound/coldDivisor {
			t.Errorf("only %d requests are admitted although a stream continues", n)
		}
	})
}
