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
	"dogwoodpond/internal/platformapi"
)

// fakeDispatcher always grants the same upstream and counts the grants held.
type fakeDispatcher struct {
	upstream platformapi.Upstream
	held     int
}

// Acquire implements dispatch.Dispatcher.
func (d *fakeDispatcher) Acquire(context.Context, dispatch.Work) (dispatch.Grant, error) {
	d.held++
	return dispatch.Grant{Upstream: d.upstream, Done: func(dispatch.Result) { d.held-- }}, nil
}

// A defect makes a request panic while it holds a grant for an engine, and the VM
// continues. If the grant were not released, the engine would look full after a
// few such requests, without a visible cause.
func TestPanicReleasesGrant(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(serveOneToken))
	defer server.Close()
	dispatcher := &fakeDispatcher{upstream: platformapi.Upstream{ID: "e1", Address: strings.TrimPrefix(server.URL, "http://")}}
	view := contract.NewView()
	account := contract.DefaultContract("strathallan")
	view.Advance(&contract.Snapshot{Revision: 1, Contracts: map[contract.Account]contract.Contract{account.Account: account}})
	local := NewLocal(view, dispatcher, engine.NewClient(newRecorder()), newPolicy(), newRecorder())
	func() {
		defer func() {
			if recover() == nil {
				t.Error("the sink did not panic")
			}
		}()
		request := Request{ID: "r1", Account: account.Account, Model: attemptModel, Prompt: "p", MaxTokens: 4}
		_, _ = local.Generate(t.Context(), request, func(Chunk) error { panic("defect") })
	}()
	if dispatcher.held != 0 {
		t.Errorf("%d grants are still held", dispatcher.held)
	}
}

// Spans attribute the tokens of a sample to weight versions. A gap or an overlap
// would attribute tokens to wrong versions.
func TestSpansCoverEveryTokenOnce(t *testing.T) {
	properties := gopter.NewProperties(&gopter.TestParameters{MinSuccessfulTests: 300, MaxSize: 50, Rng: gopter.DefaultTestParametersWithSeed(11).Rng, Workers: 1})
	properties.Property("spans are contiguous and have the version of each chunk", prop.ForAll(
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
			return spansMatchVersions(spans, versions)
		},
		gen.SliceOf(gen.IntRange(0, 5)),
	))
	properties.TestingRun(t)
}

func spansMatchVersions(spans []Span, versions []int64) bool {
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
