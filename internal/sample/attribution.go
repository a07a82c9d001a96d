package sample

import (
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Span attributes the tokens from Start up to, but not including, End to one
// weight version of one engine process.
type Span struct {
	Start   int   `json:"start"`
	End     int   `json:"end"`
	Version int64 `json:"version"`
	// Upstream and Incarnation identify the engine process.
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}

// engineProcess identifies one incarnation of an engine.
type engineProcess struct {
	upstream    string
	incarnation string
}

// CheckAttribution fails with *fault.SampleUnattributable unless the spans reliably
// attribute every token of a sample to a weight version. tokens is the sample's
// length, and latest the newest version that is published for the model.
//
// An engine that restarts or loads other weights in mid-stream may report the
// version that it was ordered to load instead of the one that it ran. Such a
// sample has a missing or unpublished version, two incarnations of one engine,
// or a version that decreases within one process. It is not delivered, because
// the trainer would weigh its tokens by the wrong policy without noticing.
func CheckAttribution(slot Slot, tokens int, spans []Span, latest int64) error {
	incarnations := make(map[string]string)
	versions := make(map[engineProcess]int64)
	next := 0
	for _, s := range spans {
		process := engineProcess{upstream: s.Upstream, incarnation: s.Incarnation}
		if problem := spanProblem(s, next, latest); problem != "" {
			return unattributable(slot, problem)
		}
		if first, seen := incarnations[s.Upstream]; seen && first != s.Incarnation {
			return unattributable(slot, "the engine restarted within the sample")
		}
		if s.Version < versions[process] {
			return unattributable(slot, "the version decreased within one engine process")
		}
		incarnations[s.Upstream] = s.Incarnation
		versions[process] = s.Version
		next = s.End
	}
	if next != tokens || tokens == 0 {
		return unattributable(slot, "the spans do not cover the tokens")
	}
	return nil
}

// spanProblem returns what is wrong with a span that should start at next, or an
// empty string. It does not compare the span's version with earlier spans.
func spanProblem(s Span, next int, latest int64) string {
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
