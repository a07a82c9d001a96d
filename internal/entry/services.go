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
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key in
	// bytes.
	maxIdempotencyKeyBytes = 256
	// maxServiceTimeout is the timeout of a call whose caller does not request
	// a shorter one.
	maxServiceTimeout = 30 * time.Second
	// claimTimeout is how long a call with an idempotency key waits for the
	// store before it is refused.
	claimTimeout = 3 * time.Second
	// maxServiceAttempts is the maximum number of attempts of one call.
	maxServiceAttempts = 4
)

// callService forwards a call to a service, which is an upstream other than a
// model engine.
func (s *Server) callService(ctx context.Context, c clientCall, r *restful.Request, w *restful.Response) error {
	req, err := parseServiceRequest(c, r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.capTimeout(req.timeout))
	defer cancel()
	answer, err := s.runService(ctx, c, req)
	if err != nil {
		return causeOf(ctx, err)
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return nil
}

// serviceRequest is a caller's request to a service.
type serviceRequest struct {
	service        string
	idempotencyKey string
	timeout        time.Duration
	call           service.Call
}

// repeatable reports whether running the call twice is harmless. GET is the
// only method for which every service guarantees this.
func (r serviceRequest) repeatable() bool { return r.call.Method == http.MethodGet }

// parseServiceRequest reads the call and its parameters from an HTTP request.
func parseServiceRequest(c clientCall, r *restful.Request) (serviceRequest, error) {
	query, err := url.ParseQuery(r.Request.URL.RawQuery)
	if err != nil {
		return serviceRequest{}, badField("query", "is not a valid query string")
	}
	path, rawPath, err := servicePath(r.Request.URL)
	if err != nil {
		return serviceRequest{}, err
	}
	timeout, err := callTimeout(r.Request.Header.Get(service.HeaderTimeout))
	if err != nil {
		return serviceRequest{}, err
	}
	idempotencyKey := r.Request.Header.Get(headerIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return serviceRequest{}, badField(headerIdempotencyKey, "is longer than 256 bytes")
	}
	return serviceRequest{
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

// servicePrefixParts is the number of slash-separated parts of
// "/v1/services/{service}", including the empty part before the first slash.
const servicePrefixParts = 4

// servicePath returns the part of the path that belongs to the service,
// unescaped and as the caller escaped it: an escaped slash is not equivalent to
// a slash.
func servicePath(u *url.URL) (path, rawPath string, err error) {
	parts := strings.SplitN(u.EscapedPath(), "/", servicePrefixParts+1)
	// The router ignores empty parts; counting them here would shift the
	// following parts.
	if slices.Contains(parts[1:min(servicePrefixParts, len(parts))], "") {
		return "", "", badField("path", "has an empty part before the service")
	}
	rawPath = "/"
	if len(parts) > servicePrefixParts {
		rawPath += parts[servicePrefixParts]
	}
	path, err = url.PathUnescape(rawPath)
	if err != nil {
		return "", "", badField("path", "contains an invalid escape")
	}
	return path, rawPath, nil
}

// callTimeout parses the timeout header, in milliseconds, and caps it at
// maxServiceTimeout.
func callTimeout(text string) (time.Duration, error) {
	if text == "" {
		return maxServiceTimeout, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis < 1 {
		return 0, badField(service.HeaderTimeout, "must be a positive integer")
	}
	return min(time.Duration(millis)*time.Millisecond, maxServiceTimeout), nil
}

// runService runs a call. A call with an idempotency key runs at most once
// across all VMs.
func (s *Server) runService(ctx context.Context, c clientCall, req serviceRequest) (service.Answer, error) {
	if req.idempotencyKey == "" {
		return s.sendWithRetries(ctx, ctx, &sendGate{}, c, req)
	}
	claim, err := s.acquireClaim(ctx, c, req)
	if err != nil {
		return service.Answer{}, err
	}
	if claim.Answer != nil {
		return *claim.Answer, nil
	}
	s.Events.Emit(event.ClaimStored, event.Subject{Request: c.requestID, Account: string(c.contract.Account)})
	return s.runClaimed(ctx, c, claim, req)
}

// acquireClaim claims the idempotency key of the call. If it fails, this
// request has not run, but an earlier request with the same key may have.
func (s *Server) acquireClaim(ctx context.Context, c clientCall, req serviceRequest) (request.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := s.Claims.Acquire(ctx, c.contract.Account, req.idempotencyKey, request.Fingerprint(req.service, req.call))
	if fault.Is[*fault.ClaimUnknown](err) || fault.Is[*fault.ClaimInProgress](err) {
		return request.Claim{}, fault.WithExecution(err, fault.Unknown)
	}
	return claim, fault.WithExecution(err, fault.NotRun)
}

// runClaimed runs a claimed call. The call continues after its caller
// disconnects: the outcome of an interrupted deposit would stay unknown
// forever, whereas the answer to a completed one is returned to a duplicate of
// the request.
func (s *Server) runClaimed(ctx context.Context, c clientCall, claim request.Claim, req serviceRequest) (service.Answer, error) {
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.capTimeout(req.timeout))
	done := make(chan serviceResult, 1)
	gate := &sendGate{}
	s.detached.Go(func() {
		defer cancel()
		answer, err := s.sendWithRetries(ctx, sendCtx, gate, c, req)
		s.finalizeClaim(sendCtx, claim, answer, err)
		done <- serviceResult{answer: answer, err: err}
	})
	select {
	case result := <-done:
		return result.answer, result.err
	case <-ctx.Done():
	}
	if gate.cancelSend() {
		return service.Answer{}, fault.WithExecution(contextFailure(ctx), fault.NotRun)
	}
	return service.Answer{}, fault.WithExecution(contextFailure(ctx), fault.Unknown)
}

// sendGate resolves the race between the goroutine that is about to send a call
// and the handler that is about to report that the call was not sent.
type sendGate struct {
	state atomic.Int32
}

// States of a sendGate.
const (
	gateOpen int32 = iota
	gateSent
	gateCancelled
)

// allowSend reports whether the call may be sent. After it returned true,
// cancelSend returns false.
func (g *sendGate) allowSend() bool {
	return g.state.CompareAndSwap(gateOpen, gateSent) || g.state.Load() == gateSent
}

// cancelSend prevents the call from being sent. It reports false if the call
// may already have been sent.
func (g *sendGate) cancelSend() bool { return g.state.CompareAndSwap(gateOpen, gateCancelled) }

// serviceResult is the answer or the failure of a call.
type serviceResult struct {
	answer service.Answer
	err    error
}

// finalizeTimeout is the timeout of the writes that finish or withdraw a claim.
const finalizeTimeout = 5 * time.Second

// finalizeClaim stores the answer of a claimed call, withdraws the claim if
// nothing ran, or abandons it if the outcome is unknown. If the store fails,
// duplicates of the request are answered that the outcome is unknown, which
// remains correct.
func (s *Server) finalizeClaim(ctx context.Context, claim request.Claim, answer service.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalizeTimeout)
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

// contextFailure returns the failure for a context that has ended.
func contextFailure(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.WithStack(&fault.DeadlineExceeded{Wait: defaultRetryAfter})
	}
	return errors.WithStack(&fault.CallerGone{})
}

// sendWithRetries sends a call until it is answered or can't be retried. A call
// that is not repeatable is retried only if all its attempts are known not to
// have run. queueCtx bounds the wait for a slot and the backoff, sendCtx the
// wait for the answer.
func (s *Server) sendWithRetries(queueCtx, sendCtx context.Context, gate *sendGate, c clientCall, req serviceRequest) (service.Answer, error) {
	execution := fault.NotRun
	backoff := retry.NewBackoff()
	var exclude []string
	for attempt := 1; ; attempt++ {
		answer, upstreamID, err := s.attemptService(queueCtx, sendCtx, gate, c, req, exclude, attempt)
		if err == nil {
			s.Retries.NoteSuccess(req.service)
			return answer, nil
		}
		execution = execution.Or(fault.ExecutionOf(err))
		if queueCtx.Err() != nil {
			return service.Answer{}, fault.WithExecution(contextFailure(queueCtx), execution)
		}
		if sendCtx.Err() != nil {
			return service.Answer{}, fault.WithExecution(contextFailure(sendCtx), execution)
		}
		mayRetry := req.repeatable() || execution == fault.NotRun
		switch {
		case upstreamID == "" && len(exclude) > 0 && fault.Is[*fault.NoUpstream](err):
			// Only upstreams at which this call failed are left. One of them
			// may be available again.
			exclude = nil
		case upstreamID == "" || !mayRetry || attempt >= maxServiceAttempts || !s.Retries.Take(req.service):
			return service.Answer{}, fault.WithExecution(err, execution)
		default:
			exclude = append(exclude, upstreamID)
		}
		if !backoff.Wait(queueCtx) {
			return service.Answer{}, fault.WithExecution(contextFailure(queueCtx), execution)
		}
	}
}

// attemptService makes one attempt. It returns the ID of the upstream, or "" if
// no slot was acquired and so nothing was sent.
func (s *Server) attemptService(queueCtx, sendCtx context.Context, gate *sendGate, c clientCall, req serviceRequest, exclude []string, attempt int) (service.Answer, string, error) {
	grant, report, err := s.acquireSlot(queueCtx, gate, c, req, exclude, attempt)
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
	released := false
	// Release the slot also after a panic: the service would otherwise appear
	// full forever.
	defer func() {
		if !released {
			report(retry.Inconclusive)
			grant.Done(dispatch.Result{})
		}
	}()
	answer, _, err := s.Services.Do(sendCtx, grant.Upstream.Address, req.call)
	released = true
	failed := err != nil && sendCtx.Err() == nil
	report(attemptOutcome(err, failed))
	grant.Done(dispatch.Result{Cost: 1, Failed: failed})
	if err != nil {
		subject.Detail = string(fault.CodeOf(err))
		s.Events.Emit(event.AttemptFailed, subject)
		return service.Answer{}, grant.Upstream.ID, err
	}
	s.Usage.Add(c.contract.Account, usage.Counts{Requests: 1})
	s.Events.Emit(event.RequestAnswered, subject)
	return answer, grant.Upstream.ID, nil
}

// attemptOutcome returns the outcome to report to the retry policy. An attempt
// that ended because its context ended is inconclusive, not failed.
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

// acquireSlot acquires a slot at an upstream whose circuit breaker allows a
// call. It skips the upstreams in exclude. The caller must call the returned
// function with the outcome of the attempt.
func (s *Server) acquireSlot(ctx context.Context, gate *sendGate, c clientCall, req serviceRequest, exclude []string, attempt int) (dispatch.Grant, func(retry.Outcome), error) {
	for {
		grant, err := s.Dispatcher.Acquire(ctx, dispatch.Work{
			Request:    c.requestID,
			Account:    c.contract.Account,
			Contract:   c.contract,
			Pool:       dispatch.Pool{Kind: platformapi.KindService, Service: req.service},
			Cost:       1,
			Repeatable: req.repeatable(),
			Exclude:    slices.Concat(exclude, s.Retries.OpenUpstreams()),
			Retry:      attempt > 1,
		})
		if err != nil {
			return dispatch.Grant{}, nil, err
		}
		report, allowed := s.Retries.Allow(grant.Upstream.ID)
		// The key may have been withdrawn, or the caller may have disconnected,
		// while the call was queued.
		if allowed && (ctx.Err() != nil || !gate.allowSend()) {
			report(retry.Inconclusive)
			grant.Done(dispatch.Result{})
			return dispatch.Grant{}, nil, contextFailure(ctx)
		}
		if allowed {
			return grant, report, nil
		}
		grant.Done(dispatch.Result{})
		exclude = append(slices.Clone(exclude), grant.Upstream.ID)
	}
}
