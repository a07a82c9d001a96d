package rollout

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/sample"
)

// runWithFaults runs one step to its end with faults injected into the first
// two VMs and none into a third, and checks everything that the trainer and the
// store show. It returns the calls of the first two VMs.
func runWithFaults(t *testing.T, faultsA, faultsB faultsByCall) (callsA, callsB []faultinject.Step) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, contract.Staleness{MaxVersions: 0, MaxSeconds: 3600})
		defer c.stop()
		a := c.start("vm-a", faultsA)
		b := c.start("vm-b", faultsB)
		c.start("vm-c", nil)
		d := testStep(3, 3)
		tr := newTrainer(c, "s", d)
		tr.dropsReplies = true
		tr.open(d)
		tr.finish()
		callsA, callsB = a.calls(), b.calls()
		// Calls that a paused VM had in progress take effect after the step's
		// end.
		time.Sleep(2 * longPause)
		checkStore(c, d)
		checkUsage(c, a.Killed() || b.Killed())
		if len(faultsA)+len(faultsB) == 0 && tr.tombstones == 0 {
			t.Fatal("no sample became stale, so the run does not cover withdrawal")
		}
	})
	return callsA, callsB
}

// checkStore checks the rows of a finished step: numbers without gaps, and one
// sample for each slot.
func checkStore(c *cluster, d sample.Definition) {
	c.t.Helper()
	s := store{tables: c.tables}
	r := stepRef{account: testAccount, step: "s"}
	progress, _, err := s.progress(c.t.Context(), r)
	if err != nil || !progress.Complete() {
		c.t.Fatalf("progress %+v, %v", progress, err)
	}
	batches, err := s.batches(c.t.Context(), r, 0, sample.MaxSlots)
	if err != nil {
		c.t.Fatal(err)
	}
	next := int64(1)
	slots := make(map[string]bool)
	for _, b := range batches {
		for _, got := range b.samples {
			if got.Number != next {
				c.t.Fatalf("number %d follows %d", got.Number, next-1)
			}
			next++
			if !got.Withdrawn && slots[got.Slot.Name()] {
				c.t.Fatalf("slot %s has two samples", got.Slot.Name())
			}
			slots[got.Slot.Name()] = slots[got.Slot.Name()] || !got.Withdrawn
		}
	}
	if next != progress.Committed+1 || len(slots) != d.Count() {
		c.t.Fatalf("%d numbers of %d, %d slots", next-1, progress.Committed, len(slots))
	}
}

// checkUsage checks that every numbered sample is billed once. Those that only a
// killed VM counted may be missing.
func checkUsage(c *cluster, killed bool) {
	c.t.Helper()
	s := store{tables: c.tables}
	progress, _, err := s.progress(c.t.Context(), stepRef{account: testAccount, step: "s"})
	if err != nil {
		c.t.Fatal(err)
	}
	got := c.billed()
	if got.Tokens != got.Requests*testTokens || got.Requests > progress.Committed || !killed && got.Requests != progress.Committed {
		c.t.Fatalf("usage is %+v for %d numbers, a VM was killed: %t", got, progress.Committed, killed)
	}
}

const (
	// shortPause is long enough for another VM to take over the step and work
	// on it.
	shortPause = testLeaseTerm + testLeaseTerm/4 + 2300*time.Millisecond
	// longPause is long enough for the other VM to finish the step.
	longPause = 4 * testLeaseTerm
	// lateDelay delays the effect of a call until its caller has timed out.
	lateDelay = 4700 * time.Millisecond
)

// faults lists the faults that are injected into each call.
var faults = []faultinject.Fault{
	{Kind: faultinject.LoseRequest},
	{Kind: faultinject.LoseReply},
	{Kind: faultinject.DelayEffect, Duration: lateDelay},
	{Kind: faultinject.KillBefore},
	{Kind: faultinject.KillAfter},
	{Kind: faultinject.PauseBefore, Duration: shortPause},
	{Kind: faultinject.PauseBefore, Duration: longPause},
	{Kind: faultinject.PauseAfter, Duration: shortPause},
	{Kind: faultinject.StoreDown, Duration: longPause},
	{Kind: faultinject.CutOff, Duration: longPause},
}

// At any of its calls to the store the owner's VM may die, lose a reply, lose
// its connection, or be paused until another VM owns the step as well. The
// trainer also loses replies, and new weights make samples stale. The trainer
// must still receive each slot's sample once, fresh, in numbers without gaps.
func TestFaultAtEveryCall(t *testing.T) {
	calls, _ := runWithFaults(t, nil, nil)
	t.Logf("a run without faults makes %d calls", len(calls))
	for at, call := range calls {
		for _, f := range faults {
			t.Run(fmt.Sprintf("%03d %s %s %s %s", at, call.Call, call.Subject, f.Kind, f.Duration), func(t *testing.T) {
				runWithFaults(t, faultsByCall{at: f}, nil)
			})
		}
	}
	t.Logf("matrix: steps: %d steps x %d faults, %d cases run", len(calls), len(faults), len(calls)*len(faults))
}

// A second VM takes over after a fault at a write of the first VM, and has a
// fault at one of its own writes.
func TestPairsOfFaultsAtWrites(t *testing.T) {
	calls, _ := runWithFaults(t, nil, nil)
	firsts := []faultinject.Fault{{Kind: faultinject.KillAfter}, {Kind: faultinject.PauseBefore, Duration: shortPause}}
	seconds := []faultinject.Fault{
		{Kind: faultinject.LoseReply},
		{Kind: faultinject.DelayEffect, Duration: lateDelay},
		{Kind: faultinject.KillAfter},
		{Kind: faultinject.PauseBefore, Duration: shortPause},
	}
	for _, first := range writeIndexes(calls) {
		for _, f := range firsts {
			faultsA := faultsByCall{first: f}
			_, callsB := runWithFaults(t, faultsA, nil)
			for _, second := range writeIndexes(callsB) {
				for _, g := range seconds {
					t.Run(fmt.Sprintf("%s at %d, then %s at %d", f.Kind, first, g.Kind, second), func(t *testing.T) {
						runWithFaults(t, faultsA, faultsByCall{second: g})
					})
				}
			}
		}
	}
}

// writeIndexes returns the indexes of the calls that write rows of the step.
func writeIndexes(calls []faultinject.Step) []int {
	var indexes []int
	for _, call := range calls {
		if call.Call == "commit" && !strings.HasPrefix(call.Subject, "lease/") {
			indexes = append(indexes, call.Index)
		}
	}
	return indexes
}
