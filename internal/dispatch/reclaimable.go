package dispatch

// reclaimableLimiter limits an account's repeatable work on reclaimable upstreams to
// the contract's percentage, by cost in tokens. Unfinished work counts in full on
// reclaimable upstreams and not at all elsewhere. If estimates of unfinished work
// counted as completed work, the limit could turn out to be exceeded once the
// actual costs are known.
type reclaimableLimiter struct {
	// completed is the actual cost of all repeatable work that has ended,
	// onReclaimable the part of it that ran on reclaimable upstreams.
	completed     int64
	onReclaimable int64
	// pending is the estimated cost of work running on reclaimable upstreams.
	pending int64
}

const fullPercent = 100

// allows reports whether work of a cost may run on a reclaimable upstream.
func (l *reclaimableLimiter) allows(percent int, cost int64) bool {
	if percent >= fullPercent {
		return true
	}
	return (l.onReclaimable+l.pending+cost)*fullPercent <= int64(percent)*l.completed
}

func (l *reclaimableLimiter) begin(cost int64) { l.pending += cost }

// end records the actual cost of repeatable work.
func (l *reclaimableLimiter) end(reclaimable bool, estimate, cost int64) {
	l.completed += cost
	if reclaimable {
		l.pending -= estimate
		l.onReclaimable += cost
	}
}
