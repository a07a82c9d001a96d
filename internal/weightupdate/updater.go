package weightupdate

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/wait"
)

// Engines sends requests to model engines. *engine.Client implements it.
type Engines interface {
	// LoadReport returns an engine's load report: its model, weight version and requests.
	LoadReport(ctx context.Context, address string) (engine.Load, error)
	// Order sends an order. An engine executes orders with the same ID only once.
	Order(ctx context.Context, address string, order engine.Order) error
}

// Updater orders the weight loads of one failure domain.
type Updater struct {
	engines Engines
	events  *event.Recorder
	// limiter limits the weight loads per second, since each of them reads from the
	// weight store.
	limiter *rate.Limiter
	// orderTimeout is the timeout of one order.
	orderTimeout time.Duration

	mu      sync.Mutex
	loading map[string]bool
	// reported holds what the engines reported, by ID.
	reported map[string]reported
	running  sync.WaitGroup
}

// reported is what an incarnation of an engine has reported.
type reported struct {
	incarnation string
	// version is the weight version of the last report.
	version int64
	// reverts is the number of reports with an older version than the one before. An order of
	// an earlier holder that takes effect late reverts an engine.
	reverts int
}

// NewUpdater returns an updater that starts at most loadsPerSecond weight loads a second.
func NewUpdater(engines Engines, events *event.Recorder, loadsPerSecond float64, orderTimeout time.Duration) *Updater {
	burst := max(1, int(loadsPerSecond))
	return &Updater{
		engines:      engines,
		events:       events,
		limiter:      rate.NewLimiter(rate.Limit(loadsPerSecond), burst),
		orderTimeout: orderTimeout,
		loading:      make(map[string]bool),
		reported:     make(map[string]reported),
	}
}

// Tick starts the weight loads that are due, given the current state of the engines.
// engines must not contain an engine without a report, since an order depends on its
// version and incarnation, or one at which an order of an earlier holder is pending. Tick does not wait for the loads to end; Wait does.
func (u *Updater) Tick(ctx context.Context, guard lease.Guard, engines []Engine, latest map[string]int64) {
	u.noteReports(engines)
	for _, planned := range NextLoads(u.markLoading(engines), latest) {
		if !u.limiter.Allow() {
			return
		}
		u.setLoading(planned.Engine.ID, true)
		u.running.Go(func() {
			defer u.setLoading(planned.Engine.ID, false)
			u.load(ctx, guard, planned)
		})
	}
}

// Wait waits for the weight loads that Tick started.
func (u *Updater) Wait() { u.running.Wait() }

func (u *Updater) noteReports(engines []Engine) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range engines {
		last := u.reported[e.ID]
		if last.incarnation != e.Incarnation {
			last = reported{incarnation: e.Incarnation}
		}
		if e.Version < last.version {
			last.reverts++
		}
		last.version = e.Version
		u.reported[e.ID] = last
	}
}

// orderID returns the ID of an order. An engine ignores a repeated ID, also if its weights were
// reverted since, so the ID is another one after a revert and under the next holder.
func (u *Updater) orderID(epoch uint64, planned PlannedLoad) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := planned.Engine
	return fmt.Sprintf("weights/%s/%s/%d/%d/%d", e.ID, e.Incarnation, planned.Version, epoch, u.reported[e.ID].reverts)
}

// markLoading returns a copy of engines in which Loading is set for those with an order
// in progress.
func (u *Updater) markLoading(engines []Engine) []Engine {
	u.mu.Lock()
	defer u.mu.Unlock()
	marked := slices.Clone(engines)
	for i := range marked {
		marked[i].Loading = u.loading[marked[i].ID]
	}
	return marked
}

func (u *Updater) setLoading(id string, loading bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loading[id] = loading
}

const (
	maxOrderAttempts = 3
	orderBackoff     = 500 * time.Millisecond
)

// load orders one engine to load a version. When the answer leaves the outcome unknown,
// load reads the engine's report before it repeats the order with the same ID. If the
// engine still serves the old version at the end, a later Tick starts another load.
func (u *Updater) load(ctx context.Context, guard lease.Guard, planned PlannedLoad) {
	e := planned.Engine
	order := engine.Order{
		ID:      u.orderID(guard.Epoch(), planned),
		Epoch:   guard.Epoch(),
		Kind:    engine.OrderLoadWeights,
		Version: planned.Version,
	}
	subject := event.Subject{Upstream: e.ID, Epoch: order.Epoch, Count: planned.Version}
	for range maxOrderAttempts {
		err := lease.ActAt(ctx, guard, e.ID, u.orderTimeout, func(ctx context.Context) error {
			u.events.Emit(event.OrderSent, subject)
			return u.engines.Order(fence.WithGuard(ctx, guard), e.Address, order)
		})
		if fault.Is[*fault.LeaseUnconfirmed](err) {
			return
		}
		if err == nil || u.serves(ctx, planned) {
			u.events.Emit(event.WeightsLoaded, subject)
			return
		}
		failed := subject
		failed.Detail = string(fault.CodeOf(err))
		u.events.Emit(event.OrderFailed, failed)
		if fault.Is[*fault.OrderFenced](err) || !wait.For(ctx, orderBackoff) {
			return
		}
	}
}

func (u *Updater) serves(ctx context.Context, planned PlannedLoad) bool {
	load, err := u.engines.LoadReport(ctx, planned.Engine.Address)
	return err == nil && load.Model == planned.Engine.Model && load.WeightVersion >= planned.Version
}
