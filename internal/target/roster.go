package target

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/event"
)

// Roster holds the upstreams of all services. Reads take no lock. The cost of a change
// doesn't depend on how many upstreams there are, but for the copy of one service's list
// when an upstream joins or leaves it.
type Roster struct {
	events *event.Recorder

	mu sync.Mutex
	// lives holds the entries by the upstream's ID: one for each life that is listed or
	// still in use.
	lives map[string][]*Entry
	// gone are the entries that are no longer listed.
	gone    map[*Entry]bool
	current atomic.Pointer[map[string][]*Entry]
	// slowStarts are the bounds of the services whose upstreams warm up.
	slowStarts map[string]SlowStart

	// reached is when the list was known to be complete last, in Unix nanoseconds.
	reached atomic.Int64
	// turn tells whether this VM is the one that may use a cold upstream.
	turn atomic.Pointer[func(*Entry) bool]
	// evacuated are the failure domains whose upstreams get nothing.
	evacuated atomic.Pointer[map[string]bool]
}

// Change is one change of the platform's list.
type Change struct {
	id   string
	info *Instance
}

// Listed is the change by which an upstream is listed, or its entry replaced.
func Listed(info Instance) Change { return Change{id: info.ID, info: &info} }

// Unlisted is the change by which an upstream's entry vanishes.
func Unlisted(id string) Change { return Change{id: id} }

// NewRoster returns an empty roster.
func NewRoster(events *event.Recorder) *Roster {
	r := &Roster{events: events, lives: make(map[string][]*Entry), gone: make(map[*Entry]bool)}
	r.current.Store(&map[string][]*Entry{})
	r.evacuated.Store(&map[string]bool{})
	r.Reached()
	return r
}

// Reached notes that the platform's list answered: what it holds is known here.
func (r *Roster) Reached() { r.reached.Store(time.Now().UnixNano()) }

// stale reports whether changes of the list may have gone unnoticed for long.
func (r *Roster) stale(now time.Time) bool {
	return now.UnixNano()-r.reached.Load() > int64(staleAfter)
}

// TakeTurns sets what tells whether this VM is the one that may use a cold upstream. It
// must be called before the roster is used.
func (r *Roster) TakeTurns(turn func(*Entry) bool) { r.turn.Store(&turn) }

func (r *Roster) isFirst(e *Entry) bool {
	turn := r.turn.Load()
	return turn == nil || (*turn)(e)
}

// SetSlowStarts sets the bounds of the services whose upstreams warm up; the upstreams of
// all others have none.
func (r *Roster) SetSlowStarts(bounds map[string]SlowStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(r.slowStarts, bounds) {
		return
	}
	r.slowStarts = maps.Clone(bounds)
	for _, lives := range r.lives {
		for _, e := range lives {
			e.setSlowStart(r.slowStarts[e.Info().Service])
		}
	}
}

// Replace takes a whole list.
func (r *Roster) Replace(list []Instance) {
	listed := make(map[string]bool, len(list))
	changes := make([]Change, 0, len(list))
	for _, info := range list {
		listed[info.ID] = true
		changes = append(changes, Listed(info))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.lives {
		if !listed[id] {
			changes = append(changes, Unlisted(id))
		}
	}
	r.apply(changes)
}

// Apply takes changes in their order. The lists are published once for all of them.
func (r *Roster) Apply(changes ...Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(changes)
}

func (r *Roster) apply(changes []Change) {
	touched, now := make(touchedServices), time.Now()
	for _, c := range changes {
		if c.info == nil {
			for _, e := range r.lives[c.id] {
				r.leave(e)
			}
			continue
		}
		r.list(*c.info, touched, now)
	}
	r.drop(touched, now)
	r.publish(touched)
}

// touchedServices are the services whose lists change.
type touchedServices map[string]*listChange

// listChange is what one batch of changes does to the list of a service.
type listChange struct {
	joined []*Entry
	// left is true when an entry left the list.
	left bool
}

func (t touchedServices) of(service string) *listChange {
	if t[service] == nil {
		t[service] = new(listChange)
	}
	return t[service]
}

func (t touchedServices) join(service string, e *Entry) {
	c := t.of(service)
	c.joined = append(c.joined, e)
}

func (t touchedServices) leave(service string) { t.of(service).left = true }

// list takes an upstream's entry. An upstream that starts again under its old ID knows
// nothing of before, so that each life has an entry of its own.
func (r *Roster) list(info Instance, touched touchedServices, now time.Time) {
	for _, e := range r.lives[info.ID] {
		known := e.Info()
		if known.Started != info.Started {
			continue
		}
		e.noteListed(info.ColdFor, now)
		if e.gone.Swap(false) {
			delete(r.gone, e)
		}
		if same(known, &info) {
			return
		}
		if info.Leaving && !known.Leaving {
			r.events.Emit(event.UpstreamLeaving, event.Subject{Upstream: info.ID, Detail: info.Service})
		}
		e.info.Store(&info)
		if known.Service != info.Service {
			touched.leave(known.Service)
			touched.join(info.Service, e)
			e.setSlowStart(r.slowStarts[info.Service])
		}
		return
	}
	for _, earlier := range r.lives[info.ID] {
		earlier.Misaddressed()
		r.gone[earlier] = true
	}
	e := newEntry(r, info)
	e.setSlowStart(r.slowStarts[info.Service])
	e.noteListed(info.ColdFor, now)
	r.lives[info.ID] = append(r.lives[info.ID], e)
	touched.join(info.Service, e)
	r.events.Emit(event.UpstreamListed, event.Subject{Upstream: info.ID, Detail: info.Service + " at " + info.Address})
}

// same reports whether two entries of one life of an upstream say the same.
func same(a, b *Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Reclaimable == b.Reclaimable && maps.Equal(a.Versions, b.Versions)
}

// leave starts the short time in which an unlisted upstream may still be used.
func (r *Roster) leave(e *Entry) {
	r.gone[e] = true
	if e.gone.Load() {
		return
	}
	e.goneUntil.Store(time.Now().Add(lingerTime).UnixNano())
	e.gone.Store(true)
	r.events.Emit(event.UpstreamUnlisted, event.Subject{Upstream: e.Info().ID, Detail: e.Info().Service})
}

// drop forgets the entries that are gone and unused.
func (r *Roster) drop(touched touchedServices, now time.Time) {
	for e := range r.gone {
		if now.UnixNano() <= e.goneUntil.Load() || e.InFlight() > 0 {
			continue
		}
		info := e.Info()
		delete(r.gone, e)
		r.lives[info.ID] = slices.DeleteFunc(r.lives[info.ID], func(other *Entry) bool { return other == e })
		if len(r.lives[info.ID]) == 0 {
			delete(r.lives, info.ID)
		}
		e.dropped = true
		touched.leave(info.Service)
	}
}

// publish makes the new lists of the touched services visible.
func (r *Roster) publish(touched touchedServices) {
	if len(touched) == 0 {
		return
	}
	services := maps.Clone(*r.current.Load())
	for service, change := range touched {
		services[service] = change.after(services[service], service)
		if len(services[service]) == 0 {
			delete(services, service)
		}
	}
	r.current.Store(&services)
}

// after returns the list of a service after the change, in the order of IDs. The list
// before stays as it is: readers hold it.
func (c *listChange) after(before []*Entry, service string) []*Entry {
	list := make([]*Entry, len(before), len(before)+len(c.joined))
	copy(list, before)
	if c.left {
		list = slices.DeleteFunc(list, func(e *Entry) bool { return e.dropped || e.Info().Service != service })
	}
	for _, e := range c.joined {
		if e.dropped || e.Info().Service != service || slices.Contains(list, e) {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, e, byID)
		list = slices.Insert(list, at, e)
	}
	return list
}

func byID(a, b *Entry) int { return strings.Compare(a.Info().ID, b.Info().ID) }

// Life returns the entry of one life of an upstream, or nil.
func (r *Roster) Life(id string, started int64) *Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.lives[id] {
		if e.Info().Started == started {
			return e
		}
	}
	return nil
}

// Service returns the upstreams of a service, also those that are leaving.
func (r *Roster) Service(name string) []*Entry { return (*r.current.Load())[name] }

// Known reports whether any upstream is known.
func (r *Roster) Known() bool { return len(*r.current.Load()) > 0 }

// Usable returns the upstreams of a service that may get work, the listed ones
// if there are any: one that vanished from the list has most likely crashed. Those of
// evacuated failure domains get none.
func (r *Roster) Usable(service string, now time.Time) []*Entry {
	all := r.Service(service)
	listed := make([]*Entry, 0, len(all))
	var lingering []*Entry
	for _, e := range all {
		switch {
		case !e.Usable(now) || r.Evacuated(e.Info().FailureDomain):
		case e.Listed():
			listed = append(listed, e)
		default:
			lingering = append(lingering, e)
		}
	}
	if len(listed) > 0 {
		return listed
	}
	return lingering
}
