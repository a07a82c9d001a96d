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
	"dogwoodpond/internal/lease/leasetest"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
)

// In each case of the fault matrix two VMs serve during servedWindows. All usage must be
// reported reportTime later. A delayed effect takes place after effectDelay; other faults that
// last have the duration faultDuration.
const (
	servedWindows = 2
	reportTime    = 2 * time.Minute
	effectDelay   = 8 * time.Second
	faultDuration = 15 * time.Second
	flushInterval = time.Second
	pairCases     = 1500
	// shards is the number of cases that run in parallel.
	shards = 6
)

// reporterStarts holds the delay before the start of each reporter.
var reporterStarts = []time.Duration{0, 700 * time.Millisecond, time.Minute}

// scenario is one case of the matrix.
type scenario struct {
	cluster *faultinject.Cluster
	billing *matrixBilling
	meters  []*Meter
	vms     []*faultinject.Process
	used    []Counts
}

// matrixBilling accepts reports and records reports that differ from an earlier one for the
// same account and window.
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

// processBilling is billing as called by one process.
type processBilling struct {
	process *faultinject.Process
	billing *matrixBilling
}

func (p processBilling) Report(ctx context.Context, r platformapi.UsageReport) error {
	return p.process.Call(ctx, "report", r.Account, true, func() error {
		p.billing.accept(r)
		return nil
	})
}

// runScenario runs a scenario with a script of faults. It must be called in a synctest
// bubble.
func runScenario(t *testing.T, script faultinject.Script) *scenario {
	s := &scenario{
		cluster: faultinject.NewCluster(script),
		billing: &matrixBilling{accepted: make(map[string]platformapi.UsageReport)},
		used:    make([]Counts, 2),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, name := range []string{"vm-1", "vm-2"} {
		process := s.cluster.Start(ctx, name)
		s.vms = append(s.vms, process)
		s.meters = append(s.meters, newMeter(process, name))
	}
	for i := range s.vms {
		running.Go(func() { s.serve(i) })
	}
	// The first two reporters run at the same time, as if both held the lease. The third
	// starts later, like a new holder.
	for i, name := range []string{"closer-1", "closer-2", "closer-3"} {
		process := s.cluster.Start(ctx, name)
		reporter := newReporter(process, processBilling{process: process, billing: s.billing}, s.listed)
		running.Go(func() {
			time.Sleep(reporterStarts[i])
			reporter.Run(process.Context, leasetest.Held(i+1), 2*time.Second)
		})
	}
	time.Sleep(servedWindows*windowLength + reportTime)
	cancel()
	running.Wait()
	return s
}

// serve counts requests on one VM and then shuts its meter down gracefully.
func (s *scenario) serve(i int) {
	process, meter := s.vms[i], s.meters[i]
	ctx, stop := context.WithCancel(process.Context)
	var flushing sync.WaitGroup
	flushing.Go(func() { meter.Run(ctx, func() time.Duration { return flushInterval }) })
	for range 3 * servedWindows {
		time.Sleep(windowLength / 3)
		if process.Killed() {
			break
		}
		c := Counts{Requests: 1, Tokens: int64(10 * (i + 1))}
		meter.Add(berry, c)
		s.used[i] = s.used[i].Add(c)
	}
	stop()
	flushing.Wait()
	for process.Context.Err() == nil {
		if meter.Seal(process.Context) == nil {
			return
		}
		time.Sleep(flushInterval)
	}
}

func (s *scenario) listed(vm string) bool {
	for _, p := range s.vms {
		if p.Name == vm {
			return !p.Killed()
		}
	}
	return false
}

// check returns an error if the accepted reports do not match the usage. It waits until the
// bubble is idle, so reports that take effect at the same instant count. It locks billing,
// since a delayed report of a killed process may still arrive during the check.
func (s *scenario) check() error {
	synctest.Wait()
	s.billing.mu.Lock()
	defer s.billing.mu.Unlock()
	if len(s.billing.changed) > 0 {
		return fmt.Errorf("reported twice: %v", s.billing.changed)
	}
	var used, billed Counts
	incomplete, killed := false, false
	for i, p := range s.vms {
		used = used.Add(s.used[i])
		killed = killed || p.Killed()
	}
	for _, r := range s.billing.accepted {
		if contract.Account(r.Account) == berry {
			billed = billed.Add(Counts{Requests: r.Requests + r.CorrectionRequests, Tokens: r.Tokens + r.CorrectionTokens})
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
		return fmt.Errorf("billed %+v, used %+v, and no report is marked incomplete", billed, used)
	default:
		return nil
	}
}

func newFault(kind faultinject.Kind) faultinject.Fault {
	f := faultinject.Fault{Kind: kind, Duration: faultDuration}
	if kind == faultinject.DelayEffect {
		f.Duration = effectDelay
	}
	return f
}

// injection is a fault that is injected into one call of a process.
type injection struct {
	process string
	index   int
	kind    faultinject.Kind
}

func script(injections ...injection) faultinject.Script {
	return func(step faultinject.Step) faultinject.Fault {
		for _, i := range injections {
			if step.Process == i.process && step.Index == i.index {
				return newFault(i.kind)
			}
		}
		return faultinject.Fault{}
	}
}

// Injects every kind of fault into every call that meters and reporters make in a run without
// faults, one fault at a time and random pairs. Guards against bills that count a request
// twice, lack one without being marked incomplete, or differ for the same window.
func TestMatrixUsage(t *testing.T) {
	var steps []faultinject.Step
	synctest.Test(t, func(t *testing.T) {
		s := runScenario(t, faultinject.NoFaults)
		if err := s.check(); err != nil {
			t.Fatalf("without faults: %v", err)
		}
		steps = s.cluster.Steps()
	})
	var cases [][]injection
	for _, step := range steps {
		for _, kind := range faultinject.Kinds {
			cases = append(cases, []injection{{step.Process, step.Index, kind}})
		}
	}
	singles := len(cases)
	random := rand.New(rand.NewPCG(1, 1))
	for range pairCases {
		cases = append(cases, []injection{cases[random.IntN(singles)][0], cases[random.IntN(singles)][0]})
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

// runCase runs one case and returns 1 if it failed, else 0.
func runCase(t *testing.T, injections []injection) (failed int64) {
	synctest.Test(t, func(t *testing.T) {
		if err := runScenario(t, script(injections...)).check(); err != nil {
			failed = 1
			t.Errorf("%+v: %v", injections, err)
		}
	})
	return failed
}

// Reports that were delayed past their timeout take effect at the instant of the check. The
// result of the check must not depend on which comes first, and there must be no data race.
func TestCheckCountsSimultaneousReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{billing: &matrixBilling{accepted: make(map[string]platformapi.UsageReport)}}
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
