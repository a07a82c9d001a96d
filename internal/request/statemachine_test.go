package request

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"dogwoodpond/internal/platformapi/faultinject"
)

const systemVMs = 2

// vmState is the state of one VM of the system. ran reports whether the request
// ran under the current claim.
type vmState struct {
	claims *Claims
	claim  *Claim
	ran    bool
}

// system is the system under test: a store, its VMs and the request for a deposit
// that must run at most once. Its actions are those of the model spec/claim.pml, executed by
// the functions of this package. violation describes a broken guarantee and is empty if
// there is none.
type system struct {
	cluster   *faultinject.Cluster
	vms       [systemVMs]vmState
	fault     faultinject.Kind
	runs      int
	violation string
}

// effectDelay is the time after which a delayed commit takes effect.
const effectDelay = 20 * time.Second

func newSystem() *system {
	sys := &system{}
	sys.cluster = faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
		if s.Call != "commit" {
			return faultinject.Fault{}
		}
		f := faultinject.Fault{Kind: sys.fault, Duration: effectDelay}
		sys.fault = faultinject.None
		return f
	})
	for id := range sys.vms {
		sys.restart(id)
	}
	return sys
}

func (sys *system) restart(id int) {
	sys.vms[id] = vmState{claims: NewClaims(sys.cluster.Start(context.Background(), fmt.Sprint("vm-", id)))}
}

func (sys *system) acquire(vm *vmState) {
	claim, err := acquire(vm.claims)
	switch {
	case err != nil:
	case claim.Answer == nil:
		vm.claim, vm.ran = &claim, false
	case sys.runs == 0:
		sys.violation = "a duplicate got an answer although nothing ran"
	}
}

func (sys *system) run(vm *vmState) {
	if vm.ran {
		return
	}
	vm.ran = true
	sys.runs++
	if sys.runs > 1 {
		sys.violation = "the deposit ran twice"
	}
}

// end ends the claim as an entry VM does: it stores the answer of a request that
// ran, and withdraws the claim of one that did not run.
func (sys *system) end(vm *vmState) {
	ctx := context.Background()
	if vm.ran {
		_ = vm.claims.Finish(ctx, *vm.claim, paidAnswer)
	} else {
		_ = vm.claims.Withdraw(ctx, *vm.claim)
	}
	vm.claim = nil
}

// The actions of a VM. A VM without a claim claims the key on actionRun and
// actionClaimOrEnd; one with a claim ends it on actionClaimOrEnd.
const (
	actionClaimOrEnd = iota
	actionRun
	actionRestart
	actionWait
	actionCount
)

// commitFaults are the faults that an action may inject into the next commit.
var commitFaults = []faultinject.Kind{faultinject.None, faultinject.LoseReply, faultinject.LoseRequest, faultinject.DelayEffect}

// action is a command: a fault is injected into the next commit, and a VM acts.
type action struct {
	kind, vm, fault int
}

// String implements commands.Command.
func (a action) String() string {
	return fmt.Sprintf("%d at VM %d, %v", a.kind, a.vm, commitFaults[a.fault])
}

// Run implements commands.Command.
func (a action) Run(sut commands.SystemUnderTest) commands.Result {
	sys := sut.(*system)
	vm := &sys.vms[a.vm]
	sys.fault = commitFaults[a.fault]
	switch {
	case a.kind == actionRestart:
		sys.restart(a.vm)
	case a.kind == actionWait:
		time.Sleep(effectDelay)
	case vm.claim == nil:
		sys.acquire(vm)
	case a.kind == actionRun:
		sys.run(vm)
	default:
		sys.end(vm)
	}
	return sys.violation
}

// NextState implements commands.Command. The system itself holds the state.
func (action) NextState(state commands.State) commands.State { return state }

// PreCondition implements commands.Command.
func (action) PreCondition(commands.State) bool { return true }

// PostCondition implements commands.Command.
func (action) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if result.(string) == "" {
		return gopter.NewPropResult(true, "")
	}
	return gopter.NewPropResult(false, result.(string))
}

// Two VMs claim, run, finish, withdraw and restart in any order, while commits
// lose their requests or replies, or are delayed. The deposit must run at
// most once.
func TestClaimStateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parameters := gopter.DefaultTestParametersWithSeed(4)
		parameters.MinSuccessfulTests = 1000
		parameters.MaxSize = 40
		parameters.Workers = 1
		properties := gopter.NewProperties(parameters)
		properties.Property("the deposit runs at most once", commands.Prop(&commands.ProtoCommands{
			NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newSystem() },
			DestroySystemUnderTestFunc: func(commands.SystemUnderTest) {
				time.Sleep(2 * effectDelay)
			},
			InitialStateGen: gen.Const(0),
			GenCommandFunc: func(commands.State) gopter.Gen {
				return gopter.CombineGens(
					gen.IntRange(0, actionCount-1),
					gen.IntRange(0, systemVMs-1),
					gen.IntRange(0, len(commitFaults)-1),
				).Map(func(drawn []any) commands.Command {
					return action{kind: drawn[0].(int), vm: drawn[1].(int), fault: drawn[2].(int)}
				})
			},
		}))
		properties.TestingRun(t)
	})
}
