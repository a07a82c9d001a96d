package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// machineNodes is how many nodes contend, as in spec/lease.pml.
const machineNodes = 2

// node is one process of the model: it contends or holds.
type node struct {
	lives     int
	contender *Contender
	hold      *Hold
}

func (n *node) restart(id int) {
	n.lives++
	n.hold = nil
	n.contender = NewContender(fmt.Sprint("node-", id, "/", n.lives), testTiming)
}

// machine is the row and the nodes, with a clock that the actions move. Its
// actions are those of spec/lease.pml, over the functions of this package.
type machine struct {
	now     time.Time
	row     Record
	version uint64
	nodes   [machineNodes]node
	// holders keeps who acted under each epoch.
	holders map[uint64]string
	broken  string
}

func newMachine() *machine {
	m := &machine{now: time.Unix(0, 0), holders: make(map[uint64]string)}
	for id := range m.nodes {
		m.nodes[id].restart(id)
	}
	return m
}

func (m *machine) swap(expected uint64, next Record) bool {
	if m.version != expected {
		return false
	}
	m.version++
	m.row = next
	return true
}

// contend reads the row and takes the lease if it may. lost drops the reply of
// the taking; delay passes between sending and taking effect, and once more
// before the reply.
func (m *machine) contend(n *node, lost bool, delay time.Duration) {
	record, version := m.row, m.version
	m.now = m.now.Add(delay)
	n.contender.Observe(version, m.now)
	if n.contender.Wait(record, m.now, 0) > 0 {
		return
	}
	sentAt := m.now
	m.now = m.now.Add(delay)
	next := n.contender.Take(record)
	taken := m.swap(version, next)
	m.now = m.now.Add(delay)
	if taken && !lost {
		n.hold = NewHold("a", testTiming, next, version+1, sentAt)
	}
}

func (m *machine) renew(n *node, lost bool, delay time.Duration) {
	next, version := n.hold.Renewal()
	sentAt := m.now
	m.now = m.now.Add(delay)
	renewed := m.swap(version, next)
	m.now = m.now.Add(delay)
	if renewed && !lost {
		n.hold.Renewed(next, version+1, sentAt)
		return
	}
	if !n.hold.Seen(m.row, m.version) {
		n.hold = nil
	}
}

// act asks the guard. When it passes, nobody else has taken the lease, and the
// epoch is this holder's alone.
func (m *machine) act(n *node) {
	if n.hold.CheckAt(m.now) != nil {
		return
	}
	epoch, owner := n.hold.Epoch(), n.contender.owner
	if m.row.Holder != owner || m.row.Epoch != epoch {
		m.broken = fmt.Sprintf("%s passes the guard with epoch %d, the row is %+v", owner, epoch, m.row)
	}
	if other, ok := m.holders[epoch]; ok && other != owner {
		m.broken = fmt.Sprintf("%s and %s share the epoch %d", other, owner, epoch)
	}
	m.holders[epoch] = owner
}

func (m *machine) release(n *node) {
	next, version := n.hold.Release()
	n.hold.End()
	n.hold = nil
	m.swap(version, next)
}

// The actions of a machine.
const (
	actionPass = iota
	actionStep
	actionStepLost
	actionAct
	actionRelease
	actionRestart
	actions
)

// action is one command: a node does something, and delay passes.
type action struct {
	kind, node int
	delay      time.Duration
}

// String implements commands.Command.
func (a action) String() string {
	return fmt.Sprintf("%d at node %d after %v", a.kind, a.node, a.delay)
}

// Run implements commands.Command.
func (a action) Run(sut commands.SystemUnderTest) commands.Result {
	m := sut.(*machine)
	n := &m.nodes[a.node]
	switch {
	case a.kind == actionPass:
		m.now = m.now.Add(a.delay)
	case a.kind == actionRestart:
		n.restart(a.node)
	case n.hold == nil:
		m.contend(n, a.kind == actionStepLost, a.delay)
	case a.kind == actionRelease:
		m.release(n)
	case a.kind == actionAct:
		m.act(n)
	default:
		m.renew(n, a.kind == actionStepLost, a.delay)
	}
	for id := range m.nodes {
		if m.nodes[id].hold != nil {
			m.act(&m.nodes[id])
		}
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

// Two nodes do anything in any order: contend, renew, lose replies, pause,
// release, die. Whoever passes the guard must be the only one in charge.
func TestLeaseMachine(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 2000
	parameters.MaxSize = 80
	properties := gopter.NewProperties(parameters)
	properties.Property("one holder", commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newMachine() },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(
				gen.IntRange(0, actions-1),
				gen.IntRange(0, machineNodes-1),
				gen.Int64Range(0, int64(testTiming.Term)),
			).Map(func(drawn []any) commands.Command {
				return action{kind: drawn[0].(int), node: drawn[1].(int), delay: time.Duration(drawn[2].(int64))}
			})
		},
	}))
	properties.TestingRun(t)
}
