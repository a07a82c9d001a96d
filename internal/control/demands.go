package control

import (
	"cmp"
	"slices"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/provision"
	"dogwoodpond/internal/upstream"
)

// DomainDemands sums the demands in the digests of a failure domain's VMs. In a
// large failure domain a VM receives digests only from its own cell. The sum over
// the VMs whose demand is known is then scaled up to all VMs of the domain.
type DomainDemands struct {
	domain    string
	members   func() []dispatch.Member
	view      *contract.View
	directory *upstream.Directory
}

// NewDomainDemands returns the demands of the named failure domain. members
// returns the VMs that are alive, with their demands.
func NewDomainDemands(domain string, members func() []dispatch.Member, view *contract.View, directory *upstream.Directory) *DomainDemands {
	return &DomainDemands{domain: domain, members: members, view: view, directory: directory}
}

// flowKey identifies a demand by the IDs that digests contain.
type flowKey struct {
	pool, account uint32
}

// Demand implements Demands. The result is sorted by account and pool.
func (d *DomainDemands) Demand() []provision.Demand {
	sums, scale := d.sum()
	var demands []provision.Demand
	for _, pool := range d.enginePools() {
		for account := range d.view.Load().Contracts {
			flow, ok := sums[flowKey{pool: pool.Hash(), account: dispatch.AccountHash(account)}]
			if !ok {
				continue
			}
			demands = append(demands, provision.Demand{
				Account: account,
				Model:   pool.Model,
				Adapter: pool.Adapter,
				Running: int(float64(flow.InFlight) * scale),
				Queued:  int(float64(flow.Queued) * scale),
			})
		}
	}
	slices.SortFunc(demands, func(a, b provision.Demand) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return demands
}

// sum returns the summed flows of the VMs whose demand is known, and the ratio of
// all VMs of the failure domain to these.
func (d *DomainDemands) sum() (sums map[flowKey]dispatch.FlowDemand, scale float64) {
	sums = make(map[flowKey]dispatch.FlowDemand)
	known, all := 0, 0
	for _, m := range d.members() {
		if m.FailureDomain != d.domain {
			continue
		}
		all++
		if !m.DemandKnown {
			continue
		}
		known++
		for _, flow := range m.Flows {
			key := flowKey{pool: flow.Pool, account: flow.Account}
			sum := sums[key]
			sum.InFlight += flow.InFlight
			sum.Queued += flow.Queued
			sums[key] = sum
		}
	}
	return sums, float64(all) / float64(max(1, known))
}

// enginePools returns the engine pools of the directory without duplicates.
func (d *DomainDemands) enginePools() []dispatch.Pool {
	var pools []dispatch.Pool
	for _, u := range d.directory.Load() {
		pool := dispatch.Pool{Kind: platformapi.KindEngine, Model: u.Model, Adapter: u.Adapter}
		if u.Kind == platformapi.KindEngine && !slices.Contains(pools, pool) {
			pools = append(pools, pool)
		}
	}
	return pools
}
