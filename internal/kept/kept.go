// Package kept is the port of the partitioned table service, in which everything
// lies that must outlast a process: steps and their results, members, leases,
// usage. A transaction stays inside one partition; the code that uses the port
// chooses partitions so that unrelated work does not wait for each other.
package kept

import (
	"context"
	"fmt"
	"time"

	"dogwoodpond/internal/fault"
)

// Key names one row.
type Key struct {
	// Table and Part name the partition; Part may be empty.
	Table, Part string
	// Name orders the rows of a partition.
	Name string
}

// String returns the key for logs and messages.
func (k Key) String() string { return k.Table + "/" + k.Part + "/" + k.Name }

// Row is one row at one version.
type Row struct {
	Key
	Value []byte
	// Version comes from one counter over the whole store; it never repeats.
	// 0 means that the row is absent.
	Version int64
	// Deleted marks a removed row in a page of changes.
	Deleted bool
}

// Expectation demands that a row is at Version; 0 demands that it is absent.
type Expectation struct {
	Key     Key
	Version int64
}

// Put sets a row.
type Put struct {
	Key   Key
	Value []byte
}

// Txn is one transaction: all expectations hold and all writes take effect, or
// nothing does. All keys share a partition name, in any tables.
type Txn struct {
	Expected []Expectation
	Puts     []Put
	Removes  []Key
}

// Page is an answer of reads and changes.
type Page struct {
	Rows []Row
	// More tells that the limit cut the page.
	More bool
	// Version is the newest version of the whole store at the time of the read.
	Version int64
}

// Conflict reports that an expectation of a transaction did not hold. Nothing
// was written by that call.
type Conflict struct {
	// Current are the rows that the transaction expected, as they are.
	Current []Row
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("transaction refused: %d expected rows have moved on", len(c.Current))
}

// Code implements fault.Failure.
func (*Conflict) Code() fault.Code { return fault.CodePreconditionFailed }

// Row returns the current row under a key; an absent row has version 0.
func (c *Conflict) Row(key Key) Row {
	for _, row := range c.Current {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// HistoryGone reports that the changes after a version are not kept any more;
// the reader has to read the rows anew.
type HistoryGone struct {
	Table string
	After int64
}

func (h *HistoryGone) Error() string {
	return fmt.Sprintf("changes of table %s after version %d are gone", h.Table, h.After)
}

// Code implements fault.Failure.
func (*HistoryGone) Code() fault.Code { return fault.CodeRevisionGap }

// Store is the partitioned table service. Every method fails with
// *fault.StoreUnavailable when the store gave no usable answer; EffectUnknown is
// then true for a commit that may have taken effect or may do so later.
// Implementations are safe for concurrent use.
type Store interface {
	// Commit runs a transaction and returns the version of the rows written. It
	// fails with *Conflict when an expectation did not hold.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Read returns the rows of a partition with from <= name < to, in the order
	// of their names; an empty to is no bound.
	Read(ctx context.Context, table, part, from, to string) (Page, error)
	// Parts returns the names of a table's partitions that come after a name.
	Parts(ctx context.Context, table, after string) (parts []string, more bool, err error)
	// Changes returns the rows of a table that changed after a version, as soon
	// as there is one, or none when wait is over. It fails with *HistoryGone.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// PutObject stores an object once; a repeat is harmless.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns an object or fails with *fault.ObjectUnknown.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DropObject removes an object; an absent one is no failure.
	DropObject(ctx context.Context, name string) error
}

// Clock tells the store's steady clock.
type Clock interface {
	// StoreNow estimates the store's steady clock in milliseconds; ok is false
	// until the store has answered once.
	StoreNow() (millis int64, ok bool)
}
