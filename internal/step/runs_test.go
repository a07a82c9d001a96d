package step

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// resultReadHook is a store that calls a function before the first read of results.
type resultReadHook struct {
	rowstore.Store
	once sync.Once
	call func()
}

func (s *resultReadHook) Read(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
	if table == resultTable {
		s.once.Do(s.call)
	}
	return s.Store.Read(ctx, table, partition, from, to)
}

// delayResultCommits makes the store delay the commits of results of all VMs.
func delayResultCommits(cl *cluster) {
	cl.store.SetFault(func(txn rowstore.Txn) memory.Fault {
		if len(txn.Puts) > 0 && txn.Puts[0].Key.Table == resultTable {
			return memory.EffectDelayed
		}
		return memory.NoFault
	})
}

// Guards against two runs of one process that commit under one version of the state row: a commit
// of the first that takes effect late would then list items a second time.
func TestCommitOfStoppedRunHasNoEffectAfterNextRunStarts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = func(item string, n int) reply {
			r := reply{status: http.StatusOK, version: 1, events: 3, gap: 10 * time.Millisecond}
			if n == 1 && item != "i0" && item != "i1" {
				r.gap = time.Minute
			}
			return r
		}
		a := cl.start("a")
		submit(t, a, spec("s"), items(6))
		delayResultCommits(cl)
		time.Sleep(500 * time.Millisecond)
		a.stop(a.runOf("s"))
		cl.store.SetFault(nil)
		time.Sleep(2 * time.Second)
		cl.store.RunDelayed()
		results, err := readAllResults(t.Context(), cl.store, "s")
		if err != nil || len(results) != 6 {
			t.Errorf("%d results are committed, %v; want 6", len(results), err)
		}
		checkTexts(t, results, 3)
	})
}

// Guards against an early run that goes on although its step ended, or got another owner, after the
// run had claimed the step and before it had read the committed results.
func TestRunStopsWhenItsStepChangesDuringTheClaim(t *testing.T) {
	for name, change := range map[string]func(*State){
		"ended":       func(s *State) { s.Ended = true },
		"other owner": func(s *State) { s.Owner, s.OwnerIncarnation, s.Epoch = "d", "d-1", s.Epoch+1 },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1", "e2")
				cl.storeOf = func(string) rowstore.Store {
					return &resultReadHook{Store: cl.store, call: func() {
						state, err := readState(t.Context(), cl.store, "s")
						if err != nil || state.Owner != "a" || state.Epoch != 2 {
							t.Errorf("the step is owned by %s in epoch %d, %v; want a in epoch 2", state.Owner, state.Epoch, err)
						}
						change(&state.State)
						state.Nonce = uuid.NewString()
						cl.setRow(stateKey("s"), state.State)
						time.Sleep(300 * time.Millisecond)
					}}
				}
				submitBeforeAcceptedCopy(t, cl, items(6), 40)
				time.Sleep(400 * time.Millisecond)
				cl.engines.mu.Lock()
				defer cl.engines.mu.Unlock()
				if len(cl.engines.attempts) != 6 || cl.engines.active != 0 {
					t.Errorf("%d items ran, want 6; %d still run, want 0", len(cl.engines.attempts), cl.engines.active)
				}
			})
		})
	}
}

// Guards against a run that is accepted by two paths: the process would end, or committed results would
// be replaced while the run commits.
func TestRunIsAcceptedOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		synctest.Wait()
		rec := openStepRecord("s", "a", 1)
		rec.OwnerIncarnation = a.Incarnation
		a.recordState(rec)
		r := a.startRun(rec, items(4), nil, nil, nil)
		newer := rec
		newer.version++
		first, second := a.accept(r, rec, nil), a.accept(r, newer, []Result{{Item: "i0", Outcome: Completed}})
		if !first || second || r.current().version != rec.version || r.list.phase(0) == phaseDone {
			t.Errorf("accepted %t, then %t; the run commits under version %d and item i0 is %s", first, second, r.current().version, r.list.phase(0))
		}
	})
}

// Guards against a run that commits under a state that is known to be obsolete.
func TestRunIsNotAcceptedUnderObsoleteState(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		synctest.Wait()
		rec := openStepRecord("s", "a", 1)
		e := &earlyRun{manager: a.Manager, state: rec.State, items: items(4)}
		e.start()
		a.recordState(openStepRecord("s", "b", 2))
		if e.accept(rec, nil) || e.run.accepted() {
			t.Error("the run was accepted under version 1, but version 2 is known")
		}
	})
}

// Guards against a transaction more for each step that starts at the owner that its submission chose.
func TestFirstRunWritesNoStateRow(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.preferred = "b"
		a, b := cl.start("a"), cl.start("b")
		written := 0
		cl.store.SetFault(func(txn rowstore.Txn) memory.Fault {
			for _, put := range txn.Puts {
				if put.Key.Table == stateTable {
					written++
				}
			}
			return memory.NoFault
		})
		submit(t, a, spec("s"), items(4))
		checkTexts(t, readUntilComplete(t, b, "s"), 3)
		if runs := b.runOf("s") != nil; !runs || written != 1 {
			t.Errorf("the state row was written %d times, want 1; the preferred owner runs the step: %t", written, runs)
		}
	})
}
