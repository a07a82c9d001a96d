package generate

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
)

// maxAttempts bounds the attempts of one generation.
const maxAttempts = 4

// Local runs generations on the upstreams that this VM reaches.
type Local struct {
	view       *contract.View
	dispatcher dispatch.Dispatcher
	engines    *engine.Client
	events     *event.Recorder
}

// NewLocal returns a runner over the VM's dispatcher.
func NewLocal(view *contract.View, dispatcher dispatch.Dispatcher, engines *engine.Client, events *event.Recorder) *Local {
	return &Local{view: view, dispatcher: dispatcher, engines: engines, events: events}
}

// Generate implements Runner.
func (l *Local) Generate(ctx context.Context, request Request, sink Sink) (Result, error) {
	c, ok := l.view.Load().Contracts[request.Account]
	if !ok {
		return Result{}, errors.WithStack(&fault.AccountUnknown{Account: string(request.Account)})
	}
	if request.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Timeout)
		defer cancel()
	}
	g := &generation{local: l, request: request, contract: c, sink: sink, result: Result{ID: request.ID}}
	return g.run(ctx)
}

// generation is one generation on its way.
type generation struct {
	local    *Local
	request  Request
	contract contract.Contract
	sink     Sink
	result   Result
	// exclude names the upstreams that failed this generation.
	exclude []string
}

func (g *generation) run(ctx context.Context) (Result, error) {
	for {
		err := g.attempt(ctx)
		if err == nil {
			return g.result, nil
		}
		if ctx.Err() != nil || !repeatable(err) || g.result.Attempts >= maxAttempts {
			return Result{}, err
		}
	}
}

// repeatable reports whether another engine may do better.
func repeatable(err error) bool {
	return fault.Is[*fault.UpstreamFailed](err) || fault.Is[*fault.AnswerTruncated](err)
}

func (g *generation) attempt(ctx context.Context) error {
	grant, err := g.local.dispatcher.Acquire(ctx, g.work())
	if err != nil {
		return err
	}
	g.result.Attempts++
	g.emit(event.RequestDispatched, grant.Upstream.ID, "")
	before := len(g.result.Tokens)
	if before > 0 {
		g.emit(event.StreamResumed, grant.Upstream.ID, "")
	}
	err = g.local.engines.Stream(ctx, grant.Upstream.Address, g.completion(), func(c engine.CompletionChunk) error {
		return g.take(grant.Upstream.ID, c)
	})
	if err == nil && g.result.FinishReason == "" {
		err = errors.WithStack(&fault.AnswerTruncated{Upstream: grant.Upstream.ID})
	}
	failed := err != nil && repeatable(err) && ctx.Err() == nil
	grant.Done(dispatch.Result{Cost: int64(len(g.result.Tokens) - before), Failed: failed})
	if err != nil {
		g.emit(event.AttemptFailed, grant.Upstream.ID, string(fault.CodeOf(err)))
		g.exclude = append(g.exclude, grant.Upstream.ID)
	}
	return err
}

func (g *generation) work() dispatch.Work {
	var affinity uint64
	if g.request.Group != "" {
		affinity = xxhash.Sum64String(string(g.request.Account) + "/" + g.request.Group)
	}
	return dispatch.Work{
		Request:    g.request.ID,
		Account:    g.request.Account,
		Contract:   g.contract,
		Pool:       dispatch.Pool{Kind: platform.KindEngine, Model: g.request.Model, Adapter: g.request.Adapter},
		Cost:       int64(g.request.MaxTokens - len(g.result.Tokens)),
		Background: g.request.Priority == Rollout,
		Repeatable: true,
		Affinity:   affinity,
		Exclude:    g.exclude,
		Retry:      g.result.Attempts > 0,
	}
}

// completion builds the engine's request anew, from nothing that the caller's
// headers held.
func (g *generation) completion() engine.CompletionRequest {
	return engine.CompletionRequest{
		RequestID: g.request.ID,
		Model:     g.request.Model,
		Adapter:   g.request.Adapter,
		Prompt:    g.request.Prompt,
		MaxTokens: g.request.MaxTokens,
		Seed:      g.request.Seed,
		Resume:    slices.Clone(g.result.Tokens),
	}
}

// take adds a chunk to the answer. A chunk that leaves a gap or repeats tokens
// would corrupt the answer unseen, so the offset must be exactly the next.
func (g *generation) take(upstreamID string, wire engine.CompletionChunk) error {
	choice := wire.Choices[0]
	if choice.Offset != len(g.result.Tokens) {
		return errors.WithStack(&fault.UpstreamFailed{Upstream: upstreamID, Reason: "a chunk is out of order"})
	}
	chunk := Chunk{
		Offset:      choice.Offset,
		Tokens:      choice.Tokens,
		Version:     wire.WeightVersion,
		Upstream:    upstreamID,
		Incarnation: wire.Incarnation,
	}
	g.result.Tokens = append(g.result.Tokens, chunk.Tokens...)
	g.result.Spans = AppendSpan(g.result.Spans, chunk)
	g.result.FinishReason = choice.FinishReason
	if g.sink == nil {
		return nil
	}
	return g.sink(chunk)
}

// AppendSpan extends the spans of an answer by a chunk.
func AppendSpan(spans []Span, c Chunk) []Span {
	next := Span{
		Start:       c.Offset,
		End:         c.Offset + len(c.Tokens),
		Version:     c.Version,
		Upstream:    c.Upstream,
		Incarnation: c.Incarnation,
	}
	if len(spans) == 0 {
		return append(spans, next)
	}
	last := &spans[len(spans)-1]
	if last.Version == next.Version && last.Upstream == next.Upstream && last.Incarnation == next.Incarnation {
		last.End = next.End
		return spans
	}
	return append(spans, next)
}

func (g *generation) emit(number event.Number, upstreamID, detail string) {
	g.local.events.Emit(number, event.Subject{
		Request:  g.request.ID,
		Account:  string(g.request.Account),
		Step:     g.request.Step,
		Slot:     g.request.Slot,
		Upstream: upstreamID,
		Attempt:  g.result.Attempts,
		Count:    int64(len(g.result.Tokens)),
		Detail:   detail,
	})
}
