package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/member"
	"dogwoodpond/internal/relay"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/scaling"
	"dogwoodpond/internal/step"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/usagewindow"
	"dogwoodpond/internal/weightload"
)

const (
	// readHeaderTimeout ends connections that never send a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes kept connections of callers, long after the last time at
	// which callers use one again.
	idleTimeout = 75 * time.Second
	// maxHeader bounds a request's header in bytes.
	maxHeader = 64 << 10
	// rotationNotice is how long callers may still open connections after this VM
	// has said that it is not ready: the balancer asks once a second and acts on
	// the second miss.
	rotationNotice = 2600 * time.Millisecond
	// lastTime is what is left of the grace when the process stops in any case.
	lastTime = 1200 * time.Millisecond
	// handOverTime bounds the hand-over of steps and leases.
	handOverTime = 3 * time.Second
	// memoryShare is the part of the process's memory from which on the runtime
	// collects garbage as hard as it can.
	memoryShare = 0.7
	// garbagePercent is by how many percent the heap may grow between collections. Less
	// than the runtime's 100 lowers the peak of memory for a little processor time.
	garbagePercent = 50
	// openPoll is the period of looking whether open requests have ended.
	openPoll = 50 * time.Millisecond
)

// Reloader reads the settings again. changed lists the settings that differ and
// are in force now; restart lists those that take a restart.
type Reloader func() (changed, restart []string, err error)

// Loops follow something until ctx ends.
type Loops []func(ctx context.Context)

// Node is one VM's process.
type Node struct {
	Settings Settings
	Log      *zap.Logger
	Events   *event.Recorder
	Life     *Life
	View     *route.View
	Roster   *target.Roster
	Members  *member.List
	Steps    *step.Manager
	Meter    *usagewindow.Meter
	Closer   *usagewindow.Reporter
	Loaders  []*weightload.Loader
	Orderers []*scaling.Orderer
	Callers  http.Handler
	Metrics  http.Handler
	Carry    relay.CallFunc
	// Follow holds the loops that follow the platform's lists.
	Follow Loops
	// Clock agrees with the fleet on the time.
	Clock func(ctx context.Context) error
	// FlushLog waits a little for the last log lines.
	FlushLog func()
	// Reload reads the settings again.
	Reload Reloader
}

// Run serves until stop ends, then hands over and drains. It returns nil after a
// graceful stop.
func (n *Node) Run(stop context.Context) error {
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(float64(n.Settings.MemoryMB<<20) * memoryShare))
	n.Events.Emit(event.ProcessStarted, event.Subject{Detail: n.Settings.FailureDomain + " life " + n.Life.ID()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	// Duties end at once on a stop, so that a successor need not wait; what
	// serves callers goes on until the end.
	duties, endDuties := context.WithCancel(ctx)
	defer endDuties()
	var loops, dutyLoops sync.WaitGroup
	for _, follow := range n.Follow {
		loops.Go(func() { follow(ctx) })
	}
	loops.Go(func() { n.watchSettings(ctx) })
	loops.Go(func() { n.Members.Run(ctx) })
	loops.Go(func() { n.Steps.Run(ctx) })
	loops.Go(func() { n.Meter.Run(ctx) })
	n.startDuties(duties, &dutyLoops)

	<-stop.Done()
	killedAt := time.Now().Add(n.Settings.Grace)
	n.leave(endDuties, &dutyLoops)
	n.drain(killedAt.Add(-lastTime))
	servers.shutDown()
	cancel()
	// What still waits for a store that does not answer would only be killed.
	waitUntil(killedAt.Add(-lastTime/2), loops.Wait)
	n.Events.Emit(event.ProcessStopped, event.Subject{Count: n.Life.Open()})
	n.FlushLog()
	return nil
}

// waitUntil waits for something until a moment, and reports whether it came.
func waitUntil(latest time.Time, wait func()) bool {
	over := make(chan struct{})
	go func() {
		defer close(over)
		wait()
	}()
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	select {
	case <-over:
		return true
	case <-timer.C:
		return false
	}
}

func (n *Node) startDuties(ctx context.Context, loops *sync.WaitGroup) {
	for _, l := range n.Loaders {
		loops.Go(func() { l.Run(ctx) })
	}
	for _, o := range n.Orderers {
		loops.Go(func() { o.Run(ctx) })
	}
	if !n.Settings.ReportsUsage {
		return
	}
	loops.Go(func() {
		for ctx.Err() == nil && n.Clock(ctx) != nil {
			select {
			case <-ctx.Done():
			case <-time.After(openPoll):
			}
		}
		n.Closer.Run(ctx)
	})
}

// leave makes the VM unready and hands over what it holds.
func (n *Node) leave(endDuties context.CancelFunc, duties *sync.WaitGroup) {
	n.Life.Leave()
	n.Events.Emit(event.DrainStarted, event.Subject{Count: n.Life.Open()})
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	endDuties()
	var handOver sync.WaitGroup
	handOver.Go(func() { n.Members.Leave(ctx) })
	handOver.Go(func() { n.Steps.Leave(ctx) })
	handOver.Go(duties.Wait)
	waitUntil(time.Now().Add(handOverTime), handOver.Wait)
}

// drain waits until no caller opens connections any more and the open requests
// have ended, or until the latest moment.
func (n *Node) drain(latest time.Time) {
	earliest := time.Now().Add(rotationNotice)
	for time.Now().Before(latest) {
		if time.Now().After(earliest) && n.Life.Open() == 0 {
			return
		}
		time.Sleep(openPoll)
	}
}

// Ready reports whether the VM should get new connections.
func (n *Node) Ready() bool {
	return !n.Life.Leaving() && n.View.Load() != nil && n.Roster.HasUpstreams()
}

// servers are the open listeners.
type servers struct {
	callers, ready, metrics *http.Server
}

func (s *servers) shutDown() {
	const shutDownTime = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), shutDownTime)
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
	errorLog := zap.NewStdLog(n.Log)
	s := &servers{
		callers: &http.Server{
			Handler: n.Callers, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeader, ErrorLog: errorLog,
		},
		ready: &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: errorLog},
	}
	go func() { _ = s.callers.Serve(callers) }()
	go func() { _ = s.ready.Serve(ready) }()
	go func() { _ = relay.Serve(ctx, peers, n.Carry) }()
	return s, n.listenMetrics(s)
}

func (n *Node) listenMetrics(s *servers) error {
	if n.Settings.MetricsAddress == "" {
		return nil
	}
	listener, err := bind("metricsAddress", n.Settings.MetricsAddress)
	if err != nil {
		return err
	}
	s.metrics = &http.Server{Handler: n.Metrics, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.metrics.Serve(listener) }()
	return nil
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// bind listens on the address of a setting.
func bind(setting, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(&fault.SettingsInvalid{Faults: []fault.SettingFault{
			{Field: setting, Value: address, Allowed: "an address of this VM that no process uses"},
		}})
	}
	return listener, nil
}
