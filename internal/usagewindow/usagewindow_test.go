package usagewindow

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

const (
	windowLength = 5 * time.Second
	leaseTerm    = 3 * time.Second
)

// fakeBilling records the reports that it receives. The answers to reports of the windows
// in lost are lost. Reports of the windows in refused are refused permanently.
type fakeBilling struct {
	mu      sync.Mutex
	reports []Report
	lost    map[int64]bool
	refused map[int64]bool
}

func (b *fakeBilling) ReportUsage(_ context.Context, r Report) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports = append(b.reports, Report{Window: r.Window, Counts: maps.Clone(r.Counts), Holder: r.Holder, Epoch: r.Epoch})
	if b.refused[r.Window] {
		return errors.WithStack(&fault.PlatformRefused{Operation: "report", Status: 400})
	}
	if b.lost[r.Window] {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "report", EffectUnknown: true})
	}
	return nil
}

func (b *fakeBilling) reportsOf(window int64) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Report
	for _, r := range b.reports {
		if r.Window == window {
			out = append(out, r)
		}
	}
	return out
}

// clockedStore is a store with a clock.
type clockedStore interface {
	rowstore.Store
	rowstore.Clock
}

// vm is one VM, which runs a meter and a reporter until kill is called.
type vm struct {
	meter  *Meter
	clock  *FleetClock
	events *event.Recorder
	kill   context.CancelFunc
	// ended is closed once the reporter has ended after kill.
	ended <-chan struct{}
}

func startVM(t *testing.T, store clockedStore, b Billing, name string, options ...lease.Option) vm {
	events := event.NewRecorder(name, 64, event.NewClock(time.Now), zap.NewNop())
	clock := NewFleetClock(store)
	if err := clock.SyncOffset(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	meter := NewMeter(clock, store, name+"/1", windowLength, budget.New(budget.Rates{}), events)
	reporter := &Reporter{
		CallBudget: budget.New(budget.Rates{}),
		VM:         name, WindowLength: windowLength, Clock: clock, Store: store, Billing: b, Events: events,
		Leases:      lease.NewManager(rowstore.NewTables(store, "lease"), name, leaseTerm, events, options...),
		Accounts:    func() []string { return []string{"acc", "idle"} },
		NoneAwaited: func() bool { return true },
	}
	ctx, kill := context.WithCancel(t.Context())
	go meter.Run(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reporter.Run(ctx)
	}()
	t.Cleanup(kill)
	return vm{meter: meter, clock: clock, events: events, kill: kill, ended: ended}
}

// waitForNextWindow waits until the next window begins and returns its number.
func (v vm) waitForNextWindow() int64 {
	now := v.clock.FleetMillis(time.Now())
	window := now/windowLength.Milliseconds() + 1
	time.Sleep(time.Duration(window*windowLength.Milliseconds()-now)*time.Millisecond + time.Millisecond)
	return window
}

func TestWindowIsReportedOnceWithAllCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		a, c := startVM(t, store, b, "a"), startVM(t, store, b, "c")
		window := a.waitForNextWindow()
		for range 3 {
			a.meter.CountRun("acc", time.Now())
		}
		c.meter.CountRun("acc", time.Now())
		time.Sleep(windowLength + 6*time.Second)
		reports := b.reportsOf(window)
		if len(reports) != 1 || reports[0].Counts["acc"] != 4 || len(reports[0].Counts) != 2 {
			t.Errorf("reports are %+v, want one with 4 requests of acc and none of idle", reports)
		}
	})
}

// Guards against two bills for one window. The lease holder dies before billing answers
// its report, and another total of the window is written afterwards. The next holder must
// report the window with the counts of the first report.
func TestRepeatedReportHasTheSameCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{lost: map[int64]bool{}}
		a := startVM(t, store, b, "a")
		window := a.waitForNextWindow()
		b.mu.Lock()
		b.lost[window] = true
		b.mu.Unlock()
		a.meter.CountRun("acc", time.Now())
		time.Sleep(windowLength + 4*time.Second)
		if len(b.reportsOf(window)) == 0 {
			t.Fatal("the window is not reported yet")
		}
		a.kill()
		late := rowstore.Key{Table: totalsTable, Part: "", Name: "late"}
		late.Part = windowName(window)
		store.Set(late, `{"acc":5}`)
		b.mu.Lock()
		b.lost = nil
		b.mu.Unlock()
		startVM(t, store, b, "c")
		time.Sleep(15 * time.Second)
		reports := b.reportsOf(window)
		for _, r := range reports {
			if r.Counts["acc"] != 1 {
				t.Errorf("%s reported %v, want 1 request", r.Holder, r.Counts)
			}
		}
		last := reports[len(reports)-1]
		if last.Holder != "c" || last.Epoch <= reports[0].Epoch {
			t.Errorf("the last report is %+v, want one of c with a higher epoch", last)
		}
	})
}

// Guards against lost counts when all VMs lose power in the middle of a window. Requests
// counted before the last flush must be reported by the VM that starts next.
func TestCountsSurvivePowerLossOfAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		a := startVM(t, store, b, "a")
		window := a.waitForNextWindow()
		a.meter.CountRun("acc", time.Now())
		time.Sleep(minFlushInterval + 10*time.Millisecond)
		store.SetFault(func(rowstore.Txn) memory.Fault { return memory.Refused })
		a.kill()
		time.Sleep(time.Second)
		store.SetFault(nil)
		startVM(t, store, b, "c")
		time.Sleep(windowLength + 9*time.Second)
		if reports := b.reportsOf(window); len(reports) != 1 || reports[0].Counts["acc"] != 1 {
			t.Errorf("reports are %+v, want one with 1 request", reports)
		}
	})
}

// Guards against a bill for a request that an upstream refused: the VM loses power after it
// counted the request and before it writes that the request did not run.
func TestRefusedRequestOfVMWithoutPowerIsNotBilled(t *testing.T) {
	const refusedAfter = maxPendingTime / 2
	// The request begins at each phase of the flush interval.
	for phase := time.Duration(0); phase < time.Second; phase += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store, b := memory.New(), &fakeBilling{}
			a := startVM(t, store, b, "a")
			window := a.waitForNextWindow()
			time.Sleep(phase)
			started := time.Now()
			a.meter.CountPendingRun("acc", started)
			time.Sleep(refusedAfter)
			a.meter.UncountRun("acc", started)
			store.SetFault(func(rowstore.Txn) memory.Fault { return memory.Refused })
			a.kill()
			time.Sleep(time.Second)
			store.SetFault(nil)
			startVM(t, store, b, "c")
			time.Sleep(windowLength + 9*time.Second)
			if reports := b.reportsOf(window); len(reports) != 1 || reports[0].Counts["acc"] != 0 {
				t.Errorf("begun after %s: reports are %+v, want one without requests", phase, reports)
			}
		})
	}
}

// Guards against a run that is not billed because its outcome is not known yet: an upstream that
// answers late may run it. The VM loses power later.
func TestRunWithoutOutcomeIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		a := startVM(t, store, b, "a")
		window := a.waitForNextWindow()
		a.meter.CountPendingRun("acc", time.Now())
		time.Sleep(maxPendingTime + minFlushInterval + 10*time.Millisecond)
		store.SetFault(func(rowstore.Txn) memory.Fault { return memory.Refused })
		a.kill()
		time.Sleep(time.Second)
		store.SetFault(nil)
		startVM(t, store, b, "c")
		time.Sleep(windowLength + 9*time.Second)
		if reports := b.reportsOf(window); len(reports) != 1 || reports[0].Counts["acc"] != 1 {
			t.Errorf("reports are %+v, want one with 1 request", reports)
		}
	})
}

// Guards against pending runs that are missing in the report of their window: they began just
// before its end, or the VM stops.
func TestPendingRunsAreInTheReportOfTheirWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		a, c := startVM(t, store, b, "a"), startVM(t, store, b, "c")
		window := a.waitForNextWindow()
		time.Sleep(windowLength - 10*time.Millisecond)
		a.meter.CountPendingRun("acc", time.Now())
		c.meter.CountPendingRun("acc", time.Now())
		c.kill()
		time.Sleep(windowLength)
		if reports := b.reportsOf(window); len(reports) != 1 || reports[0].Counts["acc"] != 2 {
			t.Errorf("reports are %+v, want one with 2 requests", reports)
		}
	})
}

// Guards against a run that is subtracted from another window than the one that counted it, since
// the VM learned the fleet's offset in between.
func TestRefusedRequestIsSubtractedFromItsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Set(rowstore.Key{Table: clockTable, Name: clockName}, "3600000")
		clock := NewFleetClock(store)
		meter := NewMeter(clock, store, "a/1", windowLength, budget.New(budget.Rates{}), event.NewRecorder("a", 64, event.NewClock(time.Now), zap.NewNop()))
		started := time.Now()
		meter.CountPendingRun("acc", started)
		if err := clock.SyncOffset(t.Context(), store); err != nil {
			t.Fatal(err)
		}
		meter.UncountRun("acc", started)
		for window, totals := range meter.takeChanged(time.Now(), 0) {
			if totals.counts["acc"] != 0 {
				t.Errorf("window %d counts %d requests, want none", window, totals.counts["acc"])
			}
		}
	})
}

// Guards against windows that are never reported because billing permanently refused an
// earlier one.
func TestRefusedWindowDoesNotBlockLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{refused: map[int64]bool{}}
		a := startVM(t, store, b, "a")
		window := a.waitForNextWindow()
		b.mu.Lock()
		b.refused[window] = true
		b.mu.Unlock()
		time.Sleep(3 * windowLength)
		if len(b.reportsOf(window)) != 1 || len(b.reportsOf(window+1)) != 1 {
			t.Errorf("%d and %d reports, want one of each window", len(b.reportsOf(window)), len(b.reportsOf(window+1)))
		}
	})
}

// fillStorage refuses the writes of rows of the report table whose names have the prefix.
func fillStorage(store *memory.Store, prefix string) {
	store.SetFault(func(txn rowstore.Txn) memory.Fault {
		if len(txn.Puts) > 0 && txn.Puts[0].Key.Table == reportTable && strings.HasPrefix(txn.Puts[0].Key.Name, prefix) {
			return memory.StorageFull
		}
		return memory.NoFault
	})
}

func (v vm) hasEvent(number event.Number, detail string) bool {
	return slices.ContainsFunc(v.events.Since(event.Stamp{}), func(r event.Record) bool {
		return r.Number == number && strings.Contains(r.Detail, detail)
	})
}

// Guards against a window that is given up as refused by billing because the storage is full
// when its final counts are stored.
func TestWindowIsReportedOnceTheStorageHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		a := startVM(t, store, b, "a")
		window := a.waitForNextWindow()
		a.meter.CountRun("acc", time.Now())
		fillStorage(store, "w")
		time.Sleep(3 * windowLength)
		if n := len(b.reportsOf(window)); n != 0 {
			t.Errorf("%d reports while the storage is full, want none", n)
		}
		store.SetFault(nil)
		time.Sleep(2 * windowLength)
		if reports := b.reportsOf(window); len(reports) != 1 || reports[0].Counts["acc"] != 1 {
			t.Errorf("reports are %+v, want one with 1 request", reports)
		}
		if a.hasEvent(event.UsageIncomplete, "refused for good") {
			t.Error("the window is told to be refused by billing")
		}
	})
}

// Guards against accepted reports that are told to be refused, or that are sent again and again,
// because the storage is full when their number is stored.
func TestAcceptedReportIsNotRepeatedWhileTheStorageIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		a := startVM(t, store, b, "a")
		window := a.waitForNextWindow()
		fillStorage(store, lastReportedName)
		time.Sleep(5 * windowLength)
		for n := range int64(3) {
			if got := len(b.reportsOf(window + n)); got != 1 {
				t.Errorf("%d reports of window %d after the first, want one", got, n)
			}
		}
		if a.hasEvent(event.UsageIncomplete, "") {
			t.Error("an accepted report is told to be incomplete")
		}
	})
}

// Guards against a missing report when the store has an outage at the end of the window.
// The report may be late.
func TestWindowIsReportedAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		a := startVM(t, store, b, "a")
		window := a.waitForNextWindow()
		a.meter.CountRun("acc", time.Now())
		store.SetDown(true)
		time.Sleep(windowLength + 5*time.Second)
		store.SetDown(false)
		time.Sleep(12 * time.Second)
		if reports := b.reportsOf(window); len(reports) != 1 || reports[0].Counts["acc"] != 1 {
			t.Errorf("reports are %+v, want one with 1 request", reports)
		}
	})
}

// Guards against requests in wrong windows when a VM's time of day is wrong by an hour.
// They would be counted in a window that is already reported, or that is not reported for
// another hour.
func TestClockUsesTheFleetsOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first := NewFleetClock(store)
		if err := first.SyncOffset(t.Context(), store); err != nil {
			t.Fatal(err)
		}
		want := first.FleetMillis(time.Now())
		store.Set(rowstore.Key{Table: clockTable, Name: clockName}, "3600000")
		second := NewFleetClock(store)
		if err := second.SyncOffset(t.Context(), store); err != nil {
			t.Fatal(err)
		}
		if got := second.FleetMillis(time.Now()); got == want || got < 3600000 {
			t.Errorf("the clock uses the VM's time of day: %d", got)
		}
	})
}

// Guards against a window that is billed with too few requests: the store executes a write
// of totals seconds after its timeout, when the row already has newer totals. No later
// window would correct the error.
func TestDelayedTotalsDoNotReplaceNewerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		v := startVM(t, store, b, "a")
		window := v.waitForNextWindow()
		v.meter.CountRun("acc", time.Now())
		store.SetFault(func(txn rowstore.Txn) memory.Fault {
			if txn.Puts[0].Key.Table == totalsTable {
				return memory.EffectDelayed
			}
			return memory.NoFault
		})
		time.Sleep(minFlushInterval + 100*time.Millisecond)
		store.SetFault(nil)
		v.meter.CountRun("acc", time.Now())
		time.Sleep(2 * minFlushInterval)
		store.RunDelayed()
		time.Sleep(2 * windowLength)
		got := b.reportsOf(window)
		if len(got) == 0 || got[0].Counts["acc"] != 2 {
			t.Errorf("the window is reported as %+v, want 2 requests", got)
		}
	})
}

// syncFleetClock sets the fleet's clock and returns the current window.
func syncFleetClock(t *testing.T, store *memory.Store) int64 {
	clock := NewFleetClock(store)
	if err := clock.SyncOffset(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	return clock.FleetMillis(time.Now()) / windowLength.Milliseconds()
}

// Guards against windows that are never billed. After two outages of the store no VM has
// written totals yet when the first holder of the lease searches for the oldest window.
func TestFirstReporterBeginsWhenFleetClockWasSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		window := syncFleetClock(t, store)
		time.Sleep(3 * windowLength)
		startVM(t, store, b, "a")
		time.Sleep(2 * windowLength)
		for n := range int64(3) {
			if len(b.reportsOf(window+n)) == 0 {
				t.Errorf("window %d after the first is not reported", n)
			}
		}
	})
}

// Guards against windows that are never billed because the first report is late, after an
// outage of the store or the death of the first lease holder. Reports must not begin with
// the current window.
func TestFirstReporterBeginsWithTheOldestWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &fakeBilling{}
		window := syncFleetClock(t, store)
		for n := range int64(4) {
			store.Set(rowstore.Key{Table: totalsTable, Part: windowName(window + n), Name: "gone/1"}, `{"acc":3}`)
		}
		time.Sleep(5 * windowLength)
		startVM(t, store, b, "a")
		time.Sleep(2 * windowLength)
		for n := range int64(4) {
			if got := b.reportsOf(window + n); len(got) == 0 || got[0].Counts["acc"] != 3 {
				t.Errorf("window %d after the first is reported as %+v, want 3 requests", n, got)
			}
		}
	})
}

// Guards against runs that are lost or counted twice when runs settle, windows end and writes fail in
// any order.
func TestReportsHaveEachRunOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			store, b := memory.New(), &fakeBilling{}
			a := startVM(t, store, b, "a")
			first := a.waitForNextWindow()
			// Each third write has no answer; half of these take effect.
			var faults sync.Mutex
			store.SetFault(func(txn rowstore.Txn) memory.Fault {
				faults.Lock()
				defer faults.Unlock()
				if len(txn.Puts) == 0 || txn.Puts[0].Key.Table != totalsTable || random.IntN(3) > 0 {
					return memory.NoFault
				}
				return []memory.Fault{memory.AnswerLost, memory.RequestLost}[random.IntN(2)]
			})
			want := make(map[int64]int64)
			var runs sync.WaitGroup
			for range 60 {
				faults.Lock()
				pause, length, refused := time.Duration(random.Int64N(int64(100*time.Millisecond))), time.Duration(random.Int64N(int64(900*time.Millisecond))), random.IntN(2) == 0
				faults.Unlock()
				time.Sleep(pause)
				started := time.Now()
				a.meter.CountPendingRun("acc", started)
				if !refused {
					want[a.meter.clock.FleetMillis(started)/windowLength.Milliseconds()]++
				}
				runs.Go(func() {
					time.Sleep(length)
					if refused {
						a.meter.UncountRun("acc", started)
					} else {
						a.meter.ConfirmRun("acc", started)
					}
				})
			}
			runs.Wait()
			time.Sleep(windowLength + 9*time.Second)
			for window, n := range want {
				if reports := b.reportsOf(window); len(reports) != 1 || reports[0].Counts["acc"] != n {
					t.Errorf("seed %d, window %d (first %d): reports are %+v, want one with %d requests", seed, window, first, reports, n)
				}
			}
		})
	}
}

// stallingBilling stands still for a while: it accepts connections, and takes what waits
// there, the newest report first, when it goes on. It takes reports also if their sender has
// given up.
type stallingBilling struct {
	mu      sync.Mutex
	stalled bool
	waiting []Report
	goOn    chan struct{}
	// taken holds the reports in the order in which they were taken.
	taken []Report
}

func (b *stallingBilling) ReportUsage(ctx context.Context, report Report) error {
	b.mu.Lock()
	if !b.stalled {
		b.taken = append(b.taken, report)
		b.mu.Unlock()
		return nil
	}
	b.waiting = append(b.waiting, report)
	goOn := b.goOn
	b.mu.Unlock()
	select {
	case <-goOn:
		return nil
	case <-ctx.Done():
		return errors.WithStack(&fault.StoreUnavailable{Operation: "report", EffectUnknown: true})
	}
}

func (b *stallingBilling) stall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalled, b.goOn = true, make(chan struct{})
}

func (b *stallingBilling) resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.waiting) - 1; i >= 0; i-- {
		b.taken = append(b.taken, b.waiting[i])
	}
	b.stalled, b.waiting = false, nil
	close(b.goOn)
}

// awaitReport waits until a report waits.
func (b *stallingBilling) awaitReport(t *testing.T) {
	t.Helper()
	for range 2 * windowLength / time.Millisecond {
		time.Sleep(time.Millisecond)
		b.mu.Lock()
		n := len(b.waiting)
		b.mu.Unlock()
		if n > 0 {
			return
		}
	}
	t.Fatal("no report waits at billing")
}

// Guards against a stop that lets the next holder report while a report of the stopped one
// waits at billing, which stands still.
func TestReportThatWaitsAtBillingIsNotOvertakenAfterAStop(t *testing.T) {
	for _, c := range []struct {
		name                  string
		stalledFor, stopAfter time.Duration
	}{
		{"report in flight", 1500 * time.Millisecond, 10 * time.Millisecond},
		{"report in flight at a long stall", 3 * time.Second, 10 * time.Millisecond},
		{"report in flight at a stall of two terms", 7 * time.Second, 10 * time.Millisecond},
		{"abandoned report", 3 * time.Second, reportTimeout + 100*time.Millisecond},
		{"abandoned report at a stall of two terms", 7 * time.Second, reportTimeout + 100*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The phases shift the stop against the polls of the next holder.
			for phase := time.Duration(0); phase < windowLength; phase += 200 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store, b := memory.New(), &stallingBilling{}
					a := startVM(t, store, b, "a")
					a.waitForNextWindow()
					time.Sleep(phase)
					startVM(t, store, b, "b")
					a.waitForNextWindow()
					b.stall()
					b.awaitReport(t)
					time.Sleep(c.stopAfter)
					a.kill()
					time.Sleep(c.stalledFor - c.stopAfter)
					b.resume()
					time.Sleep(10 * time.Second)
					b.mu.Lock()
					defer b.mu.Unlock()
					if !slices.IsSortedFunc(b.taken, func(x, y Report) int { return cmp.Compare(x.Epoch, y.Epoch) }) {
						t.Errorf("phase %s: reports %+v", phase, b.taken)
					}
					if last := b.taken[len(b.taken)-1]; last.Holder != "b" {
						t.Errorf("phase %s: the last report is %+v, want one of b", phase, last)
					}
				})
			}
		})
	}
}

// killableStore is the store as seen by a process. After the process was killed its calls fail
// without an effect.
type killableStore struct {
	*memory.Store
	killed atomic.Bool
}

var errKilled = errors.WithStack(&fault.StoreUnavailable{Operation: "call of a killed process"})

func (s *killableStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	if s.killed.Load() {
		return 0, errKilled
	}
	return s.Store.Commit(ctx, txn)
}

func (s *killableStore) Read(ctx context.Context, table, part, from, to string) (rowstore.Page, error) {
	if s.killed.Load() {
		return rowstore.Page{}, errKilled
	}
	return s.Store.Read(ctx, table, part, from, to)
}

// Guards against a next holder, or a next process of the same VM, that reports while a report of a
// killed one waits at billing, which stands still, and against reports that are late if none waits.
func TestReportThatWaitsAtBillingIsNotOvertakenAfterAKill(t *testing.T) {
	for _, c := range []struct {
		name, next string
		stalledFor time.Duration // 0 if the report was answered
	}{
		{"other VM", "b", 7 * time.Second},
		{"next process", "a", 7 * time.Second},
		{"other VM, report answered", "b", 0},
		{"next process, report answered", "a", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The phases shift the polls of the next holder against the kill.
			for phase := time.Duration(0); phase < windowLength; phase += 200 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store, b := memory.New(), &stallingBilling{}
					first := &killableStore{Store: store}
					a := startVM(t, first, b, "a", lease.WithSoleProcess())
					a.waitForNextWindow()
					time.Sleep(phase)
					if c.next == "b" {
						startVM(t, store, b, "b", lease.WithSoleProcess())
					}
					window := a.waitForNextWindow()
					if c.stalledFor > 0 {
						b.stall()
						b.awaitReport(t)
						time.AfterFunc(c.stalledFor, b.resume)
					} else {
						time.Sleep(closeTimeout)
					}
					first.killed.Store(true)
					a.kill()
					if c.next == "a" {
						startVM(t, store, b, "a", lease.WithSoleProcess())
					}
					time.Sleep(2*windowLength + closeTimeout)
					b.mu.Lock()
					defer b.mu.Unlock()
					if !slices.IsSortedFunc(b.taken, func(x, y Report) int { return cmp.Compare(x.Epoch, y.Epoch) }) {
						t.Errorf("phase %s: reports %+v", phase, b.taken)
					}
					if last := b.taken[len(b.taken)-1]; last.Epoch != 2 || last.Window < window+1 {
						t.Errorf("phase %s: the last report is %+v, want one of window %d or later and epoch 2", phase, last, window+1)
					}
				})
			}
		})
	}
}

// Guards against a stop that waits for billing, which stands still, longer than for the
// report in flight: several windows are due.
func TestStopWaitsForTheReportInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &stallingBilling{}
		window := syncFleetClock(t, store)
		for n := range int64(4) {
			store.Set(rowstore.Key{Table: totalsTable, Part: windowName(window + n), Name: "gone/1"}, `{"acc":3}`)
		}
		time.Sleep(4 * windowLength)
		b.stall()
		a := startVM(t, store, b, "a")
		b.awaitReport(t)
		time.AfterFunc(reportTimeout/2, b.resume)
		a.kill()
		stoppedAt := time.Now()
		<-a.ended
		if took := time.Since(stoppedAt); took > reportTimeout {
			t.Errorf("the reporter ended %s after the stop, want at most %s", took, reportTimeout)
		}
		if len(b.taken) != 1 {
			t.Errorf("reports %+v, want the one in flight", b.taken)
		}
	})
}
