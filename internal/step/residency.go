package step

import "dogwoodpond/internal/route"

// stepResidency returns the failure domains in which the data of a step may be, according
// to the current configuration.
func (m *Manager) stepResidency(spec Spec) route.Residency {
	snapshot := m.View.Load()
	if snapshot == nil || !snapshot.HasResidencyLimits() {
		return route.Residency{}
	}
	matched, err := snapshot.Match(spec.Host, spec.Path)
	if err != nil {
		// The route was removed; the account's own residency still applies.
		matched = &route.Route{}
	}
	return snapshot.Residency(matched, spec.Account)
}

// residency returns the failure domains to which a request of an account may be sent
// through a route.
func (m *Manager) residency(account string, through *route.Route) route.Residency {
	snapshot := m.View.Load()
	if snapshot == nil {
		return through.Residency
	}
	return snapshot.Residency(through, account)
}
