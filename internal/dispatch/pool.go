package dispatch

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/upstream"
)

// poolQueue holds the queued and running requests of one pool.
type poolQueue struct {
	scheduler *Scheduler
	name      Pool

	mu          sync.Mutex
	queue       *fairQueue
	inFlight    map[string]int
	completions completionMeter
	assignment  assignment
	// lastUsed is the time of the latest request.
	lastUsed time.Time
}

// queueLimit is the largest number of queued requests of one pool.
const queueLimit = 4096

func newPoolQueue(s *Scheduler, name Pool) *poolQueue {
	return &poolQueue{scheduler: s, name: name, queue: newFairQueue(queueLimit), inFlight: make(map[string]int)}
}

// enqueue queues a request. Its outcome is sent to req.ready, at once if it is
// shed.
func (p *poolQueue) enqueue(req *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.lastUsed = now
	for _, victim := range p.queue.add(req) {
		p.scheduler.metrics.shed.WithLabelValues(string(victim.work.Account)).Inc()
		victim.ready <- outcome{err: errors.WithStack(&fault.QueueFull{
			Account: string(victim.work.Account),
			Wait:    p.retryAfter(victim.work),
		})}
	}
	p.grantAll(now)
}

// cancel removes a request and reports whether it was still queued, and the retry-after time.
func (p *poolQueue) cancel(req *request) (wait time.Duration, queued bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait = p.retryAfter(req.work)
	return wait, p.queue.cancel(req)
}

// retryAfter returns the time after which a rejected caller of an account should retry.
func (p *poolQueue) retryAfter(w Work) time.Duration {
	share, totalShare, queued := max(1, w.Contract.Share), 0, 0
	for _, f := range p.queue.flows {
		if f.queued() == 0 {
			continue
		}
		totalShare += f.share
		if f.account == w.Account {
			queued = f.queued()
		}
	}
	return p.completions.retryAfter(queued, float64(share)/float64(max(share, totalShare)), time.Now())
}

func (p *poolQueue) grantQueued() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantAll(time.Now())
}

// tick fails queued work that no listed upstream can run any more, and grants
// what has become possible.
func (p *poolQueue) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failUnservable()
	p.grantAll(time.Now())
	p.scheduler.metrics.updatePool(p)
}

func (p *poolQueue) failUnservable() {
	servable := make(map[eligibility]bool)
	for _, f := range p.queue.flows {
		for _, req := range slices.Concat(f.interactive, f.background) {
			key := eligibilityOf(req.work)
			canRun, cached := servable[key]
			if !cached {
				canRun = p.scheduler.servable(req.work)
				servable[key] = canRun
			}
			if !canRun && p.queue.cancel(req) {
				req.ready <- outcome{err: noUpstream(req.work)}
			}
		}
	}
}

// eligibility groups the requests that can run on the same upstreams of a pool.
type eligibility struct {
	reclaimable bool
	excluded    string
}

func eligibilityOf(w Work) eligibility {
	return eligibility{
		reclaimable: w.Repeatable && w.Contract.Reclaimable.Percent > 0,
		excluded:    strings.Join(w.Exclude, " "),
	}
}

// grantAll grants slots until no queued request fits a free one.
func (p *poolQueue) grantAll(now time.Time) {
	if p.queue.total == 0 {
		return
	}
	candidates := p.candidates(now)
	for {
		chosen := -1
		req := p.queue.next(func(req *request) bool {
			chosen = p.place(candidates, req.work)
			return chosen >= 0
		})
		if req == nil {
			return
		}
		c := &candidates[chosen]
		c.free--
		c.load += 1 / float64(max(1, c.upstream.Slots))
		req.ready <- outcome{grant: p.grant(req, *c, now)}
	}
}

// place picks an upstream for work and counts the work for its account. It returns the
// index of the candidate, or -1 if the work can't start now.
func (p *poolQueue) place(candidates []candidate, w Work) int {
	account := p.scheduler.account(w.Account)
	mayUseReclaimable := account.allowsReclaimable(w)
	chosen := pick(candidates, w, func(c candidate) bool {
		return mayUse(c.upstream, w) && (mayUseReclaimable || !c.upstream.Reclaimable) && c.meetsMinVersion(w)
	})
	if chosen >= 0 && !account.tryAcquire(w, candidates[chosen].upstream.Reclaimable) {
		return -1
	}
	return chosen
}

// meetsMinVersion reports whether the engine's weights are new enough for the work.
// An engine whose weight load failed gets no work that requires newer weights until it
// reports them. Without a fresh report the engine is accepted: the receiver of the
// answer checks its versions.
func (c candidate) meetsMinVersion(w Work) bool {
	return c.version == 0 || c.version >= w.MinVersion
}

func (p *poolQueue) grant(req *request, c candidate, now time.Time) Grant {
	u := c.upstream
	p.inFlight[u.ID]++
	if c.probe {
		p.scheduler.config.Health.NoteProbe(u.ID)
	}
	p.scheduler.metrics.recordGrant(c)
	var done atomic.Bool
	return Grant{Upstream: u, Done: func(r Result) {
		if done.CompareAndSwap(false, true) {
			p.finish(req, c, r, now)
		}
	}}
}

// finish releases a slot and corrects the cost that its account was charged.
func (p *poolQueue) finish(req *request, c candidate, r Result, started time.Time) {
	now, u := time.Now(), c.upstream
	p.recordHealth(c, r, now.Sub(started), now)
	wasAtLimit := p.scheduler.account(req.work.Account).release(req.work, u.Reclaimable, r.Cost)
	p.mu.Lock()
	p.inFlight[u.ID]--
	if p.inFlight[u.ID] == 0 {
		delete(p.inFlight, u.ID)
	}
	p.queue.settle(req, r.Cost)
	p.completions.recordEnd(now)
	p.grantAll(now)
	p.mu.Unlock()
	if wasAtLimit {
		p.scheduler.grantInOtherPools(p)
	}
}

// recordHealth reports the result of an attempt to the upstream's health record. While the
// upstream is ejected only its probe counts: an earlier request may end during the probe, in
// another pool if the engine has moved.
func (p *poolQueue) recordHealth(c candidate, r Result, elapsed time.Duration, now time.Time) {
	health, u := p.scheduler.config.Health, c.upstream
	if !c.probe && health.State(u.ID, now) != upstream.Healthy {
		return
	}
	peers := p.upstreamIDs()
	switch {
	case r.Failed:
		health.NoteFailure(u.ID, peers, now)
	case r.Cost > 0:
		health.NoteSuccess(u.ID, peers, elapsed/time.Duration(r.Cost), now)
	default:
		health.CancelProbe(u.ID)
	}
}

// upstreamIDs returns the IDs of the pool's upstreams as last listed.
func (p *poolQueue) upstreamIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assignment.ids
}

// demand returns each account's demand for the pool. Only engines are shared by
// demand.
func (p *poolQueue) demand() []FlowDemand {
	if p.name.Kind != platformapi.KindEngine {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []FlowDemand
	for _, f := range p.queue.flows {
		if f.queued()+f.running == 0 {
			continue
		}
		list = append(list, FlowDemand{
			Pool:     p.name.hash(),
			Account:  hash32(string(f.account)),
			Share:    uint32(f.share),
			InFlight: uint32(f.running),
			Queued:   uint32(f.queued()),
		})
	}
	return list
}

// hash returns the hash that stands for the pool in digests.
func (p Pool) hash() uint32 { return hash32(string(p.Kind) + "/" + p.String()) }

// expectedLoad returns the expected requests per slot at an upstream: this VM's own,
// and the other reported ones weighted by the report's age.
func expectedLoad(u platformapi.Upstream, inFlight int, report upstream.Report, now time.Time) float64 {
	others := max(0, report.Running+report.Waiting-inFlight)
	return (float64(inFlight) + report.Confidence(now)*float64(others)) / float64(max(1, u.Slots))
}
