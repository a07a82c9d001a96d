package step

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
)

const (
	// readCostFactor is the memory of reading one object or the rows of a step's items, as a multiple of their
	// size: the answer of the store and a copy of an item.
	readCostFactor = 2
	// readWait bounds how long a call waits for memory to read items.
	readWait = 800 * time.Millisecond
	// readRetryAfter is the Retry-After of a call that found none.
	readRetryAfter = time.Second
)

// Body returns the body of an item. It fails with *fault.StepUnknown when the step or
// the item certainly does not exist, and with *fault.QueueFull if there is no memory to read it. release must be
// called when the body is no longer needed.
func (m *Manager) Body(ctx context.Context, id, account, item string) (body []byte, release func(), err error) {
	rec, err := m.findState(ctx, id, account)
	if err != nil {
		return nil, nil, err
	}
	if r := m.runOf(id); r != nil {
		if found, ok := r.item(item); ok {
			return found.Body, func() {}, nil
		}
	}
	reserved, err := m.reserveRead(ctx, readCost(rec.State))
	if err != nil {
		return nil, nil, err
	}
	found, err := findItem(ctx, m.Store, rec.State, item)
	if err != nil {
		m.releaseRead(reserved)
		return nil, nil, err
	}
	kept := min(int64(len(found.Body)), reserved)
	m.releaseRead(reserved - kept)
	return found.Body, func() { m.releaseRead(kept) }, nil
}

// readCost returns the memory that reading one item of a step takes, in bytes.
func readCost(state State) int64 {
	if len(state.Objects) > 0 {
		return readCostFactor * objectLimit
	}
	return readCostFactor * txnLimit
}

// reserveRead reserves memory for a read, and returns how much. It waits for a short time if there is none.
func (m *Manager) reserveRead(ctx context.Context, cost int64) (reserved int64, err error) {
	if m.readMemory == nil {
		return 0, nil
	}
	reserved = min(cost, m.ReadMemory)
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	if m.readMemory.Acquire(ctx, reserved) != nil {
		return 0, errors.WithStack(&fault.QueueFull{Wait: readRetryAfter})
	}
	return reserved, nil
}

func (m *Manager) releaseRead(reserved int64) {
	if reserved > 0 {
		m.readMemory.Release(reserved)
	}
}

// findItem reads one item of a step. It holds one object of the step at a time.
func findItem(ctx context.Context, store rowstore.Store, state State, id string) (Item, error) {
	count := 0
	for _, name := range state.Objects {
		chunk, err := store.GetObject(ctx, name)
		if err != nil {
			return Item{}, err
		}
		if item, ok, err := itemOf(chunk, id, &count); ok || err != nil {
			return item, err
		}
	}
	if len(state.Objects) == 0 {
		rows, err := rowstore.ReadAll(ctx, store, itemsTable, state.ID)
		if err != nil {
			return Item{}, err
		}
		for _, row := range rows {
			if item, ok, err := itemOf(row.Value, id, &count); ok || err != nil {
				return item, err
			}
		}
	}
	if count != state.Total {
		return Item{}, errors.WithStack(&fault.Internal{Where: "count of items of step " + state.ID})
	}
	return Item{}, errors.WithStack(&fault.StepUnknown{Step: state.ID})
}

// itemOf returns the item with an ID of a JSON array of items, and adds the number of items before it, or of all, to
// count. It decodes no other item.
func itemOf(chunk []byte, id string, count *int) (item Item, ok bool, err error) {
	malformed := errors.WithStack(&fault.Internal{Where: "stored items"})
	decoder := json.NewDecoder(bytes.NewReader(chunk))
	if begin, err := decoder.Token(); err != nil || begin != json.Delim('[') {
		return Item{}, false, malformed
	}
	for decoder.More() {
		start := decoder.InputOffset()
		var key struct {
			ID string `json:"id"`
		}
		if err := decoder.Decode(&key); err != nil {
			return Item{}, false, malformed
		}
		if key.ID == id {
			text := bytes.TrimLeft(chunk[start:decoder.InputOffset()], ", \t\r\n")
			if err := json.Unmarshal(text, &item); err != nil {
				return Item{}, false, malformed
			}
			return item, true, nil
		}
		*count++
	}
	if _, err := decoder.Token(); err != nil {
		return Item{}, false, malformed
	}
	return Item{}, false, nil
}
