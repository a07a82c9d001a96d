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

// Refusal is the body of every answer to a call that was refused or failed, and
// the last event of a stream that fails.
type Refusal struct {
	Code      fault.Code      `json:"code"`
	Execution fault.Execution `json:"execution"`
	// RetryAfterSeconds is the delay after which the caller can retry; 0 means
	// that retrying the same request is of no use.
	RetryAfterSeconds int    `json:"retryAfterSeconds"`
	RequestID         string `json:"requestId"`
	Message           string `json:"message"`
}

// httpStatuses maps failure codes to HTTP statuses. All other codes have status
// 500.
var httpStatuses = map[fault.Code]int{
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

// defaultRetryAfter is the retry delay given to callers for failures that can
// be retried but have no delay of their own.
const defaultRetryAfter = 2 * time.Second

// refusalOf returns the refusal and the HTTP status for err.
func refusalOf(id string, err error) (Refusal, int) {
	code := fault.CodeOf(err)
	status, ok := httpStatuses[code]
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

// messageOf returns the message of a typed failure. The message of any other
// error could contain confidential data and is not sent to callers.
func messageOf(err error) string {
	var f fault.Failure
	if errors.As(err, &f) {
		return f.Error()
	}
	return "internal failure"
}

// refuse writes the refusal for err and emits its event.
func (s *Server) refuse(w *restful.Response, id string, err error) {
	refusal, status := refusalOf(id, err)
	s.noteRefusal(refusal)
	if refusal.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(refusal.RetryAfterSeconds))
	}
	writeJSON(w, status, refusal)
}

// noteRefusal emits the event of a refusal.
func (s *Server) noteRefusal(refusal Refusal) {
	s.Events.Emit(event.RequestRefused, event.Subject{
		Request: refusal.RequestID,
		Detail:  fmt.Sprintf("%s/%s", refusal.Code, refusal.Execution),
	})
}

// writeJSON writes value as the answer. It ignores errors: they mean that the
// caller has disconnected.
func writeJSON(w *restful.Response, status int, value any) {
	_ = w.WriteHeaderAndJson(status, value, restful.MIME_JSON)
}

// handlePanic answers a request whose handler panicked, so that a defect fails
// only that request. An event reports the panic to operators. If a part of the
// answer has already been written, the connection is closed instead, so that
// the caller does not take a partial answer for a complete one.
func (s *Server) handlePanic(reason any, w http.ResponseWriter) {
	if reason == http.ErrAbortHandler {
		panic(http.ErrAbortHandler)
	}
	s.Events.Emit(event.PanicRecovered, event.Subject{Detail: "entry"})
	if cw, ok := w.(*callerWriter); ok && cw.started {
		panic(http.ErrAbortHandler)
	}
	s.refuse(restful.NewResponse(w), w.Header().Get(headerRequestID), errors.WithStack(&fault.Internal{Where: "entry"}))
}

// handleUnrouted answers requests with an unknown path or method. The answer
// does not contain the path, which may contain a key.
func (s *Server) handleUnrouted(failure restful.ServiceError, r *restful.Request, w *restful.Response) {
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

// knownMethod returns method if it is a standard HTTP method, so that messages
// never contain text made up by a caller.
func knownMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return method
	default:
		return "this method"
	}
}
