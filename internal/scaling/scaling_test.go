package scaling

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

func TestCounts(t *testing.T) {
	scale := route.Scale{Minimum: 1, Maximum: 6, ReclaimablePrice: 0.2}
	for _, c := range []struct {
		name    string
		need    Need
		domains int
		scale   route.Scale
		want    KindCounts
	}{
		{"engines for each model, a few of them reclaimable", Need{Models: 3, Items: 176, Slots: 12}, 3, scale, KindCounts{5, 1}},
		{"slots for the items", Need{Models: 2, Items: 204, Slots: 12}, 3, scale, KindCounts{4, 0}},
		{"at most the maximum", Need{Models: 4, Items: 2000, Slots: 12}, 3, scale, KindCounts{6, 0}},
		{"reclaimable upstreams at the same price", Need{Models: 3, Items: 176, Slots: 12}, 3, route.Scale{Minimum: 1, Maximum: 6, ReclaimablePrice: 1}, KindCounts{6, 0}},
		{"no reclaimable upstreams", Need{Models: 3, Items: 176, Slots: 12}, 3, route.Scale{Minimum: 1, Maximum: 6}, KindCounts{6, 0}},
		{"at least the minimum", Need{Models: 1, Items: 1, Slots: 12}, 3, route.Scale{Minimum: 3, Maximum: 6, ReclaimablePrice: 0.2}, KindCounts{3, 0}},
		{"fleet of 45 engines", Need{Models: 4, Items: 600, Slots: 8}, 3, route.Scale{Minimum: 1, Maximum: 30, ReclaimablePrice: 0.2}, KindCounts{15, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, ok := Counts(c.need, c.domains, &c.scale); !ok || got != c.want {
				t.Errorf("Counts = %v, %v; want %v", got, ok, c.want)
			}
		})
	}
}

// Guards against a VM that has just started, knows no steps yet and orders away all
// upstreams, which other VMs need.
func TestUnknownNeedOrdersNothing(t *testing.T) {
	if got, ok := Counts(Need{Slots: 12}, 3, &route.Scale{Minimum: 1, Maximum: 6}); ok {
		t.Errorf("Counts = %v without a known need", got)
	}
}

// fakePlatform records orders. It executes the first lostReplies orders without a reply and
// refuses the refusedOrders orders after them.
type fakePlatform struct {
	mu            sync.Mutex
	orders        []Order
	receivedAt    []time.Time
	lostReplies   int
	refusedOrders int
}

func (p *fakePlatform) OrderUpstreams(_ context.Context, order Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders, p.receivedAt = append(p.orders, order), append(p.receivedAt, time.Now())
	if p.lostReplies > 0 {
		p.lostReplies--
		return errors.WithStack(&fault.StoreUnavailable{Operation: "order", EffectUnknown: true})
	}
	if p.refusedOrders > 0 {
		p.refusedOrders--
		return errors.WithStack(&fault.PlatformRefused{Operation: "order", Status: 409})
	}
	return nil
}

func (p *fakePlatform) received() []Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Order(nil), p.orders...)
}

// fakeCounts returns the counts that the test sets.
type fakeCounts struct {
	mu  sync.Mutex
	set map[string]KindCounts
}

func (c *fakeCounts) Upstreams(string) map[string]KindCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set
}

func (c *fakeCounts) replace(set map[string]KindCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set = set
}

const (
	leaseTerm = 3 * time.Second
	// pollInterval is the longest interval at which candidates read the row of a lease.
	pollInterval = leaseTerm / 3
)

func startOrderer(t *testing.T, store rowstore.Store, counts *fakeCounts, p Platform, vm string, options ...lease.Option) context.CancelFunc {
	stop, _ := startStoppableOrderer(t, store, counts, p, vm, options...)
	return stop
}

// startStoppableOrderer starts an orderer; ended is closed once it has ended after stop.
func startStoppableOrderer(t *testing.T, store rowstore.Store, counts *fakeCounts, p Platform, vm string, options ...lease.Option) (stop context.CancelFunc, ended <-chan struct{}) {
	events := event.NewRecorder(vm, 16, event.NewClock(time.Now), zap.NewNop())
	o := &Orderer{
		VM: vm, Domain: "x", DesiredCounts: counts, Platform: p, Events: events,
		Leases: lease.NewManager(rowstore.NewTables(store, "lease"), vm, leaseTerm, events, options...),
	}
	ctx, kill := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Run(ctx)
	}()
	t.Cleanup(kill)
	return kill, done
}

func TestOrdersFollowDesiredCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts, p := &fakeCounts{}, &fakePlatform{}
		startOrderer(t, memory.New(), counts, p, "a")
		time.Sleep(5 * time.Second)
		if n := len(p.received()); n != 0 {
			t.Fatalf("%d orders without a known need", n)
		}
		counts.replace(map[string]KindCounts{"lm": {5, 1}})
		time.Sleep(time.Second)
		got := p.received()
		if len(got) != 2 || got[0].Count != 5 || got[0].Kind != Fixed || got[1].Count != 1 || got[1].Kind != Reclaimable {
			t.Fatalf("orders: %+v", got)
		}
		counts.replace(map[string]KindCounts{"lm": {6, 0}})
		time.Sleep(time.Second)
		if got = p.received()[2:]; len(got) != 2 || got[0].Count != 6 || got[1].Count != 0 {
			t.Errorf("orders after the change: %+v", got)
		}
	})
}

// Guards against a failure domain that stays short of upstreams: the reply to an order is
// lost, and then the platform can't provide upstreams for a while. The same count must be
// ordered again.
func TestOrdersAreRetriedUntilExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts, p := &fakeCounts{set: map[string]KindCounts{"lm": {4, 0}}}, &fakePlatform{lostReplies: 1, refusedOrders: 2}
		startOrderer(t, memory.New(), counts, p, "a")
		time.Sleep(9 * time.Second)
		got := p.received()
		if len(got) != 4 {
			t.Fatalf("%d orders, want the first and three repeats: %+v", len(got), got)
		}
		for _, order := range got {
			if order.Count != 4 || order.Epoch != got[0].Epoch {
				t.Errorf("order %+v differs from the first", order)
			}
		}
	})
}

// Guards against an older order that stays in force: a delayed copy of it arrives after
// the newest order. The platform does not report the count in force, so the newest order
// must be repeated.
func TestNewestOrderIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts, p := &fakeCounts{set: map[string]KindCounts{"lm": {4, 0}}}, &fakePlatform{}
		startOrderer(t, memory.New(), counts, p, "a")
		time.Sleep(5 * time.Second)
		before := len(p.received())
		time.Sleep(repeatInterval + planInterval)
		if got := p.received(); len(got) != before+1 || got[before].Count != 4 {
			t.Errorf("%d orders within %s after the first %d, want 1", len(got)-before, repeatInterval, before)
		}
	})
}

// The holder of the lease is killed. The new holder must not send an order while one of the
// previous holder may still arrive, and its orders must have a higher epoch. A platform with two
// senders would start and stop upstreams alternately.
func TestNewHolderOrdersWithHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, counts, p := memory.New(), &fakeCounts{set: map[string]KindCounts{"lm": {4, 0}}}, &fakePlatform{}
		kill := startOrderer(t, store, counts, p, "a")
		time.Sleep(5 * time.Second)
		startOrderer(t, store, counts, p, "b")
		time.Sleep(time.Second)
		kill()
		killedAt := time.Now()
		time.Sleep(3 * leaseTerm)
		got := p.received()
		last := got[len(got)-1]
		if last.Holder != "b" || last.Epoch <= got[0].Epoch {
			t.Fatalf("orders: %+v", got)
		}
		for i, order := range got {
			if order.Holder == "b" && p.receivedAt[i].Sub(killedAt) < orderTimeout {
				t.Errorf("the new holder ordered %s after the previous holder was killed", p.receivedAt[i].Sub(killedAt))
			}
		}
	})
}

// stallingPlatform stands still for a while: it accepts connections, and executes what
// waits there, the newest order first, when it goes on. It executes orders also if their
// sender has given up.
type stallingPlatform struct {
	mu      sync.Mutex
	stalled bool
	waiting []Order
	goOn    chan struct{}
	// executed holds the epochs of the orders in the order of their execution.
	executed []uint64
}

func (p *stallingPlatform) OrderUpstreams(ctx context.Context, order Order) error {
	p.mu.Lock()
	if !p.stalled {
		p.executed = append(p.executed, order.Epoch)
		p.mu.Unlock()
		return nil
	}
	p.waiting = append(p.waiting, order)
	goOn := p.goOn
	p.mu.Unlock()
	select {
	case <-goOn:
		return nil
	case <-ctx.Done():
		return errors.WithStack(&fault.StoreUnavailable{Operation: "order", EffectUnknown: true})
	}
}

func (p *stallingPlatform) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled, p.goOn = true, make(chan struct{})
}

func (p *stallingPlatform) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.waiting) - 1; i >= 0; i-- {
		p.executed = append(p.executed, p.waiting[i].Epoch)
	}
	p.stalled, p.waiting = false, nil
	close(p.goOn)
}

// awaitOrder waits until an order waits.
func (p *stallingPlatform) awaitOrder(t *testing.T) {
	t.Helper()
	for range 2 * planInterval / time.Millisecond {
		time.Sleep(time.Millisecond)
		p.mu.Lock()
		n := len(p.waiting)
		p.mu.Unlock()
		if n > 0 {
			return
		}
	}
	t.Fatal("no order waits at the platform")
}

// epochs returns the epochs of the executed orders.
func (p *stallingPlatform) epochs() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.executed)
}

// Guards against a stop that lets the next holder order while an order of the stopped one
// waits at a platform that stands still.
func TestOrderThatWaitsAtThePlatformIsNotOvertakenAfterAStop(t *testing.T) {
	for _, c := range []struct {
		name                  string
		stalledFor, stopAfter time.Duration
	}{
		{"order in flight", 1500 * time.Millisecond, 10 * time.Millisecond},
		{"order in flight at a long stall", 3 * time.Second, 10 * time.Millisecond},
		{"order in flight at a stall of two terms", 7 * time.Second, 10 * time.Millisecond},
		{"abandoned order", 3 * time.Second, orderTimeout + 100*time.Millisecond},
		{"abandoned order at a stall of two terms", 7 * time.Second, orderTimeout + 100*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The phases shift the stop against the polls of the next holder.
			for phase := time.Duration(0); phase < leaseTerm; phase += 100 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store, counts, p := memory.New(), &fakeCounts{set: map[string]KindCounts{"lm": {4, 0}}}, &stallingPlatform{}
					stop := startOrderer(t, store, counts, p, "a")
					time.Sleep(5 * time.Second)
					startOrderer(t, store, counts, p, "b")
					time.Sleep(time.Second + phase)
					p.stall()
					counts.replace(map[string]KindCounts{"lm": {5, 0}})
					p.awaitOrder(t)
					time.Sleep(c.stopAfter)
					stop()
					time.Sleep(c.stalledFor - c.stopAfter)
					p.resume()
					time.Sleep(10 * time.Second)
					epochs := p.epochs()
					if !slices.IsSorted(epochs) {
						t.Errorf("phase %s: epochs %v", phase, epochs)
					}
					if last := epochs[len(epochs)-1]; last != 2 {
						t.Errorf("phase %s: the last order has epoch %d, want 2 of the new holder", phase, last)
					}
				})
			}
		})
	}
}

// killableStore is the store as seen by a process. After the process was killed its calls fail
// without an effect.
type killableStore struct {
	*memory.Store
	killed atomic.Bool
}

var errKilled = errors.WithStack(&fault.StoreUnavailable{Operation: "call of a killed process"})

func (s *killableStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	if s.killed.Load() {
		return 0, errKilled
	}
	return s.Store.Commit(ctx, txn)
}

func (s *killableStore) Read(ctx context.Context, table, part, from, to string) (rowstore.Page, error) {
	if s.killed.Load() {
		return rowstore.Page{}, errKilled
	}
	return s.Store.Read(ctx, table, part, from, to)
}

// Guards against a next holder, or a next process of the same VM, that orders while an order of a
// killed one waits at a platform that stands still, and against long waits if none does.
func TestOrderThatWaitsAtThePlatformIsNotOvertakenAfterAKill(t *testing.T) {
	for _, c := range []struct {
		name       string
		next       string
		stalledFor time.Duration // 0 if the order was answered
		maxWait    time.Duration
	}{
		{"other VM", "b", 7 * time.Second, lease.NewTiming(leaseTerm).PendingActionWait()},
		{"next process", "a", 7 * time.Second, lease.NewTiming(leaseTerm).PendingActionWait()},
		{"other VM, order answered", "b", 0, leaseTerm + leaseTerm/4},
		{"next process, order answered", "a", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The phases shift the kill against the polls of the next holder.
			for phase := time.Duration(0); phase < leaseTerm; phase += 100 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store, counts, p := memory.New(), &fakeCounts{set: map[string]KindCounts{"lm": {4, 0}}}, &stallingPlatform{}
					first := &killableStore{Store: store}
					kill := startOrderer(t, first, counts, p, "a", lease.WithSoleProcess())
					time.Sleep(5 * time.Second)
					if c.next == "b" {
						startOrderer(t, store, counts, p, "b", lease.WithSoleProcess())
					}
					time.Sleep(time.Second + phase)
					if c.stalledFor > 0 {
						p.stall()
						time.AfterFunc(c.stalledFor, p.resume)
					}
					counts.replace(map[string]KindCounts{"lm": {5, 0}})
					if c.stalledFor > 0 {
						p.awaitOrder(t)
					} else {
						time.Sleep(planInterval + time.Millisecond)
					}
					first.killed.Store(true)
					kill()
					killedAt := time.Now()
					if c.next == "a" {
						startOrderer(t, store, counts, p, "a", lease.WithSoleProcess())
					}
					time.Sleep(c.maxWait + pollInterval + lease.OrderGracePeriod(orderTimeout))
					epochs := p.epochs()
					if !slices.IsSorted(epochs) {
						t.Errorf("phase %s: epochs %v", phase, epochs)
					}
					if last := epochs[len(epochs)-1]; last != 2 {
						t.Errorf("phase %s: the last order %s after the kill has epoch %d, want 2 of the next holder", phase, time.Since(killedAt), last)
					}
				})
			}
		})
	}
}

// Guards against a stop that waits longer for the platform than for one order, and against
// next holders that wait for the end of the term although the last order was answered.
func TestStopWaitsForTheOrderInFlight(t *testing.T) {
	for _, c := range []struct {
		name                 string
		stalledFor           time.Duration
		maxStop, maxHandover time.Duration
	}{
		{"slow platform", orderTimeout / 2, orderTimeout / 2, leaseTerm},
		{"platform that stands still", 5 * time.Second, orderTimeout, orderTimeout + lease.NewTiming(leaseTerm).PendingActionWait() + pollInterval + lease.OrderGracePeriod(orderTimeout)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, counts, p := memory.New(), &fakeCounts{set: map[string]KindCounts{"lm": {4, 0}, "vision": {4, 0}}}, &stallingPlatform{}
				stop, ended := startStoppableOrderer(t, store, counts, p, "a")
				time.Sleep(5 * time.Second)
				startOrderer(t, store, counts, p, "b")
				time.Sleep(time.Second)
				p.stall()
				counts.replace(map[string]KindCounts{"lm": {5, 0}, "vision": {5, 0}})
				p.awaitOrder(t)
				time.AfterFunc(c.stalledFor, p.resume)
				stop()
				stoppedAt := time.Now()
				<-ended
				if took := time.Since(stoppedAt); took > c.maxStop {
					t.Errorf("the orderer ended %s after the stop, want at most %s", took, c.maxStop)
				}
				time.Sleep(time.Until(stoppedAt.Add(c.maxHandover)))
				if epochs := p.epochs(); epochs[len(epochs)-1] != 2 {
					t.Errorf("no order of the next holder %s after the stop: epochs %v", c.maxHandover, epochs)
				}
			})
		})
	}
}
