// Package usagewindow counts the requests of client accounts in usage windows and reports
// each window to billing. Windows are intervals of fleet time, which is the same on
// all VMs (see FleetClock). Every VM writes its own totals of a window to a row of its own.
// The holder of a lease adds the totals up, stores the sum, the final counts of the window,
// in another row, which never changes, and only then reports it. A repeated report
// therefore has the same counts, also when another VM sends it.
package usagewindow

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
)

// The tables and row names of usage. totalsTable has one partition per window with
// the totals of each VM; reportTable has the final counts; clockTable has the row of
// the fleet's clock.
const (
	totalsTable = "usage"
	reportTable = "usage_report"
	clockTable  = "usage_clock"
	clockName   = "offset"
)

// FleetClock returns fleet time: the store's monotonic clock plus an offset that is the
// same on all VMs. The first VM that starts sets the offset by its time of day, once for
// the fleet. A VM's own clocks are not used because its time of day may jump by seconds,
// and its monotonic clock loses time while the VM is frozen; requests would then be
// counted in the wrong windows.
type FleetClock struct {
	store       rowstore.Clock
	offset      atomic.Int64
	offsetSetAt atomic.Int64
	hasOffset   atomic.Bool
}

// clockRow is the value of the row of the fleet's clock.
type clockRow struct {
	// Offset is fleet time minus the store's clock, in milliseconds.
	Offset int64 `json:"offset"`
	// Since is the fleet time at which the offset was set, in Unix milliseconds.
	Since int64 `json:"since"`
}

// NewFleetClock returns a clock that uses this VM's time of day until SyncOffset succeeds.
func NewFleetClock(store rowstore.Clock) *FleetClock { return &FleetClock{store: store} }

// SyncOffset reads the fleet's offset from the store, or sets it if there is none yet.
func (c *FleetClock) SyncOffset(ctx context.Context, store rowstore.Store) error {
	key := rowstore.Key{Table: clockTable, Name: clockName}
	page, err := store.Read(ctx, clockTable, "", clockName, "")
	if err != nil {
		return err
	}
	if len(page.Rows) > 0 {
		return c.applyRow(page.Rows[0])
	}
	now, _ := c.store.StoreNow()
	since := time.Now().UnixMilli()
	first := clockRow{Offset: since - now, Since: since}
	value, err := json.Marshal(first)
	if err != nil {
		return err
	}
	_, err = rowstore.CommitConfirmed(ctx, store, rowstore.Txn{
		Expected: []rowstore.Expectation{{Key: key}},
		Puts:     []rowstore.Put{{Key: key, Value: value}},
	})
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		return c.applyRow(conflict.Row(key))
	}
	if err == nil {
		c.set(first)
	}
	return err
}

func (c *FleetClock) applyRow(row rowstore.Row) error {
	var value clockRow
	// Earlier releases stored the offset alone, as a number.
	if json.Unmarshal(row.Value, &value.Offset) != nil {
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return errors.WithStack(&fault.Internal{Where: "row " + row.String()})
		}
	}
	c.set(value)
	return nil
}

func (c *FleetClock) set(value clockRow) {
	c.offset.Store(value.Offset)
	c.offsetSetAt.Store(value.Since)
	c.hasOffset.Store(true)
}

// OffsetSetAt returns the fleet time at which the offset was set, in Unix milliseconds. It
// returns 0 until SyncOffset succeeds, and if an earlier release stored the offset.
func (c *FleetClock) OffsetSetAt() int64 { return c.offsetSetAt.Load() }

// HasOffset reports whether the fleet's offset is known.
func (c *FleetClock) HasOffset() bool { return c.hasOffset.Load() }

// FleetMillis converts at, a reading of this VM's clock, to fleet time in Unix
// milliseconds. Until SyncOffset succeeds, it returns the VM's time of day.
func (c *FleetClock) FleetMillis(at time.Time) int64 {
	if now, ok := c.store.StoreNow(); ok && c.hasOffset.Load() {
		return now + c.offset.Load() - time.Since(at).Milliseconds()
	}
	return at.UnixMilli()
}
