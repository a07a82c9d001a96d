package window

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
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/kept/memory"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/member"
	"dogwoodpond/internal/platform/platformtest"
)

const (
	// countedFor is how long the VMs count requests, one each countEvery.
	countedFor = 11 * time.Second
	countEvery = 300 * time.Millisecond
	// settled is when all windows must have been reported, with two faults on the way.
	settled = 60 * time.Second
	// lateBy is how long a late effect takes: longer than its caller waits.
	lateBy      = 2200 * time.Millisecond
	faultLength = 4 * time.Second
)

// scene is two VMs that count and report, and what they should have counted.
type scene struct {
	billing *billing
	rows    *memory.Store

	mu      sync.Mutex
	counted map[int64]int64
	killed  bool
}

// port is billing as one process reaches it.
type port struct {
	process *platformtest.Process
	billing *billing
}

func (p port) ReportUsage(ctx context.Context, r Report) error {
	return p.process.Call(ctx, "report", "usage", true, func() error { return p.billing.ReportUsage(ctx, r) })
}

// life is one life of a VM: it counts until the scene's time is over, and reports.
func (s *scene) life(p *platformtest.Process, name string, until time.Time) {
	store := p.Kept(s.rows)
	events := event.NewRecorder(name, 16, event.NewClock(time.Now), zap.NewNop())
	clock := NewClock(store)
	for p.Context.Err() == nil && clock.Agree(p.Context, store) != nil {
		time.Sleep(countEvery)
	}
	list := member.New(member.VM{ID: name, FailureDomain: "x", Life: name}, []string{"x"}, store, func() bool { return false }, budget.New(budget.Rates{}), events)
	meter := NewMeter(clock, store, name, length, budget.New(budget.Rates{}), events)
	closer := &Closer{
		Calls: budget.New(budget.Rates{}),
		VM:    name, Length: length, Clock: clock, Store: store, Billing: port{p, s.billing}, Events: events,
		Leases:   lease.NewManager(kept.NewTables(store, "lease"), name, 3*time.Second, events),
		Accounts: func() []string { return []string{"acc"} },
		AllHeard: list.AllHeard,
	}
	var loops sync.WaitGroup
	loops.Go(func() { list.Run(p.Context) })
	loops.Go(func() { meter.Run(p.Context) })
	loops.Go(func() { closer.Run(p.Context) })
	for time.Now().Before(until) && p.Context.Err() == nil {
		at := time.Now()
		meter.Began("acc", at)
		s.mu.Lock()
		s.counted[clock.Millis(at)/length.Milliseconds()]++
		s.mu.Unlock()
		time.Sleep(countEvery)
	}
	loops.Wait()
	if p.Dead() {
		s.mu.Lock()
		s.killed = true
		s.mu.Unlock()
	}
}

// check returns what is wrong with the reports. A window is closed some 7 s after its
// end even if a VM is silent, since reports are due; only a single fault of 4 s must
// not cost a count.
func (s *scene) check(faults int) error {
	s.billing.mu.Lock()
	defer s.billing.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	figures := make(map[int64]map[string]int64)
	for _, r := range s.billing.reports {
		if first, ok := figures[r.Window]; ok && !maps.Equal(first, r.Counts) {
			return errors.Newf("window %d is reported as %v and as %v", r.Window, first, r.Counts)
		}
		figures[r.Window] = r.Counts
	}
	for window, want := range s.counted {
		got, ok := figures[window]
		switch {
		case !ok && s.killed && !s.written(window):
			// All that counted in it was killed before its first write.
		case !ok:
			return errors.Newf("window %d is not reported", window)
		case got["acc"] > want:
			return errors.Newf("window %d is billed with %d, and %d began", window, got["acc"], want)
		case got["acc"] < want && !s.killed && faults <= 1:
			return errors.Newf("window %d is billed with %d, and %d began; no VM was killed", window, got["acc"], want)
		}
	}
	return nil
}

// written reports whether anybody wrote totals of a window.
func (s *scene) written(window int64) bool {
	rows, err := kept.ReadAll(context.Background(), s.rows, totalsTable, windowName(window))
	return err != nil || len(rows) > 0
}

func play(w *platformtest.World) error {
	s := &scene{billing: &billing{}, rows: memory.New(), counted: make(map[int64]int64)}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	until := time.Now().Add(countedFor)
	for _, name := range []string{"vm-1", "vm-2"} {
		lives := 0
		w.Supervise(ctx, &group, name, func(p *platformtest.Process) {
			lives++
			s.life(p, name+"/"+string(rune('0'+lives)), until)
		})
	}
	time.Sleep(settled)
	stop()
	group.Wait()
	// Effects that come late are over before the bubble ends.
	time.Sleep(2 * faultLength)
	return s.check(w.Struck())
}

// Two VMs count requests and report them while each suffers each fault at each call,
// alone and in pairs. A customer notices a wrong rule as two bills for one window, a
// request that is billed twice, or one that is missing though no VM was lost.
func TestMatrixWindows(t *testing.T) {
	platformtest.RunMatrix(t, platformtest.Protocol{
		Name: "windows of usage",
		Lasts: map[platformtest.Kind]time.Duration{
			platformtest.Late:        lateBy,
			platformtest.PauseBefore: faultLength, platformtest.PauseAfter: faultLength,
			platformtest.StoreDown: faultLength, platformtest.CutOff: faultLength,
		},
		Run:   play,
		Pairs: 800,
	})
}
