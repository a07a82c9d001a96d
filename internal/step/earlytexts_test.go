package step

import (
	"testing"
	"time"

	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

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

// Guards against texts that are lost with an early run whose step was accepted elsewhere. A text of the
// accepted run that is longer stays.
func TestLostEarlyRunHandsItsTextsOver(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const total = 2 * txnMaxEntries
		cl := newCluster(t, engineIDs(total/4)...)
		cl.refuseLarge()
		cl.engines.behave[""] = pacedBehaviour(40, 100*time.Millisecond)
		a := cl.start("a")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		accepted := make(chan error, 1)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), items(total)) }()
		time.Sleep(2 * time.Second)
		// The accepted copy was submitted at the same time, so that the early run doesn't claim it.
		now, _ := cl.store.StoreNow()
		state := State{Spec: spec("s"), Owner: "c", OwnerIncarnation: "c-1", Total: total, Epoch: 1, Nonce: "c"}
		state.SubmittedAt = now - 2000
		cl.setRow(stateKey("s"), state)
		longer := savedText{Text: textOf("i0", 30), LastEvent: 30, Versions: []int64{1}, Failures: 1}
		cl.setRow(textKey("s", "i0"), longer)
		cl.store.SetDown(false)
		if err := <-accepted; err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		texts, err := readTexts(t.Context(), cl.store, "s", nil)
		if err != nil || len(texts) != total || texts["i0"].LastEvent != 30 {
			t.Errorf("%d texts, %v; that of i0 has %d events", len(texts), err, texts["i0"].LastEvent)
		}
		for item := range texts {
			if saved := texts[item]; item != "i0" && saved.LastEvent < 10 || saved.Text != textOf(item, int(saved.LastEvent)) {
				t.Errorf("item %s has the text %q of %d events", item, saved.Text, saved.LastEvent)
			}
		}
		if a.runOf("s") != nil {
			t.Error("the early run goes on")
		}
	})
}
