package step

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
)

// This file decides which steps a VM can hold. It answers trainers whose open steps are together larger than the memory
// of one VM, and owners that end again and again as they take their steps over.

const (
	// itemOverhead is the memory of an item beside its body, in bytes.
	itemOverhead = 512
	// minOwnership is how long an owner that gets on with a step lives at least after it got the step.
	minOwnership = 5 * time.Second
	// maxShortOwners is the number of owners in a row that may end sooner before takeovers of the step are delayed, by
	// takeoverBackoff at first. The delay doubles with each further one up to maxTakeoverBackoff.
	maxShortOwners     = 3
	takeoverBackoff    = time.Second
	maxTakeoverBackoff = 30 * time.Second
)

// itemBytes returns the memory of items in bytes.
func itemBytes(items []Item) int64 {
	total := int64(0)
	for _, item := range items {
		total += int64(len(item.Body)) + itemOverhead
	}
	return total
}

// memory returns the memory of a step's items in bytes, estimated for a row of an older build.
func (s State) memory() int64 {
	if s.ItemBytes > 0 {
		return s.ItemBytes
	}
	// The objects hold the bodies in base64.
	return int64(len(s.Objects)) * objectLimit * 3 / 4
}

// hasRoom reports whether this VM can hold a step's items beside those of the steps that it runs or takes over. It holds
// any step alone.
func (m *Manager) hasRoom(s State) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasRoomLocked(s)
}

// hasRoomLocked is hasRoom with mu held.
func (m *Manager) hasRoomLocked(s State) bool {
	held := int64(0)
	for id, r := range m.runs {
		if id != s.ID {
			held += r.rec.memory()
		}
	}
	for id, takesOver := range m.takingOver {
		if takesOver && m.runs[id] == nil && id != s.ID {
			held += m.states[id].memory()
		}
	}
	return m.StepMemory <= 0 || held == 0 || held+s.memory() <= m.StepMemory
}

// endedSoon reports whether the owner of a step, which is dead, ended soon after it got the step.
func (m *Manager) endedSoon(s State) bool {
	now, ok := m.Clock.StoreNow()
	return ok && s.Owner != "" && s.OwnerSince > 0 && now-s.OwnerSince < minOwnership.Milliseconds()
}

// shortOwnersAfter returns how many owners of a step in a row ended soon, with its dead owner.
func (m *Manager) shortOwnersAfter(s State) int {
	switch {
	case s.Owner == "":
		return s.ShortOwners
	case m.endedSoon(s):
		return s.ShortOwners + 1
	}
	return 0
}

// mustRelease reports whether this VM must leave a step to others, although its row names the VM: there is no room for
// it, or earlier processes of the VM ended soon after they got it. A row that names a VM is a sign of life of the VM, so
// that no other one would ever take the step over if this one tried again and again.
func (m *Manager) mustRelease(r stateRecord) bool {
	return !m.hasRoomLocked(r.State) || !m.isOwner(r) && r.ShortOwners > 0 && m.endedSoon(r.State)
}

// release leaves a step, whose row names this VM, to others.
func (m *Manager) release(ctx context.Context, r stateRecord) {
	reason := reasonEndedSoon
	if !m.hasRoom(r.State) {
		reason = reasonNoRoom
	}
	r.ShortOwners = m.shortOwnersAfter(r.State)
	m.releaseStep(ctx, r, reason)
}

// takeoverDelay returns how much longer a takeover waits because the last owners of the step ended soon.
func takeoverDelay(s State) time.Duration {
	if s.ShortOwners < maxShortOwners {
		return 0
	}
	return min(takeoverBackoff<<min(s.ShortOwners-maxShortOwners, 8), maxTakeoverBackoff)
}

// readItems reads the items of a step that this VM takes over. It holds one object at a time, and shares the memory for
// them with the reads for callers, so that several steps are read in turn.
func (m *Manager) readItems(ctx context.Context, state State) ([]Item, error) {
	items := make([]Item, 0, state.Total)
	add := func(chunk []byte) error {
		var more []Item
		if err := json.Unmarshal(chunk, &more); err != nil {
			return errors.WithStack(&fault.Internal{Where: "items of step " + state.ID})
		}
		items = append(items, more...)
		return nil
	}
	for _, name := range state.Objects {
		if err := m.readObject(ctx, name, readCost(state), add); err != nil {
			return nil, err
		}
	}
	if len(state.Objects) == 0 {
		rows, err := rowstore.ReadAll(ctx, m.Store, itemsTable, state.ID)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if err := add(row.Value); err != nil {
				return nil, err
			}
		}
	}
	if len(items) != state.Total {
		return nil, errors.WithStack(&fault.Internal{Where: "count of items of step " + state.ID})
	}
	return items, nil
}

// readObject reads an object and passes it to use. It waits for the memory of cost bytes.
func (m *Manager) readObject(ctx context.Context, name string, cost int64, use func(object []byte) error) error {
	if m.readMemory != nil {
		reserved := min(cost, m.ReadMemory)
		if err := m.readMemory.Acquire(ctx, reserved); err != nil {
			return errors.WithStack(&fault.StoreUnavailable{Operation: "read of items"})
		}
		defer m.readMemory.Release(reserved)
	}
	object, err := m.Store.GetObject(ctx, name)
	if err != nil {
		return err
	}
	return use(object)
}
