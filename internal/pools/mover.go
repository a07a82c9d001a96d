package pools

import (
	"context"
	"fmt"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
)

// Orders gives orders to engines.
type Orders interface {
	// Order gives an order; a repeat with the same ID is harmless.
	Order(ctx context.Context, address string, order engine.Order) error
}

// Mover carries out the moves of one holder of a lease.
type Mover struct {
	planner *Planner
	orders  Orders
	events  *event.Recorder
	count   int
}

// NewMover returns a mover.
func NewMover(orders Orders, events *event.Recorder) *Mover {
	return &Mover{planner: NewPlanner(), orders: orders, events: events}
}

// Tick plans and orders at most one move. An order without an answer is not
// repeated: the next reports show what the engine serves, and the next plan
// goes on from there.
func (m *Mover) Tick(ctx context.Context, guard fence.Guard, engines []Engine, queued map[Pool]int) error {
	move, ok := m.planner.Next(engines, queued)
	if !ok {
		return nil
	}
	if err := guard.Check(); err != nil {
		return err
	}
	m.count++
	order := engine.Order{
		ID:      fmt.Sprintf("pool/%s/%d/%d", move.Engine.ID, guard.Epoch(), m.count),
		Epoch:   guard.Epoch(),
		Kind:    engine.OrderSetPool,
		Model:   move.To.Model,
		Adapter: move.To.Adapter,
	}
	subject := event.Subject{Upstream: move.Engine.ID, Epoch: order.Epoch, Detail: move.To.Model + "+" + move.To.Adapter}
	m.events.Emit(event.OrderGiven, subject)
	err := m.orders.Order(fence.Context(ctx, guard), move.Engine.Address, order)
	if err != nil {
		subject.Detail = string(fault.CodeOf(err))
		m.events.Emit(event.OrderFailed, subject)
	}
	return err
}
