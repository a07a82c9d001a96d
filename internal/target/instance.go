// Package target tracks the upstream instances of the services: which of them may
// get requests, their load and speed, and which one a request is sent to.
package target

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Instance is what an upstream publishes about itself. It is immutable.
type Instance struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Leaving is true when the upstream must get no new requests.
	Leaving bool
	// Reclaimable is true when the platform may stop the upstream at short notice.
	Reclaimable bool
	// Started distinguishes incarnations with the same ID; Unix milliseconds.
	Started int64
	// Versions holds the weight version of each loaded model.
	Versions map[string]int64
	// ColdFor is how much longer the upstream stays cold after its start.
	ColdFor time.Duration
}

const (
	// unlistedGracePeriod is how long an upstream that disappeared from the list
	// without notice may still get requests when no listed one is usable. Entries
	// that expire during an outage of the store come back, but an upstream that was
	// removed must soon get no more requests.
	unlistedGracePeriod = 1700 * time.Millisecond
	// suspectBackoff is how long an upstream is suspect after one failure. It doubles
	// with each further failure up to maxSuspectBackoff. The entry of a crashed
	// upstream expires soon after, so a longer backoff gains nothing.
	suspectBackoff    = 300 * time.Millisecond
	maxSuspectBackoff = 2400 * time.Millisecond
	// loadTTL is how long a reported load is used.
	loadTTL = 500 * time.Millisecond
	// unitTimeWeight is the weight of a new measurement in the short-term average
	// duration of a unit of work.
	unitTimeWeight = 0.25
	// longTermWeight is the weight of a new measurement in the long-term average.
	longTermWeight = 0.05
	// unitTimeTTL is how long the short-term average is used without a new
	// measurement. After that, a slow upstream is tried again.
	unitTimeTTL = 4 * time.Second
)

// Entry is one incarnation of an upstream in the roster, with what this VM has
// observed of it. It is safe for concurrent use.
type Entry struct {
	info   atomic.Pointer[Instance]
	roster *Roster

	inFlight     atomic.Int32
	suspectUntil atomic.Int64
	failures     atomic.Int32
	graceUntil   atomic.Int64
	unlisted     atomic.Bool
	// silentConnections counts the connections to the upstream that were found to be silent.
	silentConnections atomic.Int64
	// listedAt is when the upstream was last seen in the list, in Unix nanoseconds.
	listedAt atomic.Int64
	// evicted is true when no list holds the entry any more. The roster's mu guards it.
	evicted bool

	mu   sync.Mutex
	load Load
	// inFlightAtLoad is the value of inFlight when load was reported.
	inFlightAtLoad int32
	loadAt         time.Time
	// disconnectedAt is when a connection ended for the first time since loadAt, resetAt when one failed.
	disconnectedAt, resetAt time.Time
	// loadedAt is when the upstream last reported waiting requests or full slots, or refused a
	// request because it was full.
	loadedAt   time.Time
	unitTime   float64
	unitTimeAt time.Time
	// longTermUnitTime is the long-term average duration of a unit of work.
	longTermUnitTime float64
	// observedVersions, unavailableUntil and loadingVersions are nil for the many upstreams that this
	// VM never uses. loadingVersions holds the newest version of each model that was being loaded.
	observedVersions map[string]int64
	unavailableUntil map[string]time.Time
	loadingVersions  map[string]int64
	// admission limits the requests while the upstream warms up.
	admission admission
	reach     reach
}

// Load is the load that an upstream reports.
type Load struct {
	Running, Waiting, Slots int
}

func newEntry(roster *Roster, info Instance) *Entry {
	e := &Entry{roster: roster}
	e.info.Store(&info)
	return e
}

// Incarnation identifies one incarnation of an upstream.
type Incarnation struct {
	Upstream string `json:"upstream"`
	// Started is the start of the incarnation in Unix milliseconds.
	Started int64 `json:"started"`
}

// Incarnation returns the incarnation that publishes the instance.
func (i *Instance) Incarnation() Incarnation { return Incarnation{Upstream: i.ID, Started: i.Started} }

// Incarnation returns the incarnation of the upstream that the entry stands for.
func (e *Entry) Incarnation() Incarnation { return e.Info().Incarnation() }

// Info returns what the upstream published last.
func (e *Entry) Info() *Instance { return e.info.Load() }

// InFlight returns the number of this VM's requests in flight at the upstream.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Begin counts a request to the upstream as in flight until End is called.
func (e *Entry) Begin() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.record(now)
	e.reach.begin(now)
	e.inFlight.Add(1)
}

// End ends a request that Begin counted.
func (e *Entry) End() { e.inFlight.Add(-1) }

// Usable reports whether the upstream may get new requests at now.
func (e *Entry) Usable(now time.Time) bool {
	if e.Info().Leaving {
		return false
	}
	return !e.unlisted.Load() || now.UnixNano() < e.graceUntil.Load()
}

// Unlisted reports whether the upstream is no longer in the platform's list.
func (e *Entry) Unlisted() bool { return e.unlisted.Load() }

// ListedAt returns when this VM last saw the upstream in the platform's list, which upstreams renew.
func (e *Entry) ListedAt() time.Time { return time.Unix(0, e.listedAt.Load()) }

// Listed reports whether the upstream is in the platform's list and not leaving.
func (e *Entry) Listed() bool { return !e.unlisted.Load() && !e.Info().Leaving }

// Suspect reports whether the backoff after a failed attempt has not ended yet.
func (e *Entry) Suspect(now time.Time) bool { return now.UnixNano() < e.suspectUntil.Load() }

// NoteDisconnected records that the upstream has closed a connection, which is orderly, or the connection has failed.
func (e *Entry) NoteDisconnected(now time.Time, orderly bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.disconnectedAt.IsZero() || e.loadAt.After(e.disconnectedAt) {
		e.disconnectedAt, e.resetAt = now, time.Time{}
	}
	if !orderly && e.resetAt.IsZero() {
		e.resetAt = now
	}
}

// DisconnectedAt returns when the upstream ended a connection of this VM for the first time since it answered last; ok
// is false if it never has.
func (e *Entry) DisconnectedAt() (at time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.disconnectedAt, !e.disconnectedAt.IsZero()
}

// resetSince returns when a connection to the upstream has failed for the first time since it answered last. Upstreams
// that run close idle connections, but don't let them fail.
func (e *Entry) resetSince() (at time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resetAt, !e.resetAt.IsZero() && !e.loadAt.After(e.disconnectedAt)
}

// NoteFailure records that the upstream failed an attempt, and returns how long the
// upstream is suspect.
func (e *Entry) NoteFailure(now time.Time) time.Duration {
	n := e.failures.Add(1)
	backoff := min(suspectBackoff<<min(n-1, 4), maxSuspectBackoff)
	e.suspectUntil.Store(now.Add(backoff).UnixNano())
	return backoff
}

// NoteSilentConnection records that a connection to the upstream delivers nothing any more, although it is open. Others
// that were opened before may be silent as well.
func (e *Entry) NoteSilentConnection() { e.silentConnections.Add(1) }

// SilentConnections returns how many connections to the upstream were found to be silent.
func (e *Entry) SilentConnections() int64 { return e.silentConnections.Load() }

// NoteSuccess records a successful attempt. The upstream is no longer suspect.
func (e *Entry) NoteSuccess() {
	now := time.Now()
	e.mu.Lock()
	e.admission.noteAnswered(now)
	e.mu.Unlock()
	e.failures.Store(0)
	e.suspectUntil.Store(0)
}

// NoteMisaddressed records that another upstream answered at an address of the entry. The
// entry counts as unlisted, without a grace period, unless it is listed at another address now.
func (e *Entry) NoteMisaddressed(address string) {
	if e.Info().Address == address {
		e.unlistAtOnce()
	}
}

// unlistAtOnce makes the entry unlisted, without a grace period.
func (e *Entry) unlistAtOnce() {
	e.graceUntil.Store(0)
	e.unlisted.Store(true)
}

// NoteLoad records the load that a response reported.
func (e *Entry) NoteLoad(load Load, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.noteAnswered(now)
	e.load, e.inFlightAtLoad, e.loadAt = load, e.inFlight.Load(), now
	if load.Slots > 0 && load.Running+load.Waiting >= load.Slots {
		e.loadedAt = now
	} else {
		e.loadedAt = time.Time{}
	}
}

// Loaded reports whether the newest report of the upstream, at most loadedTTL old, tells of
// waiting requests or full slots.
func (e *Entry) Loaded(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.loadedAt.IsZero() && now.Sub(e.loadedAt) <= loadedTTL
}

// ExpectedOthers is OthersInFlight for decisions under load: reports up to loadedTTL old count as
// well, for less with their age.
func (e *Entry) ExpectedOthers(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := now.Sub(e.loadAt)
	if e.loadAt.IsZero() || age > loadedTTL {
		return 0
	}
	others := max(0, e.load.Running+e.load.Waiting-int(e.inFlightAtLoad))
	if age <= loadTTL {
		return others
	}
	return int(float64(others) * float64(loadedTTL-age) / float64(loadedTTL-loadTTL))
}

// HasReported reports whether the upstream has ever reported its load to this VM.
func (e *Entry) HasReported() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.loadAt.IsZero()
}

// NoteAnswerTime records the duration of a plain request. The part of it that the request
// waited for a slot, as far as the upstream's report tells, is no part of the unit time: a
// choice adds the wait that is to be expected now.
func (e *Entry) NoteAnswerTime(took time.Duration, now time.Time) {
	e.mu.Lock()
	waiting := 0
	if e.loadKnownLocked(now) {
		waiting = e.load.Waiting
	}
	e.mu.Unlock()
	slots := e.Slots()
	e.NoteUnitTime(time.Duration(float64(took)*float64(slots)/float64(slots+waiting)), now)
}

// LoadKnown reports whether the upstream reported its load within loadTTL.
func (e *Entry) LoadKnown(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadKnownLocked(now)
}

// loadKnownLocked is LoadKnown for callers that hold e.mu.
func (e *Entry) loadKnownLocked(now time.Time) bool {
	return !e.loadAt.IsZero() && now.Sub(e.loadAt) <= loadTTL
}

// OthersInFlight estimates the number of other VMs' requests at the upstream; 0 when its load
// is unknown.
func (e *Entry) OthersInFlight(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loadKnownLocked(now) {
		return 0
	}
	others := e.load.Running + e.load.Waiting - int(e.inFlightAtLoad)
	return max(0, others)
}

// Slots returns the number of requests that the upstream runs at once, at least 1.
func (e *Entry) Slots() int {
	if s := e.Info().Slots; s > 0 {
		return s
	}
	return 1
}

// FreeSlots returns the number of free slots. It is negative when requests exceed the slots.
func (e *Entry) FreeSlots(now time.Time) int {
	return e.Slots() - e.InFlight() - e.OthersInFlight(now)
}

// NoteUnitTime records the measured duration of one unit of work: a complete plain
// request, or one event of a stream.
func (e *Entry) NoteUnitTime(took time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.longTermUnitTime == 0 {
		e.longTermUnitTime = float64(took)
	}
	e.longTermUnitTime += longTermWeight * (float64(took) - e.longTermUnitTime)
	if e.unitTime == 0 || now.Sub(e.unitTimeAt) > unitTimeTTL {
		e.unitTime = float64(took)
	} else {
		e.unitTime += unitTimeWeight * (float64(took) - e.unitTime)
	}
	e.unitTimeAt = now
}

// UnitTime returns the short-term average duration of a unit of work; 0 when unknown.
func (e *Entry) UnitTime(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.unitTimeAt) > unitTimeTTL {
		return 0
	}
	return time.Duration(e.unitTime)
}

// ExpectedUnitTime returns the expected duration of a unit of work: the short-term average, or the
// long-term average when there was no recent measurement; 0 when neither is known.
func (e *Entry) ExpectedUnitTime(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.unitTimeAt) <= unitTimeTTL {
		return time.Duration(e.unitTime)
	}
	return time.Duration(e.longTermUnitTime)
}

// Version returns the newest weight version that the upstream is known to have of a
// model; 0 when unknown.
func (e *Entry) Version(model string) int64 {
	listed := e.Info().Versions[model]
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(listed, e.observedVersions[model])
}

// NoteVersion records a weight version that a response or a report showed. It is
// usually newer than the version in the list, which lags by about a second.
func (e *Entry) NoteVersion(model string, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version <= e.observedVersions[model] {
		return
	}
	if e.observedVersions == nil {
		e.observedVersions = make(map[string]int64)
	}
	e.observedVersions[model] = version
}

// NoteModelUnavailable records that the upstream is to get no requests for a model until a time:
// it is loading a weight version, or has refused a request. A later time that is known is kept.
func (e *Entry) NoteModelUnavailable(model string, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unavailableUntil == nil {
		e.unavailableUntil = make(map[string]time.Time)
	}
	if until.After(e.unavailableUntil[model]) {
		e.unavailableUntil[model] = until
	}
}

// NoteLoading records that the upstream loads a weight version of a model, and is to get no requests
// for the model until a time.
func (e *Entry) NoteLoading(model string, version int64, until time.Time) {
	e.NoteModelUnavailable(model, until)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loadingVersions == nil {
		e.loadingVersions = make(map[string]int64)
	}
	e.loadingVersions[model] = max(e.loadingVersions[model], version)
}

// NoteLoaded records that the upstream has loaded a weight version of a model. It gets requests for
// the model again, unless a newer version is being loaded.
func (e *Entry) NoteLoaded(model string, version int64) {
	e.NoteVersion(model, version)
	e.mu.Lock()
	defer e.mu.Unlock()
	if version >= e.loadingVersions[model] {
		delete(e.unavailableUntil, model)
	}
}

// ModelUnavailable reports whether the upstream gets no requests for a model for now, as set by
// NoteModelUnavailable and NoteLoading.
func (e *Entry) ModelUnavailable(model string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.unavailableUntil[model])
}

// MedianUnitTime returns the lower median of the known values of UnitTime; 0 when there are
// none.
func MedianUnitTime(entries []*Entry, now time.Time) time.Duration {
	return median(entries, func(e *Entry) time.Duration { return e.UnitTime(now) })
}

// MedianExpectedUnitTime returns the lower median of the known values of ExpectedUnitTime; 0 when there are
// none.
func MedianExpectedUnitTime(entries []*Entry, now time.Time) time.Duration {
	return median(entries, func(e *Entry) time.Duration { return e.ExpectedUnitTime(now) })
}

func median(entries []*Entry, value func(*Entry) time.Duration) time.Duration {
	var known []time.Duration
	for _, e := range entries {
		if d := value(e); d > 0 {
			known = append(known, d)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// slowness returns the ratio of the upstream's duration of a unit of work to the
// median, at least 1.
func slowness(e *Entry, median time.Duration, now time.Time) float64 {
	unitTime := e.UnitTime(now)
	if median == 0 || unitTime == 0 {
		return 1
	}
	return math.Max(1, float64(unitTime)/float64(median))
}
