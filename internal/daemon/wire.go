//go:build wireinject

package daemon

import (
	"github.com/google/wire"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/peer"
	"dogwoodpond/internal/service"
	"dogwoodpond/internal/settings"
	"dogwoodpond/internal/upstream"
	"dogwoodpond/internal/usage"
)

// New assembles a daemon from its settings.
func New(s settings.Daemon) (*Daemon, error) {
	wire.Build(
		newLogger,
		newRecorder,
		newRegistry,
		newHooks,
		newPlatform,
		contract.NewView,
		upstream.NewDirectory,
		newScheduler,
		engine.NewClient,
		service.NewClient,
		newRunner,
		peer.NewClient,
		newGossip,
		newPeerServer,
		peer.NewFleet,
		newSyncer,
		newEditor,
		newClaims,
		newHistory,
		newRollouts,
		usage.NewTally,
		newEntry,
		newOperator,
		wire.Struct(new(Daemon), "*"),
	)
	return nil, nil
}
