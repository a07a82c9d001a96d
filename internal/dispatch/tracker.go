package dispatch

import (
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/platformapi"
)

// upstreamTracker detects changes of the list of upstreams.
type upstreamTracker struct {
	list []platformapi.Upstream
	// live holds the upstreams that were live in the last list.
	live map[string]bool
}

// update emits an event for each upstream that is no longer live, and removes health
// and load records of upstreams that are no longer listed.
func (t *upstreamTracker) update(c Config) {
	list := c.Directory.Load()
	if sameList(list, t.list) {
		return
	}
	listed := make(map[string]bool, len(list))
	live := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		if u.State == platformapi.UpstreamLive {
			live[u.ID] = true
		}
	}
	for id := range t.live {
		if !live[id] {
			c.Events.Emit(event.UpstreamLeaving, event.Subject{Upstream: id})
		}
	}
	c.Health.Retain(listed)
	c.Loads.Retain(listed)
	t.list, t.live = list, live
}

// sameList reports whether two lists are the same slice in memory. A replaced list
// never is.
func sameList(a, b []platformapi.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
