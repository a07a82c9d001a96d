package target

import (
	"maps"

	"dogwoodpond/internal/event"
)

// Evacuated reports whether the upstreams of a failure domain are to get nothing.
func (r *Roster) Evacuated(domain string) bool { return (*r.evacuated.Load())[domain] }

// Evacuate stops all traffic to the upstreams of a failure domain. What runs there comes
// to its end.
func (r *Roster) Evacuate(domain string) { r.setEvacuated(domain, true) }

// Restore ends the evacuation of a failure domain.
func (r *Roster) Restore(domain string) { r.setEvacuated(domain, false) }

// ReplaceEvacuated takes all evacuated failure domains.
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
	now, number := maps.Clone(before), event.DomainRestored
	if evacuated {
		now[domain], number = true, event.DomainEvacuated
	} else {
		delete(now, domain)
	}
	r.evacuated.Store(&now)
	r.events.Emit(number, event.Subject{Detail: domain, Count: int64(r.countIn(domain))})
}

// countIn returns how many upstreams are known in a failure domain.
func (r *Roster) countIn(domain string) int {
	n := 0
	for _, lives := range r.lives {
		for _, e := range lives {
			if e.Info().FailureDomain == domain && !e.gone.Load() {
				n++
			}
		}
	}
	return n
}

// EvacuatedDomains returns how many failure domains are evacuated.
func (r *Roster) EvacuatedDomains() int { return len(*r.evacuated.Load()) }
