package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// WeightVersions reports which weight versions were published, and when.
// Implementations are safe for concurrent use.
type WeightVersions interface {
	// Refresh returns once the known versions come from a read of the weight
	// store that began after since. It fails with *fault.StoreUnavailable.
	Refresh(ctx context.Context, since time.Time) error
	// Latest returns the newest known version of a model. known is false for a
	// model without weights.
	Latest(model string) (version int64, known bool)
	// SupersededAt returns the earliest time at which the version after the
	// given one can have been published. known is false when that time is
	// unknown.
	SupersededAt(model string, version int64) (at time.Time, known bool)
}

const (
	// maxReadAge is the maximum age of the read of the weight store by which a
	// sample is validated for its commit. Its delivery requires a new read.
	maxReadAge = time.Second
	// maxHistoryLength is how many versions of a model are remembered. A sample
	// with a larger version lag exceeds any sensible bound.
	maxHistoryLength = 1024
)

// VersionHistory records when each version was superseded, from this VM's reads
// of the weight store. It implements WeightVersions.
type VersionHistory struct {
	weights platformapi.Weights

	// refreshMu serializes reads of the weight store, so that callers that wait
	// for a read share it.
	refreshMu sync.Mutex

	mu     sync.Mutex
	readAt time.Time
	models map[string]*modelHistory
}

// modelHistory is the history of one model.
type modelHistory struct {
	latest int64
	// confirmedAt is the start of the last read that returned latest.
	confirmedAt time.Time
	// superseded maps a version to the earliest time at which the next one can
	// have been published.
	superseded map[int64]time.Time
}

// NewVersionHistory returns an empty history.
func NewVersionHistory(weights platformapi.Weights) *VersionHistory {
	return &VersionHistory{weights: weights, models: make(map[string]*modelHistory)}
}

// Refresh implements WeightVersions.
func (h *VersionHistory) Refresh(ctx context.Context, since time.Time) error {
	h.refreshMu.Lock()
	defer h.refreshMu.Unlock()
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
		h.record(published, began)
	}
	return nil
}

func (h *VersionHistory) readSince(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.readAt.After(since)
}

// record adds the result of a read that began at the given time. A version that
// is new in this read was published after the previous read began, so the start
// of the previous read counts as the time of publication. With the time of the
// discovery, a sample would look younger than it is, and a stale one would pass
// as fresh.
func (h *VersionHistory) record(published platformapi.WeightVersion, began time.Time) {
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
		m.superseded[v] = m.confirmedAt
		delete(m.superseded, v-maxHistoryLength)
	}
	m.latest, m.confirmedAt = published.Version, began
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Latest implements WeightVersions.
func (h *VersionHistory) Latest(model string) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, known := h.models[model]
	if !known {
		return 0, false
	}
	return m.latest, true
}

// SupersededAt implements WeightVersions.
func (h *VersionHistory) SupersededAt(model string, version int64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, known := h.models[model]
	if !known {
		return time.Time{}, false
	}
	at, known := m.superseded[version]
	return at, known
}

// Run reads the weight store periodically until ctx ends, so that the start of
// the previous read is never long before the publication of a new version.
func (h *VersionHistory) Run(ctx context.Context, period func() time.Duration) {
	for {
		// A failed read leaves the history unchanged. Validation refreshes it.
		_ = h.Refresh(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(period()):
		}
	}
}
