package rollout

import (
	"context"

	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/platformapi"
)

// Worker is a VM that runs generations for the owner of a step.
type Worker struct {
	VM            string
	FailureDomain string
	Runner        generate.Runner
}

// Workers lists the VMs that can run attempts for an owner, the own VM first.
// The list may be out of date.
type Workers interface {
	Workers() []Worker
}

// Members lists the VMs of the fleet. The list may be out of date.
type Members interface {
	VMs() []platformapi.VM
}

// PeerClient runs a generation on a peer. It fails with *fault.PeerUnavailable when
// the peer does not answer, otherwise with the peer's own error.
type PeerClient interface {
	Generate(ctx context.Context, address string, request generate.Request) (generate.Result, error)
}

// Fleet provides the own VM and its peers as workers. Without peers, the own VM
// is the only worker.
type Fleet struct {
	self    Worker
	members Members
	caller  PeerClient
}

// NewFleet returns a Fleet of the VM self and its peers.
func NewFleet(self Worker, members Members, caller PeerClient) *Fleet {
	return &Fleet{self: self, members: members, caller: caller}
}

// Workers implements Workers. It omits VMs that are leaving: new attempts would
// delay their shutdown.
func (f *Fleet) Workers() []Worker {
	workers := []Worker{f.self}
	for _, vm := range f.members.VMs() {
		if vm.ID == f.self.VM || vm.State == platformapi.VMLeaving || vm.PeerAddress == "" {
			continue
		}
		workers = append(workers, Worker{
			VM:            vm.ID,
			FailureDomain: vm.FailureDomain,
			Runner:        peerRunner{address: vm.PeerAddress, caller: f.caller},
		})
	}
	return workers
}

// peerRunner runs generations on one peer. It returns the result only, not the
// chunks of the stream.
type peerRunner struct {
	address string
	caller  PeerClient
}

// Generate implements generate.Runner.
func (p peerRunner) Generate(ctx context.Context, request generate.Request, _ generate.Sink) (generate.Result, error) {
	return p.caller.Generate(ctx, p.address, request)
}
