package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// nodeCount is how many nodes contend, as in spec/lease.pml.
const nodeCount = 2

// node is one process: it contends for the lease or holds it.
type node struct {
	incarnations int
	contender    *Contender
	hold         *Hold
}

func (n *node) restart(id int) {
	n.incarnations++
	n.hold = nil
	n.contender = NewContender(fmt.Sprint("node-", id, "/", n.incarnations), testTiming)
}

// machine is the system under test: the row and the nodes, with a clock that the
// actions advance. Its actions are those of spec/lease.pml, over the functions of this
// package.
type machine struct {
	now     time.Time
	row     Record
	version uint64
	nodes   [nodeCount]node
	// holders maps each epoch to the identity that acted under it.
	holders   map[uint64]string
	violation string
}

func newMachine() *machine {
	m := &machine{now: time.Unix(0, 0), holders: make(map[uint64]string)}
	for id := range m.nodes {
		m.nodes[id].restart(id)
	}
	return m
}

func (m *machine) compareAndSwap(expected uint64, next Record) bool {
	if m.version != expected {
		return false
	}
	m.version++
	m.row = next
	return true
}

// contend reads the row and takes the lease if it may. If lost is true, the reply of
// the commit is lost. delay passes before the row is observed, between sending the
// commit and its effect, and between the effect and the reply.
func (m *machine) contend(n *node, lost bool, delay time.Duration) {
	record, version := m.row, m.version
	m.now = m.now.Add(delay)
	n.contender.Observe(version, m.now)
	if n.contender.RemainingWait(record, m.now, 0) > 0 {
		return
	}
	sentAt := m.now
	m.now = m.now.Add(delay)
	next := n.contender.AcquireRecord(record)
	acquired := m.compareAndSwap(version, next)
	m.now = m.now.Add(delay)
	if acquired && !lost {
		n.hold = NewHold("a", testTiming, next, version+1, sentAt)
	}
}

func (m *machine) renew(n *node, lost bool, delay time.Duration) {
	sentAt := m.now
	next, version := n.hold.RenewalRecord(sentAt)
	m.now = m.now.Add(delay)
	renewed := m.compareAndSwap(version, next)
	m.now = m.now.Add(delay)
	if renewed && !lost {
		n.hold.NoteRenewal(next, version+1, sentAt)
		return
	}
	if !n.hold.Reconcile(m.row, m.version) {
		n.hold = nil
	}
}

// checkGuard checks the guard of a node. If the guard passes, no other node may have
// taken the lease, and the epoch must belong to this holder alone.
func (m *machine) checkGuard(n *node) {
	if n.hold.CheckAt(m.now) != nil {
		return
	}
	epoch, identity := n.hold.Epoch(), n.contender.identity
	if m.row.Holder != identity || m.row.Epoch != epoch {
		m.violation = fmt.Sprintf("%s passes the guard with epoch %d, the row is %+v", identity, epoch, m.row)
	}
	if other, ok := m.holders[epoch]; ok && other != identity {
		m.violation = fmt.Sprintf("%s and %s share the epoch %d", other, identity, epoch)
	}
	m.holders[epoch] = identity
}

func (m *machine) release(n *node) {
	next, version := n.hold.ReleaseRecord(m.now)
	n.hold.End()
	n.hold = nil
	m.compareAndSwap(version, next)
}

// The kinds of actions. actionCommit contends or renews. A node that does not hold the
// lease contends instead of checking the guard or releasing.
const (
	actionAdvanceClock = iota
	actionCommit
	actionCommitReplyLost
	actionCheckGuard
	actionRelease
	actionRestart
	actionCount
)

// action is one command: a node acts, and delay passes.
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
	case a.kind == actionAdvanceClock:
		m.now = m.now.Add(a.delay)
	case a.kind == actionRestart:
		n.restart(a.node)
	case n.hold == nil:
		m.contend(n, a.kind == actionCommitReplyLost, a.delay)
	case a.kind == actionRelease:
		m.release(n)
	case a.kind == actionCheckGuard:
		m.checkGuard(n)
	default:
		m.renew(n, a.kind == actionCommitReplyLost, a.delay)
	}
	for id := range m.nodes {
		if m.nodes[id].hold != nil {
			m.checkGuard(&m.nodes[id])
		}
	}
	return m.violation
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

// Two nodes contend, renew, lose replies, pause, release and restart in any order. A
// node whose guard passes must be the only holder.
func TestLeaseStateMachine(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 2000
	parameters.MaxSize = 80
	properties := gopter.NewProperties(parameters)
	properties.Property("one holder", commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newMachine() },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(
				gen.IntRange(0, actionCount-1),
				gen.IntRange(0, nodeCount-1),
				gen.Int64Range(0, int64(testTiming.Term)),
			).Map(func(drawn []any) commands.Command {
				return action{kind: drawn[0].(int), node: drawn[1].(int), delay: time.Duration(drawn[2].(int64))}
			})
		},
	}))
	properties.TestingRun(t)
}
