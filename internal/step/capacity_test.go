package step

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
)

// largeItems returns n items whose bodies are large enough that their step is stored in objects.
func largeItems(n int) []Item {
	list := items(n)
	for i := range list {
		list[i].Body = bytes.Repeat([]byte("x"), 1<<20)
	}
	return list
}

// countingStore counts the objects of a VM that are read at the same time.
type countingStore struct {
	rowstore.Store
	mu            sync.Mutex
	reading, most int
}

func (s *countingStore) GetObject(ctx context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	s.reading++
	s.most = max(s.most, s.reading)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reading--
	}()
	time.Sleep(25 * time.Millisecond)
	return s.Store.GetObject(ctx, name)
}

// Guards against an owner that can't hold its steps: they are more than its memory, and each process that takes them all
// over at once ends.
func TestStepsBeyondTheMemoryOfOneVMAreSharedAndReadInTurn(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const steps, itemsPerStep = 5, 8
		cl := newCluster(t, engineIDs(8)...)
		cl.engines.behave[""] = pacedBehaviour(20, 250*time.Millisecond)
		cl.preferred = "a"
		cl.stepMemory, cl.readMemory = 2*(itemsPerStep+1)<<20, 2*objectLimit
		stores := map[string]*countingStore{}
		cl.storeOf = func(name string) rowstore.Store {
			stores[name] = &countingStore{Store: cl.store}
			return stores[name]
		}
		a := cl.start("a")
		cl.start("b")
		c := cl.start("c")
		for i := range steps {
			list := largeItems(itemsPerStep)
			for k := range list {
				list[k].ID = strconv.Itoa(i) + list[k].ID
			}
			submit(t, c, spec("s"+strconv.Itoa(i)), list)
		}
		time.Sleep(time.Second)
		cl.crash(a)
		cl.mu.Lock()
		delete(cl.dead, "a")
		cl.mu.Unlock()
		cl.startIncarnation("a", "a-2")
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for name, v := range cl.vms {
				if n := len(v.runsByDueTime()); n > 2 {
					t.Fatalf("%s runs %d steps, and has memory for 2", name, n)
				}
			}
		}
		for i := range steps {
			if results := readUntilComplete(t, c, "s"+strconv.Itoa(i)); len(results) != itemsPerStep {
				t.Errorf("step %d has %d results", i, len(results))
			}
		}
		for name, store := range stores {
			if store.most > 1 {
				t.Errorf("%s read %d objects at the same time, and has memory for 1", name, store.most)
			}
		}
	})
}

// Guards against a step that is accepted and that no VM can hold.
func TestStepThatNoVMCanHoldIsRefused(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.stepMemory = 4 << 20
		err := cl.start("a").Submit(t.Context(), spec("s"), largeItems(5))
		if !fault.Is[*fault.BodyTooLarge](err) || fault.ExecutionOf(err) != fault.NotRun {
			t.Errorf("Submit = %v marked %s", err, fault.ExecutionOf(err))
		}
	})
}

// Guards against a step that stays with a VM whose process ends each time soon after it has got the step: the rows that
// it writes at each start look like signs of life.
func TestStepLeavesAVMThatEndsAgainAndAgain(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		cl.engines.behave[""] = pacedBehaviour(30, 100*time.Millisecond)
		cl.deathPeriod = 1500 * time.Millisecond
		cl.preferred = "a"
		owner := cl.start("a")
		b := cl.start("b")
		submit(t, b, spec("s"), items(4))
		for n := 2; n < 8; n++ {
			time.Sleep(700 * time.Millisecond)
			owner.kill()
			time.Sleep(500 * time.Millisecond)
			owner = cl.startIncarnation("a", "a-"+strconv.Itoa(n))
		}
		if b.runOf("s") == nil {
			state, _ := b.lookUp("s")
			t.Errorf("the step is owned by %s in epoch %d after 7 s", state.Owner, state.Epoch)
		}
		checkTexts(t, readUntilComplete(t, b, "s"), 30)
	})
}

// Guards against a step that ends one VM after the other at the rate of their starts.
func TestTakeoversAreDelayedOnceOwnersHaveEndedSoon(t *testing.T) {
	for owners, want := range map[int]time.Duration{0: 0, 2: 0, 3: time.Second, 5: 4 * time.Second, 20: maxTakeoverBackoff} {
		if got := takeoverDelay(State{ShortOwners: owners}); got != want {
			t.Errorf("after %d owners the takeover is delayed by %s, want %s", owners, got, want)
		}
	}
}
