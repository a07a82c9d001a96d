package sample

import (
	"math/bits"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Progress is the changing part of a step. Its row in the table service is the
// only judge of which slots have a sample and which numbers are given: every
// change replaces the row that it was read from, or does nothing.
type Progress struct {
	Model string `json:"model"`
	// Slots is how many slots the step has.
	Slots int `json:"slots"`
	// Epoch is the fencing number of the newest owner.
	Epoch uint64 `json:"epoch"`
	// Filled has a bit for each slot that has a sample, by position.
	Filled []byte `json:"filled"`
	// Committed is the highest number given.
	Committed int64 `json:"committed"`
	// Acked is the number up to which the trainer confirmed.
	Acked int64 `json:"acked"`
	// Pull is the highest number of a pull that had its turn.
	Pull int64 `json:"pull"`
}

const byteBits = 8

// NewProgress returns the progress of a step that was just opened.
func NewProgress(d Definition) Progress {
	count := d.Count()
	return Progress{Model: d.Model, Slots: count, Filled: make([]byte, (count+byteBits-1)/byteBits)}
}

// Has reports whether the slot at the position has a sample.
func (p Progress) Has(position int) bool {
	return p.Filled[position/byteBits]&(1<<(position%byteBits)) != 0
}

// Count returns how many slots have a sample.
func (p Progress) Count() int {
	count := 0
	for _, b := range p.Filled {
		count += bits.OnesCount8(b)
	}
	return count
}

// Complete reports whether every slot has a sample.
func (p Progress) Complete() bool { return p.Count() == p.Slots }

// Claim puts the owner with the epoch in charge. It fails with
// *fault.LeaseLost when a newer owner has claimed the step.
func (p Progress) Claim(step string, epoch uint64) (Progress, error) {
	if p.Epoch > epoch {
		return p, errors.WithStack(&fault.LeaseLost{Lease: step, Epoch: epoch})
	}
	p.Epoch = epoch
	return p, nil
}

// Commit gives the next numbers to the samples whose slots are still empty,
// and returns these samples. It fails with *fault.LeaseLost unless the epoch is
// the newest owner's: an owner that was paused until its lease lapsed still
// believes that it owns the step, and would fill slots that its successor is
// about to fill.
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
		p.Filled[s.Slot.Position/byteBits] |= 1 << (s.Slot.Position % byteBits)
		p.Committed++
		s.Number = p.Committed
		numbered = append(numbered, s)
	}
	return p, numbered, nil
}

// TakeTurn gives the turn to a pull. It fails with *fault.PullOvertaken when
// the pull does not come after all that had a turn: the trainer has given it up.
func (p Progress) TakeTurn(step string, number int64) (Progress, error) {
	if number <= p.Pull {
		return p, errors.WithStack(&fault.PullOvertaken{Step: step})
	}
	p.Pull = number
	return p, nil
}

// CheckTurn fails with *fault.PullOvertaken when a later pull has had its turn.
// The trainer may by then hold what an earlier pull takes for stale; if that one
// still withdrew it, the slot would come a second time.
func (p Progress) CheckTurn(step string, number int64) error {
	if number != p.Pull {
		return errors.WithStack(&fault.PullOvertaken{Step: step})
	}
	return nil
}

// Withdraw empties the slot of a committed sample and reports whether it did.
// A sample that the trainer confirmed stays: its slot is done.
func (p Progress) Withdraw(s Sample) (Progress, bool) {
	if s.Number <= p.Acked || s.Withdrawn {
		return p, false
	}
	p.Filled = append([]byte(nil), p.Filled...)
	p.Filled[s.Slot.Position/byteBits] &^= 1 << (s.Slot.Position % byteBits)
	return p, true
}

// Ack confirms the samples up to a number. A lower number than before changes
// nothing, and one above the highest given counts as the highest.
func (p Progress) Ack(through int64) Progress {
	p.Acked = max(p.Acked, min(through, p.Committed))
	return p
}

// CheckCursor fails with *fault.BadRequest when a cursor lies before what the
// trainer confirmed. Confirmed samples may be stale by now and can't be
// withdrawn any more, so that they are not sent again.
func (p Progress) CheckCursor(after int64) error {
	if after < p.Acked {
		return errors.WithStack(&fault.BadRequest{Field: "after", Problem: "lies before the confirmed samples; the step's status gives their number"})
	}
	return nil
}
