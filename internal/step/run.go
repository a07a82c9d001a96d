package step

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/target"
)

// phase is what an item of a run is doing.
type phase int

const (
	waiting phase = iota
	running
	// unscored items have their whole text and wait for a call for its score.
	unscored
	beingScored
	done
)

// progress is what a run knows of one item.
type progress struct {
	phase phase
	// notBefore delays the next try.
	notBefore time.Time
	// failures counts the answers that say that the item failed.
	failures int
	// savedFailures is the count of all failures, those of scoring among them, that was
	// saved last.
	savedFailures int
	moves         int
	// breaks counts the runs in a row that broke off without a new event, and
	// readBefore is the last event before them.
	breaks     int
	readBefore int64
	partial    partial
	// tries are those to score the whole text, which was read at wholeAt.
	tries   scoring.Tries
	wholeAt time.Time
	// madeBy is the upstream that made the last event of the text; empty when another
	// owner read it.
	madeBy string
}

// run is a step in the hands of its owner.
type run struct {
	m *Manager
	// rec is the state at the start; an early run may be accepted with another one of the
	// same step.
	rec   record
	items []Item
	// orders are those in which the items may start; order is the one in force, which
	// only the dispatcher changes once the run has begun.
	orders orders
	order  []int
	ctx    context.Context
	cancel context.CancelFunc
	// itemCtx ends before ctx when the step is handed over.
	itemCtx   context.Context
	stopItems context.CancelFunc
	due       int64

	// early is set while the step's acceptance is open.
	early *earlyRun
	// acceptedAs is the row of the store under which results may be listed, nil until the
	// step stands there; then isAccepted is closed.
	acceptedAs atomic.Pointer[record]
	isAccepted chan struct{}

	mu       sync.Mutex
	progress []progress
	queue    []Result
	queued   int
	listed   []Result
	// changed is closed when results were listed.
	changed chan struct{}
	more    chan struct{}
	commit  sync.Mutex
}

func newRun(m *Manager, rec record, items []Item, listed []Result) *run {
	r := &run{
		m:        m,
		rec:      rec,
		items:    items,
		orders:   newOrders(items, nil),
		due:      rec.SubmittedAt + rec.RunObjective.Milliseconds(),
		progress: make([]progress, len(items)),
		listed:   listed,
		changed:  make(chan struct{}),
		more:     make(chan struct{}, 1),

		isAccepted: make(chan struct{}),
	}
	r.order = r.orders.byLength
	r.ctx, r.cancel = context.WithCancel(m.ctx)
	r.itemCtx, r.stopItems = context.WithCancel(r.ctx)
	index := make(map[string]int, len(items))
	for i, item := range items {
		index[item.ID] = i
	}
	for _, result := range listed {
		if i, ok := index[result.Item]; ok {
			r.progress[i].phase = done
		}
	}
	return r
}

// resume takes texts that were read before, by this VM or another, so far as they
// fit the step. It must be called before items start.
func (r *run) resume(texts map[string]savedText) {
	if len(texts) == 0 {
		return
	}
	known := make(map[string]bool)
	for i, item := range r.items {
		saved, ok := texts[item.ID]
		known[item.Group] = known[item.Group] || ok
		if !ok || r.progress[i].phase == done {
			continue
		}
		p := &r.progress[i]
		p.failures = max(p.failures, saved.Failures)
		p.tries.Failures = max(p.tries.Failures, saved.ScoreFailures)
		p.savedFailures = saved.Failures + saved.ScoreFailures
		if p.phase != waiting || !mayGoOn(saved.Versions, r.rec.Spec) {
			continue
		}
		p.partial = saved.partial()
		if saved.Whole {
			r.complete(i)
		}
	}
	r.orders = newOrders(r.items, known)
	r.order = r.orders.byLength
}

// accept notes the row under which results may be listed.
func (r *run) accept(rec record) {
	r.acceptedAs.Store(&rec)
	close(r.isAccepted)
}

func (r *run) accepted() bool { return r.acceptedAs.Load() != nil }

// current returns the state under which the run lists results.
func (r *run) current() record {
	if rec := r.acceptedAs.Load(); rec != nil {
		return *rec
	}
	return r.rec
}

// next returns the next item in a phase that may go on, in the step's order, behind a
// position of that order; ok is false when there is none.
func (r *run) next(in phase, from int, now time.Time) (at int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ; from < len(r.order); from++ {
		p := &r.progress[r.order[from]]
		if p.phase == in && !now.Before(p.notBefore) {
			return from, true
		}
	}
	return 0, false
}

// anyWaiting reports whether an item waits for a slot.
func (r *run) anyWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.progress, func(p progress) bool { return p.phase == waiting })
}

// begin moves an item from one phase to the next; false when it is not in the first.
func (r *run) begin(i int, from, to phase) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.progress[i].phase != from || r.itemCtx.Err() != nil {
		return false
	}
	r.progress[i].phase = to
	return true
}

// again puts an item back, to be tried after a pause.
func (r *run) again(i int, pause time.Duration) { r.putBack(i, waiting, pause) }

// putBack puts an item into a phase in which it is tried after a pause, unless its result
// is listed.
func (r *run) putBack(i int, into phase, pause time.Duration) {
	r.mu.Lock()
	if p := &r.progress[i]; p.phase != done {
		p.phase = into
		p.notBefore = time.Now().Add(pause)
	}
	r.mu.Unlock()
	r.m.poke()
}

// undone returns which part of the items' texts is still to be made, between 0 and 1.
func (r *run) undone() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := 0.0
	for i := range r.progress {
		if phase := r.progress[i].phase; phase == waiting || phase == running {
			open += unread(r.progress[i].partial.last, r.items[i].Expected)
		}
	}
	return open / float64(max(len(r.items), 1))
}

// unread estimates which part of a text is still to be read after a number of its events.
// Without an expected length it only falls with each event.
func unread(events int64, expected float64) float64 {
	if expected <= 0 {
		return 1 / (1 + float64(events))
	}
	return max(0, 1-float64(events)/expected)
}

// adopt takes the results that another owner has listed, before the run is accepted, and
// returns how many there are.
func (r *run) adopt(ctx context.Context, m *Manager) (int, error) {
	listed, err := readAllResults(ctx, m.Store, r.rec.ID)
	if err != nil {
		return 0, err
	}
	theirs := make(map[string]bool, len(listed))
	for _, result := range listed {
		theirs[result.Item] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = listed
	for i, item := range r.items {
		if theirs[item.ID] {
			r.progress[i].phase = done
		}
	}
	r.queue = slices.DeleteFunc(r.queue, func(result Result) bool { return theirs[result.Item] })
	r.queued = 0
	for _, result := range r.queue {
		r.queued += len(result.Text)
	}
	return len(listed), nil
}

// text returns the text of an item as far as it was read.
func (r *run) text(i int) partial {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[i].partial
}

// keepText replaces the text of an item as far as it was read.
func (r *run) keepText(i int, text partial) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[i].partial = text
}

// countFailure counts an answer that says that an item failed, and returns how many
// there were.
func (r *run) countFailure(i int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[i].failures++
	return r.progress[i].failures
}

// noteMaker notes the upstream that made the last event of an item's text.
func (r *run) noteMaker(i int, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[i].madeBy = upstream
}

// countMove counts a run of an item that was ended so that it goes on elsewhere.
func (r *run) countMove(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress[i].moves++
}

// moves returns how many runs of an item were ended so that it goes on elsewhere.
func (r *run) moves(i int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[i].moves
}

// finish takes an item's result.
func (r *run) finish(i int, result Result) {
	r.mu.Lock()
	if r.progress[i].phase == done {
		r.mu.Unlock()
		return
	}
	r.progress[i].phase = done
	r.progress[i].partial = partial{}
	r.queue = append(r.queue, result)
	r.queued += len(result.Text)
	r.mu.Unlock()
	r.signalMore()
	r.m.poke()
}

// saveLoop saves the texts of long items, for the case that this VM is lost.
func (r *run) saveLoop() {
	ticker := time.NewTicker(saveEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if r.accepted() {
			r.saveTexts(r.ctx, saveEvents)
		}
	}
}

// item returns an item by its ID.
func (r *run) item(id string) (Item, bool) {
	for _, item := range r.items {
		if item.ID == id {
			return item, true
		}
	}
	return Item{}, false
}

// needOf tells what an item of the run asks of an engine. The configuration in
// force decides on the service; ok is false when no route leads there any more.
func (r *run) needOf(i int) (n need, ok bool) {
	snapshot := r.m.View.Load()
	if snapshot == nil {
		return need{}, true
	}
	matched, err := snapshot.Match(r.rec.Host, r.items[i].Path)
	if err != nil {
		return need{}, false
	}
	return need{
		service:    matched.Service(r.items[i].ID),
		model:      r.rec.Model,
		minVersion: r.rec.MinVersion,
		domain:     r.m.Domain,
		residency:  snapshot.Residency(matched, r.rec.Account),
		route:      matched,
	}, true
}

// engines returns the engines that may get work of a service.
func (m *Manager) engines(service string, now time.Time) []*target.Entry {
	return m.Roster.Usable(service, now)
}
