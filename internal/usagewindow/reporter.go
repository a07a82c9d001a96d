package usagewindow

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
)

const (
	// closeDelay is the time between the last flush of a window's totals, which begins
	// at most one flush interval after the end of the window, and the close of the window.
	// A slow store completes the write within this time. The delay is short because
	// reports are due soon: the earlier a window is reported, the less likely an outage
	// of the store makes its report late.
	closeDelay = time.Second
	// closeTimeout is the time after the end of a window at which it is closed even if a
	// VM is unresponsive. Reports are due 10 s after the end of their window.
	closeTimeout = 7 * time.Second
	// closeCheckInterval is the interval between checks for windows to close.
	closeCheckInterval = 400 * time.Millisecond
	// reportTimeout is the timeout of one report. A new holder of the lease waits slightly
	// longer before its first report.
	reportTimeout = lease.OrderTimeout
	// leaseName is the lease whose holder reports.
	leaseName = "usage"
	// lastReportedName is the row with the number of the newest reported window.
	lastReportedName = "sent"
)

// Report is the usage of all client accounts in one window. Windows are numbered: window
// n begins n window lengths after the Unix epoch, in fleet time.
type Report struct {
	Window int64
	// Counts has the number of requests by client account.
	Counts map[string]int64
	// Holder is the VM that held the lease when it reported, Epoch the lease's epoch.
	Holder string
	Epoch  uint64
}

// Billing accepts usage reports. A repeated report with the same counts has no effect.
// ReportUsage fails with *fault.StoreUnavailable when the report has to be repeated, and
// with *fault.PlatformRefused when billing refuses it permanently.
type Billing interface {
	ReportUsage(ctx context.Context, report Report) error
}

// Reporter closes windows and reports them to billing while its VM holds the lease.
type Reporter struct {
	VM           string
	WindowLength time.Duration
	Clock        *FleetClock
	Store        rowstore.Store
	Billing      Billing
	Leases       *lease.Manager
	CallBudget   *budget.Budget // determines the flush interval of the meters
	Events       *event.Recorder
	// Accounts returns the client accounts of the configuration in force.
	Accounts func() []string
	// NoneAwaited reports whether no VM has to be awaited: each one has written its status
	// row recently or is known to be dead.
	NoneAwaited func() bool
}

// Run campaigns for the lease until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.Leases.Serve(ctx, leaseName, r.reportWindows)
}

// reportWindows closes and reports windows in order until ctx ends. A report that fails
// is repeated at the next check, unless billing refused it permanently.
func (r *Reporter) reportWindows(ctx context.Context, guard lease.Guard) error {
	if err := lease.WaitOrderGracePeriod(ctx, guard, reportTimeout); err != nil {
		return err
	}
	next, err := r.firstWindow(ctx)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	warned := int64(-1) // the last window whose failed report emitted an event
	for {
		for ctx.Err() == nil && r.isDue(next) {
			err := r.close(ctx, guard, next)
			if err != nil && !r.refused(err, next) {
				if warned != next {
					r.Events.Emit(event.UsageIncomplete, event.Subject{Count: next, Epoch: guard.Epoch(), Detail: "not reported yet: " + err.Error()})
				}
				warned = next
				break
			}
			next++
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// storeError is the failure of a call to the store for a report. A refusal in its chain
// is the store's, which may have room again later.
type storeError struct{ error }

// Unwrap returns the error of the call.
func (e *storeError) Unwrap() error { return e.error }

// refused reports whether billing refused a window permanently, and emits an event if
// it did. Later windows must not wait for such a window.
func (r *Reporter) refused(err error, window int64) bool {
	var store *storeError
	var refused *fault.PlatformRefused
	if errors.As(err, &store) || !errors.As(err, &refused) {
		return false
	}
	r.Events.Emit(event.UsageIncomplete, event.Subject{Count: window, Detail: "refused for good: " + err.Error()})
	return true
}

// firstWindow returns the first window to report: the one after the newest reported
// window or, if none was reported, the oldest window.
func (r *Reporter) firstWindow(ctx context.Context) (int64, error) {
	page, err := r.Store.Read(ctx, reportTable, "", lastReportedName, lastReportedName+"\x00")
	if err != nil {
		return 0, err
	}
	if len(page.Rows) > 0 {
		var last int64
		if err := json.Unmarshal(page.Rows[0].Value, &last); err != nil {
			return 0, errors.WithStack(&fault.Internal{Where: "row " + page.Rows[0].String()})
		}
		return last + 1, nil
	}
	return r.oldestWindow(ctx)
}

// oldestWindow returns the first window that may have counts: the one in which the
// fleet's clock was set, or an earlier one if the store has totals of it. The first report
// may be late, because of an outage of the store or because a previous holder of the lease
// died before it reported. If it began with the current window, earlier requests would
// never be billed. Stored totals alone don't show the oldest window, since VMs may not
// have written theirs yet.
func (r *Reporter) oldestWindow(ctx context.Context) (int64, error) {
	since := r.Clock.OffsetSetAt()
	if since == 0 {
		since = r.Clock.FleetMillis(time.Now()) - r.WindowLength.Milliseconds()
	}
	oldest := since / r.WindowLength.Milliseconds()
	for after := ""; ; {
		parts, more, err := r.Store.Parts(ctx, totalsTable, after)
		if err != nil {
			return 0, err
		}
		for _, part := range parts {
			after = part
			if window, err := strconv.ParseInt(part, 10, 64); err == nil {
				oldest = min(oldest, window)
			}
		}
		if !more || len(parts) == 0 {
			return oldest, nil
		}
	}
}

// isDue reports whether a window may be closed.
func (r *Reporter) isDue(window int64) bool {
	if !r.Clock.HasOffset() {
		return false
	}
	sinceEnd := time.Duration(r.Clock.FleetMillis(time.Now())-(window+1)*r.WindowLength.Milliseconds()) * time.Millisecond
	return sinceEnd >= closeTimeout || sinceEnd >= flushInterval(r.CallBudget)+closeDelay && r.NoneAwaited()
}

// close stores the final counts of a window, reports them, and records that the window is
// reported.
func (r *Reporter) close(ctx context.Context, guard lease.Guard, window int64) error {
	counts, err := r.finalCounts(ctx, window)
	if err != nil {
		return &storeError{err}
	}
	report := Report{Window: window, Counts: counts, Holder: r.VM, Epoch: guard.Epoch()}
	err = lease.Act(ctx, guard, reportTimeout, func(ctx context.Context) error {
		return r.Billing.ReportUsage(fence.WithGuard(ctx, guard), report)
	})
	if err != nil {
		return err
	}
	r.Events.Emit(event.UsageReported, event.Subject{Count: window, Epoch: guard.Epoch()})
	return r.storeLastReported(ctx, window)
}

// storeLastReported stores the number of a reported window. A refusal is not an error: the
// report would be sent again for nothing. Until the number of a later window is stored, a
// new holder repeats the reports since.
func (r *Reporter) storeLastReported(ctx context.Context, window int64) error {
	key := rowstore.Key{Table: reportTable, Name: lastReportedName}
	_, err := r.Store.Commit(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: []byte(strconv.FormatInt(window, 10))}}})
	if fault.Is[*fault.PlatformRefused](err) {
		r.Events.Emit(event.DependencyLost, event.Subject{Count: window, Detail: "number of a reported window: " + err.Error()})
		return nil
	}
	return err
}

// finalCounts adds up the totals of a window, stores the sum as the window's final counts
// and returns them. If final counts are already stored, it returns those instead, since
// they never change.
func (r *Reporter) finalCounts(ctx context.Context, window int64) (map[string]int64, error) {
	name := windowName(window)
	rows, err := rowstore.ReadAll(ctx, r.Store, totalsTable, name)
	if err != nil {
		return nil, err
	}
	counts := make(map[string]int64)
	for _, account := range r.Accounts() {
		counts[account] = 0
	}
	for _, row := range rows {
		var vmCounts map[string]int64
		if err := json.Unmarshal(row.Value, &vmCounts); err != nil {
			r.Events.Emit(event.RowUnreadable, event.Subject{Detail: row.String()})
			continue
		}
		for account, n := range vmCounts {
			counts[account] += n
		}
	}
	return r.storeCounts(ctx, name, counts)
}

// storeCounts stores the final counts of a window unless some are already stored, and returns
// the stored ones. name is the window's name as returned by windowName.
func (r *Reporter) storeCounts(ctx context.Context, name string, counts map[string]int64) (map[string]int64, error) {
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "usage of window " + name})
	}
	key := rowstore.Key{Table: reportTable, Name: "w" + name}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err = rowstore.CommitConfirmed(callCtx, r.Store, rowstore.Txn{
		Expected: []rowstore.Expectation{{Key: key}},
		Puts:     []rowstore.Put{{Key: key, Value: value}},
	})
	var conflict *rowstore.Conflict
	if !errors.As(err, &conflict) {
		return counts, err
	}
	var stored map[string]int64
	if err := json.Unmarshal(conflict.Row(key).Value, &stored); err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "row " + key.String()})
	}
	return stored, nil
}
