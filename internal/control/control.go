// Package control runs the duties that at most one VM may have at a time: the
// orders of a failure domain and the usage reports. Each duty runs under a lease,
// and every VM campaigns for the leases that it may hold.
package control

import (
	"context"
	"sync"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/enginepool"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/provision"
	"dogwoodpond/internal/usage"
	"dogwoodpond/internal/weightupdate"
)

// Names of the leases.
const (
	// DomainLease is the prefix of a failure domain's lease; the domain's name
	// follows.
	DomainLease  = "domain/"
	ReportsLease = "reports"
)

// Demands returns how many requests are running and queued in the failure domain,
// by account and pool. It is soft state: wrong numbers cost money or time within
// the limits of the contracts, never more.
type Demands interface {
	Demand() []provision.Demand
}

// Platform is the part of the platform's API that the controller uses.
type Platform interface {
	platformapi.Upstreams
	platformapi.Weights
}

// LoadReader reads the load reports of engines.
type LoadReader interface {
	LoadReport(ctx context.Context, address string) (engine.Load, error)
}

// Config holds the dependencies and settings of a Controller.
type Config struct {
	FailureDomain string
	Leases        *lease.Manager
	Platform      Platform
	LoadReader    LoadReader
	View          *contract.View
	Demands       Demands
	WeightUpdater *weightupdate.Updater
	Mover         *enginepool.Mover
	Provisioner   *provision.Provisioner
	Reporter      *usage.Reporter
	// DomainInterval is the interval between two rounds of orders for the failure domain.
	DomainInterval time.Duration
	// CloseInterval is the interval between two checks for usage windows to close.
	CloseInterval time.Duration
	// OrderTimeout is how long after it was sent an order of a previous holder of
	// the lease can still take effect.
	OrderTimeout time.Duration
	// ReportTimeout is how long after it was sent a usage report of a previous
	// holder of the lease can still take effect.
	ReportTimeout time.Duration
}

// Controller runs the duties of one VM.
type Controller struct {
	Config
}

// New returns a controller.
func New(config Config) *Controller { return &Controller{Config: config} }

// Run campaigns for the leases and runs the duties of those that it holds until
// ctx ends, and then releases the leases.
func (c *Controller) Run(ctx context.Context) {
	var campaigns sync.WaitGroup
	campaigns.Go(func() { _ = c.Leases.Campaign(ctx, DomainLease+c.FailureDomain, c.runDomain) })
	campaigns.Go(func() { _ = c.Leases.Campaign(ctx, ReportsLease, c.runReports) })
	campaigns.Wait()
}

// runReports closes usage windows until the lease is lost or ctx ends. Some
// billing services accept outdated fencing tokens, so the first report waits until
// no report of a previous holder can take effect any more.
func (c *Controller) runReports(ctx context.Context, guard lease.Guard) (bool, error) {
	if err := lease.WaitOrderGracePeriod(ctx, guard, c.ReportTimeout); err != nil {
		return false, err
	}
	c.Reporter.Run(ctx, guard, c.CloseInterval)
	return false, guard.Check()
}

// runDomain sends the orders for the failure domain until the lease is lost or ctx
// ends. Some engines ignore fencing tokens, so the first order waits until no
// order of a previous holder can take effect any more.
func (c *Controller) runDomain(ctx context.Context, guard lease.Guard) (bool, error) {
	if err := lease.WaitOrderGracePeriod(ctx, guard, c.OrderTimeout); err != nil {
		return false, err
	}
	defer c.WeightUpdater.Wait()
	ticker := time.NewTicker(c.DomainInterval)
	defer ticker.Stop()
	for guard.Check() == nil {
		c.tick(ctx, guard)
		select {
		case <-ctx.Done():
			return false, context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return false, guard.Check()
}

// tick observes the failure domain once and sends the orders that are due, each under a
// confirmed lease. After a failure the next tick retries, based on what it then observes.
func (c *Controller) tick(ctx context.Context, guard lease.Guard) {
	upstreams, err := c.Platform.Upstreams(ctx)
	if err != nil {
		return
	}
	observed := c.withoutPending(guard, c.observe(ctx, upstreams))
	if versions, err := c.Platform.Latest(ctx); err == nil {
		c.WeightUpdater.Tick(ctx, guard, weightEngines(observed), latestVersions(versions))
	}
	demands := c.Demands.Demand()
	_ = c.Mover.Tick(ctx, guard, poolEngines(observed), queuedByPool(demands))
	c.provision(ctx, guard, upstreams, demands)
}

// provision orders upstreams for the accounts whose contracts pay for them.
func (c *Controller) provision(ctx context.Context, guard lease.Guard, upstreams []platformapi.Upstream, demands []provision.Demand) {
	offers, err := c.Platform.Offers(ctx)
	if err != nil {
		return
	}
	_ = c.Provisioner.Run(ctx, guard, provision.Round{
		Listed:    upstreams,
		Offers:    offers,
		Demands:   demands,
		Contracts: c.View.Load().Contracts,
	})
}
