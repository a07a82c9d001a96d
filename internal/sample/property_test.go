package sample

import (
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Engines may report arbitrary spans. An accepted sample must have exactly one
// published version for each token, and for each engine one incarnation whose
// versions never decrease.
func TestAcceptedSpansAttributeEveryToken(t *testing.T) {
	const latest = 3
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 20000
	parameters.Rng.Seed(20261203)
	properties := gopter.NewProperties(parameters)
	accepted := 0
	properties.Property("accepted spans attribute every token", prop.ForAll(
		func(spans []Span, extra int) bool {
			tokens := spans[len(spans)-1].End + extra
			if CheckAttribution(Slot{Group: "g"}, tokens, spans, latest) != nil {
				return true
			}
			accepted++
			return attributesEveryToken(spans, tokens, latest)
		},
		gen.SliceOfN(3, genSpan()).FlatMap(joinSpans, spansType),
		gen.OneConstOf(0, 0, 0, 0, 1, -1),
	))
	properties.TestingRun(t)
	if accepted < 100 {
		t.Errorf("only %d samples were accepted, too few to test the property", accepted)
	}
}

// attributesEveryToken checks the spans token by token, so that it shares no logic
// with CheckAttribution.
func attributesEveryToken(spans []Span, tokens int, latest int64) bool {
	type lastProcess struct {
		incarnation string
		version     int64
	}
	engines := make(map[string]lastProcess)
	for token := range tokens {
		var matching []Span
		for _, s := range spans {
			if s.Start <= token && token < s.End {
				matching = append(matching, s)
			}
		}
		if len(matching) != 1 || matching[0].Version < 1 || matching[0].Version > latest {
			return false
		}
		s := matching[0]
		previous, seen := engines[s.Upstream]
		if seen && (previous.incarnation != s.Incarnation || previous.version > s.Version) {
			return false
		}
		engines[s.Upstream] = lastProcess{incarnation: s.Incarnation, version: s.Version}
	}
	return tokens > 0
}

// genSpan generates short spans, many of them invalid. Start and End are relative
// to the end of the previous span.
func genSpan() gopter.Gen {
	return gopter.CombineGens(
		gen.OneConstOf(0, 0, 0, 0, 0, 1, -1),
		gen.OneConstOf(1, 1, 1, 2, 3, 0),
		gen.OneConstOf(int64(1), int64(2), int64(2), int64(3), int64(0), int64(4)),
		gen.OneConstOf("e1", "e2"),
		gen.OneConstOf("i1", "i1", "i1", "i2"),
	).Map(func(v []any) Span {
		return Span{
			Start:       v[0].(int),
			End:         v[1].(int),
			Version:     v[2].(int64),
			Upstream:    v[3].(string),
			Incarnation: v[4].(string),
		}
	})
}

var spansType = reflect.TypeFor[[]Span]()

// joinSpans makes each span's positions relative to the end of the previous span,
// so that many spans are contiguous; some starts are off by one.
func joinSpans(v any) gopter.Gen {
	var joined []Span
	next := 0
	for _, s := range v.([]Span) {
		s.Start, s.End = next+s.Start, next+s.End
		next = s.End
		joined = append(joined, s)
	}
	return gen.Const(joined)
}
