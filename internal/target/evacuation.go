package target

import (
	"maps"

	"dogwoodpond/internal/event"
)

// Evacuated reports whether a failure domain is evacuated: its upstreams get no requests.
func (r *Roster) Evacuated(domain string) bool { return (*r.evacuated.Load())[domain] }

// Evacuate stops new requests to the upstreams of a failure domain. Requests in flight are
// not canceled.
func (r *Roster) Evacuate(domain string) { r.setEvacuated(domain, true) }

// Restore ends the evacuation of a failure domain.
func (r *Roster) Restore(domain string) { r.setEvacuated(domain, false) }

// ReplaceEvacuated replaces the set of evacuated failure domains.
func (r *Roster) ReplaceEvacuated(domains []string) {
	wanted := make(map[string]bool, len(domains))
	for _, domain := range domains {
		wanted[domain] = true
		r.Evacuate(domain)
	}
	for domain := range *r.evacuated.Load() {
		if !wanted[domain] {
			r.Restore(domain)
		}
	}
}

func (r *Roster) setEvacuated(domain string, evacuated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := *r.evacuated.Load()
	if before[domain] == evacuated {
		return
	}
	after, kind := maps.Clone(before), event.DomainRestored
	if evacuated {
		after[domain], kind = true, event.DomainEvacuated
	} else {
		delete(after, domain)
	}
	r.evacuated.Store(&after)
	r.events.Emit(kind, event.Subject{Detail: domain, Count: int64(r.countUpstreams(domain))})
}

// countUpstreams returns the number of listed upstreams in a failure domain. The
// caller holds r.mu.
func (r *Roster) countUpstreams(domain string) int {
	n := 0
	for _, incarnations := range r.entriesByID {
		for _, e := range incarnations {
			if e.Info().FailureDomain == domain && !e.unlisted.Load() {
				n++
			}
		}
	}
	return n
}

// EvacuatedDomainCount returns the number of evacuated failure domains.
func (r *Roster) EvacuatedDomainCount() int { return len(*r.evacuated.Load()) }
