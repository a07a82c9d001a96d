package kept_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/kept/memory"
	"dogwoodpond/internal/platform"
)

var key = kept.Key{Table: "t", Part: "p", Name: "row"}

func creation(value string) kept.Txn {
	return kept.Txn{
		Expected: []kept.Expectation{{Key: key}},
		Puts:     []kept.Put{{Key: key, Value: []byte(value)}},
	}
}

// first gives the first commit a fate, and all others the normal one.
func first(fate memory.Fate) func(kept.Txn) memory.Fate {
	done := false
	return func(kept.Txn) memory.Fate {
		if done {
			return memory.Normal
		}
		done = true
		return fate
	}
}

// The store carries a commit out and its answer is lost. Whoever asked would take
// its own row for another writer's and refuse what it has accepted.
func TestCommitSurelyRecognisesItsOwnRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFate(first(memory.AnswerLost))
		version, err := kept.CommitSurely(t.Context(), store, creation("mine"))
		if err != nil || version != 1 {
			t.Errorf("CommitSurely = %d, %v; want version 1", version, err)
		}
	})
}

// A commit without an answer is carried out seconds later, after its repeat. It
// must not have a second effect.
func TestLateCopyHasNoSecondEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFate(first(memory.EffectLate))
		if _, err := kept.CommitSurely(t.Context(), store, creation("mine")); err != nil {
			t.Fatal(err)
		}
		store.Set(key, "later")
		store.RunLate()
		page, _ := store.Read(t.Context(), "t", "p", "", "")
		if got := string(page.Rows[0].Value); got != "later" {
			t.Errorf("the row holds %q after the late copy", got)
		}
	})
}

// Another writer is faster while the answer of the own commit is lost. The loser
// must learn it, or two processes take themselves for the owner.
func TestCommitSurelyTellsWhenAnotherWriterWon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFate(first(memory.NeverArrived))
		store.Set(key, "theirs")
		_, err := kept.CommitSurely(t.Context(), store, creation("mine"))
		var conflict *kept.Conflict
		if !errors.As(err, &conflict) || string(conflict.Row(key).Value) != "theirs" {
			t.Errorf("CommitSurely fails with %v, want the other writer's row", err)
		}
	})
}

// The store turns every call away. The caller may be told that nothing happened
// only because every refusal said so; one lost answer among them forbids it.
func TestCommitSurelyKnowsWhetherItMayHaveHappened(t *testing.T) {
	for _, c := range []struct {
		name    string
		fates   []memory.Fate
		unknown bool
	}{
		{"all refused", []memory.Fate{memory.Refused, memory.Refused, memory.Refused}, false},
		{"one lost", []memory.Fate{memory.Refused, memory.NeverArrived, memory.Refused}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, n := memory.New(), 0
				store.SetFate(func(kept.Txn) memory.Fate {
					fate := memory.Refused
					if n < len(c.fates) {
						fate = c.fates[n]
					}
					n++
					return fate
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := kept.CommitSurely(ctx, store, creation("mine"))
				var lost *fault.StoreUnavailable
				if !errors.As(err, &lost) || lost.EffectUnknown != c.unknown {
					t.Errorf("CommitSurely fails with %v, unknown should be %v", err, c.unknown)
				}
			})
		})
	}
}

// watched runs a watcher and returns what it has seen of the row.
func watched(t *testing.T, store *memory.Store) func() string {
	var seen string
	apply := func(rows []kept.Row) {
		for _, row := range rows {
			seen = string(row.Value)
		}
	}
	w := kept.Watcher{Store: store, Table: "t", Part: "p", Wait: time.Second, Replace: apply, Apply: apply}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return func() string {
		synctest.Wait()
		return seen
	}
}

// The store drops its history while a change is made. A reader that only went on
// from the newest version would never see that change: a withdrawn key would keep
// working.
func TestWatcherReadsAnewWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Set(key, "one")
		seen := watched(t, store)
		if got := seen(); got != "one" {
			t.Fatalf("the watcher saw %q", got)
		}
		store.SetDown(true)
		time.Sleep(3 * time.Second)
		store.Set(key, "two")
		store.Forget()
		store.SetDown(false)
		time.Sleep(time.Second)
		if got := seen(); got != "two" {
			t.Errorf("the watcher still sees %q", got)
		}
	})
}

// A process ends and stops its watches. That is no loss of the store, and a line
// that says so would mislead whoever looks for the cause of a failure then.
func TestStoppedWatcherTellsOfNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		lost := false
		w := kept.Watcher{Store: store, Table: "t", Part: "p", Wait: time.Second, Replace: func([]kept.Row) {}, Lost: func(error) { lost = true }}
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(300 * time.Millisecond)
		cancel()
		synctest.Wait()
		if lost {
			t.Error("the stop was told as a loss")
		}
	})
}

// silentFeed answers calls for changes with nothing, whatever changed.
type silentFeed struct{ *memory.Store }

func (s silentFeed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (kept.Page, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return kept.Page{Version: after}, nil
}

// A feed stays open and says nothing although rows change. Without a look of its
// own the VM would serve an old configuration for ever.
func TestWatcherNoticesASilentFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Set(key, "one")
		var seen string
		apply := func(rows []kept.Row) { seen = string(rows[len(rows)-1].Value) }
		w := kept.Watcher{Store: silentFeed{store}, Table: "t", Part: "p", Wait: time.Second, Replace: apply, Apply: apply}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		synctest.Wait()
		store.Set(key, "two")
		time.Sleep(25 * time.Second)
		synctest.Wait()
		if seen != "two" {
			t.Errorf("the watcher still sees %q", seen)
		}
	})
}

// listedBetween is a store in which a new partition is written right after the partitions
// were listed.
type listedBetween struct {
	*memory.Store
	key kept.Key
}

func (s listedBetween) Parts(ctx context.Context, table, after string) ([]string, bool, error) {
	parts, more, err := s.Store.Parts(ctx, table, after)
	s.Set(s.key, "new")
	return parts, more, err
}

// Guards against a partition that no watcher hears of until the next whole read: it is
// written between the list of partitions and the first read.
func TestWatcherSeesAPartitionThatIsWrittenDuringAWholeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Set(key, "one")
		added := kept.Key{Table: key.Table, Part: key.Part + " later", Name: key.Name}
		seen := make(map[string]bool)
		apply := func(rows []kept.Row) {
			for _, row := range rows {
				seen[row.Part] = true
			}
		}
		w := kept.Watcher{Store: listedBetween{store, added}, Table: "t", AllParts: true, Wait: time.Second, Replace: apply, Apply: apply}
		go w.Run(t.Context())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if !seen[key.Part] || !seen[added.Part] {
			t.Errorf("the watcher saw the partitions %v", seen)
		}
	})
}

// The leases count the writes of a row; the store's versions come from one
// counter. A lease that mixed the two would lose every renewal.
func TestTablesCountWrites(t *testing.T) {
	store := memory.New()
	tables := kept.NewTables(store, "lease")
	for n := uint64(0); n < 3; n++ {
		store.Set(key, "noise")
		txn := platform.Txn{
			Nonce:         platform.NewNonce(),
			Preconditions: []platform.Precondition{{Key: "a", Version: n}},
			Writes:        []platform.Write{{Key: "a", Value: []byte("x")}},
		}
		if err := tables.Commit(t.Context(), txn); err != nil {
			t.Fatalf("write %d: %v", n+1, err)
		}
		row, err := tables.Get(t.Context(), "a")
		if err != nil || row.Version != n+1 || row.Nonce != txn.Nonce {
			t.Fatalf("the row is %+v, %v", row, err)
		}
	}
	err := tables.Commit(t.Context(), platform.Txn{
		Preconditions: []platform.Precondition{{Key: "a", Version: 1}},
		Writes:        []platform.Write{{Key: "a"}},
	})
	if !fault.Is[*fault.PreconditionFailed](err) {
		t.Errorf("a write over an old version fails with %v", err)
	}
}

// Another VM renews the lease between two writes of this one; the version that
// was remembered is old then, and the write must be refused.
func TestTablesDoNotWriteOverAnotherVM(t *testing.T) {
	store := memory.New()
	mine, theirs := kept.NewTables(store, "lease"), kept.NewTables(store, "lease")
	write := func(tables *kept.Tables, version uint64) error {
		return tables.Commit(t.Context(), platform.Txn{
			Preconditions: []platform.Precondition{{Key: "a", Version: version}},
			Writes:        []platform.Write{{Key: "a", Value: []byte("x")}},
		})
	}
	if err := write(mine, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := theirs.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	if err := write(theirs, 1); err != nil {
		t.Fatal(err)
	}
	if err := write(mine, 1); !fault.Is[*fault.PreconditionFailed](err) {
		t.Errorf("the write over another VM's fails with %v", err)
	}
}

// countingFeed counts the calls for changes; each takes a moment.
type countingFeed struct {
	*memory.Store
	calls atomic.Int64
}

func (c *countingFeed) Changes(ctx context.Context, table string, after int64, wait time.Duration) (kept.Page, error) {
	c.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
	return c.Store.Changes(ctx, table, after, wait)
}

// Thousands of upstreams renew their entries, so that the list changes every few
// milliseconds. Each VM that asks again as soon as it is answered takes a hundred reads
// a second of the store; with 300 VMs it refuses most calls of everybody, and edits and
// steps stand still. A change that comes alone must still be seen at once.
func TestWatcherPacesABusyTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &countingFeed{Store: memory.New()}
		var rows atomic.Int64
		apply := func(page []kept.Row) { rows.Add(int64(len(page))) }
		w := kept.Watcher{
			Store: feed, Table: "t", Part: "p", Wait: time.Second, Replace: apply, Apply: apply,
			Pace: func() time.Duration { return 200 * time.Millisecond },
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		feed.Set(key, "alone")
		time.Sleep(10 * time.Millisecond)
		if n := rows.Load(); n != 1 {
			t.Errorf("%d rows 10 ms after a change that came alone", n)
		}
		feed.calls.Store(0)
		for range 1000 {
			feed.Set(key, "again")
			time.Sleep(2 * time.Millisecond)
		}
		if n := feed.calls.Load(); n > 11 {
			t.Errorf("%d calls in 2 s of changes", n)
		}
		time.Sleep(300 * time.Millisecond)
		if n := rows.Load(); n != 1001 {
			t.Errorf("%d of 1001 changes were seen", n)
		}
	})
}
