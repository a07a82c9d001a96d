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
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/memtables"
)

const (
	account = contract.Account("berry")
	model   = "berry-1"
	price   = 100
	limit   = 500
)

// market starts and stops upstreams as ordered. It can lose requests and
// replies, and carry orders out late.
type market struct {
	random  *rand.Rand
	percent int
	fences  bool
	// onlyLate lets every hit delay the order.
	onlyLate bool
	spare    map[string]int
	epochs   map[string]uint64
	done     map[string]bool
	running  []platformapi.Upstream
	late     []lateOrder
	listed   []platformapi.Upstream
	starts   int
	overruns int
}

type lateOrder struct {
	order platformapi.Order
	at    time.Time
}

func newMarket(random *rand.Rand, percent int, domains ...string) *market {
	m := &market{
		random:  random,
		percent: percent,
		fences:  true,
		spare:   make(map[string]int),
		epochs:  make(map[string]uint64),
		done:    make(map[string]bool),
	}
	for _, d := range domains {
		m.spare[d] = 4
	}
	return m
}

func (m *market) Order(_ context.Context, o platformapi.Order) error {
	m.land()
	if m.random.IntN(100) >= m.percent {
		return m.carryOut(o)
	}
	kind := m.random.IntN(3)
	if m.onlyLate {
		kind = 2
	}
	switch kind {
	case 0: // The request is lost.
	case 1: // The reply is lost.
		_ = m.carryOut(o)
	default: // The order is delayed, by less than a reservation is held.
		delay := time.Duration(m.random.IntN(20)) * time.Second
		m.late = append(m.late, lateOrder{order: o, at: time.Now().Add(delay)})
	}
	return errors.WithStack(&fault.StoreUnavailable{Operation: "order", EffectUnknown: true})
}

func (m *market) land() {
	var waiting []lateOrder
	for _, l := range m.late {
		if l.at.After(time.Now()) {
			waiting = append(waiting, l)
			continue
		}
		_ = m.carryOut(l.order)
	}
	m.late = waiting
}

func (m *market) carryOut(o platformapi.Order) error {
	if m.fences && o.Epoch < m.epochs[o.FailureDomain] {
		return errors.WithStack(&fault.OrderFenced{Order: o.ID, Epoch: o.Epoch})
	}
	m.epochs[o.FailureDomain] = max(m.epochs[o.FailureDomain], o.Epoch)
	if m.done[o.ID] {
		return nil
	}
	if o.Kind == platformapi.OrderStop {
		m.stop(o.Upstream)
		m.done[o.ID] = true
		return nil
	}
	if m.spare[o.FailureDomain] == 0 {
		return errors.WithStack(&fault.PlatformRefused{Operation: "order", Status: 409})
	}
	m.done[o.ID] = true
	m.spare[o.FailureDomain]--
	m.starts++
	m.running = append(m.running, platformapi.Upstream{
		ID:            fmt.Sprintf("u%d", m.starts),
		Kind:          platformapi.KindEngine,
		FailureDomain: o.FailureDomain,
		State:         platformapi.UpstreamLive,
		Model:         o.Model,
		Account:       o.Account,
		OrderID:       o.ID,
		CentsPerHour:  price,
	})
	if len(m.running)*price > limit {
		m.overruns++
	}
	return nil
}

func (m *market) stop(id string) {
	for i, u := range m.running {
		if u.ID == id {
			m.running = append(m.running[:i:i], m.running[i+1:]...)
			m.spare[u.FailureDomain]++
			return
		}
	}
}

// refresh lets the list catch up with what runs.
func (m *market) refresh() {
	m.land()
	m.listed = append([]platformapi.Upstream(nil), m.running...)
}

func (m *market) Upstreams(context.Context) ([]platformapi.Upstream, error) { return m.listed, nil }

func (m *market) Offers(context.Context) ([]platformapi.Offer, error) {
	var offers []platformapi.Offer
	for d, n := range m.spare {
		offers = append(offers, platformapi.Offer{FailureDomain: d, Model: model, CentsPerHour: price, Available: max(n, 1)})
	}
	return offers, nil
}

// held is a lease that its holder believes to hold.
type held uint64

func (held) Check() error        { return nil }
func (h held) Epoch() uint64     { return uint64(h) }
func (held) Deadline() time.Time { return time.Now().Add(time.Hour) }

func newProvisioner(domain string, tables platformapi.Tables, m *market) *Provisioner {
	started := time.Now()
	events := event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop())
	return NewProvisioner(domain, tables, m, events, func() time.Duration { return time.Since(started) })
}

// interleaved runs another holder now and then between a holder's read and its
// next call.
type interleaved struct {
	platformapi.Tables
	random    *rand.Rand
	meanwhile func()
}

func (i *interleaved) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, error) {
	rows, err := i.Tables.Scan(ctx, prefix, after, limit)
	if other := i.meanwhile; other != nil && i.random.IntN(6) == 0 {
		i.meanwhile = nil
		other()
		i.meanwhile = other
	}
	return rows, err
}

func testContract() contract.Contract {
	c := contract.DefaultContract(account)
	c.Spending.CentsPerHour = limit
	return c
}

func tick(t *testing.T, p *Provisioner, epoch uint64, m *market, queued, running int) error {
	t.Helper()
	offers, _ := m.Offers(t.Context())
	d := Demand{Account: account, Model: model, Queued: queued, Running: running}
	return p.Run(t.Context(), held(epoch), Round{
		Listed:    m.listed,
		Offers:    offers,
		Demands:   []Demand{d},
		Contracts: map[contract.Account]contract.Contract{account: testContract()},
	})
}

func TestWorkIsServedUpToTheContractsSpending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMarket(rand.New(rand.NewPCG(1, 1)), 0, "a", "b")
		tables := memtables.NewTables()
		a, b := newProvisioner("a", tables, m), newProvisioner("b", tables, m)
		for range 60 {
			for _, p := range []*Provisioner{a, b} {
				if err := tick(t, p, 1, m, 10, 10); err != nil {
					t.Fatalf("Run: %v", err)
				}
			}
			m.refresh()
			time.Sleep(time.Second)
		}
		if got := len(m.running); got != limit/price {
			t.Errorf("%d upstreams run, want %d", got, limit/price)
		}
		for range 200 {
			for _, p := range []*Provisioner{a, b} {
				_ = tick(t, p, 1, m, 0, 0)
			}
			m.refresh()
			time.Sleep(time.Second)
		}
		if got := len(m.running); got != 0 {
			t.Errorf("%d upstreams run without work, want none", got)
		}
	})
}

// Requests and replies to the platform are lost or late, the lease moves between
// two processes that for a while both believe to hold it, in two failure
// domains at once, and some platforms ignore fencing numbers. However it goes,
// the customer must never pay for more than the contract allows.
func TestSpendingIsNeverExceeded(t *testing.T) {
	const seeds = 80
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) { spendUnreliably(t, seed) })
	}
}

func spendUnreliably(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	m := newMarket(random, 30, "a", "b")
	m.fences = seed%2 == 0
	tables := &interleaved{Tables: memtables.NewTables(), random: random}
	holders := []*Provisioner{
		newProvisioner("a", tables, m), newProvisioner("a", tables, m),
		newProvisioner("b", tables, m), newProvisioner("b", tables, m),
	}
	tables.meanwhile = func() {
		i := random.IntN(len(holders))
		_ = tick(t, holders[i], uint64(1+i%2), m, 10, 10)
	}
	for range 400 {
		i := random.IntN(len(holders))
		queued := 0
		if random.IntN(3) > 0 {
			queued = 10
		}
		_ = tick(t, holders[i], uint64(1+i%2), m, queued, queued)
		if random.IntN(4) == 0 {
			m.refresh()
		}
		if random.IntN(40) == 0 && len(m.running) > 0 {
			m.stop(m.running[0].ID) // An eviction.
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
	if m.overruns > 0 {
		t.Errorf("seed %d: the spending was exceeded %d times", seed, m.overruns)
	}
	if m.starts == 0 {
		t.Errorf("seed %d: nothing was started", seed)
	}
}

// The start order takes effect, but its reply is lost and the process dies. The
// successor knows of the order from the ledger only; a new one would start a
// second upstream for the same need.
func TestSuccessorDoesNotRepeatAnOrderThatTookEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMarket(rand.New(rand.NewPCG(1, 1)), 0, "a")
		tables := memtables.NewTables()
		first := newProvisioner("a", tables, m)
		for range startAfter {
			if err := tick(t, first, 1, m, 5, 0); err != nil {
				t.Fatalf("Run: %v", err)
			}
		}
		if m.starts != 1 {
			t.Fatalf("%d upstreams were started, want 1", m.starts)
		}
		successor := newProvisioner("a", tables, m)
		for range 10 {
			if err := tick(t, successor, 2, m, 5, 0); err != nil {
				t.Fatalf("Run: %v", err)
			}
			time.Sleep(time.Second)
		}
		if m.starts != 1 {
			t.Errorf("%d upstreams were started, want 1", m.starts)
		}
	})
}

// The platform takes orders but answers none for a minute, and carries them out
// late. Were the money given up meanwhile, another failure domain would spend it
// a second time.
func TestMoneyStaysReservedWhileAnOrderIsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMarket(rand.New(rand.NewPCG(1, 1)), 0, "a", "b")
		m.spare["b"] = 10
		tables := memtables.NewTables()
		a, b := newProvisioner("a", tables, m), newProvisioner("b", tables, m)
		m.onlyLate = true
		for range 100 {
			m.percent = 100
			_ = tick(t, a, 1, m, 5, 5)
			m.percent = 0
			_ = tick(t, b, 1, m, 5, 5)
			m.refresh()
			m.listed = nil
			if len(m.late) > 0 {
				m.late[0].at = time.Now().Add(90 * time.Second)
				m.late = m.late[:1]
			}
			time.Sleep(time.Second)
		}
		m.refresh()
		if m.overruns > 0 {
			t.Errorf("the spending was exceeded %d times", m.overruns)
		}
	})
}
