package dispatch

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/upstream"
)

// poolQueue holds the waiting and running work of one pool.
type poolQueue struct {
	scheduler *Scheduler
	name      Pool

	mu       sync.Mutex
	queue    *fairQueue
	inFlight map[string]int
	drain    drainMeter
	division division
	// usedAt is when the latest request came.
	usedAt time.Time
}

// queueLimit is how many requests may wait for one pool.
const queueLimit = 4096

func newPoolQueue(s *Scheduler, name Pool) *poolQueue {
	return &poolQueue{scheduler: s, name: name, queue: newFairQueue(queueLimit), inFlight: make(map[string]int)}
}

// enter queues a ticket. Its outcome comes on the ticket's channel, at once if
// it is shed.
func (p *poolQueue) enter(t *ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.usedAt = now
	for _, victim := range p.queue.add(t) {
		p.scheduler.metrics.shed.WithLabelValues(string(victim.work.Account)).Inc()
		victim.ready <- outcome{err: errors.WithStack(&fault.QueueFull{
			Account: string(victim.work.Account),
			Wait:    p.retryAfter(victim.work),
		})}
	}
	p.grantAll(now)
}

// leave takes a ticket back and reports whether it was still waiting.
func (p *poolQueue) leave(t *ticket) (wait time.Duration, waiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait = p.retryAfter(t.work)
	return wait, p.queue.cancel(t)
}

// retryAfter tells when a refused caller of an account should come back.
func (p *poolQueue) retryAfter(w Work) time.Duration {
	own, sum, waiting := max(1, w.Contract.Share), 0, 0
	for _, f := range p.queue.flows {
		if f.waiting() == 0 {
			continue
		}
		sum += f.share
		if f.account == w.Account {
			waiting = f.waiting()
		}
	}
	return p.drain.retryAfter(waiting, float64(own)/float64(max(own, sum)), time.Now())
}

func (p *poolQueue) pump() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantAll(time.Now())
}

// tick ends the wait of work that no listed upstream can run any more, and
// grants what has become possible.
func (p *poolQueue) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endHopeless()
	p.grantAll(time.Now())
	p.scheduler.metrics.pool(p)
}

func (p *poolQueue) endHopeless() {
	hopeful := make(map[hopeClass]bool)
	for _, f := range p.queue.flows {
		for _, t := range slices.Concat(f.interactive, f.background) {
			class := classOf(t.work)
			known, judged := hopeful[class]
			if !judged {
				known = p.scheduler.known(t.work)
				hopeful[class] = known
			}
			if !known && p.queue.cancel(t) {
				t.ready <- outcome{err: noUpstream(t.work)}
			}
		}
	}
}

// hopeClass groups the tickets that the same upstreams of a pool can run.
type hopeClass struct {
	reclaimable bool
	excluded    string
}

func classOf(w Work) hopeClass {
	return hopeClass{
		reclaimable: w.Repeatable && w.Contract.Reclaimable.Percent > 0,
		excluded:    strings.Join(w.Exclude, " "),
	}
}

// grantAll grants places as long as a ticket fits one.
func (p *poolQueue) grantAll(now time.Time) {
	if p.queue.total == 0 {
		return
	}
	candidates := p.candidates(now)
	for {
		chosen := -1
		t := p.queue.next(func(t *ticket) bool {
			chosen = p.place(candidates, t.work)
			return chosen >= 0
		})
		if t == nil {
			return
		}
		c := &candidates[chosen]
		c.room--
		c.load += 1 / float64(max(1, c.upstream.Slots))
		t.ready <- outcome{grant: p.grant(t, *c, now)}
	}
}

// place picks an upstream for work and counts it for its account.
func (p *poolQueue) place(candidates []candidate, w Work) int {
	book := p.scheduler.account(w.Account)
	mayReclaim := book.allowsReclaimable(w)
	chosen := pick(candidates, w, func(c candidate) bool {
		return mayUse(c.upstream, w) && (mayReclaim || !c.upstream.Reclaimable) && c.freshEnough(w)
	})
	if chosen >= 0 && !book.begin(w, candidates[chosen].upstream.Reclaimable) {
		return -1
	}
	return chosen
}

// freshEnough reports whether the engine's weights will do for the work. One that
// failed its swap is so left out by the work that it would make stale, until it
// reports new weights. Without a fresh report it gets the benefit of the doubt,
// since whoever receives the answer checks its versions.
func (c candidate) freshEnough(w Work) bool {
	return c.version == 0 || c.version >= w.MinVersion
}

func (p *poolQueue) grant(t *ticket, c candidate, now time.Time) Grant {
	u := c.upstream
	p.inFlight[u.ID]++
	if c.probe {
		p.scheduler.config.Health.Probe(u.ID)
	}
	p.scheduler.metrics.granted(c)
	var done atomic.Bool
	return Grant{Upstream: u, Done: func(r Result) {
		if done.CompareAndSwap(false, true) {
			p.finish(t, u, r, now)
		}
	}}
}

// finish returns a place and corrects what its account was charged.
func (p *poolQueue) finish(t *ticket, u platform.Upstream, r Result, begun time.Time) {
	now := time.Now()
	p.judge(u, r, now.Sub(begun), now)
	wasFull := p.scheduler.account(t.work.Account).end(t.work, u.Reclaimable, r.Cost)
	p.mu.Lock()
	p.inFlight[u.ID]--
	if p.inFlight[u.ID] == 0 {
		delete(p.inFlight, u.ID)
	}
	p.queue.settle(t, r.Cost)
	p.drain.ended(now)
	p.grantAll(now)
	p.mu.Unlock()
	if wasFull {
		p.scheduler.wakeOthers(p)
	}
}

// judge tells the health book how the upstream did.
func (p *poolQueue) judge(u platform.Upstream, r Result, took time.Duration, now time.Time) {
	health := p.scheduler.config.Health
	peers := p.peers()
	switch {
	case r.Failed:
		health.Failed(u.ID, peers, now)
	case r.Cost > 0:
		health.Succeeded(u.ID, peers, took/time.Duration(r.Cost), now)
	default:
		health.Abandon(u.ID)
	}
}

// peers returns the names of the pool's upstreams as last listed.
func (p *poolQueue) peers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.division.ids
}

// demand returns what each account asks of the pool. Only engines are shared by
// demand.
func (p *poolQueue) demand() []FlowDemand {
	if p.name.Kind != platform.KindEngine {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []FlowDemand
	for _, f := range p.queue.flows {
		if f.waiting()+f.running == 0 {
			continue
		}
		list = append(list, FlowDemand{
			Pool:     p.name.hash(),
			Account:  hash32(string(f.account)),
			Share:    uint32(f.share),
			InFlight: uint32(f.running),
			Waiting:  uint32(f.waiting()),
		})
	}
	return list
}

// hash shortens the pool's name for digests.
func (p Pool) hash() uint32 { return hash32(string(p.Kind) + "/" + p.String()) }

// expectedLoad returns the requests for each slot that the VM expects at an
// upstream: its own, and of the reported others what the report's age leaves.
func expectedLoad(u platform.Upstream, own int, report upstream.Report, now time.Time) float64 {
	others := max(0, report.Running+report.Waiting-own)
	return (float64(own) + report.Weight(now)*float64(others)) / float64(max(1, u.Slots))
}
