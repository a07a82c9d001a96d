package weightload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

const (
	// settleTime is how long a new lease holder must see an engine running before its
	// first order there. An engine that answers new connections is assumed to have read by
	// then what waited on its other connections.
	settleTime = 500 * time.Millisecond
	// settleSlack is the time for the answers to the probes of an engine that runs all
	// along, so that it is settled at the end of the order grace period.
	settleSlack = 100 * time.Millisecond
	// settleWindow is the time from the first probes to the first orders of a term.
	settleWindow = settleTime + settleSlack
	// probeInterval is the interval between two probes of an engine. maxCountedGap is how
	// much of the time between two answers counts as running, at most.
	probeInterval = 80 * time.Millisecond
	maxCountedGap = 100 * time.Millisecond
	// maxOtherProbes is how many engines without a due load are probed at once.
	maxOtherProbes = 16
	// minDueProbes is how many engines with a due load may be probed at once, at least.
	minDueProbes = 16
	// heldBackReportAfter is how long loads on an engine are held back before an event
	// reports it.
	heldBackReportAfter = time.Second
)

// settling decides whether an engine has run for settleTime, from the times of its answers.
// What happened between two answers is not known: the engine may have stood still. So a
// stall counts as at most maxCountedGap of running. A slow engine settles too, since each
// answer counts. After a probe without an answer, a new settling must be started.
type settling struct {
	lastAnswer time.Time
	counted    time.Duration
}

// noteAnswer records that the engine answered a probe at now.
func (s *settling) noteAnswer(now time.Time) {
	if !s.lastAnswer.IsZero() {
		s.counted += min(now.Sub(s.lastAnswer), maxCountedGap)
	}
	s.lastAnswer = now
}

func (s *settling) settled() bool { return s.counted >= settleTime }

// settler probes the engines of a failure domain during one lease term, and knows which of
// them may get orders in this term. It is safe for concurrent use.
type settler struct {
	loader *Loader
	guard  lease.Guard

	mu sync.Mutex
	// settled holds the address at which an engine settled.
	settled map[*target.Entry]string
	probing map[*target.Entry]bool
	// dueProbed and othersProbed are how many engines are being probed since a load was due
	// there, and without one. Others must not delay a due load.
	dueProbed, othersProbed int
	// heldBack holds the engines on which a load was due before they were settled.
	heldBack map[*target.Entry]*heldBack
}

// heldBack says since when loads on an engine are held back.
type heldBack struct {
	// since is when the first load was due.
	since    time.Time
	reported bool
	// failure is the failure of the last probe without an answer.
	failure error
}

func newSettler(l *Loader, guard lease.Guard) *settler {
	return &settler{
		loader: l, guard: guard,
		settled: make(map[*target.Entry]string), probing: make(map[*target.Entry]bool), heldBack: make(map[*target.Entry]*heldBack),
	}
}

// allowsOrders reports whether the engine may get orders: it is settled, and no order of an
// earlier holder is pending there. The first covers orders that wait at an engine that stood
// still, the second also those that are held on their way.
func (s *settler) allowsOrders(e *target.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isSettledLocked(e) && !s.hasPendingOrder(e)
}

// hasPendingOrder reports whether an order of an earlier holder may still arrive at the engine.
func (s *settler) hasPendingOrder(e *target.Entry) bool {
	return !lease.MayActAt(s.guard, e.Info().ID, orderTimeout)
}

// isSettledLocked reports whether the engine settled at its present address. s.mu must be held.
func (s *settler) isSettledLocked(e *target.Entry) bool {
	address, ok := s.settled[e]
	return ok && address == e.Info().Address
}

// startDue starts to probe the engines of due loads, at most limit at once.
func (s *settler) startDue(ctx context.Context, due []PlannedLoad, limit int, probes *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, planned := range due {
		s.start(ctx, planned.Engine, &s.dueProbed, limit, probes)
	}
}

// startOthers starts to probe the engines that are not busy, so that a later load finds
// them settled.
func (s *settler) startOthers(ctx context.Context, engines []*target.Entry, busy map[*target.Entry]bool, probes *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range engines {
		if !busy[e] {
			s.start(ctx, e, &s.othersProbed, maxOtherProbes, probes)
		}
	}
}

// start starts to probe an engine, unless it is settled, its last probe or load failed a short
// time ago, or the count of engines being probed has reached limit. s.mu must be held.
func (s *settler) start(ctx context.Context, e *target.Entry, count *int, limit int, probes *sync.WaitGroup) {
	if s.isSettledLocked(e) || s.probing[e] || *count >= limit || s.loader.isSuspect(e) {
		return
	}
	s.probing[e] = true
	*count++
	probes.Go(func() {
		s.settle(ctx, e)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.probing, e)
		*count--
	})
}

// settle probes the engine until it is settled, a probe fails, its address changes or ctx ends.
func (s *settler) settle(ctx context.Context, e *target.Entry) {
	var answers settling
	address := e.Info().Address
	// The answer over a new connection shows that the engine has accepted all earlier
	// ones. After it, any answer shows that the engine runs.
	read := s.loader.probe
	for ctx.Err() == nil && !s.loader.Roster.Evacuated(s.loader.Domain) {
		startedAt := time.Now()
		if err := read(ctx, e); err != nil {
			if ctx.Err() == nil {
				s.loader.markSuspect(e)
				s.noteFailure(e, err)
			}
			return
		}
		read = s.loader.readReport
		if e.Info().Address != address {
			return
		}
		answers.noteAnswer(time.Now())
		if answers.settled() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.settled[e] = address
			delete(s.heldBack, e)
			return
		}
		wait.For(ctx, time.Until(startedAt.Add(probeInterval)))
	}
}

func (s *settler) noteFailure(e *target.Entry, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.heldBack[e]; held != nil {
		held.failure = err
	}
}

// noteHeldBack records that a load is due on an engine that is not settled, and reports it
// once if that takes long.
func (s *settler) noteHeldBack(planned PlannedLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.heldBack[planned.Engine]
	if held == nil {
		held = &heldBack{since: time.Now()}
		s.heldBack[planned.Engine] = held
	}
	age := time.Since(held.since)
	if held.reported || age < heldBackReportAfter {
		return
	}
	held.reported = true
	detail := fmt.Sprintf("%s: first load due %s ago", planned.Model, age.Round(time.Millisecond))
	if s.hasPendingOrder(planned.Engine) {
		detail += ": order of an earlier holder pending"
	}
	if held.failure != nil {
		detail += ": " + held.failure.Error()
	}
	s.loader.Events.Emit(event.OrderHeldBack, event.Subject{
		Upstream: planned.Engine.Info().ID, Epoch: s.guard.Epoch(), Count: planned.Version, Detail: detail,
	})
}
