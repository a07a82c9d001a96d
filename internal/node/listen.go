package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/ingress"
	"dogwoodpond/internal/relay"
)

// The limits of requests that the configuration leaves open.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 75 * time.Second
)

// writeTimeout is how long a caller may take to accept any byte of an answer.
const writeTimeout = 30 * time.Second

// The shares of the process's memory and descriptors that clients may use.
const (
	// reservedDescriptors are the descriptors that the platform reserves for files.
	reservedDescriptors = 200
	// callerConnShare is the share of the sockets for callers. Each request may need another socket to its
	// upstream.
	callerConnShare = 0.5
	// peerConnShare is the share of the sockets for other VMs.
	peerConnShare = 0.125
	// connMemoryShare is the share of the memory for connections of callers.
	connMemoryShare = 0.25
	// headMemoryShare is the share of the memory for large heads of requests, and peerMemoryShare that for large
	// calls of other VMs.
	headMemoryShare = 0.125
	peerMemoryShare = 0.125
	// maxReadyConns and maxMetricsConns bound the connections to addresses that only the platform uses.
	maxReadyConns   = 32
	maxMetricsConns = 16
)

// clientLimits bound what the clients of this process take together.
type clientLimits struct {
	callerConns, peerConns int
	headMemory, peerMemory *semaphore.Weighted
}

func newClientLimits(s Settings) clientLimits {
	memory := float64(s.MemoryMB << 20)
	conns := ingress.MaxConns(int64(memory * connMemoryShare))
	l := clientLimits{
		callerConns: conns, peerConns: conns,
		headMemory: semaphore.NewWeighted(int64(memory * headMemoryShare)),
		peerMemory: semaphore.NewWeighted(int64(memory * peerMemoryShare)),
	}
	if s.FileDescriptors > 0 {
		sockets := float64(max(s.FileDescriptors-reservedDescriptors, 0))
		l.callerConns = min(conns, int(sockets*callerConnShare))
		l.peerConns = min(conns, int(sockets*peerConnShare))
	}
	return l
}

// requestLimits returns the limits of a single request by the configuration in force.
func (n *Node) requestLimits() ingress.RequestLimits {
	l := ingress.RequestLimits{
		HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, WriteTimeout: writeTimeout,
	}
	snapshot := n.View.Load()
	if snapshot == nil {
		return l
	}
	configured := snapshot.Limits
	if configured.HeaderBytes > 0 {
		l.HeaderBytes = configured.HeaderBytes
	}
	if configured.HeaderTimeout > 0 {
		l.HeaderTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		l.IdleTimeout = configured.IdleTimeout
	}
	return l
}

// servers holds the HTTP servers of the process. metrics is nil if metrics are not served.
type servers struct {
	callers, ready, metrics *http.Server
}

func (s *servers) shutdown() {
	const shutdownTimeout = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range []*http.Server{s.callers, s.ready, s.metrics} {
		if server != nil {
			_ = server.Shutdown(ctx)
		}
	}
}

func (n *Node) listen(ctx context.Context) (*servers, error) {
	callers, err := bind("callerAddress", n.Settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	ready, err := bind("readyAddress", n.Settings.ReadyAddress)
	if err != nil {
		return nil, err
	}
	peers, err := bind("peerAddress", n.Settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	limits := newClientLimits(n.Settings)
	s := &servers{
		callers: n.serve(callers, n.CallerHandler, limits.callerConns, limits.headMemory),
		ready:   n.serve(ready, http.HandlerFunc(n.serveReady), maxReadyConns, limits.headMemory),
	}
	peers = ingress.MessageListener(peers, limits.peerConns, limits.peerMemory, n.Metrics.ingress.CountClosed)
	go func() { _ = relay.Serve(ctx, peers, n.Peers) }()
	if n.Settings.MetricsAddress == "" {
		return s, nil
	}
	metrics, err := bind("metricsAddress", n.Settings.MetricsAddress)
	if err != nil {
		return s, err
	}
	s.metrics = n.serve(metrics, n.MetricsHandler, maxMetricsConns, limits.headMemory)
	return s, nil
}

// serve serves HTTP requests on a listener, on at most maxConns connections.
func (n *Node) serve(listener net.Listener, handler http.Handler, maxConns int, headMemory *semaphore.Weighted) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: zap.NewStdLog(n.Log),
	}
	guard := ingress.NewGuard(maxConns, headMemory, n.requestLimits, n.Metrics.ingress.CountClosed)
	listener = guard.Protect(server, listener)
	go func() { _ = server.Serve(listener) }()
	return server
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// bind listens on the address of a setting. It fails with *fault.SettingsInvalid.
func bind(setting, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(&fault.SettingsInvalid{Faults: []fault.SettingFault{
			{Field: setting, Value: address, Allowed: "an address of this VM that no process uses"},
		}})
	}
	return listener, nil
}
