package enginepool

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease/leasetest"
)

var (
	replies = Pool{Model: "berry-1", Adapter: "replies"}
	rotas   = Pool{Model: "berry-1", Adapter: "rotas"}
)

func enginesOf(pool Pool, n, busy int) []Engine {
	var list []Engine
	for i := range n {
		list = append(list, Engine{
			ID:        fmt.Sprintf("%s-%d", pool.Adapter, i),
			Pool:      pool,
			Adaptable: true,
			Requests:  busy,
			Slots:     8,
		})
	}
	return list
}

// nextMove calls p.NextMove with a constant queue until it returns a move, at most ticks times.
func nextMove(p *Planner, engines []Engine, queued map[Pool]int, ticks int) (Move, bool) {
	for range ticks {
		if move, ok := p.NextMove(engines, queued); ok {
			return move, true
		}
	}
	return Move{}, false
}

func TestEngineOfIdlePoolMovesToPoolWithQueue(t *testing.T) {
	engines := append(enginesOf(replies, 2, 8), enginesOf(rotas, 3, 1)...)
	move, ok := nextMove(NewPlanner(), engines, map[Pool]int{replies: 5}, minQueuedTicks)
	if !ok || move.To != replies || move.Engine.Pool != rotas {
		t.Errorf("got %+v (%v), want an engine of rotas to move to replies", move, ok)
	}
}

func TestNoMoveForBriefPeakOrFromBusyPool(t *testing.T) {
	idle := append(enginesOf(replies, 2, 8), enginesOf(rotas, 3, 1)...)
	busy := append(enginesOf(replies, 2, 8), enginesOf(rotas, 3, 6)...)
	last := append(enginesOf(replies, 2, 8), enginesOf(rotas, 1, 0)...)
	cases := []struct {
		name    string
		engines []Engine
		queued  map[Pool]int
		ticks   int
	}{
		{name: "brief peak", engines: idle, queued: map[Pool]int{replies: 5}, ticks: minQueuedTicks - 1},
		{name: "busy donor", engines: busy, queued: map[Pool]int{replies: 5}, ticks: 20},
		{name: "last engine", engines: last, queued: map[Pool]int{replies: 5}, ticks: 20},
		{name: "donor has a queue too", engines: idle, queued: map[Pool]int{replies: 5, rotas: 1}, ticks: 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if move, ok := nextMove(NewPlanner(), c.engines, c.queued, c.ticks); ok {
				t.Errorf("moved %+v", move)
			}
		})
	}
}

// failingOrders fails every order as unanswered and records its ID.
type failingOrders struct{ ids []string }

func (o *failingOrders) Order(_ context.Context, address string, order engine.Order) error {
	o.ids = append(o.ids, order.ID)
	return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "no answer"})
}

// Guards against a move that an engine ignores as a repeated order. An earlier order that
// was not answered may have taken effect and been undone since; a later order with the same
// ID would then have no effect.
func TestEachMoveHasItsOwnOrderID(t *testing.T) {
	orders := &failingOrders{}
	events := event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
	m := NewMover(orders, events, 10*time.Second)
	engines := append(enginesOf(replies, 2, 8), enginesOf(rotas, 3, 1)...)
	for range 3 * minQueuedTicks {
		_ = m.Tick(t.Context(), leasetest.Held(3), engines, map[Pool]int{replies: 5})
	}
	seen := make(map[string]bool)
	for _, id := range orders.ids {
		if seen[id] {
			t.Errorf("the ID %s was used twice", id)
		}
		seen[id] = true
	}
	if len(orders.ids) < 2 {
		t.Errorf("%d orders were sent, want at least 2", len(orders.ids))
	}
}
