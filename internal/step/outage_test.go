package step

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/wait"
)

const (
	outageItems  = 12
	outageEvents = 10
)

// outagePlay is a seeded play of three VMs at which a trainer submits one step around an outage
// of the store.
type outagePlay struct {
	seed    uint64
	cluster *cluster
	random  *rand.Rand
	stores  map[string]*remoteStore
	list    []Item
	// fallible is true if attempts at engines and score calls may fail.
	fallible bool

	// mu guards the fields below.
	mu sync.Mutex
	// positions holds the result that was read first at each position.
	positions []Result
	// failures holds what went wrong, each once.
	failures []string
}

func newOutagePlay(t *testing.T, seed uint64) *outagePlay {
	p := &outagePlay{
		seed: seed, cluster: newCluster(t, "e1", "e2"), random: rand.New(rand.NewPCG(seed, 0)),
		stores: map[string]*remoteStore{}, list: items(outageItems),
	}
	if seed%3 != 0 {
		p.list = scoredItems(outageItems)
	}
	if p.random.IntN(2) == 0 {
		for i := range p.list {
			p.list[i].ExpectedTokens = outageEvents
		}
	}
	p.fallible = p.random.IntN(3) == 0
	p.cluster.deathPeriod = deathDelay
	unknown := p.random.IntN(2) == 0
	p.cluster.storeOf = func(vm string) rowstore.Store {
		p.stores[vm] = newRemoteStore(p.cluster.store, seed<<8|uint64(vm[0]), unknown)
		return p.stores[vm]
	}
	p.cluster.observe = func(record event.Record) {
		if record.Number == event.ItemListedTwice {
			p.fail("event of item %s listed twice at %d, %s", record.Slot, record.Position, record.Detail)
		}
	}
	slowest := 1 + p.random.IntN(4)
	p.cluster.engines.behave[""] = func(item string, n int) reply { return p.reply(item, n, slowest) }
	p.cluster.scorer.behave = p.score
	return p
}

// fail records a failure.
func (p *outagePlay) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.failures {
		if known == text {
			return
		}
	}
	p.failures = append(p.failures, text)
}

// between returns a random time of the play.
func (p *outagePlay) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.random.Int64N(int64(to-from)))
}

// chance returns a random number below n that depends on the seed and the name only, so that it
// is the same whatever the order of concurrent calls.
func (p *outagePlay) chance(n int, name ...any) int {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, append([]any{p.seed, " "}, name...)...)
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).IntN(n)
}

// reply returns an engine's reply to attempt n of an item.
func (p *outagePlay) reply(item string, n, slowest int) reply {
	r := goodReply
	r.events, r.gap = outageEvents, time.Duration(60+p.chance(100*slowest, "gap", item, n))*time.Millisecond
	if !p.fallible || p.chance(5, "fails", item, n) > 0 {
		return r
	}
	switch p.chance(4, "fault", item, n) {
	case 0:
		// An item is abandoned after three answers of this status.
		if n == 1 {
			r.status = http.StatusInternalServerError
		}
	case 1:
		r.status = 0
	case 2:
		r.breakAfter = 1 + p.chance(outageEvents-1, "break", item, n)
	case 3:
		r.status, r.notRun = http.StatusServiceUnavailable, true
	}
	return r
}

// score takes some time, and fails at some of the first calls of an item.
func (p *outagePlay) score(ctx context.Context, item string, n int) error {
	if !wait.For(ctx, time.Duration(p.chance(400, "score", item, n))*time.Millisecond) || p.fallible && n < 3 && p.chance(4, "no score", item, n) == 0 {
		return errUnavailable
	}
	return nil
}

// note compares results that were read, from the first position on, with those read before.
func (p *outagePlay) note(reader string, results []Result) {
	for position, r := range results {
		p.mu.Lock()
		isNew := position == len(p.positions)
		if isNew {
			p.positions = append(p.positions, r)
		}
		first := p.positions[position]
		p.mu.Unlock()
		if !sameOutageResult(first, r) {
			p.fail("position %d has item %s at %s and had item %s", position, r.Item, reader, first.Item)
		}
	}
}

func sameOutageResult(a, b Result) bool {
	return a.Item == b.Item && a.Outcome == b.Outcome && a.Text == b.Text && a.Score == b.Score
}

// read reads the results at a VM and in the store until ctx ends.
func (p *outagePlay) read(ctx context.Context, v *testVM, interval time.Duration) {
	for wait.For(ctx, interval) {
		if results, _, err := v.Results(ctx, "s", "acc", 0, 0); err == nil {
			p.note(v.VM, results)
		}
		if rows, err := readAllResults(ctx, p.cluster.store, "s"); err == nil {
			p.note("the store", rows)
		}
	}
}

// submit submits the step at a VM until it is accepted, as a trainer does.
func (p *outagePlay) submit(ctx context.Context, v *testVM, delay time.Duration) {
	for wait.For(ctx, delay) && v.Submit(ctx, spec("s"), p.list) != nil {
		delay = submitRetryAfter
	}
}

// run plays the seed.
func (p *outagePlay) run(ctx context.Context) {
	const beforeOutage = time.Second
	outage := p.between(2500*time.Millisecond, 6*time.Second)
	var vms []*testVM
	var tasks sync.WaitGroup
	stop := map[string]context.CancelFunc{}
	for _, name := range []string{"a", "b", "c"} {
		v := p.cluster.start(name)
		vmCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		vms, stop[name] = append(vms, v), cancel
		submitAfter, readEach := beforeOutage+p.between(-200*time.Millisecond, outage+300*time.Millisecond), p.between(10*time.Millisecond, 60*time.Millisecond)
		cutFor := outage + p.between(0, 500*time.Millisecond)
		tasks.Go(func() { p.submit(vmCtx, v, submitAfter) })
		tasks.Go(func() { p.read(vmCtx, v, readEach) })
		tasks.Go(func() {
			wait.For(ctx, beforeOutage)
			p.stores[name].setCut(true)
			wait.For(ctx, cutFor)
			p.stores[name].setCut(vmCtx.Err() != nil)
		})
	}
	tasks.Go(func() {
		wait.For(ctx, beforeOutage)
		p.cluster.store.SetDown(true)
		wait.For(ctx, outage)
		p.cluster.store.SetDown(false)
	})
	if p.random.IntN(2) == 0 {
		v, leaves := vms[p.random.IntN(len(vms))], p.random.IntN(2) == 0
		wait.For(ctx, beforeOutage+p.between(outage/2, outage+4*time.Second))
		if leaves {
			leaveCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			v.Leave(leaveCtx)
			cancel()
		}
		stop[v.VM]()
		p.cluster.crash(v)
		p.stores[v.VM].setCut(true)
	}
	wait.For(ctx, beforeOutage+outage)
	const patience = 30 * time.Second
	for deadline := time.Now().Add(patience); time.Now().Before(deadline) && p.distinct() < outageItems; {
		wait.For(ctx, 100*time.Millisecond)
	}
	wait.For(ctx, 3*time.Second)
	for _, v := range vms {
		if p.cluster.dead[v.VM] {
			continue
		}
		results, total, err := v.Results(ctx, "s", "acc", 0, 0)
		p.note(v.VM, results)
		if err != nil || total != outageItems || len(results) != outageItems {
			p.fail("%s has %d results of %d items at the end, %v", v.VM, len(results), total, err)
		}
		stop[v.VM]()
	}
	tasks.Wait()
	p.checkRows(ctx)
}

// distinct returns the number of items that were read.
func (p *outagePlay) distinct() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range p.positions {
		seen[r.Item] = true
	}
	return len(seen)
}

// checkRows checks that the rows list each item once, with its whole text and its own score.
func (p *outagePlay) checkRows(ctx context.Context) {
	rows, err := readAllResults(ctx, p.cluster.store, "s")
	if err != nil || len(rows) != outageItems || len(rows) < len(p.positions) {
		state, _ := readState(ctx, p.cluster.store, "s")
		p.fail("the rows list %d results, epoch %d, %v", len(rows), state.Epoch, err)
	}
	p.note("the store", rows)
	seen := map[string]int{}
	for position, r := range rows {
		if first, ok := seen[r.Item]; ok {
			p.fail("item %s at positions %d and %d", r.Item, first, position)
			continue
		}
		seen[r.Item] = position
		score := ""
		if p.seed%3 != 0 {
			score = "score of call-" + r.Item
		}
		if r.Outcome != Completed || r.Text != textOf(r.Item, outageEvents) || r.Score != score {
			p.fail("item %s is %s with the text %q and the score %q", r.Item, r.Outcome, r.Text, r.Score)
		}
	}
}

// seedsFrom returns the seeds that an environment variable names in the form "first-last", or else the
// given ones.
func seedsFrom(t *testing.T, env string, seeds []uint64) []uint64 {
	t.Helper()
	if first, last, ok := strings.Cut(os.Getenv(env), "-"); ok {
		seeds = nil
		from, err := strconv.ParseUint(first, 10, 64)
		to, lastErr := strconv.ParseUint(last, 10, 64)
		if err = errors.CombineErrors(err, lastErr); err != nil {
			t.Fatal(err)
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// outageSeedsEnv names the environment variable that replaces the seeds of
// TestStepsAroundOutage, in the form "first-last".
const outageSeedsEnv = "DOGWOODPOND_OUTAGE_SEEDS"

// Guards against results that are listed twice, changed or lost when a step is submitted at
// several VMs around an outage of the store.
func TestStepsAroundOutage(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	// A second result of an item that the previous owner had committed.
	seeds = append(seeds, 148, 197, 245, 280, 314, 374, 377, 385, 610, 1370)
	for _, seed := range seedsFrom(t, outageSeedsEnv, seeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			bubble(t, func(t *testing.T) {
				p := newOutagePlay(t, seed)
				p.run(t.Context())
				for _, failure := range p.failures {
					t.Errorf("seed %d: %s", seed, failure)
				}
			})
		})
	}
}

// Guards against a step whose events don't tell that the store delayed its acceptance. Without an
// early run at the VM that accepts it, the acceptance is its first event.
func TestStepOpenedTellsTimeOfAcceptance(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const outage = 3 * time.Second
		cl := newCluster(t, "e1")
		cl.preferred = "b"
		a := cl.start("a")
		cl.start("b")
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		time.AfterFunc(outage, func() { cl.store.SetDown(false) })
		submit(t, a, spec("s"), items(4))
		opened := a.Events.Select(event.Query{Step: "s", Numbers: []event.Number{event.StepOpened}})
		if len(opened) != 1 {
			t.Fatalf("%d events tell the acceptance, want 1", len(opened))
		}
		if took, err := time.ParseDuration(opened[0].Detail); err != nil || took < outage || took > outage+time.Second {
			t.Errorf("the acceptance took %q by its event, want about %s", opened[0].Detail, outage)
		}
	})
}
