package sample

import (
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Span says that the tokens from Start up to, not including, End came from one
// weight version of one engine process.
type Span struct {
	Start   int   `json:"start"`
	End     int   `json:"end"`
	Version int64 `json:"version"`
	// Upstream and Incarnation name the engine process.
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}

// process names one run of an engine's process.
type process struct {
	upstream    string
	incarnation string
}

// Attribute reports whether the spans truly name the weight version of every
// token of a sample. latest is the newest version that the weight store has
// published for the model. It fails with *fault.SampleUnattributable.
//
// An engine that restarts or swaps in mid-stream may report what it was told to
// load in place of what it ran. It shows by a missing or unpublished version,
// by a second incarnation of an engine within one sample, or by a version that
// moves back within one process. A sample that shows any of these is not
// delivered: a trainer would weigh its tokens by the wrong policy, unseen.
func Attribute(slot Slot, tokens int, spans []Span, latest int64) error {
	incarnations := make(map[string]string)
	versions := make(map[process]int64)
	next := 0
	for _, s := range spans {
		runs := process{upstream: s.Upstream, incarnation: s.Incarnation}
		if problem := problemOf(s, next, latest); problem != "" {
			return unattributable(slot, problem)
		}
		if first, seen := incarnations[s.Upstream]; seen && first != s.Incarnation {
			return unattributable(slot, "the engine restarted within the sample")
		}
		if s.Version < versions[runs] {
			return unattributable(slot, "the version moved back within one engine process")
		}
		incarnations[s.Upstream] = s.Incarnation
		versions[runs] = s.Version
		next = s.End
	}
	if next != tokens || tokens == 0 {
		return unattributable(slot, "the spans do not cover the tokens")
	}
	return nil
}

// problemOf returns what is wrong with a span on its own, or nothing.
func problemOf(s Span, next int, latest int64) string {
	switch {
	case s.Start != next:
		return "the spans have a gap or overlap"
	case s.End <= s.Start:
		return "a span is empty"
	case s.Version < 1:
		return "a span has no version"
	case s.Version > latest:
		return "a version was never published"
	case s.Upstream == "" || s.Incarnation == "":
		return "a span names no engine process"
	default:
		return ""
	}
}

func unattributable(slot Slot, problem string) error {
	return errors.WithStack(&fault.SampleUnattributable{Slot: slot.Name(), Problem: problem})
}

// OldestVersion returns the oldest weight version among the spans.
func OldestVersion(spans []Span) int64 {
	oldest := int64(0)
	for i, s := range spans {
		if i == 0 || s.Version < oldest {
			oldest = s.Version
		}
	}
	return oldest
}
