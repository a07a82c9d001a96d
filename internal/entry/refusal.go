package entry

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

const headerRequestID = "X-Request-Id"

// Refusal is the body of every answer that is not a success.
type Refusal struct {
	Code      fault.Code      `json:"code"`
	Execution fault.Execution `json:"execution"`
	// RetryAfterSeconds tells when a retry makes sense; 0 means that a retry of
	// the same request does not.
	RetryAfterSeconds int    `json:"retryAfterSeconds"`
	RequestID         string `json:"requestId"`
	Message           string `json:"message"`
}

// statuses maps codes to HTTP statuses; other codes get 500.
var statuses = map[fault.Code]int{
	fault.CodeBadRequest:         http.StatusBadRequest,
	fault.CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	fault.CodeRouteUnknown:       http.StatusNotFound,
	fault.CodeKeyMissing:         http.StatusUnauthorized,
	fault.CodeKeyInvalid:         http.StatusUnauthorized,
	fault.CodeKeyWithdrawn:       http.StatusUnauthorized,
	fault.CodeKeyExposed:         http.StatusBadRequest,
	fault.CodeAccountUnknown:     http.StatusForbidden,
	fault.CodeQueueFull:          http.StatusTooManyRequests,
	fault.CodeLimitExceeded:      http.StatusTooManyRequests,
	fault.CodeNoUpstream:         http.StatusServiceUnavailable,
	fault.CodeUpstreamFailed:     http.StatusBadGateway,
	fault.CodeAnswerTruncated:    http.StatusBadGateway,
	fault.CodeDeadlineExceeded:   http.StatusGatewayTimeout,
	fault.CodeDraining:           http.StatusServiceUnavailable,
	fault.CodeConfigurationStale: http.StatusServiceUnavailable,
	fault.CodeStoreUnavailable:   http.StatusServiceUnavailable,
	fault.CodeClaimUnknown:       http.StatusConflict,
	fault.CodeClaimInProgress:    http.StatusConflict,
	fault.CodeClaimMismatch:      http.StatusUnprocessableEntity,
	fault.CodeStepUnknown:        http.StatusNotFound,
	fault.CodeStepMismatch:       http.StatusConflict,
	fault.CodePullOvertaken:      http.StatusServiceUnavailable,
}

// defaultRetryAfter is told when a retry makes sense but no better time is known.
const defaultRetryAfter = 2 * time.Second

func refusalOf(id string, err error) (Refusal, int) {
	code := fault.CodeOf(err)
	status, ok := statuses[code]
	if !ok {
		status = http.StatusInternalServerError
	}
	refusal := Refusal{Code: code, Execution: fault.ExecutionOf(err), RequestID: id, Message: messageOf(err)}
	fallback := time.Duration(0)
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		fallback = defaultRetryAfter
	}
	refusal.RetryAfterSeconds = int(math.Ceil(fault.RetryAfterOf(err, fallback).Seconds()))
	return refusal, status
}

// messageOf returns the text of the typed failure; the text of an untyped one
// might hold anything and stays inside.
func messageOf(err error) string {
	var f fault.Failure
	if errors.As(err, &f) {
		return f.Error()
	}
	return "internal failure"
}

func (s *Server) refuse(w *restful.Response, id string, err error) {
	refusal, status := refusalOf(id, err)
	s.noteRefusal(refusal)
	if refusal.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(refusal.RetryAfterSeconds))
	}
	writeJSON(w, status, refusal)
}

func (s *Server) noteRefusal(refusal Refusal) {
	s.Events.Emit(event.RequestRefused, event.Subject{
		Request: refusal.RequestID,
		Detail:  fmt.Sprintf("%s/%s", refusal.Code, refusal.Execution),
	})
}

// writeJSON answers with a value; an error means that the caller has gone.
func writeJSON(w *restful.Response, status int, value any) {
	_ = w.WriteHeaderAndJson(status, value, restful.MIME_JSON)
}

// recovered answers after a panic, so that one request's defect ends only that
// request. The event is how an operator notices. A connection on which an
// answer has begun is cut instead, so that the part is not taken for the whole.
func (s *Server) recovered(reason any, w http.ResponseWriter) {
	if reason == http.ErrAbortHandler {
		panic(http.ErrAbortHandler)
	}
	s.Events.Emit(event.PanicRecovered, event.Subject{Detail: "entry"})
	if started, ok := w.(*callerWriter); ok && started.began {
		panic(http.ErrAbortHandler)
	}
	s.refuse(restful.NewResponse(w), w.Header().Get(headerRequestID), errors.WithStack(&fault.Internal{Where: "entry"}))
}

// unrouted answers for unknown paths and methods. The path is not repeated: it
// may hold a key.
func (s *Server) unrouted(failure restful.ServiceError, r *restful.Request, w *restful.Response) {
	id := uuid.NewString()
	w.Header().Set(headerRequestID, id)
	closeUnread(r, w)
	for name, values := range failure.Header {
		w.Header()[name] = values
	}
	unknown := errors.WithStack(&fault.RouteUnknown{Method: knownMethod(r.Request.Method)})
	refusal, _ := refusalOf(id, fault.WithExecution(unknown, fault.NotRun))
	s.noteRefusal(refusal)
	writeJSON(w, failure.Code, refusal)
}

// knownMethod keeps words that a caller made up out of messages.
func knownMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return method
	default:
		return "this method"
	}
}
