package daemon

import (
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/control"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/enginepool"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/peer"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/provision"
	"dogwoodpond/internal/settings"
	"dogwoodpond/internal/upstream"
	"dogwoodpond/internal/usage"
	"dogwoodpond/internal/weightupdate"
)

const (
	// domainPeriod is the time between two looks at the failure domain; it is a
	// part of the time in which new weights must be on all engines.
	domainPeriod = time.Second
	// closeParts is how often the closer looks in the length of a window.
	closeParts = 10
	// deadParts of a window is how long a row must be silent before its VM, when
	// it is not listed, counts as dead.
	deadParts = 2
	// giveUpWindows is how many windows a listed but silent VM is waited for.
	giveUpWindows = 2
)

func newEngines(s settings.Daemon) *engine.Client {
	return engine.NewClient().WithOrderTimeout(s.OrderTimeout())
}

func newWeightUpdater(s settings.Daemon, engines *engine.Client, events *event.Recorder) *weightupdate.Updater {
	return weightupdate.NewUpdater(engines, events, s.WeightLoadsPerSecond)
}

func newMover(engines *engine.Client, events *event.Recorder) *enginepool.Mover {
	return enginepool.NewMover(engines, events)
}

// newElapsed returns the monotonic time since the start of the process.
func newElapsed() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}

func newProvisioner(s settings.Daemon, client *platformapi.Client, events *event.Recorder) *provision.Provisioner {
	return provision.NewProvisioner(s.FailureDomain, client, client, events, newElapsed())
}

func newCloser(s settings.Daemon, client *platformapi.Client, events *event.Recorder, gossip *peer.Gossip, view *contract.View) *usage.Closer {
	return usage.NewCloser(client, client, events, usage.CloserConfig{
		Length:    s.UsageWindow(),
		Now:       time.Now,
		Elapsed:   newElapsed(),
		Grace:     s.UsageWindow() / closeParts,
		DeadAfter: s.UsageWindow() / deadParts,
		GiveUp:    s.UsageWindow() * giveUpWindows,
		Accounts:  func() []contract.Account { return accountsOf(view.Load()) },
		Listed:    func(vm string) bool { return listed(gossip.VMs(), vm) },
	})
}

func accountsOf(snapshot *contract.Snapshot) []contract.Account {
	accounts := make([]contract.Account, 0, len(snapshot.Contracts))
	for account := range snapshot.Contracts {
		accounts = append(accounts, account)
	}
	return accounts
}

func listed(vms []platformapi.VM, id string) bool {
	for _, vm := range vms {
		if vm.ID == id {
			return true
		}
	}
	return false
}

func newController(
	s settings.Daemon,
	leases *lease.Manager,
	client *platformapi.Client,
	engines *engine.Client,
	view *contract.View,
	directory *upstream.Directory,
	roller *weightupdate.Updater,
	mover *enginepool.Mover,
	provisioner *provision.Provisioner,
	closer *usage.Closer,
	h *hooks,
) *control.Controller {
	members := func() []dispatch.Member { return h.members() }
	return control.New(control.Config{
		FailureDomain:  s.FailureDomain,
		Leases:         leases,
		Platform:       client,
		LoadReader:     engines,
		View:           view,
		Demands:        control.NewDomainDemands(s.FailureDomain, members, view, directory),
		WeightUpdater:  roller,
		Mover:          mover,
		Provisioner:    provisioner,
		Closer:         closer,
		DomainInterval: domainPeriod,
		CloseInterval:  s.UsageWindow() / closeParts,
		OrderTimeout:   s.OrderTimeout(),
		ReportTimeout:  platformapi.CallTimeout,
	})
}
