// Package target knows the upstream instances of the services: which may get
// work, how loaded and how fast each is, and which one a request goes to next.
package target

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Instance is what an upstream says of itself. It is immutable.
type Instance struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	// Reclaimable upstreams may be taken away at short notice.
	Reclaimable bool
	// Started tells restarts under one ID apart; Unix milliseconds.
	Started int64
	// Versions are the versions of the models that it has loaded.
	Versions map[string]int64
	// ColdFor is how much longer it stays cold after its start.
	ColdFor time.Duration
}

const (
	// lingerTime is how long an upstream that vanished from the list without
	// notice may still get work when there is no other: entries that lapse while
	// the store is away come back, and work must stop soon after a removal.
	lingerTime = 1700 * time.Millisecond
	// firstSuspicion is how long an upstream rests after one failure; it doubles
	// with each further failure up to longestSuspicion. A crashed upstream's entry
	// lapses a little later, so a longer rest gains nothing.
	firstSuspicion   = 300 * time.Millisecond
	longestSuspicion = 2400 * time.Millisecond
	// loadLife is how long a reported load counts.
	loadLife = 500 * time.Millisecond
	// speedWeight is the weight of a new measurement in the averages of speed.
	speedWeight = 0.25
	// usualWeight is the weight of a new measurement in the average over a long time.
	usualWeight = 0.05
	// speedLife is how long a measured speed counts without a new one, after
	// which a slow upstream is tried again.
	speedLife = 4 * time.Second
)

// Entry is an upstream in the roster with what this VM learnt of it. It is safe
// for concurrent use.
type Entry struct {
	info   atomic.Pointer[Instance]
	roster *Roster

	inFlight     atomic.Int32
	suspectUntil atomic.Int64
	failures     atomic.Int32
	goneUntil    atomic.Int64
	gone         atomic.Bool
	// dropped entries are in no list any more. It belongs to the roster's lock.
	dropped bool

	mu      sync.Mutex
	load    Load
	loadOwn int32
	loadAt  time.Time
	speed   float64
	speedAt time.Time
	// usual is the average speed over a long time.
	usual    float64
	learnt   map[string]int64
	swapping map[string]time.Time
	// admission limits what is sent while the upstream warms up.
	admission admission
}

// Load is what an upstream reports of its work.
type Load struct {
	Running, Waiting, Slots int
}

func newEntry(roster *Roster, info Instance) *Entry {
	e := &Entry{roster: roster, learnt: make(map[string]int64), swapping: make(map[string]time.Time)}
	e.info.Store(&info)
	return e
}

// Info returns what the upstream said last.
func (e *Entry) Info() *Instance { return e.info.Load() }

// InFlight returns how many requests of this VM the upstream has.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Begin counts a request to the upstream; End takes it back.
func (e *Entry) Begin() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.count(now)
	e.inFlight.Add(1)
}

// End ends a request that Begin counted.
func (e *Entry) End() { e.inFlight.Add(-1) }

// Usable reports whether the upstream may get new work at now.
func (e *Entry) Usable(now time.Time) bool {
	if e.Info().Leaving {
		return false
	}
	return !e.gone.Load() || now.UnixNano() < e.goneUntil.Load()
}

// Listed reports whether the upstream is in the platform's list and not leaving.
func (e *Entry) Listed() bool { return !e.gone.Load() && !e.Info().Leaving }

// Suspect reports whether the upstream failed a moment ago.
func (e *Entry) Suspect(now time.Time) bool { return now.UnixNano() < e.suspectUntil.Load() }

// Failed notes that the upstream failed an attempt, and returns how long it
// rests.
func (e *Entry) Failed(now time.Time) time.Duration {
	n := e.failures.Add(1)
	rest := min(firstSuspicion<<min(n-1, 4), longestSuspicion)
	e.suspectUntil.Store(now.Add(rest).UnixNano())
	return rest
}

// Succeeded notes that the upstream did well.
func (e *Entry) Succeeded() {
	now := time.Now()
	e.mu.Lock()
	e.admission.answered(now)
	e.mu.Unlock()
	e.failures.Store(0)
	e.suspectUntil.Store(0)
}

// Misaddressed notes that another upstream answered at the address.
func (e *Entry) Misaddressed() {
	e.goneUntil.Store(0)
	e.gone.Store(true)
}

// NoteLoad takes the load that came with an answer.
func (e *Entry) NoteLoad(load Load, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.answered(now)
	e.load, e.loadOwn, e.loadAt = load, e.inFlight.Load(), now
}

// LoadKnown reports whether the upstream told its load a moment ago.
func (e *Entry) LoadKnown(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.knowsLoad(now)
}

// knowsLoad is LoadKnown for those that hold the lock.
func (e *Entry) knowsLoad(now time.Time) bool {
	return !e.loadAt.IsZero() && now.Sub(e.loadAt) <= loadLife
}

// Foreign estimates how many requests of other VMs the upstream has.
func (e *Entry) Foreign(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.knowsLoad(now) {
		return 0
	}
	foreign := e.load.Running + e.load.Waiting - int(e.loadOwn)
	return max(0, foreign)
}

// Slots returns how many requests the upstream runs at once, at least 1.
func (e *Entry) Slots() int {
	if s := e.Info().Slots; s > 0 {
		return s
	}
	return 1
}

// Free returns how many more requests the upstream has room for.
func (e *Entry) Free(now time.Time) int {
	return e.Slots() - e.InFlight() - e.Foreign(now)
}

// NoteSpeed takes a measured duration of one unit of work: a whole plain
// request, or one event of a stream.
func (e *Entry) NoteSpeed(took time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.usual == 0 {
		e.usual = float64(took)
	}
	e.usual += usualWeight * (float64(took) - e.usual)
	if e.speed == 0 || now.Sub(e.speedAt) > speedLife {
		e.speed = float64(took)
	} else {
		e.speed += speedWeight * (float64(took) - e.speed)
	}
	e.speedAt = now
}

// Speed returns the average duration of a unit of work; 0 when not known.
func (e *Entry) Speed(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.speedAt) > speedLife {
		return 0
	}
	return time.Duration(e.speed)
}

// Pace returns the expected duration of a unit of work: the measured speed, or, when
// that is old, what is usual for the upstream; 0 when nothing is known.
func (e *Entry) Pace(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.speedAt) <= speedLife {
		return time.Duration(e.speed)
	}
	return time.Duration(e.usual)
}

// Version returns the newest version that the upstream is known to have of a
// model; 0 when not known.
func (e *Entry) Version(model string) int64 {
	listed := e.Info().Versions[model]
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(listed, e.learnt[model])
}

// NoteVersion takes a version that an answer or a report showed. The list lags
// behind by about a second, so this is usually newer.
func (e *Entry) NoteVersion(model string, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version > e.learnt[model] {
		e.learnt[model] = version
	}
}

// NoteSwap notes that the upstream takes no requests of a model until a time.
func (e *Entry) NoteSwap(model string, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.swapping[model] = until
}

// Swapping reports whether the upstream is loading a version of a model.
func (e *Entry) Swapping(model string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.swapping[model])
}

// MedianSpeed returns the lower median of the known speeds; 0 when none is known.
func MedianSpeed(entries []*Entry, now time.Time) time.Duration {
	return median(entries, func(e *Entry) time.Duration { return e.Speed(now) })
}

// MedianPace returns the lower median of the known paces; 0 when none is known.
func MedianPace(entries []*Entry, now time.Time) time.Duration {
	return median(entries, func(e *Entry) time.Duration { return e.Pace(now) })
}

func median(entries []*Entry, of func(*Entry) time.Duration) time.Duration {
	var known []time.Duration
	for _, e := range entries {
		if s := of(e); s > 0 {
			known = append(known, s)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// slowness returns how many times slower the upstream is than the median, at
// least 1.
func slowness(e *Entry, median time.Duration, now time.Time) float64 {
	speed := e.Speed(now)
	if median == 0 || speed == 0 {
		return 1
	}
	return math.Max(1, float64(speed)/float64(median))
}
