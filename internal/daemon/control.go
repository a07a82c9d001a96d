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
	// domainInterval is the interval between two rounds of orders for the failure domain. It
	// counts towards the time within which a new weight version must be on all engines.
	domainInterval = time.Second
	// closeDivisor divides the length of a usage window. The result is the interval between
	// checks for windows to close, and the grace period before a window is closed.
	closeDivisor = 10
	// deadDivisor divides the length of a usage window. The result is how long the row of an
	// unlisted VM, or of one with another incarnation in the window, must not change before
	// the VM is considered dead.
	deadDivisor = 2
	// maxWaitWindows is the number of usage windows for which the reporter waits for a listed
	// VM whose row does not change.
	maxWaitWindows = 2
)

func newEngines(s settings.Daemon, events *event.Recorder) *engine.Client {
	return engine.NewClient(events).WithOrderTimeout(s.OrderTimeout())
}

func newWeightUpdater(s settings.Daemon, engines *engine.Client, events *event.Recorder) *weightupdate.Updater {
	return weightupdate.NewUpdater(engines, events, s.WeightLoadsPerSecond, s.OrderTimeout())
}

func newMover(s settings.Daemon, engines *engine.Client, events *event.Recorder) *enginepool.Mover {
	return enginepool.NewMover(engines, events, s.OrderTimeout())
}

// newElapsed returns a monotonic clock that starts at 0.
func newElapsed() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}

func newProvisioner(s settings.Daemon, client *platformapi.Client, events *event.Recorder) *provision.Provisioner {
	return provision.NewProvisioner(s.FailureDomain, client, client, events, newElapsed())
}

func newReporter(s settings.Daemon, client *platformapi.Client, events *event.Recorder, gossip *peer.Gossip, view *contract.View) *usage.Reporter {
	return usage.NewReporter(client, client, events, usage.ReporterConfig{
		WindowLength:    s.UsageWindow(),
		Now:             time.Now,
		Elapsed:         newElapsed(),
		GracePeriod:     s.UsageWindow() / closeDivisor,
		DeadAfter:       s.UsageWindow() / deadDivisor,
		ListedDeadAfter: s.UsageWindow() * maxWaitWindows,
		Accounts:        func() []contract.Account { return accountsOf(view.Load()) },
		IsListed:        func(vm string) bool { return isListed(gossip.VMs(), vm) },
	})
}

func accountsOf(snapshot *contract.Snapshot) []contract.Account {
	accounts := make([]contract.Account, 0, len(snapshot.Contracts))
	for account := range snapshot.Contracts {
		accounts = append(accounts, account)
	}
	return accounts
}

func isListed(vms []platformapi.VM, id string) bool {
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
	updater *weightupdate.Updater,
	mover *enginepool.Mover,
	provisioner *provision.Provisioner,
	reporter *usage.Reporter,
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
		WeightUpdater:  updater,
		Mover:          mover,
		Provisioner:    provisioner,
		Reporter:       reporter,
		DomainInterval: domainInterval,
		CloseInterval:  s.UsageWindow() / closeDivisor,
		// The lease of the failure domain covers orders to engines and to the platform.
		OrderTimeout:  max(s.OrderTimeout(), platformapi.CallTimeout),
		ReportTimeout: platformapi.CallTimeout,
	})
}
