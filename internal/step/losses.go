package step

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/poison"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
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
	target.Incarnation
	// Survived takes an earlier loss back: the incarnation still ran afterwards, or the item is complete.
	Survived bool `json:"survived,omitempty"`
}

// lossWriter remembers which lost answers of a run's items the store has.
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

// requestsOf returns the identities of an item and of its score call, if it has one.
func (r *run) requestsOf(i int) []poison.Request {
	if r.items[i].Score == nil {
		return []poison.Request{r.request(i)}
	}
	return []poison.Request{r.request(i), r.scoreRequest(i)}
}

// noteSavedLosses records that the store has the lost answers that this VM knows of the run's items. It
// must be called before items start.
func (r *run) noteSavedLosses() {
	if r.m.suspicions.Empty() {
		return
	}
	for i := range r.items {
		for _, request := range r.requestsOf(i) {
			for _, incarnation := range r.m.suspicions.Suspects(request) {
				r.losses.saved[loss{Request: request, Incarnation: incarnation}] = true
			}
		}
	}
}

// unsavedLosses returns the lost answers of unfinished items that the store lacks, and those that it has
// and that are to be taken back.
func (r *run) unsavedLosses() []loss {
	var losses []loss
	for l := range r.losses.saved {
		if !r.m.suspicions.Has(l.Request, l.Incarnation) {
			l.Survived = true
			losses = append(losses, l)
		}
	}
	for i := range r.items {
		if r.phase(i) == phaseDone {
			continue
		}
		for _, request := range r.requestsOf(i) {
			for _, incarnation := range r.m.suspicions.Suspects(request) {
				if l := (loss{Request: request, Incarnation: incarnation}); !r.losses.saved[l] {
					losses = append(losses, l)
				}
			}
		}
	}
	return losses
}

// saveLosses brings the lost answers that the store has up to date, and reports whether it did.
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
		if l.Survived {
			l.Survived = false
			delete(r.losses.saved, l)
			continue
		}
		r.losses.saved[l] = true
	}
	return true
}

// saveLossesLoop saves lost answers at once, until the run ends, and then once more: the trainer may
// submit the items of an incomplete group again.
func (r *run) saveLossesLoop() {
	if !r.awaitAcceptance() {
		return
	}
	for ended := false; !ended; {
		select {
		case <-r.ctx.Done():
			ended = true
		case <-r.losses.signalCh:
			// The items of an engine lose their answers at the same moment.
			wait.For(r.ctx, dispatchBatchDelay)
		}
		ctx, cancel := context.WithTimeout(r.m.ctx, lossTimeout)
		saved := r.saveLosses(ctx)
		cancel()
		if !saved {
			wait.For(r.ctx, refusedCommitBackoff)
			r.losses.signal()
		}
	}
}

// awaitAcceptance waits until the run is accepted, and returns false if it ends before.
func (r *run) awaitAcceptance() bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-r.acceptedCh:
		return true
	}
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
	m.observeLossRows(rows)
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

// observeLossRows observes the rows of lost answers among rows, in the order in which they were written.
func (m *Manager) observeLossRows(rows []rowstore.Row) {
	rows = slices.DeleteFunc(slices.Clone(rows), func(row rowstore.Row) bool { return !isLossRow(row) })
	slices.SortFunc(rows, func(a, b rowstore.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, row := range rows {
		m.observeLosses(row)
	}
}

// observeLosses adds the lost answers of a row to the suspicions, or takes them back.
func (m *Manager) observeLosses(row rowstore.Row) {
	m.lossRowsMu.Lock()
	defer m.lossRowsMu.Unlock()
	if row.Deleted || !m.noteLossRow(row.Part, row.Name) {
		return
	}
	var losses []loss
	if err := json.Unmarshal(row.Value, &losses); err != nil {
		m.Events.Emit(event.RowUnreadable, event.Subject{Step: row.Part, Detail: row.String()})
		return
	}
	for _, l := range losses {
		if l.Survived {
			m.suspicions.Remove(l.Request, l.Incarnation)
		} else {
			m.suspicions.Add(l.Request, l.Incarnation, time.Now())
		}
	}
	m.notifyDispatcher()
}
