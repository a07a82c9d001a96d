package step

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/poison"
	"dogwoodpond/internal/rowstore"
)

const (
	// lossPrefix starts the names of the rows that hold lost answers, in the partition of the step.
	// All VMs watch them with the state rows. The rows are never changed: each process adds its own,
	// and a reader joins them.
	lossPrefix = "loss-"
	// lossTimeout bounds one save of lost answers.
	lossTimeout = 2 * time.Second
	// maxLossCommits bounds the commits of one save. Each further one follows a change of the step's
	// state row.
	maxLossCommits = 4
)

// loss is a lost answer: the incarnation may have ended under the item or its score call.
type loss struct {
	poison.Request
	poison.Incarnation
}

// lossWriter remembers which lost answers of a run were saved.
type lossWriter struct {
	signalCh chan struct{}
	// slot holds a value during a save, which may last as long as its context. It guards saved.
	slot  chan struct{}
	saved map[loss]bool
}

func newLossWriter() lossWriter {
	return lossWriter{signalCh: make(chan struct{}, 1), slot: make(chan struct{}, 1), saved: make(map[loss]bool)}
}

// signal makes saveLossesLoop save lost answers.
func (w *lossWriter) signal() {
	select {
	case w.signalCh <- struct{}{}:
	default:
	}
}

// unsavedLosses returns the lost answers of unfinished items that were not saved.
func (r *run) unsavedLosses() []loss {
	var losses []loss
	for i, item := range r.items {
		if r.phase(i) == phaseDone {
			continue
		}
		requests := []poison.Request{r.request(i)}
		if item.Score != nil {
			requests = append(requests, r.scoreRequest(i))
		}
		for _, request := range requests {
			for _, incarnation := range r.m.suspicions.Suspects(request) {
				if l := (loss{Request: request, Incarnation: incarnation}); !r.losses.saved[l] {
					losses = append(losses, l)
				}
			}
		}
	}
	return losses
}

// saveLosses saves the lost answers of unfinished items, and reports whether all are saved. A step that
// no longer exists needs none.
func (r *run) saveLosses(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case r.losses.slot <- struct{}{}:
	}
	defer func() { <-r.losses.slot }()
	losses := r.unsavedLosses()
	if len(losses) == 0 {
		return true
	}
	if err := r.m.commitLosses(ctx, r.current(), losses); err != nil {
		if ctx.Err() == nil {
			r.m.Events.Emit(event.DependencyLost, event.Subject{Step: r.rec.ID, Detail: "lost answers: " + err.Error()})
		}
		return false
	}
	for _, l := range losses {
		r.losses.saved[l] = true
	}
	return true
}

// saveLossesOfStopped saves the lost answers of an early run that was stopped, because another copy of
// its step was accepted.
func (m *Manager) saveLossesOfStopped(r *run) {
	ctx, cancel := context.WithTimeout(m.ctx, lossTimeout)
	defer cancel()
	r.saveLosses(ctx)
}

// commitLosses adds rows with lost answers to a step. It expects only that the step exists: what an
// earlier owner or another copy of the step knows holds too.
func (m *Manager) commitLosses(ctx context.Context, rec stateRecord, losses []loss) error {
	chunks, err := pack(losses, rowLimit)
	if err != nil {
		return err
	}
	if known, ok := m.lookUp(rec.ID); ok {
		rec = known
	}
	if rec.version == 0 {
		return errors.WithStack(&fault.StepUnknown{Step: rec.ID})
	}
	var puts []rowstore.Put
	var expected []rowstore.Expectation
	for i, chunk := range chunks {
		key := rowstore.Key{Table: stateTable, Part: rec.ID, Name: lossPrefix + uuid.NewString() + "-" + strconv.Itoa(i)}
		puts = append(puts, rowstore.Put{Key: key, Value: chunk.body})
		expected = append(expected, rowstore.Expectation{Key: key})
		m.noteLossRow(rec.ID, key.Name)
	}
	version := rec.version
	for range maxLossCommits {
		_, err = rowstore.CommitConfirmed(ctx, m.Store, rowstore.Txn{
			Expected: append([]rowstore.Expectation{{Key: stateKey(rec.ID), Version: version}}, expected...), Puts: puts,
		})
		var conflict *rowstore.Conflict
		if !errors.As(err, &conflict) {
			return err
		}
		if version = conflict.Row(stateKey(rec.ID)).Version; version == 0 {
			return errors.WithStack(&fault.StepUnknown{Step: rec.ID})
		}
	}
	return err
}

// readLosses reads the lost answers of a step, which this VM may not have watched yet.
func (m *Manager) readLosses(ctx context.Context, id string) error {
	rows, err := rowstore.ReadAll(ctx, m.Store, stateTable, id)
	for _, row := range rows {
		if isLossRow(row) {
			m.observeLosses(row)
		}
	}
	return err
}

// isLossRow reports whether a row of the state table holds lost answers.
func isLossRow(row rowstore.Row) bool { return strings.HasPrefix(row.Name, lossPrefix) }

// noteLossRow notes that the content of a row of lost answers is known, and reports whether it was not.
func (m *Manager) noteLossRow(step, name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.knownLosses[step][name] {
		return false
	}
	if m.knownLosses[step] == nil {
		m.knownLosses[step] = make(map[string]bool)
	}
	m.knownLosses[step][name] = true
	return true
}

// observeLosses adds the lost answers of a row to the suspicions.
func (m *Manager) observeLosses(row rowstore.Row) {
	if row.Deleted || !m.noteLossRow(row.Part, row.Name) {
		return
	}
	var losses []loss
	if err := json.Unmarshal(row.Value, &losses); err != nil {
		m.Events.Emit(event.RowUnreadable, event.Subject{Step: row.Part, Detail: row.String()})
		return
	}
	for _, l := range losses {
		m.suspicions.Add(l.Request, l.Incarnation, time.Now())
	}
	m.notifyDispatcher()
}
