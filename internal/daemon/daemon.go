// Package daemon assembles dogwoodpondd from its settings and runs it until it has drained.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"dogwoodpond/internal/buildinfo"
	"dogwoodpond/internal/config"
	"dogwoodpond/internal/control"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/ingress"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/peer"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/rollout"
	"dogwoodpond/internal/settings"
	"dogwoodpond/internal/upstream"
	"dogwoodpond/internal/usage"
)

// Daemon is the process of one VM.
type Daemon struct {
	settings   settings.Daemon
	log        *zap.Logger
	events     *event.Recorder
	registry   *prometheus.Registry
	platform   *platformapi.Client
	directory  *upstream.Directory
	syncer     *config.Syncer
	gossip     *peer.Gossip
	peers      *peer.Server
	client     *peer.Client
	entry      *entry.Server
	operator   *operator.Server
	rollouts   *rollout.Manager
	meter      *usage.Meter
	controller *control.Controller
	scheduler  *dispatch.Scheduler
	poller     *upstream.Poller
	history    *rollout.VersionHistory
	ingress    *ingress.Metrics
}

const (
	// minListPollInterval is the shortest interval between polls of the platform's lists.
	// maxListPollsPerSecond limits the polls of the whole fleet.
	minListPollInterval   = 500 * time.Millisecond
	maxListPollsPerSecond = 200
	// The limits of callers' and operators' requests.
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	// headMemory is the memory for large heads of requests, and messageMemory that for large calls of other VMs, in
	// bytes.
	headMemory    = 32 << 20
	messageMemory = 64 << 20
	// The connections that are open at most.
	maxCallerConns   = 4096
	maxOperatorConns = 128
	maxPeerConns     = 1024
	// unreadyGracePeriod is how long /readyz answers 503 before new requests are refused
	// and the listener closes, so that the load balancer has polled it by then.
	unreadyGracePeriod = 2 * time.Second
)

// servers holds the HTTP servers of a daemon.
type servers struct {
	callers, operators *http.Server
}

// Run serves until stop is canceled, then drains. It returns nil after a graceful stop.
func (d *Daemon) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var loops, duties sync.WaitGroup
	open, err := d.listen(ctx, &loops)
	if err != nil {
		return err
	}
	loops.Go(func() { d.syncer.Run(ctx) })
	loops.Go(func() { d.gossip.Run(ctx) })
	loops.Go(func() { d.pollLists(ctx) })
	loops.Go(func() { d.meter.Run(ctx, d.flushInterval) })
	duties.Go(func() { d.controller.Run(ctx) })
	loops.Go(func() { d.scheduler.Run(ctx) })
	loops.Go(func() { d.poller.Run(ctx) })
	loops.Go(func() { d.history.Run(ctx, stepSearchInterval(d.gossip)) })
	loops.Go(func() { d.rollouts.Run(ctx) })
	d.events.Emit(event.ProcessStarted, event.Subject{Detail: "dogwoodpondd build " + buildinfo.ID()})

	<-stop.Done()
	err = d.drain(open)
	cancel()
	loops.Wait()
	// An order in flight may take its whole timeout. Usage is sealed before, in case the process is
	// killed meanwhile.
	d.sealUsage()
	duties.Wait()
	_ = d.client.Close()
	d.events.Emit(event.ProcessStopped, event.Subject{})
	_ = d.log.Sync()
	return err
}

func (d *Daemon) listen(ctx context.Context, loops *sync.WaitGroup) (servers, error) {
	callers, err := bind("callerAddress", d.settings.CallerAddress)
	if err != nil {
		return servers{}, err
	}
	operators, err := bind("operatorAddress", d.settings.OperatorAddress)
	if err != nil {
		return servers{}, err
	}
	peers, err := bind("peerAddress", d.settings.PeerAddress)
	if err != nil {
		return servers{}, err
	}
	open := servers{
		callers:   &http.Server{Handler: d.entry.Handler(), ReadHeaderTimeout: readHeaderTimeout},
		operators: &http.Server{Handler: d.operator.Handler(), ReadHeaderTimeout: readHeaderTimeout},
	}
	heads := semaphore.NewWeighted(headMemory)
	guardedCallers := ingress.NewGuard(maxCallerConns, heads, requestLimits, d.ingress.CountClosed).Protect(open.callers, callers)
	guardedOperators := ingress.NewGuard(maxOperatorConns, heads, requestLimits, d.ingress.CountClosed).Protect(open.operators, operators)
	guardedPeers := ingress.MessageListener(peers, maxPeerConns, semaphore.NewWeighted(messageMemory), d.ingress.CountClosed)
	loops.Go(func() { _ = open.callers.Serve(guardedCallers) })
	loops.Go(func() { _ = open.operators.Serve(guardedOperators) })
	loops.Go(func() { _ = d.peers.Serve(ctx, guardedPeers) })
	bound := fmt.Sprintf("callers=%s operators=%s peers=%s", callers.Addr(), operators.Addr(), peers.Addr())
	d.events.Emit(event.ProcessStarted, event.Subject{Detail: bound})
	return open, nil
}

// requestLimits returns the limits of a single request. Body and answer have timeouts of their own in entry.
func requestLimits() ingress.RequestLimits {
	return ingress.RequestLimits{HeaderBytes: maxHeaderBytes, HeaderTimeout: readHeaderTimeout}
}

// bind listens on the address of a setting. It fails with *fault.SettingsInvalid, which
// contains the setting, for example if another process uses the port.
func bind(setting, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(&fault.SettingsInvalid{Faults: []fault.SettingFault{
			{Field: setting, Value: address, Allowed: "an address of this VM that no process uses"},
		}})
	}
	return listener, nil
}

// drain answers readiness polls with 503 for unreadyGracePeriod, then refuses new requests,
// waits for the running ones and closes the rollouts and the listeners.
func (d *Daemon) drain(open servers) error {
	d.events.Emit(event.DrainStarted, event.Subject{})
	d.entry.Drain()
	time.Sleep(unreadyGracePeriod)
	d.entry.RefuseNewRequests()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout())
	defer cancel()
	if err := open.callers.Shutdown(ctx); err != nil {
		return errors.WithStack(&fault.DeadlineExceeded{})
	}
	d.entry.WaitDetached()
	d.rollouts.Close()
	return open.operators.Shutdown(ctx)
}

// maxFlushesPerSecond limits the usage flushes of the whole fleet.
const maxFlushesPerSecond = 80

// flushInterval returns the interval between usage flushes. It grows with the fleet, so that
// the load of the store does not.
func (d *Daemon) flushInterval() time.Duration {
	return fleetInterval(d.settings.UsageFlushInterval(), len(d.gossip.VMs()), maxFlushesPerSecond)
}

const (
	sealAttempts = 5
	sealBackoff  = 200 * time.Millisecond
)

// sealUsage makes this VM's usage row final after the last request. If all attempts fail,
// the report of the window is marked incomplete.
func (d *Daemon) sealUsage() {
	for range sealAttempts {
		if d.meter.Seal(context.Background()) == nil {
			return
		}
		time.Sleep(sealBackoff)
	}
	d.events.Emit(event.UsageIncomplete, event.Subject{Detail: "not sealed"})
}

// pollLists polls the platform's lists of VMs and upstreams until ctx ends. During an outage
// of the platform the last lists remain in use.
func (d *Daemon) pollLists(ctx context.Context) {
	for {
		if vms, err := d.platform.VMs(ctx); err == nil {
			d.gossip.SetVMs(vms)
		}
		if upstreams, err := d.platform.Upstreams(ctx); err == nil {
			d.directory.Replace(upstreams)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(fleetInterval(minListPollInterval, len(d.gossip.VMs()), maxListPollsPerSecond)):
		}
	}
}

// fleetInterval returns the interval of an action that every VM takes, at least minimum, so
// that the whole fleet takes it at most perSecond times per second.
func fleetInterval(minimum time.Duration, vms, perSecond int) time.Duration {
	return max(minimum, time.Duration(vms)*time.Second/time.Duration(perSecond))
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(s settings.Daemon) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "log level"})
	}
	c.Level = level
	c.Sampling = nil
	c.OutputPaths = []string{"stderr"}
	c.DisableStacktrace = true
	log, err := c.Build()
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "logger"})
	}
	return log.With(zap.String("vm", s.VM), zap.Int("pid", os.Getpid())), nil
}
