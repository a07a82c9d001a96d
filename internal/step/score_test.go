package step

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/target"

	"go.uber.org/zap"
)

// errAway is a call that no upstream took.
var errAway = errors.WithStack(&fault.NoUpstream{Pool: "judge"})

// failedAnswer returns the failure of a call that one upstream answered with 500.
func failedAnswer(t *testing.T) error {
	t.Helper()
	events := event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop())
	roster := target.NewRoster(events)
	roster.Replace([]target.Instance{{ID: "j1", Service: "judge", Slots: 1}})
	failing := &engines{runs: map[string][]string{}, finished: map[string]int{}, behave: map[string]behaviour{
		"": func(string, int) reply { return reply{status: http.StatusInternalServerError} },
	}}
	client := &scoring.Client{Forwarder: &forward.Forwarder{Roster: roster, Caller: failing, Meter: forward.Unmetered{}, Events: events, Budget: retry.NewBudget()}}
	_, err := client.Score(t.Context(), scoring.Call{ID: "q"}, &route.Route{Attempts: 1, Split: []route.Share{{Service: "judge", Weight: 1}}}, route.Residency{})
	if forward.FailedAnswers(err) != 1 {
		t.Fatalf("the failure is %v", err)
	}
	return err
}

// A result without its score is of no use to a trainer, and a score that was given
// before the text was whole says nothing about it.
func TestTextsAreListedWithTheirScores(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		w.judge.behave = func(_ context.Context, _ string, _ int) error {
			time.Sleep(80 * time.Millisecond)
			return nil
		}
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), scoredItems(30))
		results := readWhole(t, b, "s")
		checkTexts(t, results, 3)
		w.checkScores(results)
		for _, item := range items(30) {
			if n, calls := w.engines.count(item.ID), w.judge.count(item.ID); n != 1 || calls != 1 {
				t.Errorf("item %s ran %d times and was scored %d times", item.ID, n, calls)
			}
		}
	})
}

// The scoring service is away for seconds while texts become whole. They wait: made
// again, they would take the engines from other items, and nothing be gained.
func TestTextsWaitForTheScoringService(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		back := time.Now().Add(5 * time.Second)
		w.judge.behave = func(context.Context, string, int) error {
			if time.Now().Before(back) {
				return errAway
			}
			return nil
		}
		a := w.start("a")
		submit(t, a, spec("s"), scoredItems(6))
		time.Sleep(4900 * time.Millisecond)
		if n := w.judge.count("i0"); n > 14 {
			t.Errorf("a text was sent %d times to a service that was away", n)
		}
		results := readWhole(t, a, "s")
		checkTexts(t, results, 3)
		w.checkScores(results)
		if took := time.Since(back); took > time.Second {
			t.Errorf("the step was whole %s after the service's return", took)
		}
		if n := w.engines.count("i0"); n != 1 {
			t.Errorf("the item ran %d times", n)
		}
	})
}

// The owner dies while whole texts wait for their scores. Its successor must neither
// make them again nor list them without a score.
func TestWholeTextsOutlastTheirOwner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		back := time.Now().Add(4 * time.Second)
		w.judge.behave = func(context.Context, string, int) error {
			if time.Now().Before(back) {
				return errAway
			}
			return nil
		}
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), scoredItems(4))
		time.Sleep(2 * time.Second)
		w.crash(a)
		results := readWhole(t, b, "s")
		checkTexts(t, results, 3)
		w.checkScores(results)
		for _, item := range items(4) {
			if n := w.engines.count(item.ID); n != 1 {
				t.Errorf("item %s ran %d times", item.ID, n)
			}
		}
	})
}

// A VM that leaves hands whole texts over that it could not have scored.
func TestWholeTextsAreHandedOver(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		away := true
		w.judge.behave = func(context.Context, string, int) error {
			if away {
				return errAway
			}
			return nil
		}
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), scoredItems(4))
		time.Sleep(100 * time.Millisecond)
		a.Leave(t.Context())
		away = false
		results := readWhole(t, b, "s")
		w.checkScores(results)
		if n := w.engines.count("i1"); n != 1 {
			t.Errorf("the item ran %d times", n)
		}
	})
}

// A step ends while a text of its last group is whole and unscored, and the trainer
// asks for that group again. The text is whole when the next step comes: if its item
// still stood as waiting, it would run beside its call and be listed twice.
func TestCarriedWholeTextsAreScoredOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		first := true
		w.judge.behave = func(_ context.Context, item string, _ int) error {
			if first && item != "i0" {
				return errAway
			}
			time.Sleep(300 * time.Millisecond)
			return nil
		}
		a := w.start("a")
		submit(t, a, spec("s1"), scoredItems(4))
		time.Sleep(2 * time.Second)
		if err := a.End(t.Context(), "s1", "acc"); err != nil {
			t.Fatal(err)
		}
		first = false
		submit(t, a, spec("s2"), scoredItems(4)[2:])
		results := readWhole(t, a, "s2")
		checkTexts(t, results, 3)
		w.checkScores(results)
		time.Sleep(2 * time.Second)
		if more, _, err := a.Results(t.Context(), "s2", "acc", 0, 0); err != nil || len(more) != 2 {
			t.Errorf("%d results, %v", len(more), err)
		}
		if n := w.engines.count("i3"); n != 1 {
			t.Errorf("the item ran %d times", n)
		}
	})
}

// A text of the store is shorter than the one that this VM still holds, whole. Taking
// the shorter one would join a whole text's state with half of its events.
func TestShorterSavedTextDoesNotReplaceAWholeOne(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.judge.behave = func(ctx context.Context, _ string, _ int) error {
			<-ctx.Done()
			return ctx.Err()
		}
		a := w.start("a")
		list := scoredItems(1)
		r := newRun(a.Manager, record{State: State{Spec: spec("s")}}, list, nil)
		r.resume(map[string]savedText{"i0": {Text: "1\n2\n3", Last: 3, Versions: []int64{1}, Whole: true}})
		r.resume(map[string]savedText{"i0": {Text: "1", Last: 1, Versions: []int64{1}, ScoreFailures: 1}})
		if text := r.text(0); r.progress[0].phase != unscored || joined(text.data) != "1\n2\n3" {
			t.Errorf("phase %d with the text %q", r.progress[0].phase, joined(text.data))
		}
		if n := r.progress[0].tries.Failures; n != 1 {
			t.Errorf("%d failures are known, want 1", n)
		}
		r.cancel()
	})
}

// A few calls fail whatever upstream gets them. Their items are given up once the
// call's own route allows no more attempts, so that their group can be whole.
func TestItemWhoseCallAlwaysFails(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		failed := failedAnswer(t)
		w.judge.behave = func(_ context.Context, item string, _ int) error {
			if item == "i1" {
				return failed
			}
			return nil
		}
		a := w.start("a")
		submit(t, a, spec("s"), scoredItems(2))
		for _, r := range readWhole(t, a, "s") {
			if want := map[string]Outcome{"i0": Completed, "i1": Abandoned}[r.Item]; r.Outcome != want {
				t.Errorf("item %s is %s", r.Item, r.Outcome)
			}
		}
		if n := w.judge.count("i1"); n != 2 {
			t.Errorf("the call was made %d times; its route allows 2 attempts", n)
		}
	})
}

// The call of an item has failed once when its owner dies. A successor that counts
// anew would have it fail at more upstreams than its route allows.
func TestSuccessorCountsFailedCallsOn(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		failed := failedAnswer(t)
		w.judge.behave = func(ctx context.Context, _ string, n int) error {
			if n == 2 {
				<-ctx.Done()
				return ctx.Err()
			}
			return failed
		}
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), scoredItems(1))
		time.Sleep(2 * time.Second)
		w.crash(a)
		if results := readWhole(t, b, "s"); results[0].Outcome != Abandoned {
			t.Errorf("the item is %s", results[0].Outcome)
		}
		// One failure, the call that the owner's death broke off, and one more.
		if n := w.judge.count("i0"); n != 3 {
			t.Errorf("the call was made %d times, want 3", n)
		}
	})
}

// The route of the scores is dropped by mistake and comes back. Texts wait for it:
// an item may not be given up as long as its own route stands.
func TestTextsWaitForTheRouteOfTheirScore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a := w.start("a")
		a.View.Offer(configuration(2, false))
		submit(t, a, spec("s"), scoredItems(4))
		time.Sleep(3 * time.Second)
		if n := w.judge.count("i0"); n != 0 {
			t.Errorf("%d calls were made without a route", n)
		}
		a.View.Offer(configuration(3, true))
		results := readWhole(t, a, "s")
		checkTexts(t, results, 3)
		w.checkScores(results)
	})
}

// Nobody scores a text until its item may be given up. It must not be held for ever.
func TestUnscoredItemsAreGivenUpAtTheirTime(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.judge.behave = func(context.Context, string, int) error { return errAway }
		a := w.start("a")
		s := spec("s")
		s.GiveUp = 5 * time.Second
		submit(t, a, s, scoredItems(2))
		time.Sleep(4900 * time.Millisecond)
		if results, _, _ := a.Results(t.Context(), "s", "acc", 0, 0); len(results) > 0 {
			t.Errorf("%d items are listed before their time", len(results))
		}
		for _, r := range readWhole(t, a, "s") {
			if r.Outcome != Abandoned || r.Text != "" || r.Score != "" {
				t.Errorf("item %+v", r)
			}
		}
	})
}

// The trainer ends a step whose calls are still under way. They must stop with it.
func TestEndStopsCalls(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		stopped := make(chan struct{}, 8)
		w.judge.behave = func(ctx context.Context, _ string, _ int) error {
			<-ctx.Done()
			stopped <- struct{}{}
			return ctx.Err()
		}
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), scoredItems(4))
		time.Sleep(time.Second)
		if err := b.End(t.Context(), "s", "acc"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if len(stopped) != 4 {
			t.Errorf("%d of 4 calls stopped within 1 s", len(stopped))
		}
		before := w.judge.count("i0")
		time.Sleep(3 * time.Second)
		if n := w.judge.count("i0"); n != before {
			t.Errorf("%d calls after the end", n-before)
		}
	})
}
