package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi/faultinject"
)

const machineVMs = 2

// machine is a store, an operator at each VM, and the VMs' views. Its actions
// are those of spec/edit.pml, over the functions of this package.
type machine struct {
	world    *faultinject.Cluster
	editors  [machineVMs]*Editor
	syncers  [machineVMs]*Syncer
	pending  [machineVMs]*contract.Edit
	edits    int
	fault    faultinject.Kind
	accepted []time.Time // when each revision was accepted, at the latest
	broken   string
}

const (
	// lateBy is when a late copy of a commit takes effect.
	lateBy = 40 * time.Second
	// machineAccounts is how few accounts the operators edit, so that they meet.
	machineAccounts = 2
)

func newMachine() *machine {
	m := &machine{}
	m.world = faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
		if s.Call != "commit" {
			return faultinject.Fault{}
		}
		f := faultinject.Fault{Kind: m.fault, Duration: lateBy}
		m.fault = faultinject.None
		return f
	})
	for id := range machineVMs {
		m.restart(id)
	}
	return m
}

func (m *machine) restart(id int) {
	p := m.world.Start(context.Background(), fmt.Sprint("vm-", id))
	m.editors[id] = testEditor(p)
	m.syncers[id] = testSyncer(p, nil)
	m.pending[id] = nil
}

// edit sends an operator's edit, or the one again that has no answer yet.
func (m *machine) edit(id, account int) {
	ctx := context.Background()
	if m.pending[id] == nil {
		name := contract.Account(fmt.Sprint("farm-", account))
		subject, err := m.editors[id].Subject(ctx, "contract/"+string(name))
		if err != nil {
			return
		}
		m.edits++
		edit := editShare(fmt.Sprint("edit-", m.edits), name, subject.Revision, 1+m.edits%100)
		m.pending[id] = &edit
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := m.editors[id].Apply(ctx, *m.pending[id]); err == nil {
		m.pending[id] = nil
	}
}

// learn takes over what the other VM knows.
func (m *machine) learn(id int) {
	s := m.syncers[id]
	s.peers = peerSyncers{m.syncers[1-id]}
	s.fromPeers(context.Background(), time.Since(s.started))
}

// audit checks the history and what every VM says of itself.
func (m *machine) audit() {
	entries, _ := testEditor(m.world.Rows).History(context.Background(), 0, 1000)
	ids := map[string]bool{}
	for i, entry := range entries {
		if entry.Revision != contract.Revision(i+1) || ids[entry.EditID] {
			m.broken = fmt.Sprintf("entry %d of the history is %+v", i+1, entry)
		}
		ids[entry.EditID] = true
		if i >= len(m.accepted) {
			m.accepted = append(m.accepted, time.Now())
		}
	}
	for _, s := range m.syncers {
		m.auditVM(s, entries)
	}
}

func (m *machine) auditVM(s *Syncer, entries []contract.Entry) {
	view := s.view.Load()
	want := contract.Empty()
	for _, entry := range entries[:view.Revision] {
		want, _ = want.Apply(entry)
	}
	if fmt.Sprint(view.Contracts) != fmt.Sprint(want.Contracts) {
		m.broken = fmt.Sprintf("the view at revision %d is not the history's", view.Revision)
	}
	age := s.Age()
	if age == Never {
		return
	}
	for i, at := range m.accepted {
		if at.Before(time.Now().Add(-age)) && int(view.Revision) <= i {
			m.broken = fmt.Sprintf("a VM at revision %d passes for current after revision %d", view.Revision, i+1)
		}
	}
}

// The actions of a machine.
const (
	actionEdit = iota
	actionSync
	actionLearn
	actionRestart
	actionWait
	actions
)

// machineFaults may hit the next commit of an action.
var machineFaults = []faultinject.Kind{faultinject.None, faultinject.LoseReply, faultinject.LoseRequest, faultinject.DelayEffect}

// action is one command: a VM does something, and a fault hits its commit.
type action struct {
	kind, vm, account, fault int
}

// String implements commands.Command.
func (a action) String() string {
	return fmt.Sprintf("%d at VM %d, account %d, %v", a.kind, a.vm, a.account, machineFaults[a.fault])
}

// Run implements commands.Command.
func (a action) Run(sut commands.SystemUnderTest) commands.Result {
	m := sut.(*machine)
	before := m.syncers[a.vm].view.Load().Revision
	m.fault = machineFaults[a.fault]
	switch a.kind {
	case actionEdit:
		m.edit(a.vm, a.account)
	case actionSync:
		m.syncers[a.vm].sync(context.Background())
	case actionLearn:
		m.learn(a.vm)
	case actionWait:
		time.Sleep(lateBy / 3)
	case actionRestart:
		m.restart(a.vm)
		before = 0
	}
	if m.syncers[a.vm].view.Load().Revision < before {
		m.broken = "the configuration went back"
	}
	m.audit()
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

// Operators edit the same contracts through two VMs, which follow the store and
// each other, restart, and whose commits lose their replies or come late. Views
// follow the history, never go back, and never pass for more current than they
// are.
func TestEditMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parameters := gopter.DefaultTestParametersWithSeed(4)
		parameters.MinSuccessfulTests = 500
		parameters.MaxSize = 40
		parameters.Workers = 1
		properties := gopter.NewProperties(parameters)
		properties.Property("one history", commands.Prop(&commands.ProtoCommands{
			NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newMachine() },
			DestroySystemUnderTestFunc: func(commands.SystemUnderTest) {
				time.Sleep(2 * lateBy)
			},
			InitialStateGen: gen.Const(0),
			GenCommandFunc: func(commands.State) gopter.Gen {
				return gopter.CombineGens(
					gen.IntRange(0, actions-1),
					gen.IntRange(0, machineVMs-1),
					gen.IntRange(0, machineAccounts-1),
					gen.IntRange(0, len(machineFaults)-1),
				).Map(func(drawn []any) commands.Command {
					return action{kind: drawn[0].(int), vm: drawn[1].(int), account: drawn[2].(int), fault: drawn[3].(int)}
				})
			},
		}))
		properties.TestingRun(t)
	})
}
