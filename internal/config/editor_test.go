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

// editShare changes the share in an account's contract.
func editShare(id string, account contract.Account, base contract.Revision, share int) contract.Edit {
	c := contract.DefaultContract(account)
	c.Share = share
	return contract.Edit{ID: id, Kind: contract.EditContract, Who: "clerk " + id, Base: base, Contract: &c}
}

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

// Two operators read the same contract and both change it. If the second won
// silently, the first one's change would be gone and the board would see a
// contract that nobody decided.
func TestRacingEditsOfOneContractConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := faultinject.NewCluster(faultinject.NoFaults)
		const racers = 8
		failures := make([]error, racers)
		var group sync.WaitGroup
		for i := range racers {
			p := w.Start(context.Background(), fmt.Sprint("vm-", i))
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
		if got := len(history(t, w.Rows)); accepted != 1 || got != 1 {
			t.Errorf("%d edits accepted, %d in the history, want 1", accepted, got)
		}
	})
}

// Operators change different contracts at once. They have nothing to do with
// each other, so all must be accepted, each at a revision of its own.
func TestRacingEditsOfDifferentContractsAllPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := faultinject.NewCluster(faultinject.NoFaults)
		const racers = 8
		var group sync.WaitGroup
		for i := range racers {
			p := w.Start(context.Background(), fmt.Sprint("vm-", i))
			group.Go(func() {
				account := contract.Account(fmt.Sprint("farm-", i))
				if _, err := testEditor(p).Apply(p.Context, editShare(fmt.Sprint(i), account, 0, 1)); err != nil {
					t.Errorf("edit of %s: %v", account, err)
				}
			})
		}
		group.Wait()
		if got := len(history(t, w.Rows)); got != racers {
			t.Errorf("%d edits in the history, want %d", got, racers)
		}
	})
}

// An operator's tool gets no answer and sends the edit again, perhaps to
// another VM, perhaps after somebody else's edit. It must not be made twice nor
// undo the other one.
func TestRepeatedEditReturnsTheFirstAnswer(t *testing.T) {
	ctx := context.Background()
	w := faultinject.NewCluster(faultinject.NoFaults)
	first, err := testEditor(w.Start(ctx, "vm-1")).Apply(ctx, editShare("a", "farm", 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	editor := testEditor(w.Start(ctx, "vm-2"))
	if _, err := editor.Apply(ctx, editShare("b", "farm", first.Revision, 2)); err != nil {
		t.Fatal(err)
	}
	again, err := editor.Apply(ctx, editShare("a", "farm", 0, 1))
	if err != nil || again.Revision != first.Revision || !again.When.Equal(first.When) {
		t.Errorf("the repeat returned %+v, %v; the first answer was %+v", again, err, first)
	}
	if got := len(history(t, w.Rows)); got != 2 {
		t.Errorf("%d edits in the history, want 2", got)
	}
	_, err = editor.Apply(ctx, editShare("a", "farm", 2, 3))
	if !fault.Is[*fault.EditInvalid](err) {
		t.Errorf("another edit with a used ID: %v, want edit invalid", err)
	}
}

// A grant that is marked as withdrawn, or a withdrawal that is not, would say
// one thing in the history and do another.
func TestKindMustMatchTheKey(t *testing.T) {
	key := contract.Key{ID: "k1", Account: "farm", SecretSHA256: contract.HashSecret("0123456789abcdef"), Withdrawn: true}
	edit := contract.Edit{ID: "a", Kind: contract.EditGrant, Who: "clerk", Key: &key}
	if err := edit.Check(); !fault.Is[*fault.EditInvalid](err) {
		t.Errorf("a withdrawn grant: %v", err)
	}
	key.Withdrawn = false
	edit.Kind = contract.EditWithdraw
	if err := edit.Check(); !fault.Is[*fault.EditInvalid](err) {
		t.Errorf("a withdrawal that keeps the key: %v", err)
	}
	edit.Kind = contract.EditGrant
	key.Account = "a/b"
	if err := edit.Check(); !fault.Is[*fault.EditInvalid](err) {
		t.Errorf("an account with a slash: %v", err)
	}
}
