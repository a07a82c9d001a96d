package usage

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platformapi"
)

// Reporter closes usage windows and sends their reports to billing. A lease allows one
// reporter at a time. If two run at once, the preconditions of their transactions still
// prevent them from inserting different reports.
type Reporter struct {
	tables  platformapi.Tables
	billing platformapi.Billing
	events  *event.Recorder
	config  ReporterConfig
	// observed holds, by row key, the version of each row that is not final and when this
	// reporter first saw that version.
	observed map[string]observation
	// observedWindow is the window whose rows are in observed.
	observedWindow Window
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	// WindowLength is the length of a window.
	WindowLength time.Duration
	// Now returns the wall time; it decides when a window has ended.
	Now func() time.Time
	// Elapsed returns a monotonic time; it measures how long a row has not changed.
	Elapsed func() time.Duration
	// GracePeriod is the time between the end of a window and the start of its closing.
	GracePeriod time.Duration
	// DeadAfter is how long the row of a VM that is not listed, or that has another
	// incarnation in the window, must not change before the VM is considered dead.
	DeadAfter time.Duration
	// ListedDeadAfter is how long the row of a listed VM must not change before the VM is
	// considered dead.
	ListedDeadAfter time.Duration
	// Accounts lists the client accounts that have a contract.
	Accounts func() []contract.Account
	// IsListed reports whether the platform lists the VM as live or leaving.
	IsListed func(vm string) bool
}

// observation is the version of a row and when it was first seen.
type observation struct {
	version uint64
	since   time.Duration
}

// NewReporter returns a reporter.
func NewReporter(tables platformapi.Tables, billing platformapi.Billing, events *event.Recorder, config ReporterConfig) *Reporter {
	return &Reporter{tables: tables, billing: billing, events: events, config: config, observed: make(map[string]observation)}
}

// Run closes and reports windows until ctx ends or the lease is lost. It waits for interval
// after a failure and when nothing is due.
func (r *Reporter) Run(ctx context.Context, guard lease.Guard, interval time.Duration) {
	for ctx.Err() == nil && guard.Check() == nil {
		more, err := r.Advance(ctx, guard)
		if more && err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// Advance makes the next change to the oldest window that may not be reported yet: it raises
// the cursor's floor, closes the window, sends its reports, or moves the cursor to the
// next window. more is true if Advance may be called again at once.
func (r *Reporter) Advance(ctx context.Context, guard lease.Guard) (more bool, err error) {
	cursor, cursorRow, err := readCursor(ctx, r.tables)
	if err != nil {
		return false, err
	}
	window, due, err := r.oldestUnreported(ctx, cursor)
	if err != nil || !due {
		return false, err
	}
	if cursor.Floor <= window {
		cursor.Floor = window + 1
		return true, r.writeCursor(ctx, cursor, cursorRow)
	}
	windowRow, err := r.tables.Get(ctx, windowKey(window))
	if err != nil {
		return false, err
	}
	var state windowValue
	if windowRow.Exists() {
		if err := windowRow.Decode(&state); err != nil {
			return false, err
		}
	}
	switch state.Phase {
	case "":
		return r.close(ctx, window, windowRow)
	case phaseClosed:
		return true, r.sendReports(ctx, guard, window, windowRow)
	default:
		return true, r.advanceCursor(ctx, cursor, cursorRow, window)
	}
}

// oldestUnreported returns the oldest window with rows that may not be reported yet. due is
// false if there is none, or if its end and the grace period have not passed.
func (r *Reporter) oldestUnreported(ctx context.Context, cursor cursorValue) (w Window, due bool, err error) {
	first, err := r.tables.Scan(ctx, rowPrefix, vmRowsPrefix(cursor.Next), 1)
	if err != nil || len(first) == 0 {
		return 0, false, err
	}
	w, ok := parseWindow(first[0].Key)
	if !ok {
		return 0, false, errors.WithStack(&fault.Internal{Where: "row " + first[0].Key})
	}
	end := time.Unix(0, int64(w+1)*int64(r.config.WindowLength))
	return w, r.config.Now().After(end.Add(r.config.GracePeriod)), nil
}

// writeCursor replaces the cursor if its row has not changed since it was read.
func (r *Reporter) writeCursor(ctx context.Context, cursor cursorValue, cursorRow platformapi.Row) error {
	return platformapi.CommitConfirmed(ctx, r.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: cursorKey, Version: cursorRow.Version}},
		Writes:        []platformapi.Write{{Key: cursorKey, Value: platformapi.EncodeValue(cursor)}},
	})
}

// advanceCursor moves the cursor to the window after the reported window w, and deletes a batch
// of rows older than the retention.
func (r *Reporter) advanceCursor(ctx context.Context, cursor cursorValue, cursorRow platformapi.Row, w Window) error {
	cursor.Next = w + 1
	swept, err := r.sweep(ctx, cursor)
	if err != nil {
		return err
	}
	cursor.Swept = swept
	return r.writeCursor(ctx, cursor, cursorRow)
}

const (
	// retention is how long the rows of VMs are stored after their window is reported.
	// If a write of a VM is delayed for longer, the usage that only this write contains
	// is lost.
	retention = 24 * time.Hour
	// sweepBatch is the largest number of deletions in one transaction.
	sweepBatch = 128
)

// sweep deletes a batch of rows older than the retention. It returns the oldest window
// whose rows may still exist.
func (r *Reporter) sweep(ctx context.Context, cursor cursorValue) (Window, error) {
	end := cursor.Next - Window(retention/r.config.WindowLength)
	rows, err := r.tables.Scan(ctx, rowPrefix, vmRowsPrefix(cursor.Swept), sweepBatch)
	if err != nil {
		return cursor.Swept, err
	}
	txn := platformapi.Txn{Nonce: platformapi.NewNonce()}
	for _, row := range rows {
		if w, ok := parseWindow(row.Key); !ok || w >= end {
			break
		}
		txn.Preconditions = append(txn.Preconditions, platformapi.Precondition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platformapi.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return max(cursor.Swept, end), nil
	}
	return cursor.Swept, r.tables.Commit(ctx, txn)
}

// scanPageSize is the number of rows that one scan returns at most.
const scanPageSize = 512

// scan returns all rows whose key starts with prefix.
func scan(ctx context.Context, tables platformapi.Tables, prefix string) ([]platformapi.Row, error) {
	var all []platformapi.Row
	after := prefix
	for {
		page, err := tables.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < scanPageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

// close inserts the reports once every row is final or its VM is considered dead. It
// returns false while it has to wait for a VM.
func (r *Reporter) close(ctx context.Context, w Window, windowRow platformapi.Row) (bool, error) {
	stored, err := scan(ctx, r.tables, vmRowsPrefix(w))
	if err != nil {
		return false, err
	}
	if r.observedWindow != w {
		r.observedWindow = w
		r.observed = make(map[string]observation)
	}
	rows := make([]Row, len(stored))
	for i, row := range stored {
		if err := row.Decode(&rows[i]); err != nil {
			return false, err
		}
	}
	if r.mustWait(stored, rows) {
		return false, nil
	}
	return true, r.insertReports(ctx, w, windowRow, stored, rows)
}

// mustWait reports whether a row may still be sealed by its VM. It checks every row, since
// isDead also records an observation.
func (r *Reporter) mustWait(stored []platformapi.Row, rows []Row) bool {
	wait := false
	for i, row := range stored {
		if !rows[i].isFinal() && !r.isDead(row, rows[i], rows) {
			wait = true
		}
	}
	return wait
}

// isDead reports whether the VM of a row that is not final is considered dead. If the VM is
// alive after all, the usage that its row lacks is reported as a correction in a later
// window; no report becomes wrong.
func (r *Reporter) isDead(stored platformapi.Row, row Row, all []Row) bool {
	now := r.config.Elapsed()
	seen, ok := r.observed[stored.Key]
	if !ok || seen.version != stored.Version {
		r.observed[stored.Key] = observation{version: stored.Version, since: now}
		return false
	}
	unchanged := now - seen.since
	if !r.config.IsListed(row.VM) || hasOtherIncarnation(row, all) {
		return unchanged >= r.config.DeadAfter
	}
	return unchanged >= r.config.ListedDeadAfter
}

// hasOtherIncarnation reports whether another incarnation of the row's VM has a row too. A
// VM runs one process at a time, so one of the two is dead.
func hasOtherIncarnation(r Row, all []Row) bool {
	for _, other := range all {
		if other.VM == r.VM && other.Incarnation != r.Incarnation {
			return true
		}
	}
	return false
}

// insertReports closes the window in one transaction: it marks the rows that are not final
// as closed and inserts the reports. The transaction fails if a row has changed since it
// was read.
func (r *Reporter) insertReports(ctx context.Context, w Window, windowRow platformapi.Row, stored []platformapi.Row, rows []Row) error {
	txn := platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: windowRow.Key, Version: windowRow.Version}},
		Writes:        []platformapi.Write{{Key: windowRow.Key, Value: platformapi.EncodeValue(windowValue{Phase: phaseClosed})}},
	}
	for i, row := range stored {
		txn.Preconditions = append(txn.Preconditions, platformapi.Precondition{Key: row.Key, Version: row.Version})
		if !rows[i].isFinal() {
			closed := rows[i]
			closed.Closed = true
			txn.Writes = append(txn.Writes, platformapi.Write{Key: row.Key, Value: platformapi.EncodeValue(closed)})
		}
	}
	for _, report := range Reports(w, rows, r.config.Accounts()) {
		key := reportKey(w, report.Account)
		txn.Preconditions = append(txn.Preconditions, platformapi.Precondition{Key: key})
		txn.Writes = append(txn.Writes, platformapi.Write{Key: key, Value: platformapi.EncodeValue(report)})
	}
	return platformapi.CommitConfirmed(ctx, r.tables, txn)
}

// sendReports sends every report row of the window to billing, exactly as inserted. A
// retry, also by the next lease holder, sends the same counts.
func (r *Reporter) sendReports(ctx context.Context, guard lease.Guard, w Window, windowRow platformapi.Row) error {
	stored, err := scan(ctx, r.tables, reportPrefix(w))
	if err != nil {
		return err
	}
	for _, row := range stored {
		var report Report
		if err := row.Decode(&report); err != nil {
			return err
		}
		if err := r.sendReport(ctx, guard, report); err != nil {
			return err
		}
	}
	return platformapi.CommitConfirmed(ctx, r.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: windowRow.Key, Version: windowRow.Version}},
		Writes:        []platformapi.Write{{Key: windowRow.Key, Value: platformapi.EncodeValue(windowValue{Phase: phaseReported})}},
	})
}

// sendReport confirms the lease directly before it sends the report, since the process may
// have been paused since the last check.
func (r *Reporter) sendReport(ctx context.Context, guard lease.Guard, report Report) error {
	start := int64(report.Window) * int64(r.config.WindowLength/time.Second)
	err := lease.Act(ctx, guard, platformapi.CallTimeout, func(ctx context.Context) error {
		return r.billing.Report(fence.WithGuard(ctx, guard), platformapi.UsageReport{
			Window:             start,
			Account:            string(report.Account),
			Requests:           report.Counts.Requests,
			Tokens:             report.Counts.Tokens,
			CorrectionRequests: report.Corrections.Requests,
			CorrectionTokens:   report.Corrections.Tokens,
			Incomplete:         report.Incomplete,
			Epoch:              guard.Epoch(),
		})
	})
	if err != nil {
		return err
	}
	subject := event.Subject{Account: string(report.Account), Epoch: guard.Epoch(), Count: start}
	if report.Incomplete {
		r.events.Emit(event.UsageIncomplete, subject)
	}
	if report.Corrections != (Counts{}) {
		subject.Detail = event.DetailCorrected
	}
	r.events.Emit(event.UsageReported, subject)
	return nil
}
