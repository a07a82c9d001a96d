package config

import (
	"context"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi"
)

const (
	contractPrefix = "contract/"
	keyPrefix      = "key/"
	// subjectPage is how many contracts or keys are read at once.
	subjectPage = 512
	// snapshotTries bounds how often a snapshot is read again when edits race.
	snapshotTries = 4
)

// readHead returns the newest accepted revision.
func readHead(ctx context.Context, tables platformapi.Tables) (head, error) {
	var at head
	row, err := tables.Get(ctx, headKey)
	if err != nil {
		return at, err
	}
	err = row.Decode(&at)
	return at, err
}

// readSnapshot reads all contracts and keys, or nil when edits kept racing with
// it. Scans are not one transaction: a page may hold an edit that an earlier
// page lacks, and the snapshot would mix two revisions, for example the grant
// of a key without the contract that was made before. But every edit moves the
// head, so a head that stands still over all scans shows that they saw one
// state.
func readSnapshot(ctx context.Context, tables platformapi.Tables) (*contract.Snapshot, error) {
	before, err := readHead(ctx, tables)
	if err != nil {
		return nil, err
	}
	for range snapshotTries {
		snapshot, err := scanSubjects(ctx, tables)
		if err != nil {
			return nil, err
		}
		after, err := readHead(ctx, tables)
		if err != nil {
			return nil, err
		}
		if before == after {
			snapshot.Revision = after.Revision
			return snapshot, nil
		}
		before = after
	}
	return nil, nil
}

func scanSubjects(ctx context.Context, tables platformapi.Tables) (*contract.Snapshot, error) {
	snapshot := contract.Empty()
	for _, prefix := range []string{contractPrefix, keyPrefix} {
		if err := scanInto(ctx, tables, prefix, snapshot); err != nil {
			return nil, err
		}
	}
	return snapshot, nil
}

func scanInto(ctx context.Context, tables platformapi.Tables, prefix string, snapshot *contract.Snapshot) error {
	after := ""
	for {
		rows, err := tables.Scan(ctx, prefix, after, subjectPage)
		if err != nil {
			return err
		}
		for _, row := range rows {
			var subject contract.Subject
			if err := row.Decode(&subject); err != nil {
				return err
			}
			add(snapshot, subject)
			after = row.Key
		}
		if len(rows) < subjectPage {
			return nil
		}
	}
}

func add(snapshot *contract.Snapshot, subject contract.Subject) {
	if subject.Contract != nil {
		snapshot.Contracts[subject.Contract.Account] = *subject.Contract
	}
	if subject.Key != nil {
		snapshot.Keys[subject.Key.ID] = *subject.Key
	}
}
