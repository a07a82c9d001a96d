package window

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
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/lease"
)

const (
	// closeAfter is when a window is added up behind the last writes of its totals, which
	// a slow store carries out within it. The sooner a window is reported, the less an
	// outage of the store before it is due can make it late.
	closeAfter = time.Second
	// closeLate is when it is added up though a VM is silent; reports are due
	// 10 s after the end of their window.
	closeLate = 7 * time.Second
	// lookEvery is the period of looking for windows to close.
	lookEvery = 400 * time.Millisecond
	// reportTimeout bounds one report, and so how long a new holder waits before
	// its first one. Billing answers within it also when it is slow.
	reportTimeout = 800 * time.Millisecond
	// leaseName names the lease of the one process that reports.
	leaseName = "usage"
	// sentName is the row that names the newest window that was reported.
	sentName = "sent"
)

// Report is the usage of all client accounts in one window.
type Report struct {
	Window int64
	Counts map[string]int64
	// Holder and Epoch name the process in charge.
	Holder string
	Epoch  uint64
}

// Billing takes usage reports. A repeat with the same figures is harmless. It
// fails with *fault.StoreUnavailable when the report has to be repeated.
type Billing interface {
	ReportUsage(ctx context.Context, report Report) error
}

// Closer reports the windows while it holds the lease.
type Closer struct {
	VM      string
	Length  time.Duration
	Clock   *Clock
	Store   kept.Store
	Billing Billing
	Leases  *lease.Manager
	Calls   *budget.Budget
	Events  *event.Recorder
	// Accounts returns the client accounts of the configuration in force.
	Accounts func() []string
	// AllHeard reports whether every VM has written to the store a moment ago.
	AllHeard func() bool
}

// Run campaigns for the lease until ctx ends.
func (c *Closer) Run(ctx context.Context) {
	c.Leases.Serve(ctx, leaseName, c.hold)
}

func (c *Closer) hold(ctx context.Context, guard lease.Guard) error {
	if err := lease.Settle(ctx, guard, reportTimeout); err != nil {
		return err
	}
	next, err := c.firstWindow(ctx)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	told := int64(-1)
	for {
		for c.due(next) {
			err := c.close(ctx, guard, next)
			if err != nil && !c.refused(err, next) {
				if told != next {
					c.Events.Emit(event.UsageIncomplete, event.Subject{Count: next, Epoch: guard.Epoch(), Detail: "not reported yet: " + err.Error()})
				}
				told = next
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

// refused reports whether billing will never take a window; the next ones must
// not wait for it.
func (c *Closer) refused(err error, window int64) bool {
	var refused *fault.PlatformRefused
	if !errors.As(err, &refused) {
		return false
	}
	c.Events.Emit(event.UsageIncomplete, event.Subject{Count: window, Detail: "refused for good: " + err.Error()})
	return true
}

// firstWindow returns the window behind the newest that was reported.
func (c *Closer) firstWindow(ctx context.Context) (int64, error) {
	page, err := c.Store.Read(ctx, reportTable, "", sentName, sentName+"\x00")
	if err != nil {
		return 0, err
	}
	if len(page.Rows) > 0 {
		var sent int64
		if err := json.Unmarshal(page.Rows[0].Value, &sent); err != nil {
			return 0, errors.WithStack(&fault.Internal{Where: "row " + page.Rows[0].String()})
		}
		return sent + 1, nil
	}
	return c.oldestWindow(ctx)
}

// oldestWindow returns the first window that anybody counted in. The first holder may
// come late: the store was away, or the one before died before its first report. It
// would never bill what was counted until then. Counts may not be written yet, so it
// begins with the window in which the fleet did, or earlier if a VM counted before.
func (c *Closer) oldestWindow(ctx context.Context) (int64, error) {
	since := c.Clock.Since()
	if since == 0 {
		since = c.Clock.Millis(time.Now()) - c.Length.Milliseconds()
	}
	oldest := since / c.Length.Milliseconds()
	for after := ""; ; {
		parts, more, err := c.Store.Parts(ctx, totalsTable, after)
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

// due reports whether a window may be added up.
func (c *Closer) due(window int64) bool {
	if !c.Clock.Agreed() {
		return false
	}
	since := time.Duration(c.Clock.Millis(time.Now())-(window+1)*c.Length.Milliseconds()) * time.Millisecond
	return since >= closeLate || since >= flushPeriod(c.Calls)+closeAfter && c.AllHeard()
}

// close adds a window up, fixes the sum and reports it.
func (c *Closer) close(ctx context.Context, guard lease.Guard, window int64) error {
	counts, err := c.fix(ctx, window)
	if err != nil {
		return err
	}
	if err := guard.Check(); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(fence.Context(ctx, guard), reportTimeout)
	defer cancel()
	report := Report{Window: window, Counts: counts, Holder: c.VM, Epoch: guard.Epoch()}
	if err := c.Billing.ReportUsage(call, report); err != nil {
		return err
	}
	c.Events.Emit(event.UsageReported, event.Subject{Count: window, Epoch: guard.Epoch()})
	return c.noteSent(ctx, window)
}

func (c *Closer) noteSent(ctx context.Context, window int64) error {
	key := kept.Key{Table: reportTable, Name: sentName}
	_, err := c.Store.Commit(ctx, kept.Txn{Puts: []kept.Put{{Key: key, Value: []byte(strconv.FormatInt(window, 10))}}})
	return err
}

// fix returns the figures of a window, which never change once they are stored.
func (c *Closer) fix(ctx context.Context, window int64) (map[string]int64, error) {
	name := windowName(window)
	rows, err := kept.ReadAll(ctx, c.Store, totalsTable, name)
	if err != nil {
		return nil, err
	}
	counts := make(map[string]int64)
	for _, account := range c.Accounts() {
		counts[account] = 0
	}
	for _, row := range rows {
		var part map[string]int64
		if err := json.Unmarshal(row.Value, &part); err != nil {
			c.Events.Emit(event.RowUnreadable, event.Subject{Detail: row.String()})
			continue
		}
		for account, n := range part {
			counts[account] += n
		}
	}
	return c.store(ctx, name, counts)
}

func (c *Closer) store(ctx context.Context, name string, counts map[string]int64) (map[string]int64, error) {
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "usage of window " + name})
	}
	key := kept.Key{Table: reportTable, Name: "w" + name}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err = kept.CommitSurely(call, c.Store, kept.Txn{
		Expected: []kept.Expectation{{Key: key}},
		Puts:     []kept.Put{{Key: key, Value: value}},
	})
	var conflict *kept.Conflict
	if !errors.As(err, &conflict) {
		return counts, err
	}
	var fixed map[string]int64
	if err := json.Unmarshal(conflict.Row(key).Value, &fixed); err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "row " + key.String()})
	}
	return fixed, nil
}
