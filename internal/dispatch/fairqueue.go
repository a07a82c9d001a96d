package dispatch

import (
	"cmp"
	"slices"

	"dogwoodpond/internal/contract"
)

// request is one request in a fair queue.
type request struct {
	work Work
	// arrival orders the requests of a queue.
	arrival uint64
	// charged is the number of tokens that the account was charged at the grant.
	charged float64
	// ready receives the outcome once. Its buffer of one keeps the sender from
	// blocking.
	ready chan outcome
}

// outcome ends a request's wait, with a grant or an error.
type outcome struct {
	grant Grant
	err   error
}

// flow is the queue of one client account. Its start tag is the virtual time at
// which its next request starts. It rises by cost over share with each grant, so
// the account with the lowest tag is the one furthest below its share.
type flow struct {
	account contract.Account
	share   int
	// start is the start tag in tokens per unit of share.
	start       float64
	interactive []*request
	background  []*request
	// running counts grants that have not ended; their estimated costs may still be
	// corrected.
	running int
	// estimated and spent are the estimated and actual costs of ended work in
	// tokens, decayed with each request that ends.
	estimated float64
	spent     float64
}

const (
	// ratioDecay is the factor by which older costs decay with each ended request.
	ratioDecay = 0.95
	// ratioPriorSamples is the weight of the initial ratio of 1, as a number of requests.
	ratioPriorSamples = 5
)

// expectedCost returns the tokens that work will probably cost: its estimate, the
// upper bound of its answer, times the fraction of such bounds that the account's
// recent answers used. Charging the bound itself would raise the account's start tag
// for tokens that it mostly does not get, and let others overtake it until its
// requests end.
func (f *flow) expectedCost(estimate int64) float64 {
	prior := ratioPriorSamples * float64(max(1, estimate))
	ratio := (f.spent + prior) / (f.estimated + prior)
	return max(1, float64(estimate)*ratio)
}

func (f *flow) recordCost(estimate, cost int64) {
	f.estimated = f.estimated*ratioDecay + float64(estimate)
	f.spent = f.spent*ratioDecay + float64(cost)
}

func (f *flow) queued() int { return len(f.interactive) + len(f.background) }

// queuedCost returns the estimated tokens of the queued requests.
func (f *flow) queuedCost() int64 {
	var sum int64
	for _, req := range f.interactive {
		sum += req.work.Cost
	}
	for _, req := range f.background {
		sum += req.work.Cost
	}
	return sum
}

// remove deletes a request from the queue and reports whether it was queued.
func (f *flow) remove(req *request) bool {
	for _, queue := range []*[]*request{&f.interactive, &f.background} {
		if i := slices.Index(*queue, req); i >= 0 {
			*queue = slices.Delete(*queue, i, i+1)
			return true
		}
	}
	return false
}

// newest returns the request to shed first: the latest background one, or else
// the latest interactive one.
func (f *flow) newest() *request {
	if n := len(f.background); n > 0 {
		return f.background[n-1]
	}
	if n := len(f.interactive); n > 0 {
		return f.interactive[n-1]
	}
	return nil
}

// fairQueue is a start-time fair queue over client accounts. It reads no clock,
// takes no lock and does no I/O.
type fairQueue struct {
	flows map[contract.Account]*flow
	// virtualTime is the highest start tag of a grant so far.
	virtualTime float64
	total       int
	limit       int
	arrival     uint64
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{flows: make(map[contract.Account]*flow), limit: limit}
}

// scanDepth limits how many requests of a flow are tried for one slot; requests
// differ in which upstreams they may use.
const scanDepth = 16

// add queues a request and returns the requests that are shed for it, possibly the
// request itself.
//
// If an account is at its own limit, an interactive request replaces its latest
// background request; any other request is shed. If the whole queue is full, the
// account with the most queued tokens for its share loses its latest request.
// Shedding the new request instead would let one flooding account lock out all
// others, which would be rejected while the flooding account is served.
func (q *fairQueue) add(req *request) (shed []*request) {
	f := q.flowOf(req.work)
	if f.queued() >= max(1, req.work.Contract.Limits.Queue) {
		victim := f.newest()
		if req.work.Background || !victim.work.Background {
			q.removeIfIdle(f)
			return []*request{req}
		}
		q.drop(f, victim)
		shed = append(shed, victim)
	}
	q.push(f, req)
	if q.total > q.limit {
		worst := q.mostBacklogged()
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

func (q *fairQueue) push(f *flow, req *request) {
	if f.queued() == 0 {
		// An account without requests gets no credit for its idle time.
		f.start = max(f.start, q.virtualTime)
	}
	q.arrival++
	req.arrival = q.arrival
	if req.work.Background {
		f.background = append(f.background, req)
	} else {
		f.interactive = append(f.interactive, req)
	}
	q.total++
}

// mostBacklogged returns the flow with the most queued tokens for its share.
func (q *fairQueue) mostBacklogged() *flow {
	var worst *flow
	var most float64
	for _, f := range q.flows {
		if f.queued() == 0 {
			continue
		}
		backlog := float64(f.queuedCost()) / float64(f.share)
		if worst == nil || backlog > most || (backlog == most && f.account > worst.account) {
			worst, most = f, backlog
		}
	}
	return worst
}

// cancel removes a queued request and reports whether it was still queued.
func (q *fairQueue) cancel(req *request) bool {
	f, ok := q.flows[req.work.Account]
	if !ok {
		return false
	}
	return q.drop(f, req)
}

func (q *fairQueue) drop(f *flow, req *request) bool {
	if !f.remove(req) {
		return false
	}
	q.total--
	q.removeIfIdle(f)
	return true
}

// removeIfIdle removes a flow whose state equals that of a new one.
func (q *fairQueue) removeIfIdle(f *flow) {
	if f.queued() == 0 && f.running == 0 && f.start <= q.virtualTime {
		delete(q.flows, f.account)
	}
}

// next removes and returns the request that runs next among those that tryPlace
// accepts, and charges its account with the expected cost. It returns nil if
// tryPlace accepts none. An account's interactive requests precede its background
// requests.
func (q *fairQueue) next(tryPlace func(*request) bool) *request {
	for _, f := range q.backlogged() {
		for _, queue := range [][]*request{f.interactive, f.background} {
			for _, req := range queue[:min(scanDepth, len(queue))] {
				if tryPlace(req) {
					q.charge(f, req)
					return req
				}
			}
		}
	}
	return nil
}

// backlogged returns the flows with queued requests, lowest start tag first.
func (q *fairQueue) backlogged() []*flow {
	var list []*flow
	for _, f := range q.flows {
		if f.queued() > 0 {
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

func (q *fairQueue) charge(f *flow, req *request) {
	f.remove(req)
	q.total--
	f.running++
	q.virtualTime = max(q.virtualTime, f.start)
	req.charged = f.expectedCost(req.work.Cost)
	f.start += req.charged / float64(f.share)
}

// settle replaces the expected cost that a grant was charged by its actual cost.
func (q *fairQueue) settle(req *request, cost int64) {
	f, ok := q.flows[req.work.Account]
	if !ok {
		return
	}
	f.running--
	f.recordCost(req.work.Cost, cost)
	f.start += (float64(cost) - req.charged) / float64(f.share)
	q.removeIfIdle(f)
}
