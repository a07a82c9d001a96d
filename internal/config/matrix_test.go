package config

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/wait"
)

const (
	matrixLength = 3 * time.Minute
	matrixShare  = 7
)

// applyUntilAnswered retries an edit with the same ID until it is answered, as the operators'
// tool does.
func applyUntilAnswered(p *faultinject.Process, edit contract.Edit, answered *atomic.Int32) {
	editor := testEditor(p)
	for p.Context.Err() == nil {
		ctx, cancel := context.WithTimeout(p.Context, 10*time.Second)
		_, err := editor.Apply(ctx, edit)
		cancel()
		if err == nil && !p.Killed() {
			answered.Add(1)
			return
		}
		wait.For(p.Context, time.Second)
	}
}

// Two operators edit different contracts through two VMs at the same time and retry until
// they get an answer. Whichever fault is injected, each edit is applied exactly once and the
// history has no gap.
func TestMatrixEdit(t *testing.T) {
	faultinject.RunMatrix(t, faultinject.Protocol{
		Name:      "edit",
		Durations: faultinject.UniformDurations(15 * time.Second),
		Run: func(cluster *faultinject.Cluster) error {
			ctx, stop := context.WithCancel(context.Background())
			var group sync.WaitGroup
			var answered atomic.Int32
			for _, name := range []string{"vm-1", "vm-2"} {
				edit := editShare("edit-"+name, contract.Account("farm of "+name), 0, matrixShare)
				cluster.Supervise(ctx, &group, name, func(p *faultinject.Process) { applyUntilAnswered(p, edit, &answered) })
				time.Sleep(time.Millisecond)
			}
			time.Sleep(matrixLength)
			stop()
			group.Wait()
			if answered.Load() != 2 {
				return errors.Newf("%d of 2 operators got an answer", answered.Load())
			}
			entries, err := testEditor(cluster.Rows).History(context.Background(), 0, 100)
			if err != nil {
				return err
			}
			if len(entries) != 2 || entries[0].Revision != 1 || entries[1].Revision != 2 || entries[0].EditID == entries[1].EditID {
				return errors.Newf("the history is %+v", entries)
			}
			return nil
		},
	})
}

// follower is a VM that follows the configuration. The test fails if its revision decreases,
// or if it claims to be more current than it is.
type follower struct {
	mu        sync.Mutex
	syncer    *Syncer
	violation string
}

// FetchConfig implements Peers.
func (f *follower) FetchConfig(ctx context.Context, after contract.Revision) (*contract.Snapshot, time.Duration, error) {
	f.mu.Lock()
	s := f.syncer
	f.mu.Unlock()
	if s == nil {
		return peerSyncers{}.FetchConfig(ctx, after)
	}
	return peerSyncers{s}.FetchConfig(ctx, after)
}

// processPeer is a peer as called by one process.
type processPeer struct {
	process *faultinject.Process
	peer    *follower
}

// FetchConfig implements Peers.
func (r processPeer) FetchConfig(ctx context.Context, after contract.Revision) (snapshot *contract.Snapshot, age time.Duration, err error) {
	err = r.process.Call(ctx, faultinject.CallPeer, "config", false, func() (err error) {
		snapshot, age, err = r.peer.FetchConfig(ctx, after)
		return err
	})
	return snapshot, age, err
}

// run runs the syncer of a process until the process ends.
func (f *follower) run(p *faultinject.Process, peer *follower) {
	view := contract.NewView()
	var last contract.Revision
	s := NewSyncer(p, processPeer{process: p, peer: peer}, view, testEvents(), time.Second, func(next *contract.Snapshot) {
		if next.Revision < last {
			f.violation = "the revision decreased"
		}
		last = next.Revision
	})
	f.mu.Lock()
	f.syncer = s
	f.mu.Unlock()
	s.Run(p.Context)
	f.mu.Lock()
	f.syncer = nil
	f.mu.Unlock()
}

// checkAge checks that the VM has every edit that was accepted before the time given by its
// age.
func (f *follower) checkAge(accepted map[contract.Revision]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.syncer == nil {
		return
	}
	age := f.syncer.Age()
	if age == AgeUnknown {
		return
	}
	currentAt := time.Now().Add(-age)
	for revision, at := range accepted {
		if at.Before(currentAt) && f.syncer.view.Load().Revision < revision {
			f.violation = "a VM claims to be current but lacks an older edit"
		}
	}
}

// Edits are accepted while two VMs poll the store and each other. Whichever fault is
// injected, no VM's revision decreases, no VM claims to be more current than it is, and at
// the end both have the last edit in force.
func TestMatrixSync(t *testing.T) {
	faultinject.RunMatrix(t, faultinject.Protocol{
		Name:      "sync",
		Durations: faultinject.UniformDurations(15 * time.Second),
		Run: func(cluster *faultinject.Cluster) error {
			var group sync.WaitGroup
			defer group.Wait()
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			followers := []*follower{{}, {}}
			for i, name := range []string{"vm-1", "vm-2"} {
				cluster.Supervise(ctx, &group, name, func(p *faultinject.Process) {
					followers[i].run(p, followers[1-i])
				})
				time.Sleep(time.Millisecond)
			}
			accepted := map[contract.Revision]time.Time{}
			editor := testEditor(cluster.Rows)
			for i := range 60 {
				if i%5 == 0 && i < 30 {
					entry, err := editor.Apply(ctx, editShare(string(rune('a'+i)), contract.Account(rune('a'+i)), 0, matrixShare))
					if err != nil {
						return err
					}
					accepted[entry.Revision] = time.Now()
				}
				time.Sleep(time.Second)
				for _, f := range followers {
					f.checkAge(accepted)
				}
			}
			for _, f := range followers {
				if f.violation != "" {
					return errors.Newf("%s", f.violation)
				}
				if f.syncer == nil || int(f.syncer.view.Load().Revision) != len(accepted) {
					return errors.Newf("a VM does not have the last revision")
				}
			}
			return nil
		},
	})
}
