// Package rollout runs steps: an owner, in charge under a lease, generates the
// samples of a step's slots on many VMs and commits them; any VM delivers the
// committed samples to the trainer.
package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/usage"
)

// Guard is asked directly before each write of an owner.
type Guard interface {
	// Check fails with *fault.LeaseLost when the lease is not held any more.
	Check() error
	// Epoch returns the fencing number.
	Epoch() uint64
}

// Leases lets one VM at a time be in charge of a step.
type Leases interface {
	// Campaign tries to take the named lease until ctx ends, and calls held
	// while it holds it, with a context that ends when the lease is lost. It
	// returns when ctx ends or held reports that the work is done.
	Campaign(ctx context.Context, name string, held func(ctx context.Context, g Guard) (done bool, err error)) error
}

// UsageRecorder counts what an account used.
type UsageRecorder interface {
	Add(account contract.Account, figures usage.Figures)
}

// Config holds what a Manager is built from.
type Config struct {
	// VM names this VM.
	VM         string
	Tables     platform.Tables
	Leases     Leases
	Workers    Workers
	Versions   Versions
	Scorer     Scorer
	Usage      UsageRecorder
	View       *contract.View
	Events     *event.Recorder
	Registerer prometheus.Registerer
	// Period returns the period of the search for open steps.
	Period func() time.Duration
	// WithoutHedging runs each slot once only; it is the baseline in
	// measurements.
	WithoutHedging bool
}

// Manager opens, owns and delivers steps on one VM.
type Manager struct {
	vm      string
	store   store
	leases  Leases
	workers Workers
	judge   judge
	scorer  Scorer
	usage   UsageRecorder
	events  *event.Recorder
	metrics *metrics
	period  func() time.Duration

	withoutHedging bool

	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	closed    bool
	campaigns map[ref]campaign
	running   sync.WaitGroup
}

// campaign is this VM's try to own a step.
type campaign struct {
	began  time.Time
	cancel context.CancelFunc
}

// NewManager returns a manager; Close ends its campaigns.
func NewManager(c Config) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		vm:             c.VM,
		store:          store{tables: c.Tables},
		leases:         c.Leases,
		workers:        c.Workers,
		judge:          judge{view: c.View, versions: c.Versions},
		scorer:         c.Scorer,
		usage:          c.Usage,
		events:         c.Events,
		metrics:        newMetrics(c.Registerer),
		period:         c.Period,
		withoutHedging: c.WithoutHedging,
		ctx:            ctx,
		cancel:         cancel,
		campaigns:      make(map[ref]campaign),
	}
}

// Close ends the campaigns, which frees their leases, and waits for them.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.running.Wait()
}

// Open opens a step. A repeat with the same definition returns the step's
// status; one with another fails with *fault.StepMismatch.
func (m *Manager) Open(ctx context.Context, account contract.Account, step string, definition sample.Definition) (sample.Status, error) {
	if err := definition.Check(); err != nil {
		return sample.Status{}, err
	}
	r := ref{account: account, step: step}
	err := m.store.open(ctx, r, definition)
	if fault.Is[*fault.PreconditionFailed](err) {
		return m.reopen(ctx, r, definition)
	}
	if err != nil {
		return sample.Status{}, err
	}
	m.events.Emit(event.StepOpened, event.Subject{Account: string(account), Step: step})
	m.begin(r)
	return status(r, sample.NewProgress(definition)), nil
}

func (m *Manager) reopen(ctx context.Context, r ref, definition sample.Definition) (sample.Status, error) {
	first, err := m.store.definition(ctx, r)
	if err != nil {
		return sample.Status{}, err
	}
	if !same(first, definition) {
		return sample.Status{}, errors.WithStack(&fault.StepMismatch{Step: r.step})
	}
	progress, _, err := m.store.progress(ctx, r)
	if err != nil {
		return sample.Status{}, err
	}
	return status(r, progress), nil
}

func status(r ref, p sample.Progress) sample.Status {
	return sample.Status{Step: r.step, Slots: p.Slots, Filled: p.Count(), Committed: p.Committed, Acked: p.Acked, Pull: p.Pull}
}

// Run looks for open steps once a period until ctx ends. A step whose owner
// died, or that was opened on a VM that died, is found here by other VMs.
func (m *Manager) Run(ctx context.Context) {
	for {
		// A failed search leaves the campaigns as they are.
		_ = m.search(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.period()):
		}
	}
}

func (m *Manager) search(ctx context.Context) error {
	began := time.Now()
	open, err := m.store.openSteps(ctx)
	if err != nil {
		return err
	}
	live := m.liveVMs()
	wanted := make(map[ref]bool, len(open))
	for _, r := range open {
		wanted[r] = true
		if isCandidate(r.path(), m.vm, live) {
			m.begin(r)
		}
	}
	m.endOthers(wanted, began)
	return nil
}

func (m *Manager) liveVMs() []string {
	workers := m.workers.Workers()
	live := make([]string, 0, len(workers))
	for _, w := range workers {
		live = append(live, w.VM)
	}
	return live
}

// endOthers ends the campaigns for steps that are not open any more. One that
// began after the search did may be for a step that the search has missed.
func (m *Manager) endOthers(wanted map[ref]bool, searched time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r, c := range m.campaigns {
		if !wanted[r] && c.began.Before(searched) {
			c.cancel()
		}
	}
}

// begin campaigns for a step unless this VM already does.
func (m *Manager) begin(r ref) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, running := m.campaigns[r]; running || m.closed {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.campaigns[r] = campaign{began: time.Now(), cancel: cancel}
	m.running.Go(func() {
		defer m.end(r)
		defer cancel()
		// The campaign's failure is told by the events of its lease; the next
		// search begins another if the step is still open.
		_ = m.leases.Campaign(ctx, r.leaseName(), func(ctx context.Context, g Guard) (bool, error) {
			return m.own(ctx, r, g)
		})
	})
}

func (m *Manager) end(r ref) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.campaigns, r)
}
