package generate

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/retry"
)

// maxFruitless bounds the attempts in a row that bring no token.
const maxFruitless = 4

// Local runs generations on the upstreams that this VM reaches.
type Local struct {
	view       *contract.View
	dispatcher dispatch.Dispatcher
	engines    *engine.Client
	retries    *retry.Policy
	events     *event.Recorder
}

// NewLocal returns a runner over the VM's dispatcher.
func NewLocal(view *contract.View, dispatcher dispatch.Dispatcher, engines *engine.Client, retries *retry.Policy, events *event.Recorder) *Local {
	return &Local{view: view, dispatcher: dispatcher, engines: engines, retries: retries, events: events}
}

// Generate implements Runner.
func (l *Local) Generate(ctx context.Context, request Request, sink Sink) (Result, error) {
	c, ok := l.view.Load().Contracts[request.Account]
	if !ok {
		unknown := errors.WithStack(&fault.AccountUnknown{Account: string(request.Account)})
		return Result{}, fault.WithExecution(unknown, fault.NotRun)
	}
	if request.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Timeout)
		defer cancel()
	}
	g := &generation{
		local:     l,
		request:   request,
		contract:  c,
		sink:      sink,
		result:    Result{ID: request.ID},
		execution: fault.NotRun,
		delays:    retry.NewDelays(),
	}
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
	// fruitless counts the latest attempts that brought no token.
	fruitless int
	// execution is what all attempts so far may have run.
	execution fault.Execution
	delays    *retry.Delays
}

// run makes attempts until one completes the answer or the generation is given
// up. A failure carries what all attempts together may have run.
func (g *generation) run(ctx context.Context) (Result, error) {
	for {
		err := g.attempt(ctx)
		if err == nil {
			g.local.retries.Success(g.pool().String())
			return g.result, nil
		}
		g.execution = g.execution.Or(fault.ExecutionOf(err))
		if ctx.Err() != nil {
			return Result{}, fault.WithExecution(ended(ctx), g.execution)
		}
		if !g.mayRetry(err) {
			return Result{}, fault.WithExecution(err, g.execution)
		}
		if !g.delays.Wait(ctx) {
			return Result{}, fault.WithExecution(ended(ctx), g.execution)
		}
	}
}

// mayRetry decides without waiting, so that a request that is given up on gets
// its answer at once.
func (g *generation) mayRetry(err error) bool {
	if g.result.FinishReason != "" || g.fruitless >= maxFruitless {
		return false
	}
	if fault.Is[*fault.NoUpstream](err) && len(g.exclude) > 0 {
		// Only upstreams that failed this generation are left; one of them may
		// be well again.
		g.exclude = nil
		return true
	}
	return repeatable(err) && g.local.retries.Take(g.pool().String())
}

// retryAfter is when the caller of an ended generation should come back.
const retryAfter = 2 * time.Second

// ended turns the end of a context into a failure.
func ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.WithStack(&fault.DeadlineExceeded{Wait: retryAfter})
	}
	return errors.WithStack(&fault.CallerGone{})
}

// repeatable reports whether another engine may do better.
func repeatable(err error) bool {
	return fault.Is[*fault.UpstreamFailed](err) || fault.Is[*fault.AnswerTruncated](err)
}

// attempt runs one attempt. What the dispatcher refuses has not run.
func (g *generation) attempt(ctx context.Context) error {
	grant, report, err := g.acquire(ctx)
	if err != nil {
		return fault.WithExecution(err, fault.NotRun)
	}
	g.result.Attempts++
	g.emit(event.RequestDispatched, grant.Upstream.ID, "")
	before := len(g.result.Tokens)
	if before > 0 {
		g.emit(event.StreamResumed, grant.Upstream.ID, "")
	}
	settled := false
	// A panic must not keep the place: the engine would look full for ever.
	defer func() {
		if !settled {
			report(retry.Abandoned)
			grant.Done(dispatch.Result{})
		}
	}()
	err = g.stream(ctx, grant)
	settled = true
	failed := err != nil && repeatable(err) && ctx.Err() == nil
	report(outcomeOf(err, failed))
	got := len(g.result.Tokens) - before
	grant.Done(dispatch.Result{Cost: int64(got), Failed: failed})
	g.fruitless++
	if got > 0 {
		g.fruitless = 0
	}
	if err != nil {
		g.emit(event.AttemptFailed, grant.Upstream.ID, string(fault.CodeOf(err)))
		g.exclude = append(g.exclude, grant.Upstream.ID)
	}
	return err
}

func outcomeOf(err error, failed bool) retry.Outcome {
	switch {
	case err == nil:
		return retry.Succeeded
	case failed:
		return retry.Failed
	default:
		return retry.Abandoned
	}
}

// acquire gets a place on an upstream whose circuit lets an attempt through.
func (g *generation) acquire(ctx context.Context) (dispatch.Grant, func(retry.Outcome), error) {
	var closed []string
	for {
		work := g.work()
		work.Exclude = slices.Concat(g.exclude, g.local.retries.Open(), closed)
		grant, err := g.local.dispatcher.Acquire(ctx, work)
		if err != nil {
			return dispatch.Grant{}, nil, err
		}
		report, allowed := g.local.retries.Allow(grant.Upstream.ID)
		if allowed {
			return grant, report, nil
		}
		grant.Done(dispatch.Result{})
		closed = append(closed, grant.Upstream.ID)
	}
}

// stream follows one engine's stream. The chunk with the finish reason is the
// last one by the protocol, so an answer that has it is whole even if the
// terminal event was lost.
func (g *generation) stream(ctx context.Context, grant dispatch.Grant) error {
	err := g.local.engines.Stream(ctx, grant.Upstream.Address, g.completion(), func(c engine.CompletionChunk) error {
		return g.take(grant.Upstream.ID, c)
	})
	finished := g.result.FinishReason != ""
	if err == nil && !finished {
		truncated := errors.WithStack(&fault.AnswerTruncated{Upstream: grant.Upstream.ID})
		return fault.WithExecution(truncated, fault.Ran)
	}
	if finished && fault.Is[*fault.AnswerTruncated](err) {
		return nil
	}
	return err
}

func (g *generation) pool() dispatch.Pool {
	return dispatch.Pool{Kind: platform.KindEngine, Model: g.request.Model, Adapter: g.request.Adapter}
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
		Pool:       g.pool(),
		Cost:       int64(g.request.MaxTokens - len(g.result.Tokens)),
		Background: g.request.Priority == Rollout,
		Repeatable: true,
		MinVersion: g.request.MinVersion,
		Affinity:   affinity,
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

// take adds a chunk to the answer. A chunk that leaves a gap, repeats tokens or
// comes after the last one would corrupt the answer unseen, so the offset must
// be exactly the next and the length within what was asked for.
func (g *generation) take(upstreamID string, wire engine.CompletionChunk) error {
	choice := wire.Choices[0]
	if problem := g.chunkProblem(wire.Model, choice); problem != "" {
		return errors.WithStack(&fault.UpstreamFailed{Upstream: upstreamID, Reason: problem})
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

// chunkProblem names what is wrong with a chunk.
func (g *generation) chunkProblem(model string, choice engine.CompletionChoice) string {
	switch {
	case g.result.FinishReason != "":
		return "a chunk after the last"
	case choice.Offset != len(g.result.Tokens):
		return "a chunk is out of order"
	case choice.Offset+len(choice.Tokens) > g.request.MaxTokens:
		return "more tokens than asked for"
	case model != g.request.Model:
		return "a chunk of another model"
	default:
		return ""
	}
}

// AppendSpan extends the spans of an answer by a chunk. A chunk without tokens,
// as some engines send with the finish reason, has nothing to attribute.
func AppendSpan(spans []Span, c Chunk) []Span {
	if len(c.Tokens) == 0 {
		return spans
	}
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
