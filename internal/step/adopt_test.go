package step

import (
	"context"
	"testing"
	"time"

	"dogwoodpond/internal/rowstore"
)

// submitBeforeAcceptedCopy submits a step at VM a during an outage of the store. When the store is
// back, it holds another copy, submitted later, whose owner c has committed the first item; a claims
// the step while its own attempts at all items are in progress. It returns a after the submission.
func submitBeforeAcceptedCopy(t *testing.T, cl *cluster, list []Item, events int) *testVM {
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
	return a
}

// claimDuringAttempts is submitBeforeAcceptedCopy, and checks that a owns the step.
func claimDuringAttempts(t *testing.T, cl *cluster, list []Item, events int) *testVM {
	t.Helper()
	a := submitBeforeAcceptedCopy(t, cl, list, events)
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

// Guards against attempts that keep an engine's slots although their items have results already.
func TestAdoptionCancelsAttempts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		claimDuringAttempts(t, cl, scoredItems(6), 14)
		time.Sleep(400 * time.Millisecond)
		cl.engines.mu.Lock()
		defer cl.engines.mu.Unlock()
		if cl.engines.active != 5 {
			t.Errorf("%d attempts are in progress for the 5 items without a result", cl.engines.active)
		}
	})
}

// Guards against score calls that keep a scoring service's slots although their items have results
// already.
func TestAdoptionCancelsScoreCalls(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		canceled := 0
		cl.scorer.behave = func(ctx context.Context, item string, _ int) error {
			if item != "i0" {
				return nil
			}
			<-ctx.Done()
			canceled++
			return errUnavailable
		}
		const events = 3
		claimDuringAttempts(t, cl, scoredItems(6), events)
		time.Sleep(2 * time.Second)
		results, err := readAllResults(t.Context(), cl.store, "s")
		if err != nil || len(results) != 6 {
			t.Errorf("%d results are committed, %v; want 6", len(results), err)
		}
		checkTexts(t, results, events)
		if calls := cl.scorer.count("i0"); canceled != 1 || calls != 1 {
			t.Errorf("%d of %d score calls of the adopted item were canceled, want 1 of 1", canceled, calls)
		}
	})
}

// Guards against a reader that doesn't learn of the results that a run adopts until it commits more.
func TestReaderGetsAdoptedResultsAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		var took time.Duration
		done := make(chan struct{})
		cl.storeOf = func(string) rowstore.Store {
			return &resultReadHook{Store: cl.store, call: func() {
				go func() {
					defer close(done)
					started := time.Now()
					if results, _, err := cl.vms["a"].Results(t.Context(), "s", "acc", 0, 20*time.Second); err != nil || len(results) == 0 {
						t.Errorf("%d results, %v", len(results), err)
					}
					took = time.Since(started)
				}()
				time.Sleep(10 * time.Millisecond)
			}}
		}
		claimDuringAttempts(t, cl, items(6), 40)
		<-done
		if took > 100*time.Millisecond {
			t.Errorf("the adopted result was read after %s", took)
		}
	})
}
