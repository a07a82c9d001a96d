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
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/platformapi/memtables"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/usage"
	"dogwoodpond/internal/wait"
)

const (
	testAccount   contract.Account = "strathallan"
	testModel                      = "berry-1"
	testLeaseTerm                  = 10 * time.Second
)

// faultsByCall maps the index of a VM's call, counted from 0, to the fault that
// is injected into it.
type faultsByCall map[int]faultinject.Fault

// testVM is a VM with injected faults in its calls to the store. It can be
// killed.
type testVM struct {
	*faultinject.Process
	cluster *cluster
	manager *Manager
	loops   sync.WaitGroup
	// closed is closed when all goroutines of the VM have ended.
	closed chan struct{}
}

// calls returns the VM's calls to the store so far.
func (v *testVM) calls() []faultinject.Step {
	var own []faultinject.Step
	for _, step := range v.cluster.platform.Steps() {
		if step.Process == v.Name {
			own = append(own, step)
		}
	}
	return own
}

// Campaign implements Leases with real leases.
func (v *testVM) Campaign(ctx context.Context, name string, held func(context.Context, Guard) (bool, error)) error {
	manager := lease.NewManager(v, v.Name, testLeaseTerm, v.manager.events)
	return manager.Campaign(ctx, name, func(ctx context.Context, g lease.Guard) (bool, error) {
		return held(ctx, uncheckedGuard{g})
	})
}

// uncheckedGuard never reports a lost lease. It stands for the worst case: a
// holder that is paused between the check and its write, past the end of the
// lease.
type uncheckedGuard struct {
	lease.Guard
}

// Check implements Guard.
func (uncheckedGuard) Check() error { return nil }

// Commit implements platformapi.Tables and counts the written rows.
func (v *testVM) Commit(ctx context.Context, txn platformapi.Txn) error {
	v.cluster.countWrites(len(txn.Writes))
	err := v.Process.Commit(ctx, txn)
	if delay := v.cluster.replyDelay; delay != nil && !wait.For(ctx, delay(txn)) {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
	}
	return err
}

// Workers implements Workers.
func (v *testVM) Workers() []Worker {
	if v.cluster.workers != nil {
		return v.cluster.workers.Workers()
	}
	workers := []Worker{{VM: v.Name, FailureDomain: v.Name, Runner: v.cluster.engine}}
	for _, other := range v.cluster.startedVMs() {
		if other != v && !other.Killed() {
			workers = append(workers, Worker{VM: other.Name, FailureDomain: other.Name, Runner: v.cluster.engine})
		}
	}
	return workers
}

// testEngine is a fake engine that generates answers in virtual time.
type testEngine struct {
	mu      sync.Mutex
	weights *testWeights
	// duration returns how long an attempt at a slot takes; attempt counts from
	// 1.
	duration func(slot string, attempt int) time.Duration
	// corrupt changes a result before it is returned.
	corrupt  func(request generate.Request, attempt int, result *generate.Result) error
	attempts map[string]int
	// tokens counts all generated tokens, including those of canceled attempts.
	tokens int
}

const (
	testTokens = 8
	// testTokenTime is the time to generate one token.
	testTokenTime = 50 * time.Millisecond
)

// Generate implements generate.Runner.
func (e *testEngine) Generate(ctx context.Context, request generate.Request, _ generate.Sink) (generate.Result, error) {
	e.mu.Lock()
	e.attempts[request.Slot]++
	attempt := e.attempts[request.Slot]
	took := testTokens*testTokenTime + time.Duration(xxhash.Sum64String(request.Slot)%200)*time.Millisecond
	if e.duration != nil {
		took = e.duration(request.Slot, attempt)
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
	if e.corrupt != nil {
		if err := e.corrupt(request, attempt, &result); err != nil {
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

// testWeights is a fake weight store.
type testWeights struct {
	mu      sync.Mutex
	version int64
	at      time.Time
	// publishedAt holds the publication times of version 2 and later.
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

// age returns a sample's actual age now.
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

// Latest implements platformapi.Weights.
func (w *testWeights) Latest(context.Context) ([]platformapi.WeightVersion, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, errors.WithStack(&fault.StoreUnavailable{Operation: "weights"})
	}
	return []platformapi.WeightVersion{{Model: testModel, Version: w.version, PublishedAt: w.at}}, nil
}

// cluster is a set of VMs with one store, in a synctest bubble.
type cluster struct {
	t        *testing.T
	platform *faultinject.Cluster
	tables   *memtables.Tables
	engine   *testEngine
	weights  *testWeights
	view     *contract.View
	scorer   Scorer
	// workers replaces the VMs' own lists of workers, unless it is nil.
	workers Workers
	// staleness is the bound of the contract.
	staleness contract.Staleness
	vms       []*testVM
	// withoutHedging is passed to the managers.
	withoutHedging bool
	// replyDelay returns how long the reply to a commit is on its way; nil means no
	// time.
	replyDelay func(platformapi.Txn) time.Duration

	mu       sync.Mutex
	injected map[string]faultsByCall
	rows     int
	used     usage.Counts
}

func (c *cluster) countWrites(rows int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows += rows
}

// fault returns the fault to inject into a call to the store.
func (c *cluster) fault(step faultinject.Step) faultinject.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.injected[step.Process][step.Index]
}

// Add implements UsageRecorder.
func (c *cluster) Add(_ contract.Account, counts usage.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used.Requests += counts.Requests
	c.used.Tokens += counts.Tokens
}

// billed returns the usage that the VMs recorded, once the bubble is idle: the
// trainer can receive a sample before its owner has the reply of the commit.
func (c *cluster) billed() usage.Counts {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// written returns how many rows the VMs wrote.
func (c *cluster) written() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows
}

// startedVMs returns the VMs that were started, dead ones included.
func (c *cluster) startedVMs() []*testVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.vms)
}

func newCluster(t *testing.T, staleness contract.Staleness) *cluster {
	weights := &testWeights{version: 1, at: time.Now()}
	c := &cluster{
		t:         t,
		weights:   weights,
		engine:    &testEngine{weights: weights, attempts: make(map[string]int)},
		view:      contract.NewView(),
		staleness: staleness,
		injected:  make(map[string]faultsByCall),
	}
	c.platform = faultinject.NewCluster(c.fault)
	c.tables = c.platform.Rows
	terms := contract.DefaultContract(testAccount)
	terms.Staleness = staleness
	next, err := contract.EmptySnapshot().Apply(contract.Entry{Revision: 1, Kind: contract.EditContract, Contract: &terms})
	if err != nil {
		t.Fatal(err)
	}
	c.view.Advance(next)
	return c
}

// start adds a VM and injects the faults into its calls to the store.
func (c *cluster) start(name string, faults faultsByCall) *testVM {
	c.mu.Lock()
	c.injected[name] = faults
	c.mu.Unlock()
	v := &testVM{Process: c.platform.Start(context.Background(), name), cluster: c, closed: make(chan struct{})}
	history := NewVersionHistory(c.weights)
	v.manager = NewManager(Config{
		VM:             name,
		Tables:         v,
		Leases:         v,
		Workers:        v,
		Versions:       history,
		Scorer:         c.scorer,
		Usage:          c,
		View:           c.view,
		Events:         event.NewRecorder(name, 4096, event.NewClock(time.Now), zap.NewNop()),
		Registerer:     prometheus.NewRegistry(),
		SearchInterval: func() time.Duration { return time.Second },
		WithoutHedging: c.withoutHedging,
	})
	c.mu.Lock()
	c.vms = append(c.vms, v)
	c.mu.Unlock()
	v.loops.Go(func() { v.manager.Run(v.Context) })
	v.loops.Go(func() { history.Run(v.Context, func() time.Duration { return time.Second }) })
	context.AfterFunc(v.Context, func() {
		v.manager.Close()
		v.loops.Wait()
		close(v.closed)
	})
	return v
}

// stop kills all VMs, so that the bubble can end.
func (c *cluster) stop() {
	for _, v := range c.startedVMs() {
		v.Kill()
	}
	for _, v := range c.startedVMs() {
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

// trainer pulls a step by its cursor, from any VM that answers. It stores the
// samples that it has received, as a trainer does that survives restarts.
type trainer struct {
	t        *testing.T
	cluster  *cluster
	step     string
	total    int
	cursor   int64
	received map[string]sample.Sample
	byNumber map[int64]sample.Sample
	// tombstones counts the withdrawn samples.
	tombstones int
	// dropsReplies makes the trainer lose every second reply.
	dropsReplies bool
	// pullNumber is the number of the latest pull.
	pullNumber int64
	pulls      int
	published  bool
}

func newTrainer(c *cluster, step string, d sample.Definition) *trainer {
	return &trainer{
		t:        c.t,
		cluster:  c,
		step:     step,
		total:    d.Count(),
		received: make(map[string]sample.Sample),
		byNumber: make(map[int64]sample.Sample),
	}
}

// open opens the step through any VM.
func (tr *trainer) open(d sample.Definition) {
	tr.callAny(func(m *Manager) error {
		_, err := m.Open(context.Background(), testAccount, tr.step, d)
		return err
	})
}

// callAny calls the VMs in the order of their start until one succeeds.
func (tr *trainer) callAny(call func(m *Manager) error) {
	deadline := time.Now().Add(20 * time.Minute)
	for time.Now().Before(deadline) {
		for _, v := range tr.cluster.startedVMs() {
			if v.Killed() {
				continue
			}
			if err := call(v.manager); err == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	tr.t.Fatalf("no VM answered: %d of %d samples, cursor %d", len(tr.received), tr.total, tr.cursor)
}

// openOwnedBy opens the step through v, the only VM, and waits until v owns it.
// A VM that was started at the same moment could become the owner instead.
func (tr *trainer) openOwnedBy(v *testVM, d sample.Definition) {
	tr.t.Helper()
	tr.open(d)
	time.Sleep(100 * time.Millisecond)
	owned := func(r event.Record) bool { return r.Number == event.StepOwned }
	if !slices.ContainsFunc(v.manager.events.Since(event.Stamp{}), owned) {
		tr.t.Fatalf("%s does not own the step", v.Name)
	}
}

// pull returns the samples after the cursor, and checks that a number always
// has the same content.
func (tr *trainer) pull() []sample.Sample {
	var got []sample.Sample
	tr.callAny(func(m *Manager) (err error) {
		tr.pullNumber++
		pull := sample.Pull{After: tr.cursor, Number: tr.pullNumber, Wait: time.Second}
		got, err = m.Samples(context.Background(), testAccount, tr.step, pull)
		return err
	})
	for _, s := range got {
		if first, ok := tr.byNumber[s.Number]; !ok {
			tr.byNumber[s.Number] = s
		} else if !s.Withdrawn && string(platformapi.EncodeValue(first)) != string(platformapi.EncodeValue(s)) {
			tr.t.Fatalf("number %d was delivered as %+v and as %+v", s.Number, first, s)
		}
	}
	return got
}

// receive moves the cursor past the samples. It checks that they follow the
// cursor without gaps, are within the bound in versions, and fill no slot
// twice.
func (tr *trainer) receive(samples []sample.Sample) {
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
			tr.t.Fatalf("sample %d of version %d was delivered at version %d", s.Number, sample.OldestVersion(s.Spans), tr.cluster.weights.now())
		}
		if _, ok := tr.received[s.Slot.Name()]; ok {
			tr.t.Fatalf("slot %s was delivered twice", s.Slot.Name())
		}
		tr.received[s.Slot.Name()] = s
	}
}

func (tr *trainer) ack() {
	tr.callAny(func(m *Manager) error {
		return m.Ack(context.Background(), testAccount, tr.step, tr.cursor)
	})
}

// loseReply simulates a lost reply. After the first reply with samples it
// publishes a new weight version, so that these samples may be stale when they
// are pulled again.
func (tr *trainer) loseReply(got []sample.Sample) {
	if len(got) > 0 && !tr.published {
		tr.published = true
		tr.cluster.weights.publish()
	}
}

// finish pulls until a sample of every slot has arrived, within a timeout in
// virtual time.
func (tr *trainer) finish() {
	deadline := time.Now().Add(20 * time.Minute)
	for len(tr.received) < tr.total {
		if time.Now().After(deadline) {
			tr.t.Fatalf("%d of %d samples received, cursor %d", len(tr.received), tr.total, tr.cursor)
		}
		got := tr.pull()
		tr.pulls++
		if tr.dropsReplies && tr.pulls%2 == 1 {
			tr.loseReply(got)
			continue
		}
		tr.receive(got)
		tr.ack()
	}
}
