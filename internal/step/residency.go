package step

import "dogwoodpond/internal/route"

// stepResidency returns where the data of a step may be, by the configuration in force.
func (m *Manager) stepResidency(spec Spec) route.Residency {
	snapshot := m.View.Load()
	if snapshot == nil || !snapshot.Resident() {
		return route.Residency{}
	}
	matched, err := snapshot.Match(spec.Host, spec.Path)
	if err != nil {
		// Its route is gone; the account's own limit holds on.
		matched = &route.Route{}
	}
	return snapshot.Residency(matched, spec.Account)
}

// residency returns where a request of an account may go that is sent by a route.
func (m *Manager) residency(account string, by *route.Route) route.Residency {
	snapshot := m.View.Load()
	if snapshot == nil {
		return by.Residency
	}
	return snapshot.Residency(by, account)
}
