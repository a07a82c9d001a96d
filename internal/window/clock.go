// Package window counts the use of client accounts in windows of true time and
// reports each window once. Every VM writes its own totals of a window to a row;
// the holder of a lease adds them up, fixes the sum in a row of its own, and only
// then reports it, so that a repeat by whomever sends the same figures.
package window

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
)

// The rows of usage: the totals of the VMs, one partition for each window, and
// the fixed sums.
const (
	totalsTable = "usage"
	reportTable = "usage_report"
	clockTable  = "usage_clock"
	clockName   = "offset"
)

// Clock tells true time from the store's steady clock. The time of day of a VM
// may jump by seconds, and a VM that was frozen has lost time on its own steady
// clock; then its counts would go into the wrong windows. The offset between the
// two is agreed once for the fleet, by the first VM that starts.
type Clock struct {
	store  kept.Clock
	offset atomic.Int64
	since  atomic.Int64
	agreed atomic.Bool
}

// agreement is the row of the fleet's clock.
type agreement struct {
	// Offset is what the store's clock is behind true time, in milliseconds.
	Offset int64 `json:"offset"`
	// Since is the true time of the agreement, in Unix milliseconds.
	Since int64 `json:"since"`
}

// NewClock returns a clock that goes by the time of day until Agree succeeds.
func NewClock(store kept.Clock) *Clock { return &Clock{store: store} }

// Agree takes the fleet's offset, or sets it when there is none yet.
func (c *Clock) Agree(ctx context.Context, store kept.Store) error {
	key := kept.Key{Table: clockTable, Name: clockName}
	page, err := store.Read(ctx, clockTable, "", clockName, "")
	if err != nil {
		return err
	}
	if len(page.Rows) > 0 {
		return c.take(page.Rows[0])
	}
	now, _ := c.store.StoreNow()
	since := time.Now().UnixMilli()
	first := agreement{Offset: since - now, Since: since}
	value, err := json.Marshal(first)
	if err != nil {
		return err
	}
	_, err = kept.CommitSurely(ctx, store, kept.Txn{
		Expected: []kept.Expectation{{Key: key}},
		Puts:     []kept.Put{{Key: key, Value: value}},
	})
	var conflict *kept.Conflict
	if errors.As(err, &conflict) {
		return c.take(conflict.Row(key))
	}
	if err == nil {
		c.set(first)
	}
	return err
}

func (c *Clock) take(row kept.Row) error {
	var a agreement
	// Earlier releases wrote the offset alone.
	if json.Unmarshal(row.Value, &a.Offset) != nil {
		if err := json.Unmarshal(row.Value, &a); err != nil {
			return errors.WithStack(&fault.Internal{Where: "row " + row.String()})
		}
	}
	c.set(a)
	return nil
}

func (c *Clock) set(a agreement) {
	c.offset.Store(a.Offset)
	c.since.Store(a.Since)
	c.agreed.Store(true)
}

// Since returns the true time since which the fleet counts, in Unix milliseconds; 0 when
// it is not known.
func (c *Clock) Since() int64 { return c.since.Load() }

// Agreed reports whether the clock goes by the store.
func (c *Clock) Agreed() bool { return c.agreed.Load() }

// Millis returns the true time of a moment, in Unix milliseconds.
func (c *Clock) Millis(at time.Time) int64 {
	if now, ok := c.store.StoreNow(); ok && c.agreed.Load() {
		return now + c.offset.Load() - time.Since(at).Milliseconds()
	}
	return at.UnixMilli()
}
