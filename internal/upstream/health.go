package upstream

import (
	"slices"
	"sync"
	"time"

	"dogwoodpond/internal/event"
)

// State is the health state of an upstream. It determines which requests the upstream
// gets.
type State int

// The health states of an upstream.
const (
	// Healthy upstreams get requests.
	Healthy State = iota
	// Probing upstreams get one request, the probe, because the duration of their
	// ejection has passed.
	Probing
	// Ejected upstreams get no requests; this includes upstreams whose probe is running.
	Ejected
)

const (
	// failuresUntilEjected is the number of consecutive failures after which an
	// upstream is ejected.
	failuresUntilEjected = 3
	// minEjectionDuration is the duration of the first ejection. Each further one
	// lasts twice as long, up to maxEjectionDuration.
	minEjectionDuration = 2 * time.Second
	maxEjectionDuration = time.Minute
	// slowFactor is the multiple of the median token time of the other upstreams in
	// the pool above which an upstream is slow.
	slowFactor = 3
	// minTokenTimeSamples is the number of answers that an average token time needs
	// before it is used.
	minTokenTimeSamples = 8
	// tokenTimeSmoothing is the share of the latest answer in the average token time.
	tokenTimeSmoothing = 0.1
	// minPoolSizePerEjection limits ejections to half of a pool: a pool needs this many
	// upstreams for each one that is ejected. If all upstreams seem to fail, the cause
	// is probably the network or the requests, and ejecting all of them would turn slow
	// service into no service.
	minPoolSizePerEjection = 2
)

// record is what a VM knows about the health of one upstream.
type record struct {
	// failures counts consecutive failures.
	failures int
	// ejections counts the ejections since the upstream was last healthy.
	ejections    int
	ejectedUntil time.Time
	ejected      bool
	probing      bool
	// tokenTime is the moving average of the time per token, over samples answers.
	tokenTime time.Duration
	samples   int
}

// Health ejects upstreams that fail or are slow, by the outcomes of this VM's
// attempts. Its methods get the current time as an argument. It is safe for concurrent
// use.
type Health struct {
	events *event.Recorder

	mu      sync.Mutex
	records map[string]*record
}

// NewHealth returns a Health in which all upstreams are healthy.
func NewHealth(events *event.Recorder) *Health {
	return &Health{events: events, records: make(map[string]*record)}
}

// State returns the health state of an upstream.
func (h *Health) State(id string, now time.Time) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.records[id]
	switch {
	case !ok || !r.ejected:
		return Healthy
	case now.Before(r.ejectedUntil) || r.probing:
		return Ejected
	default:
		return Probing
	}
}

// NoteProbe records that the probe of an ejected upstream starts. It has no effect on a
// healthy upstream.
func (h *Health) NoteProbe(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[id]; ok && r.ejected {
		r.probing = true
	}
}

// CancelProbe ends a probe without a result, such as one that its caller cancelled. The
// upstream can be probed again.
func (h *Health) CancelProbe(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[id]; ok {
		r.probing = false
	}
}

// NoteSuccess records a complete answer. tokenTime is the time per token, 0 if unknown.
// pool lists the IDs of the upstreams in the pool.
func (h *Health) NoteSuccess(id string, pool []string, tokenTime time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(id)
	if r.ejected {
		if r.probing {
			h.completeProbe(r, id, pool, tokenTime, now)
		}
		return
	}
	r.failures = 0
	r.observeTokenTime(tokenTime)
	if h.isSlow(r.tokenTime, r.samples, id, pool) && h.canEject(pool) {
		h.eject(r, id, now, "slow")
	}
}

// completeProbe makes an ejected upstream healthy again, or extends its ejection if the
// probe was slow.
func (h *Health) completeProbe(r *record, id string, pool []string, tokenTime time.Duration, now time.Time) {
	r.probing = false
	if h.isSlow(tokenTime, minTokenTimeSamples, id, pool) {
		h.eject(r, id, now, "slow")
		return
	}
	r.ejected = false
	r.failures = 0
	r.ejections = 0
	r.tokenTime, r.samples = 0, 0
	h.events.Emit(event.UpstreamRestored, event.Subject{Upstream: id})
}

// NoteFailure records an attempt that failed by a fault of the upstream. pool lists the IDs
// of the upstreams in the pool.
func (h *Health) NoteFailure(id string, pool []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(id)
	r.failures++
	if r.ejected {
		if r.probing {
			r.probing = false
			h.eject(r, id, now, "failing")
		}
		return
	}
	if r.failures >= failuresUntilEjected && h.canEject(pool) {
		h.eject(r, id, now, "failing")
	}
}

func (h *Health) record(id string) *record {
	r, ok := h.records[id]
	if !ok {
		r = &record{}
		h.records[id] = r
	}
	return r
}

func (r *record) observeTokenTime(tokenTime time.Duration) {
	if tokenTime <= 0 {
		return
	}
	r.samples++
	if r.samples == 1 {
		r.tokenTime = tokenTime
		return
	}
	r.tokenTime += time.Duration(tokenTimeSmoothing * float64(tokenTime-r.tokenTime))
}

// isSlow reports whether a token time is more than slowFactor times the median of the
// healthy upstreams in the pool other than id. Without such an upstream, or with too
// few samples, it reports false.
func (h *Health) isSlow(tokenTime time.Duration, samples int, id string, pool []string) bool {
	if samples < minTokenTimeSamples || tokenTime <= 0 {
		return false
	}
	var poolTimes []time.Duration
	for _, other := range pool {
		r, ok := h.records[other]
		if ok && other != id && !r.ejected && r.samples >= minTokenTimeSamples {
			poolTimes = append(poolTimes, r.tokenTime)
		}
	}
	if len(poolTimes) == 0 {
		return false
	}
	slices.Sort(poolTimes)
	return tokenTime > slowFactor*poolTimes[len(poolTimes)/2]
}

// canEject reports whether one more upstream of the pool may be ejected.
func (h *Health) canEject(pool []string) bool {
	ejected := 1
	for _, other := range pool {
		if r, ok := h.records[other]; ok && r.ejected {
			ejected++
		}
	}
	return ejected*minPoolSizePerEjection <= len(pool)
}

func (h *Health) eject(r *record, id string, now time.Time, reason string) {
	duration := min(maxEjectionDuration, minEjectionDuration<<min(r.ejections, 8))
	newlyEjected := !r.ejected
	r.ejections++
	r.ejected = true
	r.failures = 0
	r.ejectedUntil = now.Add(duration)
	if newlyEjected {
		h.events.Emit(event.UpstreamEjected, event.Subject{Upstream: id, Detail: reason})
	}
}

// Retain removes the health records of all upstreams that are not in ids, so that records
// of upstreams that no longer exist do not accumulate.
func (h *Health) Retain(ids map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.records {
		if !ids[id] {
			delete(h.records, id)
		}
	}
}

// EjectedCount returns the number of ejected upstreams.
func (h *Health) EjectedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, r := range h.records {
		if r.ejected {
			n++
		}
	}
	return n
}
