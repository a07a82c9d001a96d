package rowstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// commitFaults returns a fault injector for consecutive commits; then is the fault of all later
// ones.
func commitFaults(then memory.Fault, first ...memory.Fault) func(rowstore.Txn) memory.Fault {
	return func(rowstore.Txn) memory.Fault {
		if len(first) == 0 {
			return then
		}
		injected := first[0]
		first = first[1:]
		return injected
	}
}

// Guards against a commit that is reported as refused while a copy of it may still take effect.
func TestRefusalAfterALostRequestLeavesTheEffectUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFault(commitFaults(memory.StorageFull, memory.EffectDelayed))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := rowstore.CommitConfirmed(ctx, store, createRow("mine"))
		var unavailable *fault.StoreUnavailable
		if !errors.As(err, &unavailable) || !unavailable.EffectUnknown {
			t.Errorf("the commit failed with %v, want an unknown effect", err)
		}
		store.RunDelayed()
		if got := string(store.Row(key).Value); got != "mine" {
			t.Errorf("the row has the value %q after the delayed copy", got)
		}
	})
}

// Guards against a commit that is given up before its outcome is known, although the store refuses
// its retries only for some time.
func TestCommitIsRetriedAfterARefusalThatFollowsALostRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFault(commitFaults(memory.NoFault, memory.EffectDelayed, memory.StorageFull, memory.StorageFull))
		version, err := rowstore.CommitConfirmed(t.Context(), store, createRow("mine"))
		if err != nil || version != 1 {
			t.Errorf("the commit returned version %d, error %v; want version 1 and no error", version, err)
		}
	})
}

// Guards against retries of a commit that certainly has no effect: the caller can report the
// refusal at once.
func TestRefusedCommitIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, calls := memory.New(), 0
		store.SetFault(func(rowstore.Txn) memory.Fault {
			calls++
			return memory.StorageFull
		})
		_, err := rowstore.CommitConfirmed(t.Context(), store, createRow("mine"))
		if !fault.Is[*fault.PlatformRefused](err) || calls != 1 {
			t.Errorf("the commit failed with %v after %d calls, want a refusal after 1", err, calls)
		}
	})
}
