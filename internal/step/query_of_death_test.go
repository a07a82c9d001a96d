package step

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

// maxEndsPerItem is the number of upstreams under which an item may have ended and still be sent.
const maxEndsPerItem = 3

// fatality is how an item ends the engine that runs it.
type fatality int

const (
	// endsBeforeAnswer ends the engine before the header of its answer.
	endsBeforeAnswer fatality = iota
	// endsMidStream ends the engine in the middle of the text.
	endsMidStream
	// silencesEngine makes the engine stop answering without closing its connections.
	silencesEngine
)

func (f fatality) String() string {
	return [...]string{"before the answer", "in the stream", "silently"}[f]
}

// mortalEngine is the current incarnation of an engine.
type mortalEngine struct {
	info target.Instance
	// running holds the items that run, left those that ran until a time.
	running map[string]time.Time
	// copies counts the attempts at each item that run, of several copies of a step. An item may run on without one.
	copies map[string]int
	left   map[string]time.Time
	// ended is closed when the incarnation ends.
	ended chan struct{}
	down  bool
	// silent is true when the incarnation ended without closing its connections.
	silent bool
}

func (e *mortalEngine) runs(item string) bool {
	_, runs := e.running[item]
	return runs
}

// newIncarnation returns an incarnation of an engine that runs nothing.
func newIncarnation(info target.Instance) *mortalEngine {
	return &mortalEngine{info: info, running: map[string]time.Time{}, copies: map[string]int{}, left: map[string]time.Time{}, ended: make(chan struct{})}
}

// engineEnd is the end of an incarnation.
type engineEnd struct {
	engine string
	// culprit is the item that ended it; empty for a crash of another cause.
	culprit string
	// bystanders are the other items whose attempts ran.
	bystanders []string
	at         time.Time
}

// mortalEngines are engines that end under certain items and start again as a new incarnation. It
// implements target.Transport.
type mortalEngines struct {
	cluster *cluster
	// fatal holds the items that end engines.
	fatal map[string]fatality
	// fatalAfter is the time from the start of a fatal item to the end of its engine.
	fatalAfter time.Duration
	// fatalAttempts, if set, is the last attempt at a fatal item that ends its engine.
	fatalAttempts int
	// sparedAttempt, if set, is an attempt at a fatal item that completes, by the next weight version.
	sparedAttempt int
	// late, if set, is how fatal items end their engines instead of fatal.
	late   *lateEnd
	events int
	gap    time.Duration
	// restartAfter is the time from an end to the start of the next incarnation, and listLag the time
	// until the list shows it. The entry of an ended engine is removed after unlistAfter.
	restartAfter, listLag, unlistAfter time.Duration
	// companions is the number of other engines that end with an engine that an item ends, companionLag later.
	companions   int
	companionLag time.Duration
	// endInterval, if set, is the interval at whose multiples engines end under items.
	endInterval time.Duration
	// staleConnections is true if connections to an engine that ended seem to be open.
	staleConnections bool
	// listsNoRuns is true if the engines' reports don't list their runs.
	listsNoRuns bool
	// reportTimeout is how long the report of an engine that has ended is awaited.
	reportTimeout time.Duration
	// breaks, if set, reports whether attempt n of an item, from 1, loses its connection.
	breaks func(item string, n int) bool

	started time.Time
	mu      sync.Mutex
	engines map[string]*mortalEngine
	ends    []engineEnd
	sent    map[string][]time.Time
	// sentTo holds the incarnations that each item was sent to.
	sentTo   map[string][]target.Incarnation
	listings []target.Change
}

// newMortalEngines makes the engines of a cluster mortal.
func newMortalEngines(cl *cluster) *mortalEngines {
	f := &mortalEngines{
		cluster: cl, started: time.Now(), fatal: map[string]fatality{}, fatalAfter: 150 * time.Millisecond, events: 20, gap: 50 * time.Millisecond,
		restartAfter: 3 * time.Second, listLag: 800 * time.Millisecond, unlistAfter: 3600 * time.Millisecond,
		engines: map[string]*mortalEngine{}, sent: map[string][]time.Time{}, sentTo: map[string][]target.Incarnation{},
	}
	for i, info := range cl.instances {
		if info.Service == "lm" {
			cl.instances[i].Started = 1
			info.Started = 1
			f.engines[info.ID] = newIncarnation(info)
		}
	}
	cl.transportOf = func(string, string) target.Transport { return f }
	cl.reports = f
	return f
}

// endUnder ends an engine because of an item, at the next multiple of endInterval, and its companions.
func (f *mortalEngines) endUnder(e *mortalEngine, culprit string, silent bool) {
	if f.endInterval > 0 {
		time.Sleep(f.endInterval - time.Since(f.started)%f.endInterval)
	}
	f.end(e, culprit, silent)
	// A timer that is due at once runs in this goroutine with the race context of the synctest bubble, which
	// crashes the race detector when several goroutines do so.
	time.AfterFunc(max(f.companionLag, time.Nanosecond), func() {
		n := f.companions
		f.endWhere(func(other *mortalEngine) bool {
			if n == 0 || other.down || other.info.ID == e.info.ID {
				return false
			}
			n--
			return true
		})
	})
}

// end ends an engine and starts its next incarnation later.
func (f *mortalEngines) end(e *mortalEngine, culprit string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.down || f.engines[e.info.ID] != e {
		return
	}
	e.down, e.silent = true, silent
	end := engineEnd{engine: e.info.ID, culprit: culprit, at: time.Now()}
	for item, attempts := range e.copies {
		if item != culprit && attempts > 0 {
			end.bystanders = append(end.bystanders, item)
		}
	}
	f.ends = append(f.ends, end)
	close(e.ended)
	if !silent {
		f.disconnect(e.info.Incarnation())
	}
	time.AfterFunc(f.unlistAfter, func() {
		f.mu.Lock()
		down := e.down
		f.mu.Unlock()
		if down {
			f.list(target.UnlistedChange(e.info.ID))
		}
	})
	time.AfterFunc(f.restartAfter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		next := e.info
		next.Started = time.Now().UnixMilli()
		f.engines[next.ID] = newIncarnation(next)
		e.down = false
		time.AfterFunc(f.listLag, func() { f.list(target.ListedChange(next)) })
	})
}

// disconnect ends the idle connections of all VMs to an incarnation.
func (f *mortalEngines) disconnect(incarnation target.Incarnation) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	for _, v := range f.cluster.vms {
		if entry := v.Roster.Incarnation(incarnation.Upstream, incarnation.Started); entry != nil {
			entry.NoteDisconnected(time.Now(), false)
		}
	}
}

// list applies a change of the list of upstreams at all VMs, also those that start later.
func (f *mortalEngines) list(change target.Change) {
	f.mu.Lock()
	f.listings = append(f.listings, change)
	f.mu.Unlock()
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	for _, v := range f.cluster.vms {
		v.Roster.Apply(change)
	}
}

// Call implements target.Transport.
func (f *mortalEngines) Call(ctx context.Context, entry *target.Entry, request *target.Request) (*target.Response, error) {
	id := entry.Info().ID
	f.mu.Lock()
	e := f.engines[id]
	if e.down {
		silent := e.silent
		f.mu.Unlock()
		if f.staleConnections {
			return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id, Reason: "no answer"}), fault.Unknown)
		}
		if silent {
			const dialTimeout = 400 * time.Millisecond
			select {
			case <-ctx.Done():
			case <-time.After(dialTimeout):
			}
		}
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id, Reason: "no connection"}), fault.NotRun)
	}
	f.sent[request.ID] = append(f.sent[request.ID], time.Now())
	f.sentTo[request.ID] = append(f.sentTo[request.ID], target.Incarnation{Upstream: id, Started: e.info.Started})
	n := len(f.sent[request.ID])
	e.running[request.ID] = time.Now()
	e.copies[request.ID]++
	f.mu.Unlock()
	how, fatal := f.fatality(request.ID, n)
	if fatal && f.late != nil {
		return f.late.serve(ctx, f, e, request)
	}
	if fatal && how == endsBeforeAnswer {
		defer f.stopRunning(e, request.ID)
		select {
		case <-ctx.Done():
		case <-e.ended:
		case <-time.After(f.fatalAfter):
			f.endUnder(e, request.ID, false)
		}
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id, Reason: "no answer"}), fault.Unknown)
	}
	body, out := io.Pipe()
	go f.write(ctx, e, out, request, n)
	version := int64(1)
	if _, isFatal := f.fatal[request.ID]; isFatal && n == f.sparedAttempt {
		version++
	}
	return &target.Response{Status: http.StatusOK, Version: version, VersionField: "v", Body: body}, nil
}

// fatality returns how an attempt at an item ends its engine; ok is false if it doesn't.
func (f *mortalEngines) fatality(item string, attempt int) (how fatality, ok bool) {
	how, ok = f.fatal[item]
	return how, ok && (f.fatalAttempts == 0 || attempt <= f.fatalAttempts) && attempt != f.sparedAttempt
}

// reportLag is how old the list of runs in an engine's report is.
const reportLag = 200 * time.Millisecond

// RunReport implements suspicion.EngineReports.
func (f *mortalEngines) RunReport(ctx context.Context, entry *target.Entry) (suspicion.RunReport, error) {
	f.mu.Lock()
	e := f.engines[entry.Info().ID]
	down := e.down
	f.mu.Unlock()
	if down {
		wait.For(ctx, f.reportTimeout)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.down {
		return suspicion.RunReport{}, errors.WithStack(&fault.UpstreamFailed{Upstream: e.info.ID, Reason: "no connection"})
	}
	report := suspicion.RunReport{Started: e.info.Started, Complete: !f.listsNoRuns}
	for item, since := range e.running {
		if time.Since(since) >= reportLag {
			report.Runs = append(report.Runs, item)
		}
	}
	for item, at := range e.left {
		if time.Since(at) < reportLag {
			report.Runs = append(report.Runs, item)
		}
	}
	return report, nil
}

func (f *mortalEngines) stopRunning(e *mortalEngine, item string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.copies[item]--; e.copies[item] > 0 {
		return
	}
	delete(e.running, item)
	e.left[item] = time.Now()
}

// write streams a text until it is complete, the caller leaves or the engine ends.
func (f *mortalEngines) write(ctx context.Context, e *mortalEngine, out *io.PipeWriter, request *target.Request, attempt int) {
	defer f.stopRunning(e, request.ID)
	how, fatal := f.fatality(request.ID, attempt)
	broken := f.breaks != nil && f.breaks(request.ID, attempt)
	from, _ := strconv.Atoi(request.LastEventID)
	for n := from + 1; n <= f.events; n++ {
		var endTimer <-chan time.Time
		if fatal && n == from+4 {
			endTimer = time.After(f.fatalAfter)
		}
		select {
		case <-ctx.Done():
			_ = out.CloseWithError(ctx.Err())
			return
		case <-e.ended:
		case <-endTimer:
			f.endUnder(e, request.ID, how == silencesEngine)
		case <-time.After(f.gap):
			if endTimer == nil {
				break
			}
			select {
			case <-ctx.Done():
			case <-e.ended:
			case <-endTimer:
				f.endUnder(e, request.ID, how == silencesEngine)
			}
		}
		select {
		case <-e.ended:
			if e.silent {
				<-ctx.Done()
			}
			_ = out.CloseWithError(io.ErrUnexpectedEOF)
			return
		default:
		}
		if broken && n == from+3 {
			_ = out.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", n, request.ID, n); err != nil {
			return
		}
	}
	_ = out.Close()
}

// endsUnder returns how many engines ended while they ran an item, and how many attempts the item got after
// maxEndsPerItem of these ends.
func (f *mortalEngines) endsUnder(item string) (ends, sentAfter int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last time.Time
	for _, end := range f.ends {
		if end.culprit != item && !slices.Contains(end.bystanders, item) {
			continue
		}
		if ends++; ends == maxEndsPerItem {
			last = end.at
		}
	}
	for _, at := range f.sent[item] {
		if !last.IsZero() && at.After(last) {
			sentAfter++
		}
	}
	return ends, sentAfter
}

// mortalPlay is a step whose first items end their engines.
type mortalPlay struct {
	*mortalEngines
	t     *testing.T
	step  Spec
	items []Item
	// ownerKilledAfter, if set, is the time from the start to the death of the step's first owner.
	ownerKilledAfter time.Duration
}

// newMortalPlay returns a play of a step at nine engines; its first fatal items end engines.
func newMortalPlay(t *testing.T, n, fatal int, how fatality) *mortalPlay {
	cl := newCluster(t, "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9")
	p := &mortalPlay{mortalEngines: newMortalEngines(cl), t: t, step: spec("s"), items: items(n)}
	for i := range fatal {
		p.fatal[p.items[i*n/fatal].ID] = how
	}
	return p
}

// results returns the committed results by item.
func (p *mortalPlay) results() map[string]Result {
	p.t.Helper()
	list, err := readAllResults(p.t.Context(), p.cluster.store, p.step.ID)
	if err != nil {
		p.t.Fatal(err)
	}
	results := map[string]Result{}
	for _, r := range list {
		results[r.Item] = r
	}
	return results
}

// check checks that no item was sent after it had ended maxEndsPerItem engines, and that all others
// are complete.
func (p *mortalPlay) check() {
	p.t.Helper()
	p.checkLimit()
	p.checkSound()
}

// checkLimit checks that no item was sent after it had ended maxEndsPerItem engines.
func (p *mortalPlay) checkLimit() {
	p.t.Helper()
	for item := range p.fatal {
		ends, sentAfter := p.endsUnder(item)
		if ends > maxEndsPerItem || sentAfter > 0 {
			p.t.Errorf("%d engines ended under item %s, which was sent %d times after the third end", ends, item, sentAfter)
		}
	}
}

// checkSound checks that all items that end no engine are complete.
func (p *mortalPlay) checkSound() {
	p.t.Helper()
	results := p.results()
	for _, item := range p.items {
		if _, fatal := p.fatal[item.ID]; fatal {
			continue
		}
		if r, ok := results[item.ID]; !ok || r.Outcome != Completed || r.Text != textOf(item.ID, p.events) {
			p.t.Errorf("item %s has the result %q", item.ID, r.Outcome)
		}
	}
}

// Guards against an item that ends every engine to which it is sent, one after another.
func TestItemUnderWhichEnginesEndIsSentToThreeAtMost(t *testing.T) {
	for _, how := range []fatality{endsBeforeAnswer, endsMidStream, silencesEngine} {
		t.Run(how.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				p := newMortalPlay(t, 48, 1, how)
				submit(t, p.cluster.start("a"), p.step, p.items)
				time.Sleep(19 * time.Second)
				p.logTimeline()
				p.check()
			})
		})
	}
}

// Guards against a count of ended engines that is lost with the owner of the step.
func TestNextOwnerKnowsEnginesThatEndedUnderAnItem(t *testing.T) {
	for _, owner := range []string{"killed", "leaving"} {
		for _, how := range []fatality{endsBeforeAnswer, endsMidStream, silencesEngine} {
			for _, after := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
				t.Run(fmt.Sprintf("%s %s %s", owner, how, after), func(t *testing.T) { playNextOwner(t, how, after, owner == "leaving") })
			}
		}
	}
}

// Guards against an end that nobody has noticed when the owner of the step is killed.
func TestNextOwnerKnowsEngineThatEndedJustBeforeItsOwner(t *testing.T) {
	for _, how := range []fatality{endsBeforeAnswer, endsMidStream, silencesEngine} {
		for after := 100 * time.Millisecond; after <= time.Second; after += 50 * time.Millisecond {
			t.Run(fmt.Sprintf("%s %s", how, after), func(t *testing.T) { playNextOwner(t, how, after, false) })
		}
	}
}

// Guards against an item that is held back after its owner was killed, although no engine ended under it
// then.
func TestNextOwnerSendsItemUnderWhichTwoEnginesEnded(t *testing.T) {
	for _, how := range []fatality{endsBeforeAnswer, endsMidStream, silencesEngine} {
		t.Run(how.String(), func(t *testing.T) { playTwoEndsAtNextOwner(t, how, func(*mortalPlay) {}) })
	}
}

// Guards against the same for an engine that was missed before the step was submitted.
func TestNextOwnerLeavesOutEnginesThatEndedBeforeTheStep(t *testing.T) {
	playTwoEndsAtNextOwner(t, endsMidStream, func(p *mortalPlay) {
		p.endWhere(func(e *mortalEngine) bool { return e.info.ID == "e9" })
		time.Sleep(p.restartAfter + p.listLag + 100*time.Millisecond)
	})
}

// Guards against the same for an engine that ended after the owner had been found dead.
func TestNextOwnerLeavesOutEnginesThatEndedAfterTheTakeover(t *testing.T) {
	playTwoEndsAtNextOwner(t, endsMidStream, func(p *mortalPlay) {
		const heartbeatInterval = 500 * time.Millisecond
		p.heartbeat(heartbeatInterval)
		time.AfterFunc(1500*time.Millisecond, func() {
			p.endWhere(func(e *mortalEngine) bool { return e.info.ID == "e9" })
		})
	})
}

// Guards against the same for an engine that has not renewed its place in the list since then, but has reported.
func TestNextOwnerLeavesOutEnginesThatReportedAfterTheTakeover(t *testing.T) {
	playTwoEndsAtNextOwner(t, endsMidStream, func(p *mortalPlay) {
		time.AfterFunc(1500*time.Millisecond, func() {
			p.endWhere(func(e *mortalEngine) bool { return e.info.ID == "e9" })
		})
	})
}

// heartbeat lists the engines that run at an interval.
func (f *mortalEngines) heartbeat(interval time.Duration) {
	go func() {
		for wait.For(f.cluster.t.Context(), interval) {
			var listed []target.Change
			f.mu.Lock()
			for _, e := range f.engines {
				if !e.down {
					listed = append(listed, target.ListedChange(e.info))
				}
			}
			f.mu.Unlock()
			for _, change := range listed {
				f.list(change)
			}
		}
	}()
}

// playTwoEndsAtNextOwner plays an item that ends two engines after its owner was killed.
func playTwoEndsAtNextOwner(t *testing.T, how fatality, beforeStep func(*mortalPlay)) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 1, how)
		p.fatalAttempts = 3
		p.cluster.readLists()
		a := p.cluster.start("a")
		p.cluster.start("b")
		beforeStep(p)
		submit(t, a, p.step, p.items)
		time.Sleep(100 * time.Millisecond)
		p.cluster.crash(a)
		time.Sleep(19 * time.Second)
		p.logTimeline()
		culprit := p.items[0].ID
		if ends, _ := p.endsUnder(culprit); ends != 2 || p.results()[culprit].Outcome != Completed {
			t.Errorf("%d engines ended under item %s, want 2, and its result is %q", ends, culprit, p.results()[culprit].Outcome)
		}
		p.checkSound()
	})
}

// Guards against an attempt that a killed owner had recorded and that counts twice for the next one.
func TestNextOwnerCountsRecordedAttemptOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 1, endsMidStream)
		p.fatalAttempts = 1
		p.cluster.readLists()
		a := p.cluster.start("a")
		p.cluster.start("b")
		submit(t, a, p.step, p.items)
		culprit := p.items[0].ID
		for p.attempts(culprit) < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		p.cluster.crash(a)
		p.endWhere(func(e *mortalEngine) bool { return e.runs(culprit) || e.info.ID == "e9" })
		time.Sleep(19 * time.Second)
		p.logTimeline()
		if outcome := p.results()[culprit].Outcome; outcome != Completed {
			t.Errorf("the item with two lost answers has the result %q", outcome)
		}
		p.checkSound()
	})
}

// attempts returns how often an item was sent.
func (f *mortalEngines) attempts(item string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent[item])
}

// engineOf returns the engine that runs an item.
func (f *mortalEngines) engineOf(item string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.runs(item) {
			return e.info.ID
		}
	}
	f.cluster.t.Errorf("no engine runs item %s", item)
	return ""
}

// endWhere ends the engines that satisfy a condition, for another cause than an item.
func (f *mortalEngines) endWhere(condition func(*mortalEngine) bool) {
	f.mu.Lock()
	var chosen []*mortalEngine
	for _, e := range f.engines {
		if condition(e) {
			chosen = append(chosen, e)
		}
	}
	f.mu.Unlock()
	for _, e := range chosen {
		f.end(e, "", false)
	}
}

// playNextOwner plays a step whose owner leaves or is killed after a time.
func playNextOwner(t *testing.T, how fatality, after time.Duration, leaves bool) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 1, how)
		p.cluster.readLists()
		a := p.cluster.start("a")
		p.cluster.start("b")
		submit(t, a, p.step, p.items)
		time.Sleep(after)
		if leaves {
			a.Leave(t.Context())
		}
		p.cluster.crash(a)
		time.Sleep(19 * time.Second)
		p.logTimeline()
		p.check()
	})
}

// logTimeline logs the ends of engines.
func (f *mortalEngines) logTimeline() {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, end := range f.ends {
		slices.Sort(end.bystanders)
		for _, item := range end.bystanders {
			counts[item]++
		}
		f.cluster.t.Logf("%s: %s ended under %q beside %d others", end.at.Format("05.000"), end.engine, end.culprit, len(end.bystanders))
	}
	byCount := map[int]int{}
	for _, n := range counts {
		byCount[n]++
	}
	f.cluster.t.Logf("%d ends; other items by the number of ends beside them: %v", len(f.ends), byCount)
}

// Guards against a sound item that is held back because its connections break at engines that still
// run.
func TestItemsWithBrokenConnectionsAreComplete(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 0, 0)
		p.events = 40
		const breaks = 8
		p.breaks = func(_ string, n int) bool { return n <= breaks }
		submit(t, p.cluster.start("a"), p.step, p.items)
		time.Sleep(19 * time.Second)
		p.check()
	})
}

// Guards against an item that is sent on under the same ID in the trainer's next step, at the same VM or
// at another one, after it has ended as many engines as are allowed.
func TestNextStepKnowsEnginesThatEndedUnderAnItem(t *testing.T) {
	for _, next := range []string{"a", "b", "a VM that starts later"} {
		t.Run(next, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				p := newMortalPlay(t, 48, 1, endsBeforeAnswer)
				a, b := p.cluster.start("a"), p.cluster.start("b")
				submit(t, a, p.step, p.items)
				time.Sleep(8 * time.Second)
				if err := a.End(t.Context(), p.step.ID, p.step.Account); err != nil {
					t.Fatal(err)
				}
				v := map[string]*testVM{"a": a, "b": b}[next]
				if v == nil {
					p.cluster.crash(a)
					p.cluster.crash(b)
					v = p.cluster.start("c")
				}
				time.Sleep(time.Second)
				p.step.ID = "s2"
				submit(t, v, p.step, p.items)
				time.Sleep(19 * time.Second)
				p.logTimeline()
				p.check()
			})
		})
	}
}

// Guards against an item that is sent on while its lost answers can't be saved for the next owner.
func TestItemUnderSuspicionWaitsForTheStore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 1, endsBeforeAnswer)
		p.cluster.storeAvailable = func(string) bool { return time.Since(p.started) > 5*time.Second }
		a := p.cluster.start("a")
		p.cluster.start("b")
		submit(t, a, p.step, p.items)
		synctest.Wait()
		p.cluster.store.SetDown(true)
		time.Sleep(4 * time.Second)
		if ends, _ := p.endsUnder(p.items[0].ID); ends != 1 {
			t.Errorf("%d engines ended while the store was away, want 1", ends)
		}
		p.cluster.store.SetDown(false)
		time.Sleep(2 * time.Second)
		p.cluster.crash(a)
		time.Sleep(19 * time.Second)
		p.logTimeline()
		p.check()
	})
}

// Guards against an item that is held back and never listed.
func TestItemThatIsHeldBackIsAbandonedInTime(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 1, endsBeforeAnswer)
		submit(t, p.cluster.start("a"), p.step, p.items)
		time.Sleep(p.step.AbandonAfter - time.Second)
		if r, ok := p.results()[p.items[0].ID]; ok {
			t.Errorf("the item was listed as %s before its time", r.Outcome)
		}
		time.Sleep(2 * time.Second)
		if r := p.results()[p.items[0].ID]; r.Outcome != Abandoned {
			t.Errorf("the item is listed as %q after its time", r.Outcome)
		}
		p.check()
	})
}

// Guards against an item that each early run of a step counts for itself.
func TestEarlyRunsShareEnginesThatEndedUnderAnItem(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 1, endsBeforeAnswer)
		vms := []*testVM{p.cluster.start("a"), p.cluster.start("b"), p.cluster.start("c")}
		time.Sleep(time.Second)
		p.cluster.store.SetDown(true)
		for _, v := range vms {
			go func() { _ = v.Submit(t.Context(), p.step, p.items) }()
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		p.cluster.store.SetDown(false)
		time.Sleep(19 * time.Second)
		p.logTimeline()
		p.check()
	})
}

// Guards against a sound item that is held back for engines at which it was complete, because it is
// submitted again and again with the group of an item that ends engines.
func TestCompleteItemsLeaveNoSuspicion(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 1, endsBeforeAnswer)
		vms := []*testVM{p.cluster.start("a"), p.cluster.start("b"), p.cluster.start("c")}
		p.breaks = func(_ string, n int) bool { return n == 1 }
		const steps = 6
		for n := range steps {
			p.step.ID = fmt.Sprint("s", n)
			submit(t, vms[n%len(vms)], p.step, p.items)
			time.Sleep(6 * time.Second)
			p.checkSound()
			if err := vms[n%len(vms)].End(t.Context(), p.step.ID, p.step.Account); err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond)
		}
		p.logTimeline()
		p.check()
	})
}

// Guards against a sound item that is held back for an engine that ended after the end of the item's step,
// or a planned stop, had canceled its attempt there.
func TestCanceledAttemptsLeaveNoSuspicion(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprintf("planned stop %t", leaves), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				p := newMortalPlay(t, 48, 1, endsMidStream)
				p.fatalAttempts = 1
				a, b := p.cluster.start("a"), p.cluster.start("b")
				submit(t, a, p.step, p.items)
				culprit := p.items[0].ID
				for p.attempts(culprit) < 2 {
					time.Sleep(10 * time.Millisecond)
				}
				engine := p.engineOf(culprit)
				if leaves {
					a.Leave(t.Context())
				} else if err := a.End(t.Context(), p.step.ID, p.step.Account); err != nil {
					t.Fatal(err)
				}
				time.Sleep(400 * time.Millisecond)
				p.endWhere(func(e *mortalEngine) bool { return e.info.ID == engine })
				time.Sleep(time.Second)
				for _, v := range []*testVM{a, b} {
					request := suspicion.Request{Account: p.step.Account, ID: culprit}
					if v.suspicions.Has(request, target.Incarnation{Upstream: engine, Started: 1}) {
						t.Errorf("%s: %s counts as ended under the item", v.VM, engine)
					}
				}
			})
		})
	}
}

// Guards against a sound item that is held back for an engine that ran when the item was sent elsewhere, and
// ended later for another cause.
func TestEnginesAreAskedWhileTheItemRunsElsewhere(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 1, endsMidStream)
		p.fatalAttempts, p.events = 1, 80
		a, b := p.cluster.start("a"), p.cluster.start("b")
		submit(t, a, p.step, p.items)
		culprit := p.items[0].ID
		for p.attempts(culprit) < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		engine := p.engineOf(culprit)
		p.cluster.crash(a)
		for p.attempts(culprit) < 3 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		p.endWhere(func(e *mortalEngine) bool { return e.info.ID == engine })
		time.Sleep(500 * time.Millisecond)
		request := suspicion.Request{Account: p.step.Account, ID: culprit}
		if p.engineOf(culprit) == engine || b.suspicions.Has(request, target.Incarnation{Upstream: engine, Started: 1}) {
			t.Errorf("%s counts as ended under the item", engine)
		}
	})
}

// Guards against a sound item that is held back for engines that had ended before they got it, on
// connections that still seemed open.
func TestItemUnderSuspicionIsNotSentToEndedEngines(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 0, 0)
		p.staleConnections = true
		submit(t, p.cluster.start("a"), p.step, p.items)
		time.Sleep(300 * time.Millisecond)
		for _, id := range []string{"e1", "e2", "e3", "e4", "e5"} {
			p.end(p.engines[id], "", false)
		}
		time.Sleep(19 * time.Second)
		p.check()
	})
}

// Guards against a sound item that counts an engine which had ended before it got the item, because the owner
// was killed while it asked that engine.
func TestNextOwnerCountsOnlyEnginesThatGotTheItem(t *testing.T) {
	for _, after := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				p := newMortalPlay(t, 12, 1, endsMidStream)
				p.fatalAttempts, p.reportTimeout = 1, 400*time.Millisecond
				a, b := p.cluster.start("a"), p.cluster.start("b")
				submit(t, a, p.step, p.items)
				culprit := p.items[0].ID
				time.Sleep(100 * time.Millisecond)
				first := p.engineOf(culprit)
				p.endWhere(func(e *mortalEngine) bool { return e.info.ID != first })
				<-p.engines[first].ended
				time.Sleep(after)
				p.cluster.crash(a)
				time.Sleep(2 * time.Second)
				for _, suspect := range b.suspicions.Suspects(suspicion.Request{Account: p.step.Account, ID: culprit}) {
					if !slices.Contains(p.sentTo[culprit], suspect) {
						t.Errorf("%s counts as ended under the item, which was sent to %v", suspect.Upstream, p.sentTo[culprit])
					}
				}
			})
		})
	}
}
