package step

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/kept/memory"
)

func submit(t *testing.T, v *vm, s Spec, list []Item) {
	t.Helper()
	if err := v.Submit(t.Context(), s, list); err != nil {
		t.Fatal(err)
	}
}

func TestStepRunsWhole(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), items(30))
		checkTexts(t, readWhole(t, b, "s"), 3)
		checkTexts(t, readWhole(t, a, "s"), 3)
	})
}

// The answer to an acceptance is lost on its way to the trainer, who hands the
// step in again at another VM. A second step would generate everything twice.
func TestRepeatedSubmissionIsOneStep(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), items(8))
		submit(t, b, spec("s"), items(8))
		submit(t, a, spec("s"), items(8))
		checkTexts(t, readWhole(t, b, "s"), 3)
		for _, item := range items(8) {
			if n := w.engines.count(item.ID); n != 1 {
				t.Errorf("item %s ran %d times", item.ID, n)
			}
		}
	})
}

// The store carries an acceptance out seconds after it went silent, when the VM
// has long told the trainer that it does not know. The step is there then, so the
// VM must run it, and the trainer's repeat must find it.
func TestLateAcceptanceIsRun(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a, b := w.start("a"), w.start("b")
		w.store.SetFate(func(kept.Txn) memory.Fate { return memory.EffectLate })
		err := a.Submit(t.Context(), spec("s"), items(4))
		if err == nil || fault.ExecutionOf(err) == fault.NotRun {
			t.Fatalf("Submit = %v; it may have been accepted", err)
		}
		w.store.SetFate(nil)
		w.store.RunLate()
		submit(t, b, spec("s"), items(4))
		checkTexts(t, readWhole(t, b, "s"), 3)
	})
}

// The store is away while a step is handed in. The trainer waits, and the engines
// would idle; once the store is back the step should be whole at once.
func TestItemsRunWhileTheStoreIsAway(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = func(string, int) reply {
			r := good
			r.gap = 300 * time.Millisecond
			return r
		}
		a, b := w.start("a"), w.start("b")
		time.Sleep(time.Second)
		w.store.SetDown(true)
		accepted := make(chan error, 1)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), items(4)) }()
		time.Sleep(5 * time.Second)
		w.store.SetDown(false)
		if err := <-accepted; err != nil {
			t.Fatal(err)
		}
		time.Sleep(400 * time.Millisecond)
		results, _, err := b.Results(t.Context(), "s", "acc", 0, 0)
		if err != nil || len(results) != 4 {
			t.Errorf("%d results 0.4 s after the outage, %v", len(results), err)
		}
		checkTexts(t, results, 3)
	})
}

// The same, but the store stays away. Items have run, so that "not run" would be
// untrue, and none may run on.
func TestEarlyItemsForbidThePromise(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = paced(1000, 100*time.Millisecond)
		a := w.start("a")
		time.Sleep(time.Second)
		w.store.SetDown(true)
		err := a.Submit(t.Context(), spec("s"), items(4))
		if err == nil || fault.ExecutionOf(err) == fault.NotRun {
			t.Errorf("Submit = %v", err)
		}
		time.Sleep(time.Second)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		if len(w.engines.runs) == 0 || w.engines.active != 0 {
			t.Errorf("%d items ran, %d run on", len(w.engines.runs), w.engines.active)
		}
	})
}

// Guards against a step whose logs name no owner, so that an operator can't find what held
// it up: its acceptance took long enough for its items to start before.
func TestStepThatStartedEarlyNamesItsOwner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a := w.start("a")
		time.Sleep(time.Second)
		w.store.SetDown(true)
		accepted := make(chan error, 1)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), items(4)) }()
		time.Sleep(time.Second)
		w.store.SetDown(false)
		if err := <-accepted; err != nil {
			t.Fatal(err)
		}
		if owned := a.Events.Select(event.Query{Step: "s", Numbers: []event.Number{event.StepOwned}}); len(owned) != 1 {
			t.Errorf("%d events tell who owns the step, want 1", len(owned))
		}
	})
}

// The same step is handed in at two VMs while the store is away. Both run items,
// and only one of them may list results.
func TestEarlyRunsOfOneStep(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		a, b := w.start("a"), w.start("b")
		time.Sleep(time.Second)
		w.store.SetDown(true)
		accepted := make(chan error, 2)
		for _, v := range []*vm{a, b} {
			go func() { accepted <- v.Submit(t.Context(), spec("s"), items(6)) }()
		}
		time.Sleep(3 * time.Second)
		w.store.SetDown(false)
		for range 2 {
			if err := <-accepted; err != nil {
				t.Error(err)
			}
		}
		checkTexts(t, readWhole(t, a, "s"), 3)
		checkTexts(t, readWhole(t, b, "s"), 3)
	})
}

// The scene of the tests below: a and b run a step early during an outage, a longer by two
// seconds, and c's copy is accepted after it. known tells whether the texts' lengths are
// expected.
func handInThrice(t *testing.T, w *world, list []Item, events int, known bool) (b, c *vm) {
	w.engines.behave[""] = paced(events, 350*time.Millisecond)
	if known {
		for i := range list {
			list[i].Expected = float64(events)
		}
	}
	a := w.start("a")
	b, c = w.start("b"), w.start("c")
	time.Sleep(time.Second)
	w.store.SetDown(true)
	accepted := make(chan error, 3)
	handIn := func(v *vm) { go func() { accepted <- v.Submit(t.Context(), spec("s"), list) }() }
	handIn(a)
	time.Sleep(2 * time.Second)
	handIn(b)
	time.Sleep(1700 * time.Millisecond)
	w.store.SetDown(false)
	handIn(c)
	for range 3 {
		if err := <-accepted; err != nil {
			t.Error(err)
		}
	}
	return b, c
}

// Guards against a step that begins anew after an outage though another VM has nearly all
// its texts: the trainer hands it in again at one VM after another, and the copy that came
// last is accepted first.
func TestEarlyRunThatIsFurthestGoesOn(t *testing.T) {
	for _, known := range []bool{true, false} {
		bubble(t, func(t *testing.T) {
			w := newWorld(t, "e1", "e2", "e3", "e4", "e5", "e6")
			const events = 10
			b, c := handInThrice(t, w, items(6), events, known)
			time.Sleep(time.Second)
			results, _, err := c.Results(t.Context(), "s", "acc", 0, 0)
			if err != nil || len(results) != 6 {
				t.Errorf("%d results a second after the outage, %v; the first copy had nearly all texts", len(results), err)
			}
			checkTexts(t, readWhole(t, b, "s"), events)
			state, err := readState(t.Context(), w.store, "s")
			// b may have heard of the acceptance first and claimed it before a did.
			if err != nil || state.Owner != "a" || state.Epoch != 2 && state.Epoch != 3 {
				t.Errorf("the step is %s's in epoch %d, %v; want a's in epoch 2 or 3", state.Owner, state.Epoch, err)
			}
		})
	}
}

// Guards against the furthest early run ending since another one, with far less, claimed the
// step between its look at the state and its own claim.
func TestFurthestEarlyRunClaimsFromAQuickerOne(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		const events = 10
		w.engines.behave[""] = paced(events, 350*time.Millisecond)
		list := items(6)
		for i := range list {
			list[i].Expected = events
		}
		a := w.start("a")
		time.Sleep(time.Second)
		w.store.SetDown(true)
		accepted := make(chan error, 1)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), list) }()
		time.Sleep(3 * time.Second)
		now, _ := w.store.StoreNow()
		put := func(owner string, epoch int, made float64) record {
			state := State{Spec: spec("s"), Owner: owner, OwnerLife: owner + "-1", Total: 6, Epoch: epoch, Made: made, Nonce: owner}
			state.SubmittedAt = now
			value, err := encode(state)
			if err != nil {
				t.Fatal(err)
			}
			w.store.Set(stateKey("s"), string(value))
			read, err := decodeState(w.store.Row(stateKey("s")))
			if err != nil {
				t.Fatal(err)
			}
			return read
		}
		seen := put("c", 1, 0)
		put("b", 2, 0.2)
		go a.runOf("s").early.decide(seen)
		time.Sleep(500 * time.Millisecond)
		w.store.SetDown(false)
		if err := <-accepted; err != nil {
			t.Error(err)
		}
		checkTexts(t, readWhole(t, a, "s"), events)
		state, err := readState(t.Context(), w.store, "s")
		if err != nil || state.Owner != "a" || state.Epoch != 3 {
			t.Errorf("the step is %s's in epoch %d, %v; want a's in epoch 3", state.Owner, state.Epoch, err)
		}
	})
}

// Guards against a hand-over that sets a claimed step back to the copy that was not
// accepted: its count of owners would fall.
func TestHandOverOfAClaimedStep(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2", "e3", "e4", "e5", "e6")
		const events = 20
		_, c := handInThrice(t, w, items(6), events, true)
		time.Sleep(time.Second)
		claimed, err := readState(t.Context(), w.store, "s")
		if err != nil || claimed.Epoch == 1 {
			t.Fatalf("the step is %s's in epoch %d, %v", claimed.Owner, claimed.Epoch, err)
		}
		w.vms[claimed.Owner].Leave(t.Context())
		left, err := readState(t.Context(), w.store, "s")
		// The next owner may have it already.
		if err != nil || left.Owner == claimed.Owner || left.Epoch < claimed.Epoch || left.Owner != "" && left.Epoch == claimed.Epoch {
			t.Errorf("%q's in epoch %d after the hand-over, %v; it was claimed in epoch %d", left.Owner, left.Epoch, err, claimed.Epoch)
		}
		checkTexts(t, readWhole(t, c, "s"), events)
	})
}

// Guards against objects that nobody removes: a step that is too large for a row is handed
// in at two VMs, and the items of the copy that is not accepted would stay in the store.
func TestItemsOfARefusedCopyAreRemoved(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a, b := w.start("a"), w.start("b")
		time.Sleep(time.Second)
		list := items(2)
		list[0].Body = bytes.Repeat([]byte("x"), rowLimit)
		var both sync.WaitGroup
		for _, v := range []*vm{a, b} {
			both.Go(func() {
				if err := v.Submit(t.Context(), spec("s"), list); err != nil {
					t.Error(err)
				}
			})
		}
		both.Wait()
		time.Sleep(time.Second)
		state, err := readState(t.Context(), w.store, "s")
		if names := w.store.ObjectNames(); err != nil || len(state.Objects) == 0 || !slices.Equal(names, state.Objects) {
			t.Errorf("the store holds %v; the step names %v, %v", names, state.Objects, err)
		}
		checkTexts(t, readWhole(t, a, "s"), 3)
	})
}

// Guards against the loss of a step whose acceptance got no answer: another VM has taken it
// over by the repeat, and its items are those of the copy that seems refused.
func TestItemsOfAnAcceptedCopyStay(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a := w.start("a")
		list := items(2)
		list[0].Body = bytes.Repeat([]byte("x"), rowLimit)
		_, state, err := creation(t.Context(), w.store, State{Spec: spec("s"), Owner: "a", Epoch: 1, Total: 2}, list)
		if err != nil || len(state.Objects) == 0 {
			t.Fatalf("the step has the objects %v, %v", state.Objects, err)
		}
		taken := state
		taken.Owner, taken.Epoch = "b", 2
		value, err := encode(taken)
		if err != nil {
			t.Fatal(err)
		}
		conflict := &kept.Conflict{Current: []kept.Row{{Key: stateKey("s"), Value: value, Version: 7}}}
		if err := a.submitted(record{State: state}, list, &earlyRun{manager: a.Manager, state: state}, conflict); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if names := w.store.ObjectNames(); !slices.Equal(names, state.Objects) {
			t.Errorf("the store holds %v of the objects %v", names, state.Objects)
		}
	})
}

// The store is not there when the VM starts. No part of the step was kept or
// begun, and the trainer may be told so.
func TestRefusedAcceptanceSaysSo(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a := w.start("a")
		a.Clock = noClock{}
		err := a.Submit(t.Context(), spec("s"), items(4))
		if fault.ExecutionOf(err) != fault.NotRun || fault.RetryAfterOf(err, 0) == 0 {
			t.Errorf("Submit = %v", err)
		}
		time.Sleep(5 * time.Second)
		if n := w.engines.count("i0"); n != 0 {
			t.Errorf("an item of a refused step ran %d times", n)
		}
	})
}

// A step is handed in at a VM that is not the one that has its model's steps. That
// one must begin it at once; otherwise each such step would lose time.
func TestStepGoesToTheOwnerOfItsModel(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.preferred = "b"
		a, b := w.start("a"), w.start("b")
		time.Sleep(time.Second)
		submit(t, a, spec("s"), items(4))
		time.Sleep(60 * time.Millisecond)
		if b.runOf("s") == nil || a.runOf("s") != nil {
			t.Error("the step does not run at the owner of its model")
		}
		checkTexts(t, readWhole(t, a, "s"), 3)
	})
}

// The VM that should own the step died a moment ago, and nobody has noticed. The
// step must not wait for it to come back.
func TestStepOfADeadOwnerIsTakenOver(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.preferred = "b"
		a, b := w.start("a"), w.start("b")
		time.Sleep(time.Second)
		b.kill()
		submit(t, a, spec("s"), items(4))
		time.Sleep(time.Second)
		w.crash(b)
		checkTexts(t, readWhole(t, a, "s"), 3)
	})
}

// Each of four groups has one long item, and the engines take half of the items at once.
// A long item that waits until the short ones of other groups are done makes the whole
// step late by its wait, and its trainer idle.
func TestLongItemsOfAllGroupsStartAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const long, short, gap = 20, 3, 100 * time.Millisecond
		w := newWorld(t, "e1", "e2")
		list := items(16)
		for i := range list {
			list[i].Group, list[i].Expected = "g"+strconv.Itoa(i/4), short
			if i%4 == 0 {
				list[i].Expected = long
			}
		}
		w.engines.behave[""] = func(item string, _ int) reply {
			r := good
			n, _ := strconv.Atoi(item[1:])
			r.events, r.gap = int(list[n].Expected), gap
			return r
		}
		a := w.start("a")
		started := time.Now()
		submit(t, a, spec("s"), list)
		readWhole(t, a, "s")
		if took := time.Since(started); took > long*gap+3*groupTime {
			t.Errorf("the step took %s, its longest item %s", took, long*gap)
		}
	})
}

// The longest item of a step runs on an engine that is a third slower than the others,
// and no other item waits for a slot any more. If it stayed there, the step would be
// late by a quarter of its time while faster engines are idle.
func TestLastItemsMoveToIdleFasterEngines(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const events = 100
		w := newWorld(t, "e1", "e2")
		w.engines.behave["e1"] = func(string, int) reply {
			return reply{status: http.StatusOK, version: 1, events: events, gap: 40 * time.Millisecond}
		}
		w.engines.behave["e2"] = func(item string, _ int) reply {
			return reply{status: http.StatusOK, version: 1, events: events, gap: 30 * time.Millisecond}
		}
		a := w.start("a")
		e2 := a.Roster.Service("lm")[1]
		e2.NoteSpeed(30*time.Millisecond, time.Now())
		for range 4 {
			e2.Begin()
		}
		time.AfterFunc(500*time.Millisecond, func() {
			for range 4 {
				e2.End()
			}
		})
		started := time.Now()
		submit(t, a, spec("s"), items(1))
		checkTexts(t, readWhole(t, a, "s"), events)
		if took := time.Since(started); took > 3500*time.Millisecond {
			t.Errorf("the step took %s", took)
		}
	})
}

// The owner's process is killed in the middle of a step. Another VM goes on; what
// was listed keeps its position and its words.
func TestTakeoverAfterACrash(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = func(string, int) reply {
			r := good
			r.gap = 100 * time.Millisecond
			return r
		}
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), items(20))
		time.Sleep(700 * time.Millisecond)
		before, _, err := b.Results(t.Context(), "s", "acc", 0, 0)
		if err != nil || len(before) == 0 || len(before) == 20 {
			t.Fatalf("%d results before the crash, %v", len(before), err)
		}
		w.crash(a)
		after := readWhole(t, b, "s")
		checkTexts(t, after, 3)
		for i, r := range before {
			if after[i].Item != r.Item || after[i].Text != r.Text {
				t.Errorf("position %d held %s and holds %s", i, r.Item, after[i].Item)
			}
		}
	})
}

// The owner is killed while the last item, a long one, is at its 30th event. Made
// anew from its first one, it would hold its step up for as long again.
func TestLongTextSurvivesItsOwner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = paced(60, 100*time.Millisecond)
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), items(1))
		time.Sleep(3 * time.Second)
		w.crash(a)
		started := time.Now()
		checkTexts(t, readWhole(t, b, "s"), 60)
		if took := time.Since(started); took > 5500*time.Millisecond {
			t.Errorf("the rest took %s", took)
		}
	})
}

// A step ends while one of its groups is not whole; its trainer asks for that group
// again in the next step and waits for it there. What was read of it may be used,
// so far as its versions fit.
func TestCarriedGroupsGoOn(t *testing.T) {
	for _, c := range []struct {
		name       string
		minVersion int64
		runs       int
	}{{"versions fit", 1, 1}, {"too old", 2, 2}} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				w := newWorld(t, "e1")
				version := int64(1)
				w.engines.behave[""] = func(item string, _ int) reply {
					r := good
					r.version = version
					if item == "i3" {
						r.events, r.gap = 40, 100*time.Millisecond
					}
					return r
				}
				a := w.start("a")
				submit(t, a, spec("s1"), items(4))
				time.Sleep(2 * time.Second)
				if err := a.End(t.Context(), "s1", "acc"); err != nil {
					t.Fatal(err)
				}
				for _, e := range a.Roster.Service("lm") {
					e.NoteVersion("m", 2)
				}
				version = 2
				next := spec("s2")
				next.MinVersion = c.minVersion
				submit(t, a, next, items(4)[2:])
				for _, r := range readWhole(t, a, "s2") {
					if r.Item == "i3" && (len(strings.Split(r.Text, "\n")) != 40 || c.runs == 1 && r.Versions[0] != 1 || c.runs == 2 && len(r.Versions) != 1) {
						t.Errorf("the carried item has the versions %v and %d events", r.Versions, len(strings.Split(r.Text, "\n")))
					}
				}
				if n := w.engines.count("i2"); n != c.runs {
					t.Errorf("the finished item of the carried group ran %d times, want %d", n, c.runs)
				}
			})
		})
	}
}

// The owner is frozen, another VM takes over, and then the first one wakes with
// finished results in its hands. If it could list them, items would stand twice.
func TestFrozenOwnerListsNothing(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a, b := w.start("a"), w.start("b")
		w.store.SetFate(func(txn kept.Txn) memory.Fate {
			if len(txn.Puts) > 0 && txn.Puts[0].Key.Table == resultTable {
				return memory.EffectLate
			}
			return memory.Normal
		})
		submit(t, a, spec("s"), items(4))
		time.Sleep(300 * time.Millisecond)
		w.mu.Lock()
		w.dead["a"] = true
		w.mu.Unlock()
		w.store.SetFate(nil)
		results := readWhole(t, b, "s")
		w.store.RunLate()
		checkTexts(t, results, 3)
		again := readWhole(t, b, "s")
		if len(again) != 4 {
			t.Errorf("%d results stand after the late commits", len(again))
		}
	})
}

// Every VM loses power at once, right after a step was accepted. With the first
// VM that comes back the step must go on.
func TestAcceptedStepSurvivesTheLossOfAllVMs(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a := w.start("a")
		submit(t, a, spec("s"), items(6))
		w.crash(a)
		time.Sleep(time.Second)
		checkTexts(t, readWhole(t, w.start("c"), "s"), 3)
	})
}

// Guards against steps that wait after a loss of power: the VM that restarts knows that its
// life before is over, while those that rank before it still take it for alive.
func TestRestartedOwnerGoesOnAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = paced(30, 50*time.Millisecond)
		w.start("a")
		owner := w.start("b")
		submit(t, owner, spec("s"), items(4))
		time.Sleep(300 * time.Millisecond)
		owner.kill()
		owner = w.startLife("b", "b-2")
		began := time.Now()
		for owner.runOf("s") == nil && time.Since(began) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took >= takeoverStep {
			t.Errorf("the owner goes on %s after its restart", took)
		}
	})
}

// A VM that is told to stop gives its steps up, and another one has them without
// waiting for the first one's death to be noticed.
func TestHandOver(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = func(string, int) reply {
			r := good
			r.gap = 100 * time.Millisecond
			return r
		}
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), items(12))
		time.Sleep(350 * time.Millisecond)
		// What leaves gives its hand-over a limited time, and ends that with it.
		leaving, over := context.WithTimeout(t.Context(), 3*time.Second)
		a.Leave(leaving)
		over()
		// The second in rank waits for its turn; the list of members in this test
		// still ranks the VM that leaves.
		time.Sleep(takeoverStep + 300*time.Millisecond)
		if b.runOf("s") == nil {
			t.Error("nobody runs the step after the hand-over")
		}
		checkTexts(t, readWhole(t, b, "s"), 3)
	})
}

// The trainer ends a step at another VM than the one that runs it. Items that
// still run would burn the engines for nobody.
func TestEndStopsItemsEverywhere(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		w.engines.behave[""] = paced(100, 100*time.Millisecond)
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), items(8))
		time.Sleep(500 * time.Millisecond)
		if err := b.End(t.Context(), "s", "acc"); err != nil {
			t.Fatal(err)
		}
		if err := b.End(t.Context(), "s", "acc"); err != nil {
			t.Errorf("a repeat fails with %v", err)
		}
		time.Sleep(time.Second)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		if w.engines.active != 0 {
			t.Errorf("%d items run a second after the end", w.engines.active)
		}
	})
}

// The owner is cut off from the store when the step ends, and learns it by its
// next commit only.
func TestEndRefusesResultsOfACutOffOwner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t)
		b := w.start("b")
		submit(t, b, spec("s"), items(4))
		rec, _ := b.lookUp("s")
		if err := b.End(t.Context(), "s", "acc"); err != nil {
			t.Fatal(err)
		}
		puts, err := listing(t.Context(), w.store, "s", 0, []Result{{Item: "i0", Outcome: Completed}})
		if err != nil {
			t.Fatal(err)
		}
		_, err = w.store.Commit(t.Context(), kept.Txn{Puts: puts, Expected: []kept.Expectation{{Key: stateKey("s"), Version: rec.version}}})
		if err == nil {
			t.Error("results were listed behind the end of the step")
		}
	})
}

// An engine breaks off in the middle of a text. The rest comes from another one,
// behind the last whole event, and the text has neither a hole nor a double.
func TestBrokenTextGoesOnElsewhere(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		w.engines.behave[""] = func(_ string, n int) reply {
			r := good
			if n == 1 {
				r.breakAfter = 2
			}
			return r
		}
		a := w.start("a")
		submit(t, a, spec("s"), items(4))
		checkTexts(t, readWhole(t, a, "s"), 3)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		if len(w.engines.resumed) != 4 || !strings.HasSuffix(w.engines.resumed[0], " after 2") {
			t.Errorf("resumed: %v", w.engines.resumed)
		}
	})
}

// An engine leaves an event out. The text would look whole.
func TestHoleInATextIsNoticed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = func(_ string, n int) reply {
			r := good
			if n == 1 {
				r.skip = 2
			}
			return r
		}
		a := w.start("a")
		submit(t, a, spec("s"), items(2))
		checkTexts(t, readWhole(t, a, "s"), 3)
	})
}

// An engine has older weights than its list entry says. Its samples are older
// than the contract allows and must not be listed.
func TestTooOldWeightsAreNotUsed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		w.engines.behave["e1"] = func(string, int) reply {
			r := good
			r.version = 4
			return r
		}
		w.engines.behave["e2"] = func(string, int) reply {
			r := good
			r.version = 6
			return r
		}
		for i := range w.list {
			w.list[i].Versions = map[string]int64{"m": 5}
		}
		a := w.start("a")
		s := spec("s")
		s.MinVersion = 5
		submit(t, a, s, items(6))
		results := readWhole(t, a, "s")
		checkTexts(t, results, 3)
		for _, r := range results {
			if len(r.Versions) != 1 || r.Versions[0] != 6 {
				t.Errorf("item %s names the versions %v", r.Item, r.Versions)
			}
		}
	})
}

// The weights change while a text is made. Both versions made it, and the trainer
// must learn that.
func TestVersionsOfATextAreAllNamed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = func(_ string, n int) reply {
			r := good
			r.changeAt = 2
			return r
		}
		a := w.start("a")
		submit(t, a, spec("s"), items(2))
		for _, r := range readWhole(t, a, "s") {
			if len(r.Versions) != 2 || r.Versions[0] != 1 || r.Versions[1] != 2 {
				t.Errorf("item %s names the versions %v", r.Item, r.Versions)
			}
		}
	})
}

// The same on a route that wants one version for each sample: the text is made
// again.
func TestSingleVersionIsKept(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = func(_ string, n int) reply {
			r := good
			if n == 1 {
				r.changeAt = 2
			} else {
				r.version = 2
			}
			return r
		}
		a := w.start("a")
		s := spec("s")
		s.SingleVersion = true
		submit(t, a, s, items(2))
		for _, r := range readWhole(t, a, "s") {
			if len(r.Versions) != 1 || r.Versions[0] != 2 {
				t.Errorf("item %s names the versions %v", r.Item, r.Versions)
			}
		}
	})
}

// An item that fails each time must end some time, or it holds a slot for ever;
// one that the engine calls impossible must not be tried again.
func TestItemsThatCannotBeDone(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		runs   int
	}{
		{"fails each time", http.StatusInternalServerError, 3},
		{"impossible", http.StatusUnprocessableEntity, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				w := newWorld(t, "e1")
				w.engines.behave[""] = func(item string, _ int) reply {
					r := good
					if item == "i1" {
						r.status = c.status
					}
					return r
				}
				a := w.start("a")
				submit(t, a, spec("s"), items(2))
				for _, r := range readWhole(t, a, "s") {
					if want := map[string]Outcome{"i0": Completed, "i1": Abandoned}[r.Item]; r.Outcome != want {
						t.Errorf("item %s is %s", r.Item, r.Outcome)
					}
				}
				if n := w.engines.count("i1"); n != c.runs {
					t.Errorf("the item ran %d times, want %d", n, c.runs)
				}
			})
		})
	}
}

// An item fails each time, a second after it began, and its owner dies after the
// second failure. Its successor must not begin to count anew: with a few changes of
// owner the item would reach engines far more often than its route allows.
func TestSuccessorCountsFailuresOn(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = func(item string, _ int) reply {
			r := good
			if item == "i1" {
				time.Sleep(time.Second)
				r.status = http.StatusInternalServerError
			}
			return r
		}
		a, b := w.start("a"), w.start("b")
		submit(t, a, spec("s"), items(2))
		time.Sleep(2900 * time.Millisecond)
		w.crash(a)
		for _, r := range readWhole(t, b, "s") {
			if r.Item == "i1" && r.Outcome != Abandoned {
				t.Errorf("the item is %s", r.Outcome)
			}
		}
		// Two failures, the run that the owner's death broke off, and one more.
		if n := w.engines.count("i1"); n > 4 {
			t.Errorf("the item ran %d times, want 4 at most", n)
		}
	})
}

// A failure domain is cut off from all engines. The items of its steps must not be
// tried without a pause: the VM would do nothing else, and the engines get a storm of
// connections the moment they are back.
func TestItemsWithoutEnginesAreTriedMoreAndMoreRarely(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		back := time.Now().Add(6 * time.Second)
		w.engines.behave[""] = func(string, int) reply {
			if time.Now().Before(back) {
				return reply{}
			}
			return good
		}
		a := w.start("a")
		submit(t, a, spec("s"), items(8))
		checkTexts(t, readWhole(t, a, "s"), 3)
		if late := time.Since(back); late > 1500*time.Millisecond {
			t.Errorf("whole %s after the engines were back", late)
		}
		for _, item := range items(8) {
			if n := w.engines.count(item.ID); n > 16 {
				t.Errorf("item %s was tried %d times in 6 s", item.ID, n)
			}
		}
	})
}

// Items finish one after another for a while. Listed one by one they would cost the
// store a transaction each, beside those of all other steps.
func TestResultsAreListedInGroups(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2", "e3", "e4")
		w.engines.behave[""] = func(item string, _ int) reply {
			r := good
			n, _ := strconv.Atoi(item[1:])
			r.gap = time.Duration(100+10*n) * time.Millisecond
			return r
		}
		commits := 0
		w.store.SetFate(func(txn kept.Txn) memory.Fate {
			if txn.Puts[0].Key.Table == resultTable {
				commits++
				time.Sleep(12 * time.Millisecond)
			}
			return memory.Normal
		})
		a := w.start("a")
		submit(t, a, spec("s"), items(16))
		checkTexts(t, readWhole(t, a, "s"), 3)
		if commits > 8 {
			t.Errorf("16 results that came within 0.5 s took %d commits", commits)
		}
	})
}

// No engine takes an item for as long as the step may last. It is given up only
// then, and stands as abandoned.
func TestItemsAreGivenUpAtTheirTimeOnly(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		w.engines.behave[""] = func(string, int) reply {
			return reply{status: http.StatusServiceUnavailable, notRun: true}
		}
		a := w.start("a")
		submit(t, a, spec("s"), items(2))
		time.Sleep(39 * time.Second)
		if results, _, _ := a.Results(t.Context(), "s", "acc", 0, 0); len(results) != 0 {
			t.Fatalf("%d items were given up early", len(results))
		}
		time.Sleep(3 * time.Second)
		results, _, err := a.Results(t.Context(), "s", "acc", 0, 0)
		if err != nil || len(results) != 2 || results[0].Outcome != Abandoned {
			t.Errorf("after its time: %v, %v", results, err)
		}
	})
}

// An engine falls silent without closing its streams. Its items would hold up
// their step until the trainer gives up.
func TestSilentEngineLosesItsItems(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1", "e2")
		w.engines.behave["e1"] = func(string, int) reply {
			r := good
			r.gap = time.Hour
			return r
		}
		a := w.start("a")
		submit(t, a, spec("s"), items(4))
		started := time.Now()
		checkTexts(t, readWhole(t, a, "s"), 3)
		if took := time.Since(started); took > 3*time.Second {
			t.Errorf("the step took %s", took)
		}
	})
}

// The store does not answer when a VM is asked for a step that it does not know.
// Told that there is none, the trainer would start the step anew.
func TestUnknownOnlyWhenTheStoreSaysSo(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a := w.start("a")
		w.store.SetDown(true)
		_, _, err := a.Results(t.Context(), "s", "acc", 0, 0)
		if fault.Is[*fault.StepUnknown](err) || err == nil {
			t.Errorf("while the store is silent: %v", err)
		}
		w.store.SetDown(false)
		if _, _, err := a.Results(t.Context(), "s", "acc", 0, 0); !fault.Is[*fault.StepUnknown](err) {
			t.Errorf("when the store says no: %v", err)
		}
	})
}

// Another client account asks for a step whose ID it has guessed.
func TestStepsOfOthersAreUnknown(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a := w.start("a")
		submit(t, a, spec("s"), items(2))
		if _, _, err := a.Results(t.Context(), "s", "other", 0, 0); !fault.Is[*fault.StepUnknown](err) {
			t.Errorf("results: %v", err)
		}
		if _, err := a.Body(t.Context(), "s", "other", "i0"); !fault.Is[*fault.StepUnknown](err) {
			t.Errorf("body: %v", err)
		}
		if err := a.End(t.Context(), "s", "other"); !fault.Is[*fault.StepUnknown](err) {
			t.Errorf("end: %v", err)
		}
	})
}

// Items and texts that are larger than a row or a transaction come back byte for
// byte, also at a VM that reads them from the store.
func TestLargeItemsAndTexts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a := w.start("a")
		list := items(4)
		list[2].Body = []byte(strings.Repeat("\x00b", 900<<10))
		submit(t, a, spec("s"), list)
		body, err := w.start("b").Body(t.Context(), "s", "acc", "i2")
		if err != nil || string(body) != string(list[2].Body) {
			t.Errorf("the body has %d bytes, %v", len(body), err)
		}
		long := Result{Item: "x", Outcome: Completed, Text: strings.Repeat("\x01t", 60<<10)}
		puts, err := listing(t.Context(), w.store, "other", 0, []Result{long, {Item: "y", Outcome: Abandoned}})
		if err != nil {
			t.Fatal(err)
		}
		for _, put := range puts {
			if len(put.Value) > 64<<10 {
				t.Errorf("a row of %d bytes", len(put.Value))
			}
		}
		if _, err := w.store.Commit(t.Context(), kept.Txn{Puts: puts}); err != nil {
			t.Fatal(err)
		}
		results, err := readResults(t.Context(), w.store, "other", 0)
		if err == nil {
			err = moveIn(t.Context(), w.store, results)
		}
		if err != nil || len(results) != 2 || results[0].Text != long.Text {
			t.Errorf("%d results, %v", len(results), err)
		}
		if second, err := readResults(t.Context(), w.store, "other", 1); err != nil || len(second) != 1 || second[0].Item != "y" {
			t.Errorf("from position 1: %v, %v", second, err)
		}
	})
}

// Rows of steps that nobody may ask for any more would fill the store.
func TestEndedStepsAreSwept(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, "e1")
		a := w.start("a")
		submit(t, a, spec("s"), items(2))
		readWhole(t, a, "s")
		if err := a.End(t.Context(), "s", "acc"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if _, err := readState(context.Background(), w.store, "s"); err != nil {
			t.Fatalf("gone too early: %v", err)
		}
		time.Sleep(time.Minute)
		for _, table := range []string{stateTable, itemsTable, resultTable} {
			if rows, _ := kept.ReadAll(t.Context(), w.store, table, "s"); len(rows) > 0 {
				t.Errorf("%d rows are left in %s", len(rows), table)
			}
		}
	})
}
