package usage

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease/leasetest"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/memtables"
)

const (
	windowLength = 10 * time.Second
	berry        = contract.Account("berry")
	tree         = contract.Account("tree")
)

// unreliableTables loses some requests and some replies, and delays some commits.
type unreliableTables struct {
	platformapi.Tables
	random       *rand.Rand
	faultPercent int
	delayed      []platformapi.Txn
	// concurrent, if set, acts for another client. It is sometimes called between two
	// calls of a caller.
	concurrent func()
}

// interleave sometimes calls concurrent, but not within itself.
func (u *unreliableTables) interleave() {
	other := u.concurrent
	if other == nil || u.random.IntN(4) != 0 {
		return
	}
	u.concurrent = nil
	other()
	u.concurrent = other
}

func (u *unreliableTables) injectFault() bool { return u.random.IntN(100) < u.faultPercent }

func (u *unreliableTables) Get(ctx context.Context, key string) (platformapi.Row, error) {
	u.interleave()
	u.applyDelayed(ctx)
	if u.injectFault() {
		return platformapi.Row{}, errors.WithStack(&fault.StoreUnavailable{Operation: "get"})
	}
	return u.Tables.Get(ctx, key)
}

func (u *unreliableTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	u.interleave()
	u.applyDelayed(ctx)
	if !u.injectFault() {
		return u.Tables.Commit(ctx, txn)
	}
	switch u.random.IntN(3) {
	case 0: // The request is lost.
	case 1: // The reply is lost.
		_ = u.Tables.Commit(ctx, txn)
	default: // The request is delayed.
		u.delayed = append(u.delayed, txn)
	}
	return errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
}

// applyDelayed sometimes applies one delayed commit.
func (u *unreliableTables) applyDelayed(ctx context.Context) {
	if len(u.delayed) > 0 && u.random.IntN(4) == 0 {
		txn := u.delayed[0]
		u.delayed = u.delayed[1:]
		_ = u.Tables.Commit(ctx, txn)
	}
}

// billing stores the accepted reports. The test fails if a report differs from an earlier
// one for the same account and window.
type billing struct {
	t        *testing.T
	accepted map[string]platformapi.UsageReport
	lose     func() bool
}

func (b *billing) Report(_ context.Context, r platformapi.UsageReport) error {
	key := time.Unix(r.Window, 0).UTC().String() + r.Account
	r.Epoch = 0
	if first, ok := b.accepted[key]; ok && first != r {
		b.t.Errorf("window %d of %s was reported as %+v and then as %+v", r.Window, r.Account, first, r)
	}
	b.accepted[key] = r
	if b.lose() {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "report", EffectUnknown: true})
	}
	return nil
}

// sum returns the usage in all reports for an account, and whether one is incomplete.
func (b *billing) sum(account contract.Account) (counts Counts, incomplete bool) {
	for _, r := range b.accepted {
		if r.Account == string(account) {
			counts.Requests += r.Requests + r.CorrectionRequests
			counts.Tokens += r.Tokens + r.CorrectionTokens
			incomplete = incomplete || r.Incomplete
		}
	}
	return counts, incomplete
}

func newEvents() *event.Recorder {
	return event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
}

func newMeter(tables platformapi.Tables, vm string) *Meter {
	return NewMeter(MeterConfig{
		Tables:       tables,
		Events:       newEvents(),
		VM:           vm,
		Incarnation:  "1",
		Now:          time.Now,
		WindowLength: windowLength,
	})
}

func newReporter(tables platformapi.Tables, b platformapi.Billing, listed func(string) bool) *Reporter {
	started := time.Now()
	return NewReporter(tables, b, newEvents(), ReporterConfig{
		WindowLength:    windowLength,
		Now:             time.Now,
		Elapsed:         func() time.Duration { return time.Since(started) },
		GracePeriod:     time.Second,
		DeadAfter:       5 * time.Second,
		ListedDeadAfter: 30 * time.Second,
		Accounts:        func() []contract.Account { return []contract.Account{berry, tree} },
		IsListed:        listed,
	})
}

func newBilling(t *testing.T) *billing {
	return &billing{t: t, accepted: make(map[string]platformapi.UsageReport), lose: func() bool { return false }}
}

// drive runs the reporter until it has nothing more to do at the current time.
func drive(t *testing.T, r *Reporter) {
	t.Helper()
	for {
		more, err := r.Advance(t.Context(), leasetest.Held(1))
		if err != nil {
			t.Fatalf("Advance: %v", err)
		}
		if !more {
			return
		}
	}
}

func flush(t *testing.T, meters ...*Meter) {
	t.Helper()
	for _, m := range meters {
		if err := m.Flush(t.Context()); err != nil {
			t.Fatalf("Flush: %v", err)
		}
	}
}

func allListed(string) bool { return true }

func TestWindowOfTwoVMsIsReportedOnceWithAllUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		one, two := newMeter(tables, "vm-1"), newMeter(tables, "vm-2")
		flush(t, one, two)
		one.Add(berry, Counts{Requests: 1, Tokens: 10})
		two.Add(berry, Counts{Requests: 2, Tokens: 20})
		time.Sleep(windowLength)
		flush(t, one, two)
		time.Sleep(2 * time.Second)
		drive(t, newReporter(tables, b, allListed))
		if len(b.accepted) != 2 {
			t.Fatalf("got %d reports, want one for each account", len(b.accepted))
		}
		got, incomplete := b.sum(berry)
		if want := (Counts{Requests: 3, Tokens: 30}); got != want || incomplete {
			t.Errorf("reported %+v (incomplete %v), want %+v", got, incomplete, want)
		}
	})
}

// A VM is killed between two flushes, and the usage that it had not flushed is lost. The
// report must be marked incomplete, or the client account's bill would seem complete.
func TestReportOfKilledVMIsIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		killed, other := newMeter(tables, "vm-1"), newMeter(tables, "vm-2")
		flush(t, killed, other)
		killed.Add(berry, Counts{Requests: 1, Tokens: 10})
		flush(t, killed)
		killed.Add(berry, Counts{Requests: 1, Tokens: 5})
		time.Sleep(windowLength)
		flush(t, other)
		reporter := newReporter(tables, b, func(vm string) bool { return vm != "vm-1" })
		time.Sleep(2 * time.Second)
		drive(t, reporter)
		if len(b.accepted) != 0 {
			t.Fatal("reported before the killed VM could be considered dead")
		}
		time.Sleep(6 * time.Second)
		drive(t, reporter)
		got, incomplete := b.sum(berry)
		if want := (Counts{Requests: 1, Tokens: 10}); got != want || !incomplete {
			t.Errorf("reported %+v (incomplete %v), want %+v and incomplete", got, incomplete, want)
		}
	})
}

// A VM is cut off from the platform for so long that the reporter closes its row. The usage
// that the row lacks must be reported as a correction in a later window: another report for
// the closed window would be a second, different bill.
func TestCutOffVMCorrectsTheNextWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		cutOff := newMeter(tables, "vm-1")
		flush(t, cutOff)
		cutOff.Add(berry, Counts{Requests: 1, Tokens: 10})
		flush(t, cutOff)
		cutOff.Add(berry, Counts{Requests: 4, Tokens: 40})
		time.Sleep(windowLength)
		reporter := newReporter(tables, b, func(string) bool { return false })
		time.Sleep(2 * time.Second)
		drive(t, reporter)
		time.Sleep(6 * time.Second)
		drive(t, reporter)
		if got, _ := b.sum(berry); got.Requests != 1 {
			t.Fatalf("reported %+v for the first window, want the one flushed request", got)
		}
		_ = cutOff.Flush(t.Context())
		flush(t, cutOff)
		if err := cutOff.Seal(t.Context()); err != nil {
			t.Fatalf("Seal: %v", err)
		}
		time.Sleep(2 * windowLength)
		drive(t, reporter)
		if got, _ := b.sum(berry); got != (Counts{Requests: 5, Tokens: 50}) {
			t.Errorf("reported %+v in total, want 5 requests and 50 tokens", got)
		}
	})
}

// A VM that was paused seals its row between the reporter's scan and the insertion of the
// reports. If the insertion succeeded, the report would lack the usage that the sealed row
// contains, and this usage would never be billed.
func TestSealBetweenScanAndInsertIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		paused := newMeter(tables, "vm-1")
		flush(t, paused)
		time.Sleep(windowLength)
		paused.Add(berry, Counts{Requests: 1, Tokens: 10})
		between := &hookedTables{Tables: tables}
		reporter := newReporter(between, b, func(string) bool { return false })
		time.Sleep(2 * time.Second)
		drive(t, reporter)
		time.Sleep(6 * time.Second)
		between.beforeCommit = func() { flush(t, paused) }
		_, _ = reporter.Advance(t.Context(), leasetest.Held(1))
		drive(t, reporter)
		if got, _ := b.sum(berry); got != (Counts{Requests: 1, Tokens: 10}) {
			t.Errorf("reported %+v, want the request in the sealed row", got)
		}
	})
}

// The commit that opens a VM's first window times out, and takes effect after the next
// window has begun. If the VM opened the next window instead, both windows would contain
// the same usage.
func TestOpenWithUnknownOutcomeIsNotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := &delayingTables{Tables: memtables.NewTables(), delay: true}, newBilling(t)
		one := newMeter(tables, "vm-1")
		one.Add(berry, Counts{Requests: 1, Tokens: 10})
		if err := one.Flush(t.Context()); err == nil {
			t.Fatal("Flush succeeded although the commit was not answered")
		}
		time.Sleep(windowLength)
		tables.delay = false
		flush(t, one)
		tables.applyDelayed(t)
		flush(t, one)
		if err := one.Seal(t.Context()); err != nil {
			t.Fatalf("Seal: %v", err)
		}
		reporter := newReporter(tables, b, allListed)
		for range 10 {
			time.Sleep(windowLength)
			drive(t, reporter)
		}
		if got, _ := b.sum(berry); got != (Counts{Requests: 1, Tokens: 10}) {
			t.Errorf("reported %+v, want the one request", got)
		}
	})
}

// delayingTables delays commits while delay is set; their callers get no answer.
type delayingTables struct {
	platformapi.Tables
	delay   bool
	delayed []platformapi.Txn
}

func (d *delayingTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	if !d.delay {
		return d.Tables.Commit(ctx, txn)
	}
	d.delayed = append(d.delayed, txn)
	return errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
}

// applyDelayed applies the delayed commits whose preconditions hold.
func (d *delayingTables) applyDelayed(t *testing.T) {
	t.Helper()
	for _, txn := range d.delayed {
		_ = d.Tables.Commit(t.Context(), txn)
	}
}

// hookedTables calls beforeCommit once, before the next commit.
type hookedTables struct {
	platformapi.Tables
	beforeCommit func()
}

func (h *hookedTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	if hook := h.beforeCommit; hook != nil {
		h.beforeCommit = nil
		hook()
	}
	return h.Tables.Commit(ctx, txn)
}

// A VM with a slow clock tries to open a window that was already reported. The usage in its
// row would never be billed, so the VM must open a later window instead.
func TestReportedWindowCanNotBeOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		one := newMeter(tables, "vm-1")
		flush(t, one)
		time.Sleep(windowLength)
		flush(t, one)
		time.Sleep(2 * time.Second)
		reporter := newReporter(tables, b, allListed)
		drive(t, reporter)
		slow := newMeter(tables, "vm-2")
		slow.now = func() time.Time { return time.Now().Add(-windowLength) }
		slow.Add(tree, Counts{Requests: 1, Tokens: 7})
		flush(t, slow)
		time.Sleep(windowLength)
		flush(t, one, slow)
		if err := slow.Seal(t.Context()); err != nil {
			t.Fatalf("Seal: %v", err)
		}
		time.Sleep(2 * windowLength)
		drive(t, reporter)
		if got, _ := b.sum(tree); got != (Counts{Requests: 1, Tokens: 7}) {
			t.Errorf("reported %+v, want the request of the slow VM", got)
		}
	})
}

// At random, the store loses requests and replies and delays commits, two reporters run at
// once, billing loses replies, and VMs that are alive are considered dead. Still no two
// reports for an account and window differ, and once the store is reliable again every
// request is billed exactly once.
func TestEveryRequestIsBilledOnceOverAnUnreliableStore(t *testing.T) {
	const seeds = 300
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) { billOverUnreliableStore(t, seed) })
	}
}

func billOverUnreliableStore(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	tables := &unreliableTables{Tables: memtables.NewTables(), random: random, faultPercent: 20}
	b := newBilling(t)
	b.lose = func() bool { return random.IntN(5) == 0 }
	listed := func(string) bool { return random.IntN(2) == 0 }
	reporters := []*Reporter{newReporter(tables, b, listed), newReporter(tables, b, listed)}
	meters := []*Meter{newMeter(tables, "vm-1"), newMeter(tables, "vm-2"), newMeter(tables, "vm-3")}
	// A meter must be used by one goroutine only, so the concurrent client is another VM.
	other := newMeter(tables, "vm-4")
	var used Counts
	tables.concurrent = func() {
		c := Counts{Requests: 1, Tokens: int64(random.IntN(100))}
		other.Add(berry, c)
		used = used.Add(c)
		_ = other.Flush(t.Context())
	}
	for range 200 {
		m := meters[random.IntN(len(meters))]
		switch random.IntN(4) {
		case 0:
			c := Counts{Requests: 1, Tokens: int64(random.IntN(100))}
			m.Add(berry, c)
			used = used.Add(c)
		case 1:
			_ = m.Flush(t.Context())
		case 2:
			_, _ = reporters[random.IntN(len(reporters))].Advance(t.Context(), leasetest.Held(1))
		default:
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		}
	}
	tables.faultPercent = 0
	tables.concurrent = nil
	b.lose = func() bool { return false }
	for len(tables.delayed) > 0 {
		tables.applyDelayed(t.Context())
	}
	for _, m := range append(meters, other) {
		sealEmpty(t, m, seed)
	}
	for range 40 {
		time.Sleep(windowLength)
		for _, r := range reporters {
			for range 8 {
				_, _ = r.Advance(t.Context(), leasetest.Held(1))
			}
		}
	}
	if got, _ := b.sum(berry); got != used {
		t.Errorf("seed %d: billed %+v, used %+v", seed, got, used)
	}
}

// sealEmpty seals the meter until its totals are empty.
func sealEmpty(t *testing.T, m *Meter, seed uint64) {
	t.Helper()
	for range 5 {
		if m.Seal(t.Context()) == nil && m.isEmpty() {
			return
		}
	}
	t.Errorf("seed %d: the meter is not sealed and empty after all tries", seed)
}
