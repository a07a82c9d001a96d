package suspicion

import (
	"context"
	"sync"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

const (
	// reportTimeout bounds the read of an engine's report.
	reportTimeout = 400 * time.Millisecond
	// checkInterval is the interval between the first two checks of an engine that doesn't
	// report. It doubles with each check up to maxCheckInterval.
	checkInterval    = 100 * time.Millisecond
	maxCheckInterval = 1600 * time.Millisecond
	// runCheckInterval is the interval between the checks of an engine that reports and may still run an
	// item.
	runCheckInterval = 200 * time.Millisecond
	// followTimeout is how long an engine is asked whether it goes on with a request whose attempt this VM
	// has canceled, and followInterval the interval at which the answer is awaited.
	followTimeout  = UnlistedSurvivalDelay + time.Second
	followInterval = 50 * time.Millisecond
)

// EngineReports reads what engines report of themselves.
type EngineReports interface {
	RunReport(ctx context.Context, e *target.Entry) (RunReport, error)
}

// RunReport is what an engine reports of itself. Its list of runs is some hundred milliseconds old.
type RunReport struct {
	// Started is the start of the engine's incarnation, in Unix milliseconds.
	Started int64
	// Runs holds the IDs of the requests that the engine runs. It is of no use if Complete is false: the
	// engine doesn't list its runs, or further requests wait there.
	Runs     []string
	Complete bool
}

// Checks asks engines that may have ended whether they still run. It is safe for concurrent use.
type Checks struct {
	Ledger  *Ledger
	Roster  *target.Roster
	Engines EngineReports
	Events  *event.Recorder
	// Go runs a function in the background. OnChecked is called after a check.
	Go        func(func())
	OnChecked func()

	mu     sync.Mutex
	checks map[target.Incarnation]*check
}

// check is the state of the checks of one incarnation.
type check struct {
	// due is when the next check may start; interval follows it.
	due      time.Time
	interval time.Duration
	// open is true during a check, ended once another incarnation has answered.
	open, ended bool
}

// begin reports whether a check is due, and opens it.
func (c *Checks) begin(incarnation target.Incarnation, lostAt, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.checks[incarnation]
	if current == nil {
		current = &check{due: lostAt.Add(SurvivalDelay), interval: checkInterval}
		if c.checks == nil {
			c.checks = make(map[target.Incarnation]*check)
		}
		c.checks[incarnation] = current
	}
	if current.open || current.ended || now.Before(current.due) {
		return false
	}
	current.open = true
	return true
}

// finish closes a check. An engine that reports is checked again if suspicions are left, or after a new
// one.
func (c *Checks) finish(incarnation target.Incarnation, running, ended bool, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.checks[incarnation]
	current.open, current.ended = false, ended
	switch {
	case running && left == 0:
		delete(c.checks, incarnation)
	case running:
		current.due, current.interval = time.Now().Add(runCheckInterval), checkInterval
	default:
		current.due = time.Now().Add(current.interval)
		current.interval = min(2*current.interval, maxCheckInterval)
	}
}

// Expire removes the suspicions that are older than a time, and the checks that were due before it.
func (c *Checks) Expire(before time.Time) {
	c.Ledger.Expire(before)
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, check := range c.checks {
		if !check.open && check.due.Before(before) {
			delete(c.checks, incarnation)
		}
	}
}

// Check asks the engines that may have ended under a request and whose checks are due.
func (c *Checks) Check(ctx context.Context, request Request, now time.Time) {
	for _, incarnation := range c.Ledger.Suspects(request) {
		if lostAt, lost := c.Ledger.LostAt(request, incarnation); lost {
			c.checkEngine(ctx, incarnation, lostAt, now)
		}
	}
}

// CheckListed lifts the suspicions against a request to a service without reports whose upstreams are still
// listed.
func (c *Checks) CheckListed(request Request, now time.Time) {
	for _, incarnation := range c.Ledger.Suspects(request) {
		lostAt, lost := c.Ledger.LostAt(request, incarnation)
		if !lost || now.Sub(lostAt) < UnlistedSurvivalDelay || c.Roster.ListAge(now) > UnlistedSurvivalDelay/2 {
			continue
		}
		if e := c.Roster.Incarnation(incarnation.Upstream, incarnation.Started); e != nil && !e.Unlisted() {
			c.Ledger.Remove(request, incarnation)
		}
	}
}

// checkEngine asks an engine whether it is still the incarnation that may have ended at lostAt, if a
// check is due and the incarnation is listed.
func (c *Checks) checkEngine(ctx context.Context, incarnation target.Incarnation, lostAt, now time.Time) {
	entry := c.Roster.Incarnation(incarnation.Upstream, incarnation.Started)
	if entry == nil || !c.begin(incarnation, lostAt, now) {
		return
	}
	c.Go(func() {
		running, ended, left := c.ask(ctx, entry)
		c.finish(incarnation, running, ended, left)
		c.OnChecked()
	})
}

// IsRunning reports whether an engine reports and is the incarnation that its entry stands for.
func (c *Checks) IsRunning(ctx context.Context, entry *target.Entry) bool {
	running, _, _ := c.ask(ctx, entry)
	return running
}

// ask reads an engine's report and updates the suspicions of its incarnation. ended is true if another incarnation
// has answered. left is the number of suspicions that a later report may lift.
func (c *Checks) ask(ctx context.Context, entry *target.Entry) (running, ended bool, left int) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked, incarnation := time.Now(), entry.Incarnation()
	report, err := c.Engines.RunReport(ctx, entry)
	if err != nil || report.Started != incarnation.Started {
		return false, err == nil, 0
	}
	runsOn, left := c.Ledger.NoteReport(incarnation, asked, report)
	for _, request := range runsOn {
		c.Events.Emit(event.ItemRunsOn, event.Subject{Slot: request.ID, Account: request.Account, Upstream: incarnation.Upstream, Incarnation: incarnation.Started})
	}
	return true, false, left
}

// Follow waits until an engine reports that it has given up a request whose attempt this VM has canceled. If it
// goes on with the request, it counts against it: it may still end. onChange is called when that changes, and at
// the end.
func (c *Checks) Follow(ctx context.Context, request Request, incarnation target.Incarnation, canceledAt time.Time, onChange func()) {
	counted := c.Ledger.Has(request, incarnation)
	for time.Since(canceledAt) < followTimeout {
		if _, unsettled := c.Ledger.LostAt(request, incarnation); !unsettled || !wait.For(ctx, followInterval) {
			break
		}
		c.checkEngine(ctx, incarnation, canceledAt, time.Now())
		if counts := c.Ledger.Has(request, incarnation); counts != counted {
			counted = counts
			onChange()
		}
	}
	c.Ledger.DropUnconfirmed(request, incarnation)
	onChange()
}
