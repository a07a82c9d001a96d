package control

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/enginepool"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/provision"
	"dogwoodpond/internal/usage"
	"dogwoodpond/internal/weightupdate"
)

const (
	// leaseTerm and orderTimeout are the defaults of the settings.
	leaseTerm    = 10 * time.Second
	orderTimeout = 10 * time.Second
	windowLength = 10 * time.Second
	// loadTimeout is the timeout of an engine's load report.
	loadTimeout = time.Second
	// readDelay is how long after it goes on a receiver reads the orders that waited.
	readDelay = 200 * time.Millisecond

	domain  = "a"
	account = contract.Account("berry")
	model   = "berry-1"
)

// stallingReceiver ignores fencing tokens and stands still for a while: it accepts
// connections, and when it goes on it answers reports first and then executes the orders
// that waited, the newest first, also those whose sender has given up.
type stallingReceiver struct {
	mu sync.Mutex
	// armed makes the receiver stand still when the next order arrives.
	armed, stalled bool
	waiting        []waitingOrder
	resumed, done  chan struct{}
	// epochs holds the epochs of the orders in the order of their execution.
	epochs []uint64
}

type waitingOrder struct {
	epoch   uint64
	execute func()
}

// order receives an order and reports whether its sender got an answer.
func (r *stallingReceiver) order(ctx context.Context, timeout time.Duration, epoch uint64, execute func()) bool {
	r.mu.Lock()
	if r.armed {
		r.armed, r.stalled = false, true
		r.resumed, r.done = make(chan struct{}), make(chan struct{})
	}
	if !r.stalled {
		defer r.mu.Unlock()
		r.epochs = append(r.epochs, epoch)
		execute()
		return true
	}
	r.waiting = append(r.waiting, waitingOrder{epoch, execute})
	done := r.done
	r.mu.Unlock()
	return await(ctx, timeout, done)
}

// report waits while the receiver stands still and reports whether it answered.
func (r *stallingReceiver) report(ctx context.Context) bool {
	r.mu.Lock()
	stalled, resumed := r.stalled, r.resumed
	r.mu.Unlock()
	return !stalled || await(ctx, loadTimeout, resumed)
}

func await(ctx context.Context, timeout time.Duration, answer <-chan struct{}) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-answer:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

func (r *stallingReceiver) arm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.armed = true
}

func (r *stallingReceiver) isStalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalled
}

func (r *stallingReceiver) resume() {
	r.mu.Lock()
	r.stalled = false
	close(r.resumed)
	r.mu.Unlock()
	time.Sleep(readDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range slices.Backward(r.waiting) {
		r.epochs = append(r.epochs, o.epoch)
		o.execute()
	}
	r.waiting = nil
	close(r.done)
}

func (r *stallingReceiver) executed() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.epochs)
}

// site is a failure domain with a platform and one engine that can be ordered. Orders to the
// platform and reports to billing go to platform, those to the engine to engine.
type site struct {
	cluster          *faultinject.Cluster
	platform, engine stallingReceiver

	mu      sync.Mutex
	load    engine.Load
	latest  int64
	demands []provision.Demand
}

const (
	orderedEngine = "engine-1"
	otherEngine   = "engine-2"
)

func newSite() *site {
	return &site{
		cluster: faultinject.NewCluster(faultinject.NoFaults),
		load:    engine.Load{Incarnation: "1", Model: model, Adapter: "rotas", WeightVersion: 1},
		latest:  1,
	}
}

func (s *site) set(change func(*site)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// Upstreams implements platformapi.Upstreams.
func (s *site) Upstreams(context.Context) ([]platformapi.Upstream, error) {
	upstream := func(id string, adaptable bool) platformapi.Upstream {
		return platformapi.Upstream{ID: id, Address: id, Kind: platformapi.KindEngine, FailureDomain: domain, State: platformapi.UpstreamLive, Slots: 8, Adaptable: adaptable}
	}
	return []platformapi.Upstream{upstream(orderedEngine, true), upstream(otherEngine, false)}, nil
}

// Offers implements platformapi.Upstreams.
func (*site) Offers(context.Context) ([]platformapi.Offer, error) {
	return []platformapi.Offer{{FailureDomain: domain, Model: model, CentsPerHour: 1, Available: 1}}, nil
}

// Latest implements platformapi.Weights.
func (s *site) Latest(context.Context) ([]platformapi.WeightVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []platformapi.WeightVersion{{Model: model, Version: s.latest}}, nil
}

// Demand implements Demands.
func (s *site) Demand() []provision.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demands
}

// Order implements platformapi.Upstreams.
func (s *site) Order(ctx context.Context, order platformapi.Order) error {
	if !s.platform.order(ctx, platformapi.CallTimeout, order.Epoch, func() {}) {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "order", EffectUnknown: true})
	}
	return nil
}

// Report implements platformapi.Billing.
func (s *site) Report(ctx context.Context, report platformapi.UsageReport) error {
	if !s.platform.order(ctx, platformapi.CallTimeout, report.Epoch, func() {}) {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "report", EffectUnknown: true})
	}
	return nil
}

// engines are the engines of a site.
type engines struct{ *site }

func (e engines) LoadReport(ctx context.Context, address string) (engine.Load, error) {
	e.mu.Lock()
	load := e.load
	if address == otherEngine {
		load.WeightVersion = e.latest
	}
	e.mu.Unlock()
	if address == orderedEngine && !e.engine.report(ctx) {
		return engine.Load{}, errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "no load report"})
	}
	return load, nil
}

func (e engines) Order(ctx context.Context, address string, order engine.Order) error {
	execute := func() {
		e.set(func(s *site) {
			if order.Kind == engine.OrderLoadWeights {
				s.load.WeightVersion = order.Version
			} else {
				s.load.Model, s.load.Adapter = order.Model, order.Adapter
			}
		})
	}
	if !e.engine.order(ctx, orderTimeout, order.Epoch, execute) {
		return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "no answer"})
	}
	return nil
}

// newController returns the controller of a VM's process.
func (s *site) newController(p *faultinject.Process) *Controller {
	events := event.NewRecorder(p.Name, 16, event.NewClock(time.Now), zap.NewNop())
	started := time.Now()
	elapsed := func() time.Duration { return time.Since(started) }
	view := contract.NewView()
	c := contract.DefaultContract(account)
	c.Spending.CentsPerHour = 1
	view.Advance(&contract.Snapshot{Revision: 1, Contracts: map[contract.Account]contract.Contract{account: c}})
	return New(Config{
		FailureDomain: domain,
		Leases:        lease.NewManager(p, p.Name, leaseTerm, events),
		Platform:      s,
		LoadReader:    engines{s},
		View:          view,
		Demands:       s,
		WeightUpdater: weightupdate.NewUpdater(engines{s}, events, 100, orderTimeout),
		Mover:         enginepool.NewMover(engines{s}, events, orderTimeout),
		Provisioner:   provision.NewProvisioner(domain, p, s, events, elapsed),
		Reporter: usage.NewReporter(p, s, events, usage.ReporterConfig{
			WindowLength: windowLength, Now: time.Now, Elapsed: elapsed,
			GracePeriod: time.Second, DeadAfter: 5 * time.Second, ListedDeadAfter: 20 * time.Second,
			Accounts: func() []contract.Account { return []contract.Account{account} },
			IsListed: func(string) bool { return true },
		}),
		DomainInterval: time.Second,
		CloseInterval:  time.Second,
		OrderTimeout:   orderTimeout,
		ReportTimeout:  platformapi.CallTimeout,
	})
}

// startVM starts the controller of a VM; ended is closed once it has ended after the stop of
// the process.
func (s *site) startVM(t *testing.T, vm string) (p *faultinject.Process, ended <-chan struct{}) {
	p = s.cluster.Start(t.Context(), vm)
	controller := s.newController(p)
	done := make(chan struct{})
	go func() {
		defer close(done)
		controller.Run(p.Context)
	}()
	t.Cleanup(p.Stop)
	return p, done
}

// duty is a duty of the controller, with the receiver of its orders.
type duty struct {
	lease    string
	receiver func(*site) *stallingReceiver
	timeout  time.Duration
	// trigger makes an order due.
	trigger func(*testing.T, *site)
	// stalledFor is how long the receiver stands still after the stop: longer than a holder
	// waits for the orders of one that released the lease.
	stalledFor time.Duration
}

// killStall is how much longer the receiver stands still after a kill: longer than a holder
// waits for a term and the orders of one that had none pending.
const killStall = 10 * time.Second

func toPlatform(s *site) *stallingReceiver { return &s.platform }
func toEngine(s *site) *stallingReceiver   { return &s.engine }

var (
	weightUpdates = duty{DomainLease + domain, toEngine, orderTimeout, func(_ *testing.T, s *site) {
		s.set(func(s *site) { s.latest = 2 })
	}, 20 * time.Second}
	engineMoves = duty{DomainLease + domain, toEngine, orderTimeout, func(_ *testing.T, s *site) {
		s.set(func(s *site) {
			s.demands = []provision.Demand{{Account: "other", Model: model, Adapter: "replies", Queued: 5}}
		})
	}, 20 * time.Second}
	provisioning = duty{DomainLease + domain, toPlatform, platformapi.CallTimeout, func(_ *testing.T, s *site) {
		s.set(func(s *site) {
			s.demands = []provision.Demand{{Account: account, Model: model, Adapter: "rotas", Queued: 5}}
		})
	}, 20 * time.Second}
	usageReports = duty{ReportsLease, toPlatform, platformapi.CallTimeout, func(t *testing.T, s *site) {
		events := event.NewRecorder("vm-3", 16, event.NewClock(time.Now), zap.NewNop())
		meter := usage.NewMeter(usage.MeterConfig{Tables: s.cluster.Rows, Events: events, VM: "vm-3", Incarnation: "1", Now: time.Now, WindowLength: windowLength})
		go meter.Run(t.Context(), func() time.Duration { return time.Second })
	}, 12 * time.Second}
)

// checkStop stops a holder while an order of it waits at a receiver that stands still, or
// after the order was given up. The receiver must not execute that order after one of the
// next holder, and the stop must not take longer than one call.
func checkStop(t *testing.T, d duty) {
	for name, stopAfter := range map[string]time.Duration{
		"order in flight": 10 * time.Millisecond,
		"abandoned order": d.timeout + 100*time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			// The phases shift the stop against the polls of the next holder.
			for phase := time.Duration(0); phase < leaseTerm; phase += time.Second {
				synctest.Test(t, func(t *testing.T) { checkEndAt(t, d, false, stopAfter, phase) })
			}
		})
	}
}

// checkKill is like checkStop with a holder that is killed.
func checkKill(t *testing.T, d duty) {
	for name, killAfter := range map[string]time.Duration{
		"order in flight": 10 * time.Millisecond,
		"abandoned order": d.timeout + 100*time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			for phase := time.Duration(0); phase < leaseTerm; phase += time.Second {
				synctest.Test(t, func(t *testing.T) { checkEndAt(t, d, true, killAfter, phase) })
			}
		})
	}
}

// checkEndAt stops or kills a holder some time after its order arrived at the receiver.
func checkEndAt(t *testing.T, d duty, kill bool, endAfter, phase time.Duration) {
	s := newSite()
	receiver := d.receiver(s)
	first, ended := s.startVM(t, "vm-1")
	time.Sleep(20 * time.Second)
	s.startVM(t, "vm-2")
	time.Sleep(time.Second + phase)
	receiver.arm()
	d.trigger(t, s)
	for deadline := time.Now().Add(time.Minute); !receiver.isStalled(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no order was sent")
		}
	}
	time.Sleep(endAfter)
	if kill {
		time.AfterFunc(d.stalledFor+killStall, receiver.resume)
		first.Kill()
	} else {
		time.AfterFunc(d.stalledFor, receiver.resume)
		first.Stop()
		stoppedAt := time.Now()
		<-ended
		if took := time.Since(stoppedAt); took > d.timeout {
			t.Errorf("phase %s: the stop took %s, want at most %s", phase, took, d.timeout)
		}
	}
	time.Sleep(2 * time.Minute)
	epochs := receiver.executed()
	if !slices.IsSorted(epochs) {
		t.Errorf("phase %s: epochs %v", phase, slices.Compact(epochs))
	}
	if !slices.Contains(epochs, 1) {
		t.Errorf("phase %s: epochs %v, want an order of the first holder", phase, slices.Compact(epochs))
	}
	s.checkHolder(t, d.lease, "vm-2", 2)
}

// checkHolder checks that a VM holds a lease under an epoch.
func (s *site) checkHolder(t *testing.T, name, vm string, epoch uint64) {
	t.Helper()
	row, err := s.cluster.Rows.Get(t.Context(), "lease/"+name)
	if err != nil {
		t.Fatal(err)
	}
	var record lease.Record
	if err := row.Decode(&record); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(record.Holder, vm+"/") || record.Epoch != epoch {
		t.Errorf("lease %s: %+v, want holder %s with epoch %d", name, record, vm, epoch)
	}
}

// Guards against a weight load of a stopped holder that takes effect after one of the next.
func TestWeightLoadThatWaitsAtAnEngineIsNotOvertakenAfterAStop(t *testing.T) {
	checkStop(t, weightUpdates)
}

// Guards against a move of a stopped holder that takes effect after one of the next.
func TestMoveThatWaitsAtAnEngineIsNotOvertakenAfterAStop(t *testing.T) {
	checkStop(t, engineMoves)
}

// Guards against an order for upstreams of a stopped holder that is executed after one of the next.
func TestStartThatWaitsAtThePlatformIsNotOvertakenAfterAStop(t *testing.T) {
	checkStop(t, provisioning)
}

// Guards against a usage report of a stopped holder that is taken after one of the next.
func TestWindowReportThatWaitsAtBillingIsNotOvertakenAfterAStop(t *testing.T) {
	checkStop(t, usageReports)
}

// Guards against an order or report of a killed holder that takes effect after one of the next.
func TestOrderOfAKilledHolderIsNotOvertaken(t *testing.T) {
	for name, d := range map[string]duty{
		"weight load": weightUpdates, "move": engineMoves, "start": provisioning, "usage report": usageReports,
	} {
		t.Run(name, func(t *testing.T) { checkKill(t, d) })
	}
}

// Guards against an engine without an answer that holds up the next holder's orders to all others.
func TestOrderThatWaitsAtAnEngineHoldsUpNoOtherOrders(t *testing.T) {
	// A round waits for the report of the engine that stands still, and the order may be due
	// in the second one only.
	const twoRounds = 2 * (loadTimeout + time.Second)
	maxWait := leaseTerm/3 + lease.OrderGracePeriod(orderTimeout) + twoRounds
	for name, d := range map[string]duty{"weight load": weightUpdates, "move": engineMoves} {
		t.Run(name, func(t *testing.T) {
			for phase := time.Duration(0); phase < leaseTerm; phase += time.Second {
				synctest.Test(t, func(t *testing.T) {
					s := newSite()
					first, ended := s.startVM(t, "vm-1")
					time.Sleep(20 * time.Second)
					s.startVM(t, "vm-2")
					time.Sleep(time.Second + phase)
					s.engine.arm()
					d.trigger(t, s)
					for !s.engine.isStalled() {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(orderTimeout + 100*time.Millisecond)
					first.Stop()
					<-ended
					provisioning.trigger(t, s)
					time.Sleep(maxWait)
					if epochs := s.platform.executed(); !slices.Contains(epochs, 2) {
						t.Errorf("phase %s: the platform executed orders of the epochs %v, want one of the next holder within %s", phase, epochs, maxWait)
					}
				})
			}
		})
	}
}
