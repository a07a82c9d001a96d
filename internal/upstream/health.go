package upstream

import (
	"slices"
	"sync"
	"time"

	"dogwoodpond/internal/event"
)

// Standing tells what work an upstream gets.
type Standing int

// The standings of an upstream.
const (
	// Healthy upstreams get work.
	Healthy Standing = iota
	// Probing upstreams were ejected and get one request at a time.
	Probing
	// Ejected upstreams get none.
	Ejected
)

const (
	// failuresUntilEjected is how many failures in a row eject an upstream.
	failuresUntilEjected = 3
	// firstEjection is how long the first ejection lasts; each further one
	// lasts twice as long, up to longestEjection.
	firstEjection   = 2 * time.Second
	longestEjection = time.Minute
	// slowFactor times the median pace of the pool makes an upstream slow.
	slowFactor = 3
	// paceSamples is how many answers a pace needs before it counts.
	paceSamples = 8
	// paceWeight is the weight of the latest answer in the pace.
	paceWeight = 0.1
	// ejectableShare is the largest part of a pool that may be ejected, as one
	// in so many. A fault that all upstreams seem to have is likely to be the
	// network's or the work's own, and ejecting all of them would turn slow
	// service into none.
	ejectableShare = 2
)

// record is what a VM has seen of one upstream.
type record struct {
	failures int
	// ejections counts the ejections since the upstream was last good.
	ejections int
	until     time.Time
	out       bool
	probing   bool
	// pace is the smoothed time for each token.
	pace    time.Duration
	samples int
}

// Health keeps what this VM has seen of the upstreams' answers and ejects
// those that fail or are slow. The time comes in as an argument. It is safe
// for concurrent use.
type Health struct {
	events *event.Recorder

	mu      sync.Mutex
	records map[string]*record
}

// NewHealth returns a health book that has seen nothing.
func NewHealth(events *event.Recorder) *Health {
	return &Health{events: events, records: make(map[string]*record)}
}

// Standing returns the standing of an upstream.
func (h *Health) Standing(id string, now time.Time) Standing {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.records[id]
	switch {
	case !ok || !r.out:
		return Healthy
	case now.Before(r.until) || r.probing:
		return Ejected
	default:
		return Probing
	}
}

// Probe marks that an ejected upstream gets its one request.
func (h *Health) Probe(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[id]; ok && r.out {
		r.probing = true
	}
}

// Abandon ends a probe that told nothing, such as one that its caller gave up.
func (h *Health) Abandon(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[id]; ok {
		r.probing = false
	}
}

// Succeeded notes a whole answer. pace is the time for each token, 0 when
// unknown. peers are the upstreams of the pool.
func (h *Health) Succeeded(id string, peers []string, pace time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(id)
	if r.out {
		if r.probing {
			h.judgeProbe(r, id, peers, pace, now)
		}
		return
	}
	r.failures = 0
	r.observe(pace)
	if h.slow(r.pace, r.samples, id, peers) && h.mayEject(peers) {
		h.eject(r, id, now, "slow")
	}
}

// judgeProbe restores an upstream unless the probe was as slow as before.
func (h *Health) judgeProbe(r *record, id string, peers []string, pace time.Duration, now time.Time) {
	r.probing = false
	if h.slow(pace, paceSamples, id, peers) {
		h.eject(r, id, now, "slow")
		return
	}
	r.out = false
	r.failures = 0
	r.ejections = 0
	r.pace, r.samples = 0, 0
	h.events.Emit(event.UpstreamRestored, event.Subject{Upstream: id})
}

// Failed notes an attempt for which the upstream is to blame.
func (h *Health) Failed(id string, peers []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(id)
	r.failures++
	if r.out {
		if r.probing {
			r.probing = false
			h.eject(r, id, now, "failing")
		}
		return
	}
	if r.failures >= failuresUntilEjected && h.mayEject(peers) {
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

func (r *record) observe(pace time.Duration) {
	if pace <= 0 {
		return
	}
	r.samples++
	if r.samples == 1 {
		r.pace = pace
		return
	}
	r.pace += time.Duration(paceWeight * float64(pace-r.pace))
}

// slow reports whether a pace is far above the median of the other upstreams.
func (h *Health) slow(pace time.Duration, samples int, id string, peers []string) bool {
	if samples < paceSamples || pace <= 0 {
		return false
	}
	var others []time.Duration
	for _, peer := range peers {
		r, ok := h.records[peer]
		if ok && peer != id && !r.out && r.samples >= paceSamples {
			others = append(others, r.pace)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return pace > slowFactor*others[len(others)/2]
}

func (h *Health) mayEject(peers []string) bool {
	out := 1
	for _, peer := range peers {
		if r, ok := h.records[peer]; ok && r.out {
			out++
		}
	}
	return out*ejectableShare <= len(peers)
}

func (h *Health) eject(r *record, id string, now time.Time, reason string) {
	duration := min(longestEjection, firstEjection<<min(r.ejections, 8))
	first := !r.out
	r.ejections++
	r.out = true
	r.failures = 0
	r.until = now.Add(duration)
	if first {
		h.events.Emit(event.UpstreamEjected, event.Subject{Upstream: id, Detail: reason})
	}
}

// Keep forgets all upstreams but those named, so that the book does not grow
// with every upstream that ever was.
func (h *Health) Keep(ids map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.records {
		if !ids[id] {
			delete(h.records, id)
		}
	}
}

// Out returns how many upstreams are ejected.
func (h *Health) Out() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, r := range h.records {
		if r.out {
			n++
		}
	}
	return n
}
