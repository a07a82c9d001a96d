package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
)

func testEvents() *event.Recorder {
	return event.NewRecorder("vm-1", 1024, event.NewClock(time.Now), zap.NewNop())
}

func testEditor(tables platformapi.Tables) *Editor {
	return NewEditor(tables, time.Now, testEvents())
}

// editShare returns an edit that sets the share in an account's contract.
func editShare(id string, account contract.Account, base contract.Revision, share int) contract.Edit {
	c := contract.DefaultContract(account)
	c.Share = share
	return contract.Edit{ID: id, Kind: contract.EditContract, Who: "clerk " + id, Base: base, Contract: &c}
}

// history returns all entries of the history and checks that each has the next revision, an
// author and a time.
func history(t *testing.T, tables platformapi.Tables) []contract.Entry {
	t.Helper()
	entries, err := testEditor(tables).History(context.Background(), 0, 1000)
	if err != nil {
		t.Fatal(err)
	}
	for i, entry := range entries {
		if entry.Revision != contract.Revision(i+1) || entry.Who == "" || entry.When.IsZero() {
			t.Errorf("entry %d of the history is %+v", i+1, entry)
		}
	}
	return entries
}

// Several operators read the same contract and all change it. If more than one edit were
// accepted, a later one would overwrite an earlier one without a notice, and the contract
// would be one that no operator decided on.
func TestRacingEditsOfOneContractConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		const editors = 8
		failures := make([]error, editors)
		var group sync.WaitGroup
		for i := range editors {
			p := cluster.Start(context.Background(), fmt.Sprint("vm-", i))
			group.Go(func() {
				_, failures[i] = testEditor(p).Apply(p.Context, editShare(fmt.Sprint(i), "farm", 0, i+1))
			})
		}
		group.Wait()
		accepted := 0
		for _, err := range failures {
			if err == nil {
				accepted++
			} else if !fault.Is[*fault.EditConflict](err) {
				t.Errorf("a racing edit failed with %v", err)
			}
		}
		if got := len(history(t, cluster.Rows)); accepted != 1 || got != 1 {
			t.Errorf("%d edits accepted, %d in the history, want 1", accepted, got)
		}
	})
}

// Operators change different contracts at the same time. The edits are independent, so all
// must be accepted, each at its own revision.
func TestRacingEditsOfDifferentContractsAllPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		const editors = 8
		var group sync.WaitGroup
		for i := range editors {
			p := cluster.Start(context.Background(), fmt.Sprint("vm-", i))
			group.Go(func() {
				account := contract.Account(fmt.Sprint("farm-", i))
				if _, err := testEditor(p).Apply(p.Context, editShare(fmt.Sprint(i), account, 0, 1)); err != nil {
					t.Errorf("edit of %s: %v", account, err)
				}
			})
		}
		group.Wait()
		if got := len(history(t, cluster.Rows)); got != editors {
			t.Errorf("%d edits in the history, want %d", got, editors)
		}
	})
}

// An operator's tool gets no answer and sends the edit again, possibly to another VM and
// after an edit by another operator. The edit must not be applied twice, and must not revert
// the other one.
func TestRetriedEditReturnsTheFirstAnswer(t *testing.T) {
	ctx := context.Background()
	cluster := faultinject.NewCluster(faultinject.NoFaults)
	first, err := testEditor(cluster.Start(ctx, "vm-1")).Apply(ctx, editShare("a", "farm", 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	editor := testEditor(cluster.Start(ctx, "vm-2"))
	if _, err := editor.Apply(ctx, editShare("b", "farm", first.Revision, 2)); err != nil {
		t.Fatal(err)
	}
	retried, err := editor.Apply(ctx, editShare("a", "farm", 0, 1))
	if err != nil || retried.Revision != first.Revision || !retried.When.Equal(first.When) {
		t.Errorf("the retry returned %+v, %v; the first answer was %+v", retried, err, first)
	}
	if got := len(history(t, cluster.Rows)); got != 2 {
		t.Errorf("%d edits in the history, want 2", got)
	}
	_, err = editor.Apply(ctx, editShare("a", "farm", 2, 3))
	if !fault.Is[*fault.EditInvalid](err) {
		t.Errorf("a different edit with a used ID: %v, want *fault.EditInvalid", err)
	}
}

// The history shows the kind of an edit. With a grant of a withdrawn key, or a withdrawal of
// a key that is not marked as withdrawn, it would differ from the edit's effect.
func TestKindMustMatchTheKey(t *testing.T) {
	key := contract.Key{ID: "k1", Account: "farm", SecretSHA256: contract.HashSecret("0123456789abcdef"), Withdrawn: true}
	edit := contract.Edit{ID: "a", Kind: contract.EditGrant, Who: "clerk", Key: &key}
	if err := edit.Validate(); !fault.Is[*fault.EditInvalid](err) {
		t.Errorf("a grant of a withdrawn key: %v, want *fault.EditInvalid", err)
	}
	key.Withdrawn = false
	edit.Kind = contract.EditWithdraw
	if err := edit.Validate(); !fault.Is[*fault.EditInvalid](err) {
		t.Errorf("a withdrawal of a key that is not withdrawn: %v, want *fault.EditInvalid", err)
	}
	edit.Kind = contract.EditGrant
	key.Account = "a/b"
	if err := edit.Validate(); !fault.Is[*fault.EditInvalid](err) {
		t.Errorf("an account with a slash: %v, want *fault.EditInvalid", err)
	}
}
