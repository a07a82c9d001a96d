package control

import (
	"cmp"
	"slices"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/provision"
	"dogwoodpond/internal/upstream"
)

// FleetDemands adds up what the VMs of a failure domain say in their digests.
// In a large failure domain a VM hears only its own cell; the sum is then scaled
// up from the VMs that were heard to all.
type FleetDemands struct {
	domain    string
	members   func() []dispatch.Member
	view      *contract.View
	directory *upstream.Directory
}

// NewFleetDemands returns the demands of a failure domain. members returns the
// live VMs with their demands.
func NewFleetDemands(domain string, members func() []dispatch.Member, view *contract.View, directory *upstream.Directory) *FleetDemands {
	return &FleetDemands{domain: domain, members: members, view: view, directory: directory}
}

// flowKey names a demand as digests do.
type flowKey struct {
	pool, account uint32
}

// Demand implements Demands. The result is ordered by account and pool.
func (f *FleetDemands) Demand() []provision.Demand {
	sums, scale := f.sum()
	var demands []provision.Demand
	for _, pool := range f.pools() {
		for account := range f.view.Load().Contracts {
			flow, ok := sums[flowKey{pool: pool.ID(), account: dispatch.AccountID(account)}]
			if !ok {
				continue
			}
			demands = append(demands, provision.Demand{
				Account: account,
				Model:   pool.Model,
				Adapter: pool.Adapter,
				Running: int(float64(flow.InFlight) * scale),
				Queued:  int(float64(flow.Waiting) * scale),
			})
		}
	}
	slices.SortFunc(demands, func(a, b provision.Demand) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return demands
}

// sum adds up the flows of the VMs that were heard, and returns by how much the
// failure domain is larger than these.
func (f *FleetDemands) sum() (sums map[flowKey]dispatch.FlowDemand, scale float64) {
	sums = make(map[flowKey]dispatch.FlowDemand)
	heard, all := 0, 0
	for _, m := range f.members() {
		if m.FailureDomain != f.domain {
			continue
		}
		all++
		if !m.Heard {
			continue
		}
		heard++
		for _, flow := range m.Flows {
			key := flowKey{pool: flow.Pool, account: flow.Account}
			sum := sums[key]
			sum.InFlight += flow.InFlight
			sum.Waiting += flow.Waiting
			sums[key] = sum
		}
	}
	return sums, float64(all) / float64(max(1, heard))
}

// pools lists the engine pools of the directory, each once.
func (f *FleetDemands) pools() []dispatch.Pool {
	var list []dispatch.Pool
	for _, u := range f.directory.Load() {
		pool := dispatch.Pool{Kind: platform.KindEngine, Model: u.Model, Adapter: u.Adapter}
		if u.Kind == platform.KindEngine && !slices.Contains(list, pool) {
			list = append(list, pool)
		}
	}
	return list
}
