package usage

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/platformapi"
)

// Closer closes windows and hands their reports to billing. At most one runs at
// a time under a lease; two at once could still not insert different reports,
// since the rows forbid it.
type Closer struct {
	tables  platformapi.Tables
	billing platformapi.Billing
	events  *event.Recorder
	config  CloserConfig
	// silence remembers when each unsealed row was last seen to change.
	silence map[string]sighting
	// closing is the window that silence is about.
	closing Window
}

// CloserConfig shapes a Closer.
type CloserConfig struct {
	// Length is the length of a window.
	Length time.Duration
	// Now returns the wall time; it decides when a window is over.
	Now func() time.Time
	// Elapsed returns a monotonic time; it decides how long a row was silent.
	Elapsed func() time.Duration
	// Grace is how long after a window's end its closing starts.
	Grace time.Duration
	// DeadAfter is how long a row of a VM that is not listed must be silent
	// before it counts as dead.
	DeadAfter time.Duration
	// GiveUp is how long a listed but silent VM is waited for.
	GiveUp time.Duration
	// Accounts lists the client accounts that have a contract.
	Accounts func() []contract.Account
	// Listed reports whether the platform lists the VM as live or leaving.
	Listed func(vm string) bool
}

// sighting is the version of a row and when it was first seen.
type sighting struct {
	version uint64
	at      time.Duration
}

// NewCloser returns a closer.
func NewCloser(tables platformapi.Tables, billing platformapi.Billing, events *event.Recorder, config CloserConfig) *Closer {
	return &Closer{tables: tables, billing: billing, events: events, config: config, silence: make(map[string]sighting)}
}

// Run closes and reports windows until ctx ends or the lease is lost.
func (c *Closer) Run(ctx context.Context, guard fence.Guard, period time.Duration) {
	for ctx.Err() == nil && guard.Check() == nil {
		more, err := c.Step(ctx, guard)
		if more && err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
}

// Step takes the oldest open window one stage further. more is true when
// another step may follow at once.
func (c *Closer) Step(ctx context.Context, guard fence.Guard) (more bool, err error) {
	cursor, at, err := readCursor(ctx, c.tables)
	if err != nil {
		return false, err
	}
	window, due, err := c.next(ctx, cursor)
	if err != nil || !due {
		return false, err
	}
	if cursor.Floor <= window {
		cursor.Floor = window + 1
		return true, c.setCursor(ctx, cursor, at)
	}
	row, err := c.tables.Get(ctx, windowKey(window))
	if err != nil {
		return false, err
	}
	var stage windowRow
	if row.Exists() {
		if err := row.Decode(&stage); err != nil {
			return false, err
		}
	}
	switch stage.Phase {
	case "":
		return c.close(ctx, window, row)
	case phaseClosed:
		return true, c.report(ctx, guard, window, row)
	default:
		return true, c.pass(ctx, cursor, at, window)
	}
}

// next returns the oldest window that may not be reported yet. due is false
// when there is none or it is not over.
func (c *Closer) next(ctx context.Context, cursor cursorRow) (w Window, due bool, err error) {
	first, err := c.tables.Scan(ctx, rowPrefix, windowRows(cursor.Next), 1)
	if err != nil || len(first) == 0 {
		return 0, false, err
	}
	w, ok := windowOf(first[0].Key)
	if !ok {
		return 0, false, errors.WithStack(&fault.Internal{Where: "row " + first[0].Key})
	}
	end := time.Unix(0, int64(w+1)*int64(c.config.Length))
	return w, c.config.Now().After(end.Add(c.config.Grace)), nil
}

func (c *Closer) setCursor(ctx context.Context, cursor cursorRow, at platformapi.Row) error {
	return platformapi.CommitConfirmed(ctx, c.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: cursorKey, Version: at.Version}},
		Writes:        []platformapi.Write{{Key: cursorKey, Value: platformapi.EncodeValue(cursor)}},
	})
}

// pass goes on to the window behind a reported one and sweeps rows that are
// old enough.
func (c *Closer) pass(ctx context.Context, cursor cursorRow, at platformapi.Row, w Window) error {
	cursor.Next = w + 1
	swept, err := c.sweep(ctx, cursor)
	if err != nil {
		return err
	}
	cursor.Swept = swept
	return c.setCursor(ctx, cursor, at)
}

const (
	// retention is how long the rows of VMs are kept behind their reports. A VM
	// whose write is under way for longer loses what its row lacked.
	retention = 24 * time.Hour
	// sweepBatch bounds the deletions of one transaction.
	sweepBatch = 128
)

// sweep deletes a batch of rows behind the retention and returns how far it is.
func (c *Closer) sweep(ctx context.Context, cursor cursorRow) (Window, error) {
	end := cursor.Next - Window(retention/c.config.Length)
	rows, err := c.tables.Scan(ctx, rowPrefix, windowRows(cursor.Swept), sweepBatch)
	if err != nil {
		return cursor.Swept, err
	}
	txn := platformapi.Txn{Nonce: platformapi.NewNonce()}
	for _, row := range rows {
		if w, ok := windowOf(row.Key); !ok || w >= end {
			break
		}
		txn.Preconditions = append(txn.Preconditions, platformapi.Precondition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platformapi.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return max(cursor.Swept, end), nil
	}
	return cursor.Swept, c.tables.Commit(ctx, txn)
}

const scanPage = 512

// scan returns all rows with a prefix.
func scan(ctx context.Context, tables platformapi.Tables, prefix string) ([]platformapi.Row, error) {
	var all []platformapi.Row
	after := prefix
	for {
		page, err := tables.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < scanPage {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

// close inserts the reports once every row is final or its VM is dead. It
// reports false while it has to wait.
func (c *Closer) close(ctx context.Context, w Window, windowAt platformapi.Row) (bool, error) {
	kept, err := scan(ctx, c.tables, windowRows(w))
	if err != nil {
		return false, err
	}
	if c.closing != w {
		c.closing = w
		c.silence = make(map[string]sighting)
	}
	rows := make([]Row, len(kept))
	for i, row := range kept {
		if err := row.Decode(&rows[i]); err != nil {
			return false, err
		}
	}
	if c.waits(kept, rows) {
		return false, nil
	}
	return true, c.insert(ctx, w, windowAt, kept, rows)
}

// waits reports whether some row may still be sealed by its VM.
func (c *Closer) waits(kept []platformapi.Row, rows []Row) bool {
	waiting := false
	for i, row := range kept {
		if !rows[i].final() && !c.dead(row, rows[i], rows) {
			waiting = true
		}
	}
	return waiting
}

// dead reports whether an unsealed row's VM counts as dead. Being wrong costs a
// correction in a later window, never a wrong figure.
func (c *Closer) dead(row platformapi.Row, r Row, all []Row) bool {
	now := c.config.Elapsed()
	seen, ok := c.silence[row.Key]
	if !ok || seen.version != row.Version {
		c.silence[row.Key] = sighting{version: row.Version, at: now}
		return false
	}
	silent := now - seen.at
	if !c.config.Listed(r.VM) || replaced(r, all) {
		return silent >= c.config.DeadAfter
	}
	return silent >= c.config.GiveUp
}

// replaced reports whether a later incarnation of the VM has a row, too: a VM
// has one process at a time, so a second row means that the first one died.
func replaced(r Row, all []Row) bool {
	for _, other := range all {
		if other.VM == r.VM && other.Incarnation != r.Incarnation {
			return true
		}
	}
	return false
}

// insert closes the window: all rows as they were read, or nothing.
func (c *Closer) insert(ctx context.Context, w Window, windowAt platformapi.Row, kept []platformapi.Row, rows []Row) error {
	txn := platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: windowAt.Key, Version: windowAt.Version}},
		Writes:        []platformapi.Write{{Key: windowAt.Key, Value: platformapi.EncodeValue(windowRow{Phase: phaseClosed})}},
	}
	for i, row := range kept {
		txn.Preconditions = append(txn.Preconditions, platformapi.Precondition{Key: row.Key, Version: row.Version})
		if !rows[i].final() {
			closed := rows[i]
			closed.Closed = true
			txn.Writes = append(txn.Writes, platformapi.Write{Key: row.Key, Value: platformapi.EncodeValue(closed)})
		}
	}
	for _, report := range Reports(w, rows, c.config.Accounts()) {
		key := reportKey(w, report.Account)
		txn.Preconditions = append(txn.Preconditions, platformapi.Precondition{Key: key})
		txn.Writes = append(txn.Writes, platformapi.Write{Key: key, Value: platformapi.EncodeValue(report)})
	}
	return platformapi.CommitConfirmed(ctx, c.tables, txn)
}

// report hands every report row of the window to billing, exactly as inserted.
// A repeat after a lost reply or by a successor sends the same figures.
func (c *Closer) report(ctx context.Context, guard fence.Guard, w Window, windowAt platformapi.Row) error {
	kept, err := scan(ctx, c.tables, reportPrefix(w))
	if err != nil {
		return err
	}
	for _, row := range kept {
		var r Report
		if err := row.Decode(&r); err != nil {
			return err
		}
		if err := c.send(ctx, guard, r); err != nil {
			return err
		}
	}
	return platformapi.CommitConfirmed(ctx, c.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: windowAt.Key, Version: windowAt.Version}},
		Writes:        []platformapi.Write{{Key: windowAt.Key, Value: platformapi.EncodeValue(windowRow{Phase: phaseReported})}},
	})
}

// send asks the lease directly before the report goes out, since the process
// may have been paused since the last question.
func (c *Closer) send(ctx context.Context, guard fence.Guard, r Report) error {
	if err := guard.Check(); err != nil {
		return err
	}
	start := int64(r.Window) * int64(c.config.Length/time.Second)
	err := c.billing.Report(fence.WithGuard(ctx, guard), platformapi.UsageReport{
		Window:             start,
		Account:            string(r.Account),
		Requests:           r.Figures.Requests,
		Tokens:             r.Figures.Tokens,
		CorrectionRequests: r.Corrections.Requests,
		CorrectionTokens:   r.Corrections.Tokens,
		Incomplete:         r.Incomplete,
		Epoch:              guard.Epoch(),
	})
	if err != nil {
		return err
	}
	subject := event.Subject{Account: string(r.Account), Epoch: guard.Epoch(), Count: start}
	if r.Incomplete {
		c.events.Emit(event.UsageIncomplete, subject)
	}
	if r.Corrections != (Figures{}) {
		subject.Detail = event.DetailCorrected
	}
	c.events.Emit(event.UsageReported, subject)
	return nil
}
