package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"dogwoodpond/internal/config"
	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fleetview"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/metrics"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/peer"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/request"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/rollout"
	"dogwoodpond/internal/service"
	"dogwoodpond/internal/settings"
	"dogwoodpond/internal/upstream"
	"dogwoodpond/internal/usage"
)

// hooks break the dependency cycles between components that call each other. The providers
// of the components set the fields, before any loop runs.
type hooks struct {
	gossip *peer.Gossip
	entry  *entry.Server
	syncer *config.Syncer
}

func (h *hooks) draining() bool { return h.entry.Draining() }

func (h *hooks) pollRevision() { h.syncer.PollNow() }

func (h *hooks) cancelWithdrawnKeys(s *contract.Snapshot) { h.entry.CancelWithdrawnKeys(s) }

// Age implements peer.ConfigurationAge.
func (h *hooks) Age() time.Duration { return h.syncer.Age() }

// members returns the VMs that share the engines, including this one.
func (h *hooks) members() []dispatch.Member { return h.gossip.Members() }

func newHooks() *hooks { return &hooks{} }

func newRecorder(s settings.Daemon, log *zap.Logger) *event.Recorder {
	return event.NewRecorder(s.VM, s.EventCapacity, event.NewClock(time.Now), log)
}

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

func newPeerMetrics(registry *prometheus.Registry) *peer.Metrics { return peer.NewMetrics(registry) }

func newPlatform(s settings.Daemon, events *event.Recorder) *platformapi.Client {
	return platformapi.NewClient(s.PlatformURL, events)
}

// newMetrics registers the observer of events before any component emits one, so that all
// events are counted.
func newMetrics(s settings.Daemon, events *event.Recorder, registry *prometheus.Registry, directory *upstream.Directory) *metrics.Metrics {
	m := metrics.New(registry, s.UsageWindow())
	metrics.RegisterUpstreams(registry, directory.Load)
	events.Observe(m.Observe)
	return m
}

func newRetries(registry *prometheus.Registry, events *event.Recorder) *retry.Policy {
	return retry.NewPolicy(registry, events)
}

func newScheduler(s settings.Daemon, directory *upstream.Directory, loads *upstream.Loads, health *upstream.Health, events *event.Recorder, registry *prometheus.Registry, h *hooks) *dispatch.Scheduler {
	c := dispatch.Config{
		VM:            s.VM,
		FailureDomain: s.FailureDomain,
		Directory:     directory,
		Loads:         loads,
		Health:        health,
		Members:       h.members,
		Events:        events,
		Registerer:    registry,
	}
	if s.DispatchPolicy == settings.PolicyQueue {
		c.Members = nil
	}
	return dispatch.NewScheduler(c)
}

// newDispatcher returns the dispatcher that the settings choose, with metrics.
func newDispatcher(s settings.Daemon, scheduler *dispatch.Scheduler, directory *upstream.Directory, m *metrics.Metrics) *metrics.Dispatcher {
	if s.DispatchPolicy == settings.PolicyFIFO {
		return metrics.NewDispatcher(dispatch.NewFIFO(directory), m)
	}
	return metrics.NewDispatcher(scheduler, m)
}

// loadPollInterval is the interval between polls of an engine's load.
const loadPollInterval = time.Second

func newPoller(engines *engine.Client, loads *upstream.Loads, scheduler *dispatch.Scheduler) *upstream.Poller {
	return upstream.NewPoller(engines, loads, loadPollInterval, scheduler.PolledEngines)
}

func newRunner(view *contract.View, dispatcher *metrics.Dispatcher, engines *engine.Client, retries *retry.Policy, events *event.Recorder) *generate.Local {
	return generate.NewLocal(view, dispatcher, engines, retries, events)
}

func newGossip(s settings.Daemon, view *contract.View, client *peer.Client, events *event.Recorder, scheduler *dispatch.Scheduler, counters *peer.Metrics, h *hooks) *peer.Gossip {
	h.gossip = peer.NewGossip(peer.GossipConfig{
		Self:        peer.Identity{VM: s.VM, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress},
		Seeds:       s.Seeds,
		Period:      s.DigestInterval(),
		Events:      events,
		View:        view,
		Client:      client,
		Draining:    h.draining,
		OnRevision:  h.pollRevision,
		ConfigAge:   h.Age,
		Demand:      scheduler.Demand,
		Unreachable: scheduler.Unreachable,
		Metrics:     counters,
	})
	return h.gossip
}

func newPeerServer(events *event.Recorder, view *contract.View, h *hooks, runner *generate.Local, gossip *peer.Gossip) *peer.Server {
	return peer.NewServer(events, view, h, runner, gossip)
}

func newSyncer(s settings.Daemon, tables *platformapi.Client, gossip *peer.Gossip, view *contract.View, events *event.Recorder, h *hooks) *config.Syncer {
	h.syncer = config.NewSyncer(tables, gossip, view, events, s.RevisionPollInterval(), h.cancelWithdrawnKeys,
		config.WithFleetSize(func() int { return len(gossip.VMs()) }))
	return h.syncer
}

func newEditor(tables *platformapi.Client, events *event.Recorder) *config.Editor {
	return config.NewEditor(tables, time.Now, events)
}

func newMeter(s settings.Daemon, tables *platformapi.Client, gossip *peer.Gossip, events *event.Recorder) *usage.Meter {
	return usage.NewMeter(usage.MeterConfig{
		Tables:       tables,
		Events:       events,
		VM:           s.VM,
		Incarnation:  gossip.Incarnation(),
		Now:          time.Now,
		WindowLength: s.UsageWindow(),
	})
}

func newClaims(tables *platformapi.Client) *request.Claims { return request.NewClaims(tables) }

func newVersionHistory(weights *platformapi.Client) *rollout.VersionHistory {
	return rollout.NewVersionHistory(weights)
}

func newRollouts(
	s settings.Daemon,
	tables *platformapi.Client,
	runner *generate.Local,
	scheduler *dispatch.Scheduler,
	services *service.Client,
	gossip *peer.Gossip,
	client *peer.Client,
	history *rollout.VersionHistory,
	leases *lease.Manager,
	meter *usage.Meter,
	view *contract.View,
	events *event.Recorder,
	registry *prometheus.Registry,
) *rollout.Manager {
	self := rollout.Worker{VM: s.VM, FailureDomain: s.FailureDomain, Runner: runner}
	return rollout.NewManager(rollout.Config{
		VM:             s.VM,
		Tables:         tables,
		Leases:         stepLeases{leases: leases},
		Workers:        rollout.NewFleet(self, gossip, client),
		Versions:       history,
		Scorer:         rollout.NewServiceScorer(view, scheduler, services),
		Usage:          meter,
		View:           view,
		Events:         events,
		Registerer:     registry,
		SearchInterval: stepSearchInterval(gossip),
	})
}

// newLeases returns the manager of this VM's leases. VMs are ranked by the platform's list
// of VMs. While the list is empty, this VM ranks first, which costs the store a few reads.
func newLeases(s settings.Daemon, tables *platformapi.Client, gossip *peer.Gossip, events *event.Recorder) *lease.Manager {
	rank := func(name string) int {
		var live []string
		for _, vm := range gossip.VMs() {
			if vm.State == platformapi.VMLive {
				live = append(live, vm.ID)
			}
		}
		return lease.Rank(name, s.VM, live)
	}
	return lease.NewManager(tables, s.VM, s.LeaseTerm(), events, lease.WithRanker(rank))
}

// stepLeases adapts a lease manager to rollout.Leases.
type stepLeases struct {
	leases *lease.Manager
}

// Campaign implements rollout.Leases.
func (l stepLeases) Campaign(ctx context.Context, name string, held func(context.Context, rollout.Guard) (bool, error)) error {
	return l.leases.Campaign(ctx, name, func(ctx context.Context, guard lease.Guard) (bool, error) {
		return held(ctx, guard)
	})
}

// maxSearchesPerSecond limits the searches for open steps in the store, and likewise the
// reads of the weight store, by all VMs together.
const maxSearchesPerSecond = 50

// stepSearchInterval returns a function that computes the interval of one VM's searches and
// reads. The interval grows with the fleet, so that the load of the platform does not.
func stepSearchInterval(gossip *peer.Gossip) func() time.Duration {
	return func() time.Duration {
		return fleetInterval(time.Second, len(gossip.VMs()), maxSearchesPerSecond)
	}
}

func newEntry(
	s settings.Daemon,
	view *contract.View,
	syncer *config.Syncer,
	directory *upstream.Directory,
	runner *generate.Local,
	dispatcher *metrics.Dispatcher,
	retries *retry.Policy,
	services *service.Client,
	claims *request.Claims,
	steps *rollout.Manager,
	meter *usage.Meter,
	events *event.Recorder,
	registry *prometheus.Registry,
	m *metrics.Metrics,
	h *hooks,
) *entry.Server {
	h.entry = entry.NewServer(entry.Config{
		View:             view,
		ConfigurationAge: syncer,
		Upstreams:        directory,
		Runner:           runner,
		Dispatcher:       dispatcher,
		Retries:          retries,
		Services:         services,
		Claims:           claims,
		Steps:            metrics.NewSteps(steps, m),
		Usage:            meter,
		Events:           events,
		Registry:         registry,
		DrainTimeout:     s.DrainTimeout(),
	})
	return h.entry
}

func newOperator(s settings.Daemon, tables *platformapi.Client, view *contract.View, editor *config.Editor, fleet *peer.Fleet, directory *upstream.Directory, events *event.Recorder, h *hooks) *operator.Server {
	rows := fleetview.NewReader(tables, s.UsageWindow())
	return operator.NewServer(operator.Config{
		VM:          s.VM,
		TokenSHA256: s.OperatorTokenSHA256,
		View:        view,
		Editor:      editor,
		Fleet:       fleet,
		Upstreams:   directory.Load,
		Leases:      rows,
		Steps:       rows,
		Usage:       rows,
		Events:      events,
		ApplyNewest: h.pollRevision,
	})
}
