package faultinject

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// CallTimeout is the time after which a call without an answer fails.
const CallTimeout = 3 * time.Second

// Process is a process of the system under test that makes calls to the platform. It
// implements platformapi.Tables; tests make the calls of other ports through Call.
type Process struct {
	Name    string
	cluster *Cluster
	// cancel ends Context.
	cancel context.CancelFunc
	// Context ends when the process is killed or stopped.
	Context context.Context

	mu          sync.Mutex
	index       int
	killed      bool
	pausedUntil time.Time
	cutOffUntil time.Time
}

// Start returns a new process of the cluster. Its context is derived from ctx.
func (c *Cluster) Start(ctx context.Context, name string) *Process {
	ctx, cancel := context.WithCancel(ctx)
	return &Process{Name: name, cluster: c, cancel: cancel, Context: ctx}
}

// Kill kills the process: its context ends, and calls that its code still makes have
// no effect.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.cancel()
}

// Killed reports whether the process was killed.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Stop ends the context of the process, as a drain does. Unlike after Kill, calls
// with another context still have an effect.
func (p *Process) Stop() { p.cancel() }

// Pause pauses the process for d: calls that it starts block until then.
func (p *Process) Pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

// CutOff makes calls of the process to the store and to its peers fail for d.
func (p *Process) CutOff(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOffUntil = time.Now().Add(d)
}

// CallPeer is the Call of steps that are calls to another VM.
const CallPeer = "peer"

// storeCalls are the Calls of steps that are calls to the table service or the
// partitioned store.
var storeCalls = []string{"get", "scan", "commit"}

// unreachable reports whether the receiver of a call can't be reached now. An outage
// of the store affects only calls to the store. A process that is cut off can't reach
// the store and its peers, but still reaches the upstreams of its own failure domain.
func (p *Process) unreachable(call string) bool {
	toStore := slices.Contains(storeCalls, call)
	p.mu.Lock()
	cutOff := time.Now().Before(p.cutOffUntil)
	p.mu.Unlock()
	return toStore && p.cluster.isDown() || cutOff && (toStore || call == CallPeer)
}

// awaitResume blocks while the process is paused.
func (p *Process) awaitResume() {
	for {
		p.mu.Lock()
		remaining := time.Until(p.pausedUntil)
		p.mu.Unlock()
		if remaining <= 0 {
			return
		}
		time.Sleep(remaining)
	}
}

// Call runs one step, with the fault that the script chooses for it. effect executes
// the call at its receiver and returns the receiver's error. mutates is true if the call
// changes something, so that its effect is unknown when its answer is lost.
func (p *Process) Call(ctx context.Context, call, subject string, mutates bool, effect func() error) error {
	p.awaitResume()
	noAnswer := errors.WithStack(&fault.StoreUnavailable{Operation: call, EffectUnknown: mutates})
	if p.Killed() || ctx.Err() != nil {
		return noAnswer
	}
	f := p.cluster.record(p.nextStep(call, subject))
	p.injectBefore(f)
	if p.Killed() {
		return noAnswer
	}
	if f.Kind == DelayEffect && mutates {
		go func() {
			time.Sleep(f.Duration)
			_ = effect()
		}()
		awaitTimeout(ctx)
		return noAnswer
	}
	if f.Kind == LoseRequest || f.Kind == DelayEffect || p.unreachable(call) {
		awaitTimeout(ctx)
		return noAnswer
	}
	err := effect()
	p.injectAfter(f)
	if f.Kind == LoseReply {
		awaitTimeout(ctx)
	}
	if f.Kind == LoseReply || p.Killed() {
		return noAnswer
	}
	return err
}

func (p *Process) nextStep(call, subject string) Step {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := Step{Process: p.Name, Index: p.index, Call: call, Subject: subject}
	p.index++
	return step
}

func (p *Process) injectBefore(f Fault) {
	switch f.Kind {
	case KillBefore:
		p.Kill()
	case PauseBefore:
		p.Pause(f.Duration)
		p.awaitResume()
	case StoreDown:
		p.cluster.TakeStoreDown(f.Duration)
	case CutOff:
		p.CutOff(f.Duration)
	default:
	}
}

func (p *Process) injectAfter(f Fault) {
	switch f.Kind {
	case KillAfter:
		p.Kill()
	case PauseAfter:
		p.Pause(f.Duration)
		p.awaitResume()
	default:
	}
}

// awaitTimeout blocks until CallTimeout has passed or ctx ends, like a call that gets
// no answer.
func awaitTimeout(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(CallTimeout):
	}
}

// Get implements platformapi.Tables.
func (p *Process) Get(ctx context.Context, key string) (platformapi.Row, error) {
	var row platformapi.Row
	err := p.Call(ctx, "get", key, false, func() (err error) {
		row, err = p.cluster.Rows.Get(ctx, key)
		return err
	})
	if err != nil {
		return platformapi.Row{}, err
	}
	return row, nil
}

// Scan implements platformapi.Tables.
func (p *Process) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, error) {
	var rows []platformapi.Row
	err := p.Call(ctx, "scan", prefix, false, func() (err error) {
		rows, err = p.cluster.Rows.Scan(ctx, prefix, after, limit)
		return err
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Commit implements platformapi.Tables.
func (p *Process) Commit(ctx context.Context, txn platformapi.Txn) error {
	return p.Call(ctx, "commit", txn.Writes[0].Key, true, func() error {
		return p.cluster.Rows.Commit(ctx, txn)
	})
}
