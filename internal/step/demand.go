package step

// Use summarizes the requirements of the known steps of a model.
type Use struct {
	// Steps is the number of known steps.
	Steps int
	// Work is the expected number of output tokens of the latest step.
	Work float64
	// Behind is the version lag of the latest step: the number of versions from the oldest one
	// that it allows to the one that the trainer had announced last when it was submitted.
	Behind int64
	// SingleVersion is true when the latest step requires each sample to come from a single
	// weight version.
	SingleVersion bool
	// Items is the number of items of the largest known step.
	Items int
}

// Uses returns the requirements of the steps known to this VM, by model.
func (m *Manager) Uses() map[string]Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := make(map[string]stateRecord)
	uses := make(map[string]Use)
	for _, r := range m.states {
		if r.Model == "" {
			continue
		}
		u := uses[r.Model]
		u.Steps++
		u.Items = max(u.Items, r.Total)
		uses[r.Model] = u
		if newest, ok := latest[r.Model]; !ok || r.SubmittedAt > newest.SubmittedAt {
			latest[r.Model] = r
		}
	}
	for model, r := range latest {
		u := uses[model]
		u.Work, u.Behind, u.SingleVersion = r.Work, r.Behind, r.SingleVersion
		uses[model] = u
	}
	return uses
}
