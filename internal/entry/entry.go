// Package entry serves callers: trainers and booking desks. It authenticates
// each request, applies the contract, and tells the truth about what ran.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/request"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/service"
	"dogwoodpond/internal/usage"
)

// Steps runs the steps of trainers.
type Steps interface {
	// Open opens a step; a repeat with the same definition is harmless.
	Open(ctx context.Context, account contract.Account, step string, definition sample.Definition) (sample.Status, error)
	// Samples returns the samples after the pull's cursor, in order, and waits
	// for the first.
	Samples(ctx context.Context, account contract.Account, step string, pull sample.Pull) ([]sample.Sample, error)
	// Ack confirms the samples up to a number.
	Ack(ctx context.Context, account contract.Account, step string, through int64) error
}

// Ager tells how long ago the configuration was last known current.
type Ager interface {
	Age() time.Duration
}

// UsageRecorder counts what an account used.
type UsageRecorder interface {
	Add(account contract.Account, figures usage.Figures)
}

// Config holds what a Server is built from.
type Config struct {
	View       *contract.View
	Ager       Ager
	Runner     generate.Runner
	Dispatcher dispatch.Dispatcher
	Retries    *retry.Policy
	Services   *service.Client
	Claims     *request.Claims
	Steps      Steps
	Usage      UsageRecorder
	Events     *event.Recorder
	Registry   *prometheus.Registry
	// DrainTime is how long a planned stop waits for running requests; no request
	// gets more time. 0 means no bound.
	DrainTime time.Duration
	// WriteTimeout bounds one write to a caller. 0 means 30 seconds.
	WriteTimeout time.Duration
	// BodyTimeout bounds the time in which a caller sends its body. 0 means one
	// minute.
	BodyTimeout time.Duration
}

// Server is the callers' API.
type Server struct {
	Config
	sessions *sessions
	open     openCalls
	draining atomic.Bool
	refusing atomic.Bool
	// detached counts the keyed calls that outlive their callers.
	detached sync.WaitGroup
}

// NewServer returns a server.
func NewServer(config Config) *Server {
	if config.WriteTimeout == 0 {
		config.WriteTimeout = defaultWriteTimeout
	}
	if config.BodyTimeout == 0 {
		config.BodyTimeout = defaultBodyTimeout
	}
	return &Server{Config: config, sessions: newSessions()}
}

// Drain makes /readyz answer 503, so that the balancer sends no more callers.
// Until Refuse is called new work is still served: the balancer looks only now
// and then, and a caller whom it still sends here would else be refused because
// of a planned stop.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse ends the notice that Drain began: new work is refused as not run.
// Running requests go on.
func (s *Server) Refuse() { s.refusing.Store(true) }

// bounded returns a request's time-out. A longer one than the drain would let a
// planned stop cut the request off.
func (s *Server) bounded(timeout time.Duration) time.Duration {
	if s.DrainTime == 0 {
		return timeout
	}
	return min(timeout, s.DrainTime)
}

// Wait waits for the calls that go on after their callers have left.
func (s *Server) Wait() { s.detached.Wait() }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Handler returns the API's HTTP handler.
func (s *Server) Handler() http.Handler {
	container := restful.NewContainer()
	container.DoNotRecover(false)
	container.RecoverHandler(s.recovered)
	container.ServiceErrorHandler(s.unrouted)
	container.Add(s.health())
	container.Add(s.api())
	// Dispatch, not ServeHTTP: the container's own mux would answer some paths
	// with a redirect in place of a route or a typed refusal.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		container.Dispatch(newCallerWriter(w, s.WriteTimeout), r)
	})
}

func (s *Server) health() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/").Produces("*/*")
	ws.Route(ws.GET("/healthz").To(func(_ *restful.Request, w *restful.Response) {
		w.WriteHeader(http.StatusOK)
	}))
	ws.Route(ws.GET("/readyz").To(s.ready))
	metrics := promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{})
	ws.Route(ws.GET("/metrics").To(func(r *restful.Request, w *restful.Response) {
		metrics.ServeHTTP(w.ResponseWriter, r.Request)
	}))
	return ws
}

// ready answers 503 while the VM drains or knows no configuration yet.
func (s *Server) ready(_ *restful.Request, w *restful.Response) {
	if s.Draining() || s.View.Load().Revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) api() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/v1").Consumes("*/*").Produces("*/*")
	ws.Route(ws.POST("/generate").To(s.authenticated(s.generate)))
	s.routeSteps(ws)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		ws.Route(ws.Method(method).Path("/services/{service}").To(s.authenticated(s.callService)))
		ws.Route(ws.Method(method).Path("/services/{service}/{path:*}").To(s.authenticated(s.callService)))
	}
	return ws
}
