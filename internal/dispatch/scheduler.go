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
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/upstream"
)

// Config holds what a Scheduler is built from.
type Config struct {
	VM            string
	FailureDomain string
	Directory     *upstream.Directory
	Loads         *upstream.Loads
	Health        *upstream.Health
	// Members returns the live VMs with their demands, this one included. Nil
	// leaves the engines unshared: the VM then fills all slots itself.
	Members func() []Member
	Events  *event.Recorder
	// Registerer takes the metrics.
	Registerer prometheus.Registerer
}

// Scheduler is the fair Dispatcher of a VM. Each pool has a queue and a lock
// of its own, so that requests for different pools never wait for each other.
type Scheduler struct {
	config  Config
	metrics *metrics
	// seen is used by Run only.
	seen listReview

	mu       sync.RWMutex
	pools    map[Pool]*poolQueue
	accounts map[contract.Account]*accountBook
}

// tickPeriod is how long a change of the lists, reports or parts may go unseen.
const tickPeriod = 100 * time.Millisecond

// NewScheduler returns a scheduler without any work. Run must run for it to
// notice changes while no request comes or ends.
func NewScheduler(config Config) *Scheduler {
	return &Scheduler{
		config:   config,
		metrics:  newMetrics(config.Registerer),
		pools:    make(map[Pool]*poolQueue),
		accounts: make(map[contract.Account]*accountBook),
	}
}

// Run lets waiting work see changes of the lists, until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
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
	s.seen.review(s.config)
	s.metrics.ejected.Set(float64(s.config.Health.Out()))
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
	if !s.known(work) {
		return Grant{}, noUpstream(work)
	}
	p := s.pool(work.Pool)
	t := &ticket{work: work, ready: make(chan outcome, 1)}
	p.enter(t)
	select {
	case o := <-t.ready:
		return o.grant, o.err
	case <-ctx.Done():
		return s.giveUp(ctx, p, t)
	}
}

// giveUp takes a ticket back whose context ended. A grant that came at the same
// time is returned unused: nobody would ever call its Done, and its place would
// be lost for good.
func (s *Scheduler) giveUp(ctx context.Context, p *poolQueue, t *ticket) (Grant, error) {
	wait, waiting := p.leave(t)
	if !waiting {
		if o := <-t.ready; o.grant.Done != nil {
			o.grant.Done(Result{})
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Grant{}, errors.WithStack(&fault.DeadlineExceeded{Wait: wait})
	}
	return Grant{}, errors.WithStack(&fault.CallerGone{})
}

// known reports whether any listed upstream could run the work. Names of pools
// come from callers; only listed ones get a queue, so that callers can't make
// the state grow.
func (s *Scheduler) known(work Work) bool {
	return slices.ContainsFunc(s.config.Directory.Load(), func(u platform.Upstream) bool {
		return serves(u, work.Pool) && mayUse(u, work)
	})
}

func noUpstream(work Work) error {
	return errors.WithStack(&fault.NoUpstream{Pool: work.Pool.String(), Wait: defaultWait})
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

func (s *Scheduler) account(name contract.Account) *accountBook {
	s.mu.RLock()
	b, ok := s.accounts[name]
	s.mu.RUnlock()
	if ok {
		return b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok = s.accounts[name]; !ok {
		b = &accountBook{}
		s.accounts[name] = b
	}
	return b
}

// wakeOthers lets the pools look again after an account left its limit.
func (s *Scheduler) wakeOthers(but *poolQueue) {
	for _, p := range s.allPools() {
		if p != but {
			p.pump()
		}
	}
}

// Demand returns the demands of this VM, the greatest first, for its digest.
func (s *Scheduler) Demand() []FlowDemand {
	var list []FlowDemand
	for _, p := range s.allPools() {
		list = append(list, p.demand()...)
	}
	slices.SortStableFunc(list, func(a, b FlowDemand) int { return b.slots() - a.slots() })
	return list
}

// Unreachable returns the short names of the watched engines that did not answer
// the last asks for their load, for this VM's digest.
func (s *Scheduler) Unreachable() []uint32 {
	var list []uint32
	for _, u := range s.Watched() {
		if report, ok := s.config.Loads.Get(u.ID); ok && report.Misses >= missesUntilUnreachable {
			list = append(list, engineID(u.ID))
		}
	}
	return list
}

// Watched returns the engines whose load reports this VM needs.
func (s *Scheduler) Watched() []platform.Upstream {
	var list []platform.Upstream
	for _, p := range s.allPools() {
		list = append(list, p.watched()...)
	}
	return list
}
