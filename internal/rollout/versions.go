package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
)

// Versions tells which weight versions were published, and when.
// Implementations are safe for concurrent use.
type Versions interface {
	// Refresh returns once the knowledge comes from a read of the weight store
	// that began after since. It fails with *fault.StoreUnavailable.
	Refresh(ctx context.Context, since time.Time) error
	// Latest returns the newest known version of a model. known is false for a
	// model without weights.
	Latest(model string) (version int64, known bool)
	// SupersededAt returns the earliest time at which the version after the
	// given one can have been published. known is false when that can't be said.
	SupersededAt(model string, version int64) (at time.Time, known bool)
}

const (
	// readingAge is how old a reading of the weight store may be when a sample
	// is judged for its commit; its delivery is judged by a new one.
	readingAge = time.Second
	// historyLength is how many versions of a model are remembered; a sample
	// that is further behind is past any sensible bound.
	historyLength = 1024
)

// History remembers when this VM saw each version. It implements Versions.
type History struct {
	weights platform.Weights

	// reading lets one read of the weight store serve all that wait for it.
	reading sync.Mutex

	mu     sync.Mutex
	readAt time.Time
	models map[string]*modelHistory
}

// modelHistory is what is known of one model.
type modelHistory struct {
	latest int64
	// shownAt is when the last read began that showed latest.
	shownAt    time.Time
	superseded map[int64]time.Time
}

// NewHistory returns a history that has seen nothing.
func NewHistory(weights platform.Weights) *History {
	return &History{weights: weights, models: make(map[string]*modelHistory)}
}

// Refresh implements Versions.
func (h *History) Refresh(ctx context.Context, since time.Time) error {
	h.reading.Lock()
	defer h.reading.Unlock()
	if h.readSince(since) {
		return nil
	}
	began := time.Now()
	list, err := h.weights.Latest(ctx)
	if err != nil {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "weights"})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readAt = began
	for _, published := range list {
		h.note(published, began)
	}
	return nil
}

func (h *History) readSince(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.readAt.After(since)
}

// note takes what a read that began at a time has shown. A version that is new
// in this read was published at some time after the read before had begun. The
// begin of that read is what counts: the time of the discovery would make a
// sample look younger than it is, and a stale one would pass as fresh.
func (h *History) note(published platform.WeightVersion, began time.Time) {
	m, seen := h.models[published.Model]
	if !seen {
		m = &modelHistory{latest: published.Version, superseded: make(map[int64]time.Time)}
		m.superseded[published.Version-1] = earlier(published.PublishedAt, began)
		h.models[published.Model] = m
	}
	if published.Version < m.latest {
		return
	}
	for v := m.latest; v < published.Version; v++ {
		m.superseded[v] = m.shownAt
		delete(m.superseded, v-historyLength)
	}
	m.latest, m.shownAt = published.Version, began
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Latest implements Versions.
func (h *History) Latest(model string) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, known := h.models[model]
	if !known {
		return 0, false
	}
	return m.latest, true
}

// SupersededAt implements Versions.
func (h *History) SupersededAt(model string, version int64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, known := h.models[model]
	if !known {
		return time.Time{}, false
	}
	at, known := m.superseded[version]
	return at, known
}

// Run reads the weight store once a period until ctx ends, so that the history
// has no wide gaps.
func (h *History) Run(ctx context.Context, period func() time.Duration) {
	for {
		// A failed read leaves the history as it is; judging refreshes it.
		_ = h.Refresh(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(period()):
		}
	}
}
