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

// machine is the state machine of the property-based test: a store, an operator at each VM,
// and the VMs' views. Its actions are those of the model spec/edit.pml, executed by the
// functions of this package.
type machine struct {
	cluster *faultinject.Cluster
	editors [machineVMs]*Editor
	syncers [machineVMs]*Syncer
	// pending holds each operator's edit that was not answered yet.
	pending   [machineVMs]*contract.Edit
	edits     int
	fault     faultinject.Kind
	accepted  []time.Time // latest time at which each revision was accepted
	violation string
}

const (
	// effectDelay is the time after which a delayed commit takes effect.
	effectDelay = 40 * time.Second
	// machineAccounts is the number of accounts, small enough that edits conflict.
	machineAccounts = 2
)

func newMachine() *machine {
	m := &machine{}
	m.cluster = faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
		if s.Call != "commit" {
			return faultinject.Fault{}
		}
		f := faultinject.Fault{Kind: m.fault, Duration: effectDelay}
		m.fault = faultinject.None
		return f
	})
	for id := range machineVMs {
		m.restart(id)
	}
	return m
}

func (m *machine) restart(id int) {
	p := m.cluster.Start(context.Background(), fmt.Sprint("vm-", id))
	m.editors[id] = testEditor(p)
	m.syncers[id] = testSyncer(p, nil)
	m.pending[id] = nil
}

// edit applies the operator's pending edit again, or a new one if none is pending.
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

// learn updates a VM's view from the other VM.
func (m *machine) learn(id int) {
	s := m.syncers[id]
	s.peers = peerSyncers{m.syncers[1-id]}
	s.syncFromPeers(context.Background(), time.Since(s.started))
}

// audit checks the history, and the view and the age of every VM.
func (m *machine) audit() {
	entries, _ := testEditor(m.cluster.Rows).History(context.Background(), 0, 1000)
	ids := map[string]bool{}
	for i, entry := range entries {
		if entry.Revision != contract.Revision(i+1) || ids[entry.EditID] {
			m.violation = fmt.Sprintf("entry %d of the history is %+v", i+1, entry)
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

// auditVM checks that a VM's view equals the history up to its revision, and contains every
// edit that was accepted before the time given by its age.
func (m *machine) auditVM(s *Syncer, entries []contract.Entry) {
	view := s.view.Load()
	want := contract.EmptySnapshot()
	for _, entry := range entries[:view.Revision] {
		want, _ = want.Apply(entry)
	}
	if fmt.Sprint(view.Contracts) != fmt.Sprint(want.Contracts) {
		m.violation = fmt.Sprintf("the view at revision %d differs from the history", view.Revision)
	}
	age := s.Age()
	if age == AgeUnknown {
		return
	}
	for i, at := range m.accepted {
		if at.Before(time.Now().Add(-age)) && int(view.Revision) <= i {
			m.violation = fmt.Sprintf("a VM at revision %d claims to be current although revision %d was accepted before", view.Revision, i+1)
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
	actionCount
)

// commitFaults are the faults that may be injected into the next commit of an action.
var commitFaults = []faultinject.Kind{faultinject.None, faultinject.LoseReply, faultinject.LoseRequest, faultinject.DelayEffect}

// action is one command: an action of a VM, and a fault for its next commit.
type action struct {
	kind, vm, account, fault int
}

// String implements commands.Command.
func (a action) String() string {
	return fmt.Sprintf("%d at VM %d, account %d, %v", a.kind, a.vm, a.account, commitFaults[a.fault])
}

// Run implements commands.Command.
func (a action) Run(sut commands.SystemUnderTest) commands.Result {
	m := sut.(*machine)
	before := m.syncers[a.vm].view.Load().Revision
	m.fault = commitFaults[a.fault]
	switch a.kind {
	case actionEdit:
		m.edit(a.vm, a.account)
	case actionSync:
		m.syncers[a.vm].sync(context.Background())
	case actionLearn:
		m.learn(a.vm)
	case actionWait:
		time.Sleep(effectDelay / 3)
	case actionRestart:
		m.restart(a.vm)
		before = 0
	}
	if m.syncers[a.vm].view.Load().Revision < before {
		m.violation = "the revision decreased"
	}
	m.audit()
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

// Operators edit the same contracts through two VMs. The VMs poll the store and each other,
// restart, and have commits that are lost, delayed or not answered. Every view equals the
// history up to its revision, revisions never decrease, and no VM claims to be more current
// than it is.
func TestEditStateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parameters := gopter.DefaultTestParametersWithSeed(4)
		parameters.MinSuccessfulTests = 500
		parameters.MaxSize = 40
		parameters.Workers = 1
		properties := gopter.NewProperties(parameters)
		properties.Property("one history", commands.Prop(&commands.ProtoCommands{
			NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newMachine() },
			DestroySystemUnderTestFunc: func(commands.SystemUnderTest) {
				time.Sleep(2 * effectDelay)
			},
			InitialStateGen: gen.Const(0),
			GenCommandFunc: func(commands.State) gopter.Gen {
				return gopter.CombineGens(
					gen.IntRange(0, actionCount-1),
					gen.IntRange(0, machineVMs-1),
					gen.IntRange(0, machineAccounts-1),
					gen.IntRange(0, len(commitFaults)-1),
				).Map(func(drawn []any) commands.Command {
					return action{kind: drawn[0].(int), vm: drawn[1].(int), account: drawn[2].(int), fault: drawn[3].(int)}
				})
			},
		}))
		properties.TestingRun(t)
	})
}
