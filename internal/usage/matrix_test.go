package usage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
)

// The figures of the matrix: two VMs serve during servedWindows, and everything
// must be settled settleTime later.
const (
	servedWindows = 2
	settleTime    = 2 * time.Minute
	lateBy        = 8 * time.Second
	faultLength   = 15 * time.Second
	flushPeriod   = time.Second
	pairCases     = 1500
	// shards is how many cases run at the same time.
	shards = 6
)

// closerStarts is when each closer starts.
var closerStarts = []time.Duration{0, 700 * time.Millisecond, time.Minute}

// scene is one run of the matrix.
type scene struct {
	world   *faultinject.Cluster
	billing *matrixBilling
	meters  []*Meter
	vms     []*faultinject.Process
	used    []Figures
}

// matrixBilling accepts reports and notes contradictions.
type matrixBilling struct {
	mu       sync.Mutex
	accepted map[string]platformapi.UsageReport
	changed  []string
}

func (b *matrixBilling) accept(r platformapi.UsageReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Epoch = 0
	key := fmt.Sprintf("%d/%s", r.Window, r.Account)
	if first, ok := b.accepted[key]; ok && first != r {
		b.changed = append(b.changed, fmt.Sprintf("%+v, then %+v", first, r))
		return
	}
	b.accepted[key] = r
}

// port is billing as one process reaches it.
type port struct {
	process *faultinject.Process
	billing *matrixBilling
}

func (p port) Report(ctx context.Context, r platformapi.UsageReport) error {
	return p.process.Call(ctx, "report", r.Account, true, func() error {
		p.billing.accept(r)
		return nil
	})
}

// play runs the scene with a script of faults to its end. It must be called in
// a bubble.
func play(t *testing.T, script faultinject.Script) *scene {
	s := &scene{
		world:   faultinject.NewCluster(script),
		billing: &matrixBilling{accepted: make(map[string]platformapi.UsageReport)},
		used:    make([]Figures, 2),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, name := range []string{"vm-1", "vm-2"} {
		process := s.world.Start(ctx, name)
		s.vms = append(s.vms, process)
		s.meters = append(s.meters, newMeter(process, name))
	}
	for i := range s.vms {
		running.Go(func() { s.serve(i) })
	}
	// The first two closers both believe that they are in charge; the third comes
	// later, as a VM does that takes over.
	for i, name := range []string{"closer-1", "closer-2", "closer-3"} {
		process := s.world.Start(ctx, name)
		closer := newCloser(process, port{process: process, billing: s.billing}, s.listed)
		running.Go(func() {
			time.Sleep(closerStarts[i])
			closer.Run(process.Context, held(i+1), 2*time.Second)
		})
	}
	time.Sleep(servedWindows*windowLength + settleTime)
	cancel()
	running.Wait()
	return s
}

// serve counts requests on one VM and stops as planned.
func (s *scene) serve(i int) {
	process, meter := s.vms[i], s.meters[i]
	ctx, stop := context.WithCancel(process.Context)
	var flushing sync.WaitGroup
	flushing.Go(func() { meter.Run(ctx, func() time.Duration { return flushPeriod }) })
	for range 3 * servedWindows {
		time.Sleep(windowLength / 3)
		if process.Killed() {
			break
		}
		f := Figures{Requests: 1, Tokens: int64(10 * (i + 1))}
		meter.Add(berry, f)
		s.used[i] = s.used[i].Add(f)
	}
	stop()
	flushing.Wait()
	for process.Context.Err() == nil {
		if meter.Seal(process.Context) == nil {
			return
		}
		time.Sleep(flushPeriod)
	}
}

func (s *scene) listed(vm string) bool {
	for _, p := range s.vms {
		if p.Name == vm {
			return !p.Killed()
		}
	}
	return false
}

// check returns what is wrong with how the scene ended. Reports that take effect at
// the same instant count: the bubble is idle before anything is judged. Later ones,
// of a process that was killed meanwhile, still write while this reads.
func (s *scene) check() error {
	synctest.Wait()
	s.billing.mu.Lock()
	defer s.billing.mu.Unlock()
	if len(s.billing.changed) > 0 {
		return fmt.Errorf("reported twice: %v", s.billing.changed)
	}
	var used, billed Figures
	incomplete, killed := false, false
	for i, p := range s.vms {
		used = used.Add(s.used[i])
		killed = killed || p.Killed()
	}
	for _, r := range s.billing.accepted {
		if contract.Account(r.Account) == berry {
			billed = billed.Add(Figures{Requests: r.Requests + r.CorrectionRequests, Tokens: r.Tokens + r.CorrectionTokens})
			incomplete = incomplete || r.Incomplete
		}
	}
	missing := used.Sub(billed)
	switch {
	case missing.Requests < 0 || missing.Tokens < 0:
		return fmt.Errorf("billed %+v, used %+v", billed, used)
	case missing.Requests == 0:
		return nil
	case !killed:
		return fmt.Errorf("billed %+v, used %+v, and no VM was killed", billed, used)
	case !incomplete:
		return fmt.Errorf("billed %+v, used %+v, and no report says incomplete", billed, used)
	default:
		return nil
	}
}

func faultOf(kind faultinject.Kind) faultinject.Fault {
	f := faultinject.Fault{Kind: kind, Duration: faultLength}
	if kind == faultinject.DelayEffect {
		f.Duration = lateBy
	}
	return f
}

// hit is a fault at a step.
type hit struct {
	process string
	index   int
	kind    faultinject.Kind
}

func script(hits ...hit) faultinject.Script {
	return func(step faultinject.Step) faultinject.Fault {
		for _, h := range hits {
			if step.Process == h.process && step.Index == h.index {
				return faultOf(h.kind)
			}
		}
		return faultinject.Fault{}
	}
}

// Every call that meters and closers make in a run without faults is hit by
// every fault, alone and in pairs. A customer notices a wrong rule as a bill
// that counts a request twice, lacks one without saying so, or comes with two
// different figures.
func TestMatrixUsage(t *testing.T) {
	var steps []faultinject.Step
	synctest.Test(t, func(t *testing.T) {
		s := play(t, faultinject.NoFaults)
		if err := s.check(); err != nil {
			t.Fatalf("without faults: %v", err)
		}
		steps = s.world.Steps()
	})
	var cases [][]hit
	for _, step := range steps {
		for _, kind := range faultinject.Kinds {
			cases = append(cases, []hit{{step.Process, step.Index, kind}})
		}
	}
	singles := len(cases)
	random := rand.New(rand.NewPCG(1, 1))
	for range pairCases {
		cases = append(cases, []hit{cases[random.IntN(singles)][0], cases[random.IntN(singles)][0]})
	}
	var failed atomic.Int64
	t.Run("cases", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for i := shard; i < len(cases); i += shards {
					failed.Add(runCase(t, cases[i]))
				}
			})
		}
	})
	t.Logf("matrix: usage: %d steps x %d faults, %d cases run (%d of them pairs), %d cases failed",
		len(steps), len(faultinject.Kinds), len(cases), pairCases, failed.Load())
}

// runCase plays one case and returns how many failed.
func runCase(t *testing.T, hits []hit) (failed int64) {
	synctest.Test(t, func(t *testing.T) {
		if err := play(t, script(hits...)).check(); err != nil {
			failed = 1
			t.Errorf("%+v: %v", hits, err)
		}
	})
	return failed
}

// A report that was delayed past its timeout takes effect at the very instant at
// which the scene is judged. The verdict must neither race with it nor depend on
// which of the two comes first.
func TestReportAtTheInstantOfTheVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scene{billing: &matrixBilling{accepted: make(map[string]platformapi.UsageReport)}}
		const delay = time.Second
		for window := range int64(4) {
			go func() {
				time.Sleep(delay)
				s.billing.accept(platformapi.UsageReport{Window: window, Account: string(berry)})
			}()
		}
		time.Sleep(delay)
		if err := s.check(); err != nil {
			t.Error(err)
		}
	})
}
