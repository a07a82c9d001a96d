package usage

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/platformapi"
)

// Meter counts the requests and tokens that this incarnation of the VM serves, and writes
// the totals to the store. Usage is counted in the open window, the newest one that the VM
// has opened. One transaction seals the open window and opens the next one. While the store
// is unavailable the last window stays open, so that no usage is counted in a window without
// a row, which the reporter would not find.
type Meter struct {
	tables       platformapi.Tables
	events       *event.Recorder
	vm           string
	incarnation  string
	now          func() time.Time
	windowLength time.Duration

	mu sync.Mutex
	// counts is the usage in the open window, and corrections the usage of earlier
	// windows that their reports lack. changed is true if they changed since the last
	// snapshot.
	counts      Totals
	corrections Totals
	changed     bool

	// The fields below are used only by the goroutine that flushes. isOpen is true if
	// window is the open window, whose row has the given version.
	isOpen  bool
	window  Window
	version uint64
	// minWindow is the oldest window that may be opened next: the one after the window
	// of the last row that became final.
	minWindow Window
	// openUnconfirmed is true while the commit that opens openingWindow has an
	// unknown outcome. The commit may still take effect. If the meter opened another
	// window meanwhile, both rows would contain the same usage. So it opens no other
	// window until the row exists, or until the cursor's floor is past the window: the
	// commit has a precondition on the cursor's row and can't take effect any more.
	openingWindow   Window
	openUnconfirmed bool
}

// MeterConfig configures a Meter.
type MeterConfig struct {
	Tables platformapi.Tables
	Events *event.Recorder
	VM     string
	// Incarnation is unique to each process.
	Incarnation string
	// Now returns the wall time; it only decides in which window usage is counted.
	Now func() time.Time
	// WindowLength is the length of a window.
	WindowLength time.Duration
}

// NewMeter returns a meter that has opened no window yet.
func NewMeter(c MeterConfig) *Meter {
	return &Meter{
		tables:       c.Tables,
		events:       c.Events,
		vm:           c.VM,
		incarnation:  c.Incarnation,
		now:          c.Now,
		windowLength: c.WindowLength,
		counts:       make(Totals),
		corrections:  make(Totals),
	}
}

// Add adds to the usage of an account.
func (m *Meter) Add(account contract.Account, c Counts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[account] = m.counts[account].Add(c)
	m.changed = true
}

// Run flushes until ctx ends. It calls interval before each wait, since the flush interval
// grows with the fleet.
func (m *Meter) Run(ctx context.Context, interval func() time.Duration) {
	for {
		// After a failure the next flush writes newer totals.
		_ = m.Flush(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(interval())):
		}
	}
}

// jitter varies a flush interval by up to a quarter, so that VMs that were started together
// don't flush together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// Flush writes the totals to the row of the open window. It opens a window if none is open,
// and seals the open one and opens the next when its time has ended.
func (m *Meter) Flush(ctx context.Context) error {
	windowNow := m.windowNow()
	if !m.isOpen {
		return m.open(ctx, windowNow)
	}
	if windowNow > m.window {
		return m.advance(ctx, windowNow)
	}
	return m.write(ctx, false)
}

// windowNow returns the window that contains the current wall time.
func (m *Meter) windowNow() Window { return Window(m.now().UnixNano() / int64(m.windowLength)) }

// Seal makes the totals of the open window final, for a graceful shutdown.
func (m *Meter) Seal(ctx context.Context) error {
	if !m.isOpen {
		if m.isEmpty() {
			return nil
		}
		if err := m.open(ctx, m.windowNow()); err != nil {
			return err
		}
	}
	return m.write(ctx, true)
}

func (m *Meter) isEmpty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.counts) == 0 && len(m.corrections) == 0
}

// snapshot returns copies of the totals and whether they changed since the last call.
func (m *Meter) snapshot() (counts, corrections Totals, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed = m.changed
	m.changed = false
	return maps.Clone(m.counts), maps.Clone(m.corrections), changed
}

func (m *Meter) markChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed = true
}

func (m *Meter) newRow(counts, corrections Totals, sealed bool) Row {
	return Row{VM: m.vm, Incarnation: m.incarnation, Counts: counts, Corrections: corrections, Sealed: sealed}
}

// open opens a window and writes the current totals to its row. A window below the cursor's
// floor must not be opened, since its report might lack the row; open then opens the window
// at the floor.
func (m *Meter) open(ctx context.Context, window Window) error {
	cursor, cursorRow, err := readCursor(ctx, m.tables)
	if err != nil {
		return err
	}
	if m.openUnconfirmed {
		if err := m.adopt(ctx, m.openingWindow); err != nil || m.isOpen {
			return err
		}
	}
	window = max(window, cursor.Floor, m.minWindow)
	if m.openUnconfirmed && cursor.Floor <= m.openingWindow {
		window = m.openingWindow
	}
	m.openingWindow, m.openUnconfirmed = window, true
	counts, corrections, _ := m.snapshot()
	key := rowKey(window, m.vm, m.incarnation)
	err = platformapi.CommitConfirmed(ctx, m.tables, platformapi.Txn{
		Nonce: platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{
			{Key: key},
			{Key: cursorKey, Version: cursorRow.Version},
		},
		Writes: []platformapi.Write{{Key: key, Value: platformapi.EncodeValue(m.newRow(counts, corrections, false))}},
	})
	if err != nil {
		m.markChanged()
		return err
	}
	return m.adopt(ctx, window)
}

// adopt makes w the open window if this incarnation has a row in it. If the row is final
// the window is not opened, since its report may have been sent to billing; only the usage
// that the row lacks remains in the totals.
func (m *Meter) adopt(ctx context.Context, w Window) error {
	row, err := m.tables.Get(ctx, rowKey(w, m.vm, m.incarnation))
	if err != nil || !row.Exists() {
		return err
	}
	var stored Row
	if err := row.Decode(&stored); err != nil {
		return err
	}
	m.openUnconfirmed = false
	m.window, m.version = w, row.Version
	if stored.isFinal() {
		m.subtractFinal(stored)
		return nil
	}
	m.isOpen = true
	m.markChanged()
	return nil
}

// write writes the totals to the row of the open window. The precondition on the version
// keeps a delayed write of older totals from replacing newer ones.
func (m *Meter) write(ctx context.Context, sealed bool) error {
	counts, corrections, changed := m.snapshot()
	if !changed && !sealed {
		return nil
	}
	key := rowKey(m.window, m.vm, m.incarnation)
	err := platformapi.CommitConfirmed(ctx, m.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: key, Version: m.version}},
		Writes:        []platformapi.Write{{Key: key, Value: platformapi.EncodeValue(m.newRow(counts, corrections, sealed))}},
	})
	if err != nil {
		m.markChanged()
		m.reconcile(ctx)
		return err
	}
	m.version++
	if sealed {
		m.noteSealed(counts, corrections)
	}
	return nil
}

// advance seals the open window and opens the next one in one transaction, so that a window
// is open at every moment and no usage is lost between two.
func (m *Meter) advance(ctx context.Context, next Window) error {
	cursor, cursorRow, err := readCursor(ctx, m.tables)
	if err != nil {
		return err
	}
	next = max(next, cursor.Floor)
	counts, corrections, _ := m.snapshot()
	sealed := m.newRow(counts, corrections, true)
	sealed.Next = next
	oldKey := rowKey(m.window, m.vm, m.incarnation)
	newKey := rowKey(next, m.vm, m.incarnation)
	err = platformapi.CommitConfirmed(ctx, m.tables, platformapi.Txn{
		Nonce: platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{
			{Key: oldKey, Version: m.version},
			{Key: newKey},
			{Key: cursorKey, Version: cursorRow.Version},
		},
		Writes: []platformapi.Write{
			{Key: oldKey, Value: platformapi.EncodeValue(sealed)},
			{Key: newKey, Value: platformapi.EncodeValue(m.newRow(Totals{}, Totals{}, false))},
		},
	})
	if err != nil {
		m.markChanged()
		m.reconcile(ctx)
		return err
	}
	m.window, m.version = next, 1
	m.noteSealed(counts, corrections)
	return nil
}

// noteSealed subtracts the totals that the sealed row contains.
func (m *Meter) noteSealed(counts, corrections Totals) {
	m.mu.Lock()
	m.counts = m.counts.sub(counts)
	m.corrections = m.corrections.sub(corrections)
	m.changed = true
	m.mu.Unlock()
	m.events.Emit(event.WindowSealed, event.Subject{Count: int64(m.window)})
}

// reconcile reads the row after a write that failed or was not answered. If the row is
// final, only the usage that it lacks remains in the totals.
func (m *Meter) reconcile(ctx context.Context) {
	row, err := m.tables.Get(ctx, rowKey(m.window, m.vm, m.incarnation))
	if err != nil {
		return
	}
	if !row.Exists() {
		m.noteSwept()
		return
	}
	var stored Row
	if row.Decode(&stored) != nil {
		return
	}
	m.version = row.Version
	if stored.isFinal() {
		m.subtractFinal(stored)
	}
}

// subtractFinal leaves in the totals only the usage that a final row lacks. If the reporter
// closed the row, that usage becomes a correction in the next window. If the VM sealed the
// row and opened the next window in one transaction, the next call of open adopts that window.
func (m *Meter) subtractFinal(stored Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	missing := m.counts.sub(stored.Counts)
	m.corrections = m.corrections.sub(stored.Corrections)
	m.counts = missing
	if stored.Next != 0 {
		m.openingWindow, m.openUnconfirmed = stored.Next, true
	}
	if stored.Closed {
		m.corrections = m.corrections.add(missing)
		m.counts = make(Totals)
	}
	m.changed = true
	m.isOpen = false
	m.minWindow = m.window + 1
}

// noteSwept drops the totals if their row was deleted because it is older than the retention
// of one day. It is unknown which usage the row contained, and counting that usage again
// might bill it twice.
func (m *Meter) noteSwept() {
	m.mu.Lock()
	m.counts, m.corrections = make(Totals), make(Totals)
	m.mu.Unlock()
	m.isOpen = false
	m.minWindow = m.window + 1
	m.events.Emit(event.UsageIncomplete, event.Subject{Count: int64(m.window), Detail: "row swept"})
}
