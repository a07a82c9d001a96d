package sample

import (
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Engines may report anything. Whatever is accepted must name a published
// version for each token exactly once, and for each engine one process whose
// versions never move back.
func TestAcceptedSpansNameEveryToken(t *testing.T) {
	const latest = 3
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 20000
	parameters.Rng.Seed(20261203)
	properties := gopter.NewProperties(parameters)
	accepted := 0
	properties.Property("accepted spans name every token", prop.ForAll(
		func(spans []Span, extra int) bool {
			tokens := spans[len(spans)-1].End + extra
			if Attribute(Slot{Group: "g"}, tokens, spans, latest) != nil {
				return true
			}
			accepted++
			return namesEveryToken(spans, tokens, latest)
		},
		gen.SliceOfN(3, anySpan()).FlatMap(joinSome, spansType),
		gen.OneConstOf(0, 0, 0, 0, 1, -1),
	))
	properties.TestingRun(t)
	if accepted < 100 {
		t.Errorf("only %d samples were accepted, so that the property says little", accepted)
	}
}

// namesEveryToken checks token by token, in another way than the rule does.
func namesEveryToken(spans []Span, tokens int, latest int64) bool {
	type last struct {
		incarnation string
		version     int64
	}
	engines := make(map[string]last)
	for token := range tokens {
		var owners []Span
		for _, s := range spans {
			if s.Start <= token && token < s.End {
				owners = append(owners, s)
			}
		}
		if len(owners) != 1 || owners[0].Version < 1 || owners[0].Version > latest {
			return false
		}
		s := owners[0]
		before, seen := engines[s.Upstream]
		if seen && (before.incarnation != s.Incarnation || before.version > s.Version) {
			return false
		}
		engines[s.Upstream] = last{incarnation: s.Incarnation, version: s.Version}
	}
	return tokens > 0
}

// anySpan returns spans that are short and often wrong.
func anySpan() gopter.Gen {
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

// joinSome puts the spans behind each other, so that many fit together; some
// starts are off by one.
func joinSome(v any) gopter.Gen {
	var joined []Span
	next := 0
	for _, s := range v.([]Span) {
		s.Start, s.End = next+s.Start, next+s.End
		next = s.End
		joined = append(joined, s)
	}
	return gen.Const(joined)
}
