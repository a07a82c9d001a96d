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
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/suspicion"
)

// maxEmptyAttempts limits the consecutive attempts that produce no token.
const maxEmptyAttempts = 4

// Local is a Runner for the upstreams that this VM can reach.
type Local struct {
	view       *contract.View
	dispatcher dispatch.Dispatcher
	engines    *engine.Client
	retries    *retry.Policy
	events     *event.Recorder
}

// NewLocal returns a runner that acquires upstreams from the VM's dispatcher.
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
		backoff:   retry.NewBackoff(),
	}
	return g.run(ctx)
}

// generation is the state of a running generation.
type generation struct {
	local    *Local
	request  Request
	contract contract.Contract
	sink     Sink
	result   Result
	// exclude lists the IDs of the upstreams that failed this generation.
	exclude []string
	// emptyAttempts counts the attempts since the last one that produced a token.
	emptyAttempts int
	// lostAnswers counts the attempts whose engine may have ended: it ran the request, or may have, and
	// the answer did not end.
	lostAnswers int
	// execution reports whether any attempt so far ran or may have run.
	execution fault.Execution
	backoff   *retry.Backoff
}

// run makes attempts until one completes the answer or no other attempt is
// allowed. Its error is marked with the combined execution of all attempts.
func (g *generation) run(ctx context.Context) (Result, error) {
	for {
		err := g.attempt(ctx)
		if err == nil {
			g.local.retries.NoteSuccess(g.pool().String())
			return g.result, nil
		}
		g.execution = g.execution.Or(fault.ExecutionOf(err))
		if ctx.Err() != nil {
			return Result{}, fault.WithExecution(contextError(ctx), g.execution)
		}
		if !g.allowRetry(err) {
			return Result{}, fault.WithExecution(err, g.execution)
		}
		if !g.backoff.Wait(ctx) {
			return Result{}, fault.WithExecution(contextError(ctx), g.execution)
		}
	}
}

// allowRetry reports whether another attempt may be made. A retry of a failed
// attempt is taken from the retry budget. allowRetry does not wait, so that a
// request that may not be retried is answered at once.
func (g *generation) allowRetry(err error) bool {
	if g.result.FinishReason != "" || g.emptyAttempts >= maxEmptyAttempts || g.lostAnswers >= suspicion.MaxEnds {
		return false
	}
	if fault.Is[*fault.NoUpstream](err) && len(g.exclude) > 0 {
		// The only upstreams left have failed this generation; one of them may
		// have recovered.
		g.exclude = nil
		return true
	}
	return isRetryable(err) && g.local.retries.Take(g.pool().String())
}

// retryAfter is the time after which a caller may retry when its deadline was
// exceeded.
const retryAfter = 2 * time.Second

// contextError returns the failure for a context that has ended.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.WithStack(&fault.DeadlineExceeded{Wait: retryAfter})
	}
	return errors.WithStack(&fault.CallerGone{})
}

// isRetryable reports whether the request may succeed on another engine.
func isRetryable(err error) bool {
	return fault.Is[*fault.UpstreamFailed](err) || fault.Is[*fault.AnswerTruncated](err)
}

// isAnswerLost reports whether an engine may have ended under an attempt that failed with err.
func isAnswerLost(err error) bool {
	var failed *fault.UpstreamFailed
	if errors.As(err, &failed) && failed.Answered {
		return false
	}
	return fault.ExecutionOf(err) != fault.NotRun
}

// attempt makes one attempt. If the dispatcher refuses the request, nothing ran.
func (g *generation) attempt(ctx context.Context) error {
	grant, report, err := g.acquire(ctx)
	if err != nil {
		return fault.WithExecution(err, fault.NotRun)
	}
	g.result.Attempts++
	g.emit(event.RequestDispatched, grant.Upstream.ID, "")
	tokensBefore := len(g.result.Tokens)
	if tokensBefore > 0 {
		g.emit(event.StreamResumed, grant.Upstream.ID, "")
	}
	reported := false
	// A panic must release the grant: otherwise the engine would look full
	// forever.
	defer func() {
		if !reported {
			report(retry.Inconclusive)
			grant.Done(dispatch.Result{})
		}
	}()
	err = g.stream(ctx, grant)
	reported = true
	failed := err != nil && isRetryable(err) && ctx.Err() == nil
	report(attemptOutcome(err, failed))
	produced := len(g.result.Tokens) - tokensBefore
	grant.Done(dispatch.Result{Cost: int64(produced), Failed: failed})
	g.emptyAttempts++
	if produced > 0 {
		g.emptyAttempts = 0
	}
	if failed && isAnswerLost(err) {
		g.lostAnswers++
	}
	if err != nil {
		g.emit(event.AttemptFailed, grant.Upstream.ID, string(fault.CodeOf(err)))
		g.exclude = append(g.exclude, grant.Upstream.ID)
	}
	return err
}

func attemptOutcome(err error, failed bool) retry.Outcome {
	switch {
	case err == nil:
		return retry.Succeeded
	case failed:
		return retry.Failed
	default:
		return retry.Inconclusive
	}
}

// acquire returns a grant for an upstream whose circuit admits an attempt, and the
// function that reports the attempt's outcome to the circuit.
func (g *generation) acquire(ctx context.Context) (dispatch.Grant, func(retry.Outcome), error) {
	var refused []string
	for {
		work := g.work()
		work.Exclude = slices.Concat(g.exclude, g.local.retries.OpenUpstreams(), refused)
		grant, err := g.local.dispatcher.Acquire(ctx, work)
		if err != nil {
			return dispatch.Grant{}, nil, err
		}
		report, allowed := g.local.retries.Allow(grant.Upstream.ID)
		if allowed {
			return grant, report, nil
		}
		grant.Done(dispatch.Result{})
		refused = append(refused, grant.Upstream.ID)
	}
}

// stream reads the stream of one attempt. The protocol makes the chunk with the
// finish reason the last one, so an answer that has it is complete even if the
// terminal event was lost.
func (g *generation) stream(ctx context.Context, grant dispatch.Grant) error {
	err := g.local.engines.Stream(ctx, grant.Upstream.Address, g.completion(), func(c engine.CompletionChunk) error {
		return g.addChunk(grant.Upstream.ID, c)
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
	return dispatch.Pool{Kind: platformapi.KindEngine, Model: g.request.Model, Adapter: g.request.Adapter}
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

// completion returns the engine's request. It is built from the generation alone;
// no header of the caller is forwarded.
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

// addChunk adds a chunk to the answer and delivers it to the sink. A chunk that
// leaves a gap, repeats tokens or follows the last chunk would corrupt the answer
// unnoticed. So its offset must be the number of tokens so far, and the answer must
// not exceed MaxTokens.
func (g *generation) addChunk(upstreamID string, wire engine.CompletionChunk) error {
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

// chunkProblem returns what is wrong with a chunk, or an empty string.
func (g *generation) chunkProblem(model string, choice engine.CompletionChoice) string {
	switch {
	case g.result.FinishReason != "":
		return "received a chunk after the finish reason"
	case choice.Offset != len(g.result.Tokens):
		return "received a chunk at an unexpected offset"
	case choice.Offset+len(choice.Tokens) > g.request.MaxTokens:
		return "received more tokens than requested"
	case model != g.request.Model:
		return "received a chunk of another model"
	default:
		return ""
	}
}

// AppendSpan extends the spans of an answer by the tokens of a chunk. A chunk
// without tokens, which some engines send with the finish reason, changes nothing.
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
