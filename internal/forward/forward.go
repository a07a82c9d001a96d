// Package forward carries callers' requests to the upstreams of a route. It
// decides how often a request is sent, where to, and what the caller is told; it
// does no I/O but through target.Caller, and is tested without a network.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

const (
	// hedgeShare is the part of the latency objective after which an idempotent
	// request without an answer is sent to a second upstream: late enough that few
	// requests are sent twice, and early enough that one to a dead upstream still
	// comes in time.
	hedgeShare = 0.4
	// hedgeAtLeast keeps routes with a very short objective from doubling
	// everything.
	hedgeAtLeast = 20 * time.Millisecond
	// refusedTries bounds the attempts that upstreams refused unrun; each costs
	// a round trip only.
	refusedTries = 4
	// wayBack is what is taken off a request's time for the way of its answer to
	// the caller.
	wayBack = 10 * time.Millisecond
	// maxBuffered is how much of an answer in bytes is read before the caller gets its
	// first one. Until then an attempt that breaks off can be repeated.
	maxBuffered = 64 << 10
	// busyWait is the Retry-After when every upstream refused; slots of a plain
	// service free all the time.
	busyWait = 250 * time.Millisecond
	// absentWait is the Retry-After when a service has no upstream: a crashed one has
	// to start again first, or its successor to be listed.
	absentWait = time.Second
)

// Call is one request of a caller.
type Call struct {
	ID      string
	Route   *route.Route
	Account string
	// Arrived is when the request's header came.
	Arrived time.Time
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// Residency limits the failure domains to which the request may go.
	Residency route.Residency
	// Resume is the last event that the caller has, when it resumes a stream.
	Resume string
}

// Answer is what the caller gets of an upstream. Body holds the first bytes;
// Rest, if not nil, holds what follows and must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Digest is the upstream's digest of the answer.
	Digest string
	Length int64
	Body   []byte
	Rest   io.ReadCloser
}

// Meter counts the runs that upstreams began.
type Meter interface {
	// Began notes that an upstream began to run a request of the account.
	Began(account string, at time.Time)
	// Refused takes back a run that was counted at that moment.
	Refused(account string, at time.Time)
}

// Unmetered is the meter of requests that are not callers' own and lie outside usage.
type Unmetered struct{}

// Began implements Meter.
func (Unmetered) Began(string, time.Time) {}

// Refused implements Meter.
func (Unmetered) Refused(string, time.Time) {}

// Forwarder sends requests on. It is safe for concurrent use.
type Forwarder struct {
	Roster *target.Roster
	Caller target.Caller
	Meter  Meter
	Events *event.Recorder
	Budget *retry.Budget
	// Domain is the failure domain of this VM.
	Domain string
}

// attempt is one try and what became of it.
type attempt struct {
	entry  *target.Entry
	answer *Answer
	err    error
	// execution is what is known about the run when err is set.
	execution fault.Execution
}

// sent is an attempt that is out.
type sent struct {
	cancel context.CancelFunc
	at     time.Time
}

// run is one request on its way.
type run struct {
	*Forwarder
	call    Call
	service string
	results chan attempt
	open    map[*target.Entry]sent

	used    []*target.Entry
	ran     int
	refused int
	pending int
	// failedAnswers counts the upstreams that answered that the request failed.
	failedAnswers int
	last          error
	// execution is what is known of the run after all attempts so far.
	execution fault.Execution
}

// Do sends a request until an upstream answers it. ctx ends when the caller is
// gone or the request's time is over. It fails with a failure that is marked with
// what is known about the run.
func (f *Forwarder) Do(ctx context.Context, call Call) (*Answer, error) {
	r := &run{
		Forwarder: f,
		call:      call,
		service:   call.Route.Service(call.ID),
		results:   make(chan attempt, call.Route.Attempts+refusedTries+1),
		open:      make(map[*target.Entry]sent),
		execution: fault.NotRun,
	}
	if !r.launch(ctx) {
		return nil, r.absent()
	}
	hedge := time.NewTimer(r.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			r.cancelAll()
			return nil, r.counted(r.outOfTime(ctx))
		case <-hedge.C:
			if r.mayHedge() {
				r.launch(ctx)
			}
		case a := <-r.results:
			r.pending--
			if a.err == nil {
				r.keepOnly(a.entry)
				return a.answer, nil
			}
			r.note(a)
			if ctx.Err() == nil && r.mayRepeat(a) && r.launch(ctx) {
				continue
			}
			if r.pending == 0 {
				r.cancelAll()
				return nil, r.counted(r.failure(ctx))
			}
		}
	}
}

func (r *run) hedgeAfter() time.Duration {
	return max(time.Duration(float64(r.call.Route.Objective)*hedgeShare), hedgeAtLeast)
}

// mayHedge reports whether a second attempt may run beside the first.
func (r *run) mayHedge() bool {
	return r.call.Route.Kind == route.Idempotent && r.pending == 1 &&
		r.ran+r.pending < r.call.Route.Attempts && r.Budget.Take()
}

// mayRepeat reports whether another attempt may follow a failed one. An attempt
// that the upstream refused unrun does not count as one of the route's attempts.
func (r *run) mayRepeat(a attempt) bool {
	if a.execution == fault.NotRun {
		r.refused++
		return r.refused <= refusedTries
	}
	if !r.call.Route.Repeatable() || r.ran+r.pending >= r.call.Route.Attempts {
		return false
	}
	return r.Budget.Take()
}

// launch sends the request to the next upstream; false when there is none left.
func (r *run) launch(ctx context.Context) bool {
	entry := r.Roster.Reserve(target.Want{Service: r.service, Domain: r.Domain, Residency: r.call.Residency, Skip: r.used})
	if entry == nil {
		return false
	}
	r.used = append(r.used, entry)
	r.pending++
	attemptCtx, cancel := context.WithCancel(ctx)
	r.open[entry] = sent{cancel: cancel, at: time.Now()}
	r.Events.Emit(event.RequestDispatched, event.Subject{Request: r.call.ID, Account: r.call.Account, Upstream: entry.Info().ID, Attempt: len(r.used)})
	go func() {
		defer entry.End()
		r.results <- r.try(attemptCtx, entry)
	}()
	return true
}

// try runs one attempt up to the point from which it can't be repeated.
func (r *run) try(ctx context.Context, entry *target.Entry) attempt {
	started := time.Now()
	// A run counts from when it is sent: its window may be closed before a slow
	// upstream has answered.
	r.Meter.Began(r.call.Account, started)
	response, err := r.send(ctx, entry, r.request(ctx))
	if err != nil {
		if fault.ExecutionOf(err) == fault.NotRun {
			r.Meter.Refused(r.call.Account, started)
		}
		return r.failed(entry, err, fault.ExecutionOf(err))
	}
	answer, err := buffer(response)
	if err != nil {
		return r.failed(entry, err, fault.Ran)
	}
	entry.NoteSpeed(time.Since(started), time.Now())
	entry.RunsOn(started)
	if answer.Status >= http.StatusInternalServerError && r.call.Route.Repeatable() {
		closeRest(answer)
		return attempt{entry: entry, answer: nil, err: errors.WithStack(&serverError{answer: answer}), execution: fault.Ran}
	}
	return attempt{entry: entry, answer: answer}
}

// send sends one attempt to an upstream. An upstream that refuses it unrun is a failure,
// and one that gives no answer may be starting again.
func (f *Forwarder) send(ctx context.Context, entry *target.Entry, request *target.Request) (*target.Response, error) {
	response, err := f.Caller.Call(ctx, entry, request)
	if err != nil {
		if ctx.Err() == nil {
			entry.NoAnswer()
		}
		return nil, err
	}
	if response.NotRun {
		_ = response.Body.Close()
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: entry.Info().ID, Reason: "refused"}), fault.NotRun)
	}
	return response, nil
}

func (r *run) failed(entry *target.Entry, err error, execution fault.Execution) attempt {
	return attempt{entry: entry, err: err, execution: execution}
}

func (r *run) request(ctx context.Context) *target.Request {
	request := &target.Request{
		ID:          r.call.ID,
		Method:      r.call.Method,
		URI:         r.call.URI,
		Host:        r.call.Host,
		Header:      r.call.Header,
		Body:        r.call.Body,
		Account:     r.call.Account,
		ResumeAfter: r.call.Resume,
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Left = max(time.Until(deadline)-wayBack, time.Millisecond)
	}
	return request
}

// buffer reads an answer whole if it is short.
func buffer(response *target.Response) (*Answer, error) {
	answer := &Answer{Status: response.Status, Header: response.Header, Digest: response.Digest, Length: response.Length}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered))
	if err != nil {
		_ = response.Body.Close()
		return nil, errors.WithStack(&fault.AnswerTruncated{})
	}
	answer.Body = body
	if len(body) < maxBuffered {
		_ = response.Body.Close()
		answer.Length = int64(len(body))
		return answer, nil
	}
	answer.Rest = response.Body
	return answer, nil
}

// note takes what a failed attempt tells about its upstream and the run.
func (r *run) note(a attempt) {
	r.open[a.entry].cancel()
	delete(r.open, a.entry)
	r.last = a.err
	r.execution = r.execution.Or(a.execution)
	if a.execution != fault.NotRun {
		r.ran++
	}
	if answer, ok := AnswerOf(a.err); ok && answer.Status == http.StatusInternalServerError {
		r.failedAnswers++
	}
	detail := string(fault.CodeOf(a.err))
	var rest time.Duration
	if !fault.Is[*fault.CallerGone](a.err) {
		rest = a.entry.Failed(time.Now())
	}
	r.Events.Emit(event.AttemptFailed, event.Subject{
		Request: r.call.ID, Account: r.call.Account, Upstream: a.entry.Info().ID, Attempt: len(r.used),
		Detail: detail + " " + string(a.execution) + ": " + a.err.Error(), Count: rest.Milliseconds(),
	})
}

// keepOnly ends the other attempts once one has won. What they took so far counts as
// their upstreams' pace: one that hangs without failing would otherwise look as good as
// before, and be the first choice of each request anew.
func (r *run) keepOnly(winner *target.Entry) {
	winner.Succeeded()
	r.Budget.Success()
	now := time.Now()
	for entry, other := range r.open {
		if entry != winner {
			entry.NoteSpeed(now.Sub(other.at), now)
			other.cancel()
		}
	}
}

func (r *run) cancelAll() {
	for _, attempt := range r.open {
		attempt.cancel()
	}
}

func (r *run) absent() error {
	return fault.WithExecution(errors.WithStack(&fault.NoUpstream{Pool: r.service, Wait: absentWait}), fault.NotRun)
}

// failure is what the caller is told when no attempt is left.
func (r *run) failure(ctx context.Context) error {
	if ctx.Err() != nil {
		return r.outOfTime(ctx)
	}
	if r.execution == fault.NotRun {
		return fault.WithExecution(errors.WithStack(&fault.NoUpstream{Pool: r.service, Wait: busyWait}), fault.NotRun)
	}
	return fault.WithExecution(r.last, r.execution)
}

// outOfTime is what the caller is told when its time is over: an attempt that is
// still out may have run.
func (r *run) outOfTime(ctx context.Context) error {
	execution := r.execution
	if r.pending > 0 {
		execution = execution.Or(fault.Unknown)
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.WithExecution(errors.WithStack(&fault.DeadlineExceeded{}), execution)
	}
	return fault.WithExecution(errors.WithStack(&fault.CallerGone{}), execution)
}

// serverError is a failure that an upstream itself answered; its answer is
// passed on when no other attempt does better.
type serverError struct{ answer *Answer }

func (*serverError) Error() string { return "the upstream answered with a server error" }

// Code implements fault.Failure.
func (*serverError) Code() fault.Code { return fault.CodeUpstreamFailed }

// AnswerOf returns the upstream's own failure that a call ended with, if any.
func AnswerOf(err error) (*Answer, bool) {
	var s *serverError
	if errors.As(err, &s) {
		return s.answer, true
	}
	return nil, false
}

// failedCall is the failure of a call with the number of upstreams that answered that
// the request itself failed.
type failedCall struct {
	cause   error
	answers int
}

func (f *failedCall) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *failedCall) Unwrap() error { return f.cause }

// counted notes the number of failed answers at a failure.
func (r *run) counted(err error) error {
	if r.failedAnswers == 0 {
		return err
	}
	return &failedCall{cause: err, answers: r.failedAnswers}
}

// FailedAnswers returns how many upstreams answered a call that failed by saying that
// the request failed, rather than that they could not take it.
func FailedAnswers(err error) int {
	var f *failedCall
	if errors.As(err, &f) {
		return f.answers
	}
	return 0
}

func closeRest(answer *Answer) {
	if answer.Rest != nil {
		_ = answer.Rest.Close()
	}
}
