package weights

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

const swapTime = 2 * time.Second

// pool stands in for engines that pause their work during a swap.
type pool struct {
	mu       sync.Mutex
	versions map[string]int64
	busy     int
	swapping int
	// most is the highest number of swaps at once.
	most   int
	orders map[string]int
	fail   func(address string, order engine.Order) error
}

func newPool(n int) *pool {
	p := &pool{versions: make(map[string]int64), orders: make(map[string]int)}
	for i := range n {
		p.versions[fmt.Sprintf("engine-%02d", i)] = 1
	}
	return p
}

func (p *pool) engines() []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Engine
	for id, version := range p.versions {
		list = append(list, Engine{
			ID:          id,
			Address:     id,
			Model:       "berry-1",
			Incarnation: "1",
			Version:     version,
			Busy:        p.busy,
			Slots:       8,
		})
	}
	return list
}

func (p *pool) Load(_ context.Context, address string) (engine.Load, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return engine.Load{Model: "berry-1", WeightVersion: p.versions[address], Incarnation: "1", Running: p.busy}, nil
}

func (p *pool) Order(ctx context.Context, address string, order engine.Order) error {
	if p.fail != nil {
		if err := p.fail(address, order); err != nil {
			return err
		}
	}
	p.change(1)
	time.Sleep(swapTime)
	p.change(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders[order.ID]++
	p.versions[address] = order.Version
	return nil
}

func (p *pool) change(by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.swapping += by
	p.most = max(p.most, p.swapping)
}

func (p *pool) allAt(version int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.versions {
		if v != version {
			return false
		}
	}
	return true
}

type held struct{ lost bool }

func (h *held) Check() error {
	if h.lost {
		return errors.WithStack(&fault.LeaseLost{Lease: "l", Epoch: 1})
	}
	return nil
}

func (*held) Epoch() uint64       { return 7 }
func (*held) Deadline() time.Time { return time.Now().Add(time.Hour) }

func newRoller(p *pool) *Roller {
	events := event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
	return NewRoller(p, events, 100)
}

// rollOut ticks until every engine serves the version and returns how long that
// took; it gives up after a minute.
func rollOut(t *testing.T, r *Roller, p *pool, guard *held) time.Duration {
	t.Helper()
	started := time.Now()
	for time.Since(started) < time.Minute && !p.allAt(2) {
		// Swaps end at the same instants at which the roller ticks. They end first:
		// otherwise a wave is seen half a second later, in one run of some 400.
		synctest.Wait()
		r.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
		time.Sleep(500 * time.Millisecond)
	}
	r.Wait()
	return time.Since(started)
}

func TestIdlePoolLoadsAtOnceAndBusyPoolInWaves(t *testing.T) {
	cases := []struct {
		name  string
		busy  int
		most  int
		bound time.Duration
	}{
		{name: "idle", busy: 0, most: 16, bound: 3 * time.Second},
		{name: "half busy", busy: 4, most: 8, bound: 6 * time.Second},
		{name: "full", busy: 8, most: 4, bound: 11 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(16)
				p.busy = c.busy
				took := rollOut(t, newRoller(p), p, &held{})
				if p.most > c.most {
					t.Errorf("%d engines loaded at once, want at most %d", p.most, c.most)
				}
				if took > c.bound {
					t.Errorf("the roll-out took %v, want at most %v", took, c.bound)
				}
			})
		})
	}
}

// An engine fails its swap twice and loses a reply once. Without a look at what
// it serves it would be left behind with old weights, and its samples would go
// stale unnoticed.
func TestFailedSwapIsMended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(4)
		failures := 0
		p.fail = func(address string, _ engine.Order) error {
			if address == "engine-01" && failures < 2 {
				failures++
				return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "500"})
			}
			return nil
		}
		rollOut(t, newRoller(p), p, &held{})
		if !p.allAt(2) {
			t.Error("an engine was left behind")
		}
	})
}

// The swap takes effect and the reply is lost. The order must not be given as a
// new one, which would load the weights a second time.
func TestLostReplyDoesNotLoadTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		p.fail = func(address string, order engine.Order) error {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.orders[order.ID]++
			p.versions[address] = order.Version
			return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "no answer"})
		}
		rollOut(t, newRoller(p), p, &held{})
		for id, n := range p.orders {
			if n != 1 {
				t.Errorf("order %s was given %d times, want once", id, n)
			}
		}
	})
}

// The lease goes to another VM in the middle of a roll-out. Orders from both
// could set an engine back to older weights.
func TestNoOrderAfterTheLeaseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(8)
		p.busy = 8
		guard := &held{}
		r := newRoller(p)
		r.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
		synctest.Wait()
		p.mu.Lock()
		before := p.swapping
		p.mu.Unlock()
		guard.lost = true
		time.Sleep(2 * swapTime) // The next wave has room now.
		r.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
		r.Wait()
		if got := len(p.orders); got != before {
			t.Errorf("%d orders were carried out, want the %d from before the loss", got, before)
		}
	})
}
