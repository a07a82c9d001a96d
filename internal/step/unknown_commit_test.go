package step

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// setResultFaults injects faults into the next commits of results, one each.
func (cl *cluster) setResultFaults(faults ...memory.Fault) {
	var mu sync.Mutex
	cl.store.SetFault(func(txn rowstore.Txn) memory.Fault {
		mu.Lock()
		defer mu.Unlock()
		if len(faults) == 0 || txn.Puts == nil || txn.Puts[0].Key.Table != resultTable {
			return memory.NoFault
		}
		injected := faults[0]
		faults = faults[1:]
		return injected
	})
}

// checkResults checks the number of committed results, which must cover each position once, and
// their texts.
func (cl *cluster) checkResults(want, events int) {
	cl.t.Helper()
	rows, err := rowstore.ReadAll(cl.t.Context(), cl.store, resultTable, "s")
	if err != nil {
		cl.t.Fatal(err)
	}
	next := 0
	for _, row := range rows {
		results, first, err := decodeResults(row)
		if err != nil || first != next {
			cl.t.Errorf("row %s holds %d results from position %d, want %d; %v", row.Name, len(results), first, next, err)
		}
		next = first + len(results)
	}
	results, err := readAllResults(cl.t.Context(), cl.store, "s")
	if err != nil || len(results) != want {
		cl.t.Errorf("%d results are committed, %v; want %d", len(results), err, want)
	}
	checkTexts(cl.t, results, events)
}

// halvesBehaviour completes the texts of i0 and i1 at once and those of the other items after
// half a second or more.
func halvesBehaviour(item string, _ int) reply {
	r := goodReply
	if item > "i1" {
		r.gap = 200 * time.Millisecond
	}
	return r
}

// Guards against two rows of results from one position: the first batch's commit may still take
// effect when the next, longer one is committed.
func TestBatchOfUnknownOutcomeIsNotReplacedByALongerOne(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = halvesBehaviour
		a, b := cl.start("a"), cl.start("b")
		cl.setResultFaults(memory.EffectDelayed, memory.StorageFull, memory.StorageFull)
		submit(t, a, spec("s"), items(4))
		time.Sleep(3 * time.Second)
		cl.store.RunDelayed()
		cl.checkResults(4, 3)
		checkTexts(t, readUntilComplete(t, b, "s"), 3)
	})
}

// Guards against two rows of results from one position after a handover whose context ended during
// a commit.
func TestFlushOfUnknownOutcomeIsNotReplacedByALongerBatch(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t)
		a := cl.start("a")
		submit(t, a, spec("s"), items(2))
		r := a.runOf("s")
		result := func(i int) Result {
			item := r.items[i].ID
			return Result{Item: item, Outcome: Completed, Versions: []int64{1}, Text: textOf(item, 3)}
		}
		// The result is queued without a signal to commitLoop, so that only flush commits it.
		r.mu.Lock()
		r.list.queue(0, result(0))
		r.mu.Unlock()
		cl.setResultFaults(memory.EffectDelayed, memory.RequestLost, memory.RequestLost, memory.RequestLost)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		r.flush(ctx)
		r.finish(1, result(1))
		time.Sleep(2 * time.Second)
		cl.store.RunDelayed()
		cl.checkResults(2, 3)
	})
}

// Guards against results that stay uncommitted because the store refused the batch of the items
// that finished last.
func TestRefusedLastBatchIsCommittedLater(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		cl.setResultFaults(memory.StorageFull, memory.StorageFull, memory.StorageFull, memory.StorageFull)
		submit(t, a, spec("s"), items(4))
		time.Sleep(5 * time.Second)
		cl.checkResults(4, 3)
	})
}

// Guards against overlapping rows when another run has committed results under the same state row,
// in a batch that is shorter or longer.
func TestBatchIsRejectedIfItsPositionIsTaken(t *testing.T) {
	for name, taken := range map[string][]string{"shorter": {"i1"}, "longer": {"i1", "i3", "i2"}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1")
				cl.engines.behave[""] = halvesBehaviour
				a := cl.start("a")
				submit(t, a, spec("s"), items(4))
				var results []Result
				for _, item := range taken {
					results = append(results, Result{Item: item, Outcome: Completed, Versions: []int64{1}, Text: textOf(item, 3)})
				}
				cl.setRow(resultKey("s", len(results)-1), results)
				time.Sleep(3 * time.Second)
				cl.checkResults(4, 3)
			})
		})
	}
}

// Guards against transactions with more entries than the store accepts.
func TestCommitOfResultsFitsATransaction(t *testing.T) {
	for _, rows := range []int{1, 2, 38, 39, 40, 45} {
		puts := make([]rowstore.Put, rows)
		for i := range puts {
			puts[i].Key = resultKey("s", 7+i)
		}
		expected := endOfResults("s", 7, puts)
		if entries := 1 + len(expected) + len(puts); entries > txnMaxEntries || len(expected) < min(maxBatchResults, 99-rows) {
			t.Errorf("%d rows: %d entries, %d of them expect the absence of a row", rows, entries, len(expected))
		}
	}
}

// Guards against an item that is listed twice or never when commits of results fail in any way.
func TestResultsStayDisjointUnderCommitFaults(t *testing.T) {
	kinds := []memory.Fault{memory.NoFault, memory.AnswerLost, memory.EffectDelayed, memory.Refused, memory.RequestLost, memory.StorageFull}
	for seed := range uint64(300) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 42))
				cl := newCluster(t, "e1", "e2", "e3")
				gaps := make(map[string]time.Duration)
				for _, item := range items(10) {
					gaps[item.ID] = time.Duration(random.IntN(600)) * time.Millisecond
				}
				cl.engines.behave[""] = func(item string, _ int) reply {
					r := goodReply
					r.gap = gaps[item]
					return r
				}
				faults := make([]memory.Fault, 12)
				for i := range faults {
					faults[i] = kinds[random.IntN(len(kinds))]
				}
				cl.setResultFaults(faults...)
				a, b := cl.start("a"), cl.start("b")
				submit(t, a, spec("s"), items(10))
				leaveAt := random.IntN(12)
				for n := range 12 {
					time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
					if random.IntN(3) == 0 {
						cl.store.RunDelayed()
					}
					if n == leaveAt && seed%2 == 0 {
						ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
						a.Leave(ctx)
						cancel()
						cl.crash(a)
					}
				}
				cl.store.SetFault(nil)
				checkTexts(t, readUntilComplete(t, b, "s"), 3)
				cl.store.RunDelayed()
				cl.checkResults(10, 3)
			})
		})
	}
}
