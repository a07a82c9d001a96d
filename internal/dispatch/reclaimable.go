package dispatch

// reclaimMeter holds an account's repeatable work on reclaimable upstreams
// under the contract's percentage, by cost in tokens. Work under way counts in
// full on reclaimable upstreams and not at all elsewhere: were estimates of
// unfinished work counted as work done, the share could be found exceeded once
// the true costs are known.
type reclaimMeter struct {
	// settled is the true cost of all repeatable work that has ended, reclaimed
	// the part of it that ran on reclaimable upstreams.
	settled   int64
	reclaimed int64
	// pending is the estimate of what runs on reclaimable upstreams now.
	pending int64
}

const wholePercent = 100

// allows reports whether work of a cost may go to a reclaimable upstream.
func (m *reclaimMeter) allows(percent int, cost int64) bool {
	if percent >= wholePercent {
		return true
	}
	return (m.reclaimed+m.pending+cost)*wholePercent <= int64(percent)*m.settled
}

func (m *reclaimMeter) begin(cost int64) { m.pending += cost }

// end notes the true cost of repeatable work.
func (m *reclaimMeter) end(reclaimable bool, estimate, cost int64) {
	m.settled += cost
	if reclaimable {
		m.pending -= estimate
		m.reclaimed += cost
	}
}
