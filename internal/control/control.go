// Package control runs what at most one VM may do at a time: the orders of a
// failure domain and the usage reports. Each loop runs under a lease, and every
// VM campaigns for the leases that it may hold.
package control

import (
	"context"
	"sync"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/pools"
	"dogwoodpond/internal/provision"
	"dogwoodpond/internal/usage"
	"dogwoodpond/internal/weights"
)

// Names of the leases.
const (
	// DomainLease is followed by the failure domain's name.
	DomainLease  = "domain/"
	ReportsLease = "reports"
)

// Demands tells the work that waits and runs in the failure domain, by account
// and pool. It is soft state: wrong figures cost money or time within the
// contract, never more.
type Demands interface {
	Demand() []provision.Demand
}

// Platform is what the loops ask of the platform.
type Platform interface {
	platform.Upstreams
	platform.Weights
}

// Loads returns engines' load reports.
type Loads interface {
	Load(ctx context.Context, address string) (engine.Load, error)
}

// Config holds what a Controller is built from.
type Config struct {
	FailureDomain string
	Leases        *lease.Manager
	Platform      Platform
	Loads         Loads
	View          *contract.View
	Demands       Demands
	Roller        *weights.Roller
	Mover         *pools.Mover
	Provisioner   *provision.Provisioner
	Closer        *usage.Closer
	// Period is the time between two looks at the failure domain.
	Period time.Duration
	// ClosePeriod is the time between two looks at the usage windows.
	ClosePeriod time.Duration
	// OrderTimeout is how long an order of an earlier holder can be under way.
	OrderTimeout time.Duration
	// ReportTimeout is the same for a usage report.
	ReportTimeout time.Duration
}

// Controller runs the loops of one VM.
type Controller struct {
	Config
}

// New returns a controller.
func New(config Config) *Controller { return &Controller{Config: config} }

// Run campaigns and works until ctx ends, and then releases the leases.
func (c *Controller) Run(ctx context.Context) {
	var campaigns sync.WaitGroup
	campaigns.Go(func() { _ = c.Leases.Campaign(ctx, DomainLease+c.FailureDomain, c.holdDomain) })
	campaigns.Go(func() { _ = c.Leases.Campaign(ctx, ReportsLease, c.holdReports) })
	campaigns.Wait()
}

// holdReports closes usage windows. Not every billing refuses an old fencing
// number, so the first report waits until none of an earlier holder can be
// under way.
func (c *Controller) holdReports(ctx context.Context, guard lease.Guard) (bool, error) {
	if err := lease.Settle(ctx, guard, c.ReportTimeout); err != nil {
		return false, err
	}
	c.Closer.Run(ctx, guard, c.ClosePeriod)
	return false, guard.Check()
}

// holdDomain orders for the failure domain. Some engines ignore fencing numbers,
// so the first order waits until none of an earlier holder can be under way.
func (c *Controller) holdDomain(ctx context.Context, guard lease.Guard) (bool, error) {
	if err := lease.Settle(ctx, guard, c.OrderTimeout); err != nil {
		return false, err
	}
	defer c.Roller.Wait()
	ticker := time.NewTicker(c.Period)
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

// tick looks at the failure domain once and gives the orders that are due. What
// fails is tried again by the next tick, from what is then seen.
func (c *Controller) tick(ctx context.Context, guard lease.Guard) {
	upstreams, err := c.Platform.Upstreams(ctx)
	if err != nil {
		return
	}
	observed := c.observe(ctx, upstreams)
	if versions, err := c.Platform.Latest(ctx); err == nil {
		c.Roller.Tick(ctx, guard, weightEngines(observed), latest(versions))
	}
	demands := c.Demands.Demand()
	_ = c.Mover.Tick(ctx, guard, poolEngines(observed), queued(demands))
	c.provision(ctx, guard, upstreams, demands)
}

// provision orders upstreams for the accounts whose contract pays for any.
func (c *Controller) provision(ctx context.Context, guard lease.Guard, upstreams []platform.Upstream, demands []provision.Demand) {
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
