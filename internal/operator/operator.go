// Package operator implements the operators' API: edits of contracts and keys, and the
// state, history and events of the fleet. The API has its own address and credential.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// Editor commits edits.
type Editor interface {
	Apply(ctx context.Context, edit contract.Edit) (contract.Entry, error)
	// Subject returns the contract or key with the name "contract/<account>" or
	// "key/<id>", and the revision of its last edit, which is 0 if there is none.
	Subject(ctx context.Context, name string) (contract.Subject, error)
	// History returns the accepted edits after a revision, in order.
	History(ctx context.Context, after contract.Revision, limit int) ([]contract.Entry, error)
}

// Fleet provides the revisions and events of all VMs.
type Fleet interface {
	// Revisions returns the revision in force on each known VM.
	Revisions() []VMRevision
	// Events returns the events of all reachable VMs that match the query, in order,
	// and the names of the VMs that did not answer.
	Events(ctx context.Context, query event.Query) (records []event.Record, missing []string)
}

// VMRevision is the revision that a VM has in force.
type VMRevision struct {
	VM            string            `json:"vm"`
	FailureDomain string            `json:"failureDomain"`
	Revision      contract.Revision `json:"revision"`
	// AgeMillis is the age of the VM's latest report of its revision, in milliseconds.
	AgeMillis int64 `json:"heardMillis"`
	Draining  bool  `json:"draining"`
	// Known is false if the VM has never reported its revision.
	Known bool `json:"known"`
}

// EditAnswer is the answer to an accepted edit.
type EditAnswer struct {
	Entry contract.Entry `json:"entry"`
	Confirmation
	// ServeSeconds is set for a withdrawn key. It is how long a VM that is cut off from
	// the platform and from all other VMs may continue to accept the key.
	ServeSeconds int64 `json:"serveSeconds,omitempty"`
}

// Problem is the body of a refused request.
type Problem struct {
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	VM          string
	TokenSHA256 string
	View        *contract.View
	Editor      Editor
	Fleet       Fleet
	Upstreams   func() []platformapi.Upstream
	Leases      Leases
	Steps       Steps
	Usage       Usage
	Events      *event.Recorder
	// ApplyNewest makes the VM apply the newest revision at once, after an edit was
	// committed.
	ApplyNewest func()
}

// Server serves the operators' API.
type Server struct {
	Config
}

func NewServer(config Config) *Server { return &Server{Config: config} }

// Headers of an edit.
const (
	HeaderEditID  = "Edit-Id"
	HeaderEditor  = "Edit-By"
	HeaderIfMatch = "If-Match"
)

const (
	maxBody = 1 << 20
	// confirmTimeout limits how long the answer to an edit waits until all VMs have
	// confirmed the edit.
	confirmTimeout      = 3 * time.Second
	confirmPollInterval = 50 * time.Millisecond
)

// Handler returns the API's HTTP handler.
func (s *Server) Handler() http.Handler {
	container := restful.NewContainer()
	container.DoNotRecover(false)
	container.RecoverHandler(func(_ any, w http.ResponseWriter) {
		s.Events.Emit(event.PanicRecovered, event.Subject{Detail: "operator"})
		w.WriteHeader(http.StatusInternalServerError)
	})
	container.ServiceErrorHandler(writeRouteError)
	container.Add(s.api())
	// Dispatch, not ServeHTTP: the container's own mux answers some paths with a
	// redirect instead of a Problem.
	return http.HandlerFunc(container.Dispatch)
}

func (s *Server) api() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/v1").Produces(restful.MIME_JSON).Filter(s.authenticate)
	ws.Route(ws.PUT("/contracts/{account}").To(s.handle(s.putContract)))
	ws.Route(ws.GET("/contracts/{account}").To(s.handle(s.getContract)))
	ws.Route(ws.GET("/contracts").To(s.handle(s.listContracts)))
	ws.Route(ws.PUT("/keys/{id}").To(s.handle(s.grantKey)))
	ws.Route(ws.DELETE("/keys/{id}").To(s.handle(s.withdrawKey)))
	ws.Route(ws.GET("/keys").To(s.handle(s.listKeys)))
	ws.Route(ws.GET("/revisions").To(s.handle(s.revisions)))
	ws.Route(ws.GET("/revisions/{revision}/confirmation").To(s.handle(s.confirmation)))
	ws.Route(ws.GET("/history").To(s.handle(s.history)))
	ws.Route(ws.GET("/status").To(s.handle(s.status)))
	ws.Route(ws.GET("/steps").To(s.handle(s.listSteps)))
	ws.Route(ws.GET("/usage").To(s.handle(s.listUsage)))
	ws.Route(ws.GET("/usage/{window}").To(s.handle(s.windowUsage)))
	ws.Route(ws.GET("/events").To(s.handle(s.listEvents)))
	return ws
}

// authenticate checks the operators' credential in constant time.
func (s *Server) authenticate(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	token := strings.TrimPrefix(r.Request.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(s.TokenSHA256))) != 1 {
		writeProblem(w, errors.WithStack(&fault.KeyInvalid{}))
		return
	}
	chain.ProcessFilter(r, w)
}

type handler func(r *restful.Request) (any, error)

func (s *Server) handle(next handler) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		answer, err := next(r)
		if err != nil {
			writeProblem(w, err)
			return
		}
		_ = w.WriteHeaderAndJson(http.StatusOK, answer, restful.MIME_JSON)
	}
}

var httpStatuses = map[fault.Code]int{
	fault.CodeBadRequest:       http.StatusBadRequest,
	fault.CodeEditInvalid:      http.StatusBadRequest,
	fault.CodeKeyInvalid:       http.StatusUnauthorized,
	fault.CodeAccountUnknown:   http.StatusNotFound,
	fault.CodeKeyUnknown:       http.StatusNotFound,
	fault.CodeEditConflict:     http.StatusConflict,
	fault.CodeStoreUnavailable: http.StatusServiceUnavailable,
}

// writeRouteError answers requests with an unknown path or method.
func writeRouteError(failure restful.ServiceError, r *restful.Request, w *restful.Response) {
	err := &fault.RouteUnknown{Method: r.Request.Method}
	_ = w.WriteHeaderAndJson(failure.Code, Problem{Code: err.Code(), Message: err.Error()}, restful.MIME_JSON)
}

func writeProblem(w *restful.Response, err error) {
	code := fault.CodeOf(err)
	status, ok := httpStatuses[code]
	if !ok {
		status = http.StatusInternalServerError
	}
	_ = w.WriteHeaderAndJson(status, Problem{Code: code, Message: err.Error()}, restful.MIME_JSON)
}

func (s *Server) getContract(r *restful.Request) (any, error) {
	account := r.PathParameter("account")
	subject, err := s.Editor.Subject(r.Request.Context(), "contract/"+account)
	if err != nil {
		return nil, err
	}
	if subject.Contract == nil {
		return nil, errors.WithStack(&fault.AccountUnknown{Account: account})
	}
	return subject, nil
}

func (s *Server) listContracts(*restful.Request) (any, error) {
	return s.View.Load().Contracts, nil
}

func decodeBody(r *restful.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Request.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.WithStack(&fault.BadRequest{Field: "body", Problem: "must be one JSON object with known fields"})
	}
	return nil
}

// newEdit returns an edit with the ID, editor and base revision of the request's headers.
// An absent ID is generated.
func newEdit(r *restful.Request, kind contract.EditKind) (contract.Edit, error) {
	base, err := revisionParameter(r.Request.Header.Get(HeaderIfMatch))
	if err != nil {
		return contract.Edit{}, err
	}
	id := r.Request.Header.Get(HeaderEditID)
	if id == "" {
		id = uuid.NewString()
	}
	return contract.Edit{ID: id, Kind: kind, Who: r.Request.Header.Get(HeaderEditor), Base: base}, nil
}
