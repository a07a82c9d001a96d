package window

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"sync"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/kept"
)

const (
	// flushEvery is how often changed totals are written. What a VM counted since
	// is lost with its power.
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
	events *event.Recorder

	mu      sync.Mutex
	windows map[int64]*totals
	failing bool
}

// totals are the counts of one window.
type totals struct {
	counts map[string]int64
	dirty  bool
}

// NewMeter returns a meter. name is unique for each process, so that its totals
// overwrite nobody else's.
func NewMeter(clock *Clock, store kept.Store, name string, length time.Duration, events *event.Recorder) *Meter {
	return &Meter{clock: clock, store: store, name: name, length: length, events: events, windows: make(map[int64]*totals)}
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
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.flush(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
			m.flush(ctx)
		}
	}
}

// flush writes the windows that have changed. The totals are absolute, so that a
// write whose answer was lost is repeated without harm.
func (m *Meter) flush(ctx context.Context) {
	for window, counts := range m.changed() {
		value, err := json.Marshal(counts)
		if err == nil {
			call, cancel := context.WithTimeout(ctx, flushTimeout)
			key := kept.Key{Table: totalsTable, Part: windowName(window), Name: m.name}
			_, err = m.store.Commit(call, kept.Txn{Puts: []kept.Put{{Key: key, Value: value}}})
			cancel()
		}
		if err != nil {
			m.markDirty(window)
		}
		m.tell(window, err)
	}
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

func (m *Meter) changed() map[int64]map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[int64]map[string]int64)
	for window, t := range m.windows {
		if t.dirty {
			t.dirty = false
			out[window] = maps.Clone(t.counts)
		}
	}
	return out
}

func (m *Meter) markDirty(window int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.windows[window]; ok {
		t.dirty = true
	}
}

// windowName names a window's partition.
func windowName(window int64) string { return strconv.FormatInt(window, 10) }
