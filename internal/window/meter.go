package window

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/wait"
)

const (
	// flushEvery is how often changed totals are written by a VM of a small fleet. What a
	// VM counted since is lost with its power.
	flushEvery = 400 * time.Millisecond
	// flushTimeout bounds one write.
	flushTimeout = 1500 * time.Millisecond
	// keepWindows is how many windows are kept in memory; older ones are reported.
	keepWindows = 8
)

// Meter counts what began to run on this VM's behalf.
type Meter struct {
	clock  *Clock
	store  kept.Store
	name   string
	length time.Duration
	calls  *budget.Budget
	events *event.Recorder

	mu      sync.Mutex
	windows map[int64]*totals
	failing bool
}

// totals are the counts of one window.
type totals struct {
	counts map[string]int64
	dirty  bool
	// version is that of the row that holds them, as far as is known.
	version int64
}

// NewMeter returns a meter. name is unique for each process, so that its totals
// overwrite nobody else's.
func NewMeter(clock *Clock, store kept.Store, name string, length time.Duration, calls *budget.Budget, events *event.Recorder) *Meter {
	return &Meter{clock: clock, store: store, name: name, length: length, calls: calls, events: events, windows: make(map[int64]*totals)}
}

// Began counts a run of the account that an upstream began at a moment.
func (m *Meter) Began(account string, at time.Time) { m.add(account, at, 1) }

// Refused takes back a run that was counted when it was sent: the upstream did not
// begin it after all.
func (m *Meter) Refused(account string, at time.Time) { m.add(account, at, -1) }

func (m *Meter) add(account string, at time.Time, n int64) {
	if account == "" {
		return
	}
	window := m.clock.Millis(at) / m.length.Milliseconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.windows[window]
	if !ok {
		t = &totals{counts: make(map[string]int64)}
		m.windows[window] = t
		delete(m.windows, window-keepWindows)
	}
	t.counts[account] += n
	t.dirty = true
}

// Run writes the totals until ctx ends, and a last time then.
func (m *Meter) Run(ctx context.Context) {
	for wait.For(ctx, flushPeriod(m.calls)) {
		m.flush(ctx)
	}
	m.flush(context.WithoutCancel(ctx))
}

// flushPeriod is how often each VM of the fleet writes changed totals.
func flushPeriod(calls *budget.Budget) time.Duration {
	return calls.Period(budget.Totals, flushEvery)
}

// flush writes the windows that have changed. The totals are absolute, so that a
// write whose answer was lost is repeated without harm. Each write expects the version
// that it replaces: one that is carried out seconds late, behind a newer one, would
// otherwise put the older totals back, and the customer's bill would lack requests.
func (m *Meter) flush(ctx context.Context) {
	for window, t := range m.changed() {
		version, err := m.write(ctx, window, t)
		var conflict *kept.Conflict
		if errors.As(err, &conflict) {
			// Only this process writes the row, so an earlier write took effect.
			m.written(window, conflict.Row(m.key(window)).Version, false)
			continue
		}
		m.written(window, version, err == nil)
		m.tell(window, err)
	}
}

func (m *Meter) key(window int64) kept.Key {
	return kept.Key{Table: totalsTable, Part: windowName(window), Name: m.name}
}

func (m *Meter) write(ctx context.Context, window int64, t totals) (int64, error) {
	value, err := json.Marshal(t.counts)
	if err != nil {
		return t.version, errors.WithStack(&fault.Internal{Where: "totals of window " + windowName(window)})
	}
	call, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	version, err := m.store.Commit(call, kept.Txn{
		Expected: []kept.Expectation{{Key: m.key(window), Version: t.version}},
		Puts:     []kept.Put{{Key: m.key(window), Value: value}},
	})
	if err != nil {
		return t.version, err
	}
	return version, nil
}

// tell writes a line when the totals can't be written any more.
func (m *Meter) tell(window int64, err error) {
	m.mu.Lock()
	was := m.failing
	m.failing = err != nil
	m.mu.Unlock()
	if err != nil && !was {
		m.events.Emit(event.UsageIncomplete, event.Subject{Count: window, Detail: "not written yet: " + err.Error()})
	}
}

// changed returns copies of the totals that are to be written.
func (m *Meter) changed() map[int64]totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[int64]totals)
	for window, t := range m.windows {
		if t.dirty {
			t.dirty = false
			out[window] = totals{counts: maps.Clone(t.counts), version: t.version}
		}
	}
	return out
}

// written notes the version of a window's row, and whether it holds what was to be
// written.
func (m *Meter) written(window, version int64, done bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.windows[window]; ok {
		t.version = version
		t.dirty = t.dirty || !done
	}
}

// windowName names a window's partition.
func windowName(window int64) string { return strconv.FormatInt(window, 10) }
