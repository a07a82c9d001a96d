package entry

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"

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

// executed marks a failure with what is known about the request's run. A
// failure without a mark happened before any dispatch.
type executed struct {
	error
	execution fault.Execution
}

// Unwrap returns the failure itself.
func (e *executed) Unwrap() error { return e.error }

// withExecution marks a failure.
func withExecution(err error, execution fault.Execution) error {
	return &executed{error: err, execution: execution}
}

func executionOf(err error) fault.Execution {
	var marked *executed
	if errors.As(err, &marked) {
		return marked.execution
	}
	return fault.NotRun
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
}

// defaultRetryAfter is told when a retry makes sense but no better time is known.
const defaultRetryAfter = 2 * time.Second

func refusalOf(id string, err error) (Refusal, int) {
	code := fault.CodeOf(err)
	status, ok := statuses[code]
	if !ok {
		status = http.StatusInternalServerError
	}
	refusal := Refusal{Code: code, Execution: executionOf(err), RequestID: id, Message: messageOf(err)}
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		refusal.RetryAfterSeconds = int(math.Ceil(fault.RetryAfterOf(err, defaultRetryAfter).Seconds()))
	}
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
	s.Events.Emit(event.RequestRefused, event.Subject{
		Request: id,
		Detail:  fmt.Sprintf("%s/%s", refusal.Code, refusal.Execution),
	})
	if refusal.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(refusal.RetryAfterSeconds))
	}
	writeJSON(w, status, refusal)
}

// writeJSON answers with a value; an error means that the caller has gone.
func writeJSON(w *restful.Response, status int, value any) {
	_ = w.WriteHeaderAndJson(status, value, restful.MIME_JSON)
}

// recovered answers after a panic, so that one request's defect ends only that
// request. The event is how an operator notices.
func (s *Server) recovered(_ any, w http.ResponseWriter) {
	s.Events.Emit(event.PanicRecovered, event.Subject{Detail: "entry"})
	w.WriteHeader(http.StatusInternalServerError)
}

// unrouted answers for unknown paths and methods.
func (s *Server) unrouted(failure restful.ServiceError, r *restful.Request, w *restful.Response) {
	err := errors.WithStack(&fault.RouteUnknown{Method: r.Request.Method})
	refusal, _ := refusalOf("", err)
	writeJSON(w, failure.Code, refusal)
}
