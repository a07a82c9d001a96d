package target

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/event"
)

// Roster holds the upstreams of all services. Reads of the lists take no lock. The cost
// of a change does not depend on the number of upstreams, except that the list of a
// service is copied when an upstream is added or removed.
type Roster struct {
	events *event.Recorder

	mu sync.Mutex
	// entriesByID holds the entries by upstream ID: one for each incarnation that is
	// listed or still in use.
	entriesByID map[string][]*Entry
	// unlisted holds the entries that are no longer listed.
	unlisted map[*Entry]bool
	// ended holds the upstreams that left the list without notice within endedRetention.
	ended map[Incarnation]endedUpstream
	// current holds the published lists by service. They are never changed in place.
	current atomic.Pointer[map[string][]*Entry]
	// slowStarts holds the bounds of the services whose upstreams warm up.
	slowStarts map[string]SlowStart

	// random returns a number in [0, 1) for choices under load.
	random func() float64

	// listReadAt is when the platform's list was last read, in Unix nanoseconds.
	listReadAt atomic.Int64
	// reopened counts the first answers of upstreams to which connections had failed.
	reopened atomic.Int64
	// coldSender reports whether this VM may send requests to a cold upstream.
	coldSender atomic.Pointer[func(*Entry) bool]
	// evacuated holds the failure domains whose upstreams get no requests.
	evacuated atomic.Pointer[map[string]bool]
}

// Change is one change to the platform's list of upstreams.
type Change struct {
	id   string
	info *Instance
}

// ListedChange returns the change that adds an upstream or replaces its information.
func ListedChange(info Instance) Change { return Change{id: info.ID, info: &info} }

// UnlistedChange returns the change that removes an upstream.
func UnlistedChange(id string) Change { return Change{id: id} }

// NewRoster returns an empty roster.
func NewRoster(events *event.Recorder) *Roster {
	r := &Roster{events: events, entriesByID: make(map[string][]*Entry), unlisted: make(map[*Entry]bool), ended: make(map[Incarnation]endedUpstream), random: rand.Float64}
	r.current.Store(&map[string][]*Entry{})
	r.evacuated.Store(&map[string]bool{})
	r.NoteListRead()
	return r
}

// NoteListRead records that the platform's list was read and the roster is up to date.
func (r *Roster) NoteListRead() { r.listReadAt.Store(time.Now().UnixNano()) }

// ListAge returns the time since the platform's list was last read.
func (r *Roster) ListAge(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, r.listReadAt.Load()))
}

// stale reports whether the list was last read more than staleAfter ago.
func (r *Roster) stale(now time.Time) bool {
	return r.ListAge(now) > staleAfter
}

// SetRandom sets the source of random numbers in [0, 1) for choices under load. It must be called
// before the roster is used.
func (r *Roster) SetRandom(random func() float64) { r.random = random }

// SetColdSender sets the function that reports whether this VM may send requests to a cold
// upstream; without one it may. It must be called before the roster is used.
func (r *Roster) SetColdSender(coldSender func(*Entry) bool) { r.coldSender.Store(&coldSender) }

func (r *Roster) isColdSender(e *Entry) bool {
	coldSender := r.coldSender.Load()
	return coldSender == nil || (*coldSender)(e)
}

// SetSlowStarts sets the bounds of the services whose upstreams warm up. Upstreams of
// other services have no bound.
func (r *Roster) SetSlowStarts(bounds map[string]SlowStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(r.slowStarts, bounds) {
		return
	}
	r.slowStarts = maps.Clone(bounds)
	for _, incarnations := range r.entriesByID {
		for _, e := range incarnations {
			e.setSlowStart(r.slowStarts[e.Info().Service])
		}
	}
}

// Replace replaces all upstreams by those of a complete list.
func (r *Roster) Replace(list []Instance) {
	listed := make(map[string]bool, len(list))
	changes := make([]Change, 0, len(list))
	for _, info := range list {
		listed[info.ID] = true
		changes = append(changes, ListedChange(info))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.entriesByID {
		if !listed[id] {
			changes = append(changes, UnlistedChange(id))
		}
	}
	r.apply(changes)
}

// Apply applies changes in order and publishes the new lists once.
func (r *Roster) Apply(changes ...Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(changes)
}

func (r *Roster) apply(changes []Change) {
	touched, now := make(listChanges), time.Now()
	var added, removed []*Entry
	for _, c := range changes {
		if c.info == nil {
			for _, e := range r.entriesByID[c.id] {
				if r.unlist(e) {
					removed = append(removed, e)
				}
			}
			continue
		}
		if e := r.upsert(*c.info, touched, now); e != nil {
			added = append(added, e)
		}
	}
	r.emitEach(event.UpstreamListed, added)
	r.emitEach(event.UpstreamUnlisted, removed)
	r.evict(touched, now)
	maps.DeleteFunc(r.ended, func(_ Incarnation, u endedUpstream) bool { return now.Sub(u.at) > endedRetention })
	r.publish(touched)
}

// maxUpstreamEvents is the number of upstreams changed at once up to which each gets an event of
// its own.
const maxUpstreamEvents = 10

// emitEach emits the events of upstreams that were listed or unlisted at once. A process that
// starts lists all of them, thousands in a large fleet, and each event is a line in the log of
// every VM.
func (r *Roster) emitEach(number event.Number, entries []*Entry) {
	if len(entries) > maxUpstreamEvents {
		r.events.Emit(number, event.Subject{Count: int64(len(entries))})
		return
	}
	for _, e := range entries {
		info := e.Info()
		r.events.Emit(number, event.Subject{Upstream: info.ID, Incarnation: info.Started, Detail: info.Service + " at " + info.Address})
	}
}

// listChanges holds the changes to the lists of services.
type listChanges map[string]*listChange

// listChange is the effect of one batch of changes on the list of a service.
type listChange struct {
	added []*Entry
	// removed is true when an entry was removed from the list.
	removed bool
}

func (l listChanges) of(service string) *listChange {
	if l[service] == nil {
		l[service] = new(listChange)
	}
	return l[service]
}

func (l listChanges) add(service string, e *Entry) {
	c := l.of(service)
	c.added = append(c.added, e)
}

func (l listChanges) remove(service string) { l.of(service).removed = true }

// upsert adds or updates the entry of an upstream, and returns it if it was added. An upstream
// that restarts with the same ID has lost its state, so each incarnation has its own entry.
func (r *Roster) upsert(info Instance, touched listChanges, now time.Time) (added *Entry) {
	for _, e := range r.entriesByID[info.ID] {
		known := e.Info()
		if known.Started != info.Started {
			continue
		}
		e.noteListed(info.ColdFor, now)
		if e.unlisted.Swap(false) {
			delete(r.unlisted, e)
			delete(r.ended, known.Incarnation())
		}
		if sameContent(known, &info) {
			return nil
		}
		if info.Leaving && !known.Leaving {
			r.events.Emit(event.UpstreamLeaving, event.Subject{Upstream: info.ID, Detail: info.Service})
		}
		e.info.Store(&info)
		if known.Service != info.Service {
			touched.remove(known.Service)
			touched.add(info.Service, e)
			e.setSlowStart(r.slowStarts[info.Service])
		}
		return nil
	}
	for _, earlier := range r.entriesByID[info.ID] {
		r.noteEnded(earlier, now)
		earlier.unlistAtOnce()
		r.unlisted[earlier] = true
	}
	delete(r.ended, info.Incarnation())
	e := newEntry(r, info)
	e.setSlowStart(r.slowStarts[info.Service])
	e.noteListed(info.ColdFor, now)
	r.entriesByID[info.ID] = append(r.entriesByID[info.ID], e)
	touched.add(info.Service, e)
	return e
}

// sameContent reports whether two listings of one incarnation have the same content.
// Started is equal, and ColdFor is recorded separately.
func sameContent(a, b *Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Reclaimable == b.Reclaimable && maps.Equal(a.Versions, b.Versions)
}

// unlist starts the grace period in which an unlisted upstream may still be used, and reports
// whether the upstream was listed until now.
func (r *Roster) unlist(e *Entry) bool {
	r.unlisted[e] = true
	if e.unlisted.Load() {
		return false
	}
	r.noteEnded(e, time.Now())
	e.graceUntil.Store(time.Now().Add(unlistedGracePeriod).UnixNano())
	e.unlisted.Store(true)
	return true
}

// endedRetention is how long the roster knows of an upstream that has left the list.
const endedRetention = 30 * time.Second

// endedUpstream is an upstream that left the list without notice.
type endedUpstream struct {
	entry *Entry
	at    time.Time
}

// noteEnded records that an upstream left the list, unless it had announced that.
func (r *Roster) noteEnded(e *Entry, now time.Time) {
	key := e.Incarnation()
	if _, known := r.ended[key]; !known && !e.Info().Leaving {
		r.ended[key] = endedUpstream{entry: e, at: now}
	}
}

// HasAnsweredSince reports whether an incarnation of an upstream has reported its load with an answer after a time.
func (r *Roster) HasAnsweredSince(incarnation Incarnation, at time.Time) bool {
	e := r.Incarnation(incarnation.Upstream, incarnation.Started)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadAt.After(at)
}

// restartedLocked reports whether a later incarnation of an upstream is listed at its address.
func (r *Roster) restartedLocked(info *Instance) bool {
	return slices.ContainsFunc((*r.current.Load())[info.Service], func(e *Entry) bool {
		other := e.Info()
		return other.Address == info.Address && other.Started > info.Started && !e.Unlisted()
	})
}

// Ends returns the incarnations of a service that have ended, and when the connections of this VM to them did. Those
// to which it had no connection are left out.
func (r *Roster) Ends(service string) map[Incarnation]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := make(map[Incarnation]time.Time)
	for incarnation, u := range r.ended {
		if at, ok := u.entry.DisconnectedAt(); ok && u.entry.Info().Service == service {
			ends[incarnation] = at
		}
	}
	for _, e := range r.Upstreams(service) {
		if at, ok := e.DisconnectedAt(); ok && !e.Unlisted() && r.restartedLocked(e.Info()) {
			ends[e.Incarnation()] = at
		}
	}
	return ends
}

// PossibleEnds returns Ends and the listed incarnations of a service to which a connection has failed and that have not
// answered since.
func (r *Roster) PossibleEnds(service string) map[Incarnation]time.Time {
	ends := r.Ends(service)
	for _, e := range r.Upstreams(service) {
		if at, ok := e.resetSince(); ok && !e.Unlisted() {
			ends[e.Incarnation()] = at
		}
	}
	return ends
}

// CountUsable returns the number of a service's upstreams that may get requests. An upstream that has started again
// counts once, although its earlier incarnations may be listed for some time.
func (r *Roster) CountUsable(service string, now time.Time) int {
	addresses := make(map[string]bool)
	for _, e := range r.Usable(service, now) {
		addresses[e.Info().Address] = true
	}
	return len(addresses)
}

// Ended returns the upstreams that left the list without notice in a period, at most endedRetention
// ago, in a fixed order.
func (r *Roster) Ended(since, until time.Time) []*Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ended []*Entry
	for _, u := range r.ended {
		if !u.at.Before(since) && !u.at.After(until) {
			ended = append(ended, u.entry)
		}
	}
	slices.SortFunc(ended, func(a, b *Entry) int {
		return cmp.Or(byID(a, b), cmp.Compare(a.Info().Started, b.Info().Started))
	})
	return ended
}

// evict removes unlisted entries whose grace period is over and that have no requests in
// flight.
func (r *Roster) evict(touched listChanges, now time.Time) {
	for e := range r.unlisted {
		if now.UnixNano() <= e.graceUntil.Load() || e.InFlight() > 0 {
			continue
		}
		info := e.Info()
		delete(r.unlisted, e)
		r.entriesByID[info.ID] = slices.DeleteFunc(r.entriesByID[info.ID], func(other *Entry) bool { return other == e })
		if len(r.entriesByID[info.ID]) == 0 {
			delete(r.entriesByID, info.ID)
		}
		e.evicted = true
		touched.remove(info.Service)
	}
}

// publish makes the new lists of the touched services visible to readers.
func (r *Roster) publish(touched listChanges) {
	if len(touched) == 0 {
		return
	}
	services := maps.Clone(*r.current.Load())
	for service, change := range touched {
		services[service] = change.applyTo(services[service], service)
		if len(services[service]) == 0 {
			delete(services, service)
		}
	}
	r.current.Store(&services)
}

// applyTo returns the changed list of a service, sorted by ID. It doesn't modify before,
// which readers may hold.
func (c *listChange) applyTo(before []*Entry, service string) []*Entry {
	list := make([]*Entry, len(before), len(before)+len(c.added))
	copy(list, before)
	if c.removed {
		list = slices.DeleteFunc(list, func(e *Entry) bool { return e.evicted || e.Info().Service != service })
	}
	for _, e := range c.added {
		if e.evicted || e.Info().Service != service || slices.Contains(list, e) {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, e, byID)
		list = slices.Insert(list, at, e)
	}
	return list
}

func byID(a, b *Entry) int { return strings.Compare(a.Info().ID, b.Info().ID) }

// Incarnation returns the entry of one incarnation of an upstream, or nil.
func (r *Roster) Incarnation(id string, started int64) *Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entriesByID[id] {
		if e.Info().Started == started {
			return e
		}
	}
	return nil
}

// Upstreams returns the upstreams of a service, including those that are leaving or
// unlisted.
func (r *Roster) Upstreams(service string) []*Entry { return (*r.current.Load())[service] }

// HasUpstreams reports whether the roster has any upstream.
func (r *Roster) HasUpstreams() bool { return len(*r.current.Load()) > 0 }

// Usable returns the upstreams of a service that may get requests. Unlisted ones are
// returned only when no listed one is usable, since an upstream that disappeared from the
// list has most likely crashed. Upstreams of evacuated failure domains are left out.
func (r *Roster) Usable(service string, now time.Time) []*Entry {
	all := r.Upstreams(service)
	listed := make([]*Entry, 0, len(all))
	var unlisted []*Entry
	for _, e := range all {
		switch {
		case !e.Usable(now) || r.Evacuated(e.Info().FailureDomain):
		case e.Listed():
			listed = append(listed, e)
		default:
			unlisted = append(unlisted, e)
		}
	}
	if len(listed) > 0 {
		return listed
	}
	return unlisted
}
