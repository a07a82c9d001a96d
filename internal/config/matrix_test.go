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

// insist repeats an edit with the same ID until it is answered, as the
// operators' tool does.
func insist(p *faultinject.Process, edit contract.Edit, answered *atomic.Int32) {
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

// Two operators edit different contracts through two VMs at the same time, and
// repeat until they get an answer. Whatever fails, each edit is made exactly
// once and the history has no gap.
func TestMatrixEdit(t *testing.T) {
	faultinject.RunMatrix(t, faultinject.Protocol{
		Name:      "edit",
		Durations: faultinject.UniformDurations(15 * time.Second),
		Run: func(w *faultinject.Cluster) error {
			ctx, stop := context.WithCancel(context.Background())
			var group sync.WaitGroup
			var answered atomic.Int32
			for _, name := range []string{"vm-1", "vm-2"} {
				edit := editShare("edit-"+name, contract.Account("farm of "+name), 0, matrixShare)
				w.Supervise(ctx, &group, name, func(p *faultinject.Process) { insist(p, edit, &answered) })
				time.Sleep(time.Millisecond)
			}
			time.Sleep(matrixLength)
			stop()
			group.Wait()
			if answered.Load() != 2 {
				return errors.Newf("%d of 2 operators got an answer", answered.Load())
			}
			entries, err := testEditor(w.Rows).History(context.Background(), 0, 100)
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

// follower is a VM that follows the configuration. It must never go back, and
// its age must never promise more than it knows.
type follower struct {
	mu     sync.Mutex
	syncer *Syncer
	broken string
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

// reachable is a peer that only live processes reach.
type reachable struct {
	process *faultinject.Process
	peer    *follower
}

// FetchConfig implements Peers.
func (r reachable) FetchConfig(ctx context.Context, after contract.Revision) (snapshot *contract.Snapshot, age time.Duration, err error) {
	err = r.process.Call(ctx, faultinject.CallPeer, "config", false, func() (err error) {
		snapshot, age, err = r.peer.FetchConfig(ctx, after)
		return err
	})
	return snapshot, age, err
}

func (f *follower) run(p *faultinject.Process, peer *follower) {
	view := contract.NewView()
	var last contract.Revision
	s := NewSyncer(p, reachable{process: p, peer: peer}, view, testEvents(), time.Second, func(next *contract.Snapshot) {
		if next.Revision < last {
			f.broken = "the configuration went back"
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

// checkAge compares a VM's age with what was accepted and when.
func (f *follower) checkAge(accepted map[contract.Revision]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.syncer == nil {
		return
	}
	age := f.syncer.Age()
	if age == Never {
		return
	}
	currentAt := time.Now().Add(-age)
	for revision, at := range accepted {
		if at.Before(currentAt) && f.syncer.view.Load().Revision < revision {
			f.broken = "a VM passes for current that lacks an older edit"
		}
	}
}

// Edits are accepted while two VMs follow the store and each other. Whatever
// fails, no VM goes back, none passes for more current than it is, and at the
// end both have the last edit in force.
func TestMatrixSync(t *testing.T) {
	faultinject.RunMatrix(t, faultinject.Protocol{
		Name:      "sync",
		Durations: faultinject.UniformDurations(15 * time.Second),
		Run: func(w *faultinject.Cluster) error {
			var group sync.WaitGroup
			defer group.Wait()
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			followers := []*follower{{}, {}}
			for i, name := range []string{"vm-1", "vm-2"} {
				w.Supervise(ctx, &group, name, func(p *faultinject.Process) {
					followers[i].run(p, followers[1-i])
				})
				time.Sleep(time.Millisecond)
			}
			accepted := map[contract.Revision]time.Time{}
			editor := testEditor(w.Rows)
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
				if f.broken != "" {
					return errors.Newf("%s", f.broken)
				}
				if f.syncer == nil || int(f.syncer.view.Load().Revision) != len(accepted) {
					return errors.Newf("a VM has not caught up")
				}
			}
			return nil
		},
	})
}
