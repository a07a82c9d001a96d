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

// Editor commits edits of contracts and keys. Editors are safe for concurrent use, also on
// several VMs.
type Editor struct {
	tables platformapi.Tables
	now    func() time.Time
	events *event.Recorder
}

// NewEditor returns an editor; now returns the wall time that is recorded in the history.
func NewEditor(tables platformapi.Tables, now func() time.Time, events *event.Recorder) *Editor {
	return &Editor{tables: tables, now: now, events: events}
}

const (
	// maxEditTries is the largest number of tries of an edit, which is retried when another
	// edit was committed first or the store does not answer.
	maxEditTries = 16
	// maxUnansweredRetries is the largest number of retries after the store did not
	// answer.
	maxUnansweredRetries = 2
	// maxEditBackoff is the longest backoff before a retry. The backoff is random, so that
	// editors that conflicted don't conflict again.
	maxEditBackoff = 50 * time.Millisecond
)

// Apply commits an edit and returns its log entry. If the edit was accepted before, it
// returns the entry of that time. It fails with *fault.EditInvalid, *fault.EditConflict or
// *fault.StoreUnavailable, and with *fault.PreconditionFailed if other edits were committed
// first in all tries. After *fault.StoreUnavailable the outcome may be unknown, and the
// operator retries with the same edit ID.
func (e *Editor) Apply(ctx context.Context, edit contract.Edit) (contract.Entry, error) {
	if err := edit.Validate(); err != nil {
		return contract.Entry{}, err
	}
	var last error
	unanswered := 0
	for range maxEditTries {
		entry, err := e.applyOnce(ctx, edit)
		if err == nil {
			return entry, nil
		}
		last = err
		switch {
		case fault.Is[*fault.PreconditionFailed](err):
		case fault.Is[*fault.StoreUnavailable](err) && unanswered < maxUnansweredRetries:
			// If this try took effect, the next one finds its entry by the edit's ID. If
			// this try takes effect later, the commit of the next one fails.
			unanswered++
		default:
			return contract.Entry{}, err
		}
		if !wait.For(ctx, rand.N(maxEditBackoff)) {
			break
		}
	}
	return contract.Entry{}, last
}

// applyOnce runs one transaction. It fails with *fault.PreconditionFailed if another edit
// was committed meanwhile.
func (e *Editor) applyOnce(ctx context.Context, edit contract.Edit) (contract.Entry, error) {
	editRow, err := e.tables.Get(ctx, editPrefix+edit.ID)
	if err != nil {
		return contract.Entry{}, err
	}
	if editRow.Exists() {
		return acceptedEntry(edit, editRow)
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

// acceptedEntry returns the entry of an edit that was accepted before. It fails with
// *fault.EditInvalid if the ID was used for a different edit.
func acceptedEntry(edit contract.Edit, row platformapi.Row) (contract.Entry, error) {
	var accepted contract.Entry
	if err := row.Decode(&accepted); err != nil {
		return contract.Entry{}, err
	}
	if !edit.MatchesEntry(accepted) {
		return contract.Entry{}, errors.WithStack(&fault.EditInvalid{Field: "id", Problem: "was used for a different edit"})
	}
	return accepted, nil
}

// checkBase fails with *fault.EditConflict if the contract or key was changed after the
// revision that the operator read, so that no operator overwrites an edit without having
// seen it.
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

// commit runs the transaction that accepts an edit as the revision after the head's.
func (e *Editor) commit(ctx context.Context, edit contract.Edit, subjectRow, headRow platformapi.Row) (contract.Entry, error) {
	var newest head
	if err := headRow.Decode(&newest); err != nil {
		return contract.Entry{}, err
	}
	entry := contract.Entry{
		Revision: newest.Revision + 1,
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
			{Key: editPrefix + edit.ID},
			{Key: headKey, Version: headRow.Version},
			{Key: subjectRow.Key, Version: subjectRow.Version},
		},
		Writes: []platformapi.Write{
			{Key: editPrefix + edit.ID, Value: platformapi.EncodeValue(entry)},
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

// Subject reads the contract or key with the name from the store.
func (e *Editor) Subject(ctx context.Context, name string) (contract.Subject, error) {
	var found contract.Subject
	row, err := e.tables.Get(ctx, name)
	if err != nil {
		return found, err
	}
	err = row.Decode(&found)
	return found, err
}

// History returns up to limit accepted edits after a revision, ordered by revision.
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
