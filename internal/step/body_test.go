package step

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Guards against a body that belongs to another item, or an item that is not found, wherever it is stored.
func TestItemIsFoundAmongOthers(t *testing.T) {
	for name, bodyBytes := range map[string]int{"in rows": 100, "in objects": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1")
				a, b := cl.start("a"), cl.start("b")
				list := items(60)
				for i := range list {
					list[i].Body = []byte(strings.Repeat(fmt.Sprintf("\x00,[{\"%d", i), bodyBytes/8))
				}
				submit(t, a, spec("s"), list)
				for _, item := range list {
					body, release, err := b.Body(t.Context(), "s", "acc", item.ID)
					if err != nil || string(body) != string(item.Body) {
						t.Fatalf("%s: %d bytes, %v", item.ID, len(body), err)
					}
					release()
				}
				if _, _, err := b.Body(t.Context(), "s", "acc", "other"); !fault.Is[*fault.StepUnknown](err) {
					t.Errorf("an item that doesn't exist: %v", err)
				}
			})
		})
	}
}

// Guards against reads of bodies that together exceed their memory, wait without end, or keep it.
func TestReadsOfBodiesShareTheirMemory(t *testing.T) {
	bubble(t, func(t *testing.T) {
		m := newReader(t, readCostFactor*objectLimit)
		reserved, err := m.reserveRead(t.Context(), readCost(State{Objects: []string{"o"}}))
		if err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		if _, err := m.reserveRead(t.Context(), 1); !fault.Is[*fault.QueueFull](err) || time.Since(started) != readWait {
			t.Errorf("a read beside another one that takes all: %v after %s", err, time.Since(started))
		}
		m.releaseRead(reserved)
		if reserved, err = m.reserveRead(t.Context(), 2*m.ReadMemory); err != nil || reserved != m.ReadMemory {
			t.Errorf("a read that takes more than all: %d bytes, %v", reserved, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := m.reserveRead(ctx, 1); err == nil {
			t.Error("a read of a caller that has left got memory")
		}
		m.releaseRead(reserved)
	})
}

// newReader returns a manager with a bound of memory for reads.
func newReader(t *testing.T, memory int64) *Manager {
	t.Helper()
	m := NewManager(Config{ReadMemory: memory})
	t.Cleanup(m.cancel)
	return m
}

// Guards against stored items that can't be read and pass for an item that doesn't exist.
func TestUnreadableItemsAreNotUnknown(t *testing.T) {
	for _, chunk := range []string{"", "{", `[{"id":1}]`, `[{"id":"a"}`, `[{"id":"a"},`} {
		count := 0
		_, ok, err := itemOf([]byte(chunk), "b", &count)
		var internal *fault.Internal
		if ok || !errors.As(err, &internal) {
			t.Errorf("%q: found %t, %v", chunk, ok, err)
		}
	}
}
