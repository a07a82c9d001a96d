package step

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// pollInterval is the interval at which the store is polled for new results of a step
// that another VM owns. A poll costs one small read.
const pollInterval = 120 * time.Millisecond

// Results returns a step's committed results starting at position from, and the number
// of the step's items. It waits at most wait for the first result. It fails with
// *fault.StepUnknown only when the step certainly does not exist.
func (m *Manager) Results(ctx context.Context, id, account string, from int, wait time.Duration) (results []Result, total int, err error) {
	rec, err := m.findState(ctx, id, account)
	if err != nil {
		return nil, 0, err
	}
	deadline := time.Now().Add(wait)
	for {
		var changed, ended <-chan struct{}
		results, changed, ended, err = m.committedResults(ctx, id, from)
		if err == nil && len(results) > 0 {
			err = loadOffloadedTexts(ctx, m.Store, results)
		}
		remaining := time.Until(deadline)
		if err != nil || len(results) > 0 || from >= rec.Total || remaining <= 0 || m.isEnded(id) {
			return results, rec.Total, err
		}
		awaitChange(ctx, changed, ended, remaining)
		if ctx.Err() != nil {
			return nil, rec.Total, errors.WithStack(&fault.CallerGone{})
		}
	}
}

// committedResults returns the committed results without waiting: from memory when this VM
// runs the step, otherwise from the store. Channel changed is closed when there are more results,
// ended when the run ends, so that others may commit more; both are nil when the results come from
// the store.
func (m *Manager) committedResults(ctx context.Context, id string, from int) (results []Result, changed, ended <-chan struct{}, err error) {
	if r := m.runOf(id); r != nil && r.ctx.Err() == nil {
		results, changed := r.resultsFrom(from)
		return append([]Result(nil), results...), changed, r.ctx.Done(), nil
	}
	results, err = readResults(ctx, m.Store, id, from)
	return results, nil, nil, err
}

func (m *Manager) isEnded(id string) bool {
	r, ok := m.lookUp(id)
	return ok && r.Ended
}

// awaitChange waits until there may be more results, at most for remaining. A nil changed
// means that the store must be polled.
func awaitChange(ctx context.Context, changed, ended <-chan struct{}, remaining time.Duration) {
	timeout := remaining
	if changed == nil {
		timeout = min(remaining, pollInterval)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-ended:
	case <-timer.C:
	}
}
