package weightload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platformapi/faultinject"
)

// maxReadDelay is how long a fake engine runs, at most, before it reads an order that
// arrived while it stood still.
const maxReadDelay = 300 * time.Millisecond

// stalls are the times in which a fake engine stands still. Calls then get no answer, and
// orders wait in the engine's queue, even when their senders have given up.
type stalls struct {
	// stallAtOrder returns for how long the engine stands still from the arrival of an order
	// on; 0 if it runs on.
	stallAtOrder func(Order) time.Duration
	// stallAfterResume returns how soon after a stall the engine stands still again, and for
	// how long.
	stallAfterResume func() (after, length time.Duration)
	readDelay        func() time.Duration

	// running is closed when the stall ends; nil while the engine runs.
	running chan struct{}
	// runsSince is the end of the last stall.
	runsSince time.Time
	queue     []*queuedOrder
}

// queuedOrder is an order that arrived while the engine stood still.
type queuedOrder struct {
	order Order
	// delay is how long the engine must still run before it reads the order.
	delay  time.Duration
	timer  *time.Timer
	answer chan Reply
}

// awaitRunning waits until the engine runs, and reports whether ctx is still active.
func (e *fakeEngine) awaitRunning(ctx context.Context) bool {
	e.mu.Lock()
	running := e.stalls.running
	e.mu.Unlock()
	if running == nil {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-running:
		return true
	}
}

// enqueueIfStill puts the order into the queue if the engine stands still, and returns
// the channel of its reply. The engine may stand still from this order on.
func (e *fakeEngine) enqueueIfStill(c Order) <-chan Reply {
	if e.stalls.running == nil && e.stalls.stallAtOrder != nil {
		if length := e.stalls.stallAtOrder(c); length > 0 {
			e.stall(length)
		}
	}
	if e.stalls.running == nil {
		return nil
	}
	queued := &queuedOrder{order: c, delay: e.stalls.readDelay(), answer: make(chan Reply, 1)}
	e.stalls.queue = append(e.stalls.queue, queued)
	return queued.answer
}

// stall lets the engine stand still for length.
func (e *fakeEngine) stall(length time.Duration) {
	if e.stalls.running != nil {
		return
	}
	e.stalls.running = make(chan struct{})
	for _, queued := range e.stalls.queue {
		if queued.timer != nil && queued.timer.Stop() {
			queued.delay -= time.Since(e.stalls.runsSince)
		}
	}
	time.AfterFunc(length, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.resume()
	})
}

func (e *fakeEngine) resume() {
	close(e.stalls.running)
	e.stalls.running, e.stalls.runsSince = nil, time.Now()
	for _, queued := range e.stalls.queue {
		queued.timer = time.AfterFunc(queued.delay, func() { e.read(queued) })
	}
	if e.stalls.stallAfterResume == nil {
		return
	}
	if after, length := e.stalls.stallAfterResume(); length > 0 {
		time.AfterFunc(after, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.stall(length)
		})
	}
}

// read executes an order from the queue, unless the engine stands still again.
func (e *fakeEngine) read(queued *queuedOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalls.running != nil {
		queued.delay = 0
		return
	}
	for i := range e.stalls.queue {
		if e.stalls.queue[i] == queued {
			e.stalls.queue = append(e.stalls.queue[:i], e.stalls.queue[i+1:]...)
			break
		}
	}
	e.holders, e.epochs = append(e.holders, queued.order.Holder), append(e.epochs, queued.order.Epoch)
	queued.answer <- e.execute(queued.order)
}

// checkEpochs fails the test if an engine read an order with a lower epoch after one with
// a higher epoch, or if two holders share an epoch.
func (f *fleet) checkEpochs(t *testing.T) {
	t.Helper()
	for id, e := range f.engines {
		e.mu.Lock()
		holders := map[uint64]string{}
		var newest uint64
		for i, epoch := range e.epochs {
			if epoch < newest {
				t.Errorf("%s read an order of %s with epoch %d after epoch %d", id, e.holders[i], epoch, newest)
			}
			newest = max(newest, epoch)
			if other, ok := holders[epoch]; ok && other != e.holders[i] {
				t.Errorf("%s and %s share the epoch %d", other, e.holders[i], epoch)
			}
			holders[epoch] = e.holders[i]
		}
		e.mu.Unlock()
	}
}

// newTestLoader returns a loader of the fleet whose leases are in the cluster's store.
func (f *fleet) newTestLoader(p *faultinject.Process) *Loader {
	events := event.NewRecorder(p.Name, 64, event.NewClock(time.Now), zap.NewNop())
	return &Loader{
		VM: p.Name, Domain: "x", Roster: f.roster, Engines: f, Demands: f, Store: f.store, Events: events,
		Leases: lease.NewManager(p, p.Name, 3*time.Second, events),
	}
}

// Guards against an order of an earlier holder that an engine reads, after it stood still,
// later than one of the next holder.
func TestEngineThatStoodStillGetsNoLowerEpochAfterHigher(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(*faultinject.Process)
	}{
		{"planned stop", (*faultinject.Process).Stop},
		{"term expires", func(p *faultinject.Process) { p.CutOff(time.Minute) }},
	} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(tc.name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playStalls(t, seed, tc.end) })
			})
		}
	}
}

// playStalls lets two VMs hold the lease in turn while engines stand still as orders
// arrive. end ends the term of a holder.
func playStalls(t *testing.T, seed uint64, end func(*faultinject.Process)) {
	const terms, termLength, versionInterval = 8, 8 * time.Second, time.Second
	f := newFleet(4)
	for id, e := range f.engines {
		draws := rand.New(rand.NewPCG(seed, uint64(id[2])))
		between := func(low, high time.Duration) time.Duration {
			return low + time.Duration(draws.Int64N(int64(high-low)))
		}
		e.stalls = stalls{
			stallAtOrder: func(Order) time.Duration {
				if draws.IntN(3) > 0 {
					return 0
				}
				return between(200*time.Millisecond, 5*time.Second)
			},
			stallAfterResume: func() (after, length time.Duration) {
				if draws.IntN(3) > 0 {
					return 0, 0
				}
				return between(time.Millisecond, maxReadDelay), between(20*time.Millisecond, time.Second)
			},
			readDelay: func() time.Duration { return between(0, maxReadDelay) },
		}
	}
	cluster := faultinject.NewCluster(faultinject.NoFaults)
	var running sync.WaitGroup
	var processes []*faultinject.Process
	start := func(name string) {
		p := cluster.Start(t.Context(), name)
		processes = append(processes, p)
		running.Go(func() { f.newTestLoader(p).Run(p.Context) })
	}
	version := int64(1)
	for term := range terms {
		start(fmt.Sprint("vm-", term))
		if term > 0 {
			// The holder's term ends at some point between two versions.
			time.Sleep(time.Duration(seed) * versionInterval / 20)
			end(processes[term-1])
		}
		for range termLength / versionInterval {
			version++
			f.announceVersion("m", version)
			time.Sleep(versionInterval)
		}
	}
	for _, p := range processes {
		p.Stop()
	}
	running.Wait()
	time.Sleep(termLength)
	f.checkEpochs(t)
	if byVersion := f.versions("m"); byVersion[1] > 0 {
		t.Errorf("engines by version: %v", byVersion)
	}
}
