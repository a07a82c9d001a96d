package step

import (
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/target"
)

// FirstSender tells whether this VM ranks first for an engine among the owners of the open
// steps that the engine can serve; ok is false when there are none. Owners are the VMs
// that send items, and all VMs know them from the states of the steps.
func (m *Manager) FirstSender(e *target.Entry) (first, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var owners []string
	for _, r := range m.known {
		if !r.Ended && r.Owner != "" && (r.Model == "" || e.Version(r.Model) >= r.MinVersion) {
			owners = append(owners, r.Owner)
		}
	}
	chosen, ok := lease.First("cold/"+e.Info().ID, owners)
	return chosen == m.VM, ok
}
