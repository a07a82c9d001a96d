package config

import (
	"context"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi"
)

const (
	contractPrefix = "contract/"
	keyPrefix      = "key/"
	// subjectPageSize is the number of contracts or keys that one scan returns at most.
	subjectPageSize = 512
	// maxSnapshotTries is the largest number of scans of all subjects while edits are
	// committed at the same time.
	maxSnapshotTries = 4
)

// readHead reads the newest accepted revision.
func readHead(ctx context.Context, tables platformapi.Tables) (head, error) {
	var newest head
	row, err := tables.Get(ctx, headKey)
	if err != nil {
		return newest, err
	}
	err = row.Decode(&newest)
	return newest, err
}

// readSnapshot reads all contracts and keys. It returns nil if an edit was committed during
// each of its tries. The scans are not one transaction: a page may contain an edit that an
// earlier page lacks, and the snapshot would mix two revisions, for example contain a key
// without the contract that was written before it. Every edit increments the head's
// revision, so if the head is the same before and after the scans, they read one revision.
func readSnapshot(ctx context.Context, tables platformapi.Tables) (*contract.Snapshot, error) {
	before, err := readHead(ctx, tables)
	if err != nil {
		return nil, err
	}
	for range maxSnapshotTries {
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
	snapshot := contract.EmptySnapshot()
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
		rows, err := tables.Scan(ctx, prefix, after, subjectPageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			var subject contract.Subject
			if err := row.Decode(&subject); err != nil {
				return err
			}
			addSubject(snapshot, subject)
			after = row.Key
		}
		if len(rows) < subjectPageSize {
			return nil
		}
	}
}

func addSubject(snapshot *contract.Snapshot, subject contract.Subject) {
	if subject.Contract != nil {
		snapshot.Contracts[subject.Contract.Account] = *subject.Contract
	}
	if subject.Key != nil {
		snapshot.Keys[subject.Key.ID] = *subject.Key
	}
}
