package entry

import (
	"context"
	"net/http"
	"net/url"

	"github.com/emicklei/go-restful/v3"

	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/request"
	"dogwoodpond/internal/service"
	"dogwoodpond/internal/usage"
)

const headerIdempotencyKey = "Idempotency-Key"

// callService passes a call on to a plain service.
func (s *Server) callService(ctx context.Context, c caller, r *restful.Request, w *restful.Response) error {
	call, err := serviceCall(c, r)
	if err != nil {
		return err
	}
	idempotencyKey := r.Request.Header.Get(headerIdempotencyKey)
	answer, err := s.runService(ctx, c, r.PathParameter("service"), idempotencyKey, call)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return nil
}

func serviceCall(c caller, r *restful.Request) (service.Call, error) {
	query, err := url.ParseQuery(r.Request.URL.RawQuery)
	if err != nil {
		return service.Call{}, badField("query", "can't be read")
	}
	return service.Call{
		RequestID:   c.requestID,
		Method:      r.Request.Method,
		Path:        "/" + r.PathParameter("path"),
		Query:       query,
		ContentType: r.Request.Header.Get("Content-Type"),
		Accept:      r.Request.Header.Get("Accept"),
		Body:        c.body,
	}, nil
}

// runService runs a call; one with an idempotency key runs at most once over
// all VMs.
func (s *Server) runService(ctx context.Context, c caller, name, idempotencyKey string, call service.Call) (service.Answer, error) {
	if idempotencyKey == "" {
		answer, _, err := s.sendService(ctx, c, name, call)
		return answer, err
	}
	claim, err := s.Claims.Take(ctx, c.contract.Account, idempotencyKey, request.Fingerprint(call))
	if fault.Is[*fault.ClaimUnknown](err) {
		return service.Answer{}, withExecution(err, fault.Unknown)
	}
	if err != nil {
		return service.Answer{}, err
	}
	if claim.Answer != nil {
		return *claim.Answer, nil
	}
	s.Events.Emit(event.ClaimStored, event.Subject{Request: c.requestID, Account: string(c.contract.Account)})
	answer, sent, err := s.sendService(ctx, c, name, call)
	background := context.WithoutCancel(ctx)
	if err == nil {
		_ = s.Claims.Finish(background, claim, answer)
	} else if !sent {
		_ = s.Claims.Withdraw(background, claim)
	}
	return answer, err
}

// sendService dispatches a call once. sent tells whether a byte of it may have
// gone out.
func (s *Server) sendService(ctx context.Context, c caller, name string, call service.Call) (service.Answer, bool, error) {
	grant, err := s.Dispatcher.Acquire(ctx, dispatch.Work{
		Request:    c.requestID,
		Account:    c.contract.Account,
		Contract:   c.contract,
		Pool:       dispatch.Pool{Kind: platform.KindService, Service: name},
		Cost:       1,
		Repeatable: call.Method == http.MethodGet,
	})
	if err != nil {
		return service.Answer{}, false, err
	}
	s.Events.Emit(event.RequestDispatched, event.Subject{Request: c.requestID, Account: string(c.contract.Account), Upstream: grant.Upstream.ID, Attempt: 1})
	answer, sent, err := s.Services.Do(ctx, grant.Upstream.Address, call)
	grant.Done(dispatch.Result{Cost: 1, Failed: err != nil && ctx.Err() == nil})
	if err != nil {
		execution := fault.NotRun
		if sent {
			execution = fault.Unknown
		}
		return service.Answer{}, sent, withExecution(causeOf(ctx, err), execution)
	}
	s.Usage.Add(c.contract.Account, usage.Figures{Requests: 1})
	s.Events.Emit(event.RequestAnswered, event.Subject{Request: c.requestID, Account: string(c.contract.Account)})
	return answer, true, nil
}
