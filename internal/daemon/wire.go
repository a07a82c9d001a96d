//go:build wireinject

package daemon

import (
	"github.com/google/wire"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/ingress"
	"dogwoodpond/internal/peer"
	"dogwoodpond/internal/service"
	"dogwoodpond/internal/settings"
	"dogwoodpond/internal/upstream"
)

// New assembles a daemon from its settings.
func New(s settings.Daemon) (*Daemon, error) {
	wire.Build(
		newLogger,
		newRecorder,
		newRegistry,
		newMetrics,
		newHooks,
		newPlatform,
		contract.NewView,
		upstream.NewDirectory,
		upstream.NewLoads,
		upstream.NewHealth,
		newScheduler,
		newRetries,
		newPoller,
		newEngines,
		newDispatcher,
		service.NewClient,
		newRunner,
		newPeerMetrics,
		peer.NewClient,
		newGossip,
		newPeerServer,
		peer.NewFleet,
		newSyncer,
		newEditor,
		newClaims,
		newVersionHistory,
		newLeases,
		newRollouts,
		newWeightUpdater,
		newMover,
		newProvisioner,
		newReporter,
		newController,
		newMeter,
		newEntry,
		newOperator,
		ingress.NewMetrics,
		wire.Struct(new(Daemon), "*"),
	)
	return nil, nil
}
