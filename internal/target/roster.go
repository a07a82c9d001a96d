package target

import (
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/event"
)

// Roster holds the upstreams of all services. Reads take no lock.
type Roster struct {
	events *event.Recorder

	mu      sync.Mutex
	entries map[string]*Entry
	current atomic.Pointer[map[string][]*Entry]
}

// NewRoster returns an empty roster.
func NewRoster(events *event.Recorder) *Roster {
	r := &Roster{events: events, entries: make(map[string]*Entry)}
	r.current.Store(&map[string][]*Entry{})
	return r
}

// life names one life of an upstream: an upstream that starts again under its
// old ID knows nothing of before.
func life(info Instance) string { return info.ID + "/" + strconv.FormatInt(info.Started, 10) }

// Replace takes a whole list.
func (r *Roster) Replace(list []Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		r.set(info)
	}
	for _, e := range r.entries {
		if !listed[e.Info().ID] {
			r.leave(e)
		}
	}
	r.publish()
}

// Set takes one upstream's new entry.
func (r *Roster) Set(info Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(info)
	r.publish()
}

// Remove notes that an upstream is no longer listed.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.Info().ID == id {
			r.leave(e)
		}
	}
	r.publish()
}

func (r *Roster) set(info Instance) {
	key := life(info)
	if e, ok := r.entries[key]; ok {
		if info.Leaving && !e.Info().Leaving {
			r.events.Emit(event.UpstreamLeaving, event.Subject{Upstream: info.ID, Detail: info.Service})
		}
		e.info.Store(&info)
		e.gone.Store(false)
		return
	}
	for _, e := range r.entries {
		if e.Info().ID == info.ID {
			e.Misaddressed()
		}
	}
	r.entries[key] = newEntry(info)
	r.events.Emit(event.UpstreamListed, event.Subject{Upstream: info.ID, Detail: info.Service + " at " + info.Address})
}

// leave starts the short time in which an unlisted upstream may still be used.
func (r *Roster) leave(e *Entry) {
	if e.gone.Load() {
		return
	}
	e.goneUntil.Store(time.Now().Add(lingerTime).UnixNano())
	e.gone.Store(true)
	r.events.Emit(event.UpstreamUnlisted, event.Subject{Upstream: e.Info().ID, Detail: e.Info().Service})
}

// publish makes the present entries visible, and drops those that are gone and
// unused.
func (r *Roster) publish() {
	now := time.Now()
	services := make(map[string][]*Entry)
	for key, e := range r.entries {
		if e.gone.Load() && now.UnixNano() > e.goneUntil.Load() && e.InFlight() == 0 {
			delete(r.entries, key)
			continue
		}
		services[e.Info().Service] = append(services[e.Info().Service], e)
	}
	for _, list := range services {
		sort.Slice(list, func(i, j int) bool { return list[i].Info().ID < list[j].Info().ID })
	}
	r.current.Store(&services)
}

// Service returns the upstreams of a service, also those that are leaving.
func (r *Roster) Service(name string) []*Entry { return (*r.current.Load())[name] }

// Known reports whether any upstream is known.
func (r *Roster) Known() bool { return len(*r.current.Load()) > 0 }

// Usable returns the upstreams of a service that may get work, the listed ones
// if there are any: one that vanished from the list has most likely crashed.
func (r *Roster) Usable(service string, now time.Time) []*Entry {
	var listed, lingering []*Entry
	for _, e := range r.Service(service) {
		switch {
		case !e.Usable(now):
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
