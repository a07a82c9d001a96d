// Package sample is the domain model of rollout steps: groups, slots, and
// samples with their weight versions, their staleness and the order of their
// delivery. It does no I/O and reads no clock.
package sample

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Definition describes the contents of a step. It does not change after the step
// is opened.
type Definition struct {
	Model   string  `json:"model" validate:"required,max=128"`
	Adapter string  `json:"adapter,omitempty" validate:"max=128"`
	Groups  []Group `json:"groups" validate:"min=1,max=2048,dive"`
	// MaxTokens limits the length of each sample.
	MaxTokens int `json:"maxTokens" validate:"min=1,max=131072"`
	// Scorer names the plain service that scores each sample; empty means that
	// samples are not scored.
	Scorer string `json:"scorer,omitempty" validate:"max=64"`
}

// Group is a prompt for which a number of samples is generated.
type Group struct {
	ID      string `json:"id" validate:"required,max=64"`
	Prompt  string `json:"prompt" validate:"required"`
	Samples int    `json:"samples" validate:"min=1,max=2048"`
}

// MaxSlots is the maximum number of samples in a step.
const MaxSlots = 2048

// Slot identifies one of the samples that a step asks for.
type Slot struct {
	Group string `json:"group"`
	Index int    `json:"index"`
	// Position is the index of the slot in the step, in the order of the
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

// Check fails with *fault.BadRequest when the definition has too many samples or
// repeats a group ID. Two groups with the same ID would have slots with the same
// names, and a trainer could not tell a second sample from a repeated one.
func (d Definition) Check() error {
	if d.Count() > MaxSlots {
		return badGroups("contain more than 2048 samples")
	}
	ids := make(map[string]bool, len(d.Groups))
	for _, g := range d.Groups {
		if ids[g.ID] {
			return badGroups("use the ID " + g.ID + " twice")
		}
		ids[g.ID] = true
	}
	return nil
}

func badGroups(problem string) error {
	return errors.WithStack(&fault.BadRequest{Field: "groups", Problem: problem})
}

// Sample is one committed sample, or the tombstone of a withdrawn one.
type Sample struct {
	// Number is the sample's sequence number in the step. Numbers start at 1 and
	// have no gaps.
	Number int64 `json:"number"`
	Slot   Slot  `json:"slot"`
	// Withdrawn marks a tombstone: the sample with this number became stale
	// before the trainer acknowledged it. A tombstone has no content, and the
	// sample that replaces it gets a later number.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Text is the generated answer.
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens"`
	// Spans attribute every token to a weight version.
	Spans []Span   `json:"spans,omitempty"`
	Score *float64 `json:"score,omitempty"`
}

// Tombstone returns the tombstone of the sample.
func (s Sample) Tombstone() Sample {
	return Sample{Number: s.Number, Slot: s.Slot, Withdrawn: true}
}

// Pull requests the samples of a step.
type Pull struct {
	// After is the trainer's cursor: the trainer has the samples up to this
	// number.
	After int64
	// Number increases with each pull of the trainer, retries included; a pull
	// with 0 is numbered on arrival. Of two pulls, the trainer uses only the
	// answer of the one with the higher number.
	Number int64
	// Wait limits how long the pull waits for its first sample.
	Wait time.Duration
}

// Status reports the progress of a step.
type Status struct {
	Step  string `json:"step"`
	Slots int    `json:"slots"`
	// Filled is the number of slots that have a sample.
	Filled int `json:"filled"`
	// Committed is the highest sample number assigned, tombstones included.
	Committed int64 `json:"committed"`
	// Acked is the number up to which the trainer acknowledged the samples.
	Acked int64 `json:"acked"`
	// Pull is the highest registered pull number; a trainer that restarts
	// numbers its pulls from there.
	Pull int64 `json:"pull"`
}
