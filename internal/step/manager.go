package step

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/target"
)

const (
	// watchWait bounds one call for changes of states, and so for how long a feed
	// that fell silent goes unnoticed, and the items of an ended step run on.
	watchWait = time.Second
	// watchPace is the least time between two such calls, of a small fleet.
	watchPace = 20 * time.Millisecond
	// considerEvery is the period of looking for steps without a living owner.
	considerEvery = 200 * time.Millisecond
	// takeoverStep is how much longer each further VM waits before it takes over
	// a step: the one before it needs two calls to the store for it.
	takeoverStep = 600 * time.Millisecond
	// loadPause is the pause between tries to read a step that is taken over.
	loadPause = 100 * time.Millisecond
)

// Members tells which processes live.
type Members interface {
	Ready() bool
	Alive(id, life string) bool
	Rank(work string) int
	// RankWithin is Rank among the VMs of the failure domains that a residency allows.
	RankWithin(work string, residency route.Residency) int
}

// Process names one life of a VM's process.
type Process struct{ VM, Life string }

// Config holds what a manager works with.
type Config struct {
	// VM and Life name this process, Domain its failure domain.
	VM, Life, Domain string
	Store            kept.Store
	Clock            kept.Clock
	Members          Members
	View             *route.View
	Roster           *target.Roster
	Caller           target.Caller
	Scorer           Scorer
	Events           *event.Recorder
	// Named returns the version of a model that its trainer named last.
	Named func(model string) (int64, bool)
	// Prefer returns the process that should own the steps of a model, if one is
	// known to live where they may be, and StoreWell whether the store answered a moment ago.
	Prefer    func(model string, residency route.Residency) (p Process, ok bool)
	StoreWell func() bool
	Calls     *budget.Budget
	// Keep is how long ended steps stay readable after their submission.
	Keep time.Duration
}

// Manager accepts, owns, runs and reads steps. It is safe for concurrent use.
type Manager struct {
	Config
	wake  chan struct{}
	lanes *scoring.Lanes
	// look makes the manager look for steps to own at once.
	look chan struct{}
	// statesRead is when the states of steps were read last, in Unix nanoseconds.
	statesRead atomic.Int64

	mu      sync.Mutex
	known   map[string]record
	runs    map[string]*run
	loading map[string]bool
	orphan  map[string]time.Time
	carried *carried
	leaving bool
	// over is true once Run waits for the last runs.
	over bool

	loops sync.WaitGroup
	// ctx is the life of the runs. It begins with the manager, not with Run: a
	// step may be accepted just before, and its run must still end with the rest.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewManager returns a manager; Run brings it to life.
func NewManager(c Config) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		Config:  c,
		wake:    make(chan struct{}, 1),
		lanes:   scoring.NewLanes(),
		look:    make(chan struct{}, 1),
		known:   make(map[string]record),
		runs:    make(map[string]*run),
		loading: make(map[string]bool),
		orphan:  make(map[string]time.Time),
		carried: newCarried(),
		ctx:     ctx,
		cancel:  cancel,
	}
}

// Run follows the steps of the fleet and runs those that this VM owns, until ctx
// ends.
func (m *Manager) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, m.cancel)()
	watcher := kept.Watcher{
		Store: m.Store, Table: stateTable, AllParts: true, Wait: watchWait, WaitNow: m.stateWait,
		Pace:    m.statePace,
		Retry:   func() time.Duration { return m.Calls.Retry(budget.Steps, watchPace) },
		Replace: func(rows []kept.Row) { m.replace(rows) },
		Apply:   func(rows []kept.Row) { m.apply(rows) },
		Reached: func() { m.statesRead.Store(time.Now().UnixNano()) },
		Lost:    m.Events.Lost("states of steps"), Regained: m.Events.Regained("states of steps"),
	}
	var loops sync.WaitGroup
	loops.Go(func() { watcher.Run(ctx) })
	loops.Go(func() { m.considerLoop(ctx) })
	loops.Go(func() { m.dispatchLoop(ctx) })
	loops.Wait()
	// A step that is handed in now must not begin a run beside the wait for the runs.
	m.mu.Lock()
	m.over = true
	m.mu.Unlock()
	m.loops.Wait()
}

// End ends a step; a repeat is harmless.
func (m *Manager) End(ctx context.Context, id, account string) error {
	r, err := m.find(ctx, id, account)
	for err == nil && !r.Ended {
		next := r.State
		next.Ended, next.Nonce = true, uuid.NewString()
		ended, done, commitErr := m.replaceState(ctx, r, next)
		if commitErr != nil {
			return commitErr
		}
		if done {
			m.Events.Emit(event.StepEnded, event.Subject{Step: id, Account: account})
		}
		r = ended
	}
	return err
}

// replaceState commits a new state over a known one. done is false when another
// writer was faster; the returned record is then theirs.
func (m *Manager) replaceState(ctx context.Context, r record, next State) (now record, done bool, err error) {
	value, err := encode(next)
	if err != nil {
		return r, false, err
	}
	version, err := kept.CommitSurely(ctx, m.Store, kept.Txn{
		Expected: []kept.Expectation{{Key: stateKey(r.ID), Version: r.version}},
		Puts:     []kept.Put{{Key: stateKey(r.ID), Value: value}},
	})
	var conflict *kept.Conflict
	if errors.As(err, &conflict) {
		row := conflict.Row(stateKey(r.ID))
		if row.Version == 0 {
			return r, false, errors.WithStack(&fault.StepUnknown{Step: r.ID})
		}
		now, err = decodeState(row)
		if err == nil {
			m.learn(now)
		}
		return now, false, err
	}
	if err != nil {
		return r, false, err
	}
	now = record{State: next, version: version}
	m.learn(now)
	return now, true, nil
}

// find returns a step's state, from the store when it is not known here. It
// fails with *fault.StepUnknown only when the store says so.
func (m *Manager) find(ctx context.Context, id, account string) (record, error) {
	r, ok := m.lookUp(id)
	if !ok {
		var err error
		if r, err = readState(ctx, m.Store, id); err != nil {
			return r, err
		}
		m.learn(r)
	}
	if r.Account != account {
		return record{}, errors.WithStack(&fault.StepUnknown{Step: id})
	}
	return r, nil
}

func (m *Manager) lookUp(id string) (record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.known[id]
	return r, ok
}

func (m *Manager) runOf(id string) *run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[id]
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// replace takes all states after a full read.
func (m *Manager) replace(rows []kept.Row) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Part] = true
	}
	m.apply(rows)
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, r := range m.known {
		if !listed[id] && r.Ended {
			delete(m.known, id)
		}
	}
}

// apply takes changed states.
func (m *Manager) apply(rows []kept.Row) {
	for _, row := range rows {
		if row.Deleted {
			m.forget(row.Part)
			continue
		}
		r, err := decodeState(row)
		if err != nil {
			m.Events.Emit(event.RowUnreadable, event.Subject{Step: row.Part, Detail: err.Error()})
			continue
		}
		m.learn(r)
	}
	select {
	case m.look <- struct{}{}:
	default:
	}
}

func (m *Manager) forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.known, id)
}

// note keeps a state unless a newer one is known, and reports whether it did.
func (m *Manager) note(r record) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.known[r.ID]
	if ok && known.version >= r.version {
		return false
	}
	r.ownedSince = time.Now()
	if ok && known.Owner == r.Owner {
		r.ownedSince = known.ownedSince
	}
	m.known[r.ID] = r
	delete(m.orphan, r.ID)
	return true
}

// learn takes a state and stops the step's run here if it is over or another
// VM's by now.
func (m *Manager) learn(r record) {
	if !m.note(r) {
		return
	}
	current := m.runOf(r.ID)
	if current == nil || !r.Ended && r.Owner == m.VM && r.OwnerLife == m.Life {
		return
	}
	if current.early != nil && !current.accepted() {
		go current.early.decide(r)
		return
	}
	m.stop(current)
}

// stop ends a run and forgets it.
func (m *Manager) stop(r *run) {
	m.mu.Lock()
	if m.runs[r.rec.ID] == r {
		delete(m.runs, r.rec.ID)
		m.carried.put(r.rec.Account, r.unfinished(), time.Now())
	}
	m.mu.Unlock()
	r.cancel()
}

// start runs a step that this VM owns.
func (m *Manager) start(rec record, items []Item, listed []Result, texts map[string]savedText) {
	r := m.startRun(rec, items, listed, texts, nil)
	if r == nil {
		return
	}
	r.accept(rec)
	m.owned(rec, len(listed))
}

// owned tells that this VM owns a step of which some results are listed already.
func (m *Manager) owned(r record, listed int) {
	m.Events.Emit(event.StepOwned, event.Subject{Step: r.ID, Account: r.Account, Epoch: uint64(r.Epoch), Count: int64(listed)})
}

// startRun starts a step's items; its results are listed once the run is accepted.
// early is set while that is open. It returns nil when the step runs already, or is known
// to be another VM's.
func (m *Manager) startRun(rec record, items []Item, listed []Result, texts map[string]savedText, early *earlyRun) *run {
	m.mu.Lock()
	known, ok := m.known[rec.ID]
	overtaken := ok && known.version > rec.version
	if overtaken || m.runs[rec.ID] != nil || m.leaving || m.over || rec.Ended {
		m.mu.Unlock()
		return nil
	}
	r := newRun(m, rec, items, listed)
	r.early = early
	r.resume(m.carried.of(rec.Account, items))
	r.resume(texts)
	m.runs[rec.ID] = r
	m.loops.Go(r.commitLoop)
	m.loops.Go(r.saveLoop)
	m.mu.Unlock()
	m.poke()
	return r
}

// Poke makes the dispatcher look at once: engines or their versions have changed.
func (m *Manager) Poke() { m.poke() }

// poke makes the dispatcher look at once.
func (m *Manager) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
