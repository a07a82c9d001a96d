// Package entry implements the HTTP API for callers: trainers and booking
// desks. It authenticates each request, enforces the limits of its contract,
// and reports with each failure whether the request ran.
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
	// Open opens a step. Repeating the call with the same definition is
	// harmless.
	Open(ctx context.Context, account contract.Account, step string, definition sample.Definition) (sample.Status, error)
	// Samples returns the samples after the pull's cursor, in order. It waits
	// for the first one, at most for the pull's Wait.
	Samples(ctx context.Context, account contract.Account, step string, pull sample.Pull) ([]sample.Sample, error)
	// Ack acknowledges the samples up to and including the number through.
	Ack(ctx context.Context, account contract.Account, step string, through int64) error
}

// ConfigurationAge reports how long ago the configuration was last known to be current.
type ConfigurationAge interface {
	Age() time.Duration
}

// Upstreams reports whether the upstreams are known.
type Upstreams interface {
	Ready() bool
}

// UsageRecorder counts what an account used.
type UsageRecorder interface {
	Add(account contract.Account, counts usage.Counts)
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	View             *contract.View
	ConfigurationAge ConfigurationAge
	Upstreams        Upstreams
	Runner           generate.Runner
	Dispatcher       dispatch.Dispatcher
	Retries          *retry.Policy
	Services         *service.Client
	Claims           *request.Claims
	Steps            Steps
	Usage            UsageRecorder
	Events           *event.Recorder
	Registry         *prometheus.Registry
	// DrainTimeout is how long a planned stop waits for running requests. The
	// timeouts of all requests are capped at it. 0 means no cap.
	DrainTimeout time.Duration
	// WriteTimeout is the timeout of a single write to a caller. 0 means 30
	// seconds.
	WriteTimeout time.Duration
	// BodyTimeout is the longest time a caller may take to send its request
	// body. 0 means one minute.
	BodyTimeout time.Duration
}

// Server implements the HTTP API for callers.
type Server struct {
	Config
	sessions *sessions
	open     openCalls
	// draining is set by Drain.
	draining atomic.Bool
	// refusing is set by RefuseNewRequests.
	refusing atomic.Bool
	// detached counts the calls with an idempotency key, which continue after
	// their callers disconnect.
	detached sync.WaitGroup
}

// NewServer returns a Server. It replaces zero write and body timeouts by their
// defaults.
func NewServer(config Config) *Server {
	if config.WriteTimeout == 0 {
		config.WriteTimeout = defaultWriteTimeout
	}
	if config.BodyTimeout == 0 {
		config.BodyTimeout = defaultBodyTimeout
	}
	return &Server{Config: config, sessions: newSessions()}
}

// Drain makes /readyz answer 503, so that the load balancer stops sending
// callers to this VM. New requests are still served until RefuseNewRequests is
// called: the load balancer polls /readyz only at intervals, and the callers it
// sends in the meantime must not fail because of a planned stop.
func (s *Server) Drain() { s.draining.Store(true) }

// RefuseNewRequests ends the unready grace period that Drain started: new requests are
// refused as not run. Running requests continue.
func (s *Server) RefuseNewRequests() { s.refusing.Store(true) }

// capTimeout caps the timeout of a request at DrainTimeout. A request with a
// longer timeout could be interrupted by a planned stop.
func (s *Server) capTimeout(timeout time.Duration) time.Duration {
	if s.DrainTimeout == 0 {
		return timeout
	}
	return min(timeout, s.DrainTimeout)
}

// WaitDetached blocks until the calls that continued after their callers disconnected
// have ended.
func (s *Server) WaitDetached() { s.detached.Wait() }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Handler returns the API's HTTP handler.
func (s *Server) Handler() http.Handler {
	container := restful.NewContainer()
	container.DoNotRecover(false)
	container.RecoverHandler(s.handlePanic)
	container.ServiceErrorHandler(s.handleUnrouted)
	container.Add(s.health())
	container.Add(s.api())
	// Use Dispatch instead of ServeHTTP: the mux of the container would answer
	// some paths with a redirect instead of a route or a typed refusal.
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

// ready answers 503 while the VM is draining or does not know its configuration or the
// upstreams yet.
func (s *Server) ready(_ *restful.Request, w *restful.Response) {
	if s.Draining() || s.View.Load().Revision == 0 || !s.Upstreams.Ready() {
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
