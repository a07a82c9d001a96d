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
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// submit submits a step at a VM and fails the test on an error.
func submit(t *testing.T, v *testVM, s Spec, list []Item) {
	t.Helper()
	if err := v.Submit(t.Context(), s, list); err != nil {
		t.Fatal(err)
	}
}

func TestStepCompletes(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), items(30))
		checkTexts(t, readUntilComplete(t, b, "s"), 3)
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
	})
}

// The answer to a submission is lost on its way to the trainer, which submits the step again
// at another VM. A second step would generate everything twice.
func TestRepeatedSubmitCreatesOneStep(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), items(8))
		submit(t, b, spec("s"), items(8))
		submit(t, a, spec("s"), items(8))
		checkTexts(t, readUntilComplete(t, b, "s"), 3)
		for _, item := range items(8) {
			if n := cl.engines.count(item.ID); n != 1 {
				t.Errorf("item %s had %d attempts, want 1", item.ID, n)
			}
		}
	})
}

// The store stops answering and executes the commit of a submission seconds later, after the
// VM has reported an unknown outcome to the trainer. The step exists then: the VM must run it,
// and the trainer's repeated submission must find it.
func TestStepAcceptedLateRuns(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a, b := cl.start("a"), cl.start("b")
		cl.store.SetFault(func(rowstore.Txn) memory.Fault { return memory.EffectDelayed })
		err := a.Submit(t.Context(), spec("s"), items(4))
		if err == nil || fault.ExecutionOf(err) == fault.NotRun {
			t.Fatalf("Submit = %v, want an unknown outcome: the step may have been accepted", err)
		}
		cl.store.SetFault(nil)
		cl.store.RunDelayed()
		submit(t, b, spec("s"), items(4))
		checkTexts(t, readUntilComplete(t, b, "s"), 3)
	})
}

// The store is unavailable while a step is submitted. Items must run during the outage, so that
// the engines are not idle and the step is complete soon after the store is available again.
func TestItemsRunDuringStoreOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = func(string, int) reply {
			r := goodReply
			r.gap = 300 * time.Millisecond
			return r
		}
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		accepted := make(chan error, 1)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), items(4)) }()
		time.Sleep(5 * time.Second)
		cl.store.SetDown(false)
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

// The store stays unavailable after items of a submitted step have started. Submit must not
// report "not run", and the items must be canceled.
func TestSubmitReportsUnknownAfterEarlyItems(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = pacedBehaviour(1000, 100*time.Millisecond)
		a := cl.start("a")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		err := a.Submit(t.Context(), spec("s"), items(4))
		if err == nil || fault.ExecutionOf(err) == fault.NotRun {
			t.Errorf("Submit = %v, want an unknown outcome", err)
		}
		time.Sleep(time.Second)
		cl.engines.mu.Lock()
		defer cl.engines.mu.Unlock()
		if len(cl.engines.attempts) == 0 || cl.engines.active != 0 {
			t.Errorf("%d items ran, want more than 0; %d still run, want 0", len(cl.engines.attempts), cl.engines.active)
		}
	})
}

// Guards against a step for which no event names the owner, so that an operator can't find
// what delayed it. The acceptance of the step takes so long that its items start before it.
func TestEarlyRunEmitsStepOwned(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		accepted := make(chan error, 1)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), items(4)) }()
		time.Sleep(time.Second)
		cl.store.SetDown(false)
		if err := <-accepted; err != nil {
			t.Fatal(err)
		}
		if owned := a.Events.Select(event.Query{Step: "s", Numbers: []event.Number{event.StepOwned}}); len(owned) != 1 {
			t.Errorf("%d events name the owner of the step, want 1", len(owned))
		}
	})
}

// The same step is submitted at two VMs while the store is unavailable. Both run its items,
// but only one of them may commit results.
func TestOnlyOneEarlyRunCommitsResults(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		accepted := make(chan error, 2)
		for _, v := range []*testVM{a, b} {
			go func() { accepted <- v.Submit(t.Context(), spec("s"), items(6)) }()
		}
		time.Sleep(3 * time.Second)
		cl.store.SetDown(false)
		for range 2 {
			if err := <-accepted; err != nil {
				t.Error(err)
			}
		}
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
		checkTexts(t, readUntilComplete(t, b, "s"), 3)
	})
}

// submitThrice submits one step at the VMs a, b and c around an outage of the store. a and b
// start its items during the outage, a two seconds before b; c gets its copy after the outage.
// known says whether the items have expected lengths.
func submitThrice(t *testing.T, cl *cluster, list []Item, events int, known bool) (b, c *testVM) {
	cl.engines.behave[""] = pacedBehaviour(events, 350*time.Millisecond)
	if known {
		for i := range list {
			list[i].ExpectedTokens = float64(events)
		}
	}
	a := cl.start("a")
	b, c = cl.start("b"), cl.start("c")
	time.Sleep(time.Second)
	cl.store.SetDown(true)
	accepted := make(chan error, 3)
	submitAt := func(v *testVM) { go func() { accepted <- v.Submit(t.Context(), spec("s"), list) }() }
	submitAt(a)
	time.Sleep(2 * time.Second)
	submitAt(b)
	time.Sleep(1700 * time.Millisecond)
	cl.store.SetDown(false)
	submitAt(c)
	for range 3 {
		if err := <-accepted; err != nil {
			t.Error(err)
		}
	}
	return b, c
}

// Guards against a step that starts from zero after an outage although another VM has nearly
// all its texts. The trainer submits the step at one VM after another during the outage, and
// the last copy is accepted first.
func TestMostAdvancedEarlyRunClaimsStep(t *testing.T) {
	for _, known := range []bool{true, false} {
		bubble(t, func(t *testing.T) {
			cl := newCluster(t, "e1", "e2", "e3", "e4", "e5", "e6")
			const events = 10
			b, c := submitThrice(t, cl, items(6), events, known)
			time.Sleep(time.Second)
			results, _, err := c.Results(t.Context(), "s", "acc", 0, 0)
			if err != nil || len(results) != 6 {
				t.Errorf("%d results a second after the outage, %v; the first VM had nearly all texts", len(results), err)
			}
			checkTexts(t, readUntilComplete(t, b, "s"), events)
			state, err := readState(t.Context(), cl.store, "s")
			// b may have learned of the acceptance first and claimed the step before a did.
			if err != nil || state.Owner != "a" || state.Epoch != 2 && state.Epoch != 3 {
				t.Errorf("the step is owned by %s in epoch %d, %v; want a in epoch 2 or 3", state.Owner, state.Epoch, err)
			}
		})
	}
}

// Guards against the most advanced early run being stopped because a far less advanced one
// claimed the step after the first had read the state and before it committed its own claim.
func TestEarlyRunClaimsStepFromLessAdvancedOne(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		const events = 10
		cl.engines.behave[""] = pacedBehaviour(events, 350*time.Millisecond)
		list := items(6)
		for i := range list {
			list[i].ExpectedTokens = events
		}
		a := cl.start("a")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		accepted := make(chan error, 1)
		go func() { accepted <- a.Submit(t.Context(), spec("s"), list) }()
		time.Sleep(3 * time.Second)
		now, _ := cl.store.StoreNow()
		put := func(owner string, epoch int, made float64) stateRecord {
			state := State{Spec: spec("s"), Owner: owner, OwnerIncarnation: owner + "-1", Total: 6, Epoch: epoch, GeneratedShare: made, Nonce: owner}
			state.SubmittedAt = now
			value, err := encodeRow(state)
			if err != nil {
				t.Fatal(err)
			}
			cl.store.Set(stateKey("s"), string(value))
			rec, err := decodeState(cl.store.Row(stateKey("s")))
			if err != nil {
				t.Fatal(err)
			}
			return rec
		}
		seen := put("c", 1, 0)
		put("b", 2, 0.2)
		go a.runOf("s").early.claimOrStop(seen)
		time.Sleep(500 * time.Millisecond)
		cl.store.SetDown(false)
		if err := <-accepted; err != nil {
			t.Error(err)
		}
		checkTexts(t, readUntilComplete(t, a, "s"), events)
		state, err := readState(t.Context(), cl.store, "s")
		if err != nil || state.Owner != "a" || state.Epoch != 3 {
			t.Errorf("the step is owned by %s in epoch %d, %v; want a in epoch 3", state.Owner, state.Epoch, err)
		}
	})
}

// Guards against a handover that replaces the state of a claimed step by the one of the copy
// that was not accepted, which would lower the epoch.
func TestHandoverKeepsEpochOfClaimedStep(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2", "e3", "e4", "e5", "e6")
		const events = 20
		_, c := submitThrice(t, cl, items(6), events, true)
		time.Sleep(time.Second)
		claimed, err := readState(t.Context(), cl.store, "s")
		if err != nil || claimed.Epoch == 1 {
			t.Fatalf("the step is owned by %s in epoch %d, %v; want an epoch above 1", claimed.Owner, claimed.Epoch, err)
		}
		cl.vms[claimed.Owner].Leave(t.Context())
		handedOver, err := readState(t.Context(), cl.store, "s")
		// The next owner may have taken the step over already.
		if err != nil || handedOver.Owner == claimed.Owner || handedOver.Epoch < claimed.Epoch || handedOver.Owner != "" && handedOver.Epoch == claimed.Epoch {
			t.Errorf("the step is owned by %q in epoch %d after the handover, %v; it was claimed in epoch %d", handedOver.Owner, handedOver.Epoch, err, claimed.Epoch)
		}
		checkTexts(t, readUntilComplete(t, c, "s"), events)
	})
}

// Guards against objects that are never removed. A step that is too large for a row is
// submitted at two VMs, and the items of the copy that is not accepted would stay in the store.
func TestObjectsOfRejectedCopyAreRemoved(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		list := items(2)
		list[0].Body = bytes.Repeat([]byte("x"), rowLimit)
		var both sync.WaitGroup
		for _, v := range []*testVM{a, b} {
			both.Go(func() {
				if err := v.Submit(t.Context(), spec("s"), list); err != nil {
					t.Error(err)
				}
			})
		}
		both.Wait()
		time.Sleep(time.Second)
		state, err := readState(t.Context(), cl.store, "s")
		if names := cl.store.ObjectNames(); err != nil || len(state.Objects) == 0 || !slices.Equal(names, state.Objects) {
			t.Errorf("the store holds %v; the step names %v, %v", names, state.Objects, err)
		}
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
	})
}

// Guards against the loss of a step whose commit got no answer. When the commit is repeated,
// another VM has taken the step over. The copy looks rejected, but its objects hold the items.
func TestObjectsOfAcceptedCopyAreKept(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		list := items(2)
		list[0].Body = bytes.Repeat([]byte("x"), rowLimit)
		_, state, err := creationTxn(t.Context(), cl.store, State{Spec: spec("s"), Owner: "a", Epoch: 1, Total: 2}, list)
		if err != nil || len(state.Objects) == 0 {
			t.Fatalf("the step has the objects %v, %v", state.Objects, err)
		}
		takenOver := state
		takenOver.Owner, takenOver.Epoch = "b", 2
		value, err := encodeRow(takenOver)
		if err != nil {
			t.Fatal(err)
		}
		conflict := &rowstore.Conflict{Current: []rowstore.Row{{Key: stateKey("s"), Value: value, Version: 7}}}
		if err := a.handleSubmitOutcome(t.Context(), stateRecord{State: state}, list, &earlyRun{manager: a.Manager, state: state}, conflict); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if names := cl.store.ObjectNames(); !slices.Equal(names, state.Objects) {
			t.Errorf("the store holds %v, want the objects %v", names, state.Objects)
		}
	})
}

// The store is unavailable when the VM starts. No part of the step is stored or run, and
// Submit must report that.
func TestSubmitWithoutStoreReportsNotRun(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		a.Clock = unsetClock{}
		err := a.Submit(t.Context(), spec("s"), items(4))
		if fault.ExecutionOf(err) != fault.NotRun || fault.RetryAfterOf(err, 0) == 0 {
			t.Errorf("Submit = %v, want a failure with NotRun and a time for the retry", err)
		}
		time.Sleep(5 * time.Second)
		if n := cl.engines.count("i0"); n != 0 {
			t.Errorf("an item of a rejected step had %d attempts", n)
		}
	})
}

// A step is submitted at a VM that doesn't own the steps of its model. The VM that owns them
// must start it at once; otherwise every such step would be delayed.
func TestStepStartsAtPreferredOwner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.preferred = "b"
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		submit(t, a, spec("s"), items(4))
		time.Sleep(60 * time.Millisecond)
		if b.runOf("s") == nil || a.runOf("s") != nil {
			t.Error("the step does not run at the VM that owns the steps of its model")
		}
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
	})
}

// The preferred owner of a step died just before the submission, and no VM has detected it. The
// step must be taken over without waiting for its restart.
func TestStepOfDeadPreferredOwnerIsTakenOver(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.preferred = "b"
		a, b := cl.start("a"), cl.start("b")
		time.Sleep(time.Second)
		b.kill()
		submit(t, a, spec("s"), items(4))
		time.Sleep(time.Second)
		cl.crash(b)
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
	})
}

// Each of four groups has one long item, and the engines have slots for half of the items. A
// long item that is queued behind the short ones of other groups delays the whole step, and
// the trainer is idle meanwhile.
func TestLongItemsOfAllGroupsStartFirst(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const long, short, gap = 20, 3, 100 * time.Millisecond
		cl := newCluster(t, "e1", "e2")
		list := items(16)
		for i := range list {
			list[i].Group, list[i].ExpectedTokens = "g"+strconv.Itoa(i/4), short
			if i%4 == 0 {
				list[i].ExpectedTokens = long
			}
		}
		cl.engines.behave[""] = func(item string, _ int) reply {
			r := goodReply
			n, _ := strconv.Atoi(item[1:])
			r.events, r.gap = int(list[n].ExpectedTokens), gap
			return r
		}
		a := cl.start("a")
		started := time.Now()
		submit(t, a, spec("s"), list)
		readUntilComplete(t, a, "s")
		if took := time.Since(started); took > long*gap+3*commitDelay {
			t.Errorf("the step took %s, its longest item takes %s", took, long*gap)
		}
	})
}

// The longest item of a step runs on an engine that is a third slower than the others, and no
// other item is pending. Without a move, a quarter of the step's duration would be lost
// while faster engines are idle.
func TestLastItemsMoveToIdleFasterEngines(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const events = 100
		cl := newCluster(t, "e1", "e2")
		cl.engines.behave["e1"] = func(string, int) reply {
			return reply{status: http.StatusOK, version: 1, events: events, gap: 40 * time.Millisecond}
		}
		cl.engines.behave["e2"] = func(item string, _ int) reply {
			return reply{status: http.StatusOK, version: 1, events: events, gap: 30 * time.Millisecond}
		}
		a := cl.start("a")
		e2 := a.Roster.Upstreams("lm")[1]
		e2.NoteUnitTime(30*time.Millisecond, time.Now())
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
		checkTexts(t, readUntilComplete(t, a, "s"), events)
		if took := time.Since(started); took > 3500*time.Millisecond {
			t.Errorf("the step took %s", took)
		}
	})
}

// The owner's process is killed in the middle of a step. Another VM must complete the step, and
// committed results must keep their positions and texts.
func TestTakeoverAfterCrashKeepsResults(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = func(string, int) reply {
			r := goodReply
			r.gap = 100 * time.Millisecond
			return r
		}
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), items(20))
		time.Sleep(700 * time.Millisecond)
		before, _, err := b.Results(t.Context(), "s", "acc", 0, 0)
		if err != nil || len(before) == 0 || len(before) == 20 {
			t.Fatalf("%d results before the crash, %v", len(before), err)
		}
		cl.crash(a)
		after := readUntilComplete(t, b, "s")
		checkTexts(t, after, 3)
		for i, r := range before {
			if after[i].Item != r.Item || after[i].Text != r.Text {
				t.Errorf("position %d held item %s before the crash and holds item %s or another text now", i, r.Item, after[i].Item)
			}
		}
	})
}

// The owner is killed while the last item, a long one, is at its 30th event. If the item were
// generated again from its first event, the step would be delayed by the same time again.
func TestTakeoverResumesLongText(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = pacedBehaviour(60, 100*time.Millisecond)
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), items(1))
		time.Sleep(3 * time.Second)
		cl.crash(a)
		started := time.Now()
		checkTexts(t, readUntilComplete(t, b, "s"), 60)
		if took := time.Since(started); took > 5500*time.Millisecond {
			t.Errorf("the rest of the step took %s", took)
		}
	})
}

// A step ends while one of its groups is incomplete; the trainer submits that group again in
// the next step. The texts read so far must be used there if their weight versions are allowed.
func TestResubmittedGroupsResume(t *testing.T) {
	for _, c := range []struct {
		name       string
		minVersion int64
		attempts   int
	}{{"versions fit", 1, 1}, {"too old", 2, 2}} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1")
				version := int64(1)
				cl.engines.behave[""] = func(item string, _ int) reply {
					r := goodReply
					r.version = version
					if item == "i3" {
						r.events, r.gap = 40, 100*time.Millisecond
					}
					return r
				}
				a := cl.start("a")
				submit(t, a, spec("s1"), items(4))
				time.Sleep(2 * time.Second)
				if err := a.End(t.Context(), "s1", "acc"); err != nil {
					t.Fatal(err)
				}
				for _, e := range a.Roster.Upstreams("lm") {
					e.NoteVersion("m", 2)
				}
				version = 2
				next := spec("s2")
				next.MinVersion = c.minVersion
				submit(t, a, next, items(4)[2:])
				for _, r := range readUntilComplete(t, a, "s2") {
					if r.Item == "i3" && (len(strings.Split(r.Text, "\n")) != 40 || c.attempts == 1 && r.Versions[0] != 1 || c.attempts == 2 && len(r.Versions) != 1) {
						t.Errorf("the resubmitted item has the versions %v and %d events", r.Versions, len(strings.Split(r.Text, "\n")))
					}
				}
				if n := cl.engines.count("i2"); n != c.attempts {
					t.Errorf("the finished item of the resubmitted group had %d attempts, want %d", n, c.attempts)
				}
			})
		})
	}
}

// The owner freezes, another VM takes over, and then the first owner continues with finished
// results that are not committed. If it could commit them, items would have two results.
func TestFrozenOwnerCommitsNoResults(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a, b := cl.start("a"), cl.start("b")
		cl.store.SetFault(func(txn rowstore.Txn) memory.Fault {
			if len(txn.Puts) > 0 && txn.Puts[0].Key.Table == resultTable {
				return memory.EffectDelayed
			}
			return memory.NoFault
		})
		submit(t, a, spec("s"), items(4))
		time.Sleep(300 * time.Millisecond)
		cl.mu.Lock()
		cl.dead["a"] = true
		cl.mu.Unlock()
		cl.store.SetFault(nil)
		results := readUntilComplete(t, b, "s")
		cl.store.RunDelayed()
		checkTexts(t, results, 3)
		reread := readUntilComplete(t, b, "s")
		if len(reread) != 4 {
			t.Errorf("%d results after the late commits, want 4", len(reread))
		}
	})
}

// All VMs lose power at once, right after a step was accepted. The first VM that starts again
// must continue the step.
func TestAcceptedStepSurvivesLossOfAllVMs(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		submit(t, a, spec("s"), items(6))
		cl.crash(a)
		time.Sleep(time.Second)
		checkTexts(t, readUntilComplete(t, cl.start("c"), "s"), 3)
	})
}

// Guards against steps that are delayed after a power failure: the restarted VM knows that its
// previous incarnation is dead, while the VMs that rank before it still consider it alive.
func TestRestartedOwnerResumesAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = pacedBehaviour(30, 50*time.Millisecond)
		cl.start("a")
		owner := cl.start("b")
		submit(t, owner, spec("s"), items(4))
		time.Sleep(300 * time.Millisecond)
		owner.kill()
		owner = cl.startIncarnation("b", "b-2")
		began := time.Now()
		for owner.runOf("s") == nil && time.Since(began) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took >= takeoverRankDelay {
			t.Errorf("the owner resumes the step %s after its restart", took)
		}
	})
}

// A VM that shuts down hands its steps over, and another VM runs them without waiting until
// the first one is detected as dead.
func TestHandover(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = func(string, int) reply {
			r := goodReply
			r.gap = 100 * time.Millisecond
			return r
		}
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), items(12))
		time.Sleep(350 * time.Millisecond)
		// A VM that shuts down bounds its handover and cancels the context afterwards.
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		a.Leave(ctx)
		cancel()
		// The VM that ranks second waits for takeoverRankDelay, since the leaving VM is still
		// ranked in this test.
		time.Sleep(takeoverRankDelay + 300*time.Millisecond)
		if b.runOf("s") == nil {
			t.Error("VM b does not run the step after the handover")
		}
		checkTexts(t, readUntilComplete(t, b, "s"), 3)
	})
}

// The trainer ends a step at a VM that doesn't own it. The owner must cancel the items, since
// their results are of no use any more.
func TestEndCancelsItemsAtOwner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.engines.behave[""] = pacedBehaviour(100, 100*time.Millisecond)
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), items(8))
		time.Sleep(500 * time.Millisecond)
		if err := b.End(t.Context(), "s", "acc"); err != nil {
			t.Fatal(err)
		}
		if err := b.End(t.Context(), "s", "acc"); err != nil {
			t.Errorf("the repeated End fails: %v", err)
		}
		time.Sleep(time.Second)
		cl.engines.mu.Lock()
		defer cl.engines.mu.Unlock()
		if cl.engines.active != 0 {
			t.Errorf("%d items still run a second after the end", cl.engines.active)
		}
	})
}

// The owner has no connection to the store when the step ends, and detects the end only at its
// next commit. The store must reject that commit.
func TestResultsAfterEndAreRejected(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t)
		b := cl.start("b")
		submit(t, b, spec("s"), items(4))
		rec, _ := b.lookUp("s")
		if err := b.End(t.Context(), "s", "acc"); err != nil {
			t.Fatal(err)
		}
		puts, err := resultPuts(t.Context(), cl.store, "s", 0, []Result{{Item: "i0", Outcome: Completed}})
		if err != nil {
			t.Fatal(err)
		}
		_, err = cl.store.Commit(t.Context(), rowstore.Txn{Puts: puts, Expected: []rowstore.Expectation{{Key: stateKey("s"), Version: rec.version}}})
		if err == nil {
			t.Error("results were committed after the end of the step")
		}
	})
}

// An engine closes a stream in the middle of a text. Another attempt must resume after the last
// complete event, and the text must have no missing and no repeated event.
func TestInterruptedTextResumes(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.engines.behave[""] = func(_ string, n int) reply {
			r := goodReply
			if n == 1 {
				r.breakAfter = 2
			}
			return r
		}
		a := cl.start("a")
		submit(t, a, spec("s"), items(4))
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
		cl.engines.mu.Lock()
		defer cl.engines.mu.Unlock()
		if len(cl.engines.resumed) != 4 || !strings.HasSuffix(cl.engines.resumed[0], " after 2") {
			t.Errorf("the resumed requests are %v, want 4 after event 2", cl.engines.resumed)
		}
	})
}

// An engine omits an event. Without a check of the event IDs the text would seem complete.
func TestMissingEventIsDetected(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = func(_ string, n int) reply {
			r := goodReply
			if n == 1 {
				r.skip = 2
			}
			return r
		}
		a := cl.start("a")
		submit(t, a, spec("s"), items(2))
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
	})
}

// An engine has older weights than the platform's list says. Its samples are older than the
// contract allows and must not be committed.
func TestResultsOfStaleWeightsAreDiscarded(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.engines.behave["e1"] = func(string, int) reply {
			r := goodReply
			r.version = 4
			return r
		}
		cl.engines.behave["e2"] = func(string, int) reply {
			r := goodReply
			r.version = 6
			return r
		}
		for i := range cl.instances {
			cl.instances[i].Versions = map[string]int64{"m": 5}
		}
		a := cl.start("a")
		s := spec("s")
		s.MinVersion = 5
		submit(t, a, s, items(6))
		results := readUntilComplete(t, a, "s")
		checkTexts(t, results, 3)
		for _, r := range results {
			if len(r.Versions) != 1 || r.Versions[0] != 6 {
				t.Errorf("item %s names the versions %v", r.Item, r.Versions)
			}
		}
	})
}

// The weights change while a text is generated. The result must name both versions.
func TestResultNamesAllWeightVersions(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = func(_ string, n int) reply {
			r := goodReply
			r.changeAt = 2
			return r
		}
		a := cl.start("a")
		submit(t, a, spec("s"), items(2))
		for _, r := range readUntilComplete(t, a, "s") {
			if len(r.Versions) != 2 || r.Versions[0] != 1 || r.Versions[1] != 2 {
				t.Errorf("item %s names the versions %v", r.Item, r.Versions)
			}
		}
	})
}

// The weights change while a text is generated, and the step requires one version for each
// sample. The text must be generated again.
func TestSingleVersionStepRetriesMixedText(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = func(_ string, n int) reply {
			r := goodReply
			if n == 1 {
				r.changeAt = 2
			} else {
				r.version = 2
			}
			return r
		}
		a := cl.start("a")
		s := spec("s")
		s.SingleVersion = true
		submit(t, a, s, items(2))
		for _, r := range readUntilComplete(t, a, "s") {
			if len(r.Versions) != 1 || r.Versions[0] != 2 {
				t.Errorf("item %s names the versions %v", r.Item, r.Versions)
			}
		}
	})
}

// An item that fails at every attempt must be abandoned, or it would use slots forever. An
// item that the engine reports as impossible must not be retried.
func TestFailingItemsAreAbandoned(t *testing.T) {
	for _, c := range []struct {
		name     string
		status   int
		attempts int
	}{
		{"fails each time", http.StatusInternalServerError, 3},
		{"impossible", http.StatusUnprocessableEntity, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1")
				cl.engines.behave[""] = func(item string, _ int) reply {
					r := goodReply
					if item == "i1" {
						r.status = c.status
					}
					return r
				}
				a := cl.start("a")
				submit(t, a, spec("s"), items(2))
				for _, r := range readUntilComplete(t, a, "s") {
					if want := map[string]Outcome{"i0": Completed, "i1": Abandoned}[r.Item]; r.Outcome != want {
						t.Errorf("item %s is %s", r.Item, r.Outcome)
					}
				}
				if n := cl.engines.count("i1"); n != c.attempts {
					t.Errorf("the item had %d attempts, want %d", n, c.attempts)
				}
			})
		})
	}
}

// An item fails at every attempt, a second after its start, and its owner dies after the second
// failure. The new owner must not count from zero: after a few changes of owner the item would
// have had far more attempts than its route allows.
func TestTakeoverKeepsFailureCount(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = func(item string, _ int) reply {
			r := goodReply
			if item == "i1" {
				time.Sleep(time.Second)
				r.status = http.StatusInternalServerError
			}
			return r
		}
		a, b := cl.start("a"), cl.start("b")
		submit(t, a, spec("s"), items(2))
		time.Sleep(2900 * time.Millisecond)
		cl.crash(a)
		for _, r := range readUntilComplete(t, b, "s") {
			if r.Item == "i1" && r.Outcome != Abandoned {
				t.Errorf("the item is %s", r.Outcome)
			}
		}
		// Two failures, the attempt that was interrupted by the owner's death, and one more.
		if n := cl.engines.count("i1"); n > 4 {
			t.Errorf("the item had %d attempts, want at most 4", n)
		}
	})
}

// A failure domain loses the connection to all engines. The items of its steps must be retried
// with a growing backoff: otherwise the VM would do little but retry, and the engines would get
// a burst of connections once they are reachable again.
func TestInterruptedItemsBackOff(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		reachableAt := time.Now().Add(6 * time.Second)
		cl.engines.behave[""] = func(string, int) reply {
			if time.Now().Before(reachableAt) {
				return reply{}
			}
			return goodReply
		}
		a := cl.start("a")
		submit(t, a, spec("s"), items(8))
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
		if late := time.Since(reachableAt); late > 1500*time.Millisecond {
			t.Errorf("the step was complete %s after the engines were reachable again", late)
		}
		for _, item := range items(8) {
			if n := cl.engines.count(item.ID); n > 16 {
				t.Errorf("item %s had %d attempts in 6 s", item.ID, n)
			}
		}
	})
}

// Items finish one after another for a while. Committed one by one, they would cost the store a
// transaction each, in addition to those of all other steps.
func TestResultsAreCommittedInBatches(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2", "e3", "e4")
		cl.engines.behave[""] = func(item string, _ int) reply {
			r := goodReply
			n, _ := strconv.Atoi(item[1:])
			r.gap = time.Duration(100+10*n) * time.Millisecond
			return r
		}
		commits := 0
		cl.store.SetFault(func(txn rowstore.Txn) memory.Fault {
			if txn.Puts[0].Key.Table == resultTable {
				commits++
				time.Sleep(12 * time.Millisecond)
			}
			return memory.NoFault
		})
		a := cl.start("a")
		submit(t, a, spec("s"), items(16))
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
		if commits > 8 {
			t.Errorf("16 results that finished within 0.5 s took %d commits", commits)
		}
	})
}

// No engine accepts an item until the deadline of the step. The item must be abandoned then,
// but not before.
func TestItemsAreAbandonedOnlyAtDeadline(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = func(string, int) reply {
			return reply{status: http.StatusServiceUnavailable, notRun: true}
		}
		a := cl.start("a")
		submit(t, a, spec("s"), items(2))
		time.Sleep(39 * time.Second)
		if results, _, _ := a.Results(t.Context(), "s", "acc", 0, 0); len(results) != 0 {
			t.Fatalf("%d items were abandoned before the deadline", len(results))
		}
		time.Sleep(3 * time.Second)
		results, _, err := a.Results(t.Context(), "s", "acc", 0, 0)
		if err != nil || len(results) != 2 || results[0].Outcome != Abandoned {
			t.Errorf("after the deadline: %v, %v", results, err)
		}
	})
}

// An engine stops responding without closing its streams. Its items must move to another
// engine; otherwise they would delay the step until its deadline.
func TestItemsMoveFromUnresponsiveEngine(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		cl.engines.behave["e1"] = func(string, int) reply {
			r := goodReply
			r.gap = time.Hour
			return r
		}
		a := cl.start("a")
		submit(t, a, spec("s"), items(4))
		started := time.Now()
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
		if took := time.Since(started); took > 3*time.Second {
			t.Errorf("the step took %s", took)
		}
	})
}

// A VM is asked for a step that it does not know while the store is unavailable. It must not
// report the step as unknown: the trainer would submit the step again from the start.
func TestStepUnknownRequiresStoreAnswer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		cl.store.SetDown(true)
		_, _, err := a.Results(t.Context(), "s", "acc", 0, 0)
		if fault.Is[*fault.StepUnknown](err) || err == nil {
			t.Errorf("while the store is unavailable: %v", err)
		}
		cl.store.SetDown(false)
		if _, _, err := a.Results(t.Context(), "s", "acc", 0, 0); !fault.Is[*fault.StepUnknown](err) {
			t.Errorf("after the store answered that there is no such step: %v", err)
		}
	})
}

// Another client account requests a step whose ID it has guessed.
func TestStepsOfOtherAccountsAreUnknown(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		submit(t, a, spec("s"), items(2))
		if _, _, err := a.Results(t.Context(), "s", "other", 0, 0); !fault.Is[*fault.StepUnknown](err) {
			t.Errorf("results: %v", err)
		}
		if _, _, err := a.Body(t.Context(), "s", "other", "i0"); !fault.Is[*fault.StepUnknown](err) {
			t.Errorf("body: %v", err)
		}
		if err := a.End(t.Context(), "s", "other"); !fault.Is[*fault.StepUnknown](err) {
			t.Errorf("end: %v", err)
		}
	})
}

// Items and texts that are larger than a row or a transaction must be read back unchanged, also
// by a VM that reads them from the store.
func TestLargeItemsAndTexts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		list := items(4)
		list[2].Body = []byte(strings.Repeat("\x00b", 900<<10))
		submit(t, a, spec("s"), list)
		body, _, err := cl.start("b").Body(t.Context(), "s", "acc", "i2")
		if err != nil || string(body) != string(list[2].Body) {
			t.Errorf("the body has %d bytes, %v", len(body), err)
		}
		long := Result{Item: "x", Outcome: Completed, Text: strings.Repeat("\x01t", 60<<10)}
		puts, err := resultPuts(t.Context(), cl.store, "other", 0, []Result{long, {Item: "y", Outcome: Abandoned}})
		if err != nil {
			t.Fatal(err)
		}
		for _, put := range puts {
			if len(put.Value) > 64<<10 {
				t.Errorf("a row has %d bytes, more than 64 KiB", len(put.Value))
			}
		}
		if _, err := cl.store.Commit(t.Context(), rowstore.Txn{Puts: puts}); err != nil {
			t.Fatal(err)
		}
		results, err := readResults(t.Context(), cl.store, "other", 0)
		if err == nil {
			err = loadOffloadedTexts(t.Context(), cl.store, results)
		}
		if err != nil || len(results) != 2 || results[0].Text != long.Text {
			t.Errorf("%d results, %v", len(results), err)
		}
		if second, err := readResults(t.Context(), cl.store, "other", 1); err != nil || len(second) != 1 || second[0].Item != "y" {
			t.Errorf("from position 1: %v, %v", second, err)
		}
	})
}

// The rows of ended steps must be removed after the retention period, or they would fill the
// store.
func TestExpiredStepsAreRemoved(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		submit(t, a, spec("s"), items(2))
		readUntilComplete(t, a, "s")
		if err := a.End(t.Context(), "s", "acc"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if _, err := readState(context.Background(), cl.store, "s"); err != nil {
			t.Fatalf("the step was removed too early: %v", err)
		}
		time.Sleep(time.Minute)
		for _, table := range []string{stateTable, itemsTable, resultTable} {
			if rows, _ := rowstore.ReadAll(t.Context(), cl.store, table, "s"); len(rows) > 0 {
				t.Errorf("%d rows are left in table %s", len(rows), table)
			}
		}
	})
}
