package node

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/buildinfo"
	"dogwoodpond/internal/drain"
	"dogwoodpond/internal/event"
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
	// killMargin is the time between the end of the last requests and the end of the process's
	// grace period, when the process is killed.
	killMargin = 1200 * time.Millisecond
	// lastAnswerPeriod is the time for the answers to requests that end with the drain.
	lastAnswerPeriod = 200 * time.Millisecond
	// handoverTimeout is the timeout of the handover of steps and leases.
	handoverTimeout = 3 * time.Second
	// memoryLimitShare is the share of the process's memory that is the soft memory limit
	// of the Go runtime. Close to the limit the runtime collects garbage more often.
	memoryLimitShare = 0.7
	// gcPercent is how far the heap may grow between two garbage collections. A value
	// below the default of 100 lowers peak memory use and costs little CPU time.
	gcPercent = 50
	// pollInterval is the interval at which the drain checks for open requests. It is also
	// the backoff before the first synchronization of the fleet's clock is retried.
	pollInterval = 50 * time.Millisecond
)

// Reloader reads the settings file again. changed lists the settings that differed and
// have been applied; restart lists those that differ and take effect at the next start.
type Reloader func() (changed, restart []string, err error)

// Loops are functions that run until ctx ends.
type Loops []func(ctx context.Context)

// Node is the process of one VM.
type Node struct {
	Settings       Settings
	Log            *zap.Logger
	Events         *event.Recorder
	Incarnation    *Incarnation
	View           *route.View
	Roster         *target.Roster
	Members        *member.List
	Steps          *step.Manager
	Meter          *usagewindow.Meter
	Reporter       *usagewindow.Reporter
	Loaders        []*weightload.Loader
	Orderers       []*scaling.Orderer
	CallerHandler  http.Handler
	MetricsHandler http.Handler
	Metrics        *Metrics
	Peers          relay.Handlers
	// Background holds loops that run until the process ends: they watch the platform's
	// tables and probe the store.
	Background Loops
	// SyncClock synchronizes the fleet's clock: it reads the clock's offset from the store,
	// or sets it there if there is none yet.
	SyncClock func(ctx context.Context) error
	// FlushLog waits briefly until the last log lines are written.
	FlushLog func()
	// Reload reads the settings file again and applies what needs no restart.
	Reload Reloader
}

// Run serves callers until stop is canceled, then hands over steps and leases and drains. It
// returns nil after a graceful stop.
func (n *Node) Run(stop context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(n.Settings.MemoryMB<<20) * memoryLimitShare))
	n.Events.Emit(event.ProcessStarted, event.Subject{Detail: n.Settings.FailureDomain + " life " + n.Incarnation.ID() + " build " + buildinfo.ID()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	// Duties end as soon as stop is canceled, so that new holders of their leases need not wait.
	// The loops that serve callers run until the drain has ended.
	duties, endDuties := context.WithCancel(ctx)
	defer endDuties()
	var loops, dutyLoops sync.WaitGroup
	for _, loop := range n.Background {
		loops.Go(func() { loop(ctx) })
	}
	loops.Go(func() { n.watchSettings(ctx) })
	loops.Go(func() { n.Members.Run(ctx) })
	loops.Go(func() { n.Steps.Run(ctx) })
	loops.Go(func() { n.Meter.Run(ctx) })
	n.startDuties(duties, &dutyLoops)

	<-stop.Done()
	stopped := time.Now()
	killTime := stopped.Add(n.Settings.GracePeriod)
	n.Incarnation.Leave(stopped, killTime.Add(-killMargin))
	n.leave(endDuties, &dutyLoops)
	n.drain(stopped.Add(drain.NoticePeriod), killTime.Add(lastAnswerPeriod-killMargin))
	servers.shutdown()
	cancel()
	// A loop may still wait for an unresponsive store. The process ends without it, since
	// it would be killed soon after.
	waitUntil(killTime.Add(-killMargin/2), loops.Wait)
	n.Events.Emit(event.ProcessStopped, event.Subject{Count: n.Incarnation.Open()})
	n.FlushLog()
	return nil
}

// waitUntil calls wait and reports whether it returned by the deadline. Otherwise wait
// continues to run in its goroutine.
func waitUntil(deadline time.Time, wait func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait()
	}()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// startDuties starts the loops that campaign for leases: weight loads, upstream orders and
// usage reports.
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
		for ctx.Err() == nil && n.SyncClock(ctx) != nil {
			select {
			case <-ctx.Done():
			case <-time.After(pollInterval):
			}
		}
		n.Reporter.Run(ctx)
	})
}

// leave ends the VM's duties, and hands over its steps and leases within
// handoverTimeout.
func (n *Node) leave(endDuties context.CancelFunc, duties *sync.WaitGroup) {
	n.Events.Emit(event.DrainStarted, event.Subject{Count: n.Incarnation.Open()})
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	endDuties()
	var handover sync.WaitGroup
	handover.Go(func() { n.Members.Leave(ctx) })
	handover.Go(func() { n.Steps.Leave(ctx) })
	handover.Go(duties.Wait)
	waitUntil(time.Now().Add(handoverTimeout), handover.Wait)
}

// drain waits until callers have noticed that the VM leaves and no request is open, or until the deadline. Then it closes
// the gate. A request that was admitted just before is still answered.
func (n *Node) drain(noticed, deadline time.Time) {
	for time.Now().Before(deadline) && !(time.Now().After(noticed) && n.Incarnation.Open() == 0) {
		time.Sleep(pollInterval)
	}
	n.Incarnation.Close()
	for time.Now().Before(deadline) && n.Incarnation.Open() > 0 {
		time.Sleep(pollInterval)
	}
}

// Ready reports whether the VM accepts new connections: it is not stopping and knows its
// configuration and upstreams.
func (n *Node) Ready() bool {
	return !n.Incarnation.Leaving() && n.View.Load() != nil && n.Roster.HasUpstreams()
}
