package step

import (
	"context"
	"testing"
	"time"

	"dogwoodpond/internal/rowstore"
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
