package rowstore_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

var key = rowstore.Key{Table: "t", Part: "p", Name: "row"}

// createRow returns a transaction that creates the row key with a value.
func createRow(value string) rowstore.Txn {
	return rowstore.Txn{
		Expected: []rowstore.Expectation{{Key: key}},
		Puts:     []rowstore.Put{{Key: key, Value: []byte(value)}},
	}
}

// firstCommit returns a fault injector that affects only the first commit.
func firstCommit(injected memory.Fault) func(rowstore.Txn) memory.Fault {
	done := false
	return func(rowstore.Txn) memory.Fault {
		if done {
			return memory.NoFault
		}
		done = true
		return injected
	}
}

// Guards against a writer that takes its own row for that of another writer and reports a
// conflict for a committed transaction. The store runs the commit, the answer is lost, and
// the retry is refused.
func TestRetriedCommitRecognizesItsOwnRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFault(firstCommit(memory.AnswerLost))
		version, err := rowstore.CommitConfirmed(t.Context(), store, createRow("mine"))
		if err != nil || version != 1 {
			t.Errorf("the commit returned version %d, error %v; want version 1 and no error", version, err)
		}
	})
}

// Guards against a transaction that takes effect twice. The first copy gets no answer, its
// retry commits, another writer changes the row, and then the store runs the first copy.
func TestDelayedCopyHasNoSecondEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFault(firstCommit(memory.EffectDelayed))
		if _, err := rowstore.CommitConfirmed(t.Context(), store, createRow("mine")); err != nil {
			t.Fatal(err)
		}
		store.Set(key, "later")
		store.RunDelayed()
		page, _ := store.Read(t.Context(), "t", "p", "", "")
		if got := string(page.Rows[0].Value); got != "later" {
			t.Errorf("the row has the value %q after the delayed copy, want that of the later write", got)
		}
	})
}

// Guards against two processes that both consider themselves the owner of a row. The request
// of a commit is lost, and another writer creates the row before the retry: the retry has to
// report a conflict.
func TestRetriedCommitReportsTheRowOfAnotherWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFault(firstCommit(memory.RequestLost))
		store.Set(key, "theirs")
		_, err := rowstore.CommitConfirmed(t.Context(), store, createRow("mine"))
		var conflict *rowstore.Conflict
		if !errors.As(err, &conflict) || string(conflict.Row(key).Value) != "theirs" {
			t.Errorf("the commit failed with %v, want a conflict with the other writer's row", err)
		}
	})
}

// Guards against a commit that is reported as not executed although one of its copies may
// have taken effect. The store refuses all attempts, or all but one that gets no answer.
func TestEffectIsUnknownOnlyAfterALostRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  []memory.Fault
		unknown bool
	}{
		{"all refused", []memory.Fault{memory.Refused, memory.Refused, memory.Refused}, false},
		{"one lost", []memory.Fault{memory.Refused, memory.RequestLost, memory.Refused}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, n := memory.New(), 0
				store.SetFault(func(rowstore.Txn) memory.Fault {
					injected := memory.Refused
					if n < len(c.faults) {
						injected = c.faults[n]
					}
					n++
					return injected
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := rowstore.CommitConfirmed(ctx, store, createRow("mine"))
				var unavailable *fault.StoreUnavailable
				if !errors.As(err, &unavailable) || unavailable.EffectUnknown != c.unknown {
					t.Errorf("the commit failed with %v, want an unavailable store with EffectUnknown %v", err, c.unknown)
				}
			})
		})
	}
}

// startWatcher runs a watcher until the test ends. The returned function gives the value of
// the row that the watcher delivered last.
func startWatcher(t *testing.T, store *memory.Store) func() string {
	var seen string
	apply := func(rows []rowstore.Row) {
		for _, row := range rows {
			seen = string(row.Value)
		}
	}
	w := rowstore.Watcher{Store: store, Table: "t", Part: "p", PollTimeout: time.Second, Replace: apply, Apply: apply}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return func() string {
		synctest.Wait()
		return seen
	}
}

// Guards against a change that a watcher never sees. The store drops its history after the
// change; a watcher that only continued from the newest version would miss it, and a withdrawn
// key would stay valid.
func TestWatcherReadsInFullAfterLossOfHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Set(key, "one")
		seen := startWatcher(t, store)
		if got := seen(); got != "one" {
			t.Fatalf("the watcher delivered %q, want the first value", got)
		}
		store.SetDown(true)
		time.Sleep(3 * time.Second)
		store.Set(key, "two")
		store.TruncateHistory()
		store.SetDown(false)
		time.Sleep(time.Second)
		if got := seen(); got != "two" {
			t.Errorf("the watcher delivered %q last, want the second value", got)
		}
	})
}

// Guards against a false report of an outage. A process that ends cancels its watches; the
// failed reads are no outage of the store, and reporting one would mislead the analysis of a
// failure at that time.
func TestStoppedWatcherReportsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		lost := false
		w := rowstore.Watcher{Store: store, Table: "t", Part: "p", PollTimeout: time.Second, Replace: func([]rowstore.Row) {}, OnOutage: func(error) { lost = true }}
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(300 * time.Millisecond)
		cancel()
		synctest.Wait()
		if lost {
			t.Error("the watcher reported an outage after its context ended")
		}
	})
}

// noChanges is a store that answers calls for changes without rows, whatever has changed.
type noChanges struct{ *memory.Store }

func (s noChanges) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (rowstore.Page, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return rowstore.Page{Version: after}, nil
}

// Guards against a VM that uses an old configuration for ever. Its long polls succeed but
// return no changes; only a periodic full read shows them.
func TestWatcherReadsInFullPeriodically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Set(key, "one")
		var seen string
		apply := func(rows []rowstore.Row) { seen = string(rows[len(rows)-1].Value) }
		w := rowstore.Watcher{Store: noChanges{store}, Table: "t", Part: "p", PollTimeout: time.Second, Replace: apply, Apply: apply}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		synctest.Wait()
		store.Set(key, "two")
		time.Sleep(25 * time.Second)
		synctest.Wait()
		if seen != "two" {
			t.Errorf("the watcher delivered %q last, want the second value", seen)
		}
	})
}

// partitionAfterList is a store in which another writer creates a row of a new partition
// right after the partitions were listed.
type partitionAfterList struct {
	*memory.Store
	key rowstore.Key
}

func (s partitionAfterList) Parts(ctx context.Context, table, after string) ([]string, bool, error) {
	partitions, more, err := s.Store.Parts(ctx, table, after)
	s.Set(s.key, "new")
	return partitions, more, err
}

// Guards against a partition that a watcher does not see until the next full read. It is
// created during a full read, after the partitions were listed.
func TestWatcherSeesAPartitionCreatedDuringAFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Set(key, "one")
		added := rowstore.Key{Table: key.Table, Part: key.Part + " later", Name: key.Name}
		seen := make(map[string]bool)
		apply := func(rows []rowstore.Row) {
			for _, row := range rows {
				seen[row.Part] = true
			}
		}
		w := rowstore.Watcher{Store: partitionAfterList{store, added}, Table: "t", AllParts: true, PollTimeout: time.Second, Replace: apply, Apply: apply}
		go w.Run(t.Context())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if !seen[key.Part] || !seen[added.Part] {
			t.Errorf("the watcher delivered rows of the partitions %v, want both partitions", seen)
		}
	})
}

// Guards against leases whose every renewal fails. Leases expect a version that counts the
// writes of a row, while the store's versions come from one counter over all rows.
func TestTablesVersionCountsWritesOfARow(t *testing.T) {
	store := memory.New()
	tables := rowstore.NewTables(store, "lease")
	for n := uint64(0); n < 3; n++ {
		store.Set(key, "noise")
		txn := platformapi.Txn{
			Nonce:         platformapi.NewNonce(),
			Preconditions: []platformapi.Precondition{{Key: "a", Version: n}},
			Writes:        []platformapi.Write{{Key: "a", Value: []byte("x")}},
		}
		if err := tables.Commit(t.Context(), txn); err != nil {
			t.Fatalf("write %d: %v", n+1, err)
		}
		row, err := tables.Get(t.Context(), "a")
		if err != nil || row.Version != n+1 || row.Nonce != txn.Nonce {
			t.Fatalf("after the write the row is %+v, error %v", row, err)
		}
	}
	err := tables.Commit(t.Context(), platformapi.Txn{
		Preconditions: []platformapi.Precondition{{Key: "a", Version: 1}},
		Writes:        []platformapi.Write{{Key: "a"}},
	})
	if !fault.Is[*fault.PreconditionFailed](err) {
		t.Errorf("a write that expects an old version failed with %v, want a failed precondition", err)
	}
}

// Guards against a VM that overwrites the lease of another VM. The other VM writes the lease
// between two writes of this VM, so that the version cached here is out of date.
func TestTablesRefuseToOverwriteAnotherVM(t *testing.T) {
	store := memory.New()
	own, other := rowstore.NewTables(store, "lease"), rowstore.NewTables(store, "lease")
	write := func(tables *rowstore.Tables, version uint64) error {
		return tables.Commit(t.Context(), platformapi.Txn{
			Preconditions: []platformapi.Precondition{{Key: "a", Version: version}},
			Writes:        []platformapi.Write{{Key: "a", Value: []byte("x")}},
		})
	}
	if err := write(own, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := other.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	if err := write(other, 1); err != nil {
		t.Fatal(err)
	}
	if err := write(own, 1); !fault.Is[*fault.PreconditionFailed](err) {
		t.Errorf("the write over that of another VM failed with %v, want a failed precondition", err)
	}
}

// countingStore counts the calls for changes and delays each by a few milliseconds.
type countingStore struct {
	*memory.Store
	calls atomic.Int64
}

func (c *countingStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (rowstore.Page, error) {
	c.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
	return c.Store.Changes(ctx, table, after, wait)
}

// Guards against watches that overload the store. Thousands of upstreams renew their entries,
// so the list changes every few milliseconds. A VM that polls again after each answer makes a
// hundred reads a second; with 300 VMs the store refuses most calls of all VMs, and edits and
// steps make no progress. A single change must still be seen at once.
func TestWatcherLimitsPollsOfABusyTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{Store: memory.New()}
		var rows atomic.Int64
		apply := func(page []rowstore.Row) { rows.Add(int64(len(page))) }
		w := rowstore.Watcher{
			Store: store, Table: "t", Part: "p", PollTimeout: time.Second, Replace: apply, Apply: apply,
			MinPollInterval: func() time.Duration { return 200 * time.Millisecond },
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		store.Set(key, "alone")
		time.Sleep(10 * time.Millisecond)
		if n := rows.Load(); n != 1 {
			t.Errorf("the watcher delivered %d rows 10 ms after a single change, want 1", n)
		}
		store.calls.Store(0)
		for range 1000 {
			store.Set(key, "again")
			time.Sleep(2 * time.Millisecond)
		}
		if n := store.calls.Load(); n > 11 {
			t.Errorf("the watcher polled %d times in 2 s of changes, want at most 11", n)
		}
		time.Sleep(300 * time.Millisecond)
		if n := rows.Load(); n != 1001 {
			t.Errorf("the watcher delivered %d of 1001 changes", n)
		}
	})
}

// Guards against a herd of full reads at the return of the store: each VM would read every page
// of every table at once. What changed during the outage must still be seen.
func TestWatcherContinuesWithoutAFullReadAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := new(atomic.Int64)
		store := readCounter{memory.New(), reads}
		store.Set(key, "one")
		var seen string
		apply := func(rows []rowstore.Row) { seen = string(rows[len(rows)-1].Value) }
		w := rowstore.Watcher{Store: store, Table: key.Table, Part: key.Part, PollTimeout: time.Second, Replace: apply, Apply: apply}
		go w.Run(t.Context())
		time.Sleep(2 * time.Second)
		store.SetDown(true)
		time.Sleep(5 * time.Second)
		store.SetDown(false)
		store.Set(key, "two")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if seen != "two" || reads.Load() != 1 {
			t.Errorf("the watcher delivered %q last, after %d full reads; want the second value and one read", seen, reads.Load())
		}
	})
}

// readCounter counts the reads of partitions.
type readCounter struct {
	*memory.Store
	reads *atomic.Int64
}

func (s readCounter) Read(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
	s.reads.Add(1)
	return s.Store.Read(ctx, table, partition, from, to)
}

// Guards against full reads whose calls grow with all partitions that a table retains, each
// of them made by every VM of the fleet.
func TestRepeatedFullReadSkipsPartitionsThatNoLongerChange(t *testing.T) {
	const changing = 5
	for _, retained := range []int{50, 100, 200} {
		synctest.Test(t, func(t *testing.T) {
			store := readCounter{memory.New(), new(atomic.Int64)}
			known := make(map[string]bool)
			for i := range retained {
				store.Set(rowstore.Key{Table: "t", Part: fmt.Sprintf("p%03d", i), Name: "row"}, "value")
			}
			isFinal := func(partition string) bool { return known[partition] && partition >= fmt.Sprintf("p%03d", changing) }
			w := rowstore.Watcher{
				Store: store, Table: "t", AllParts: true, PollTimeout: time.Second, SkipPart: isFinal,
				Apply: func([]rowstore.Row) {},
				Replace: func(rows []rowstore.Row) {
					for _, row := range rows {
						known[row.Part] = true
					}
				},
			}
			go w.Run(t.Context())
			synctest.Wait()
			if first := store.reads.Load(); first != int64(retained)+1 {
				t.Errorf("the first full read of %d partitions made %d reads", retained, first)
			}
			store.reads.Store(0)
			time.Sleep(25 * time.Second)
			synctest.Wait()
			if repeated := store.reads.Load(); repeated != changing+1 {
				t.Errorf("a repeated full read of %d partitions, %d of which still change, made %d reads", retained, changing, repeated)
			}
		})
	}
}

// fullStore is a store that becomes full: it refuses every commit after the first.
type fullStore struct {
	*memory.Store
	commits int
}

func (s *fullStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	s.commits++
	if s.commits > 1 {
		return 0, errors.WithStack(&fault.PlatformRefused{Operation: "commit", Status: 507})
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against a caller that is told that nothing was done although a copy of the commit may
// have taken effect: the first copy gets no answer, and the store refuses its retry.
func TestRefusedRetryLeavesTheEffectUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fullStore{Store: memory.New()}
		store.SetFault(firstCommit(memory.EffectDelayed))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := rowstore.CommitConfirmed(ctx, store, createRow("mine"))
		var unavailable *fault.StoreUnavailable
		if !errors.As(err, &unavailable) || !unavailable.EffectUnknown {
			t.Errorf("the commit failed with %v, want one whose effect is unknown", err)
		}
		store.RunDelayed()
		if row := store.Row(key); string(row.Value) != "mine" {
			t.Errorf("the row has the value %q, want that of the late copy", row.Value)
		}
		_, err = rowstore.CommitConfirmed(t.Context(), store, createRow("mine"))
		if !fault.Is[*fault.PlatformRefused](err) {
			t.Errorf("a commit whose only copy was refused failed with %v, want the refusal", err)
		}
	})
}
