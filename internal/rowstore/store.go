// Package rowstore is the port to the platform's partitioned table service, the store. The
// store holds all state that has to outlive a process: steps and their results, members,
// leases and usage. A transaction stays inside one partition; the callers choose
// partitions so that unrelated transactions do not contend.
package rowstore

import (
	"context"
	"fmt"
	"time"

	"dogwoodpond/internal/fault"
)

// Key identifies one row.
type Key struct {
	// Table and Part identify the partition; Part may be empty.
	Table, Part string
	// Name identifies the row in its partition. The rows of a partition are sorted by it.
	Name string
}

// String returns the key for logs and messages.
func (k Key) String() string { return k.Table + "/" + k.Part + "/" + k.Name }

// Row is one row at one version.
type Row struct {
	Key
	Value []byte
	// Version is the number of the transaction that wrote the row. It comes from one
	// counter over the whole store, which never repeats a number. 0 means that the row
	// is absent.
	Version int64
	// Deleted marks a deleted row in a page of changes.
	Deleted bool
}

// Expectation is a precondition of a transaction: the row is at Version, or absent if
// Version is 0.
type Expectation struct {
	Key     Key
	Version int64
}

// Put writes a row.
type Put struct {
	Key   Key
	Value []byte
}

// Txn is one atomic transaction. If all expectations hold, all puts and deletes take
// effect; otherwise none does. All keys have the same Part, in any tables.
type Txn struct {
	Expected []Expectation
	Puts     []Put
	Deletes  []Key
}

// Page is the result of Store.Read or Store.Changes.
type Page struct {
	Rows []Row
	// More is true if a limit of the store cut the page short.
	More bool
	// Version is the newest version of the whole store at the time of the read.
	Version int64
}

// Conflict reports that an expectation of a transaction did not hold. The refused call
// has written nothing.
type Conflict struct {
	// Current holds the present rows with the expected keys. Absent rows may be left out.
	Current []Row
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("transaction refused: an expected row is at another version; the store returned %d current rows", len(c.Current))
}

// Code implements fault.Failure.
func (*Conflict) Code() fault.Code { return fault.CodePreconditionFailed }

// Row returns the current row with the given key, with version 0 if it is absent.
func (c *Conflict) Row(key Key) Row {
	for _, row := range c.Current {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// HistoryTruncated reports that the store no longer has all changes of a table after a version.
// The reader has to read all rows again.
type HistoryTruncated struct {
	Table string
	After int64
}

func (h *HistoryTruncated) Error() string {
	return fmt.Sprintf("the store no longer has all changes of table %s after version %d", h.Table, h.After)
}

// Code implements fault.Failure.
func (*HistoryTruncated) Code() fault.Code { return fault.CodeRevisionGap }

// Store is the partitioned table service. Every method fails with
// *fault.StoreUnavailable if the store gave no usable answer; for a commit, EffectUnknown
// is then true if the transaction may have taken effect or may still do so.
// Implementations are safe for concurrent use.
type Store interface {
	// Commit runs a transaction and returns the version of the rows written. It
	// fails with *Conflict if an expectation did not hold.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Read returns the rows of a partition with from <= name < to, sorted by name. An
	// empty to sets no upper bound.
	Read(ctx context.Context, table, partition, from, to string) (Page, error)
	// Parts returns the names of a table's partitions that sort after the given name.
	// more is true if there are further ones.
	Parts(ctx context.Context, table, after string) (partitions []string, more bool, err error)
	// Changes returns the rows of a table that changed after a version. It is a long
	// poll: it returns as soon as there is a change, or without rows after wait. It
	// fails with *HistoryTruncated if the store no longer has all these changes.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// PutObject stores an object once; repeating the call is harmless.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns an object or fails with *fault.ObjectUnknown.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject deletes an object. It succeeds if the object is absent.
	DeleteObject(ctx context.Context, name string) error
}

// Clock reads the store's monotonic clock.
type Clock interface {
	// StoreNow returns an estimate of the store's monotonic clock in milliseconds. ok
	// is false until the store has answered a call.
	StoreNow() (millis int64, ok bool)
}
