package sample

import (
	"math/bits"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Progress is the mutable part of a step. Its row in the store alone determines
// which slots have a sample and which numbers are assigned: a change replaces
// exactly the row version that it was computed from, or has no effect.
type Progress struct {
	Model string `json:"model"`
	// Slots is the number of slots of the step.
	Slots int `json:"slots"`
	// Epoch is the fencing token of the newest owner.
	Epoch uint64 `json:"epoch"`
	// Filled is a bitmap of the slots that have a sample, by position.
	Filled []byte `json:"filled"`
	// Committed is the highest sample number assigned.
	Committed int64 `json:"committed"`
	// Acked is the number up to which the trainer acknowledged the samples.
	Acked int64 `json:"acked"`
	// Pull is the highest registered pull number.
	Pull int64 `json:"pull"`
}

const bitsPerByte = 8

// NewProgress returns the progress of a newly opened step.
func NewProgress(d Definition) Progress {
	count := d.Count()
	return Progress{Model: d.Model, Slots: count, Filled: make([]byte, (count+bitsPerByte-1)/bitsPerByte)}
}

// Has reports whether the slot at the position has a sample.
func (p Progress) Has(position int) bool {
	return p.Filled[position/bitsPerByte]&(1<<(position%bitsPerByte)) != 0
}

// Count returns the number of slots that have a sample.
func (p Progress) Count() int {
	count := 0
	for _, b := range p.Filled {
		count += bits.OnesCount8(b)
	}
	return count
}

// Complete reports whether every slot has a sample.
func (p Progress) Complete() bool { return p.Count() == p.Slots }

// SetOwner records the epoch as that of the step's owner. It fails with
// *fault.LeaseLost when an owner with a higher epoch has claimed the step.
func (p Progress) SetOwner(step string, epoch uint64) (Progress, error) {
	if p.Epoch > epoch {
		return p, errors.WithStack(&fault.LeaseLost{Lease: step, Epoch: epoch})
	}
	p.Epoch = epoch
	return p, nil
}

// Commit fills the slots of those samples whose slots are empty, assigns the
// next numbers to these samples and returns them. It fails with
// *fault.LeaseLost unless the epoch is that of the newest owner: an owner that
// was paused until its lease expired still considers itself the owner, and
// would fill slots that the new owner is about to fill.
func (p Progress) Commit(step string, epoch uint64, samples []Sample) (Progress, []Sample, error) {
	if p.Epoch != epoch {
		return p, nil, errors.WithStack(&fault.LeaseLost{Lease: step, Epoch: epoch})
	}
	p.Filled = append([]byte(nil), p.Filled...)
	var numbered []Sample
	for _, s := range samples {
		if p.Has(s.Slot.Position) {
			continue
		}
		p.Filled[s.Slot.Position/bitsPerByte] |= 1 << (s.Slot.Position % bitsPerByte)
		p.Committed++
		s.Number = p.Committed
		numbered = append(numbered, s)
	}
	return p, numbered, nil
}

// RegisterPull registers the number of a pull. It fails with *fault.PullOvertaken
// unless the number is higher than all registered ones: the trainer ignores the
// answer of a pull with a lower number.
func (p Progress) RegisterPull(step string, number int64) (Progress, error) {
	if number <= p.Pull {
		return p, errors.WithStack(&fault.PullOvertaken{Step: step})
	}
	p.Pull = number
	return p, nil
}

// CheckPull fails with *fault.PullOvertaken when a later pull has been
// registered. The later pull may have delivered a sample that the earlier one
// considers stale; if the earlier one still withdrew that sample, the trainer
// would receive a second sample for its slot.
func (p Progress) CheckPull(step string, number int64) error {
	if number != p.Pull {
		return errors.WithStack(&fault.PullOvertaken{Step: step})
	}
	return nil
}

// Withdraw empties the slot of a committed sample and reports whether it did.
// A sample that the trainer acknowledged is not withdrawn: its slot is complete.
func (p Progress) Withdraw(s Sample) (Progress, bool) {
	if s.Number <= p.Acked || s.Withdrawn {
		return p, false
	}
	p.Filled = append([]byte(nil), p.Filled...)
	p.Filled[s.Slot.Position/bitsPerByte] &^= 1 << (s.Slot.Position % bitsPerByte)
	return p, true
}

// Ack records that the trainer acknowledged the samples up to a number. A number
// lower than before changes nothing, and one above the highest assigned number
// counts as the highest.
func (p Progress) Ack(through int64) Progress {
	p.Acked = max(p.Acked, min(through, p.Committed))
	return p
}

// CheckCursor fails with *fault.BadRequest when a cursor is lower than the
// highest acknowledged number. Acknowledged samples may be stale by now and
// can't be withdrawn any more, so they are not delivered again.
func (p Progress) CheckCursor(after int64) error {
	if after < p.Acked {
		return errors.WithStack(&fault.BadRequest{Field: "after", Problem: "is lower than the acknowledged number, which the step's status reports"})
	}
	return nil
}
