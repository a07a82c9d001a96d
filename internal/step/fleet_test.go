package step

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

// deathDelay is how long the other VMs take a dead process for alive.
const deathDelay = 1500 * time.Millisecond

// fleetPlay is a seeded play of three to five VMs. A trainer submits one step of more items than a
// batch holds, at any of them, with several copies at one VM at the same time. The VMs lose the
// store for different times, freeze, leave, are killed and restarted; the preferred owner changes.
type fleetPlay struct {
	*outagePlay
	names  []string
	events int
	// padded is true if the texts have different sizes: a batch takes several rows, and some texts
	// are objects.
	padded       bool
	incarnations map[string]int
	// readers ends once the trainer has read all that it wants.
	readers context.Context
	// faulty is false once the store answers all commits.
	faulty  bool
	commits int

	// state guards the fields below.
	state  sync.Mutex
	live   map[string]*testVM
	deaths map[string]time.Time
	// seen holds the result that was read first at each position.
	seen map[int]Result
	// adopted holds, by process and item, when a run adopted a result.
	adopted map[string]time.Time
	stats   playStats
}

// playStats counts what happened in plays.
type playStats struct {
	// earlyRuns, claims and adoptions count events, claims those of takeovers too; adoptedRunning
	// counts the adopted items with an attempt in progress.
	earlyRuns, claims, adoptions, adoptedRunning int
	// started counts the attempts, canceled those that ended before their text was complete.
	started, canceled int
	// copies is the largest number of copies at one VM at the same time.
	copies int
	// took is the time from the first submission until the trainer had read all results.
	took time.Duration
}

func newFleetPlay(t *testing.T, seed uint64) *fleetPlay {
	p := &fleetPlay{
		outagePlay: &outagePlay{
			seed: seed, cluster: newCluster(t, "e1", "e2", "e3"), random: rand.New(rand.NewPCG(seed, 7)),
			stores: map[string]*remoteStore{},
		},
		incarnations: map[string]int{}, live: map[string]*testVM{}, deaths: map[string]time.Time{},
		seen: map[int]Result{}, adopted: map[string]time.Time{}, faulty: true,
	}
	p.names = []string{"a", "b", "c", "d", "e"}[:3+p.random.IntN(3)]
	n := 61 + p.random.IntN(20)
	p.list = scoredItems(n)
	if seed%4 == 0 {
		p.list = items(n)
	}
	p.events = 5 + p.random.IntN(6)
	if p.random.IntN(2) == 0 {
		for i := range p.list {
			p.list[i].ExpectedTokens = float64(p.events)
		}
	}
	p.padded = p.random.IntN(8) == 0
	unknown, pageRows := p.random.IntN(2) == 0, p.random.IntN(3)
	p.cluster.storeOf = func(vm string) rowstore.Store {
		p.state.Lock()
		defer p.state.Unlock()
		p.incarnations[vm]++
		store := newRemoteStore(p.cluster.store, seed<<16|uint64(vm[0])<<8|uint64(p.incarnations[vm]), unknown)
		store.pageRows = pageRows
		p.stores[vm] = store
		return store
	}
	p.cluster.transportOf = func(name, incarnation string) target.Transport {
		return &playTransport{play: p, process: incarnation, store: p.stores[name]}
	}
	p.cluster.deathPeriod = deathDelay
	p.cluster.alive = func(id, incarnation string) bool {
		p.state.Lock()
		defer p.state.Unlock()
		died, dead := p.deaths[incarnation]
		return !dead || time.Since(died) < deathDelay
	}
	p.cluster.storeAvailable = func(name string) bool { return !p.storeOf(name).isCut() }
	p.cluster.observe = p.handleEvent
	slowest := 1 + p.random.IntN(4)
	p.cluster.engines.behave[""] = func(item string, n int) reply {
		r := goodReply
		r.events, r.pad = p.events, p.pad(item)
		r.gap = time.Duration(20+p.chance(150*slowest, "gap", item, n)) * time.Millisecond
		return r
	}
	p.cluster.scorer.behave = p.score
	p.cluster.store.SetFault(p.fault)
	return p
}

// pad returns what is appended to each event of an item.
func (p *fleetPlay) pad(item string) string {
	if !p.padded {
		return ""
	}
	if p.chance(12, "object", item) == 0 {
		// A text of this size is stored as an object.
		return strings.Repeat("y", 70<<10/p.events)
	}
	return strings.Repeat("x", p.chance(20<<10/p.events, "pad", item))
}

// text returns the complete text of an item.
func (p *fleetPlay) text(item string) string {
	pad := p.pad(item)
	var lines []string
	for n := 1; n <= p.events; n++ {
		lines = append(lines, fmt.Sprintf("%s-%d%s", item, n, pad))
	}
	return strings.Join(lines, "\n")
}

// fault chooses the fault of a commit. Commits without an answer may take effect seconds later.
func (p *fleetPlay) fault(txn rowstore.Txn) memory.Fault {
	p.state.Lock()
	defer p.state.Unlock()
	p.commits++
	if !p.faulty || len(txn.Puts) == 0 || p.chance(6, "commit?", p.commits) > 0 {
		return memory.NoFault
	}
	return []memory.Fault{memory.AnswerLost, memory.EffectDelayed, memory.Refused, memory.RequestLost}[p.chance(4, "commit", p.commits)]
}

// handleEvent counts events, and notes the items whose results a run adopts.
func (p *fleetPlay) handleEvent(record event.Record) {
	p.state.Lock()
	defer p.state.Unlock()
	switch record.Number {
	case event.ItemListedTwice:
		p.fail("event of item %s listed twice at %d, %s", record.Slot, record.Position, record.Detail)
	case event.StepStartedEarly:
		p.stats.earlyRuns++
	case event.StepOwned:
		if record.Epoch > 1 {
			p.stats.claims++
		}
	case event.ResultsAdopted:
		p.stats.adoptions++
		var pending, running int
		if _, err := fmt.Sscanf(record.Detail, "%d pending, %d running", &pending, &running); err == nil {
			p.stats.adoptedRunning += running
		}
		v := p.live[record.VM]
		if v == nil {
			return
		}
		if r := v.runOf("s"); r != nil {
			r.mu.Lock()
			for item := range r.list.positions {
				p.adopted[v.Incarnation+" "+item] = time.Now()
			}
			r.mu.Unlock()
		}
	}
}

// playTransport is the engines as one process reaches them. Its calls stall while the VM is frozen.
type playTransport struct {
	play    *fleetPlay
	process string
	store   *remoteStore
}

func (t *playTransport) Call(ctx context.Context, entry *target.Entry, request *target.Request) (*target.Response, error) {
	t.store.awaitThaw(ctx)
	t.play.noteAttempt(t.process, request.ID, "starts")
	response, err := t.play.cluster.engines.Call(ctx, entry, request)
	if err != nil {
		return nil, err
	}
	response.Body = &playBody{ReadCloser: response.Body, ctx: ctx, transport: t, item: request.ID}
	return response, nil
}

// playBody is an engine's answer to a process of a play.
type playBody struct {
	io.ReadCloser
	ctx       context.Context
	transport *playTransport
	item      string
	ended     bool
}

func (b *playBody) Read(p []byte) (int, error) {
	b.transport.store.awaitThaw(b.ctx)
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.ended {
		b.ended = true
		b.transport.play.noteEnd(b.transport.process, b.item, err)
	}
	return n, err
}

// noteAttempt notes the start or the normal end of an attempt. Neither may come after the adoption
// of a result of its item.
func (p *fleetPlay) noteAttempt(process, item, change string) {
	p.state.Lock()
	defer p.state.Unlock()
	if change == "starts" {
		p.stats.started++
	}
	if at, ok := p.adopted[process+" "+item]; ok && time.Since(at) > 0 {
		p.fail("an attempt of %s at %s %s %s after the adoption", process, item, change, time.Since(at))
	}
}

func (p *fleetPlay) noteEnd(process, item string, err error) {
	if errors.Is(err, io.EOF) {
		p.noteAttempt(process, item, "completes")
		return
	}
	p.state.Lock()
	defer p.state.Unlock()
	p.stats.canceled++
}

// note compares results that were read from a position on with those read before.
func (p *fleetPlay) note(reader string, from int, results []Result) {
	p.state.Lock()
	defer p.state.Unlock()
	for i, r := range results {
		first, ok := p.seen[from+i]
		if !ok {
			p.seen[from+i], first = r, r
		}
		if !sameOutageResult(first, r) {
			p.fail("position %d has item %s at %s and had item %s", from+i, r.Item, reader, first.Item)
		}
	}
}

// seenCount returns the number of positions that were read.
func (p *fleetPlay) seenCount() int {
	p.state.Lock()
	defer p.state.Unlock()
	return len(p.seen)
}

// liveVM returns the running process of a VM.
func (p *fleetPlay) liveVM(name string) *testVM {
	p.state.Lock()
	defer p.state.Unlock()
	return p.live[name]
}

// startVM starts the next incarnation of a VM.
func (p *fleetPlay) startVM(name string) {
	incarnation := name + "-" + strconv.Itoa(p.incarnations[name]+1)
	v := p.cluster.startIncarnation(name, incarnation)
	p.state.Lock()
	defer p.state.Unlock()
	p.live[name] = v
}

// killVM ends the process of a VM.
func (p *fleetPlay) killVM(name string) {
	v := p.liveVM(name)
	p.state.Lock()
	p.deaths[v.Incarnation] = time.Now()
	p.state.Unlock()
	p.stores[name].setFrozen(false)
	v.kill()
}

// read reads random positions at random VMs, and the store, until readers ends.
func (p *fleetPlay) read(n int) {
	random := rand.New(rand.NewPCG(p.seed, 100+uint64(n)))
	for wait.For(p.readers, time.Duration(10+random.IntN(90))*time.Millisecond) {
		from := random.IntN(p.seenCount() + 1)
		if random.IntN(6) == 0 {
			p.readStore()
			continue
		}
		name := p.names[random.IntN(len(p.names))]
		v := p.liveVM(name)
		ctx, cancel := context.WithTimeout(p.readers, 3*time.Second)
		results, _, err := v.Results(ctx, "s", "acc", from, time.Duration(random.IntN(300))*time.Millisecond)
		cancel()
		if err == nil {
			p.note(v.Incarnation, from, results)
		}
	}
}

// readStore reads all rows in the store.
func (p *fleetPlay) readStore() []Result {
	rows, err := readAllResults(p.readers, p.cluster.store, "s")
	if err == nil {
		err = loadOffloadedTexts(p.readers, p.cluster.store, rows)
	}
	if err != nil {
		return nil
	}
	p.note("the store", 0, rows)
	return rows
}

// submit sends copies of the step to random VMs until one is accepted. The trainer doesn't wait for a copy
// before it sends the next one, and gives each a time of its own.
func (p *fleetPlay) submit(ctx context.Context) {
	random := rand.New(rand.NewPCG(p.seed, 8))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	var mu sync.Mutex
	accepted, waiting := false, map[string]int{}
	favorite := p.names[random.IntN(len(p.names))]
	const maxCopies = 60
	for range maxCopies {
		name := p.names[random.IntN(len(p.names))]
		if random.IntN(3) == 0 {
			name = favorite
		}
		patience := 300*time.Millisecond + time.Duration(random.IntN(8700))*time.Millisecond
		if random.IntN(4) > 0 {
			patience = submitTimeout
		}
		tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			mu.Lock()
			waiting[name]++
			p.state.Lock()
			p.stats.copies = max(p.stats.copies, waiting[name])
			p.state.Unlock()
			mu.Unlock()
			s := spec("s")
			s.AbandonAfter = time.Hour
			err := p.liveVM(name).Submit(ctx, s, slices.Clone(p.list))
			mu.Lock()
			defer mu.Unlock()
			waiting[name]--
			accepted = accepted || err == nil
		})
		wait.For(ctx, time.Duration(50+random.IntN(1450))*time.Millisecond)
		mu.Lock()
		done := accepted
		mu.Unlock()
		if done {
			return
		}
	}
}

// cutOff cuts a VM off from the store for a time, once or twice.
func (p *fleetPlay) cutOff(ctx context.Context, name string, after, length, again time.Duration) {
	for _, from := range []time.Duration{after, again} {
		if !wait.For(ctx, from) {
			return
		}
		p.storeOf(name).setCut(true)
		wait.For(ctx, length)
		p.storeOf(name).setCut(false)
	}
}

func (p *fleetPlay) storeOf(name string) *remoteStore {
	p.state.Lock()
	defer p.state.Unlock()
	return p.stores[name]
}

// injectFaults changes the preferred owner, runs late commits, and freezes, kills or stops VMs.
func (p *fleetPlay) injectFaults(ctx context.Context) {
	for range 12 {
		wait.For(ctx, p.between(0, 900*time.Millisecond))
		name := p.names[p.random.IntN(len(p.names))]
		switch p.random.IntN(9) {
		case 0, 1, 2:
			p.cluster.store.RunDelayed()
		case 3, 4:
			incarnation := p.liveVM(name).Incarnation
			p.cluster.mu.Lock()
			p.cluster.preferred, p.cluster.preferredIncarnation = name, incarnation
			if p.random.IntN(3) == 0 {
				p.cluster.preferred = ""
			}
			p.cluster.mu.Unlock()
		case 5, 6:
			store := p.storeOf(name)
			store.setFrozen(true)
			wait.For(ctx, p.between(200*time.Millisecond, 3*time.Second))
			store.setFrozen(false)
		case 7:
			leaveCtx, done := context.WithTimeout(ctx, p.between(50*time.Millisecond, 2*time.Second))
			p.liveVM(name).Leave(leaveCtx)
			done()
			p.killVM(name)
			p.startVM(name)
		case 8:
			p.killVM(name)
			wait.For(ctx, p.between(0, 3*time.Second))
			p.startVM(name)
		}
	}
}

// run plays the seed.
func (p *fleetPlay) run(ctx context.Context) {
	readers, stopReaders := context.WithCancel(ctx)
	defer stopReaders()
	p.readers = readers
	for _, name := range p.names {
		p.startVM(name)
	}
	var tasks, reads sync.WaitGroup
	for n := range 2 {
		reads.Go(func() { p.read(n) })
	}
	wait.For(ctx, time.Second)
	submitted := time.Now()
	// The VMs lose the store at about the same time. In most plays it returns to all of them within a
	// short time too.
	outage := p.between(time.Second, 6*time.Second)
	together := p.random.IntN(4) > 0
	for _, name := range p.names {
		after, length, again := p.between(-500*time.Millisecond, 300*time.Millisecond), p.between(0, 6*time.Second), p.between(0, 5*time.Second)
		if together {
			length = outage + p.between(0, 800*time.Millisecond)
		}
		if p.random.IntN(4) == 0 {
			again = time.Hour
		}
		cutCtx, cancel := context.WithTimeout(ctx, 15*time.Second)
		defer cancel()
		tasks.Go(func() { p.cutOff(cutCtx, name, after, length, again) })
	}
	endsEarly := p.random.IntN(5) == 0
	tasks.Go(func() { p.submit(ctx) })
	if together && p.random.IntN(4) > 0 {
		// The first owner commits results, and others claim the step without faults.
		wait.For(ctx, outage+p.between(0, 2*time.Second))
	}
	p.injectFaults(ctx)
	tasks.Wait()
	p.state.Lock()
	p.faulty = false
	p.state.Unlock()
	for deadline := time.Now().Add(90 * time.Second); !endsEarly && time.Now().Before(deadline) && p.seenCount() < len(p.list); {
		wait.For(ctx, 50*time.Millisecond)
	}
	p.stats.took = time.Since(submitted)
	if endsEarly {
		wait.For(ctx, p.between(0, time.Second))
	}
	p.cluster.store.RunDelayed()
	p.end(ctx, endsEarly)
	stopReaders()
	reads.Wait()
	p.checkOnce(endsEarly)
}

// end ends the step, as the trainer does, and checks that no results and no attempts follow.
func (p *fleetPlay) end(ctx context.Context, endsEarly bool) {
	if err := p.liveVM(p.names[0]).End(ctx, "s", "acc"); err != nil {
		p.fail("the end of the step: %v", err)
		return
	}
	atEnd := len(p.readStore())
	wait.For(ctx, 3*time.Second)
	p.cluster.store.RunDelayed()
	if after := len(p.readStore()); after != atEnd {
		p.fail("%d results at the end of the step, %d later", atEnd, after)
	}
	p.cluster.engines.mu.Lock()
	active := p.cluster.engines.active
	p.cluster.engines.mu.Unlock()
	if active != 0 {
		p.fail("%d attempts are in progress after the end of the step", active)
	}
	for _, name := range p.names {
		v := p.liveVM(name)
		all, total, err := p.readAt(ctx, v)
		if err != nil || len(all) != atEnd || !endsEarly && len(all) != total {
			state, _ := readState(ctx, p.cluster.store, "s")
			p.fail("%s has %d results of %d items at the end, the store %d, epoch %d, %v", name, len(all), total, atEnd, state.Epoch, err)
		}
	}
}

// readAt reads all results at a VM.
func (p *fleetPlay) readAt(ctx context.Context, v *testVM) (all []Result, total int, err error) {
	for {
		results, total, err := v.Results(ctx, "s", "acc", len(all), 0)
		if err != nil || len(results) == 0 {
			return all, total, err
		}
		p.note(v.Incarnation, len(all), results)
		all = append(all, results...)
	}
}

// checkOnce checks that the positions that were read list each item at most once, with its own text and
// score.
func (p *fleetPlay) checkOnce(endsEarly bool) {
	first := map[string]int{}
	for _, position := range slices.Sorted(maps.Keys(p.seen)) {
		r := p.seen[position]
		if other, ok := first[r.Item]; ok {
			p.fail("item %s at positions %d and %d", r.Item, other, position)
			continue
		}
		first[r.Item] = position
		score := ""
		if p.seed%4 != 0 {
			score = "score of call-" + r.Item
		}
		if r.Outcome != Completed || r.Text != p.text(r.Item) || r.Score != score {
			p.fail("item %s is %s with a text of %d bytes and the score %q", r.Item, r.Outcome, len(r.Text), r.Score)
		}
	}
	if !endsEarly && len(first) != len(p.list) {
		p.fail("%d of %d items were read", len(first), len(p.list))
	}
}

// fleetSeedsEnv names the environment variable that replaces the seeds of TestStepAtFaultyFleet, in the form
// "first-last".
const fleetSeedsEnv = "DOGWOODPOND_FLEET_SEEDS"

// Guards against results that are listed twice, changed or lost when copies of a step are submitted at
// several VMs, or several at one, that lose the store, freeze, leave and restart.
func TestStepAtFaultyFleet(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4}
	// A second result of an item that the previous owner had committed.
	seeds = append(seeds, 79, 106, 130, 197, 198)
	for _, seed := range seedsFrom(t, fleetSeedsEnv, seeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			bubble(t, func(t *testing.T) {
				p := newFleetPlay(t, seed)
				p.run(t.Context())
				t.Logf("%+v", p.stats)
				for _, failure := range p.failures {
					t.Errorf("seed %d: %s", seed, failure)
				}
			})
		})
	}
}
