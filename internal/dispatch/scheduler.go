package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/upstream"
)

// Config configures a Scheduler.
type Config struct {
	VM            string
	FailureDomain string
	Directory     *upstream.Directory
	Loads         *upstream.Loads
	Health        *upstream.Health
	// Members returns the live VMs with their demands, this one included. If nil,
	// the engines are not shared and the VM may fill all slots itself.
	Members func() []Member
	Events  *event.Recorder
	// Registerer registers the metrics if it is not nil.
	Registerer prometheus.Registerer
}

// Scheduler is the fair Dispatcher of a VM. Each pool has its own queue and lock,
// so requests for different pools never wait for each other.
type Scheduler struct {
	config  Config
	metrics *metrics
	// tracker is used by Run only.
	tracker upstreamTracker

	mu       sync.RWMutex
	pools    map[Pool]*poolQueue
	accounts map[contract.Account]*accountState
}

// tickInterval is the longest delay until a change of lists, reports or quotas is noticed.
const tickInterval = 100 * time.Millisecond

// NewScheduler returns a scheduler without any work. Run must be running for it to
// notice changes while no request starts or ends.
func NewScheduler(config Config) *Scheduler {
	return &Scheduler{
		config:   config,
		metrics:  newMetrics(config.Registerer),
		pools:    make(map[Pool]*poolQueue),
		accounts: make(map[contract.Account]*accountState),
	}
}

// Run applies changes of the lists to queued work until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick()
		}
	}
}

func (s *Scheduler) tick() {
	s.tracker.update(s.config)
	s.metrics.ejected.Set(float64(s.config.Health.EjectedCount()))
	for _, p := range s.allPools() {
		p.tick()
	}
}

func (s *Scheduler) allPools() []*poolQueue {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]*poolQueue, 0, len(s.pools))
	for _, p := range s.pools {
		list = append(list, p)
	}
	return list
}

// Acquire implements Dispatcher.
func (s *Scheduler) Acquire(ctx context.Context, work Work) (Grant, error) {
	if !s.servable(work) {
		return Grant{}, noUpstream(work)
	}
	p := s.pool(work.Pool)
	req := &request{work: work, ready: make(chan outcome, 1)}
	p.enqueue(req)
	select {
	case o := <-req.ready:
		return o.grant, o.err
	case <-ctx.Done():
		return s.cancelAcquire(ctx, p, req)
	}
}

// cancelAcquire removes a request whose context ended. A grant that was made at the
// same time is returned unused: nobody would call its Done, and its slot would be
// lost permanently.
func (s *Scheduler) cancelAcquire(ctx context.Context, p *poolQueue, req *request) (Grant, error) {
	wait, queued := p.cancel(req)
	if !queued {
		if o := <-req.ready; o.grant.Done != nil {
			o.grant.Done(Result{})
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Grant{}, errors.WithStack(&fault.DeadlineExceeded{Wait: wait})
	}
	return Grant{}, errors.WithStack(&fault.CallerGone{})
}

// servable reports whether any listed upstream could run the work. Names of pools
// come from callers. Only listed pools get a queue, so that callers can't make the
// state grow.
func (s *Scheduler) servable(work Work) bool {
	return slices.ContainsFunc(s.config.Directory.Load(), func(u platformapi.Upstream) bool {
		return serves(u, work.Pool) && mayUse(u, work)
	})
}

func noUpstream(work Work) error {
	return errors.WithStack(&fault.NoUpstream{Pool: work.Pool.String(), Wait: defaultRetryAfter})
}

func (s *Scheduler) pool(name Pool) *poolQueue {
	s.mu.RLock()
	p, ok := s.pools[name]
	s.mu.RUnlock()
	if ok {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok = s.pools[name]; !ok {
		p = newPoolQueue(s, name)
		s.pools[name] = p
	}
	return p
}

func (s *Scheduler) account(name contract.Account) *accountState {
	s.mu.RLock()
	a, ok := s.accounts[name]
	s.mu.RUnlock()
	if ok {
		return a
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok = s.accounts[name]; !ok {
		a = &accountState{}
		s.accounts[name] = a
	}
	return a
}

// grantInOtherPools grants queued work in the other pools after an account dropped below
// its limit of running requests.
func (s *Scheduler) grantInOtherPools(except *poolQueue) {
	for _, p := range s.allPools() {
		if p != except {
			p.grantQueued()
		}
	}
}

// Demand returns the demands of this VM, largest first, for its digest.
func (s *Scheduler) Demand() []FlowDemand {
	var list []FlowDemand
	for _, p := range s.allPools() {
		list = append(list, p.demand()...)
	}
	slices.SortStableFunc(list, func(a, b FlowDemand) int { return b.slots() - a.slots() })
	return list
}

// Unreachable returns the hashed IDs of the polled engines that did not answer the
// last load polls, for this VM's digest.
func (s *Scheduler) Unreachable() []uint32 {
	var list []uint32
	for _, u := range s.PolledEngines() {
		if report, ok := s.config.Loads.Get(u.ID); ok && report.MissedPolls >= missesUntilUnreachable {
			list = append(list, engineHash(u.ID))
		}
	}
	return list
}

// PolledEngines returns the engines whose load this VM must poll.
func (s *Scheduler) PolledEngines() []platformapi.Upstream {
	var list []platformapi.Upstream
	for _, p := range s.allPools() {
		list = append(list, p.polled()...)
	}
	return list
}
