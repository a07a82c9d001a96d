package rowstore

import (
	"context"

	"github.com/cockroachdb/errors"
)

// maxOwnRowTries is the largest number of tries of one write of an OwnRow. The second follows the
// late effect of an earlier write, and the first write of a process that has restarted.
const maxOwnRowTries = 3

// OwnRow is a row that one process at a time writes. A write expects the version that it replaces, so
// that an earlier write without an answer has no effect after a later one. OwnRow is not safe for
// concurrent use.
type OwnRow struct {
	// version is the version of the row as far as this process knows, 0 if it knows none.
	version int64
}

// Write replaces the row.
func (r *OwnRow) Write(ctx context.Context, store Store, key Key, value []byte) (err error) {
	for range maxOwnRowTries {
		var version int64
		version, err = store.Commit(ctx, Txn{
			Expected: []Expectation{{Key: key, Version: r.version}},
			Puts:     []Put{{Key: key, Value: value}},
		})
		if err == nil {
			r.version = version
			return nil
		}
		var conflict *Conflict
		if !errors.As(err, &conflict) {
			return err
		}
		r.version = conflict.Row(key).Version
	}
	return err
}
