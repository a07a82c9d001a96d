package step

// ModelDemand summarizes the requirements of the known steps of a model.
type ModelDemand struct {
	// Steps is the number of known steps.
	Steps int
	// ExpectedTokens is the expected number of output tokens of the latest step.
	ExpectedTokens float64
	// VersionLag is the version lag of the latest step: the number of versions from the oldest one
	// that it allows to the one that the trainer had announced last when it was submitted.
	VersionLag int64
	// SingleVersion is true when the latest step requires each sample to come from a single
	// weight version.
	SingleVersion bool
	// MaxItems is the number of items of the largest known step.
	MaxItems int
}

// ModelDemands returns the requirements of the steps known to this VM, by model.
func (m *Manager) ModelDemands() map[string]ModelDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := make(map[string]stateRecord)
	uses := make(map[string]ModelDemand)
	for _, r := range m.states {
		if r.Model == "" {
			continue
		}
		u := uses[r.Model]
		u.Steps++
		u.MaxItems = max(u.MaxItems, r.Total)
		uses[r.Model] = u
		if newest, ok := latest[r.Model]; !ok || r.SubmittedAt > newest.SubmittedAt {
			latest[r.Model] = r
		}
	}
	for model, r := range latest {
		u := uses[model]
		u.ExpectedTokens, u.VersionLag, u.SingleVersion = r.ExpectedTokens, r.VersionLag, r.SingleVersion
		uses[model] = u
	}
	return uses
}
