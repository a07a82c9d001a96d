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

// Meter counts what this VM incarnation served and flushes the totals. Usage
// goes to the newest window that the VM has opened; it opens the next one and
// seals the last in one transaction. While the store is down the last window
// stays open, so that nothing is counted where nobody would look for it.
type Meter struct {
	tables      platformapi.Tables
	events      *event.Recorder
	vm          string
	incarnation string
	now         func() time.Time
	length      time.Duration

	mu          sync.Mutex
	figures     Totals
	corrections Totals
	changed     bool

	// The fields below belong to the flushing goroutine.
	opened  bool
	window  Window
	version uint64
	// after is the oldest window that may be opened next: the one behind the
	// last final row.
	after Window
	// opening is the window of an open whose outcome is not known, if pending.
	// A commit without an answer may take effect later; were another window
	// opened meanwhile, the same usage would stand in both. So the meter keeps
	// to this window until its row is there or the closer's floor, which the
	// commit depends on, has passed it.
	opening Window
	pending bool
}

// MeterConfig holds what a Meter is built from.
type MeterConfig struct {
	Tables platformapi.Tables
	Events *event.Recorder
	VM     string
	// Incarnation is unique for each process.
	Incarnation string
	// Now returns the wall time, which only decides into which window usage goes.
	Now func() time.Time
	// Length is the length of a window.
	Length time.Duration
}

// NewMeter returns a meter that has opened no window yet.
func NewMeter(c MeterConfig) *Meter {
	return &Meter{
		tables:      c.Tables,
		events:      c.Events,
		vm:          c.VM,
		incarnation: c.Incarnation,
		now:         c.Now,
		length:      c.Length,
		figures:     make(Totals),
		corrections: make(Totals),
	}
}

// Add counts usage of an account.
func (m *Meter) Add(account contract.Account, f Figures) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.figures[account] = m.figures[account].Add(f)
	m.changed = true
}

// Run flushes until ctx ends. period is asked anew each time, since it grows
// with the fleet.
func (m *Meter) Run(ctx context.Context, period func() time.Duration) {
	for {
		// A failed flush is repeated by the next one with newer totals.
		_ = m.Flush(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(period())):
		}
	}
}

// jitter spreads the flushes of a fleet that was started at once.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// Flush writes the totals, or seals the window and opens the next.
func (m *Meter) Flush(ctx context.Context) error {
	due := m.due()
	if !m.opened {
		return m.open(ctx, due)
	}
	if due > m.window {
		return m.advance(ctx, due)
	}
	return m.write(ctx, false)
}

// due returns the window of the present time.
func (m *Meter) due() Window { return Window(m.now().UnixNano() / int64(m.length)) }

// Seal makes the current window's totals final, for a graceful shutdown.
func (m *Meter) Seal(ctx context.Context) error {
	if !m.opened {
		if m.empty() {
			return nil
		}
		if err := m.open(ctx, m.due()); err != nil {
			return err
		}
	}
	return m.write(ctx, true)
}

func (m *Meter) empty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.figures) == 0 && len(m.corrections) == 0
}

// take returns the totals as they are now and whether they changed since the
// last call.
func (m *Meter) take() (figures, corrections Totals, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed = m.changed
	m.changed = false
	return maps.Clone(m.figures), maps.Clone(m.corrections), changed
}

func (m *Meter) markChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed = true
}

func (m *Meter) row(figures, corrections Totals, sealed bool) Row {
	return Row{VM: m.vm, Incarnation: m.incarnation, Figures: figures, Corrections: corrections, Sealed: sealed}
}

// open opens a window for the counts that are there already. A window below the
// closer's floor must not be opened, since its report might miss the row; then
// the floor is taken.
func (m *Meter) open(ctx context.Context, window Window) error {
	cursor, at, err := readCursor(ctx, m.tables)
	if err != nil {
		return err
	}
	if m.pending {
		if err := m.adopt(ctx, m.opening); err != nil || m.opened {
			return err
		}
	}
	window = max(window, cursor.Floor, m.after)
	if m.pending && cursor.Floor <= m.opening {
		window = m.opening
	}
	m.opening, m.pending = window, true
	figures, corrections, _ := m.take()
	key := rowKey(window, m.vm, m.incarnation)
	err = platformapi.CommitConfirmed(ctx, m.tables, platformapi.Txn{
		Nonce: platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{
			{Key: key},
			{Key: cursorKey, Version: at.Version},
		},
		Writes: []platformapi.Write{{Key: key, Value: platformapi.EncodeValue(m.row(figures, corrections, false))}},
	})
	if err != nil {
		m.markChanged()
		return err
	}
	return m.adopt(ctx, window)
}

// adopt makes a window the current one if this incarnation's row is there. A
// final row must not be written any more, since its report may already be with
// billing; then only what it lacks is carried over.
func (m *Meter) adopt(ctx context.Context, w Window) error {
	row, err := m.tables.Get(ctx, rowKey(w, m.vm, m.incarnation))
	if err != nil || !row.Exists() {
		return err
	}
	var kept Row
	if err := row.Decode(&kept); err != nil {
		return err
	}
	m.pending = false
	m.window, m.version = w, row.Version
	if kept.final() {
		m.carryOver(kept)
		return nil
	}
	m.opened = true
	m.markChanged()
	return nil
}

// write replaces the current row by newer totals. The precondition on the
// version keeps a delayed older write from replacing a newer one.
func (m *Meter) write(ctx context.Context, sealed bool) error {
	figures, corrections, changed := m.take()
	if !changed && !sealed {
		return nil
	}
	key := rowKey(m.window, m.vm, m.incarnation)
	err := platformapi.CommitConfirmed(ctx, m.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: key, Version: m.version}},
		Writes:        []platformapi.Write{{Key: key, Value: platformapi.EncodeValue(m.row(figures, corrections, sealed))}},
	})
	if err != nil {
		m.markChanged()
		m.settle(ctx)
		return err
	}
	m.version++
	if sealed {
		m.sealed(figures, corrections)
	}
	return nil
}

// advance seals the current window and opens the next in one transaction: no
// moment is without an open window, and no usage falls between two.
func (m *Meter) advance(ctx context.Context, next Window) error {
	cursor, at, err := readCursor(ctx, m.tables)
	if err != nil {
		return err
	}
	next = max(next, cursor.Floor)
	figures, corrections, _ := m.take()
	sealed := m.row(figures, corrections, true)
	sealed.Next = next
	oldKey := rowKey(m.window, m.vm, m.incarnation)
	newKey := rowKey(next, m.vm, m.incarnation)
	err = platformapi.CommitConfirmed(ctx, m.tables, platformapi.Txn{
		Nonce: platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{
			{Key: oldKey, Version: m.version},
			{Key: newKey},
			{Key: cursorKey, Version: at.Version},
		},
		Writes: []platformapi.Write{
			{Key: oldKey, Value: platformapi.EncodeValue(sealed)},
			{Key: newKey, Value: platformapi.EncodeValue(m.row(Totals{}, Totals{}, false))},
		},
	})
	if err != nil {
		m.markChanged()
		m.settle(ctx)
		return err
	}
	m.window, m.version = next, 1
	m.sealed(figures, corrections)
	return nil
}

// sealed forgets the totals that a sealed row holds.
func (m *Meter) sealed(figures, corrections Totals) {
	m.mu.Lock()
	m.figures = m.figures.sub(figures)
	m.corrections = m.corrections.sub(corrections)
	m.changed = true
	m.mu.Unlock()
	m.events.Emit(event.WindowSealed, event.Subject{Count: int64(m.window)})
}

// settle finds out what a refused or unanswered write left behind. If the row
// is final, what it lacks becomes a correction in the next window.
func (m *Meter) settle(ctx context.Context) {
	row, err := m.tables.Get(ctx, rowKey(m.window, m.vm, m.incarnation))
	if err != nil {
		return
	}
	if !row.Exists() {
		m.swept()
		return
	}
	var kept Row
	if row.Decode(&kept) != nil {
		return
	}
	m.version = row.Version
	if kept.final() {
		m.carryOver(kept)
	}
}

// carryOver leaves in the totals only what a final row lacks.
func (m *Meter) carryOver(kept Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	missed := m.figures.sub(kept.Figures)
	m.corrections = m.corrections.sub(kept.Corrections)
	m.figures = missed
	if kept.Next != 0 {
		m.opening, m.pending = kept.Next, true
	}
	if kept.Closed {
		m.corrections = m.corrections.add(missed)
		m.figures = make(Totals)
	}
	m.changed = true
	m.opened = false
	m.after = m.window + 1
}

// swept gives up on a row that was deleted because it is a day old. What it
// held is not known any more; counting it again might bill it twice.
func (m *Meter) swept() {
	m.mu.Lock()
	m.figures, m.corrections = make(Totals), make(Totals)
	m.mu.Unlock()
	m.opened = false
	m.after = m.window + 1
	m.events.Emit(event.UsageIncomplete, event.Subject{Count: int64(m.window), Detail: "row swept"})
}
