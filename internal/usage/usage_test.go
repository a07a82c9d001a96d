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
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/memtables"
)

const (
	windowLength = 10 * time.Second
	berry        = contract.Account("berry")
	tree         = contract.Account("tree")
)

// unreliable loses a share of the replies before or after the effect, and lets
// a share of the commits take effect only later.
type unreliable struct {
	platformapi.Tables
	random  *rand.Rand
	percent int
	late    []platformapi.Txn
	// meanwhile, if set, runs another actor now and then in the middle of a
	// caller's sequence of calls.
	meanwhile func()
}

// interleave runs the other actor, which is not interleaved itself.
func (u *unreliable) interleave() {
	other := u.meanwhile
	if other == nil || u.random.IntN(4) != 0 {
		return
	}
	u.meanwhile = nil
	other()
	u.meanwhile = other
}

func (u *unreliable) hit() bool { return u.random.IntN(100) < u.percent }

func (u *unreliable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	u.interleave()
	u.land(ctx)
	if u.hit() {
		return platformapi.Row{}, errors.WithStack(&fault.StoreUnavailable{Operation: "get"})
	}
	return u.Tables.Get(ctx, key)
}

func (u *unreliable) Commit(ctx context.Context, txn platformapi.Txn) error {
	u.interleave()
	u.land(ctx)
	if !u.hit() {
		return u.Tables.Commit(ctx, txn)
	}
	switch u.random.IntN(3) {
	case 0: // The request is lost.
	case 1: // The reply is lost.
		_ = u.Tables.Commit(ctx, txn)
	default: // The request is delayed.
		u.late = append(u.late, txn)
	}
	return errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
}

// land lets one delayed commit take effect, now and then.
func (u *unreliable) land(ctx context.Context) {
	if len(u.late) > 0 && u.random.IntN(4) == 0 {
		txn := u.late[0]
		u.late = u.late[1:]
		_ = u.Tables.Commit(ctx, txn)
	}
}

// billing counts what was accepted and refuses other figures for a window.
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

// sum adds up everything that was reported for an account.
func (b *billing) sum(account contract.Account) (figures Figures, incomplete bool) {
	for _, r := range b.accepted {
		if r.Account == string(account) {
			figures.Requests += r.Requests + r.CorrectionRequests
			figures.Tokens += r.Tokens + r.CorrectionTokens
			incomplete = incomplete || r.Incomplete
		}
	}
	return figures, incomplete
}

// held is a lease that is always held.
type held uint64

func (held) Check() error        { return nil }
func (h held) Epoch() uint64     { return uint64(h) }
func (held) Deadline() time.Time { return time.Now().Add(time.Hour) }

func newEvents() *event.Recorder {
	return event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
}

func newMeter(tables platformapi.Tables, vm string) *Meter {
	return NewMeter(MeterConfig{
		Tables:      tables,
		Events:      newEvents(),
		VM:          vm,
		Incarnation: "1",
		Now:         time.Now,
		Length:      windowLength,
	})
}

func newCloser(tables platformapi.Tables, b platformapi.Billing, listed func(string) bool) *Closer {
	started := time.Now()
	return NewCloser(tables, b, newEvents(), CloserConfig{
		Length:    windowLength,
		Now:       time.Now,
		Elapsed:   func() time.Duration { return time.Since(started) },
		Grace:     time.Second,
		DeadAfter: 5 * time.Second,
		GiveUp:    30 * time.Second,
		Accounts:  func() []contract.Account { return []contract.Account{berry, tree} },
		Listed:    listed,
	})
}

func newBilling(t *testing.T) *billing {
	return &billing{t: t, accepted: make(map[string]platformapi.UsageReport), lose: func() bool { return false }}
}

// drive runs the closer until it has nothing more to do at the present time.
func drive(t *testing.T, c *Closer) {
	t.Helper()
	for {
		more, err := c.Step(t.Context(), held(1))
		if err != nil {
			t.Fatalf("Step: %v", err)
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

func TestWindowOfTwoVMsIsReportedOnceAndWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		one, two := newMeter(tables, "vm-1"), newMeter(tables, "vm-2")
		flush(t, one, two)
		one.Add(berry, Figures{Requests: 1, Tokens: 10})
		two.Add(berry, Figures{Requests: 2, Tokens: 20})
		time.Sleep(windowLength)
		flush(t, one, two)
		time.Sleep(2 * time.Second)
		drive(t, newCloser(tables, b, allListed))
		if len(b.accepted) != 2 {
			t.Fatalf("got %d reports, want one for each account", len(b.accepted))
		}
		got, incomplete := b.sum(berry)
		if want := (Figures{Requests: 3, Tokens: 30}); got != want || incomplete {
			t.Errorf("reported %+v (incomplete %v), want %+v", got, incomplete, want)
		}
	})
}

// A VM is killed between two flushes. What it had not flushed is gone, and the
// customer's bill must not pass as whole.
func TestReportOfKilledVMSaysIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		killed, other := newMeter(tables, "vm-1"), newMeter(tables, "vm-2")
		flush(t, killed, other)
		killed.Add(berry, Figures{Requests: 1, Tokens: 10})
		flush(t, killed)
		killed.Add(berry, Figures{Requests: 1, Tokens: 5})
		time.Sleep(windowLength)
		flush(t, other)
		closer := newCloser(tables, b, func(vm string) bool { return vm != "vm-1" })
		time.Sleep(2 * time.Second)
		drive(t, closer)
		if len(b.accepted) != 0 {
			t.Fatal("reported before the silent VM could count as dead")
		}
		time.Sleep(6 * time.Second)
		drive(t, closer)
		got, incomplete := b.sum(berry)
		if want := (Figures{Requests: 1, Tokens: 10}); got != want || !incomplete {
			t.Errorf("reported %+v (incomplete %v), want %+v and incomplete", got, incomplete, want)
		}
	})
}

// A VM is cut off from the platform for so long that its window is closed
// without it. When it is back, a report with other figures for the same window
// would be a second, different bill; the rest must come as a correction.
func TestCutOffVMCorrectsTheNextWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		cut := newMeter(tables, "vm-1")
		flush(t, cut)
		cut.Add(berry, Figures{Requests: 1, Tokens: 10})
		flush(t, cut)
		cut.Add(berry, Figures{Requests: 4, Tokens: 40})
		time.Sleep(windowLength)
		closer := newCloser(tables, b, func(string) bool { return false })
		time.Sleep(2 * time.Second)
		drive(t, closer)
		time.Sleep(6 * time.Second)
		drive(t, closer)
		if got, _ := b.sum(berry); got.Requests != 1 {
			t.Fatalf("the first window has %+v, want the one flushed request", got)
		}
		_ = cut.Flush(t.Context())
		flush(t, cut)
		if err := cut.Seal(t.Context()); err != nil {
			t.Fatalf("Seal: %v", err)
		}
		time.Sleep(2 * windowLength)
		drive(t, closer)
		if got, _ := b.sum(berry); got != (Figures{Requests: 5, Tokens: 50}) {
			t.Errorf("reported %+v in all, want 5 requests and 50 tokens", got)
		}
	})
}

// A VM that was paused seals its row just between the closer's scan and the
// insertion of the reports. The report would lack what the seal added, and the
// VM would not know; the customer would never be billed for it.
func TestSealBetweenScanAndInsertIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		paused := newMeter(tables, "vm-1")
		flush(t, paused)
		time.Sleep(windowLength)
		paused.Add(berry, Figures{Requests: 1, Tokens: 10})
		between := &hooked{Tables: tables}
		closer := newCloser(between, b, func(string) bool { return false })
		time.Sleep(2 * time.Second)
		drive(t, closer)
		time.Sleep(6 * time.Second)
		between.beforeCommit = func() { flush(t, paused) }
		_, _ = closer.Step(t.Context(), held(1))
		drive(t, closer)
		if got, _ := b.sum(berry); got != (Figures{Requests: 1, Tokens: 10}) {
			t.Errorf("reported %+v, want the request that was sealed meanwhile", got)
		}
	})
}

// The store takes the commit that opens a VM's first window, but is so slow that
// the VM gives up on it and the next window begins. Were that one opened instead,
// the same usage would stand in both windows once the slow commit takes effect.
func TestUnansweredOpenIsNotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := &holding{Tables: memtables.NewTables(), hold: true}, newBilling(t)
		one := newMeter(tables, "vm-1")
		one.Add(berry, Figures{Requests: 1, Tokens: 10})
		if err := one.Flush(t.Context()); err == nil {
			t.Fatal("the flush was answered")
		}
		time.Sleep(windowLength)
		tables.hold = false
		flush(t, one)
		tables.land(t)
		flush(t, one)
		if err := one.Seal(t.Context()); err != nil {
			t.Fatalf("Seal: %v", err)
		}
		closer := newCloser(tables, b, allListed)
		for range 10 {
			time.Sleep(windowLength)
			drive(t, closer)
		}
		if got, _ := b.sum(berry); got != (Figures{Requests: 1, Tokens: 10}) {
			t.Errorf("reported %+v, want the one request", got)
		}
	})
}

// holding takes commits without an answer until they land.
type holding struct {
	platformapi.Tables
	hold bool
	held []platformapi.Txn
}

func (h *holding) Commit(ctx context.Context, txn platformapi.Txn) error {
	if !h.hold {
		return h.Tables.Commit(ctx, txn)
	}
	h.held = append(h.held, txn)
	return errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
}

// land lets the held commits take effect, as far as their preconditions hold.
func (h *holding) land(t *testing.T) {
	t.Helper()
	for _, txn := range h.held {
		_ = h.Tables.Commit(t.Context(), txn)
	}
}

// hooked runs a function once before the next commit.
type hooked struct {
	platformapi.Tables
	beforeCommit func()
}

func (h *hooked) Commit(ctx context.Context, txn platformapi.Txn) error {
	if hook := h.beforeCommit; hook != nil {
		h.beforeCommit = nil
		hook()
	}
	return h.Tables.Commit(ctx, txn)
}

// A VM whose clock is slow opens a window that has just been reported. Its row
// would never be billed, so the window must be refused and a later one taken.
func TestReportedWindowCanNotBeOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables, b := memtables.NewTables(), newBilling(t)
		one := newMeter(tables, "vm-1")
		flush(t, one)
		time.Sleep(windowLength)
		flush(t, one)
		time.Sleep(2 * time.Second)
		closer := newCloser(tables, b, allListed)
		drive(t, closer)
		slow := newMeter(tables, "vm-2")
		slow.now = func() time.Time { return time.Now().Add(-windowLength) }
		slow.Add(tree, Figures{Requests: 1, Tokens: 7})
		flush(t, slow)
		time.Sleep(windowLength)
		flush(t, one, slow)
		if err := slow.Seal(t.Context()); err != nil {
			t.Fatalf("Seal: %v", err)
		}
		time.Sleep(2 * windowLength)
		drive(t, closer)
		if got, _ := b.sum(tree); got != (Figures{Requests: 1, Tokens: 7}) {
			t.Errorf("reported %+v, want the request of the slow VM", got)
		}
	})
}

// The store loses requests and replies and delays commits, two closers both
// work, billing loses replies, and VMs are wrongly taken for dead, all at
// random. Whatever happens, no window is reported with two figures, and once
// the store is well again every request is billed exactly once.
func TestEveryRequestIsBilledOnceOverAnUnreliableStore(t *testing.T) {
	const seeds = 300
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) { billOverUnreliableStore(t, seed) })
	}
}

func billOverUnreliableStore(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	tables := &unreliable{Tables: memtables.NewTables(), random: random, percent: 20}
	b := newBilling(t)
	b.lose = func() bool { return random.IntN(5) == 0 }
	listed := func(string) bool { return random.IntN(2) == 0 }
	closers := []*Closer{newCloser(tables, b, listed), newCloser(tables, b, listed)}
	meters := []*Meter{newMeter(tables, "vm-1"), newMeter(tables, "vm-2"), newMeter(tables, "vm-3")}
	// A meter is driven by one goroutine, so the interleaved actor is a VM of its
	// own.
	other := newMeter(tables, "vm-4")
	var used Figures
	tables.meanwhile = func() {
		f := Figures{Requests: 1, Tokens: int64(random.IntN(100))}
		other.Add(berry, f)
		used = used.Add(f)
		_ = other.Flush(t.Context())
	}
	for range 200 {
		m := meters[random.IntN(len(meters))]
		switch random.IntN(4) {
		case 0:
			f := Figures{Requests: 1, Tokens: int64(random.IntN(100))}
			m.Add(berry, f)
			used = used.Add(f)
		case 1:
			_ = m.Flush(t.Context())
		case 2:
			_, _ = closers[random.IntN(len(closers))].Step(t.Context(), held(1))
		default:
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		}
	}
	tables.percent = 0
	tables.meanwhile = nil
	b.lose = func() bool { return false }
	for len(tables.late) > 0 {
		tables.land(t.Context())
	}
	for _, m := range append(meters, other) {
		sealSurely(t, m, seed)
	}
	for range 40 {
		time.Sleep(windowLength)
		for _, c := range closers {
			for range 8 {
				_, _ = c.Step(t.Context(), held(1))
			}
		}
	}
	if got, _ := b.sum(berry); got != used {
		t.Errorf("seed %d: billed %+v, used %+v", seed, got, used)
	}
}

func sealSurely(t *testing.T, m *Meter, seed uint64) {
	t.Helper()
	for range 5 {
		if m.Seal(t.Context()) == nil && m.empty() {
			return
		}
	}
	t.Errorf("seed %d: the meter could not seal", seed)
}
