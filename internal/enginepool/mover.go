package enginepool

import (
	"context"
	"fmt"
	"slices"
	"time"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
	"dogwoodpond/internal/lease"
)

// OrderSender sends orders to engines.
type OrderSender interface {
	// Order sends an order to the engine at an address. A repeated order with the same ID
	// has no effect.
	Order(ctx context.Context, address string, order engine.Order) error
}

// Mover moves engines between pools for the holder of a failure domain's lease. It is not
// safe for concurrent use.
type Mover struct {
	planner *Planner
	orders  OrderSender
	events  *event.Recorder
	// orderTimeout is the timeout of one order.
	orderTimeout time.Duration
	orderCount   int
}

// NewMover returns a mover that sends its orders through the given sender.
func NewMover(orders OrderSender, events *event.Recorder, orderTimeout time.Duration) *Mover {
	return &Mover{planner: NewPlanner(), orders: orders, events: events, orderTimeout: orderTimeout}
}

// Tick plans at most one move and sends its order to the engine. queued is the number of
// queued requests by pool. An order without an answer is not repeated: the engine's next
// report shows which pool it serves, and the next plan is based on that report.
func (m *Mover) Tick(ctx context.Context, guard lease.Guard, engines []Engine, queued map[Pool]int) error {
	move, ok := m.planner.NextMove(m.excludePending(guard, engines), queued)
	if !ok {
		return nil
	}
	m.orderCount++
	order := engine.Order{
		ID:      fmt.Sprintf("pool/%s/%d/%d", move.Engine.ID, guard.Epoch(), m.orderCount),
		Epoch:   guard.Epoch(),
		Kind:    engine.OrderSetPool,
		Model:   move.To.Model,
		Adapter: move.To.Adapter,
	}
	subject := event.Subject{Upstream: move.Engine.ID, Epoch: order.Epoch, Detail: move.To.Model + "+" + move.To.Adapter}
	err := lease.ActAt(ctx, guard, move.Engine.ID, m.orderTimeout, func(ctx context.Context) error {
		m.events.Emit(event.OrderSent, subject)
		return m.orders.Order(fence.WithGuard(ctx, guard), move.Engine.Address, order)
	})
	if err != nil && !fault.Is[*fault.LeaseUnconfirmed](err) {
		subject.Detail = string(fault.CodeOf(err))
		m.events.Emit(event.OrderFailed, subject)
	}
	return err
}

// excludePending returns a copy of engines in which those at which an order of an earlier holder
// may still take effect count as not adaptable, so that they are not moved.
func (m *Mover) excludePending(guard lease.Guard, engines []Engine) []Engine {
	movable := slices.Clone(engines)
	for i := range movable {
		movable[i].Adaptable = movable[i].Adaptable && lease.MayActAt(guard, movable[i].ID, m.orderTimeout)
	}
	return movable
}
