package weightload

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

const (
	// table is the table of the store in which the loaders publish weight loads in
	// progress and done. The platform's list of upstreams shows them later.
	table = "loaded"
	// planInterval is the time between two searches for weight loads that are due.
	planInterval = 100 * time.Millisecond
	// orderTimeout is the timeout of one order. A new lease holder waits at least
	// that long before its first order.
	orderTimeout = lease.OrderTimeout
	// reportTimeout is the timeout of one read of an engine's state.
	reportTimeout = 500 * time.Millisecond
	// expectedLoadTime is how long a weight load takes while few engines load at
	// once. After loadTimeout a weight load counts as failed.
	expectedLoadTime = 900 * time.Millisecond
	loadTimeout      = 5 * time.Second
	// loadPollInterval is the interval of polling an engine for the end of a load.
	loadPollInterval = 150 * time.Millisecond
	// pollTimeout is the timeout of one long poll for changes of the table.
	// minPollInterval is the shortest time between two polls; the budget of calls to
	// the store makes it longer in a large fleet.
	pollTimeout     = 2 * time.Second
	minPollInterval = 100 * time.Millisecond
)

// Report is the state of an engine as the engine reports it.
type Report struct {
	// Started is the start of the engine's incarnation, in Unix milliseconds; 0 if it isn't reported.
	Started int64
	// Sequence is the number of orders that the engine accepted in this incarnation.
	Sequence int64
	// Busy reports whether the engine is executing an order.
	Busy bool
	// Versions holds the loaded version of each model.
	Versions map[string]int64
}

// Reply is an engine's reply to an order.
type Reply int

// The replies to an order.
const (
	// Accepted means that the engine executes the order.
	Accepted Reply = iota
	// AlreadyLoaded means that the engine already has the version.
	AlreadyLoaded
	// SequenceMismatch means that the engine's sequence number is not the expected one, since it
	// accepted another order first. Its state must be read again.
	SequenceMismatch
	// Rejected means that the engine can't execute the order.
	Rejected
)

// Order is one order as it is sent to an engine.
type Order struct {
	Model   string
	Version int64
	// KeepRunning lets running requests continue with the new weights. Without it
	// the engine finishes them first.
	KeepRunning bool
	Holder      string
	Epoch       uint64
	// Expected is the engine's sequence number that the order requires. An order
	// that arrives after a newer one was accepted therefore has no effect.
	Expected int64
}

// Engines sends requests to the control interface of the engines. Errors are
// *fault.UpstreamFailed; an order that failed may still be executed later.
type Engines interface {
	Report(ctx context.Context, e *target.Entry) (Report, error)
	Order(ctx context.Context, e *target.Entry, order Order) (Reply, error)
	// Probe reads the engine's report over a new connection. An engine accepts connections
	// in their order, so an answer shows that it has accepted all earlier ones.
	Probe(ctx context.Context, e *target.Entry) error
}

// Demands reports the demand for the models, in a fixed order.
type Demands interface {
	// Models returns the demands on the engines of a service.
	Models(service string) []Demand
	// AllowsMixedVersions reports whether a text of a model may span several versions.
	AllowsMixedVersions(model string) bool
	// EngineServices returns the services with model engines.
	EngineServices() []string
}

// Loader orders the weight loads of one failure domain while it holds the lease.
type Loader struct {
	VM      string
	Domain  string
	Roster  *target.Roster
	Engines Engines
	Demands Demands
	Store   rowstore.Store
	Events  *event.Recorder
	Leases  *lease.Manager

	mu sync.Mutex
	// busy holds the engines with a load in progress.
	busy map[*target.Entry]bool
	// suspectUntil holds the end of the backoff after an engine's last failed load.
	suspectUntil map[*target.Entry]time.Time
}

// leaseDuty is the duty in the names of the loaders' leases.
const leaseDuty = "weights"

// LeaseName returns the name of the lease for the weight loads of a failure domain.
func LeaseName(domain string) string { return lease.NameInDomain(leaseDuty, domain) }

// Run campaigns for the lease of the failure domain until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	l.busy = make(map[*target.Entry]bool)
	l.suspectUntil = make(map[*target.Entry]time.Time)
	l.Leases.Serve(ctx, LeaseName(l.Domain), l.serveTerm)
}

// serveTerm orders weight loads during one lease term, until ctx ends. It first waits
// until no order of the previous holder can be sent any more, since these engines don't
// compare epochs. An engine that stood still can read such an order later, so it gets no
// order before the settler has seen it running for a while.
func (l *Loader) serveTerm(ctx context.Context, guard lease.Guard) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settler := newSettler(l, guard)
	if !wait.For(ctx, probeDelay(l.Leases.Timing())) {
		return context.Cause(ctx)
	}
	if err := repeat(ctx, settleWindow, func() { l.startTasks(ctx, guard, settler, false, &tasks) }); err != nil {
		return err
	}
	if err := guard.Check(); err != nil {
		return err
	}
	return repeat(ctx, 0, func() { l.startTasks(ctx, guard, settler, true, &tasks) })
}

// probeDelay returns how long a new holder waits before its first probe. After an expired term
// the previous holder's kernel may resend an order for the grace period, counted from the end
// of that term. The margin of the term has passed by the acquisition.
func probeDelay(timing lease.Timing) time.Duration {
	return lease.OrderGracePeriod(orderTimeout) - min(settleWindow, timing.Margin)
}

// repeat calls pass at once and then at each planInterval, for d or without an end if d is
// 0. It fails with the cause of ctx when ctx ends first.
func repeat(ctx context.Context, d time.Duration, pass func()) error {
	var end <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		end = timer.C
	}
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		pass()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-end:
			return nil
		case <-ticker.C:
		}
	}
}

// startTasks starts the weight loads that are due, if orders are allowed already, and the
// probes of engines that are not settled.
func (l *Loader) startTasks(ctx context.Context, guard lease.Guard, settler *settler, ordersAllowed bool, tasks *sync.WaitGroup) {
	for _, service := range l.Demands.EngineServices() {
		engines, preceding := l.domainEngines(service)
		busy := l.busyEngines(engines)
		var due []PlannedLoad
		if demands := l.Demands.Models(service); len(demands) > 0 && len(engines) > 0 {
			due = planLoads(engines, demands, engineCounts(demands, preceding, len(engines)), busy, len(engines))
		}
		limit := maxConcurrentLoads(len(engines))
		if ordersAllowed {
			l.startDueLoads(ctx, guard, settler, due, limit-l.countLoading(), tasks)
		}
		settler.startDue(ctx, due, max(limit, minDueProbes), tasks)
		settler.startOthers(ctx, engines, busy, tasks)
	}
}

// startDueLoads starts at most limit of the due loads on engines that may get orders. The first
// due ones up to limit are held back if their engines may not.
func (l *Loader) startDueLoads(ctx context.Context, guard lease.Guard, settler *settler, due []PlannedLoad, limit int, loads *sync.WaitGroup) {
	started := 0
	for i, planned := range due {
		if started >= limit {
			return
		}
		if !settler.allowsOrders(planned.Engine) {
			if i < limit {
				settler.noteHeldBack(planned)
			}
			continue
		}
		started++
		l.setBusy(planned.Engine, true)
		loads.Go(func() {
			defer l.setBusy(planned.Engine, false)
			l.load(ctx, guard, settler, planned)
		})
	}
}

// domainEngines returns the usable engines of the failure domain, ordered by ID, and
// the number of engines in the failure domains with smaller names.
func (l *Loader) domainEngines(service string) (engines []*target.Entry, preceding int) {
	for _, e := range l.Roster.Usable(service, time.Now()) {
		switch domain := e.Info().FailureDomain; {
		case domain == l.Domain:
			engines = append(engines, e)
		case domain < l.Domain:
			preceding++
		}
	}
	sort.Slice(engines, func(i, j int) bool { return engines[i].Info().ID < engines[j].Info().ID })
	return engines, preceding
}

// busyEngines returns those of engines that have a load in progress or are suspect.
func (l *Loader) busyEngines(engines []*target.Entry) map[*target.Entry]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	out := make(map[*target.Entry]bool)
	for _, e := range engines {
		if l.busy[e] || now.Before(l.suspectUntil[e]) {
			out[e] = true
		}
	}
	return out
}

func (l *Loader) isSuspect(e *target.Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.suspectUntil[e])
}

func (l *Loader) countLoading() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.busy)
}

func (l *Loader) setBusy(e *target.Entry, busy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if busy {
		l.busy[e] = true
		return
	}
	delete(l.busy, e)
}

func (l *Loader) markSuspect(e *target.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectUntil[e] = time.Now().Add(suspectBackoff)
}

// load brings one engine to a version: it reads the engine's state, sends the order
// with the sequence number just read, and polls until the engine has the version. An
// order without a reply may be executed seconds later. It is sent again with the
// same sequence number: the first copy that the engine accepts raises the number,
// and the engine refuses the other copies. It ends when the engine's address changes, since the
// engine then has to settle anew. When term ends, it ends without a failure.
func (l *Loader) load(term context.Context, guard lease.Guard, settler *settler, planned PlannedLoad) {
	ctx, cancel := context.WithTimeout(term, loadTimeout)
	defer cancel()
	subject := event.Subject{Upstream: planned.Engine.Info().ID, Epoch: guard.Epoch(), Count: planned.Version, Detail: planned.Model}
	for ctx.Err() == nil && !l.Roster.Evacuated(l.Domain) {
		report, err := l.report(ctx, planned.Engine)
		if err != nil {
			l.markSuspect(planned.Engine)
			l.Events.Emit(event.OrderFailed, withDetail(subject, planned.Model+": "+err.Error()))
			return
		}
		l.noteVersions(planned.Engine, report)
		if report.Versions[planned.Model] >= planned.Version {
			l.publish(ctx, planned, false)
			l.Events.Emit(event.WeightsLoaded, subject)
			return
		}
		if report.Busy {
			wait.For(ctx, loadPollInterval)
			continue
		}
		reply, sent, err := l.sendOrder(ctx, guard, settler, planned, report.Sequence)
		if ctx.Err() != nil && fault.Is[*fault.LeaseUnconfirmed](err) {
			break
		}
		if fault.Is[*fault.LeaseUnconfirmed](err) {
			l.noteUnconfirmed(ctx, err, subject)
			return
		}
		if err != nil && (fault.Is[*fault.LeaseLost](err) || errors.Is(err, errNoOrders)) {
			return
		}
		switch {
		case fault.MayTakeEffect(err):
			l.Events.Emit(event.OrderUnanswered, withDetail(subject, fmt.Sprintf("%s: expected %d, term left %s, abandoned after %s: %v",
				planned.Model, report.Sequence, sent.termLeft.Round(time.Millisecond), time.Since(sent.at).Round(time.Millisecond), err)))
		case err != nil && !fault.Is[*fault.OrderFenced](err):
			l.Events.Emit(event.OrderFailed, withDetail(subject, planned.Model+": not sent: "+err.Error()))
		}
		if err == nil && reply == Rejected {
			l.markSuspect(planned.Engine)
			l.Events.Emit(event.OrderFailed, withDetail(subject, planned.Model+": rejected"))
			return
		}
		if err == nil && reply == Accepted {
			l.Events.Emit(event.OrderSent, subject)
			planned.Engine.NoteLoading(planned.Model, planned.Version, time.Now().Add(expectedLoadTime))
			l.publish(ctx, planned, true)
			wait.For(ctx, expectedLoadTime)
		}
		wait.For(ctx, loadPollInterval)
	}
	if term.Err() != nil {
		return
	}
	l.markSuspect(planned.Engine)
	l.Events.Emit(event.OrderFailed, withDetail(subject, planned.Model+": not done in time"))
}

// noteUnconfirmed emits an event for a lease that was not confirmed, unless it is lost. The load
// is due again at the next search.
func (l *Loader) noteUnconfirmed(ctx context.Context, err error, subject event.Subject) {
	if fault.Is[*fault.LeaseLost](err) {
		return
	}
	l.Events.Emit(event.OrderFailed, withDetail(subject, subject.Detail+": "+err.Error()))
	wait.For(ctx, loadPollInterval)
}

func withDetail(s event.Subject, detail string) event.Subject {
	s.Detail = detail
	return s
}

func (l *Loader) report(ctx context.Context, e *target.Entry) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return l.Engines.Report(ctx, e)
}

func (l *Loader) probe(ctx context.Context, e *target.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return l.Engines.Probe(ctx, e)
}

// readReport reads the engine's report over any connection and discards it.
func (l *Loader) readReport(ctx context.Context, e *target.Entry) error {
	_, err := l.report(ctx, e)
	return err
}

// sending is when an order was sent, and how much of the term was left then.
type sending struct {
	at       time.Time
	termLeft time.Duration
}

// errNoOrders means that the engine must not get orders yet.
var errNoOrders = errors.New("no orders to this engine yet")

// sendOrder sends one order. It fails with *fault.LeaseUnconfirmed if the lease was not
// confirmed, and with errNoOrders if the settler doesn't allow orders any more; the order was
// not sent then.
func (l *Loader) sendOrder(ctx context.Context, guard lease.Guard, settler *settler, planned PlannedLoad, sequence int64) (reply Reply, sent sending, err error) {
	e := planned.Engine
	err = lease.ActAt(ctx, guard, e.Info().ID, orderTimeout, func(ctx context.Context) error {
		if err := guard.Check(); err != nil {
			return err
		}
		if !settler.allowsOrders(e) {
			return fault.WithExecution(errNoOrders, fault.NotRun)
		}
		sent = sending{at: time.Now(), termLeft: time.Until(guard.Deadline())}
		var err error
		reply, err = l.Engines.Order(fence.WithGuard(ctx, guard), e, Order{
			Model:       planned.Model,
			Version:     planned.Version,
			KeepRunning: l.Demands.AllowsMixedVersions(planned.Model),
			Holder:      l.VM,
			Epoch:       guard.Epoch(),
			Expected:    sequence,
		})
		return err
	})
	return reply, sent, err
}

func (l *Loader) noteVersions(e *target.Entry, report Report) {
	for model, version := range report.Versions {
		e.NoteVersion(model, version)
	}
}

// loadRecord is the value of the row for one model of an engine.
type loadRecord struct {
	Upstream string `json:"upstream"`
	Started  int64  `json:"started"`
	Model    string `json:"model"`
	Version  int64  `json:"version"`
	// Loading is true from the order until the engine has the version.
	Loading bool `json:"loading,omitempty"`
}

// publish writes a weight load to the store, where the other VMs read it. A failure
// only delays them until the platform's list shows the load.
func (l *Loader) publish(ctx context.Context, planned PlannedLoad, loading bool) {
	info := planned.Engine.Info()
	value, err := json.Marshal(loadRecord{Upstream: info.ID, Started: info.Started, Model: planned.Model, Version: planned.Version, Loading: loading})
	if err == nil {
		key := rowstore.Key{Table: table, Part: l.Domain, Name: info.ID + "/" + planned.Model}
		_, err = l.Store.Commit(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: value}}})
	}
	if err != nil {
		l.Events.Emit(event.OrderFailed, event.Subject{Upstream: info.ID, Detail: "not published: " + err.Error()})
	}
}

// neededCheckInterval is the interval at which a Watch checks whether it is needed.
const neededCheckInterval = 100 * time.Millisecond

// Watch watches the weight loads that the loaders of all failure domains publish, and records
// them in the roster.
type Watch struct {
	Store      rowstore.Store
	Roster     *target.Roster
	CallBudget *budget.Budget
	Events     *event.Recorder
	// Needed reports whether this VM uses the versions of engines: whether it runs steps, or will
	// when one is submitted. The other VMs don't read the loads. Each load is two rows, and in a
	// fleet with thousands of engines there are hundreds a second.
	Needed func() bool
	// OnChange is called after each update.
	OnChange func()
}

// Run watches the loads while they are needed, until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.Needed() {
			w.runWhileNeeded(ctx)
		}
		wait.For(ctx, neededCheckInterval)
	}
}

func (w *Watch) runWhileNeeded(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watching sync.WaitGroup
	watching.Go(func() { w.watch(ctx) })
	for ctx.Err() == nil && w.Needed() {
		wait.For(ctx, neededCheckInterval)
	}
	cancel()
	watching.Wait()
}

// watch watches the loads until ctx ends.
func (w *Watch) watch(ctx context.Context) {
	apply := func(rows []rowstore.Row) {
		for _, row := range rows {
			if !row.Deleted {
				applyRow(row, w.Roster, w.Events)
			}
		}
		w.OnChange()
	}
	watcher := rowstore.Watcher{
		Store: w.Store, Table: table, AllParts: true, PollTimeout: pollTimeout, Replace: apply, Apply: apply,
		MinPollInterval: func() time.Duration { return w.CallBudget.Interval(budget.WeightLoads, minPollInterval) },
		RetryBackoff:    func() time.Duration { return w.CallBudget.RetryBackoff(budget.WeightLoads, minPollInterval) },
		OnOutage:        w.Events.OnDependencyLost("loads of weights"), OnRecovery: w.Events.OnDependencyRegained("loads of weights"),
	}
	watcher.Run(ctx)
}

func applyRow(row rowstore.Row, roster *target.Roster, events *event.Recorder) {
	var record loadRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		events.Emit(event.RowUnreadable, event.Subject{Detail: row.String()})
		return
	}
	e := roster.Incarnation(record.Upstream, record.Started)
	if e == nil {
		return
	}
	if record.Loading {
		// A row that took effect late, after the one that ended the load, stays until the next load.
		if e.Version(record.Model) < record.Version {
			e.NoteLoading(record.Model, record.Version, time.Now().Add(expectedLoadTime))
		}
		return
	}
	e.NoteLoaded(record.Model, record.Version)
}
