package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// faultyStore is the store as seen by one process. Its reads are late, lost, of an earlier state
// of the row, or lack the row. After the process was killed no call has an effect.
type faultyStore struct {
	*memory.Store
	killed atomic.Bool

	mu     sync.Mutex
	random *rand.Rand
	pages  []rowstore.Page
}

func (s *faultyStore) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// sleep waits for up to 0.4 s, and reports whether the call has an effect afterwards.
func (s *faultyStore) sleep(ctx context.Context) bool {
	return sleep(ctx, time.Duration(s.intN(400))*time.Millisecond) == nil && !s.killed.Load()
}

func (s *faultyStore) Read(ctx context.Context, table, part, from, to string) (rowstore.Page, error) {
	unavailable := errors.WithStack(&fault.StoreUnavailable{Operation: "read"})
	if !s.sleep(ctx) {
		return rowstore.Page{}, unavailable
	}
	page, err := s.Store.Read(ctx, table, part, from, to)
	if err != nil || !s.sleep(ctx) {
		return rowstore.Page{}, unavailable
	}
	s.mu.Lock()
	s.pages = append(s.pages, page)
	s.mu.Unlock()
	switch s.intN(12) {
	case 0:
		return rowstore.Page{}, unavailable
	case 1:
		return rowstore.Page{Version: page.Version}, nil
	case 2:
		n := s.intN(len(s.pages))
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.pages[n], nil
	}
	return page, nil
}

func (s *faultyStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	if !s.sleep(ctx) {
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit"})
	}
	version, err := s.Store.Commit(context.WithoutCancel(ctx), txn)
	if !s.sleep(ctx) {
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
	}
	return version, err
}

// checkRows checks each state that the row of a lease had, in the order of the writes.
func checkRows(rows []rowstore.Row) error {
	holders := make(map[uint64]string)
	var last Record
	for _, row := range rows {
		if row.Deleted {
			return errors.Newf("the row was removed after %+v", last)
		}
		var stored struct{ Value []byte }
		var record Record
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return err
		}
		if err := json.Unmarshal(stored.Value, &record); err != nil {
			return err
		}
		if record.Epoch < last.Epoch {
			return errors.Newf("%+v replaced %+v", record, last)
		}
		if holder, ok := holders[record.Epoch]; ok && record.Holder != "" && holder != record.Holder {
			return errors.Newf("%s and %s share the epoch %d", holder, record.Holder, record.Epoch)
		}
		if record.Holder != "" {
			holders[record.Epoch] = record.Holder
		}
		last = record
	}
	return nil
}

// campaignUntil runs processes of a VM one after the other, which are killed or stopped at random.
func campaignUntil(end time.Time, vm string, store *memory.Store, random *rand.Rand) {
	for time.Now().Before(end) {
		s := &faultyStore{Store: store, random: rand.New(rand.NewPCG(random.Uint64(), 0))}
		events := event.NewRecorder(vm, 64, event.NewClock(time.Now), zap.NewNop())
		m := NewManager(rowstore.NewTables(s, "lease"), vm, testTerm, events, WithSoleProcess())
		ctx, stop := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() {
			_ = m.Campaign(ctx, "a", func(ctx context.Context, g Guard) (bool, error) {
				for sleep(ctx, time.Second) == nil {
					_ = g.Confirm(ctx)
				}
				return false, nil
			})
		})
		time.Sleep(time.Duration(random.Int64N(int64(5 * testTerm))))
		s.killed.Store(random.IntN(2) == 0)
		stop()
		group.Wait()
	}
}

// Commits are late, lost and repeated, and reads are old or lack the row, for several VMs at once,
// whose processes are killed and stopped. The epoch in the row must never decrease, no two
// holders may share one, and the row must never be removed.
func TestEpochInTheRowNeverDecreases(t *testing.T) {
	writes := 0
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			store := memory.New()
			faults := rand.New(rand.NewPCG(seed, 2))
			var mu sync.Mutex
			store.SetFault(func(rowstore.Txn) memory.Fault {
				mu.Lock()
				defer mu.Unlock()
				kinds := []memory.Fault{memory.NoFault, memory.NoFault, memory.NoFault, memory.NoFault, memory.AnswerLost, memory.EffectDelayed, memory.Refused, memory.RequestLost}
				return kinds[faults.IntN(len(kinds))]
			})
			end := time.Now().Add(20 * testTerm)
			var group sync.WaitGroup
			for i := range 3 {
				own := rand.New(rand.NewPCG(seed, uint64(10+i)))
				group.Go(func() { campaignUntil(end, fmt.Sprint("vm-", i), store, own) })
			}
			for time.Now().Before(end) {
				time.Sleep(time.Duration(random.Int64N(int64(2 * testTerm))))
				store.RunDelayed()
			}
			group.Wait()
			store.RunDelayed()
			page, err := store.Changes(context.Background(), "lease", 0, 0)
			if err != nil {
				t.Fatal(err)
			}
			writes += len(page.Rows)
			if err := checkRows(page.Rows); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		})
	}
	t.Logf("%d writes of the row", writes)
	if writes < 1000 {
		t.Errorf("only %d writes of the row", writes)
	}
}
