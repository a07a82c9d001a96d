package window

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/kept/memory"
	"dogwoodpond/internal/lease"
)

const length = 5 * time.Second

// billing keeps the reports that it got. The answers to reports of the windows in
// lost get lost, and those of refused are refused for good.
type billing struct {
	mu      sync.Mutex
	reports []Report
	lost    map[int64]bool
	refused map[int64]bool
}

func (b *billing) ReportUsage(_ context.Context, r Report) error {
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

func (b *billing) of(window int64) []Report {
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

// vm is a meter and a closer of one VM.
type vm struct {
	meter *Meter
	clock *Clock
	kill  context.CancelFunc
}

func start(t *testing.T, store *memory.Store, b *billing, name string) vm {
	events := event.NewRecorder(name, 64, event.NewClock(time.Now), zap.NewNop())
	clock := NewClock(store)
	if err := clock.Agree(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	meter := NewMeter(clock, store, name+"/1", length, budget.New(budget.Rates{}), events)
	closer := &Closer{
		Calls: budget.New(budget.Rates{}),
		VM:    name, Length: length, Clock: clock, Store: store, Billing: b, Events: events,
		Leases:   lease.NewManager(kept.NewTables(store, "lease"), name, 3*time.Second, events),
		Accounts: func() []string { return []string{"acc", "idle"} },
		AllHeard: func() bool { return true },
	}
	ctx, kill := context.WithCancel(t.Context())
	go meter.Run(ctx)
	go closer.Run(ctx)
	t.Cleanup(kill)
	return vm{meter: meter, clock: clock, kill: kill}
}

// next returns the number of the window that begins next, after waiting for it.
func (v vm) next() int64 {
	now := v.clock.Millis(time.Now())
	window := now/length.Milliseconds() + 1
	time.Sleep(time.Duration(window*length.Milliseconds()-now)*time.Millisecond + time.Millisecond)
	return window
}

func TestWindowIsReportedOnceWithAllCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &billing{}
		a, c := start(t, store, b, "a"), start(t, store, b, "c")
		window := a.next()
		for range 3 {
			a.meter.Began("acc", time.Now())
		}
		c.meter.Began("acc", time.Now())
		time.Sleep(length + 6*time.Second)
		reports := b.of(window)
		if len(reports) != 1 || reports[0].Counts["acc"] != 4 || len(reports[0].Counts) != 2 {
			t.Errorf("reported: %+v", reports)
		}
	})
}

// The VM in charge dies with a report on its way; a total that came late would
// change the figures. Whoever reports the window next must send the same ones.
func TestRepeatedReportHasTheSameFigures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &billing{lost: map[int64]bool{}}
		a := start(t, store, b, "a")
		window := a.next()
		b.mu.Lock()
		b.lost[window] = true
		b.mu.Unlock()
		a.meter.Began("acc", time.Now())
		time.Sleep(length + 4*time.Second)
		if len(b.of(window)) == 0 {
			t.Fatal("no report yet")
		}
		a.kill()
		late := kept.Key{Table: totalsTable, Part: "", Name: "late"}
		late.Part = windowName(window)
		store.Set(late, `{"acc":5}`)
		b.mu.Lock()
		b.lost = nil
		b.mu.Unlock()
		start(t, store, b, "c")
		time.Sleep(15 * time.Second)
		reports := b.of(window)
		for _, r := range reports {
			if r.Counts["acc"] != 1 {
				t.Errorf("%s reported %v", r.Holder, r.Counts)
			}
		}
		last := reports[len(reports)-1]
		if last.Holder != "c" || last.Epoch <= reports[0].Epoch {
			t.Errorf("the last report is %+v", last)
		}
	})
}

// All VMs lose power in the middle of a window. What was counted until shortly
// before must still be reported, by whoever comes back.
func TestCountsSurviveTheLossOfAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &billing{}
		a := start(t, store, b, "a")
		window := a.next()
		a.meter.Began("acc", time.Now())
		time.Sleep(flushEvery + 10*time.Millisecond)
		store.SetFate(func(kept.Txn) memory.Fate { return memory.Refused })
		a.kill()
		time.Sleep(time.Second)
		store.SetFate(nil)
		start(t, store, b, "c")
		time.Sleep(length + 9*time.Second)
		if reports := b.of(window); len(reports) != 1 || reports[0].Counts["acc"] != 1 {
			t.Errorf("reported: %+v", reports)
		}
	})
}

// Billing refuses one window for good. The windows behind it must not wait for it
// for ever.
func TestRefusedWindowHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &billing{refused: map[int64]bool{}}
		a := start(t, store, b, "a")
		window := a.next()
		b.mu.Lock()
		b.refused[window] = true
		b.mu.Unlock()
		time.Sleep(3 * length)
		if len(b.of(window)) != 1 || len(b.of(window+1)) != 1 {
			t.Errorf("%d and %d reports", len(b.of(window)), len(b.of(window+1)))
		}
	})
}

// The store is away while a window ends. Its report comes late, but it comes.
func TestWindowsOfAnOutageAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &billing{}
		a := start(t, store, b, "a")
		window := a.next()
		a.meter.Began("acc", time.Now())
		store.SetDown(true)
		time.Sleep(length + 5*time.Second)
		store.SetDown(false)
		time.Sleep(12 * time.Second)
		if reports := b.of(window); len(reports) != 1 || reports[0].Counts["acc"] != 1 {
			t.Errorf("reported: %+v", reports)
		}
	})
}

// A VM's time of day is an hour off. Counted by it, requests would go into a
// window that is reported already, or not for an hour.
func TestWindowsGoByTheFleetsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first := NewClock(store)
		if err := first.Agree(t.Context(), store); err != nil {
			t.Fatal(err)
		}
		want := first.Millis(time.Now())
		store.Set(kept.Key{Table: clockTable, Name: clockName}, "3600000")
		second := NewClock(store)
		if err := second.Agree(t.Context(), store); err != nil {
			t.Fatal(err)
		}
		if got := second.Millis(time.Now()); got == want || got < 3600000 {
			t.Errorf("the clock goes by its own time of day: %d", got)
		}
	})
}

// The store carries a write of totals out seconds after it fell silent, when newer
// totals of the window stand there. The customer would be billed for less than ran,
// and the next windows' figures would not tell.
func TestLateTotalsDoNotUndoNewerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &billing{}
		v := start(t, store, b, "a")
		window := v.next()
		v.meter.Began("acc", time.Now())
		store.SetFate(func(txn kept.Txn) memory.Fate {
			if txn.Puts[0].Key.Table == totalsTable {
				return memory.EffectLate
			}
			return memory.Normal
		})
		time.Sleep(flushEvery + 100*time.Millisecond)
		store.SetFate(nil)
		v.meter.Began("acc", time.Now())
		time.Sleep(2 * flushEvery)
		store.RunLate()
		time.Sleep(2 * length)
		got := b.of(window)
		if len(got) == 0 || got[0].Counts["acc"] != 2 {
			t.Errorf("the window is reported as %+v, want 2 requests", got)
		}
	})
}

// beginFleet agrees on the fleet's clock and returns the window in which that was.
func beginFleet(t *testing.T, store *memory.Store) int64 {
	clock := NewClock(store)
	if err := clock.Agree(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	return clock.Millis(time.Now()) / length.Milliseconds()
}

// Guards against windows that nobody bills: two outages of the store keep all totals from
// being written until after the first holder has looked for the oldest ones.
func TestFirstReporterBeginsWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &billing{}
		window := beginFleet(t, store)
		time.Sleep(3 * length)
		start(t, store, b, "a")
		time.Sleep(2 * length)
		for n := range int64(3) {
			if len(b.of(window+n)) == 0 {
				t.Errorf("window %d after the first is not reported", n)
			}
		}
	})
}

// The VM that reports for the first time does so late: the store was away, or the one
// in charge died before its first report. Requests of the windows before would never be
// billed.
func TestFirstReporterBeginsWithTheOldestWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, b := memory.New(), &billing{}
		window := beginFleet(t, store)
		for n := range int64(4) {
			store.Set(kept.Key{Table: totalsTable, Part: windowName(window + n), Name: "gone/1"}, `{"acc":3}`)
		}
		time.Sleep(5 * length)
		start(t, store, b, "a")
		time.Sleep(2 * length)
		for n := range int64(4) {
			if got := b.of(window + n); len(got) == 0 || got[0].Counts["acc"] != 3 {
				t.Errorf("window %d after the first is reported as %+v", n, got)
			}
		}
	})
}
