package step

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// pollEvery is the period of looking for new results of a step that another VM
// owns; a look costs one small read.
const pollEvery = 120 * time.Millisecond

// Results returns a step's listed results from a position on, waiting for the
// first for at most wait, and the number of the step's items. It fails with
// *fault.StepUnknown only when there is no such step for certain.
func (m *Manager) Results(ctx context.Context, id, account string, from int, wait time.Duration) (results []Result, total int, err error) {
	rec, err := m.find(ctx, id, account)
	if err != nil {
		return nil, 0, err
	}
	until := time.Now().Add(wait)
	for {
		var changed <-chan struct{}
		results, changed, err = m.resultsNow(ctx, id, from)
		if err == nil && len(results) > 0 {
			err = moveIn(ctx, m.Store, results)
		}
		left := time.Until(until)
		if err != nil || len(results) > 0 || from >= rec.Total || left <= 0 || m.ended(id) {
			return results, rec.Total, err
		}
		awaitChange(ctx, changed, left)
		if ctx.Err() != nil {
			return nil, rec.Total, errors.WithStack(&fault.CallerGone{})
		}
	}
}

// resultsNow returns what is listed: from memory when this VM owns the step,
// otherwise from the store.
func (m *Manager) resultsNow(ctx context.Context, id string, from int) ([]Result, <-chan struct{}, error) {
	if r := m.runOf(id); r != nil {
		results, changed := r.resultsFrom(from)
		return append([]Result(nil), results...), changed, nil
	}
	results, err := readResults(ctx, m.Store, id, from)
	return results, nil, err
}

func (m *Manager) ended(id string) bool {
	r, ok := m.lookUp(id)
	return ok && r.Ended
}

// awaitChange waits until there may be more results.
func awaitChange(ctx context.Context, changed <-chan struct{}, left time.Duration) {
	wait := left
	if changed == nil {
		wait = min(left, pollEvery)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// Body returns the body of an item. It fails with *fault.StepUnknown when there
// is no such step or item for certain.
func (m *Manager) Body(ctx context.Context, id, account, item string) ([]byte, error) {
	rec, err := m.find(ctx, id, account)
	if err != nil {
		return nil, err
	}
	if r := m.runOf(id); r != nil {
		if found, ok := r.item(item); ok {
			return found.Body, nil
		}
	}
	items, err := readItems(ctx, m.Store, rec.State)
	if err != nil {
		return nil, err
	}
	for _, candidate := range items {
		if candidate.ID == item {
			return candidate.Body, nil
		}
	}
	return nil, errors.WithStack(&fault.StepUnknown{Step: id})
}
