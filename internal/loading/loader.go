package loading

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

const (
	// table tells all VMs which engines load and have loaded what, earlier than the
	// platform's list does.
	table = "loaded"
	// period is the time between two looks at the engines.
	period = 100 * time.Millisecond
	// orderTimeout bounds one order, and so how long a new holder waits before
	// its first one.
	orderTimeout = 800 * time.Millisecond
	// reportTimeout bounds one look at an engine's state.
	reportTimeout = 500 * time.Millisecond
	// loadTime is how long a load takes when few engines load at once, and
	// loadLimit when it counts as failed.
	loadTime  = 900 * time.Millisecond
	loadLimit = 5 * time.Second
	// lookEvery is the period of looking whether a load is done.
	lookEvery = 150 * time.Millisecond
	// watchWait bounds one call for changes, and followPace is the least time between
	// two, of a small fleet.
	watchWait  = 2 * time.Second
	followPace = 100 * time.Millisecond
)

// Report is what an engine says of its orders.
type Report struct {
	// Sequence is the number of orders that it accepted in this life.
	Sequence int64
	// Busy is true while an order is carried out.
	Busy     bool
	Versions map[string]int64
}

// Reply is an engine's answer to an order.
type Reply int

// The answers to an order.
const (
	// Accepted orders are being carried out.
	Accepted Reply = iota
	// Holds says that the engine has the version already.
	Holds
	// Moved says that another order came first; the state must be read again.
	Moved
	// Rejected says that the order can't be carried out.
	Rejected
)

// Command is one order as an engine gets it.
type Command struct {
	Model   string
	Version int64
	// KeepRunning lets running requests go on under the new weights; otherwise
	// the engine finishes them first.
	KeepRunning bool
	Holder      string
	Epoch       uint64
	// Expected is the Sequence at which the order is meant: an order that is
	// carried out late, behind a newer one, then has no effect.
	Expected int64
}

// Engines is the port of the engines' control. Failures are
// *fault.UpstreamFailed; an order that failed may still be carried out.
type Engines interface {
	Report(ctx context.Context, e *target.Entry) (Report, error)
	Order(ctx context.Context, e *target.Entry, command Command) (Reply, error)
}

// Demands tells what is asked of the models, in a fixed order.
type Demands interface {
	// Models returns the demands on the engines of a service.
	Models(service string) []Demand
	// KeepRunning tells whether texts of a model may hold several versions.
	KeepRunning(model string) bool
	// EngineServices returns the services with model engines.
	EngineServices() []string
}

// Loader gives the orders of one failure domain while it holds the lease.
type Loader struct {
	VM      string
	Domain  string
	Roster  *target.Roster
	Engines Engines
	Demands Demands
	Store   kept.Store
	Events  *event.Recorder
	Leases  *lease.Manager

	mu   sync.Mutex
	busy map[*target.Entry]bool
	rest map[*target.Entry]time.Time
}

// leaseDuty names the leases of loaders.
const leaseDuty = "weights"

// Run campaigns for the lease of the failure domain until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	l.busy = make(map[*target.Entry]bool)
	l.rest = make(map[*target.Entry]time.Time)
	l.Leases.Serve(ctx, lease.InDomain(leaseDuty, l.Domain), l.hold)
}

// hold gives orders while the lease is held. It waits first: an order of the
// earlier holder may be on its way, and these engines don't compare epochs.
func (l *Loader) hold(ctx context.Context, guard lease.Guard) error {
	if err := lease.Settle(ctx, guard, orderTimeout); err != nil {
		return err
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var loads sync.WaitGroup
	defer loads.Wait()
	for {
		for _, service := range l.Demands.EngineServices() {
			l.orderDue(ctx, guard, service, &loads)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// orderDue begins the loads of a service that are due.
func (l *Loader) orderDue(ctx context.Context, guard lease.Guard, service string, loads *sync.WaitGroup) {
	demands := l.Demands.Models(service)
	engines, before := l.domainEngines(service)
	if len(demands) == 0 || len(engines) == 0 {
		return
	}
	busy := l.busyEngines(engines)
	limit := atOnce(len(engines)) - l.countLoading()
	for _, order := range next(engines, demands, counts(demands, before, len(engines)), busy, limit) {
		l.setBusy(order.Engine, true)
		loads.Go(func() {
			defer l.setBusy(order.Engine, false)
			l.load(ctx, guard, order)
		})
	}
}

// domainEngines returns the listed engines of the failure domain, and how many
// the domains in front of it have.
func (l *Loader) domainEngines(service string) (mine []*target.Entry, before int) {
	for _, e := range l.Roster.Usable(service, time.Now()) {
		switch domain := e.Info().FailureDomain; {
		case domain == l.Domain:
			mine = append(mine, e)
		case domain < l.Domain:
			before++
		}
	}
	sort.Slice(mine, func(i, j int) bool { return mine[i].Info().ID < mine[j].Info().ID })
	return mine, before
}

func (l *Loader) busyEngines(engines []*target.Entry) map[*target.Entry]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	out := make(map[*target.Entry]bool)
	for _, e := range engines {
		if l.busy[e] || now.Before(l.rest[e]) {
			out[e] = true
		}
	}
	return out
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

func (l *Loader) restEngine(e *target.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rest[e] = time.Now().Add(suspectFor)
}

// load brings one engine to a version: it reads the engine's state, orders the
// load for just that state, and looks until the version is there. An order
// without an answer may be carried out seconds later. It is repeated for the same
// state: whichever copy comes first moves the engine's sequence on, and the
// others are refused.
func (l *Loader) load(ctx context.Context, guard lease.Guard, order Order) {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	subject := event.Subject{Upstream: order.Engine.Info().ID, Epoch: guard.Epoch(), Count: order.Version, Detail: order.Model}
	for ctx.Err() == nil && !l.Roster.Evacuated(l.Domain) {
		report, err := l.report(ctx, order.Engine)
		if err != nil {
			l.restEngine(order.Engine)
			l.Events.Emit(event.OrderFailed, withDetail(subject, order.Model+": "+err.Error()))
			return
		}
		l.noteVersions(order.Engine, report)
		if report.Versions[order.Model] >= order.Version {
			l.publish(ctx, order, false)
			l.Events.Emit(event.WeightsLoaded, subject)
			return
		}
		if report.Busy {
			wait.For(ctx, lookEvery)
			continue
		}
		reply, err := l.order(ctx, guard, order, report.Sequence)
		if err != nil && fault.Is[*fault.LeaseLost](err) {
			return
		}
		if err == nil && reply == Rejected {
			l.restEngine(order.Engine)
			l.Events.Emit(event.OrderFailed, withDetail(subject, order.Model+": rejected"))
			return
		}
		if err == nil && reply == Accepted {
			l.Events.Emit(event.OrderGiven, subject)
			order.Engine.NoteSwap(order.Model, time.Now().Add(loadTime))
			l.publish(ctx, order, true)
			wait.For(ctx, loadTime)
		}
		wait.For(ctx, lookEvery)
	}
	l.restEngine(order.Engine)
	l.Events.Emit(event.OrderFailed, withDetail(subject, order.Model+": not done in time"))
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

func (l *Loader) order(ctx context.Context, guard lease.Guard, order Order, sequence int64) (Reply, error) {
	if err := guard.Check(); err != nil {
		return Rejected, err
	}
	ctx, cancel := context.WithTimeout(fence.Context(ctx, guard), orderTimeout)
	defer cancel()
	return l.Engines.Order(ctx, order.Engine, Command{
		Model:       order.Model,
		Version:     order.Version,
		KeepRunning: l.Demands.KeepRunning(order.Model),
		Holder:      l.VM,
		Epoch:       guard.Epoch(),
		Expected:    sequence,
	})
}

func (l *Loader) noteVersions(e *target.Entry, report Report) {
	for model, version := range report.Versions {
		e.NoteVersion(model, version)
	}
}

// notice is what the row of an engine's model says.
type notice struct {
	Upstream string `json:"upstream"`
	Started  int64  `json:"started"`
	Model    string `json:"model"`
	Version  int64  `json:"version"`
	// Loading is true from the order on until the version is there.
	Loading bool `json:"loading,omitempty"`
}

// publish tells the other VMs. A failure costs time only: they learn it from the
// platform's list.
func (l *Loader) publish(ctx context.Context, order Order, loading bool) {
	info := order.Engine.Info()
	value, err := json.Marshal(notice{Upstream: info.ID, Started: info.Started, Model: order.Model, Version: order.Version, Loading: loading})
	if err == nil {
		key := kept.Key{Table: table, Part: l.Domain, Name: info.ID + "/" + order.Model}
		_, err = l.Store.Commit(ctx, kept.Txn{Puts: []kept.Put{{Key: key, Value: value}}})
	}
	if err != nil {
		l.Events.Emit(event.OrderFailed, event.Subject{Upstream: info.ID, Detail: "not published: " + err.Error()})
	}
}

// Follow takes what the loaders of all failure domains publish into the roster,
// until ctx ends.
func Follow(ctx context.Context, store kept.Store, roster *target.Roster, calls *budget.Budget, events *event.Recorder, changed func()) {
	apply := func(rows []kept.Row) {
		for _, row := range rows {
			if !row.Deleted {
				take(row, roster, events)
			}
		}
		changed()
	}
	pace := func() time.Duration { return calls.Period(budget.Loads, followPace) }
	retry := func() time.Duration { return calls.Retry(budget.Loads, followPace) }
	watcher := kept.Watcher{
		Store: store, Table: table, AllParts: true, Wait: watchWait, Replace: apply, Apply: apply, Pace: pace, Retry: retry,
		Lost: events.Lost("loads of weights"), Regained: events.Regained("loads of weights"),
	}
	watcher.Run(ctx)
}

func take(row kept.Row, roster *target.Roster, events *event.Recorder) {
	var n notice
	if err := json.Unmarshal(row.Value, &n); err != nil {
		events.Emit(event.RowUnreadable, event.Subject{Detail: row.String()})
		return
	}
	e := roster.Life(n.Upstream, n.Started)
	if e == nil {
		return
	}
	if n.Loading {
		e.NoteSwap(n.Model, time.Now().Add(loadTime))
		return
	}
	e.NoteSwap(n.Model, time.Time{})
	e.NoteVersion(n.Model, n.Version)
}
