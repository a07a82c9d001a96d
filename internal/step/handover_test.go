package step

import (
	"context"
	"testing"
	"time"

	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// Guards against a VM that can't leave while a commit of results waits for the store: the handover
// must end with its context.
func TestLeaveEndsWithItsContextDuringCommit(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		var remote *remoteStore
		cl.storeOf = func(string) rowstore.Store {
			remote = newRemoteStore(cl.store, 1, true)
			return remote
		}
		a := cl.start("a")
		submit(t, a, spec("s"), items(4))
		remote.setCut(true)
		time.Sleep(time.Second)
		const timeout = 2 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		started := time.Now()
		a.Leave(ctx)
		if took := time.Since(started); took > timeout+100*time.Millisecond {
			t.Errorf("Leave took %s, its context ended after %s", took, timeout)
		}
	})
}

// Guards against a step that nobody runs until this process ends: it is accepted here after the VM
// began to leave.
func TestStepAcceptedAtALeavingVMIsHandedOver(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		accepted := make(chan error, 1)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), items(4)) }()
		time.Sleep(2 * time.Second)
		a.Leave(t.Context())
		cl.store.SetDown(false)
		if err := <-accepted; err != nil {
			t.Fatal(err)
		}
		checkTexts(t, readUntilComplete(t, b, "s"), 3)
	})
}

// Guards against a reader that doesn't learn of results while it waits at a VM that runs the step no
// more: the next owner commits them.
func TestReaderDoesNotWaitForAHandedOverRun(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = pacedBehaviour(3, 300*time.Millisecond)
		a := cl.start("a")
		cl.start("b")
		submit(t, a, spec("s"), items(4))
		time.Sleep(100 * time.Millisecond)
		go a.Leave(t.Context())
		started := time.Now()
		results, _, err := a.Results(t.Context(), "s", "acc", 0, 20*time.Second)
		if took := time.Since(started); err != nil || len(results) == 0 || took > 5*time.Second {
			t.Errorf("%d results after %s, %v", len(results), took, err)
		}
	})
}

// Guards against a busy reader after the process's runs have ended without being removed.
func TestReaderWaitsAfterTheProcessEnds(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = pacedBehaviour(3, time.Minute)
		a := cl.start("a")
		submit(t, a, spec("s"), items(4))
		time.Sleep(100 * time.Millisecond)
		cl.crash(a)
		time.Sleep(100 * time.Millisecond)
		if results, _, err := a.Results(t.Context(), "s", "acc", 0, time.Second); err != nil || len(results) != 0 {
			t.Errorf("%d results, %v", len(results), err)
		}
	})
}

// Guards against a step that nobody runs until this process ends: it became the owner, by a takeover
// or a claim, when the VM began to leave.
func TestStepTakenOverByALeavingVMIsHandedOver(t *testing.T) {
	for _, change := range []string{"takeover", "claim"} {
		t.Run(change, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1", "e2")
				cl.storeOf = func(name string) rowstore.Store {
					if name != "a" {
						return cl.store
					}
					return &resultReadHook{Store: cl.store, call: func() {
						if state, err := readState(t.Context(), cl.store, "s"); err != nil || state.Owner != "a" {
							t.Errorf("the step is owned by %s, %v; want a", state.Owner, err)
						}
						cl.mu.Lock()
						a := cl.vms["a"]
						cl.mu.Unlock()
						a.Leave(t.Context())
					}}
				}
				if change == "claim" {
					submitBeforeAcceptedCopy(t, cl, items(6), 10)
					cl.setRow(itemsKey("s", 0), items(6))
				} else {
					c := cl.start("c")
					submit(t, c, spec("s"), items(6))
					cl.crash(c)
					cl.start("a")
					time.Sleep(3 * time.Second)
				}
				b := cl.start("b")
				time.Sleep(10 * time.Second)
				if results, total, err := b.Results(t.Context(), "s", "acc", 0, 0); err != nil || len(results) != total {
					state, _ := readState(t.Context(), cl.store, "s")
					t.Errorf("%d results of %d items, %v; the step is owned by %q", len(results), total, err, state.Owner)
				}
			})
		})
	}
}

// refuseLarge makes the store refuse transactions with more entries than it accepts.
func (cl *cluster) refuseLarge() {
	cl.store.SetFault(func(txn rowstore.Txn) memory.Fault {
		if len(txn.Puts) > 0 && len(txn.Expected)+len(txn.Puts)+len(txn.Deletes) > txnMaxEntries {
			return memory.Refused
		}
		return memory.NoFault
	})
}

// Guards against a handover that loses all texts of a step with more items than a transaction has
// entries.
func TestHandoverSavesTheTextsOfManyItems(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const total = 2 * txnMaxEntries
		cl := newCluster(t, engineIDs(total/4)...)
		cl.refuseLarge()
		cl.engines.behave[""] = pacedBehaviour(100, 100*time.Millisecond)
		a := cl.start("a")
		submit(t, a, spec("s"), items(total))
		time.Sleep(700 * time.Millisecond)
		a.Leave(t.Context())
		if texts, err := readTexts(t.Context(), cl.store, "s", nil); err != nil || len(texts) != total {
			t.Errorf("%d of %d texts are saved, %v", len(texts), total, err)
		}
	})
}
