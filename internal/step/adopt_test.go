package step

import (
	"testing"
	"time"
)

// claimDuringAttempts submits a step at VM a during an outage of the store. When the store is back,
// it holds another copy whose owner c has committed the first item; a claims the step while its own
// attempts at all items are in progress. It returns a once it owns the step.
func claimDuringAttempts(t *testing.T, cl *cluster, list []Item, events int) *testVM {
	t.Helper()
	cl.engines.behave[""] = pacedBehaviour(events, 350*time.Millisecond)
	a := cl.start("a")
	time.Sleep(time.Second)
	cl.store.SetDown(true)
	accepted := make(chan error, 1)
	go func() { accepted <- a.Submit(t.Context(), spec("s"), list) }()
	time.Sleep(3 * time.Second)
	now, _ := cl.store.StoreNow()
	state := State{Spec: spec("s"), Owner: "c", OwnerIncarnation: "c-1", Total: len(list), Epoch: 1, Nonce: "c"}
	state.SubmittedAt = now
	first := Result{Item: list[0].ID, Outcome: Completed, Versions: []int64{1}, Text: textOf(list[0].ID, events)}
	if call := list[0].Score; call != nil {
		first.Score = "score of " + call.ID
	}
	cl.setRow(stateKey("s"), state)
	cl.setRow(resultKey("s", 0), []Result{first})
	cl.store.SetDown(false)
	if err := <-accepted; err != nil {
		t.Error(err)
	}
	owned, err := readState(t.Context(), cl.store, "s")
	if err != nil || owned.Owner != "a" || owned.Epoch != 2 {
		t.Fatalf("the step is owned by %s in epoch %d, %v; want a in epoch 2", owned.Owner, owned.Epoch, err)
	}
	return a
}

// Guards against a second result of an item that the previous owner has committed: its attempt
// here ends after the run adopted that result.
func TestAttemptThatEndsAfterAdoptionAddsNoResult(t *testing.T) {
	for name, list := range map[string][]Item{"with scores": scoredItems(6), "without scores": items(6)} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1", "e2")
				const events = 14
				claimDuringAttempts(t, cl, list, events)
				time.Sleep(5 * time.Second)
				results, err := readAllResults(t.Context(), cl.store, "s")
				if err != nil || len(results) != len(list) {
					t.Errorf("%d results are committed, %v; want %d", len(results), err, len(list))
				}
				checkTexts(t, results, events)
			})
		})
	}
}
