// Package sample is the aggregate of rollout steps: groups, slots, samples,
// their weight versions and the order of their delivery.
package sample

import (
	"fmt"

	"dogwoodpond/internal/generate"
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
	Group  string `json:"group"`
	Index  int    `json:"index"`
	Prompt string `json:"-"`
}

// Name returns the slot's name, unique in its step.
func (s Slot) Name() string { return fmt.Sprintf("%s.%d", s.Group, s.Index) }

// Slots lists all slots in the order of the definition.
func (d Definition) Slots() []Slot {
	var slots []Slot
	for _, g := range d.Groups {
		for i := range g.Samples {
			slots = append(slots, Slot{Group: g.ID, Index: i, Prompt: g.Prompt})
		}
	}
	return slots
}

// Sample is one committed sample.
type Sample struct {
	// Number orders the samples of a step from 1, without gaps.
	Number int64 `json:"number"`
	Slot   Slot  `json:"slot"`
	// Text is the generated answer.
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Spans name the weight version of every token.
	Spans []generate.Span `json:"spans"`
	Score float64         `json:"score,omitempty"`
}

// Status tells how far a step is.
type Status struct {
	Step      string `json:"step"`
	Slots     int    `json:"slots"`
	Committed int64  `json:"committed"`
	// Acked is the number up to which the trainer confirmed.
	Acked int64 `json:"acked"`
}
