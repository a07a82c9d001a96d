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

	"dogwoodpond/internal/platform/platformtest"
)

const machineVMs = 2

// holder is what one VM of the machine has in hand.
type holder struct {
	claims *Claims
	claim  *Claim
	ran    bool
}

// machine is a store, its VMs and the deposit that must run at most once. Its
// actions are those of spec/claim.pml, over the functions of this package.
type machine struct {
	world  *platformtest.World
	vms    [machineVMs]holder
	fault  platformtest.Kind
	runs   int
	broken string
}

// lateBy is when a late copy of a commit takes effect.
const lateBy = 20 * time.Second

func newMachine() *machine {
	m := &machine{}
	m.world = platformtest.NewWorld(func(s platformtest.Step) platformtest.Fault {
		if s.Call != "commit" {
			return platformtest.Fault{}
		}
		f := platformtest.Fault{Kind: m.fault, For: lateBy}
		m.fault = platformtest.None
		return f
	})
	for id := range m.vms {
		m.restart(id)
	}
	return m
}

func (m *machine) restart(id int) {
	m.vms[id] = holder{claims: NewClaims(m.world.Start(context.Background(), fmt.Sprint("vm-", id)))}
}

func (m *machine) take(vm *holder) {
	claim, err := take(vm.claims)
	switch {
	case err != nil:
	case claim.Answer == nil:
		vm.claim, vm.ran = &claim, false
	case m.runs == 0:
		m.broken = "an answer of nothing that ran"
	}
}

func (m *machine) run(vm *holder) {
	if vm.ran {
		return
	}
	vm.ran = true
	m.runs++
	if m.runs > 1 {
		m.broken = "the deposit ran twice"
	}
}

// end settles the claim as an entry VM does: the outcome of what ran is stored,
// and what did not run is given back.
func (m *machine) end(vm *holder) {
	ctx := context.Background()
	if vm.ran {
		_ = vm.claims.Finish(ctx, *vm.claim, paid)
	} else {
		_ = vm.claims.Withdraw(ctx, *vm.claim)
	}
	vm.claim = nil
}

// The actions of a machine.
const (
	actionStep = iota
	actionRun
	actionRestart
	actionWait
	actions
)

// machineFaults may hit the next commit of an action.
var machineFaults = []platformtest.Kind{platformtest.None, platformtest.LoseReply, platformtest.LoseRequest, platformtest.Late}

// action is one command: a VM does something, and a fault hits its commit.
type action struct {
	kind, vm, fault int
}

// String implements commands.Command.
func (a action) String() string {
	return fmt.Sprintf("%d at VM %d, %v", a.kind, a.vm, machineFaults[a.fault])
}

// Run implements commands.Command.
func (a action) Run(sut commands.SystemUnderTest) commands.Result {
	m := sut.(*machine)
	vm := &m.vms[a.vm]
	m.fault = machineFaults[a.fault]
	switch {
	case a.kind == actionRestart:
		m.restart(a.vm)
	case a.kind == actionWait:
		time.Sleep(lateBy)
	case vm.claim == nil:
		m.take(vm)
	case a.kind == actionRun:
		m.run(vm)
	default:
		m.end(vm)
	}
	return m.broken
}

// NextState implements commands.Command; the machine itself is the state.
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

// Two VMs claim, run, finish, give back and die in any order, while commits lose
// their replies or come late. The deposit must run at most once.
func TestClaimMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parameters := gopter.DefaultTestParametersWithSeed(4)
		parameters.MinSuccessfulTests = 1000
		parameters.MaxSize = 40
		parameters.Workers = 1
		properties := gopter.NewProperties(parameters)
		properties.Property("one run", commands.Prop(&commands.ProtoCommands{
			NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newMachine() },
			DestroySystemUnderTestFunc: func(commands.SystemUnderTest) {
				time.Sleep(2 * lateBy)
			},
			InitialStateGen: gen.Const(0),
			GenCommandFunc: func(commands.State) gopter.Gen {
				return gopter.CombineGens(
					gen.IntRange(0, actions-1),
					gen.IntRange(0, machineVMs-1),
					gen.IntRange(0, len(machineFaults)-1),
				).Map(func(drawn []any) commands.Command {
					return action{kind: drawn[0].(int), vm: drawn[1].(int), fault: drawn[2].(int)}
				})
			},
		}))
		properties.TestingRun(t)
	})
}
