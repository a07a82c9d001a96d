package generate

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/platform"
)

// onePlace grants the same upstream and counts the places that are held.
type onePlace struct {
	upstream platform.Upstream
	held     int
}

// Acquire implements dispatch.Dispatcher.
func (p *onePlace) Acquire(context.Context, dispatch.Work) (dispatch.Grant, error) {
	p.held++
	return dispatch.Grant{Upstream: p.upstream, Done: func(dispatch.Result) { p.held-- }}, nil
}

// A defect makes a request panic while it holds a place on an engine. The VM
// goes on without the request; if it kept the place, the engine would look full
// after a few such requests, and nobody would know why.
func TestPanicGivesThePlaceBack(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(answerShortly))
	defer server.Close()
	place := &onePlace{upstream: platform.Upstream{ID: "e1", Address: strings.TrimPrefix(server.URL, "http://")}}
	view := contract.NewView()
	account := contract.DefaultContract("strathallan")
	view.Advance(&contract.Snapshot{Revision: 1, Contracts: map[contract.Account]contract.Contract{account.Account: account}})
	local := NewLocal(view, place, engine.NewClient(), newPolicy(), quietEvents())
	func() {
		defer func() {
			if recover() == nil {
				t.Error("the sink did not panic")
			}
		}()
		request := Request{ID: "r1", Account: account.Account, Model: attemptModel, Prompt: "p", MaxTokens: 4}
		_, _ = local.Generate(t.Context(), request, func(Chunk) error { panic("defect") })
	}()
	if place.held != 0 {
		t.Errorf("%d places are still held", place.held)
	}
}

// The spans are the answer to the question which weights wrote a sample. A hole
// or an overlap attributes tokens to the wrong ones.
func TestSpansCoverEveryTokenOnce(t *testing.T) {
	properties := gopter.NewProperties(&gopter.TestParameters{MinSuccessfulTests: 300, MaxSize: 50, Rng: gopter.DefaultTestParametersWithSeed(11).Rng, Workers: 1})
	properties.Property("spans follow each other and keep each chunk's version", prop.ForAll(
		func(lengths []int) bool {
			var spans []Span
			var versions []int64
			for n, length := range lengths {
				version := int64(n / 3)
				spans = AppendSpan(spans, Chunk{Offset: len(versions), Tokens: make([]string, length), Version: version, Upstream: fmt.Sprint(n / 5)})
				for range length {
					versions = append(versions, version)
				}
			}
			return covered(spans, versions)
		},
		gen.SliceOf(gen.IntRange(0, 5)),
	))
	properties.TestingRun(t)
}

func covered(spans []Span, versions []int64) bool {
	next := 0
	for _, span := range spans {
		if span.Start != next || span.End <= span.Start {
			return false
		}
		for i := span.Start; i < span.End; i++ {
			if versions[i] != span.Version {
				return false
			}
		}
		next = span.End
	}
	return next == len(versions)
}
