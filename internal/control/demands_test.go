package control

import (
	"testing"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/upstream"
)

func flow(account contract.Account, inFlight, queued uint32) dispatch.FlowDemand {
	pool := dispatch.Pool{Kind: platformapi.KindEngine, Model: "berry-1"}
	return dispatch.FlowDemand{Pool: pool.Hash(), Account: dispatch.AccountHash(account), InFlight: inFlight, Queued: queued}
}

func newDemands(t *testing.T, members ...dispatch.Member) *DomainDemands {
	t.Helper()
	view := contract.NewView()
	c := contract.DefaultContract("berry")
	next, err := view.Load().Apply(contract.Entry{Revision: 1, Kind: contract.EditContract, Contract: &c})
	if err != nil {
		t.Fatal(err)
	}
	view.Advance(next)
	directory := upstream.NewDirectory()
	directory.Replace([]platformapi.Upstream{
		{ID: "e1", Kind: platformapi.KindEngine, FailureDomain: "a", Model: "berry-1"},
		{ID: "e2", Kind: platformapi.KindEngine, FailureDomain: "a", Model: "berry-1"},
	})
	return NewDomainDemands("a", func() []dispatch.Member { return members }, view, directory)
}

func TestDemandIsSummedPerFailureDomain(t *testing.T) {
	demands := newDemands(t,
		dispatch.Member{VM: "vm-1", FailureDomain: "a", DemandKnown: true, Flows: []dispatch.FlowDemand{flow("berry", 3, 1)}},
		dispatch.Member{VM: "vm-2", FailureDomain: "a", DemandKnown: true, Flows: []dispatch.FlowDemand{flow("berry", 2, 4), flow("gone", 9, 9)}},
		dispatch.Member{VM: "vm-3", FailureDomain: "b", DemandKnown: true, Flows: []dispatch.FlowDemand{flow("berry", 50, 50)}},
	).Demand()
	if len(demands) != 1 || demands[0].Running != 5 || demands[0].Queued != 5 {
		t.Errorf("got %+v, want one demand with 5 running and 5 queued", demands)
	}
}

// In a large failure domain a VM receives digests from some VMs only. If their sum
// were used for the whole domain, too few upstreams would be ordered, and requests
// would stay queued forever.
func TestDemandIsScaledToVMsWithUnknownDemand(t *testing.T) {
	demands := newDemands(t,
		dispatch.Member{VM: "vm-1", FailureDomain: "a", DemandKnown: true, Flows: []dispatch.FlowDemand{flow("berry", 4, 2)}},
		dispatch.Member{VM: "vm-2", FailureDomain: "a"},
		dispatch.Member{VM: "vm-3", FailureDomain: "a"},
	).Demand()
	if len(demands) != 1 || demands[0].Running != 12 || demands[0].Queued != 6 {
		t.Errorf("got %+v, want one demand with 12 running and 6 queued", demands)
	}
}
