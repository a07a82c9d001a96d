package rollout

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/platform/memory"
	"dogwoodpond/internal/sample"
)

const (
	testAccount contract.Account = "strathallan"
	testModel                    = "berry-1"
	testTerm                     = 10 * time.Second
)

// testFault is what happens to one call of a VM to the store.
type testFault int

const (
	// killBefore ends the VM before the call has an effect.
	killBefore testFault = iota + 1
	// killAfter ends the VM after the effect, before the reply.
	killAfter
	// loseReply lets the call take effect and loses its reply.
	loseReply
	// refuse fails the call without an effect.
	refuse
	// pauseShort holds the call until another VM has just taken the step over,
	// and lets it through in the middle of that VM's work.
	pauseShort
	// pauseLong holds the call until the other VM has finished the step.
	pauseLong
)

const (
	shortPause = testTerm + 1300*time.Millisecond
	longPause  = 3 * testTerm
)

var faultNames = map[testFault]string{
	killBefore: "killed before", killAfter: "killed after", loseReply: "reply lost", refuse: "refused",
	pauseShort: "paused past the term", pauseLong: "paused for long",
}

// board stands for the lease rows. A lease whose holder died is free after a
// term; one whose holder is paused is free after a term as well, while the
// holder goes on believing in it.
type board struct {
	mu    sync.Mutex
	holds map[string]*testGuard
	epoch uint64
}

type testGuard struct {
	vm    *testVM
	epoch uint64
}

// Check believes in the lease even past its term, as the worst holder does
// that is paused between the check and its write.
func (g *testGuard) Check() error { return nil }

func (g *testGuard) Epoch() uint64 { return g.epoch }

func (b *board) take(name string, vm *testVM) *testGuard {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holds == nil {
		b.holds = make(map[string]*testGuard)
	}
	if old := b.holds[name]; old != nil && !old.vm.silentFor(testTerm) {
		return nil
	}
	b.epoch++
	g := &testGuard{vm: vm, epoch: b.epoch}
	b.holds[name] = g
	return g
}

func (b *board) free(name string, g *testGuard) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holds[name] == g && !g.vm.dead() {
		delete(b.holds, name)
	}
}

// testVM is one VM: its tables fail as told, and it can be killed.
type testVM struct {
	name    string
	cluster *cluster
	manager *Manager
	cancel  context.CancelFunc
	// closed is closed when all of the VM's work has ended.
	closed chan struct{}
	loops  sync.WaitGroup

	mu     sync.Mutex
	calls  int
	faults map[int]testFault
	// silent is when the VM fell silent: it died or was paused.
	silent time.Time
	killed bool
	log    []string
}

// made returns the calls to the store so far.
func (v *testVM) made() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.log)
}

func (v *testVM) dead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.killed
}

func (v *testVM) silentFor(d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.silent.IsZero() && time.Since(v.silent) >= d
}

func (v *testVM) kill() {
	v.mu.Lock()
	already := v.killed
	v.killed = true
	if v.silent.IsZero() {
		v.silent = time.Now()
	}
	v.mu.Unlock()
	if !already {
		v.cancel()
		go func() {
			v.manager.Close()
			v.loops.Wait()
			close(v.closed)
		}()
	}
}

// Campaign implements Leases.
func (v *testVM) Campaign(ctx context.Context, name string, held func(context.Context, Guard) (bool, error)) error {
	for ctx.Err() == nil {
		if g := v.cluster.board.take(name, v); g != nil {
			done, _ := held(ctx, g)
			v.cluster.board.free(name, g)
			if done {
				return nil
			}
		}
		time.Sleep(testTerm / 10)
	}
	return ctx.Err()
}

// call applies the fault of this call around its effect.
func (v *testVM) call(operation string, effect func() error) error {
	down := func(unknown bool) error {
		return errors.WithStack(&fault.StoreUnavailable{Operation: operation, EffectUnknown: unknown})
	}
	v.mu.Lock()
	if v.killed {
		v.mu.Unlock()
		return down(true)
	}
	v.calls++
	f := v.faults[v.calls]
	v.log = append(v.log, operation)
	v.mu.Unlock()
	switch f {
	case killBefore:
		v.kill()
		return down(true)
	case killAfter:
		_ = effect()
		v.kill()
		return down(true)
	case loseReply:
		_ = effect()
		return down(true)
	case refuse:
		return down(false)
	case pauseShort:
		v.fallSilent()
		time.Sleep(shortPause)
	case pauseLong:
		v.fallSilent()
		time.Sleep(longPause)
	}
	return effect()
}

func (v *testVM) fallSilent() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silent = time.Now()
}

// Get implements platform.Tables.
func (v *testVM) Get(ctx context.Context, key string) (row platform.Row, err error) {
	err = v.call("get "+key, func() error {
		row, err = v.cluster.tables.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan implements platform.Tables.
func (v *testVM) Scan(ctx context.Context, prefix, after string, limit int) (rows []platform.Row, err error) {
	err = v.call("scan "+prefix, func() error {
		rows, err = v.cluster.tables.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Commit implements platform.Tables.
func (v *testVM) Commit(ctx context.Context, txn platform.Txn) error {
	return v.call("commit "+txn.Writes[0].Key, func() error {
		v.cluster.countWrites(len(txn.Writes))
		return v.cluster.tables.Commit(ctx, txn)
	})
}

// Workers implements Workers.
func (v *testVM) Workers() []Worker {
	if v.cluster.workers != nil {
		return v.cluster.workers.Workers()
	}
	workers := []Worker{{VM: v.name, FailureDomain: v.name, Runner: v.cluster.engine}}
	for _, other := range v.cluster.all() {
		if other != v && !other.dead() {
			workers = append(workers, Worker{VM: other.name, FailureDomain: other.name, Runner: v.cluster.engine})
		}
	}
	return workers
}

// testEngine generates answers in virtual time.
type testEngine struct {
	mu      sync.Mutex
	weights *testWeights
	// time returns how long a run of a slot takes; run counts from 1.
	time func(slot string, run int) time.Duration
	// spoil changes a result before it is returned.
	spoil func(request generate.Request, run int, result *generate.Result) error
	runs  map[string]int
	// tokens counts everything that was generated, cancelled runs included.
	tokens int
}

const (
	testTokens = 8
	// testTokenTime is what a token takes.
	testTokenTime = 50 * time.Millisecond
)

// Generate implements generate.Runner.
func (e *testEngine) Generate(ctx context.Context, request generate.Request, _ generate.Sink) (generate.Result, error) {
	e.mu.Lock()
	e.runs[request.Slot]++
	run := e.runs[request.Slot]
	took := testTokens*testTokenTime + time.Duration(xxhash.Sum64String(request.Slot)%200)*time.Millisecond
	if e.time != nil {
		took = e.time(request.Slot, run)
	}
	e.mu.Unlock()
	began := time.Now()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		e.charge(int(testTokens * time.Since(began) / took))
		return generate.Result{}, errors.WithStack(&fault.CallerGone{})
	}
	e.charge(testTokens)
	result := generate.Result{ID: request.ID, Attempts: 1, FinishReason: "stop"}
	for i := range testTokens {
		result.Tokens = append(result.Tokens, fmt.Sprintf(" %s-%d", request.Slot, i))
	}
	result.Spans = []generate.Span{{End: testTokens, Version: e.weights.now(), Upstream: "e1", Incarnation: "i1"}}
	if e.spoil != nil {
		if err := e.spoil(request, run, &result); err != nil {
			return generate.Result{}, err
		}
	}
	return result, nil
}

func (e *testEngine) charge(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens += tokens
}

func (e *testEngine) generated() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// testWeights is the weight store.
type testWeights struct {
	mu      sync.Mutex
	version int64
	at      time.Time
	// publishedAt holds the times of version 2 and later.
	publishedAt []time.Time
	down        bool
}

func (w *testWeights) now() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *testWeights) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.at = time.Now()
	w.publishedAt = append(w.publishedAt, w.at)
}

// age returns a sample's true age now.
func (w *testWeights) age(s sample.Sample) sample.Age {
	w.mu.Lock()
	defer w.mu.Unlock()
	oldest := sample.OldestVersion(s.Spans)
	supersession := sample.Supersession{Latest: w.version, Known: true}
	if oldest < w.version {
		supersession.At = w.publishedAt[oldest-1]
	}
	return sample.AgeOf(oldest, supersession, time.Now())
}

func (w *testWeights) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// Latest implements platform.Weights.
func (w *testWeights) Latest(context.Context) ([]platform.WeightVersion, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, errors.WithStack(&fault.StoreUnavailable{Operation: "weights"})
	}
	return []platform.WeightVersion{{Model: testModel, Version: w.version, PublishedAt: w.at}}, nil
}

// cluster is a set of VMs around one store, in a synctest bubble.
type cluster struct {
	t       *testing.T
	tables  *memory.Tables
	board   *board
	engine  *testEngine
	weights *testWeights
	view    *contract.View
	scorer  Scorer
	// workers replaces the VMs' lists of workers.
	workers Workers
	// staleness is the contract's bound.
	staleness contract.Staleness
	vms       []*testVM
	// withoutHedging is passed on to the managers.
	withoutHedging bool

	mu   sync.Mutex
	rows int
}

func (c *cluster) countWrites(rows int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows += rows
}

// written returns how many rows the VMs wrote.
func (c *cluster) written() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows
}

// all returns the VMs that were started.
func (c *cluster) all() []*testVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.vms)
}

func newCluster(t *testing.T, staleness contract.Staleness) *cluster {
	weights := &testWeights{version: 1, at: time.Now()}
	c := &cluster{
		t:         t,
		tables:    memory.NewTables(),
		board:     &board{},
		weights:   weights,
		engine:    &testEngine{weights: weights, runs: make(map[string]int)},
		view:      contract.NewView(),
		staleness: staleness,
	}
	terms := contract.DefaultContract(testAccount)
	terms.Staleness = staleness
	next, err := contract.Empty().Apply(contract.Entry{Revision: 1, Kind: contract.EditContract, Contract: &terms})
	if err != nil {
		t.Fatal(err)
	}
	c.view.Advance(next)
	return c
}

// start adds a VM whose calls to the store suffer the faults, by the number of
// the call from 1.
func (c *cluster) start(name string, faults map[int]testFault) *testVM {
	ctx, cancel := context.WithCancel(context.Background())
	v := &testVM{name: name, cluster: c, cancel: cancel, closed: make(chan struct{}), faults: faults}
	history := NewHistory(c.weights)
	v.manager = NewManager(Config{
		VM:             name,
		Tables:         v,
		Leases:         v,
		Workers:        v,
		Versions:       history,
		Scorer:         c.scorer,
		View:           c.view,
		Events:         event.NewRecorder(name, 4096, event.NewClock(time.Now), zap.NewNop()),
		Registerer:     prometheus.NewRegistry(),
		Period:         func() time.Duration { return time.Second },
		WithoutHedging: c.withoutHedging,
	})
	c.mu.Lock()
	c.vms = append(c.vms, v)
	c.mu.Unlock()
	v.loops.Go(func() { v.manager.Run(ctx) })
	v.loops.Go(func() { history.Run(ctx, func() time.Duration { return time.Second }) })
	return v
}

// stop ends all VMs, so that the bubble can end.
func (c *cluster) stop() {
	for _, v := range c.all() {
		v.kill()
		<-v.closed
	}
	synctest.Wait()
}

func testStep(groups, samples int) sample.Definition {
	d := sample.Definition{Model: testModel, MaxTokens: testTokens}
	for g := range groups {
		d.Groups = append(d.Groups, sample.Group{ID: fmt.Sprintf("g%d", g), Prompt: "p", Samples: samples})
	}
	return d
}

// trainer pulls a step by its cursor, from any VM that answers, as the brief's
// trainers do. It keeps what it has taken over restarts.
type trainer struct {
	t       *testing.T
	cluster *cluster
	step    string
	wanted  int
	cursor  int64
	taken   map[string]sample.Sample
	numbers map[int64]sample.Sample
	// tombstones counts the withdrawn samples.
	tombstones int
	// dropsReplies makes every second answer get lost on its way.
	dropsReplies bool
	pulls        int
	published    bool
}

func newTrainer(c *cluster, step string, d sample.Definition) *trainer {
	return &trainer{
		t:       c.t,
		cluster: c,
		step:    step,
		wanted:  d.Count(),
		taken:   make(map[string]sample.Sample),
		numbers: make(map[int64]sample.Sample),
	}
}

// open opens the step through any VM.
func (tr *trainer) open(d sample.Definition) {
	tr.ask(func(m *Manager) error {
		_, err := m.Open(context.Background(), testAccount, tr.step, d)
		return err
	})
}

// ask tries the VMs in turn, the first first, until one answers.
func (tr *trainer) ask(question func(m *Manager) error) {
	deadline := time.Now().Add(20 * time.Minute)
	for time.Now().Before(deadline) {
		for _, v := range tr.cluster.all() {
			if v.dead() {
				continue
			}
			if err := question(v.manager); err == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	tr.t.Fatalf("no VM answered: %d of %d samples, cursor %d", len(tr.taken), tr.wanted, tr.cursor)
}

// pull takes one answer.
func (tr *trainer) pull() []sample.Sample {
	var got []sample.Sample
	tr.ask(func(m *Manager) (err error) {
		got, err = m.Samples(context.Background(), testAccount, tr.step, tr.cursor, time.Second)
		return err
	})
	for _, s := range got {
		if first, came := tr.numbers[s.Number]; !came {
			tr.numbers[s.Number] = s
		} else if !s.Withdrawn && string(encode(first)) != string(encode(s)) {
			tr.t.Fatalf("number %d came as %+v and as %+v", s.Number, first, s)
		}
	}
	return got
}

// take moves the cursor over the samples and checks that they are the next.
func (tr *trainer) take(samples []sample.Sample) {
	for _, s := range samples {
		if s.Number != tr.cursor+1 {
			tr.t.Fatalf("number %d follows %d", s.Number, tr.cursor)
		}
		tr.cursor = s.Number
		if s.Withdrawn {
			tr.tombstones++
			continue
		}
		if bound := tr.cluster.staleness; tr.cluster.weights.now()-sample.OldestVersion(s.Spans) > bound.MaxVersions {
			tr.t.Fatalf("sample %d of version %d came at version %d", s.Number, sample.OldestVersion(s.Spans), tr.cluster.weights.now())
		}
		if _, again := tr.taken[s.Slot.Name()]; again {
			tr.t.Fatalf("slot %s came twice", s.Slot.Name())
		}
		tr.taken[s.Slot.Name()] = s
	}
}

func (tr *trainer) ack() {
	tr.ask(func(m *Manager) error {
		return m.Ack(context.Background(), testAccount, tr.step, tr.cursor)
	})
}

// dropped loses an answer. The first one that held samples is followed by a new
// weight version, so that its samples may be stale when they are asked for again.
func (tr *trainer) dropped(got []sample.Sample) {
	if len(got) > 0 && !tr.published {
		tr.published = true
		tr.cluster.weights.publish()
	}
}

// finish pulls until every slot's sample has come, within a bound in virtual
// time.
func (tr *trainer) finish() {
	deadline := time.Now().Add(20 * time.Minute)
	for len(tr.taken) < tr.wanted {
		if time.Now().After(deadline) {
			tr.t.Fatalf("%d of %d samples came, cursor %d", len(tr.taken), tr.wanted, tr.cursor)
		}
		got := tr.pull()
		tr.pulls++
		if tr.dropsReplies && tr.pulls%2 == 1 {
			tr.dropped(got)
			continue
		}
		tr.take(got)
		tr.ack()
	}
}
