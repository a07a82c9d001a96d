package dispatch

import (
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/platform"
)

// listReview follows the changes of the list of upstreams.
type listReview struct {
	list []platform.Upstream
	// live holds the upstreams that the list last showed live.
	live map[string]bool
}

// review notes which upstreams have left, and lets the books forget those that
// are not listed any more.
func (r *listReview) review(c Config) {
	list := c.Directory.Load()
	if sameList(list, r.list) {
		return
	}
	listed := make(map[string]bool, len(list))
	live := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		if u.State == platform.UpstreamLive {
			live[u.ID] = true
		}
	}
	for id := range r.live {
		if !live[id] {
			c.Events.Emit(event.UpstreamLeaving, event.Subject{Upstream: id})
		}
	}
	c.Health.Keep(listed)
	c.Loads.Keep(listed)
	r.list, r.live = list, live
}

// sameList reports whether two lists are one in memory; a replaced list never
// is.
func sameList(a, b []platform.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
