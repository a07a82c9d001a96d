package entry

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"

	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/request"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/service"
	"dogwoodpond/internal/usage"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKey bounds an idempotency key in bytes.
	maxIdempotencyKey = 256
	// serviceTimeout bounds a call whose caller names no shorter bound.
	serviceTimeout = 30 * time.Second
	// claimTimeout bounds the wait for the store before a keyed call is refused.
	claimTimeout = 3 * time.Second
	// maxServiceAttempts bounds the attempts of one call.
	maxServiceAttempts = 4
)

// callService passes a call on to a plain service.
func (s *Server) callService(ctx context.Context, c caller, r *restful.Request, w *restful.Response) error {
	wanted, err := serviceCall(c, r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.bounded(wanted.timeout))
	defer cancel()
	answer, err := s.runService(ctx, c, wanted)
	if err != nil {
		return causeOf(ctx, err)
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return nil
}

// wantedCall is what a caller asks of a service.
type wantedCall struct {
	service        string
	idempotencyKey string
	timeout        time.Duration
	call           service.Call
}

// repeatable reports whether a second run does no harm. Of all methods only GET
// promises that for every service.
func (w wantedCall) repeatable() bool { return w.call.Method == http.MethodGet }

func serviceCall(c caller, r *restful.Request) (wantedCall, error) {
	query, err := url.ParseQuery(r.Request.URL.RawQuery)
	if err != nil {
		return wantedCall{}, badField("query", "can't be read")
	}
	path, rawPath, err := servicePath(r.Request.URL)
	if err != nil {
		return wantedCall{}, err
	}
	timeout, err := callTimeout(r.Request.Header.Get(service.HeaderTimeout))
	if err != nil {
		return wantedCall{}, err
	}
	idempotencyKey := r.Request.Header.Get(headerIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKey {
		return wantedCall{}, badField(headerIdempotencyKey, "is longer than 256 bytes")
	}
	return wantedCall{
		service:        r.PathParameter("service"),
		idempotencyKey: idempotencyKey,
		timeout:        timeout,
		call: service.Call{
			RequestID:   c.requestID,
			Method:      r.Request.Method,
			Path:        path,
			RawPath:     rawPath,
			Query:       query,
			ContentType: r.Request.Header.Get("Content-Type"),
			Accept:      r.Request.Header.Get("Accept"),
			Body:        c.body,
		},
	}, nil
}

// servicePrefix counts the parts of "/v1/services/{service}/".
const servicePrefix = 4

// servicePath returns the part of the path that belongs to the service, as the
// caller escaped it: an escaped slash is not the same as a slash.
func servicePath(u *url.URL) (path, rawPath string, err error) {
	parts := strings.SplitN(u.EscapedPath(), "/", servicePrefix+1)
	// The router skips empty parts; counting them would shift the rest.
	if slices.Contains(parts[1:min(servicePrefix, len(parts))], "") {
		return "", "", badField("path", "has an empty part before the service")
	}
	rawPath = "/"
	if len(parts) > servicePrefix {
		rawPath += parts[servicePrefix]
	}
	path, err = url.PathUnescape(rawPath)
	if err != nil {
		return "", "", badField("path", "can't be read")
	}
	return path, rawPath, nil
}

// callTimeout reads the caller's bound in milliseconds.
func callTimeout(text string) (time.Duration, error) {
	if text == "" {
		return serviceTimeout, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis < 1 {
		return 0, badField(service.HeaderTimeout, "must be a number from 1")
	}
	return min(time.Duration(millis)*time.Millisecond, serviceTimeout), nil
}

// runService runs a call; one with an idempotency key runs at most once over
// all VMs.
func (s *Server) runService(ctx context.Context, c caller, wanted wantedCall) (service.Answer, error) {
	if wanted.idempotencyKey == "" {
		return s.sendService(ctx, ctx, &sendGate{}, c, wanted)
	}
	claim, err := s.takeClaim(ctx, c, wanted)
	if err != nil {
		return service.Answer{}, err
	}
	if claim.Answer != nil {
		return *claim.Answer, nil
	}
	s.Events.Emit(event.ClaimStored, event.Subject{Request: c.requestID, Account: string(c.contract.Account)})
	return s.runClaimed(ctx, c, claim, wanted)
}

// takeClaim claims the call's idempotency key. Whatever it fails with, this
// request has not run; but an earlier one with the same key may have.
func (s *Server) takeClaim(ctx context.Context, c caller, wanted wantedCall) (request.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := s.Claims.Acquire(ctx, c.contract.Account, wanted.idempotencyKey, request.Fingerprint(wanted.service, wanted.call))
	if fault.Is[*fault.ClaimUnknown](err) || fault.Is[*fault.ClaimInProgress](err) {
		return request.Claim{}, fault.WithExecution(err, fault.Unknown)
	}
	return claim, fault.WithExecution(err, fault.NotRun)
}

// runClaimed runs a claimed call. It goes on when its caller leaves: a deposit
// that is cut off in the middle has an unknown outcome for ever, while one that
// ends can be answered when the caller asks again.
func (s *Server) runClaimed(ctx context.Context, c caller, claim request.Claim, wanted wantedCall) (service.Answer, error) {
	sending, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.bounded(wanted.timeout))
	ended := make(chan served, 1)
	gate := &sendGate{}
	s.detached.Go(func() {
		defer cancel()
		answer, err := s.sendService(ctx, sending, gate, c, wanted)
		s.settleClaim(sending, claim, answer, err)
		ended <- served{answer: answer, err: err}
	})
	select {
	case end := <-ended:
		return end.answer, end.err
	case <-ctx.Done():
	}
	if gate.giveUp() {
		return service.Answer{}, fault.WithExecution(endedFailure(ctx), fault.NotRun)
	}
	return service.Answer{}, fault.WithExecution(endedFailure(ctx), fault.Unknown)
}

// sendGate settles the race between a call that is about to be sent and its
// handler, which is about to say that it was not.
type sendGate struct {
	state atomic.Int32
}

// The states of a gate.
const (
	gateOpen int32 = iota
	gateSent
	gateGivenUp
)

// send reports whether the call may be sent.
func (g *sendGate) send() bool {
	return g.state.CompareAndSwap(gateOpen, gateSent) || g.state.Load() == gateSent
}

// giveUp reports whether the call has not been sent, and then never will be.
func (g *sendGate) giveUp() bool { return g.state.CompareAndSwap(gateOpen, gateGivenUp) }

// served is how a call ended.
type served struct {
	answer service.Answer
	err    error
}

// settleTimeout bounds the writes that settle a claim.
const settleTimeout = 5 * time.Second

// settleClaim stores the outcome, or gives the claim back if nothing ran. When
// neither can be stored, a repeat is told "unknown", which stays true.
func (s *Server) settleClaim(ctx context.Context, claim request.Claim, answer service.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	switch {
	case err == nil:
		_ = s.Claims.Finish(ctx, claim, answer)
	case fault.ExecutionOf(err) == fault.NotRun:
		_ = s.Claims.Withdraw(ctx, claim)
	default:
		s.Claims.Abandon(claim)
	}
}

// endedFailure turns the end of a call's context into a failure.
func endedFailure(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.WithStack(&fault.DeadlineExceeded{Wait: defaultRetryAfter})
	}
	return errors.WithStack(&fault.CallerGone{})
}

// sendService sends a call until it is answered or given up. A call that may
// not be repeated is sent on only while no byte of it has gone out. It waits
// for a place within waiting and for the answer within sending.
func (s *Server) sendService(waiting, sending context.Context, gate *sendGate, c caller, wanted wantedCall) (service.Answer, error) {
	execution := fault.NotRun
	delays := retry.NewBackoff()
	var exclude []string
	for attempt := 1; ; attempt++ {
		answer, upstreamID, err := s.attemptService(waiting, sending, gate, c, wanted, exclude, attempt)
		if err == nil {
			s.Retries.NoteSuccess(wanted.service)
			return answer, nil
		}
		execution = execution.Or(fault.ExecutionOf(err))
		if waiting.Err() != nil {
			return service.Answer{}, fault.WithExecution(endedFailure(waiting), execution)
		}
		if sending.Err() != nil {
			return service.Answer{}, fault.WithExecution(endedFailure(sending), execution)
		}
		mayRepeat := wanted.repeatable() || execution == fault.NotRun
		switch {
		case upstreamID == "" && len(exclude) > 0 && fault.Is[*fault.NoUpstream](err):
			// Only upstreams that failed this call are left; one of them may be
			// well again.
			exclude = nil
		case upstreamID == "" || !mayRepeat || attempt >= maxServiceAttempts || !s.Retries.Take(wanted.service):
			return service.Answer{}, fault.WithExecution(err, execution)
		default:
			exclude = append(exclude, upstreamID)
		}
		if !delays.Wait(waiting) {
			return service.Answer{}, fault.WithExecution(endedFailure(waiting), execution)
		}
	}
}

// attemptService sends a call once. Without an upstream nothing was sent.
func (s *Server) attemptService(waiting, sending context.Context, gate *sendGate, c caller, wanted wantedCall, exclude []string, attempt int) (service.Answer, string, error) {
	grant, report, err := s.acquireService(waiting, gate, c, wanted, exclude, attempt)
	if err != nil {
		return service.Answer{}, "", fault.WithExecution(err, fault.NotRun)
	}
	subject := event.Subject{
		Request:  c.requestID,
		Account:  string(c.contract.Account),
		Upstream: grant.Upstream.ID,
		Attempt:  attempt,
	}
	s.Events.Emit(event.RequestDispatched, subject)
	settled := false
	// A panic must not keep the place: the service would look full for ever.
	defer func() {
		if !settled {
			report(retry.Inconclusive)
			grant.Done(dispatch.Result{})
		}
	}()
	answer, _, err := s.Services.Do(sending, grant.Upstream.Address, wanted.call)
	settled = true
	failed := err != nil && sending.Err() == nil
	report(serviceOutcome(err, failed))
	grant.Done(dispatch.Result{Cost: 1, Failed: failed})
	if err != nil {
		subject.Detail = string(fault.CodeOf(err))
		s.Events.Emit(event.AttemptFailed, subject)
		return service.Answer{}, grant.Upstream.ID, err
	}
	s.Usage.Add(c.contract.Account, usage.Figures{Requests: 1})
	s.Events.Emit(event.RequestAnswered, subject)
	return answer, grant.Upstream.ID, nil
}

func serviceOutcome(err error, failed bool) retry.Outcome {
	switch {
	case err == nil:
		return retry.Succeeded
	case failed:
		return retry.Failed
	default:
		return retry.Inconclusive
	}
}

// acquireService gets a place on an upstream whose circuit lets a call through.
func (s *Server) acquireService(ctx context.Context, gate *sendGate, c caller, wanted wantedCall, exclude []string, attempt int) (dispatch.Grant, func(retry.Outcome), error) {
	for {
		grant, err := s.Dispatcher.Acquire(ctx, dispatch.Work{
			Request:    c.requestID,
			Account:    c.contract.Account,
			Contract:   c.contract,
			Pool:       dispatch.Pool{Kind: platformapi.KindService, Service: wanted.service},
			Cost:       1,
			Repeatable: wanted.repeatable(),
			Exclude:    slices.Concat(exclude, s.Retries.OpenUpstreams()),
			Retry:      attempt > 1,
		})
		if err != nil {
			return dispatch.Grant{}, nil, err
		}
		report, allowed := s.Retries.Allow(grant.Upstream.ID)
		// The key may have been withdrawn, or the caller have left, while the
		// call waited for its place.
		if allowed && (ctx.Err() != nil || !gate.send()) {
			report(retry.Inconclusive)
			grant.Done(dispatch.Result{})
			return dispatch.Grant{}, nil, endedFailure(ctx)
		}
		if allowed {
			return grant, report, nil
		}
		grant.Done(dispatch.Result{})
		exclude = append(slices.Clone(exclude), grant.Upstream.ID)
	}
}
