package step

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/semaphore"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/eventstream"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
)

const (
	// watchTimeout is the timeout of one watch call on the state rows. It also limits how
	// long an unresponsive watch remains undetected, and how long the items of an ended
	// step continue to run.
	watchTimeout = time.Second
	// minWatchInterval is the minimum interval between two such calls in a small fleet.
	minWatchInterval = 20 * time.Millisecond
	// takeoverCheckInterval is the interval at which the manager looks for steps without a live
	// owner.
	takeoverCheckInterval = 200 * time.Millisecond
	// takeoverRankDelay is how much longer a VM waits before it takes over a step than the
	// VM that ranks just before it, which needs two calls to the store for a takeover.
	takeoverRankDelay = 600 * time.Millisecond
	// stepIOBackoff is the backoff between attempts to read a step that is taken over, and
	// between attempts to store the objects of large results.
	stepIOBackoff = 100 * time.Millisecond
)

// Members is the list of the VMs of the fleet.
type Members interface {
	// Ready reports whether the list has been read.
	Ready() bool
	// Alive reports whether an incarnation of a VM is alive.
	Alive(id, incarnation string) bool
	// DeathPeriod returns the time without a heartbeat after which a VM counts as dead.
	DeathPeriod() time.Duration
	// OutageEndedAt returns when this VM could read the list again after its last outage of at least
	// DeathPeriod; zero before the first one.
	OutageEndedAt() time.Time
	// Rank returns the position of this VM, from 0, when the live VMs are ranked for a duty.
	Rank(duty string) int
	// RankWithinResidency is Rank among the VMs of the failure domains that a residency allows.
	RankWithinResidency(duty string, residency route.Residency) int
}

// Process identifies one incarnation of a VM's process.
type Process struct{ VM, Incarnation string }

// Config holds the identity and the dependencies of a manager.
type Config struct {
	// VM and Incarnation identify this process. Domain is its failure domain.
	VM, Incarnation, Domain string
	Store                   rowstore.Store
	Clock                   rowstore.Clock
	Members                 Members
	View                    *route.View
	Roster                  *target.Roster
	Transport               target.Transport
	Engines                 suspicion.EngineReports
	Scorer                  Scorer
	Events                  *event.Recorder
	// PromptMetrics counts what the placement by prompts does; nil for none.
	PromptMetrics PromptMetrics
	// AnnouncedVersion returns the version of a model that its trainer announced last.
	AnnouncedVersion func(model string) (int64, bool)
	// PreferredOwner returns the process that should own the steps of a model; ok is false when
	// no live one is known in the failure domains that the residency allows.
	PreferredOwner func(model string, residency route.Residency) (p Process, ok bool)
	// StoreAvailable reports whether the store is available.
	StoreAvailable func() bool
	// ReadConfiguration brings View up to date from the store.
	ReadConfiguration func(ctx context.Context) error
	// TellPeers tells the other VMs of lost answers, for NoteLostAnswers there; nil for none.
	TellPeers func(ctx context.Context, suspicions []byte)
	// CallBudget limits the rate of the watch calls.
	CallBudget *budget.Budget
	// Retention is how long ended steps remain readable after their submission.
	Retention time.Duration
	// StepMemory bounds the memory of the items of all steps that this VM runs, in bytes. 0 sets no bound.
	StepMemory int64
	// StreamMemory bounds the memory of long events that attempts read; nil sets no bound but that of each of them.
	StreamMemory *eventstream.Memory
	// ReadMemory bounds the memory in which items are read from the store for callers, in bytes. 0 sets no bound.
	ReadMemory int64
}

// Manager accepts, owns, runs and reads steps. It is safe for concurrent use.
type Manager struct {
	Config
	// dispatchSignal notifies the dispatcher, without waiting for its next tick.
	dispatchSignal chan struct{}
	// callLimiter limits the score calls that are in progress at each service.
	callLimiter *scoring.CallLimiter
	// readMemory is the budget of ReadMemory bytes; nil without a bound.
	readMemory *semaphore.Weighted
	// takeoverSignal notifies the takeover loop, without waiting for its next tick.
	takeoverSignal chan struct{}
	// statesReadAt is when the state rows were last read, in Unix nanoseconds.
	statesReadAt atomic.Int64
	// statesRead is true once the rows of the first full read of the state table are observed. Until then no item
	// starts here: suspicions that began in earlier steps may count against it.
	statesRead atomic.Bool

	// suspicions holds the engines that may have ended under items, suspects the engines that run an
	// item under suspicion, and checks the checks of engines that may have ended.
	suspicions *suspicion.Ledger
	suspects   suspectEngines
	checks     *suspicion.Checks
	// configurationReads makes the reads of the configuration that decisions on steps wait for.
	configurationReads configurationReads
	// eventRates estimates how many events a text has.
	eventRates eventRates
	// prompts holds what is known of the prompts that the engines keep.
	prompts *promptKnowledge

	// mu guards the fields down to noNewRuns. The maps have the step's ID as key.
	mu sync.Mutex
	// states holds the newest known state of each step.
	states map[string]stateRecord
	// runs holds the steps that run on this VM; lastRunAt is when the last of them started.
	runs      map[string]*run
	lastRunAt time.Time
	// acceptedVersions holds, for each step, the version of the newest state row under which a run
	// of this process was accepted.
	acceptedVersions map[string]int64
	// endsRead holds when this VM has read the end of a step, and so all rows that were written before.
	endsRead map[string]time.Time
	// takingOver holds the steps that this VM is taking over. The value is false if it is releasing the step instead.
	takingOver map[string]bool
	// unownedSince is when this VM first found that a step has no live owner.
	unownedSince map[string]time.Time
	retained     *retainedTexts
	// leaving is true once this VM hands over its steps.
	leaving bool
	// noNewRuns is true once Run waits for the remaining runs to end.
	noNewRuns bool

	// tasks counts the goroutines of the runs and other work in the background.
	tasks sync.WaitGroup
	// ctx is the parent context of the runs. It is created with the manager rather than
	// by Run: a step may be accepted before Run starts, and its run must end with the
	// others.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewManager returns a manager. Call Run to start it.
func NewManager(c Config) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		Config:           c,
		dispatchSignal:   make(chan struct{}, 1),
		callLimiter:      scoring.NewCallLimiter(),
		suspicions:       suspicion.NewLedger(),
		prompts:          newPromptKnowledge(c.PromptMetrics),
		takeoverSignal:   make(chan struct{}, 1),
		states:           make(map[string]stateRecord),
		runs:             make(map[string]*run),
		acceptedVersions: make(map[string]int64),
		endsRead:         make(map[string]time.Time),
		takingOver:       make(map[string]bool),
		unownedSince:     make(map[string]time.Time),
		retained:         newRetainedTexts(),
		ctx:              ctx,
		cancel:           cancel,
	}
	if c.ReadMemory > 0 {
		m.readMemory = semaphore.NewWeighted(c.ReadMemory)
	}
	m.checks = &suspicion.Checks{
		Ledger: m.suspicions, Roster: c.Roster, Engines: c.Engines, Events: c.Events, Go: m.tasks.Go, OnChecked: m.notifyDispatcher,
	}
	return m
}

// Run watches the steps of the fleet and runs those that this VM owns, until ctx
// ends.
func (m *Manager) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, m.cancel)()
	// skipped holds the ended steps that the current full read leaves out. An expired step may have
	// been removed and submitted again.
	skipped := make(map[string]bool)
	watcher := rowstore.Watcher{
		Store: m.Store, Table: stateTable, AllParts: true, PollTimeout: watchTimeout, PollTimeoutFunc: m.stateWatchTimeout,
		MinPollInterval: m.stateWatchInterval,
		RetryBackoff:    func() time.Duration { return m.CallBudget.RetryBackoff(budget.Steps, minWatchInterval) },
		SkipPart: func(id string) bool {
			skipped[id] = m.isEndRead(id) && !m.mayBeRemoved(id)
			return skipped[id]
		},
		Replace: func(rows []rowstore.Row) {
			m.replace(rows, skipped)
			clear(skipped)
		},
		Apply:    func(rows []rowstore.Row) { m.apply(rows) },
		OnRead:   func() { m.statesReadAt.Store(time.Now().UnixNano()) },
		OnOutage: m.Events.OnDependencyLost("states of steps"), OnRecovery: m.Events.OnDependencyRegained("states of steps"),
	}
	var loops sync.WaitGroup
	loops.Go(func() { watcher.Run(ctx) })
	loops.Go(func() { m.takeoverLoop(ctx) })
	loops.Go(func() { m.dispatchLoop(ctx) })
	loops.Wait()
	// A step that is submitted from here on must not start a run, because tasks must not
	// grow while Run waits for it.
	m.mu.Lock()
	m.noNewRuns = true
	m.mu.Unlock()
	m.tasks.Wait()
}

// End ends a step. It has no effect on a step that has ended already.
func (m *Manager) End(ctx context.Context, id, account string) error {
	r, err := m.findState(ctx, id, account)
	for err == nil && !r.Ended {
		next := r.State
		next.Ended, next.Nonce = true, uuid.NewString()
		current, replaced, commitErr := m.replaceState(ctx, r, next)
		if commitErr != nil {
			return commitErr
		}
		if replaced {
			m.Events.Emit(event.StepEnded, event.Subject{Step: id, Account: account})
		}
		r = current
	}
	return err
}

// replaceState replaces the state r of a step by next. replaced is false when another
// writer has changed the state row since; current is then the state in the store.
func (m *Manager) replaceState(ctx context.Context, r stateRecord, next State) (current stateRecord, replaced bool, err error) {
	value, err := encodeRow(next)
	if err != nil {
		return r, false, err
	}
	version, err := rowstore.CommitConfirmed(ctx, m.Store, rowstore.Txn{
		Expected: []rowstore.Expectation{{Key: stateKey(r.ID), Version: r.version}},
		Puts:     []rowstore.Put{{Key: stateKey(r.ID), Value: value}},
	})
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		row := conflict.Row(stateKey(r.ID))
		if row.Version == 0 {
			return r, false, errors.WithStack(&fault.StepUnknown{Step: r.ID})
		}
		current, err = decodeState(row)
		if err == nil {
			m.observeState(current)
		}
		return current, false, err
	}
	if err != nil {
		return r, false, err
	}
	current = stateRecord{State: next, version: version}
	m.observeState(current)
	return current, true, nil
}

// findState returns a step's state, and reads it from the store when this VM does not know
// it. It fails with *fault.StepUnknown only when the store has no such step or the step
// belongs to another account.
func (m *Manager) findState(ctx context.Context, id, account string) (stateRecord, error) {
	r, ok := m.lookUp(id)
	if !ok {
		var err error
		if r, err = readState(ctx, m.Store, id); err != nil {
			return r, err
		}
		m.observeState(r)
	}
	if r.Account != account {
		return stateRecord{}, errors.WithStack(&fault.StepUnknown{Step: id})
	}
	return r, nil
}

func (m *Manager) lookUp(id string) (stateRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.states[id]
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

// replace applies the state rows of a full read, and removes the ended steps that the store
// no longer has. skipped contains the ended steps that the store has and the read left out.
// Items may start afterwards.
func (m *Manager) replace(rows []rowstore.Row, skipped map[string]bool) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Part] = present[row.Part] || !suspicion.IsRow(row)
	}
	m.apply(rows)
	m.statesRead.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, r := range m.states {
		if !present[id] && !skipped[id] && r.Ended {
			m.removeStateLocked(id)
		}
	}
}

// apply records changed state rows and notifies the takeover loop.
func (m *Manager) apply(rows []rowstore.Row) {
	m.observeSuspicions(rows)
	for _, row := range rows {
		if suspicion.IsRow(row) {
			continue
		}
		if row.Deleted {
			m.removeState(row.Part, row.Version)
			continue
		}
		r, err := decodeState(row)
		if err != nil {
			m.Events.Emit(event.RowUnreadable, event.Subject{Step: row.Part, Detail: err.Error()})
			continue
		}
		m.observeState(r)
		if r.Ended {
			m.noteEndRead(r.ID)
		}
	}
	select {
	case m.takeoverSignal <- struct{}{}:
	default:
	}
}

// noteEndRead records that the end of a step was read from the store.
func (m *Manager) noteEndRead(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.endsRead[id]; !known && m.states[id].Ended {
		m.endsRead[id] = time.Now()
	}
}

// lateRowsPeriod is how long after its end a step gets rows of suspicions, unless their writer was cut off. Their
// writer asks an engine for up to 7 s whether it goes on with a canceled attempt.
const lateRowsPeriod = 15 * time.Second

// isEndRead reports whether the end of a step was read from the store, and the table was followed long enough to
// know the rows that were written after it. A VM that ended the step itself may still lack rows of the step that
// other VMs wrote.
func (m *Manager) isEndRead(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	readAt, ok := m.endsRead[id]
	return ok && time.Unix(0, m.statesReadAt.Load()).Sub(readAt) >= lateRowsPeriod
}

// removeState removes a step whose state row was deleted in a version of the store, unless a newer
// state is known: the step was submitted again.
func (m *Manager) removeState(id string, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.states[id].version <= version {
		m.removeStateLocked(id)
	}
}

// removeStateLocked removes a step, with mu held.
func (m *Manager) removeStateLocked(id string) {
	delete(m.states, id)
	delete(m.acceptedVersions, id)
	delete(m.endsRead, id)
	m.suspicions.ForgetRows(id)
}

// recordState records a state unless the same or a newer version is known, and reports whether
// it did.
func (m *Manager) recordState(r stateRecord) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recordStateLocked(r)
}

// recordStateLocked is recordState with mu held.
func (m *Manager) recordStateLocked(r stateRecord) bool {
	known, ok := m.states[r.ID]
	if ok && known.version >= r.version {
		return false
	}
	r.ownerKnownSince = time.Now()
	if ok && known.Owner == r.Owner {
		r.ownerKnownSince = known.ownerKnownSince
	}
	if ok || m.statesRead.Load() {
		r.changeSeenAt = time.Now()
	}
	m.states[r.ID] = r
	delete(m.unownedSince, r.ID)
	return true
}

// observeState records a state. It stops the step's run on this VM if that was accepted under an
// older state. An early run that was not accepted may claim a step that has another owner now.
//
// The state is recorded and the run is chosen under one lock: a run that is accepted later is
// accepted under this state or a newer one.
func (m *Manager) observeState(r stateRecord) {
	m.mu.Lock()
	current := m.runs[r.ID]
	if !m.recordStateLocked(r) || current == nil {
		m.mu.Unlock()
		return
	}
	accepted := current.accepted()
	if accepted {
		m.removeRunLocked(current)
	}
	m.mu.Unlock()
	switch {
	case accepted:
		current.cancel()
	case current.early != nil && (r.Ended || !m.isOwner(r)):
		go current.early.claimOrStop(r)
	}
}

// isOwner reports whether this process is the owner of a step.
func (m *Manager) isOwner(r stateRecord) bool {
	return r.Owner == m.VM && r.OwnerIncarnation == m.Incarnation
}

// accept makes rec the state under which a run commits results; committed are the results of the
// previous owner that the run has not adopted yet. It refuses if the run was stopped or accepted
// before, if a newer state is known, or if another run was accepted under rec. Every run is accepted
// here.
func (m *Manager) accept(r *run, rec stateRecord, committed []Result) bool {
	m.mu.Lock()
	if m.runs[rec.ID] != r || r.ctx.Err() != nil || r.accepted() || m.states[rec.ID].version > rec.version || m.hadRunLocked(rec) {
		m.mu.Unlock()
		return false
	}
	m.acceptedVersions[rec.ID] = rec.version
	adopted := r.accept(rec, committed)
	m.mu.Unlock()
	if adopted != nil {
		r.emitAdopted(len(committed), adopted)
	}
	return true
}

// hadRun reports whether a run of this process was accepted under a state of a step, or under a
// newer one. A commit of that run may still take effect while the state row is unchanged, so the
// next run needs a new row.
func (m *Manager) hadRun(r stateRecord) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hadRunLocked(r)
}

// hadRunLocked is hadRun with mu held.
func (m *Manager) hadRunLocked(r stateRecord) bool {
	version, ok := m.acceptedVersions[r.ID]
	return ok && version >= r.version
}

// stop cancels a run and removes it.
func (m *Manager) stop(r *run) {
	m.mu.Lock()
	m.removeRunLocked(r)
	m.mu.Unlock()
	r.cancel()
}

// removeRunLocked removes a run, with mu held. The texts of its incomplete groups are retained
// for later steps.
func (m *Manager) removeRunLocked(r *run) {
	if m.runs[r.rec.ID] == r {
		delete(m.runs, r.rec.ID)
		m.retained.add(r.rec.Account, r.incompleteTexts(), time.Now())
	}
}

// start runs a step that this VM owns.
func (m *Manager) start(rec stateRecord, items []Item, committed []Result, texts map[string]savedText) {
	r := m.startRun(rec, items, committed, texts, nil)
	if r == nil {
		return
	}
	if !m.accept(r, rec, nil) {
		m.stop(r)
		return
	}
	m.emitOwned(rec, len(committed))
	r.unaccounted.AskSurvivors(r.ctx, m.checks, r.enginesOfOpenItems)
}

// emitOwned emits the event that this VM owns a step; committed is the number of results that
// are committed already.
func (m *Manager) emitOwned(r stateRecord, committed int) {
	m.Events.Emit(event.StepOwned, event.Subject{Step: r.ID, Account: r.Account, Epoch: uint64(r.Epoch), Count: int64(committed)})
}

// startRun starts a step's items. Their results are committed once the run is accepted;
// early is set if that is not yet decided. It returns nil when the step runs already or has
// ended, when a newer state of it is known, or when this VM is leaving or shutting down.
func (m *Manager) startRun(rec stateRecord, items []Item, committed []Result, texts map[string]savedText, early *earlyRun) *run {
	m.mu.Lock()
	known, ok := m.states[rec.ID]
	superseded := ok && known.version > rec.version
	if superseded || m.runs[rec.ID] != nil || m.leaving || m.noNewRuns || rec.Ended {
		m.mu.Unlock()
		return nil
	}
	r := newRun(m, rec, items, committed)
	r.early = early
	r.restoreTexts(m.retained.forItems(rec.Account, items))
	r.restoreTexts(texts)
	m.runs[rec.ID], m.lastRunAt = r, time.Now()
	m.tasks.Go(r.commitLoop)
	m.tasks.Go(r.saveSuspicionsLoop)
	m.tasks.Go(r.saveLoop)
	m.mu.Unlock()
	m.notifyDispatcher()
	return r
}

// recentRunPeriod is how long after its last run a VM still counts as one that runs steps. Its
// models' next steps usually come within seconds.
const recentRunPeriod = 30 * time.Second

// RunsSteps reports whether this VM runs steps or has run some within recentRunPeriod.
func (m *Manager) RunsSteps() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs) > 0 || !m.lastRunAt.IsZero() && time.Since(m.lastRunAt) < recentRunPeriod
}

// NotifyDispatcher notifies the dispatcher that engines or their versions have changed.
func (m *Manager) NotifyDispatcher() { m.notifyDispatcher() }

// notifyDispatcher notifies the dispatcher, without waiting for its next tick.
func (m *Manager) notifyDispatcher() {
	select {
	case m.dispatchSignal <- struct{}{}:
	default:
	}
}
