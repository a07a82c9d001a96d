package weights

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
	"dogwoodpond/internal/wait"
)

// Engines reaches model engines; *engine.Client implements it.
type Engines interface {
	// Load returns an engine's load report.
	Load(ctx context.Context, address string) (engine.Load, error)
	// Order gives an order; a repeat with the same ID is harmless.
	Order(ctx context.Context, address string, order engine.Order) error
}

// Roller gives weight orders for one failure domain.
type Roller struct {
	engines Engines
	events  *event.Recorder
	// loads bounds the loads per second, since every load draws on the weight
	// store.
	loads *rate.Limiter

	mu      sync.Mutex
	loading map[string]bool
	running sync.WaitGroup
}

// NewRoller returns a roller that starts at most loadsPerSecond loads a second.
func NewRoller(engines Engines, events *event.Recorder, loadsPerSecond float64) *Roller {
	burst := max(1, int(loadsPerSecond))
	return &Roller{
		engines: engines,
		events:  events,
		loads:   rate.NewLimiter(rate.Limit(loadsPerSecond), burst),
		loading: make(map[string]bool),
	}
}

// Tick starts the loads that are due on the engines as they were just observed.
// An engine that gave no report must be left out: without its version and
// incarnation an order would be a guess. Tick does not wait for the loads; Wait
// does.
func (r *Roller) Tick(ctx context.Context, guard fence.Guard, engines []Engine, latest map[string]int64) {
	for _, target := range Next(r.markLoading(engines), latest) {
		if !r.loads.Allow() {
			return
		}
		r.setLoading(target.Engine.ID, true)
		r.running.Go(func() {
			defer r.setLoading(target.Engine.ID, false)
			r.load(ctx, guard, target)
		})
	}
}

// Wait waits for the loads that were started.
func (r *Roller) Wait() { r.running.Wait() }

// markLoading tells which engines have an order under way.
func (r *Roller) markLoading(engines []Engine) []Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	marked := slices.Clone(engines)
	for i := range marked {
		marked[i].Loading = r.loading[marked[i].ID]
	}
	return marked
}

func (r *Roller) setLoading(id string, loading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loading[id] = loading
}

const (
	orderTries = 3
	orderPause = 500 * time.Millisecond
)

// load orders one engine to load a version. After an answer that leaves the
// outcome open the engine's report is read before the order is repeated, with
// the same ID. An engine that still serves the old version afterwards is found
// again by the next tick.
func (r *Roller) load(ctx context.Context, guard fence.Guard, target Target) {
	e := target.Engine
	order := engine.Order{
		ID:      fmt.Sprintf("weights/%s/%s/%d", e.ID, e.Incarnation, target.Version),
		Epoch:   guard.Epoch(),
		Kind:    engine.OrderLoadWeights,
		Version: target.Version,
	}
	subject := event.Subject{Upstream: e.ID, Epoch: order.Epoch, Count: target.Version}
	for range orderTries {
		if guard.Check() != nil {
			return
		}
		r.events.Emit(event.OrderGiven, subject)
		err := r.engines.Order(fence.Context(ctx, guard), e.Address, order)
		if err == nil || r.serves(ctx, target) {
			r.events.Emit(event.WeightsLoaded, subject)
			return
		}
		failed := subject
		failed.Detail = string(fault.CodeOf(err))
		r.events.Emit(event.OrderFailed, failed)
		if fault.Is[*fault.OrderFenced](err) || !wait.For(ctx, orderPause) {
			return
		}
	}
}

func (r *Roller) serves(ctx context.Context, target Target) bool {
	load, err := r.engines.Load(ctx, target.Engine.Address)
	return err == nil && load.Model == target.Engine.Model && load.WeightVersion >= target.Version
}
