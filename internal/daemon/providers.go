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
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/peer"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/request"
	"dogwoodpond/internal/rollout"
	"dogwoodpond/internal/service"
	"dogwoodpond/internal/settings"
	"dogwoodpond/internal/upstream"
	"dogwoodpond/internal/usage"
)

// hooks break the cycles between parts that call each other back. They are
// filled in once all parts exist, before any loop runs.
type hooks struct {
	entry  *entry.Server
	syncer *config.Syncer
}

func (h *hooks) draining() bool { return h.entry.Draining() }

func (h *hooks) poke() { h.syncer.Poke() }

func (h *hooks) revoke(s *contract.Snapshot) { h.entry.Revoke(s) }

// Age implements peer.Ager.
func (h *hooks) Age() time.Duration { return h.syncer.Age() }

func newHooks() *hooks { return &hooks{} }

func newRecorder(s settings.Daemon, log *zap.Logger) *event.Recorder {
	return event.NewRecorder(s.VM, s.EventCapacity, event.NewClock(time.Now), log)
}

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

func newPlatform(s settings.Daemon) *platform.Client { return platform.NewClient(s.PlatformURL) }

func newScheduler(s settings.Daemon, directory *upstream.Directory) *dispatch.Scheduler {
	return dispatch.NewScheduler(s.FailureDomain, directory)
}

func newRunner(view *contract.View, scheduler *dispatch.Scheduler, engines *engine.Client, events *event.Recorder) *generate.Local {
	return generate.NewLocal(view, scheduler, engines, events)
}

func newGossip(s settings.Daemon, view *contract.View, client *peer.Client, events *event.Recorder, h *hooks) *peer.Gossip {
	return peer.NewGossip(peer.GossipConfig{
		Self:       peer.Identity{VM: s.VM, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress},
		Seeds:      s.Seeds,
		Period:     s.DigestPeriod(),
		Events:     events,
		View:       view,
		Client:     client,
		Draining:   h.draining,
		OnRevision: h.poke,
		Age:        h.Age,
	})
}

func newPeerServer(events *event.Recorder, view *contract.View, h *hooks, runner *generate.Local, gossip *peer.Gossip) *peer.Server {
	return peer.NewServer(events, view, h, runner, gossip)
}

func newSyncer(s settings.Daemon, tables *platform.Client, gossip *peer.Gossip, view *contract.View, events *event.Recorder, h *hooks) *config.Syncer {
	h.syncer = config.NewSyncer(tables, gossip, view, events, s.RevisionPoll(), h.revoke)
	return h.syncer
}

func newEditor(tables *platform.Client, events *event.Recorder) *config.Editor {
	return config.NewEditor(tables, time.Now, events)
}

func newClaims(tables *platform.Client) *request.Claims { return request.NewClaims(tables) }

func newHistory(weights *platform.Client) *rollout.History { return rollout.NewHistory(weights) }

func newRollouts(
	s settings.Daemon,
	tables *platform.Client,
	runner *generate.Local,
	scheduler *dispatch.Scheduler,
	services *service.Client,
	gossip *peer.Gossip,
	client *peer.Client,
	history *rollout.History,
	view *contract.View,
	events *event.Recorder,
	registry *prometheus.Registry,
) *rollout.Manager {
	self := rollout.Worker{VM: s.VM, FailureDomain: s.FailureDomain, Runner: runner}
	return rollout.NewManager(rollout.Config{
		VM:         s.VM,
		Tables:     tables,
		Leases:     soleLeases{},
		Workers:    rollout.NewFleet(self, gossip, client),
		Versions:   history,
		Scorer:     rollout.NewServiceScorer(view, scheduler, services),
		View:       view,
		Events:     events,
		Registerer: registry,
		Period:     stepSearchPeriod(gossip),
	})
}

// soleLeases puts the VM that opened a step in charge of it for good.
type soleLeases struct{}

// Campaign implements rollout.Leases.
func (soleLeases) Campaign(ctx context.Context, _ string, held func(context.Context, rollout.Guard) (bool, error)) error {
	_, err := held(ctx, soleGuard{})
	return err
}

type soleGuard struct{}

// Check implements rollout.Guard.
func (soleGuard) Check() error { return nil }

// Epoch implements rollout.Guard.
func (soleGuard) Epoch() uint64 { return 1 }

// searchesPerSecond is how often all VMs together search the store for open
// steps or read the weight store.
const searchesPerSecond = 50

// stepSearchPeriod returns the period of one VM, which grows with the fleet so
// that the load on the platform does not.
func stepSearchPeriod(gossip *peer.Gossip) func() time.Duration {
	return func() time.Duration {
		period := time.Duration(len(gossip.VMs())) * time.Second / searchesPerSecond
		return max(time.Second, period)
	}
}

func newEntry(
	view *contract.View,
	syncer *config.Syncer,
	runner *generate.Local,
	scheduler *dispatch.Scheduler,
	services *service.Client,
	claims *request.Claims,
	steps *rollout.Manager,
	tally *usage.Tally,
	events *event.Recorder,
	registry *prometheus.Registry,
	h *hooks,
) *entry.Server {
	h.entry = entry.NewServer(entry.Config{
		View:       view,
		Ager:       syncer,
		Runner:     runner,
		Dispatcher: scheduler,
		Services:   services,
		Claims:     claims,
		Steps:      steps,
		Usage:      tally,
		Events:     events,
		Registry:   registry,
	})
	return h.entry
}

func newOperator(s settings.Daemon, view *contract.View, editor *config.Editor, fleet *peer.Fleet, directory *upstream.Directory, events *event.Recorder, h *hooks) *operator.Server {
	return operator.NewServer(operator.Config{
		VM:          s.VM,
		TokenSHA256: s.OperatorTokenSHA256,
		View:        view,
		Editor:      editor,
		Fleet:       fleet,
		Upstreams:   directory.Load,
		Events:      events,
		Advanced:    h.poke,
	})
}
