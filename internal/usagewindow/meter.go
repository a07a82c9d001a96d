package usagewindow

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
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/wait"
)

const (
	// minFlushInterval is the interval between writes of changed totals in a small fleet.
	// A VM that loses power loses what it counted since its last write.
	minFlushInterval = 400 * time.Millisecond
	// flushTimeout is the timeout of one write.
	flushTimeout = 1500 * time.Millisecond
	// maxPendingTime is how long a run whose outcome is not known is not written. Refusals and
	// failed dials are known within it.
	maxPendingTime = 400 * time.Millisecond
	// maxWindows is the number of windows in memory; older ones are already reported.
	maxWindows = 8
)

// Meter counts the requests that upstreams began to execute for this VM, by window and
// client account, and writes the totals to the store. It is safe for concurrent use.
type Meter struct {
	clock        *FleetClock
	store        rowstore.Store
	rowName      string
	windowLength time.Duration
	callBudget   *budget.Budget
	events       *event.Recorder

	mu      sync.Mutex
	windows map[int64]*totals
	failing bool // the last write failed
}

// totals are the counts of one window.
type totals struct {
	counts map[string]int64
	// pending holds the runs in counts whose outcome is not known, with their number.
	pending map[pendingRun]int64
	dirty   bool
	// version is the row version of the stored totals, as far as this VM knows.
	version int64
}

// pendingRun identifies runs of an account that began at the same time.
type pendingRun struct {
	account string
	at      time.Time
}

// NewMeter returns a meter that writes to the row rowName. The name must be unique for
// each process, so that no process overwrites another one's totals.
func NewMeter(clock *FleetClock, store rowstore.Store, rowName string, length time.Duration, callBudget *budget.Budget, events *event.Recorder) *Meter {
	return &Meter{clock: clock, store: store, rowName: rowName, windowLength: length, callBudget: callBudget, events: events, windows: make(map[int64]*totals)}
}

// CountRun counts a request of the account that an upstream began to execute at the given
// time. Requests without an account are not counted.
func (m *Meter) CountRun(account string, at time.Time) { m.add(account, at, false) }

// CountPendingRun counts a request that is sent to an upstream at the given time and that the
// upstream may still refuse. ConfirmRun or UncountRun must follow with the same time. Until then
// the run is not written for up to maxPendingTime: if it were written and the VM lost power before
// it could write the refusal, the account would be billed for it.
func (m *Meter) CountPendingRun(account string, at time.Time) { m.add(account, at, true) }

// ConfirmRun records that a pending run began or may have begun.
func (m *Meter) ConfirmRun(account string, at time.Time) { m.settle(account, at, 0) }

// UncountRun subtracts a pending run that the upstream did not execute.
func (m *Meter) UncountRun(account string, at time.Time) { m.settle(account, at, -1) }

func (m *Meter) add(account string, at time.Time, pending bool) {
	if account == "" {
		return
	}
	window := m.clock.FleetMillis(at) / m.windowLength.Milliseconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.windows[window]
	if !ok {
		t = &totals{counts: make(map[string]int64), pending: make(map[pendingRun]int64)}
		m.windows[window] = t
		delete(m.windows, window-maxWindows)
	}
	t.counts[account]++
	if pending {
		t.pending[pendingRun{account, at}]++
	}
	t.dirty = true
}

// settle ends a pending run and adds counted to the count of its window. The window is not computed
// again, since the estimate of fleet time may have changed.
func (m *Meter) settle(account string, at time.Time, counted int64) {
	run := pendingRun{account, at}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.windows {
		if t.pending[run] == 0 {
			continue
		}
		if t.pending[run]--; t.pending[run] == 0 {
			delete(t.pending, run)
		}
		t.counts[account] += counted
		t.dirty = t.dirty || counted != 0
		return
	}
}

// Run writes changed totals at intervals until ctx ends, and then once more.
func (m *Meter) Run(ctx context.Context) {
	for wait.For(ctx, flushInterval(m.callBudget)) {
		m.flush(ctx, maxPendingTime)
	}
	m.flush(context.WithoutCancel(ctx), 0)
}

// flushInterval returns the interval at which each VM writes changed totals. It grows
// with the size of the fleet.
func flushInterval(callBudget *budget.Budget) time.Duration {
	return callBudget.Interval(budget.UsageTotals, minFlushInterval)
}

// flush writes the totals that have changed. Totals are absolute numbers, so a write with
// an unknown outcome can be repeated. Each write expects the row version that it replaces.
// Otherwise a write that the store executes seconds late, after a newer one, would restore
// the older totals, and the client account would be billed for too few requests. Pending runs
// younger than minPendingAge are not written.
func (m *Meter) flush(ctx context.Context, minPendingAge time.Duration) {
	for window, t := range m.takeChanged(time.Now(), minPendingAge) {
		version, err := m.writeTotals(ctx, window, t)
		var conflict *rowstore.Conflict
		if errors.As(err, &conflict) {
			// Only this process writes the row, so an earlier write with an unknown
			// outcome took effect. The next flush writes the totals.
			m.noteVersion(window, conflict.Row(m.rowKey(window)).Version, false)
			continue
		}
		m.noteVersion(window, version, err == nil)
		m.noteWriteResult(window, err)
	}
}

func (m *Meter) rowKey(window int64) rowstore.Key {
	return rowstore.Key{Table: totalsTable, Part: windowName(window), Name: m.rowName}
}

func (m *Meter) writeTotals(ctx context.Context, window int64, t totals) (int64, error) {
	value, err := json.Marshal(t.counts)
	if err != nil {
		return t.version, errors.WithStack(&fault.Internal{Where: "totals of window " + windowName(window)})
	}
	callCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	version, err := m.store.Commit(callCtx, rowstore.Txn{
		Expected: []rowstore.Expectation{{Key: m.rowKey(window), Version: t.version}},
		Puts:     []rowstore.Put{{Key: m.rowKey(window), Value: value}},
	})
	if err != nil {
		return t.version, err
	}
	return version, nil
}

// noteWriteResult emits an event when a write fails after one that succeeded.
func (m *Meter) noteWriteResult(window int64, err error) {
	m.mu.Lock()
	wasFailing := m.failing
	m.failing = err != nil
	m.mu.Unlock()
	if err != nil && !wasFailing {
		m.events.Emit(event.UsageIncomplete, event.Subject{Count: window, Detail: "not written yet: " + err.Error()})
	}
}

// takeChanged returns copies of the totals that have changed, by window, and marks them
// as written. The copies lack the pending runs younger than minPendingAge, unless their window has
// ended and is about to be closed.
func (m *Meter) takeChanged(now time.Time, minPendingAge time.Duration) map[int64]totals {
	current := m.clock.FleetMillis(now) / m.windowLength.Milliseconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[int64]totals)
	for window, t := range m.windows {
		if !t.dirty {
			continue
		}
		t.dirty = false
		counts := maps.Clone(t.counts)
		if window >= current {
			for run, n := range t.pending {
				if now.Sub(run.at) < minPendingAge {
					counts[run.account] -= n
					t.dirty = true
				}
			}
		}
		out[window] = totals{counts: counts, version: t.version}
	}
	return out
}

// noteVersion records the version of a window's row. If written is false, the row does not
// have the totals that were to be written, and they are marked as changed again.
func (m *Meter) noteVersion(window, version int64, written bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.windows[window]; ok {
		t.version = version
		t.dirty = t.dirty || !written
	}
}

// windowName returns the name of a window's partition in totalsTable.
func windowName(window int64) string { return strconv.FormatInt(window, 10) }
