package dispatch

import (
	"cmp"
	"slices"

	"dogwoodpond/internal/contract"
)

// ticket is one request that waits in a fair queue.
type ticket struct {
	work Work
	// arrival orders the tickets of a queue.
	arrival uint64
	// charged is what the account was charged at the grant, in tokens.
	charged float64
	// ready gets the outcome once; it has room for it, so that the sender never
	// waits.
	ready chan outcome
}

// outcome ends a ticket's wait: with a grant, or with a failure.
type outcome struct {
	grant Grant
	err   error
}

// flow is the queue of one client account. Its tag is the virtual time at
// which its next ticket starts: it rises by cost over share with each grant, so
// that the account with the lowest tag is the one furthest below its share.
type flow struct {
	account contract.Account
	share   int
	// start is the start tag in tokens per unit of share.
	start       float64
	interactive []*ticket
	background  []*ticket
	// running counts grants that are not done; their estimates may still be
	// corrected.
	running int
	// estimated and spent are the estimates and the true costs of the work that
	// ended lately, in tokens; older work counts less and less.
	estimated float64
	spent     float64
}

const (
	// ratioMemory is the part of the past that one more ended request leaves.
	ratioMemory = 0.95
	// ratioSamples estimates are needed before the ratio is believed in full.
	ratioSamples = 5
)

// expect returns the tokens that work will likely cost: its estimate, which is
// the bound of its answer, times the part of such bounds that the account's
// answers used lately. Charging the bound itself would push an account back by
// tokens that it mostly doesn't get, and let others jump ahead until its
// requests end.
func (f *flow) expect(estimate int64) float64 {
	prior := ratioSamples * float64(max(1, estimate))
	ratio := (f.spent + prior) / (f.estimated + prior)
	return max(1, float64(estimate)*ratio)
}

func (f *flow) learn(estimate, cost int64) {
	f.estimated = f.estimated*ratioMemory + float64(estimate)
	f.spent = f.spent*ratioMemory + float64(cost)
}

func (f *flow) waiting() int { return len(f.interactive) + len(f.background) }

// queuedCost returns the tokens that the waiting tickets ask for.
func (f *flow) queuedCost() int64 {
	var sum int64
	for _, t := range f.interactive {
		sum += t.work.Cost
	}
	for _, t := range f.background {
		sum += t.work.Cost
	}
	return sum
}

// remove takes a ticket out and reports whether it was there.
func (f *flow) remove(t *ticket) bool {
	for _, line := range []*[]*ticket{&f.interactive, &f.background} {
		if i := slices.Index(*line, t); i >= 0 {
			*line = slices.Delete(*line, i, i+1)
			return true
		}
	}
	return false
}

// newest returns the ticket to give up first: the latest background one, or else
// the latest interactive one.
func (f *flow) newest() *ticket {
	if n := len(f.background); n > 0 {
		return f.background[n-1]
	}
	if n := len(f.interactive); n > 0 {
		return f.interactive[n-1]
	}
	return nil
}

// fairQueue is a start-time fair queue over client accounts. It only decides:
// it reads no clock, takes no lock and does no I/O.
type fairQueue struct {
	flows map[contract.Account]*flow
	// virtual is the start tag of the latest grant; it never decreases.
	virtual float64
	total   int
	limit   int
	arrival uint64
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{flows: make(map[contract.Account]*flow), limit: limit}
}

// scanDepth bounds how many tickets of a flow are tried for one place; tickets
// differ in which upstreams they may use.
const scanDepth = 16

// add queues a ticket and returns the tickets that are shed for it, possibly
// the ticket itself.
//
// An account at its own limit loses its latest background ticket to an
// interactive one, and refuses anything else. When the whole queue is full the
// account with the most queued tokens for its share loses its latest ticket:
// were the newcomer refused instead, one flooding account would lock all
// others out, which they would notice as refusals while another is served.
func (q *fairQueue) add(t *ticket) (shed []*ticket) {
	f := q.flowOf(t.work)
	if f.waiting() >= max(1, t.work.Contract.Limits.Queue) {
		victim := f.newest()
		if t.work.Background || !victim.work.Background {
			q.forget(f)
			return []*ticket{t}
		}
		q.drop(f, victim)
		shed = append(shed, victim)
	}
	q.push(f, t)
	if q.total > q.limit {
		worst := q.furthestAbove()
		victim := worst.newest()
		q.drop(worst, victim)
		shed = append(shed, victim)
	}
	return shed
}

func (q *fairQueue) flowOf(w Work) *flow {
	f, ok := q.flows[w.Account]
	if !ok {
		f = &flow{account: w.Account}
		q.flows[w.Account] = f
	}
	f.share = max(1, w.Contract.Share)
	return f
}

func (q *fairQueue) push(f *flow, t *ticket) {
	if f.waiting() == 0 {
		// An account that had nothing to run gets no credit for that time.
		f.start = max(f.start, q.virtual)
	}
	q.arrival++
	t.arrival = q.arrival
	if t.work.Background {
		f.background = append(f.background, t)
	} else {
		f.interactive = append(f.interactive, t)
	}
	q.total++
}

// furthestAbove returns the flow with the most queued tokens for its share.
func (q *fairQueue) furthestAbove() *flow {
	var worst *flow
	var most float64
	for _, f := range q.flows {
		if f.waiting() == 0 {
			continue
		}
		above := float64(f.queuedCost()) / float64(f.share)
		if worst == nil || above > most || (above == most && f.account > worst.account) {
			worst, most = f, above
		}
	}
	return worst
}

// cancel takes a waiting ticket out and reports whether it still waited.
func (q *fairQueue) cancel(t *ticket) bool {
	f, ok := q.flows[t.work.Account]
	if !ok {
		return false
	}
	return q.drop(f, t)
}

func (q *fairQueue) drop(f *flow, t *ticket) bool {
	if !f.remove(t) {
		return false
	}
	q.total--
	q.forget(f)
	return true
}

// forget drops a flow whose state says nothing that a new one would not.
func (q *fairQueue) forget(f *flow) {
	if f.waiting() == 0 && f.running == 0 && f.start <= q.virtual {
		delete(q.flows, f.account)
	}
}

// next takes out the ticket that runs next among those that place accepts, and
// charges its account with the estimate. It returns nil when place accepts
// none. Interactive tickets of an account go before its background ones.
func (q *fairQueue) next(place func(*ticket) bool) *ticket {
	for _, f := range q.backlogged() {
		for _, line := range [][]*ticket{f.interactive, f.background} {
			for _, t := range line[:min(scanDepth, len(line))] {
				if place(t) {
					q.charge(f, t)
					return t
				}
			}
		}
	}
	return nil
}

// backlogged returns the flows with waiting tickets, lowest start tag first.
func (q *fairQueue) backlogged() []*flow {
	var list []*flow
	for _, f := range q.flows {
		if f.waiting() > 0 {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b *flow) int {
		if c := cmp.Compare(a.start, b.start); c != 0 {
			return c
		}
		return cmp.Compare(a.account, b.account)
	})
	return list
}

func (q *fairQueue) charge(f *flow, t *ticket) {
	f.remove(t)
	q.total--
	f.running++
	q.virtual = max(q.virtual, f.start)
	t.charged = f.expect(t.work.Cost)
	f.start += t.charged / float64(f.share)
}

// settle replaces what a grant was charged by its true cost in tokens.
func (q *fairQueue) settle(t *ticket, cost int64) {
	f, ok := q.flows[t.work.Account]
	if !ok {
		return
	}
	f.running--
	f.learn(t.work.Cost, cost)
	f.start += (float64(cost) - t.charged) / float64(f.share)
	q.forget(f)
}
