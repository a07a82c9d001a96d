package platformtest

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
)

// CallTimeout is how long a process waits for an answer that does not come.
const CallTimeout = 3 * time.Second

// Process is a process of the system as the platform sees it. It implements
// platform.Tables; other ports are driven through Call.
type Process struct {
	Name  string
	world *World
	// kill ends the process's context.
	kill context.CancelFunc
	// Context ends when the process is killed or stopped.
	Context context.Context

	mu       sync.Mutex
	index    int
	dead     bool
	pausedTo time.Time
	cutTo    time.Time
}

// Start returns a new process of the world.
func (w *World) Start(ctx context.Context, name string) *Process {
	ctx, kill := context.WithCancel(ctx)
	return &Process{Name: name, world: w, kill: kill, Context: ctx}
}

// Kill ends the process: nothing that its code still does has any effect.
func (p *Process) Kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.kill()
}

// Dead reports whether the process was killed.
func (p *Process) Dead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// Stop asks the process to stop, as a drain does.
func (p *Process) Stop() { p.kill() }

// Pause stops the process for d: its calls go on only afterwards.
func (p *Process) Pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedTo = time.Now().Add(d)
}

// CutOff cuts the process off from the platform for d.
func (p *Process) CutOff(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutTo = time.Now().Add(d)
}

// CallPeer is the name of calls to another VM.
const CallPeer = "peer"

// platformCalls are the names of the calls to the table service.
var platformCalls = []string{"get", "scan", "commit"}

// unreachable reports whether a call can't get through now. An outage of the
// store hits the table service alone; a process that is cut off reaches neither
// it nor its peers, but still the upstreams of its own failure domain.
func (p *Process) unreachable(call string) bool {
	toPlatform := slices.Contains(platformCalls, call)
	p.mu.Lock()
	cut := time.Now().Before(p.cutTo)
	p.mu.Unlock()
	return toPlatform && p.world.down() || cut && (toPlatform || call == CallPeer)
}

// awaitResume blocks while the process is paused.
func (p *Process) awaitResume() {
	for {
		p.mu.Lock()
		rest := time.Until(p.pausedTo)
		p.mu.Unlock()
		if rest <= 0 {
			return
		}
		time.Sleep(rest)
	}
}

// Call runs one step. effect is the call's work at the platform; it returns the
// answer's failure. mutates tells whether a lost answer leaves the effect
// unknown.
func (p *Process) Call(ctx context.Context, call, subject string, mutates bool, effect func() error) error {
	p.awaitResume()
	lost := errors.WithStack(&fault.StoreUnavailable{Operation: call, EffectUnknown: mutates})
	if p.Dead() || ctx.Err() != nil {
		return lost
	}
	f := p.world.record(p.next(call, subject))
	p.before(f)
	if p.Dead() {
		return lost
	}
	if f.Kind == Late && mutates {
		go func() {
			time.Sleep(f.For)
			_ = effect()
		}()
		silence(ctx)
		return lost
	}
	if f.Kind == LoseRequest || f.Kind == Late || p.unreachable(call) {
		silence(ctx)
		return lost
	}
	err := effect()
	p.after(f)
	if f.Kind == LoseReply {
		silence(ctx)
	}
	if f.Kind == LoseReply || p.Dead() {
		return lost
	}
	return err
}

func (p *Process) next(call, subject string) Step {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := Step{Process: p.Name, Index: p.index, Call: call, Subject: subject}
	p.index++
	return step
}

func (p *Process) before(f Fault) {
	switch f.Kind {
	case KillBefore:
		p.Kill()
	case PauseBefore:
		p.Pause(f.For)
		p.awaitResume()
	case StoreDown:
		p.world.TakeDown(f.For)
	case CutOff:
		p.CutOff(f.For)
	default:
	}
}

func (p *Process) after(f Fault) {
	switch f.Kind {
	case KillAfter:
		p.Kill()
	case PauseAfter:
		p.Pause(f.For)
		p.awaitResume()
	default:
	}
}

// silence waits as a caller does whose answer never comes.
func silence(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(CallTimeout):
	}
}

// Get implements platform.Tables.
func (p *Process) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := p.Call(ctx, "get", key, false, func() (err error) {
		row, err = p.world.Rows.Get(ctx, key)
		return err
	})
	if err != nil {
		return platform.Row{}, err
	}
	return row, nil
}

// Scan implements platform.Tables.
func (p *Process) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	err := p.Call(ctx, "scan", prefix, false, func() (err error) {
		rows, err = p.world.Rows.Scan(ctx, prefix, after, limit)
		return err
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Commit implements platform.Tables.
func (p *Process) Commit(ctx context.Context, txn platform.Txn) error {
	return p.Call(ctx, "commit", txn.Writes[0].Key, true, func() error {
		return p.world.Rows.Commit(ctx, txn)
	})
}
