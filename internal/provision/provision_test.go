package provision

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease/leasetest"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/memtables"
)

const (
	account = contract.Account("berry")
	model   = "berry-1"
	price   = 100
	limit   = 500
)

// fakePlatform starts and stops upstreams as ordered. It can lose requests and replies, and
// delay orders. Its list shows the running upstreams as of the last refresh.
type fakePlatform struct {
	random       *rand.Rand
	faultPercent int
	checksEpochs bool
	// onlyDelays makes every fault a delay of the order.
	onlyDelays bool
	available  map[string]int
	epochs     map[string]uint64
	executed   map[string]bool
	running    []platformapi.Upstream
	delayed    []delayedOrder
	listed     []platformapi.Upstream
	starts     int
	overspends int
}

type delayedOrder struct {
	order platformapi.Order
	at    time.Time
}

func newFakePlatform(random *rand.Rand, faultPercent int, domains ...string) *fakePlatform {
	f := &fakePlatform{
		random:       random,
		faultPercent: faultPercent,
		checksEpochs: true,
		available:    make(map[string]int),
		epochs:       make(map[string]uint64),
		executed:     make(map[string]bool),
	}
	for _, d := range domains {
		f.available[d] = 4
	}
	return f
}

func (f *fakePlatform) Order(_ context.Context, o platformapi.Order) error {
	f.executeDelayed()
	if f.random.IntN(100) >= f.faultPercent {
		return f.execute(o)
	}
	kind := f.random.IntN(3)
	if f.onlyDelays {
		kind = 2
	}
	switch kind {
	case 0: // The request is lost.
	case 1: // The reply is lost.
		_ = f.execute(o)
	default: // The order is delayed by less than releaseDelay.
		delay := time.Duration(f.random.IntN(20)) * time.Second
		f.delayed = append(f.delayed, delayedOrder{order: o, at: time.Now().Add(delay)})
	}
	return errors.WithStack(&fault.StoreUnavailable{Operation: "order", EffectUnknown: true})
}

func (f *fakePlatform) executeDelayed() {
	var remaining []delayedOrder
	for _, d := range f.delayed {
		if d.at.After(time.Now()) {
			remaining = append(remaining, d)
			continue
		}
		_ = f.execute(d.order)
	}
	f.delayed = remaining
}

func (f *fakePlatform) execute(o platformapi.Order) error {
	if f.checksEpochs && o.Epoch < f.epochs[o.FailureDomain] {
		return errors.WithStack(&fault.OrderFenced{Order: o.ID, Epoch: o.Epoch})
	}
	f.epochs[o.FailureDomain] = max(f.epochs[o.FailureDomain], o.Epoch)
	if f.executed[o.ID] {
		return nil
	}
	if o.Kind == platformapi.OrderStop {
		f.stop(o.Upstream)
		f.executed[o.ID] = true
		return nil
	}
	if f.available[o.FailureDomain] == 0 {
		return errors.WithStack(&fault.PlatformRefused{Operation: "order", Status: 409})
	}
	f.executed[o.ID] = true
	f.available[o.FailureDomain]--
	f.starts++
	f.running = append(f.running, platformapi.Upstream{
		ID:            fmt.Sprintf("u%d", f.starts),
		Kind:          platformapi.KindEngine,
		FailureDomain: o.FailureDomain,
		State:         platformapi.UpstreamLive,
		Model:         o.Model,
		Account:       o.Account,
		OrderID:       o.ID,
		CentsPerHour:  price,
	})
	if len(f.running)*price > limit {
		f.overspends++
	}
	return nil
}

func (f *fakePlatform) stop(id string) {
	for i, u := range f.running {
		if u.ID == id {
			f.running = append(f.running[:i:i], f.running[i+1:]...)
			f.available[u.FailureDomain]++
			return
		}
	}
}

// refresh updates the list from the running upstreams.
func (f *fakePlatform) refresh() {
	f.executeDelayed()
	f.listed = append([]platformapi.Upstream(nil), f.running...)
}

func (f *fakePlatform) Upstreams(context.Context) ([]platformapi.Upstream, error) {
	return f.listed, nil
}

func (f *fakePlatform) Offers(context.Context) ([]platformapi.Offer, error) {
	var offers []platformapi.Offer
	for d, n := range f.available {
		offers = append(offers, platformapi.Offer{FailureDomain: d, Model: model, CentsPerHour: price, Available: max(n, 1)})
	}
	return offers, nil
}

// takenGuard is the guard of a lease whose row has another holder, which only Confirm notices.
type takenGuard struct{ leasetest.Held }

func (takenGuard) Confirm(context.Context) error {
	return errors.WithStack(&fault.LeaseLost{Lease: "l", Epoch: 1})
}

func (g takenGuard) BeginAction(ctx context.Context, _ string) (func(bool), error) {
	return nil, g.Confirm(ctx)
}

// Guards against orders of a holder whose clock stopped, as on a suspended machine.
func TestNoOrderWithoutAConfirmedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform(rand.New(rand.NewPCG(1, 1)), 0, "a")
		p := newProvisioner("a", memtables.NewTables(), f)
		offers, _ := f.Offers(t.Context())
		round := Round{
			Offers:    offers,
			Demands:   []Demand{{Account: account, Model: model, Queued: 10, Running: 10}},
			Contracts: map[contract.Account]contract.Contract{account: testContract()},
		}
		var err error
		for began := time.Now(); err == nil && time.Since(began) < time.Minute; time.Sleep(time.Second) {
			err = p.Run(t.Context(), takenGuard{}, round)
		}
		f.refresh()
		if !fault.Is[*fault.LeaseLost](err) || len(f.running) > 0 {
			t.Errorf("%d upstreams were ordered after another VM had taken the lease, error %v", len(f.running), err)
		}
	})
}

func newProvisioner(domain string, tables platformapi.Tables, f *fakePlatform) *Provisioner {
	started := time.Now()
	events := event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
	return NewProvisioner(domain, tables, f, events, func() time.Duration { return time.Since(started) })
}

// interleavedTables sometimes runs another holder between a holder's scan and its next call.
type interleavedTables struct {
	platformapi.Tables
	random     *rand.Rand
	concurrent func()
}

func (i *interleavedTables) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, error) {
	rows, err := i.Tables.Scan(ctx, prefix, after, limit)
	if other := i.concurrent; other != nil && i.random.IntN(6) == 0 {
		i.concurrent = nil
		other()
		i.concurrent = other
	}
	return rows, err
}

func testContract() contract.Contract {
	c := contract.DefaultContract(account)
	c.Spending.CentsPerHour = limit
	return c
}

// runRound runs a round with a demand of queued and running requests.
func runRound(t *testing.T, p *Provisioner, epoch uint64, f *fakePlatform, queued, running int) error {
	t.Helper()
	offers, _ := f.Offers(t.Context())
	d := Demand{Account: account, Model: model, Queued: queued, Running: running}
	return p.Run(t.Context(), leasetest.Held(epoch), Round{
		Listed:    f.listed,
		Offers:    offers,
		Demands:   []Demand{d},
		Contracts: map[contract.Account]contract.Contract{account: testContract()},
	})
}

func TestUpstreamsAreOrderedUpToTheContractsSpending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform(rand.New(rand.NewPCG(1, 1)), 0, "a", "b")
		tables := memtables.NewTables()
		a, b := newProvisioner("a", tables, f), newProvisioner("b", tables, f)
		for range 60 {
			for _, p := range []*Provisioner{a, b} {
				if err := runRound(t, p, 1, f, 10, 10); err != nil {
					t.Fatalf("Run: %v", err)
				}
			}
			f.refresh()
			time.Sleep(time.Second)
		}
		if got := len(f.running); got != limit/price {
			t.Errorf("%d upstreams run, want %d", got, limit/price)
		}
		for range 200 {
			for _, p := range []*Provisioner{a, b} {
				_ = runRound(t, p, 1, f, 0, 0)
			}
			f.refresh()
			time.Sleep(time.Second)
		}
		if got := len(f.running); got != 0 {
			t.Errorf("%d upstreams run without demand, want none", got)
		}
	})
}

// Orders and their replies are lost or delayed. In each of two failure domains two processes
// consider themselves the lease holder at the same time, and with every other seed the
// platform ignores fencing tokens. Still the price of the running upstreams must never
// exceed the contract's spending.
func TestSpendingIsNeverExceeded(t *testing.T) {
	const seeds = 80
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) { checkSpending(t, seed) })
	}
}

// checkSpending runs random rounds and evictions while the platform loses and delays orders.
func checkSpending(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	f := newFakePlatform(random, 30, "a", "b")
	f.checksEpochs = seed%2 == 0
	tables := &interleavedTables{Tables: memtables.NewTables(), random: random}
	holders := []*Provisioner{
		newProvisioner("a", tables, f), newProvisioner("a", tables, f),
		newProvisioner("b", tables, f), newProvisioner("b", tables, f),
	}
	tables.concurrent = func() {
		i := random.IntN(len(holders))
		_ = runRound(t, holders[i], uint64(1+i%2), f, 10, 10)
	}
	for range 400 {
		i := random.IntN(len(holders))
		queued := 0
		if random.IntN(3) > 0 {
			queued = 10
		}
		_ = runRound(t, holders[i], uint64(1+i%2), f, queued, queued)
		if random.IntN(4) == 0 {
			f.refresh()
		}
		if random.IntN(40) == 0 && len(f.running) > 0 {
			f.stop(f.running[0].ID) // An eviction.
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
	if f.overspends > 0 {
		t.Errorf("seed %d: the spending was exceeded %d times", seed, f.overspends)
	}
	if f.starts == 0 {
		t.Errorf("seed %d: nothing was started", seed)
	}
}

// A process dies after its start order took effect. The new holder learns of the order from
// the ledger only. If it sent a new order instead of the same one, a second upstream would
// be started for the same demand.
func TestNewHolderDoesNotDuplicateAnExecutedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform(rand.New(rand.NewPCG(1, 1)), 0, "a")
		tables := memtables.NewTables()
		first := newProvisioner("a", tables, f)
		for range startAfterRounds {
			if err := runRound(t, first, 1, f, 5, 0); err != nil {
				t.Fatalf("Run: %v", err)
			}
		}
		if f.starts != 1 {
			t.Fatalf("%d upstreams were started, want 1", f.starts)
		}
		newHolder := newProvisioner("a", tables, f)
		for range 10 {
			if err := runRound(t, newHolder, 2, f, 5, 0); err != nil {
				t.Fatalf("Run: %v", err)
			}
			time.Sleep(time.Second)
		}
		if f.starts != 1 {
			t.Errorf("%d upstreams were started, want 1", f.starts)
		}
	})
}

// The platform answers no orders of a failure domain and delays their execution. If their
// reservations were released meanwhile, another failure domain would order upstreams for the
// same part of the spending.
func TestReservationIsHeldWhileAnOrderIsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform(rand.New(rand.NewPCG(1, 1)), 0, "a", "b")
		f.available["b"] = 10
		tables := memtables.NewTables()
		a, b := newProvisioner("a", tables, f), newProvisioner("b", tables, f)
		f.onlyDelays = true
		for range 100 {
			f.faultPercent = 100
			_ = runRound(t, a, 1, f, 5, 5)
			f.faultPercent = 0
			_ = runRound(t, b, 1, f, 5, 5)
			f.refresh()
			f.listed = nil
			if len(f.delayed) > 0 {
				f.delayed[0].at = time.Now().Add(90 * time.Second)
				f.delayed = f.delayed[:1]
			}
			time.Sleep(time.Second)
		}
		f.refresh()
		if f.overspends > 0 {
			t.Errorf("the spending was exceeded %d times", f.overspends)
		}
	})
}
