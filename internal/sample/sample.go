// Package sample is the aggregate of rollout steps: groups, slots, samples,
// their weight versions, their freshness and the order of their delivery. It
// does no I/O and reads no clock.
package sample

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Definition says what a step consists of. It never changes once opened.
type Definition struct {
	Model   string  `json:"model" validate:"required,max=128"`
	Adapter string  `json:"adapter,omitempty" validate:"max=128"`
	Groups  []Group `json:"groups" validate:"min=1,max=2048,dive"`
	// MaxTokens bounds each sample.
	MaxTokens int `json:"maxTokens" validate:"min=1,max=131072"`
	// Scorer names a plain service that scores each sample; empty for none.
	Scorer string `json:"scorer,omitempty" validate:"max=64"`
}

// Group is a prompt with several samples.
type Group struct {
	ID      string `json:"id" validate:"required,max=64"`
	Prompt  string `json:"prompt" validate:"required"`
	Samples int    `json:"samples" validate:"min=1,max=2048"`
}

// MaxSlots is the largest number of samples in a step.
const MaxSlots = 2048

// Slot is the place of one sample in a step.
type Slot struct {
	Group string `json:"group"`
	Index int    `json:"index"`
	// Position counts the slots of the step from 0, in the order of the
	// definition.
	Position int    `json:"position"`
	Prompt   string `json:"-"`
}

// Name returns the slot's name, unique in its step.
func (s Slot) Name() string { return fmt.Sprintf("%s.%d", s.Group, s.Index) }

// Count returns how many slots the step has.
func (d Definition) Count() int {
	count := 0
	for _, g := range d.Groups {
		count += g.Samples
	}
	return count
}

// Slots lists all slots in the order of the definition.
func (d Definition) Slots() []Slot {
	slots := make([]Slot, 0, d.Count())
	for _, g := range d.Groups {
		for i := range g.Samples {
			slots = append(slots, Slot{Group: g.ID, Index: i, Position: len(slots), Prompt: g.Prompt})
		}
	}
	return slots
}

// Check fails with *fault.BadRequest on a definition whose parts do not fit
// together. Two groups of one name would give two slots the same name, and a
// trainer could not tell a second sample from a repeated one.
func (d Definition) Check() error {
	if d.Count() > MaxSlots {
		return badGroups("hold more than 2048 samples")
	}
	names := make(map[string]bool, len(d.Groups))
	for _, g := range d.Groups {
		if names[g.ID] {
			return badGroups("use the ID " + g.ID + " twice")
		}
		names[g.ID] = true
	}
	return nil
}

func badGroups(problem string) error {
	return errors.WithStack(&fault.BadRequest{Field: "groups", Problem: problem})
}

// Sample is one committed sample, or the tombstone of a withdrawn one.
type Sample struct {
	// Number orders the samples of a step from 1, without gaps.
	Number int64 `json:"number"`
	Slot   Slot  `json:"slot"`
	// Withdrawn marks a tombstone: the sample of this number went stale before
	// the trainer confirmed it. It has no content, and the slot's sample comes
	// under a later number.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Text is the generated answer.
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens"`
	// Spans name the weight version of every token.
	Spans []Span   `json:"spans,omitempty"`
	Score *float64 `json:"score,omitempty"`
}

// Tombstone returns the tombstone of the sample.
func (s Sample) Tombstone() Sample {
	return Sample{Number: s.Number, Slot: s.Slot, Withdrawn: true}
}

// Pull asks for the samples of a step.
type Pull struct {
	// After is the trainer's cursor: it has the samples up to this number.
	After int64
	// Number rises with each pull of the trainer, repeats included; 0 lets the
	// pull be numbered on its arrival. Of two pulls the one with the higher
	// number is the one whose answer the trainer takes.
	Number int64
	// Wait is how long to wait for the first sample.
	Wait time.Duration
}

// Status tells how far a step is.
type Status struct {
	Step  string `json:"step"`
	Slots int    `json:"slots"`
	// Filled is how many slots have a sample.
	Filled int `json:"filled"`
	// Committed is the highest number, those of tombstones included.
	Committed int64 `json:"committed"`
	// Acked is the number up to which the trainer confirmed.
	Acked int64 `json:"acked"`
	// Pull is the highest number of a pull that had its turn; a trainer that
	// restarts numbers its pulls from there.
	Pull int64 `json:"pull"`
}
