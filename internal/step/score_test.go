package step

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"

	"go.uber.org/zap"
)

// errUnavailable is the failure of a call for which no upstream is available.
var errUnavailable = errors.WithStack(&fault.NoUpstream{Pool: "judge"})

// failedAnswer returns the failure of a score call that one upstream answered with status 500.
func failedAnswer(t *testing.T) error {
	t.Helper()
	events := event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop())
	roster := target.NewRoster(events)
	roster.Replace([]target.Instance{{ID: "j1", Service: "judge", Slots: 1}})
	failing := &fakeEngines{attempts: map[string][]string{}, finished: map[string]int{}, behave: map[string]behaviour{
		"": func(string, int) reply { return reply{status: http.StatusInternalServerError} },
	}}
	client := &scoring.Client{Forwarder: &forward.Forwarder{Roster: roster, Transport: failing, Meter: forward.Unmetered{}, Events: events, RetryBudget: retry.NewBudget()}}
	_, err := client.Score(t.Context(), scoring.Call{ID: "q"}, &route.Route{Attempts: 1, Split: []route.Share{{Service: "judge", Weight: 1}}}, route.Residency{}, 0)
	if forward.FailedAnswerCount(err) != 1 {
		t.Fatalf("the failure is %v", err)
	}
	return err
}

// A result without its score is of no use to a trainer, and neither is a score that was
// given before the text was complete.
func TestResultsAreCommittedWithScores(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.scorer.behave = func(_ context.Context, _ string, _ int) error {
			time.Sleep(80 * time.Millisecond)
			return nil
		}
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), scoredItems(30))
		results := readUntilComplete(t, b, "s")
		checkTexts(t, results, 3)
		cl.checkScores(results)
		for _, item := range items(30) {
			if n, calls := cl.engines.count(item.ID), cl.scorer.count(item.ID); n != 1 || calls != 1 {
				t.Errorf("item %s had %d attempts and %d score calls, want 1 each", item.ID, n, calls)
			}
		}
	})
}

// The scoring service is unavailable for seconds while texts complete. The texts must be
// kept: generating them again would take engine slots from other items.
func TestTextsAreKeptDuringScoringOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		availableAt := time.Now().Add(5 * time.Second)
		cl.scorer.behave = func(context.Context, string, int) error {
			if time.Now().Before(availableAt) {
				return errUnavailable
			}
			return nil
		}
		a := cl.start("a")
		submit(t, a, spec("s"), scoredItems(6))
		time.Sleep(4900 * time.Millisecond)
		if n := cl.scorer.count("i0"); n > 14 {
			t.Errorf("a text was sent %d times to an unavailable service", n)
		}
		results := readUntilComplete(t, a, "s")
		checkTexts(t, results, 3)
		cl.checkScores(results)
		if took := time.Since(availableAt); took > time.Second {
			t.Errorf("the step was complete %s after the service was available again", took)
		}
		if n := cl.engines.count("i0"); n != 1 {
			t.Errorf("the item had %d attempts, want 1", n)
		}
	})
}

// The owner dies while complete texts still need their scores. The new owner must neither
// generate them again nor commit them without a score.
func TestTakeoverKeepsUnscoredTexts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		availableAt := time.Now().Add(4 * time.Second)
		cl.scorer.behave = func(context.Context, string, int) error {
			if time.Now().Before(availableAt) {
				return errUnavailable
			}
			return nil
		}
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), scoredItems(4))
		time.Sleep(2 * time.Second)
		cl.crash(a)
		results := readUntilComplete(t, b, "s")
		checkTexts(t, results, 3)
		cl.checkScores(results)
		for _, item := range items(4) {
			if n := cl.engines.count(item.ID); n != 1 {
				t.Errorf("item %s had %d attempts, want 1", item.ID, n)
			}
		}
	})
}

// A VM that leaves hands over the complete texts for which it got no score.
func TestHandoverKeepsUnscoredTexts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		unavailable := true
		cl.scorer.behave = func(context.Context, string, int) error {
			if unavailable {
				return errUnavailable
			}
			return nil
		}
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), scoredItems(4))
		time.Sleep(100 * time.Millisecond)
		a.Leave(t.Context())
		unavailable = false
		results := readUntilComplete(t, b, "s")
		cl.checkScores(results)
		if n := cl.engines.count("i1"); n != 1 {
			t.Errorf("the item had %d attempts, want 1", n)
		}
	})
}

// Guards against an item that is committed twice. A step ends while a text of its last group
// is complete but not scored, and the trainer submits that group again in the next step. If
// the item were pending there, it would be generated during its score call.
func TestResubmittedCompleteTextsAreScoredOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		first := true
		cl.scorer.behave = func(_ context.Context, item string, _ int) error {
			if first && item != "i0" {
				return errUnavailable
			}
			time.Sleep(300 * time.Millisecond)
			return nil
		}
		a := cl.start("a")
		submit(t, a, spec("s1"), scoredItems(4))
		time.Sleep(2 * time.Second)
		if err := a.End(t.Context(), "s1", "acc"); err != nil {
			t.Fatal(err)
		}
		first = false
		submit(t, a, spec("s2"), scoredItems(4)[2:])
		results := readUntilComplete(t, a, "s2")
		checkTexts(t, results, 3)
		cl.checkScores(results)
		time.Sleep(2 * time.Second)
		if more, _, err := a.Results(t.Context(), "s2", "acc", 0, 0); err != nil || len(more) != 2 {
			t.Errorf("%d results, %v", len(more), err)
		}
		if n := cl.engines.count("i3"); n != 1 {
			t.Errorf("the item had %d attempts, want 1", n)
		}
	})
}

// The text saved in the store is shorter than the complete one in this VM's memory. Restoring
// the shorter one would combine the state of a complete text with a part of its events.
func TestShorterSavedTextDoesNotReplaceCompleteText(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.scorer.behave = func(ctx context.Context, _ string, _ int) error {
			<-ctx.Done()
			return ctx.Err()
		}
		a := cl.start("a")
		list := scoredItems(1)
		r := newRun(a.Manager, stateRecord{State: State{Spec: spec("s")}}, list, nil)
		r.restoreTexts(map[string]savedText{"i0": {Text: "1\n2\n3", LastEvent: 3, Versions: []int64{1}, Complete: true}})
		r.restoreTexts(map[string]savedText{"i0": {Text: "1", LastEvent: 1, Versions: []int64{1}, ScoreFailures: 1}})
		if text := r.text(0); r.list.phase(0) != phaseUnscored || joinText(text.data) != "1\n2\n3" {
			t.Errorf("the item is in phase %d with the text %q", r.list.phase(0), joinText(text.data))
		}
		if n := r.progress[0].scoreTries.NegativeAnswers; n != 1 {
			t.Errorf("%d failures are counted, want 1", n)
		}
		r.cancel()
	})
}

// Some score calls fail at every upstream. Their items must be abandoned after the number of
// attempts that the call's own route allows; otherwise their group would never complete.
func TestItemIsAbandonedAfterFailedScoreCalls(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		failed := failedAnswer(t)
		cl.scorer.behave = func(_ context.Context, item string, _ int) error {
			if item == "i1" {
				return failed
			}
			return nil
		}
		a := cl.start("a")
		submit(t, a, spec("s"), scoredItems(2))
		for _, r := range readUntilComplete(t, a, "s") {
			if want := map[string]Outcome{"i0": Completed, "i1": Abandoned}[r.Item]; r.Outcome != want {
				t.Errorf("item %s is %s", r.Item, r.Outcome)
			}
		}
		if n := cl.scorer.count("i1"); n != 2 {
			t.Errorf("the call was made %d times; its route allows 2 attempts", n)
		}
	})
}

// The score call of an item has failed once when its owner dies. A new owner that counts from
// zero would send the call to more upstreams than its route allows.
func TestTakeoverKeepsScoreFailureCount(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		failed := failedAnswer(t)
		cl.scorer.behave = func(ctx context.Context, _ string, n int) error {
			if n == 2 {
				<-ctx.Done()
				return ctx.Err()
			}
			return failed
		}
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), scoredItems(1))
		time.Sleep(2 * time.Second)
		cl.crash(a)
		if results := readUntilComplete(t, b, "s"); results[0].Outcome != Abandoned {
			t.Errorf("the item is %s", results[0].Outcome)
		}
		// One failure, the call that was interrupted by the owner's death, and one more.
		if n := cl.scorer.count("i0"); n != 3 {
			t.Errorf("the call was made %d times, want 3", n)
		}
	})
}

// The route of the score calls is removed by mistake and restored later. Texts must be kept
// meanwhile: an item may not be abandoned as long as its own route exists.
func TestTextsAreKeptWhileScoreRouteIsMissing(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		a.View.StoreIfNewer(configuration(2, false))
		submit(t, a, spec("s"), scoredItems(4))
		time.Sleep(3 * time.Second)
		if n := cl.scorer.count("i0"); n != 0 {
			t.Errorf("%d calls were made without a route", n)
		}
		a.View.StoreIfNewer(configuration(3, true))
		results := readUntilComplete(t, a, "s")
		checkTexts(t, results, 3)
		cl.checkScores(results)
	})
}

// The scoring service stays unavailable. Items must not be kept longer than the time after
// which the step allows to abandon them.
func TestUnscoredItemsAreAbandonedAtDeadline(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.scorer.behave = func(context.Context, string, int) error { return errUnavailable }
		a := cl.start("a")
		s := spec("s")
		s.AbandonAfter = 5 * time.Second
		submit(t, a, s, scoredItems(2))
		time.Sleep(4900 * time.Millisecond)
		if results, _, _ := a.Results(t.Context(), "s", "acc", 0, 0); len(results) > 0 {
			t.Errorf("%d items were committed before the deadline", len(results))
		}
		for _, r := range readUntilComplete(t, a, "s") {
			if r.Outcome != Abandoned || r.Text != "" || r.Score != "" {
				t.Errorf("item %+v is not an abandoned one without text and score", r)
			}
		}
	})
}

// The trainer ends a step while score calls are in progress. They must be canceled.
func TestEndCancelsScoreCalls(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		canceled := make(chan struct{}, 8)
		cl.scorer.behave = func(ctx context.Context, _ string, _ int) error {
			<-ctx.Done()
			canceled <- struct{}{}
			return ctx.Err()
		}
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), scoredItems(4))
		time.Sleep(time.Second)
		if err := b.End(t.Context(), "s", "acc"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if len(canceled) != 4 {
			t.Errorf("%d of 4 calls were canceled within 1 s", len(canceled))
		}
		before := cl.scorer.count("i0")
		time.Sleep(3 * time.Second)
		if n := cl.scorer.count("i0"); n != before {
			t.Errorf("%d calls after the end of the step", n-before)
		}
	})
}

// endedScorer is the error of a score call whose attempt ended an upstream.
func endedScorer(upstream string, started int64) error {
	roster := target.NewRoster(event.NewRecorder("vm", 8, event.NewClock(time.Now), zap.NewNop()))
	roster.Replace([]target.Instance{{ID: upstream, Service: "judge", Address: "j", FailureDomain: "x", Slots: 1, Started: started}})
	f := &forward.Forwarder{Roster: roster, Transport: lostAnswers{}, Meter: forward.Unmetered{}, Events: event.NewRecorder("vm", 8, event.NewClock(time.Now), zap.NewNop()), RetryBudget: retry.NewBudget()}
	_, err := f.Do(context.Background(), forward.Call{ID: "c", Route: &route.Route{Kind: route.Idempotent, Attempts: 1, Split: []route.Share{{Service: "judge", Weight: 1}}}})
	return err
}

// lostAnswers is a transport to upstreams whose answers are lost.
type lostAnswers struct{}

func (lostAnswers) Call(context.Context, *target.Entry, *target.Request) (*target.Response, error) {
	return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{}), fault.Unknown)
}

// Guards against a score call that ends one upstream of its service after another for as long as its
// text waits.
func TestScoreCallUnderWhichUpstreamsEndIsHeldBack(t *testing.T) {
	for _, crash := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner killed %t", crash), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1")
				cl.readLists()
				ended := int64(0)
				cl.scorer.behave = func(_ context.Context, item string, _ int) error {
					if item != "i0" {
						return nil
					}
					ended++
					return endedScorer(fmt.Sprint("j", ended), ended)
				}
				a, b := cl.start("a"), cl.start("b")
				submit(t, a, spec("s"), scoredItems(4))
				time.Sleep(2 * time.Second)
				if crash {
					cl.crash(a)
					time.Sleep(10 * time.Second)
				}
				time.Sleep(8 * time.Second)
				if n := cl.scorer.count("i0"); n != suspicion.MaxEnds {
					t.Errorf("%d score calls, want %d", n, suspicion.MaxEnds)
				}
				if results, _, err := b.Results(t.Context(), "s", "acc", 0, 0); err != nil || len(results) != 3 {
					t.Errorf("%d results of the other items, %v", len(results), err)
				}
			})
		})
	}
}

// Guards against a score call whose first attempt ended an upstream silently, just before the owner of its
// step was killed.
func TestNextOwnerKnowsScorerThatEndedJustBeforeItsOwner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.readLists()
		silent := target.Instance{ID: "j0", Service: "judge", Address: "j0", FailureDomain: "x", Slots: 8, Started: 1}
		cl.instances = append(cl.instances, silent)
		cl.scorer.behave = func(ctx context.Context, item string, n int) error {
			switch {
			case item != "i0":
				return nil
			case n == 1:
				<-ctx.Done()
				return context.Cause(ctx)
			}
			return endedScorer(fmt.Sprint("j", n), 1)
		}
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), scoredItems(4))
		for cl.scorer.count("i0") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		cl.crash(a)
		time.Sleep(3600 * time.Millisecond)
		b.Roster.Apply(target.UnlistedChange(silent.ID))
		time.Sleep(15 * time.Second)
		if n := cl.scorer.count("i0"); n != suspicion.MaxEnds {
			t.Errorf("%d score calls, want %d", n, suspicion.MaxEnds)
		}
		if results, _, err := b.Results(t.Context(), "s", "acc", 0, 0); err != nil || len(results) != 3 {
			t.Errorf("%d results of the other items, %v", len(results), err)
		}
	})
}

// Guards against a sample that loses its score because its calls' connections broke at upstreams that
// still run.
func TestScoreCallsWithBrokenConnectionsAreMadeAgain(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		for n := range 5 {
			id := fmt.Sprint("k", n)
			cl.instances = append(cl.instances, target.Instance{ID: id, Service: "judge", Address: id, FailureDomain: "x", Slots: 8, Started: 1})
		}
		cl.scorer.behave = func(_ context.Context, item string, n int) error {
			if n <= 5 {
				return endedScorer(fmt.Sprint("k", n-1), 1)
			}
			return nil
		}
		a := cl.start("a")
		ctx, cancel := context.WithCancel(t.Context())
		var reads sync.WaitGroup
		reads.Go(func() {
			for wait.For(ctx, 200*time.Millisecond) {
				a.Roster.NoteListRead()
			}
		})
		submit(t, a, spec("s"), scoredItems(4))
		cl.checkScores(readUntilComplete(t, a, "s"))
		cancel()
		reads.Wait()
	})
}
