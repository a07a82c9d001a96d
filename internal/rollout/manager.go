// Package rollout runs steps. The owner of a step, which holds the step's
// lease, generates the samples of its slots on many VMs and commits them. Any
// VM delivers the committed samples to the trainer.
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
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/usage"
)

// Guard is the lease of an owner. The owner calls Check directly before each
// write.
type Guard interface {
	// Check fails with *fault.LeaseLost when the lease is no longer held.
	Check() error
	// Epoch returns the fencing token.
	Epoch() uint64
}

// Leases elects one owner of a step at a time.
type Leases interface {
	// Campaign tries to acquire the named lease until ctx ends, and calls held
	// while it holds the lease, with a context that ends when the lease is
	// lost. It returns when ctx ends or held reports that the work is done.
	Campaign(ctx context.Context, name string, held func(ctx context.Context, g Guard) (done bool, err error)) error
}

// UsageRecorder records the usage of accounts.
type UsageRecorder interface {
	Add(account contract.Account, counts usage.Counts)
}

// Config configures a Manager.
type Config struct {
	// VM is the ID of this VM.
	VM         string
	Tables     platformapi.Tables
	Leases     Leases
	Workers    Workers
	Versions   WeightVersions
	Scorer     Scorer
	Usage      UsageRecorder
	View       *contract.View
	Events     *event.Recorder
	Registerer prometheus.Registerer
	// SearchInterval returns the interval between two searches for open steps.
	SearchInterval func() time.Duration
	// WithoutHedging disables hedging. Measurements use it as their baseline.
	WithoutHedging bool
}

// Manager opens, owns and delivers steps on one VM.
type Manager struct {
	vm             string
	store          store
	leases         Leases
	workers        Workers
	policy         stalenessPolicy
	scorer         Scorer
	usage          UsageRecorder
	events         *event.Recorder
	metrics        *metrics
	searchInterval func() time.Duration

	withoutHedging bool

	ctx    context.Context
	cancel context.CancelFunc

	mu            sync.Mutex
	closed        bool
	campaigns     map[stepRef]campaign
	campaignGroup sync.WaitGroup
	// unconfirmed are the writes with an unknown outcome whose owners have stopped.
	unconfirmed []batchWrite
	// settling holds a token while these writes are being settled.
	settling chan struct{}
}

// campaign is a campaign of this VM to own a step.
type campaign struct {
	began  time.Time
	cancel context.CancelFunc
}

// NewManager returns a Manager. Close ends its campaigns.
func NewManager(c Config) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		vm:             c.VM,
		store:          store{tables: c.Tables},
		leases:         c.Leases,
		workers:        c.Workers,
		policy:         stalenessPolicy{view: c.View, versions: c.Versions},
		scorer:         c.Scorer,
		usage:          c.Usage,
		events:         c.Events,
		metrics:        newMetrics(c.Registerer),
		searchInterval: c.SearchInterval,
		withoutHedging: c.WithoutHedging,
		ctx:            ctx,
		cancel:         cancel,
		campaigns:      make(map[stepRef]campaign),
		settling:       make(chan struct{}, 1),
	}
}

// Close cancels the campaigns, which releases their leases, and waits for them
// to end. Usage of samples whose commit is still unconfirmed after settleTimeout is
// not billed.
func (m *Manager) Close() {
	deadline := time.Now().Add(settleTimeout)
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.campaignGroup.Wait()
	m.settleBeforeClose(deadline)
}

// Open opens a step. If the step is open already, it returns the step's status
// when the definition is the same, and fails with *fault.StepMismatch when it
// differs.
func (m *Manager) Open(ctx context.Context, account contract.Account, step string, definition sample.Definition) (sample.Status, error) {
	if err := definition.Check(); err != nil {
		return sample.Status{}, err
	}
	r := stepRef{account: account, step: step}
	err := m.store.open(ctx, r, definition)
	if fault.Is[*fault.PreconditionFailed](err) {
		return m.existingStatus(ctx, r, definition)
	}
	if err != nil {
		return sample.Status{}, err
	}
	m.events.Emit(event.StepOpened, event.Subject{Account: string(account), Step: step})
	m.startCampaign(r)
	return status(r, sample.NewProgress(definition)), nil
}

func (m *Manager) existingStatus(ctx context.Context, r stepRef, definition sample.Definition) (sample.Status, error) {
	existing, err := m.store.definition(ctx, r)
	if err != nil {
		return sample.Status{}, err
	}
	if !sameDefinition(existing, definition) {
		return sample.Status{}, errors.WithStack(&fault.StepMismatch{Step: r.step})
	}
	progress, _, err := m.store.progress(ctx, r)
	if err != nil {
		return sample.Status{}, err
	}
	return status(r, progress), nil
}

func status(r stepRef, p sample.Progress) sample.Status {
	return sample.Status{Step: r.step, Slots: p.Slots, Filled: p.Count(), Committed: p.Committed, Acked: p.Acked, Pull: p.Pull}
}

// Run searches for open steps periodically until ctx ends. Other VMs find a
// step whose owner died, or that was opened on a VM that died, by this search.
func (m *Manager) Run(ctx context.Context) {
	for {
		// A failed search leaves the campaigns as they are.
		_ = m.syncCampaigns(ctx)
		m.settleAbandoned(m.ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.searchInterval()):
		}
	}
}

func (m *Manager) syncCampaigns(ctx context.Context) error {
	began := time.Now()
	open, err := m.store.openSteps(ctx)
	if err != nil {
		return err
	}
	live := m.liveVMs()
	isOpen := make(map[stepRef]bool, len(open))
	for _, r := range open {
		isOpen[r] = true
		if isCandidate(r.path(), m.vm, live) {
			m.startCampaign(r)
		}
	}
	m.cancelObsolete(isOpen, began)
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

// cancelObsolete cancels the campaigns for steps that are no longer open.
// Campaigns that began after the start of the search continue, since the search
// may have missed their steps.
func (m *Manager) cancelObsolete(isOpen map[stepRef]bool, searchBegan time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r, c := range m.campaigns {
		if !isOpen[r] && c.began.Before(searchBegan) {
			c.cancel()
		}
	}
}

// startCampaign starts a campaign for a step unless this VM already has one.
func (m *Manager) startCampaign(r stepRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, running := m.campaigns[r]; running || m.closed {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.campaigns[r] = campaign{began: time.Now(), cancel: cancel}
	m.campaignGroup.Go(func() {
		defer m.endCampaign(r)
		defer cancel()
		// The lease's events report a failure of the campaign. The next search
		// starts another one if the step is still open.
		_ = m.leases.Campaign(ctx, r.leaseName(), func(ctx context.Context, g Guard) (bool, error) {
			return m.runOwner(ctx, r, g)
		})
	})
}

func (m *Manager) endCampaign(r stepRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.campaigns, r)
}
