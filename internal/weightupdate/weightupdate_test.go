package weightupdate

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease/leasetest"
)

const loadTime = 2 * time.Second

// fakePool is a pool of fake engines that run no requests while they load weights.
type fakePool struct {
	mu       sync.Mutex
	versions map[string]int64
	busy     int
	loading  int
	// maxLoading is the highest number of concurrent loads.
	maxLoading int
	// orders has the number of executions of each order. An engine executes an order with
	// the same ID once.
	orders map[string]int
	fail   func(address string, order engine.Order) error
}

func newFakePool(n int) *fakePool {
	p := &fakePool{versions: make(map[string]int64), orders: make(map[string]int)}
	for i := range n {
		p.versions[fmt.Sprintf("engine-%02d", i)] = 1
	}
	return p
}

func (p *fakePool) engines() []Engine {
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
			Requests:    p.busy,
			Slots:       8,
		})
	}
	return list
}

func (p *fakePool) LoadReport(_ context.Context, address string) (engine.Load, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return engine.Load{Model: "berry-1", WeightVersion: p.versions[address], Incarnation: "1", Running: p.busy}, nil
}

func (p *fakePool) Order(ctx context.Context, address string, order engine.Order) error {
	if p.fail != nil {
		if err := p.fail(address, order); err != nil {
			return err
		}
	}
	if p.executed(order.ID) {
		return nil
	}
	p.addLoading(1)
	time.Sleep(loadTime)
	p.addLoading(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders[order.ID]++
	p.versions[address] = order.Version
	return nil
}

func (p *fakePool) executed(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orders[id] > 0
}

// revert gives an engine older weights, as an order of an earlier holder does that takes effect
// late.
func (p *fakePool) revert(id string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[id] = version
}

func (p *fakePool) addLoading(by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loading += by
	p.maxLoading = max(p.maxLoading, p.loading)
}

func (p *fakePool) allServe(version int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.versions {
		if v != version {
			return false
		}
	}
	return true
}

// fakeGuard is the guard of a lease. taken is true once the row has another holder, which only
// Confirm notices.
type fakeGuard struct {
	epoch uint64
	lost  bool
	taken atomic.Bool
}

func (g *fakeGuard) Check() error {
	if g.lost {
		return errors.WithStack(&fault.LeaseLost{Lease: "l", Epoch: 1})
	}
	return nil
}

func (g *fakeGuard) Epoch() uint64     { return g.epoch }
func (*fakeGuard) Deadline() time.Time { return time.Now().Add(time.Hour) }

func (g *fakeGuard) Confirm(context.Context) error {
	if g.taken.Load() {
		return errors.WithStack(&fault.LeaseLost{Lease: "l", Epoch: 1})
	}
	return g.Check()
}

func (g *fakeGuard) BeginAction(ctx context.Context, _ string) (func(bool), error) {
	return func(bool) {}, g.Confirm(ctx)
}

func (*fakeGuard) PendingUntil(string) time.Time { return time.Time{} }

// guardOfSuccessor is the guard of a holder whose predecessor left orders without an answer.
type guardOfSuccessor struct {
	leasetest.Held
	pendingAt    []string
	pendingUntil time.Time
}

func (g guardOfSuccessor) PendingUntil(receiver string) time.Time {
	if !slices.Contains(g.pendingAt, receiver) {
		return time.Time{}
	}
	return g.pendingUntil
}

// Guards against an order to an engine at which one of an earlier holder may still take effect, and
// against more loads at once than the pool allows, counted with those that may be in progress there.
func TestEngineWithAPendingOrderCountsAsLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePool(16)
		p.busy = 8
		u := newTestUpdater(p)
		guard := guardOfSuccessor{Held: 2, pendingAt: []string{"engine-00", "engine-01"}, pendingUntil: time.Now().Add(time.Hour)}
		u.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
		u.Wait()
		if p.maxLoading != 2 || p.versions["engine-00"] != 1 || p.versions["engine-01"] != 1 {
			t.Errorf("%d engines loaded at once, want 2 beside the pending ones; versions %v", p.maxLoading, p.versions)
		}
	})
}

func newTestUpdater(p *fakePool) *Updater {
	events := event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
	return NewUpdater(p, events, 100, 10*time.Second)
}

// updateAll calls Tick until every engine serves version 2 and returns how long that took.
// It stops after a minute.
func updateAll(t *testing.T, u *Updater, p *fakePool, guard *fakeGuard) time.Duration {
	t.Helper()
	started := time.Now()
	for time.Since(started) < time.Minute && !p.allServe(2) {
		// Loads end at the same instants at which Tick is called. They must end first:
		// otherwise, in about one run of 400, a wave is seen to end half a second later.
		synctest.Wait()
		u.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
		time.Sleep(500 * time.Millisecond)
	}
	u.Wait()
	return time.Since(started)
}

func TestIdlePoolLoadsAtOnceBusyPoolInWaves(t *testing.T) {
	cases := []struct {
		name        string
		busy        int
		maxLoading  int
		maxDuration time.Duration
	}{
		{name: "idle", busy: 0, maxLoading: 16, maxDuration: 3 * time.Second},
		{name: "half busy", busy: 4, maxLoading: 8, maxDuration: 6 * time.Second},
		{name: "full", busy: 8, maxLoading: 4, maxDuration: 11 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePool(16)
				p.busy = c.busy
				took := updateAll(t, newTestUpdater(p), p, &fakeGuard{})
				if p.maxLoading > c.maxLoading {
					t.Errorf("%d engines loaded at once, want at most %d", p.maxLoading, c.maxLoading)
				}
				if took > c.maxDuration {
					t.Errorf("the weight update took %v, want at most %v", took, c.maxDuration)
				}
			})
		})
	}
}

// The order to one engine fails twice. Without another order the engine would keep its old
// weights, and its samples would become stale unnoticed.
func TestFailedLoadIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePool(4)
		failures := 0
		p.fail = func(address string, _ engine.Order) error {
			if address == "engine-01" && failures < 2 {
				failures++
				return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "500"})
			}
			return nil
		}
		updateAll(t, newTestUpdater(p), p, &fakeGuard{})
		if !p.allServe(2) {
			t.Error("not all engines serve version 2")
		}
	})
}

// The load takes effect and the reply is lost. The order must not be sent as a new one,
// which would load the weights a second time.
func TestLostReplyDoesNotLoadTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePool(1)
		p.fail = func(address string, order engine.Order) error {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.orders[order.ID]++
			p.versions[address] = order.Version
			return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "no answer"})
		}
		updateAll(t, newTestUpdater(p), p, &fakeGuard{})
		for id, n := range p.orders {
			if n != 1 {
				t.Errorf("order %s was sent %d times, want once", id, n)
			}
		}
	})
}

// The lease is lost during a weight update. Orders of the old and the new holder together
// could return an engine to older weights.
func TestNoOrderAfterLeaseLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePool(8)
		p.busy = 8
		guard := &fakeGuard{}
		u := newTestUpdater(p)
		u.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
		synctest.Wait()
		p.mu.Lock()
		before := p.loading
		p.mu.Unlock()
		guard.lost = true
		time.Sleep(2 * loadTime) // The next wave could start now.
		u.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
		u.Wait()
		if got := len(p.orders); got != before {
			t.Errorf("%d orders were executed, want the %d from before the loss", got, before)
		}
	})
}

// Guards against orders that a holder whose clock stopped repeats, as on a suspended machine.
func TestOrderIsNotRepeatedWithoutAConfirmedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePool(1)
		guard := &fakeGuard{}
		sent := 0
		p.fail = func(address string, _ engine.Order) error {
			sent++
			guard.taken.Store(true)
			return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "no answer"})
		}
		u := newTestUpdater(p)
		u.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
		u.Wait()
		if sent != 1 {
			t.Errorf("%d orders were sent, want only the one from before another VM took the lease", sent)
		}
	})
}

// Guards against an engine that keeps older weights until the next version: an order of an
// earlier holder took effect late, and the engine ignores a repeated order with the same ID.
func TestEngineWithOlderWeightsIsLoadedAgain(t *testing.T) {
	for name, nextHolder := range map[string]bool{"same holder": false, "next holder": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePool(1)
				u, guard := newTestUpdater(p), &fakeGuard{epoch: 1}
				updateAll(t, u, p, guard)
				u.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
				for range 2 {
					p.revert("engine-00", 1)
					if nextHolder {
						u, guard = newTestUpdater(p), &fakeGuard{epoch: guard.epoch + 1}
					}
					if took := updateAll(t, u, p, guard); took > 2*loadTime {
						t.Errorf("the engine has the new weights after %v, want at most %v", took, 2*loadTime)
					}
					u.Tick(t.Context(), guard, p.engines(), map[string]int64{"berry-1": 2})
				}
			})
		})
	}
}
