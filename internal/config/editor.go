package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/wait"
)

// Editor commits edits. It is safe for concurrent use, also by several VMs.
type Editor struct {
	tables platformapi.Tables
	now    func() time.Time
	events *event.Recorder
}

// NewEditor returns an editor; now gives the wall time that the history shows.
func NewEditor(tables platformapi.Tables, now func() time.Time, events *event.Recorder) *Editor {
	return &Editor{tables: tables, now: now, events: events}
}

const (
	// editTries bounds how often an edit is tried again when other edits win
	// or the store does not answer.
	editTries = 16
	// silentTries bounds how many of these tries end without an answer.
	silentTries = 2
	// raceWait bounds the pause before the next try. It is random, so that
	// racing editors don't meet again.
	raceWait = 50 * time.Millisecond
)

// Apply commits an edit and returns its log entry. A repeat of an accepted edit
// returns the first entry. It fails with *fault.EditInvalid,
// *fault.EditConflict or *fault.StoreUnavailable; after the last the operator
// repeats it with the same ID.
func (e *Editor) Apply(ctx context.Context, edit contract.Edit) (contract.Entry, error) {
	if err := edit.Check(); err != nil {
		return contract.Entry{}, err
	}
	var last error
	silent := 0
	for range editTries {
		entry, err := e.try(ctx, edit)
		if err == nil {
			return entry, nil
		}
		last = err
		switch {
		case fault.Is[*fault.PreconditionFailed](err):
		case fault.Is[*fault.StoreUnavailable](err) && silent < silentTries:
			// The next try finds this one's entry by the edit's ID if it took
			// effect, and its own commit fails if it does so later.
			silent++
		default:
			return contract.Entry{}, err
		}
		if !wait.For(ctx, rand.N(raceWait)) {
			break
		}
	}
	return contract.Entry{}, last
}

// try runs one transaction. It fails with *fault.PreconditionFailed when
// another edit was committed meanwhile.
func (e *Editor) try(ctx context.Context, edit contract.Edit) (contract.Entry, error) {
	editRow, err := e.tables.Get(ctx, editKeys+edit.ID)
	if err != nil {
		return contract.Entry{}, err
	}
	if editRow.Exists() {
		return repeated(edit, editRow)
	}
	subjectRow, err := e.tables.Get(ctx, edit.SubjectName())
	if err != nil {
		return contract.Entry{}, err
	}
	if err := checkBase(edit, subjectRow); err != nil {
		return contract.Entry{}, err
	}
	headRow, err := e.tables.Get(ctx, headKey)
	if err != nil {
		return contract.Entry{}, err
	}
	return e.commit(ctx, edit, subjectRow, headRow)
}

// repeated returns the entry of an edit that was accepted before.
func repeated(edit contract.Edit, row platformapi.Row) (contract.Entry, error) {
	var accepted contract.Entry
	if err := row.Decode(&accepted); err != nil {
		return contract.Entry{}, err
	}
	if !edit.Accepts(accepted) {
		return contract.Entry{}, errors.WithStack(&fault.EditInvalid{Field: "id", Problem: "was used for another edit"})
	}
	return accepted, nil
}

// checkBase refuses an edit when its contract or key changed after the revision
// that the operator saw, so that no operator overwrites another's edit unseen.
func checkBase(edit contract.Edit, row platformapi.Row) error {
	var current contract.Subject
	if err := row.Decode(&current); err != nil {
		return err
	}
	if current.Revision != edit.Base {
		return errors.WithStack(&fault.EditConflict{
			Subject: edit.SubjectName(),
			Base:    uint64(edit.Base),
			Current: uint64(current.Revision),
		})
	}
	return nil
}

func (e *Editor) commit(ctx context.Context, edit contract.Edit, subjectRow, headRow platformapi.Row) (contract.Entry, error) {
	var at head
	if err := headRow.Decode(&at); err != nil {
		return contract.Entry{}, err
	}
	entry := contract.Entry{
		Revision: at.Revision + 1,
		EditID:   edit.ID,
		Kind:     edit.Kind,
		Who:      edit.Who,
		When:     e.now().UTC(),
		Contract: edit.Contract,
		Key:      edit.Key,
	}
	changed := contract.Subject{Revision: entry.Revision, Contract: edit.Contract, Key: edit.Key}
	txn := platformapi.Txn{
		Nonce: platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{
			{Key: editKeys + edit.ID},
			{Key: headKey, Version: headRow.Version},
			{Key: subjectRow.Key, Version: subjectRow.Version},
		},
		Writes: []platformapi.Write{
			{Key: editKeys + edit.ID, Value: platformapi.EncodeValue(entry)},
			{Key: headKey, Value: platformapi.EncodeValue(head{Revision: entry.Revision})},
			{Key: logKey(entry.Revision), Value: platformapi.EncodeValue(entry)},
			{Key: subjectRow.Key, Value: platformapi.EncodeValue(changed)},
		},
	}
	if err := platformapi.CommitConfirmed(ctx, e.tables, txn); err != nil {
		return contract.Entry{}, err
	}
	e.events.Emit(event.EditAccepted, event.Subject{Revision: uint64(entry.Revision), Detail: edit.SubjectName()})
	return entry, nil
}

// Subject returns the contract or key with the name, straight from the store.
func (e *Editor) Subject(ctx context.Context, name string) (contract.Subject, error) {
	var found contract.Subject
	row, err := e.tables.Get(ctx, name)
	if err != nil {
		return found, err
	}
	err = row.Decode(&found)
	return found, err
}

// History returns up to limit accepted edits after a revision, in order.
func (e *Editor) History(ctx context.Context, after contract.Revision, limit int) ([]contract.Entry, error) {
	rows, err := e.tables.Scan(ctx, logPrefix, logKey(after), limit)
	if err != nil {
		return nil, err
	}
	entries := make([]contract.Entry, 0, len(rows))
	for _, row := range rows {
		var entry contract.Entry
		if err := row.Decode(&entry); err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
