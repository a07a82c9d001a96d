package lease

import (
	"maps"
	"slices"
	"time"
)

// anyReceiver stands for the receiver of actions that are not tracked by receiver.
const anyReceiver = ""

// pendingActions tracks which receivers may still execute an action: one that is under way, or one
// that got no answer within the last wait. It is not safe for concurrent use.
type pendingActions struct {
	wait       time.Duration
	byReceiver map[string]*receiverActions
}

type receiverActions struct {
	// underWay is the number of actions that have begun and not ended.
	underWay int
	// until is when the last unanswered action no longer counts as pending.
	until time.Time
}

func newPendingActions(wait time.Duration) pendingActions {
	return pendingActions{wait: wait, byReceiver: make(map[string]*receiverActions)}
}

func (p *pendingActions) of(receiver string) *receiverActions {
	r := p.byReceiver[receiver]
	if r == nil {
		r = &receiverActions{}
		p.byReceiver[receiver] = r
	}
	return r
}

// begin records that an action is about to begin.
func (p *pendingActions) begin(receiver string) { p.of(receiver).underWay++ }

// end records that an action ended at now, and whether it may still take effect because it got
// no answer. It reports whether no action is pending at the receiver any more.
func (p *pendingActions) end(receiver string, now time.Time, mayTakeEffect bool) (settled bool) {
	p.of(receiver).underWay--
	if mayTakeEffect {
		p.extend(receiver, now.Add(p.wait))
	}
	if p.isPending(receiver, now) {
		return false
	}
	delete(p.byReceiver, receiver)
	return true
}

// extend records that an action is pending at the receiver until the given time at least.
func (p *pendingActions) extend(receiver string, until time.Time) {
	if r := p.of(receiver); until.After(r.until) {
		r.until = until
	}
}

// pendingUntil returns the time from which no action counts as pending at the receiver, as known
// at now.
func (p *pendingActions) pendingUntil(receiver string, now time.Time) time.Time {
	r := p.byReceiver[receiver]
	switch {
	case r == nil:
		return time.Time{}
	case r.underWay > 0:
		return now.Add(p.wait)
	}
	return r.until
}

func (p *pendingActions) isPending(receiver string, now time.Time) bool {
	return now.Before(p.pendingUntil(receiver, now))
}

// forget drops what is not pending any more.
func (p *pendingActions) forget(now time.Time) {
	maps.DeleteFunc(p.byReceiver, func(receiver string, _ *receiverActions) bool { return !p.isPending(receiver, now) })
}

// receivers returns the receivers at which an action is pending, without anyReceiver, in order.
func (p *pendingActions) receivers(now time.Time) []string {
	names := slices.Sorted(maps.Keys(p.byReceiver))
	return slices.DeleteFunc(names, func(name string) bool { return name == anyReceiver || !p.isPending(name, now) })
}
