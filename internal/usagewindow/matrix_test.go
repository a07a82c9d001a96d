package usagewindow

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/member"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

const (
	// countDuration is how long the VMs count requests, one per countInterval each.
	countDuration = 11 * time.Second
	countInterval = 300 * time.Millisecond
	// scenarioDuration is how long a scenario runs. All windows must be reported by then,
	// despite two faults.
	scenarioDuration = 60 * time.Second
	// effectDelay is the delay of a delayed effect, longer than the timeout of its caller.
	effectDelay = 2200 * time.Millisecond
	// faultDuration is the duration of faults that last: pauses, outages and cut-offs.
	faultDuration = 4 * time.Second
)

// scenario is a run of two VMs that count requests and report them. It records what the
// reports must contain.
type scenario struct {
	fakeBilling *fakeBilling
	rows        *memory.Store

	mu      sync.Mutex
	counted map[int64]int64 // by window
	killed  bool            // a VM was killed
}

// billingClient sends the reports of one process to billing, through the fault injector.
type billingClient struct {
	process     *faultinject.Process
	fakeBilling *fakeBilling
}

func (c billingClient) ReportUsage(ctx context.Context, r Report) error {
	return c.process.Call(ctx, "report", "usage", true, func() error { return c.fakeBilling.ReportUsage(ctx, r) })
}

// runVM runs one incarnation of a VM. It counts requests until the given time, and reports
// until the process ends.
func (s *scenario) runVM(p *faultinject.Process, name string, until time.Time) {
	store := p.OpenStore(s.rows)
	events := event.NewRecorder(name, 16, event.NewClock(time.Now), zap.NewNop())
	clock := NewFleetClock(store)
	for p.Context.Err() == nil && clock.SyncOffset(p.Context, store) != nil {
		time.Sleep(countInterval)
	}
	members := member.New(member.VM{ID: name, FailureDomain: "x", Incarnation: name}, []string{"x"}, store, func() bool { return false }, budget.New(budget.Rates{}), events)
	meter := NewMeter(clock, store, name, windowLength, budget.New(budget.Rates{}), events)
	reporter := &Reporter{
		CallBudget: budget.New(budget.Rates{}),
		VM:         name, WindowLength: windowLength, Clock: clock, Store: store, Billing: billingClient{p, s.fakeBilling}, Events: events,
		Leases:      lease.NewManager(rowstore.NewTables(store, "lease"), name, 3*time.Second, events),
		Accounts:    func() []string { return []string{"acc"} },
		NoneAwaited: members.NoneAwaited,
	}
	var loops sync.WaitGroup
	loops.Go(func() { members.Run(p.Context) })
	loops.Go(func() { meter.Run(p.Context) })
	loops.Go(func() { reporter.Run(p.Context) })
	for time.Now().Before(until) && p.Context.Err() == nil {
		at := time.Now()
		meter.CountRun("acc", at)
		s.mu.Lock()
		s.counted[clock.FleetMillis(at)/windowLength.Milliseconds()]++
		s.mu.Unlock()
		time.Sleep(countInterval)
	}
	loops.Wait()
	if p.Killed() {
		s.mu.Lock()
		s.killed = true
		s.mu.Unlock()
	}
}

// check returns an error if the reports are wrong. Reports of one window must be equal and
// must not count more requests than began. Missing requests are an error only if no VM was
// killed and there was at most one fault, which lasts 4 s. After two faults requests may be
// missing: since reports are due, a window is closed about 7 s after its end even if a VM is
// unresponsive.
func (s *scenario) check(faults int) error {
	s.fakeBilling.mu.Lock()
	defer s.fakeBilling.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	reported := make(map[int64]map[string]int64)
	for _, r := range s.fakeBilling.reports {
		if first, ok := reported[r.Window]; ok && !maps.Equal(first, r.Counts) {
			return errors.Newf("window %d is reported as %v and as %v", r.Window, first, r.Counts)
		}
		reported[r.Window] = r.Counts
	}
	for window, want := range s.counted {
		got, ok := reported[window]
		switch {
		case !ok && s.killed && !s.hasTotals(window):
			// The VMs that counted in this window were killed before their first write.
		case !ok:
			return errors.Newf("window %d is not reported", window)
		case got["acc"] > want:
			return errors.Newf("window %d is billed with %d requests, but %d began", window, got["acc"], want)
		case got["acc"] < want && !s.killed && faults <= 1:
			return errors.Newf("window %d is billed with %d requests, but %d began and no VM was killed", window, got["acc"], want)
		}
	}
	return nil
}

// hasTotals reports whether a VM wrote totals of a window.
func (s *scenario) hasTotals(window int64) bool {
	rows, err := rowstore.ReadAll(context.Background(), s.rows, totalsTable, windowName(window))
	return err != nil || len(rows) > 0
}

func runScenario(cluster *faultinject.Cluster) error {
	s := &scenario{fakeBilling: &fakeBilling{}, rows: memory.New(), counted: make(map[int64]int64)}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	until := time.Now().Add(countDuration)
	for _, name := range []string{"vm-1", "vm-2"} {
		incarnation := 0
		cluster.Supervise(ctx, &group, name, func(p *faultinject.Process) {
			incarnation++
			s.runVM(p, name+"/"+string(rune('0'+incarnation)), until)
		})
	}
	time.Sleep(scenarioDuration)
	stop()
	group.Wait()
	// Delayed effects must take place before the synctest bubble ends.
	time.Sleep(2 * faultDuration)
	return s.check(cluster.FaultCount())
}

// Guards against two different reports of one window, requests that are billed twice, and
// requests that are missing although no VM was killed. Two VMs count requests and report
// them, while each kind of fault is injected at each call, alone and in pairs.
func TestMatrixWindows(t *testing.T) {
	faultinject.RunMatrix(t, faultinject.Protocol{
		Name: "windows of usage",
		Durations: map[faultinject.Kind]time.Duration{
			faultinject.DelayEffect: effectDelay,
			faultinject.PauseBefore: faultDuration, faultinject.PauseAfter: faultDuration,
			faultinject.StoreDown: faultDuration, faultinject.CutOff: faultDuration,
		},
		Run:      runScenario,
		MaxPairs: 800,
	})
}
