// Package forward sends requests of callers to the upstreams of a route. It decides
// how many attempts a request gets, which upstreams they go to, and which answer or
// error the caller gets. All I/O goes through target.Transport, so the package is tested
// without a network.
package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/eventstream"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
)

const (
	// maxNotRunRetries limits the retries after attempts that did not run, for example
	// because the upstream refused the request. Such an attempt costs only a round trip.
	maxNotRunRetries = 4
	// returnMargin is subtracted from the time that an upstream gets for a request, so
	// that its answer reaches the caller before the deadline.
	returnMargin = 10 * time.Millisecond
	// maxBufferedBytes is how much of an answer is read before the caller gets its first
	// byte. Until then, an interrupted attempt can be retried.
	maxBufferedBytes = 64 << 10
	// maxAnswerBytes bounds the body of an answer, like the configurations' largest bound on that of a
	// request. One that is longer is not passed on to its end.
	maxAnswerBytes = 32 << 20
	// busyRetryAfter is the Retry-After of a request that every upstream refused. It is
	// short because slots of a plain service become free frequently.
	busyRetryAfter = 250 * time.Millisecond
	// noUpstreamRetryAfter is the Retry-After of a request whose service has no upstream.
	// A crashed upstream has to restart first, or its replacement has to be added to the
	// platform's list.
	noUpstreamRetryAfter = time.Second
)

// Call is one request of a caller.
type Call struct {
	ID      string
	Route   *route.Route
	Account string
	// Arrived is the time at which the request's header arrived.
	Arrived time.Time
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// Residency limits the failure domains to which the request may be sent.
	Residency route.Residency
	// LastEventID is the ID of the last event that the caller received, if it resumes a
	// stream.
	LastEventID string
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// EarlierLosses is the number of upstreams that may have ended under earlier calls of the request.
	EarlierLosses int
	// StopAfterLoss ends the call after its first lost answer, so that the caller can record that before the next call.
	StopAfterLoss bool
}

// Answer is an upstream's answer for the caller. Body holds its first bytes. Rest, if
// not nil, reads the remaining ones and must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Digest is the upstream's digest of the answer; empty if it gave none.
	Digest string
	// Length is the length of the complete body in bytes; -1 if it is not known.
	Length int64
	Body   []byte
	Rest   io.ReadCloser
}

// Meter counts the runs of requests at upstreams for each client account.
type Meter interface {
	// CountRun counts a run of a request of the account. at is the start of the run, which
	// determines its usage window.
	CountRun(account string, at time.Time)
	// CountPendingRun counts a run that the upstream may still refuse. ConfirmRun or
	// UncountRun must follow with the same at.
	CountPendingRun(account string, at time.Time)
	// ConfirmRun records that a pending run began or may have begun.
	ConfirmRun(account string, at time.Time)
	// UncountRun subtracts a pending run, because the upstream did not run the request.
	UncountRun(account string, at time.Time)
}

// Unmetered is a Meter that counts nothing. It is used for requests that do not come
// from a caller and are not part of any usage.
type Unmetered struct{}

// CountRun implements Meter.
func (Unmetered) CountRun(string, time.Time) {}

// CountPendingRun implements Meter.
func (Unmetered) CountPendingRun(string, time.Time) {}

// ConfirmRun implements Meter.
func (Unmetered) ConfirmRun(string, time.Time) {}

// UncountRun implements Meter.
func (Unmetered) UncountRun(string, time.Time) {}

// Forwarder forwards requests to upstreams. It is safe for concurrent use.
type Forwarder struct {
	Roster      *target.Roster
	Transport   target.Transport
	Meter       Meter
	Events      *event.Recorder
	RetryBudget *retry.Budget
	// Domain is the failure domain of this VM.
	Domain string
	// StreamMemory bounds the memory of long events of streams. Without it there is no bound but that of each event.
	StreamMemory *eventstream.Memory
	// Admission lets plain requests wait for capacity. Without it they are sent at once.
	Admission Admission
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	entry  *target.Entry
	answer *Answer
	err    error
	// execution says whether the request ran at the upstream, if err is set.
	execution fault.Execution
	// full is true if the upstream refused the request because it had no free slot.
	full bool
}

// pendingAttempt is an attempt whose result has not been received.
type pendingAttempt struct {
	cancel    context.CancelFunc
	startedAt time.Time
}

// inflightRequest is the state of one request while Do forwards it.
type inflightRequest struct {
	*Forwarder
	call    Call
	service string
	results chan attemptResult
	// pending holds the attempts whose result has not been received.
	pending map[*target.Entry]pendingAttempt

	// tried holds the upstreams to which the request was sent.
	tried []*target.Entry
	// ranAttempts counts the failed attempts that ran or may have run.
	ranAttempts int
	// notRunAttempts counts the failed attempts that did not run.
	notRunAttempts int
	// pendingCount is the number of pending attempts.
	pendingCount int
	// unanswered counts the failed attempts whose upstream may have ended: it ran the request, or may
	// have, and gave no complete answer.
	unanswered int
	// lost holds the upstreams of these attempts, but for those that the caller's deadline ended.
	lost []target.Incarnation
	// failedAnswers counts the answers that say that the request itself failed.
	failedAnswers int
	lastErr       error
	// refusal is the error with which the request was refused instead of being sent again.
	refusal error
	// execution says whether the request ran in any attempt so far.
	execution fault.Execution
}

// Do sends a request to upstreams until one of them answers it. It retries failed
// attempts and hedges slow ones as far as the route and the retry budget allow. ctx
// must end when the caller cancels the request or its deadline is exceeded. For a
// returned error, fault.ExecutionOf says whether the request ran.
func (f *Forwarder) Do(ctx context.Context, call Call) (*Answer, error) {
	r := &inflightRequest{
		Forwarder: f,
		call:      call,
		service:   call.Route.Service(call.ID),
		results:   make(chan attemptResult, call.Route.Attempts+maxNotRunRetries+1),
		pending:   make(map[*target.Entry]pendingAttempt),
		execution: fault.NotRun,
	}
	switch started, err := r.acquireAttempt(ctx); {
	case err != nil:
		return nil, err
	case !started:
		return nil, r.noUpstreamError()
	}
	defer r.recordCanceled()
	hedgeTimer := time.NewTimer(r.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.cancelAll()
			return nil, r.withAttempts(r.contextError(ctx))
		case <-hedgeTimer.C:
			if r.allowHedge() {
				r.startSpareAttempt(ctx)
			}
		case a := <-r.results:
			r.pendingCount--
			if a.err == nil {
				r.recordSuccess(a.entry)
				return a.answer, nil
			}
			r.recordFailure(a)
			if ctx.Err() == nil && r.allowRetry(a) && r.repeat(ctx, a) {
				continue
			}
			if r.pendingCount == 0 {
				r.cancelAll()
				return nil, r.withAttempts(r.finalError(ctx))
			}
		}
	}
}

func (r *inflightRequest) hedgeDelay() time.Duration {
	here, elsewhere := r.Roster.ExpectedTimes(r.tried[0], time.Now())
	return HedgeDelay(r.call.Route.Objective, here, elsewhere)
}

// allowHedge reports whether a second attempt may run concurrently with the first. If
// so, it has taken a retry from the budget. A hedge uses spare capacity only: at a loaded
// service it would delay other requests as much as it helps this one.
func (r *inflightRequest) allowHedge() bool {
	return !r.Roster.Loaded(r.service, time.Now()) && !r.admission().Waiting(r.service) && r.call.Route.Kind == route.Idempotent && r.pendingCount == 1 &&
		r.ranAttempts+r.pendingCount < r.call.Route.Attempts && r.mayEndAnother() && r.RetryBudget.Take()
}

// allowRetry reports whether the request may be sent again after a failed attempt. An
// attempt that did not run does not count as one of the route's attempts, and its retry
// needs no budget. Any other retry has been taken from the budget.
func (r *inflightRequest) allowRetry(a attemptResult) bool {
	if a.execution == fault.NotRun {
		r.notRunAttempts++
		return r.notRunAttempts <= maxNotRunRetries
	}
	if !r.call.Route.Repeatable() || r.ranAttempts+r.pendingCount >= r.call.Route.Attempts || !r.mayEndAnother() {
		return false
	}
	return r.RetryBudget.Take()
}

// mayEndAnother reports whether the request may be sent to another upstream, given how many may have
// ended under it, whatever number of attempts the route allows. The caller waits, so there is no time
// to find out whether they did.
func (r *inflightRequest) mayEndAnother() bool {
	if r.call.StopAfterLoss && r.unanswered > 0 {
		return false
	}
	return r.call.EarlierLosses+r.unanswered+r.pendingCount < suspicion.MaxEnds
}

func (r *inflightRequest) criteria() target.Criteria {
	return target.Criteria{Service: r.service, Domain: r.Domain, Residency: r.call.Residency, Skip: r.tried}
}

// acquireAttempt starts an attempt at the next upstream with capacity, for which the request may
// wait. started is false if there is no upstream left.
func (r *inflightRequest) acquireAttempt(ctx context.Context) (started bool, err error) {
	g, err := r.admission().Acquire(ctx, AdmissionRequest{Call: &r.call, Criteria: r.criteria()})
	if err != nil || g == nil {
		return false, err
	}
	r.startAttempt(ctx, g)
	return true, nil
}

// startSpareAttempt starts an attempt at the next upstream that is not known to be full. It returns
// false if there is none left.
func (r *inflightRequest) startSpareAttempt(ctx context.Context) bool {
	c := r.criteria()
	c.SpareOnly = true
	entry := r.Roster.Reserve(c)
	if entry != nil {
		r.startAttempt(ctx, entryGrant{entry})
	}
	return entry != nil
}

// repeat starts another attempt after a failed one. A request that a full upstream refused waits
// for capacity again instead of being passed from one upstream to the next. While another attempt is
// pending the request does not wait, since its answer may arrive.
func (r *inflightRequest) repeat(ctx context.Context, a attemptResult) bool {
	switch {
	case a.full && r.pendingCount > 0:
		return false
	case a.full && r.Admission == nil || r.pendingCount > 0:
		return r.startSpareAttempt(ctx)
	case a.full:
		r.tried = slices.DeleteFunc(r.tried, func(e *target.Entry) bool { return e == a.entry })
	}
	started, err := r.acquireAttempt(ctx)
	if err != nil {
		r.refusal = err
	}
	return started
}

// startAttempt starts an attempt at the upstream of a grant.
func (r *inflightRequest) startAttempt(ctx context.Context, g Grant) {
	entry := g.Upstream()
	r.tried = append(r.tried, entry)
	r.pendingCount++
	attemptCtx, cancel := context.WithCancel(ctx)
	r.pending[entry] = pendingAttempt{cancel: cancel, startedAt: time.Now()}
	r.Events.Emit(event.RequestDispatched, event.Subject{Request: r.call.ID, Account: r.call.Account, Upstream: entry.Info().ID, Attempt: len(r.tried)})
	go func() {
		a := r.runAttempt(attemptCtx, entry)
		g.End(grantOutcome(a))
		r.results <- a
	}()
}

func grantOutcome(a attemptResult) GrantOutcome {
	switch {
	case a.full:
		return GrantRefused
	case a.err == nil:
		return GrantAnswered
	}
	return GrantFailed
}

// runAttempt sends the request to an upstream and buffers the first bytes of the answer.
// After that the attempt can't be retried, since the caller gets these bytes.
func (r *inflightRequest) runAttempt(ctx context.Context, entry *target.Entry) attemptResult {
	started := time.Now()
	// The run is counted when the request is sent, because its usage window may be
	// closed before a slow upstream answers.
	r.Meter.CountPendingRun(r.call.Account, started)
	response, err := r.send(ctx, entry, r.request(ctx))
	if err != nil && fault.ExecutionOf(err) == fault.NotRun {
		r.Meter.UncountRun(r.call.Account, started)
	} else {
		r.Meter.ConfirmRun(r.call.Account, started)
	}
	if err != nil {
		return r.failedAttempt(entry, err, fault.ExecutionOf(err))
	}
	answer, err := buffer(r.call.Method, response, func() { r.noteEndlessAnswer(entry) })
	if err != nil {
		return r.failedAttempt(entry, err, fault.Ran)
	}
	entry.NoteAnswerTime(time.Since(started), time.Now())
	entry.NoteRunningSince(started)
	if answer.Status >= http.StatusInternalServerError && r.call.Route.Repeatable() {
		closeRest(answer)
		return attemptResult{entry: entry, answer: nil, err: errors.WithStack(&serverError{answer: answer}), execution: fault.Ran}
	}
	return attemptResult{entry: entry, answer: answer}
}

// send sends one attempt to an upstream. It returns an error if the upstream refuses to
// run the request. An upstream that does not answer becomes uncertain, since it may be
// restarting.
func (f *Forwarder) send(ctx context.Context, entry *target.Entry, request *target.Request) (*target.Response, error) {
	response, err := f.Transport.Call(ctx, entry, request)
	if err != nil {
		if ctx.Err() == nil && !fault.HasAnswered(err) {
			entry.NoteUnanswered()
		}
		return nil, err
	}
	if response.NotRun {
		_ = response.Body.Close()
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: entry.Info().ID, Reason: "refused", Answered: true}), fault.NotRun)
	}
	return response, nil
}

func (r *inflightRequest) failedAttempt(entry *target.Entry, err error, execution fault.Execution) attemptResult {
	full := execution == fault.NotRun && fault.HasAnswered(err) && entry.Loaded(time.Now())
	return attemptResult{entry: entry, err: err, execution: execution, full: full}
}

// request returns the request of an attempt, with the time that remains until the deadline
// of ctx.
func (r *inflightRequest) request(ctx context.Context) *target.Request {
	request := &target.Request{
		ID:          r.call.ID,
		Method:      r.call.Method,
		URI:         r.call.URI,
		Host:        r.call.Host,
		Header:      r.call.Header,
		Body:        r.call.Body,
		Account:     r.call.Account,
		LastEventID: r.call.LastEventID,
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Remaining = max(time.Until(deadline)-returnMargin, time.Millisecond)
	}
	return request
}

// buffer reads the first bytes of an answer. An answer of less than maxBufferedBytes is
// read completely. onEndless is called if the rest turns out to be longer than maxAnswerBytes.
func buffer(method string, response *target.Response, onEndless func()) (*Answer, error) {
	if response.Length > maxAnswerBytes && method != http.MethodHead {
		_ = response.Body.Close()
		return nil, errors.WithStack(&fault.UpstreamFailed{Reason: "an answer that is too long", Answered: true, Endless: true})
	}
	answer := &Answer{Status: response.Status, Header: response.Header, Digest: response.Digest, Length: response.Length}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		_ = response.Body.Close()
		return nil, errors.WithStack(&fault.AnswerTruncated{})
	}
	answer.Body = body
	if len(body) < maxBufferedBytes {
		_ = response.Body.Close()
		answer.Length = int64(len(body))
		return answer, nil
	}
	answer.Rest = &boundedBody{ReadCloser: response.Body, left: maxAnswerBytes - maxBufferedBytes, onEndless: onEndless}
	return answer, nil
}

// noteEndlessAnswer records that an answer of which the caller has a part has no end.
func (r *inflightRequest) noteEndlessAnswer(entry *target.Entry) {
	backoff := entry.NoteFailure(time.Now())
	info := entry.Info()
	r.Events.Emit(event.AttemptFailed, event.Subject{
		Request: r.call.ID, Account: r.call.Account, Upstream: info.ID, Incarnation: info.Started,
		Detail: "the rest of the answer has no end", Count: backoff.Milliseconds(),
	})
}

// recordFailure records a failed attempt in the state of the request and, unless the
// caller canceled the request, in the entry of the upstream, which is then avoided for a
// backoff. A full upstream is not avoided: it serves as many requests as its slots allow, and its
// report of the load lowers its share of them.
func (r *inflightRequest) recordFailure(a attemptResult) {
	r.pending[a.entry].cancel()
	delete(r.pending, a.entry)
	r.lastErr = a.err
	r.execution = r.execution.Or(a.execution)
	answer, answered := ServerErrorAnswer(a.err)
	answered = answered || fault.HasAnswered(a.err)
	if a.execution != fault.NotRun {
		r.ranAttempts++
		if !answered {
			r.unanswered++
			r.lost = append(r.lost, a.entry.Incarnation())
		}
	}
	if answer != nil && answer.Status == http.StatusInternalServerError {
		r.failedAnswers++
	}
	detail := string(fault.CodeOf(a.err))
	var backoff time.Duration
	if !a.full && !fault.Is[*fault.CallerGone](a.err) {
		backoff = a.entry.NoteFailure(time.Now())
	}
	r.Events.Emit(event.AttemptFailed, event.Subject{
		Request: r.call.ID, Account: r.call.Account, Upstream: a.entry.Info().ID, Incarnation: a.entry.Info().Started, Attempt: len(r.tried),
		Detail: detail + " " + string(a.execution) + ": " + a.err.Error(), Count: backoff.Milliseconds(),
	})
}

// recordSuccess records the answer of an upstream and cancels the other attempts. Their
// durations so far are noted as unit times of their upstreams: an upstream that hangs
// without failing would otherwise keep its low average and be the first choice for every
// new request.
func (r *inflightRequest) recordSuccess(winner *target.Entry) {
	winner.NoteSuccess()
	r.RetryBudget.NoteSuccess()
	now := time.Now()
	for entry, other := range r.pending {
		if entry != winner {
			entry.NoteUnitTime(now.Sub(other.startedAt), now)
			other.cancel()
		}
	}
}

func (r *inflightRequest) cancelAll() {
	for _, attempt := range r.pending {
		attempt.cancel()
	}
}

// recordCanceled emits an event for each attempt whose result Do did not wait for, as soon
// as the result is known.
func (r *inflightRequest) recordCanceled() {
	if r.pendingCount == 0 {
		return
	}
	go func() {
		for range r.pendingCount {
			a := <-r.results
			execution := a.execution
			if a.err == nil {
				execution = fault.Ran
			}
			r.Events.Emit(event.AttemptCanceled, event.Subject{
				Request: r.call.ID, Account: r.call.Account, Upstream: a.entry.Info().ID, Detail: string(execution),
			})
		}
	}()
}

// noUpstreamError returns the error of a request for which no upstream was found.
func (r *inflightRequest) noUpstreamError() error {
	return fault.WithExecution(errors.WithStack(&fault.NoUpstream{Pool: r.service, Wait: noUpstreamRetryAfter}), fault.NotRun)
}

// finalError returns the error for the caller after the last attempt has failed.
func (r *inflightRequest) finalError(ctx context.Context) error {
	if ctx.Err() != nil {
		return r.contextError(ctx)
	}
	if r.execution == fault.NotRun && r.refusal != nil {
		return r.refusal
	}
	if r.execution == fault.NotRun {
		return fault.WithExecution(errors.WithStack(&fault.NoUpstream{Pool: r.service, Wait: busyRetryAfter}), fault.NotRun)
	}
	return fault.WithExecution(r.lastErr, r.execution)
}

// contextError returns the error for the caller after ctx has ended. A pending attempt
// may have run.
func (r *inflightRequest) contextError(ctx context.Context) error {
	execution := r.execution
	if r.pendingCount > 0 {
		execution = execution.Or(fault.Unknown)
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.WithExecution(errors.WithStack(&fault.DeadlineExceeded{}), execution)
	}
	return fault.WithExecution(errors.WithStack(&fault.CallerGone{}), execution)
}

// serverError is the error of an attempt that an upstream answered with a status of 500
// or above. The caller gets that answer if no other attempt succeeds.
type serverError struct{ answer *Answer }

func (*serverError) Error() string { return "the upstream answered with a server error" }

// Code implements fault.Failure.
func (*serverError) Code() fault.Code { return fault.CodeUpstreamFailed }

// ServerErrorAnswer returns the answer with a status of 500 or above that caused err, if there is
// one.
func ServerErrorAnswer(err error) (*Answer, bool) {
	var s *serverError
	if errors.As(err, &s) {
		return s.answer, true
	}
	return nil, false
}

// callError is the error of a call together with the number of answers that say that the
// request itself failed, and the upstreams whose answers were lost.
type callError struct {
	cause   error
	answers int
	lost    []target.Incarnation
}

func (e *callError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// withAttempts adds the number of failed answers and the upstreams without an answer to err, if there
// are any.
func (r *inflightRequest) withAttempts(err error) error {
	if r.failedAnswers == 0 && len(r.lost) == 0 {
		return err
	}
	return &callError{cause: err, answers: r.failedAnswers, lost: r.lost}
}

// LostUpstreams returns the upstreams that may have ended under a failed call: their answers were lost,
// and not because the call's time had passed.
func LostUpstreams(err error) []target.Incarnation {
	var e *callError
	if errors.As(err, &e) {
		return e.lost
	}
	return nil
}

// FailedAnswerCount returns the number of upstreams that answered a failed call with status
// 500: the request itself failed, as opposed to an upstream that could not run it.
func FailedAnswerCount(err error) int {
	var e *callError
	if errors.As(err, &e) {
		return e.answers
	}
	return 0
}

func closeRest(answer *Answer) {
	if answer.Rest != nil {
		_ = answer.Rest.Close()
	}
}
