package step

import (
	"testing"
	"time"
)

// Guards against texts that are lost with an early run whose step was accepted elsewhere. A text of the
// accepted run that is longer stays.
func TestLostEarlyRunHandsItsTextsOver(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.engines.behave[""] = pacedBehaviour(40, 100*time.Millisecond)
		a := cl.start("a")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		accepted := make(chan error, 1)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), items(4)) }()
		time.Sleep(2 * time.Second)
		// The accepted copy was submitted at the same time, so that the early run doesn't claim it.
		now, _ := cl.store.StoreNow()
		state := State{Spec: spec("s"), Owner: "c", OwnerIncarnation: "c-1", Total: 4, Epoch: 1, Nonce: "c"}
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
		if err != nil || len(texts) != 4 || texts["i0"].LastEvent != 30 {
			t.Errorf("%d texts, %v; that of i0 has %d events", len(texts), err, texts["i0"].LastEvent)
		}
		for _, item := range []string{"i1", "i2", "i3"} {
			if saved := texts[item]; saved.LastEvent < 10 || saved.Text != textOf(item, int(saved.LastEvent)) {
				t.Errorf("item %s has the text %q of %d events", item, saved.Text, saved.LastEvent)
			}
		}
		if a.runOf("s") != nil {
			t.Error("the early run goes on")
		}
	})
}
