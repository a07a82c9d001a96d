package weightload

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
	"dogwoodpond/internal/target"
)

// fakeEngine is the control interface of one fake engine.
type fakeEngine struct {
	mu           sync.Mutex
	versions     map[string]int64
	sequence     int64
	loadingUntil time.Time
	loads        int
	holders      []string
	epochs       []uint64
	// delayOrders is the number of next orders that get no reply and are executed
	// 3 s later; dropOrders is the number of next orders that are lost.
	delayOrders, dropOrders int
	stalls                  stalls
}

func (e *fakeEngine) execute(c Order) Reply {
	switch {
	case c.Expected != e.sequence || time.Now().Before(e.loadingUntil):
		return SequenceMismatch
	case e.versions[c.Model] == c.Version:
		return AlreadyLoaded
	}
	e.sequence++
	e.loads++
	e.loadingUntil = time.Now().Add(expectedLoadTime)
	time.AfterFunc(expectedLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.versions[c.Model] = c.Version
	})
	return Accepted
}

// fleet is a set of fake engines. It implements Engines and Demands.
type fleet struct {
	engines map[string]*fakeEngine
	roster  *target.Roster
	store   *memory.Store

	mu      sync.Mutex
	demands []Demand
}

func newFleet(n int) *fleet {
	f := &fleet{engines: make(map[string]*fakeEngine), store: memory.New()}
	events := event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop())
	f.roster = target.NewRoster(events)
	var list []target.Instance
	for i := range n {
		id := fmt.Sprintf("e%02d", i)
		f.engines[id] = &fakeEngine{versions: map[string]int64{"m": 1, "n": 1}}
		list = append(list, target.Instance{ID: id, Service: "lm", Address: id, FailureDomain: "x", Slots: 4, Versions: map[string]int64{"m": 1, "n": 1}})
	}
	f.roster.Replace(list)
	return f
}

func (f *fleet) announceVersion(model string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.demands {
		if f.demands[i].Model == model {
			f.demands[i].AnnouncedVersion = version
			return
		}
	}
	f.demands = append(f.demands, Demand{Model: model, AnnouncedVersion: version, MaxVersionLag: 1, ExpectedTokens: 1})
}

func (f *fleet) Models(string) []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Demand(nil), f.demands...)
}

func (f *fleet) AllowsMixedVersions(string) bool { return true }

func (f *fleet) EngineServices() []string { return []string{"lm"} }

func (f *fleet) Report(ctx context.Context, t *target.Entry) (Report, error) {
	e := f.engines[t.Info().ID]
	if !e.awaitRunning(ctx) {
		return Report{}, errors.WithStack(&fault.UpstreamFailed{Upstream: t.Info().ID})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	versions := map[string]int64{}
	for m, v := range e.versions {
		versions[m] = v
	}
	return Report{Sequence: e.sequence, Busy: time.Now().Before(e.loadingUntil), Versions: versions}, nil
}

func (f *fleet) Probe(ctx context.Context, t *target.Entry) error {
	_, err := f.Report(ctx, t)
	return err
}

func (f *fleet) Order(ctx context.Context, t *target.Entry, c Order) (Reply, error) {
	e := f.engines[t.Info().ID]
	e.mu.Lock()
	defer e.mu.Unlock()
	if answer := e.enqueueIfStill(c); answer != nil {
		e.mu.Unlock()
		defer e.mu.Lock()
		select {
		case <-ctx.Done():
			return Rejected, errors.WithStack(&fault.UpstreamFailed{Upstream: t.Info().ID})
		case reply := <-answer:
			return reply, nil
		}
	}
	e.holders, e.epochs = append(e.holders, c.Holder), append(e.epochs, c.Epoch)
	noReply := errors.WithStack(&fault.UpstreamFailed{Upstream: t.Info().ID})
	if e.dropOrders > 0 {
		e.dropOrders--
		return Rejected, noReply
	}
	if e.delayOrders > 0 {
		e.delayOrders--
		time.AfterFunc(3*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.execute(c)
		})
		return Rejected, noReply
	}
	return e.execute(c), nil
}

// startLoader starts a loader on a VM. The returned function kills the VM.
func (f *fleet) startLoader(t *testing.T, vm string) context.CancelFunc {
	events := event.NewRecorder(vm, 64, event.NewClock(time.Now), zap.NewNop())
	l := &Loader{
		VM: vm, Domain: "x", Roster: f.roster, Engines: f, Demands: f, Store: f.store, Events: events,
		Leases: lease.NewManager(rowstore.NewTables(f.store, "lease"), vm, 3*time.Second, events),
	}
	ctx, kill := context.WithCancel(t.Context())
	go l.Run(ctx)
	t.Cleanup(kill)
	return kill
}

// versions counts the engines by their version of a model.
func (f *fleet) versions(model string) map[int64]int {
	out := map[int64]int{}
	for _, e := range f.engines {
		e.mu.Lock()
		out[e.versions[model]]++
		e.mu.Unlock()
	}
	return out
}

func (f *fleet) loads() int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		n += e.loads
		e.mu.Unlock()
	}
	return n
}

// A new version is announced every four seconds, and steps also allow the version before.
// Some engine must be able to run the next step at any time, and each version must be
// loaded on at most half of the engines.
func TestHalfOfTheEnginesLoadEachVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.startLoader(t, "a")
		time.Sleep(2 * time.Second)
		for v := int64(2); v <= 8; v++ {
			f.announceVersion("m", v)
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				byVersion := f.versions("m")
				if byVersion[v]+byVersion[v-1] == 0 {
					t.Fatalf("version %d is announced, engines by version: %v", v, byVersion)
				}
			}
			if byVersion := f.versions("m"); byVersion[v] < 2 || byVersion[v]+byVersion[v-1] != 4 {
				t.Errorf("4 s after version %d was announced, engines by version: %v", v, byVersion)
			}
		}
		if n := f.loads(); n > 7*2 {
			t.Errorf("%d loads for 7 versions, want at most 14", n)
		}
	})
}

// blockedTime returns for how long no engine could run the next step of a model, summed
// over three models, whose trainers each announce a version every four seconds, in turn.
// Engines take no requests while they load.
func blockedTime(t *testing.T, engines int) time.Duration {
	t.Helper()
	var blocked time.Duration
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(engines)
		models := []string{"m", "n", "o"}
		announced := make(map[string]int64)
		for _, e := range f.engines {
			e.versions["o"] = 1
		}
		f.startLoader(t, "a")
		const pollInterval, versionInterval = 50 * time.Millisecond, 4 * time.Second / 3
		// The assignment of engines still changes until the third version of each model.
		const warmUpRounds = 12
		for round := range int64(24) {
			model := models[round%3]
			announced[model] = round/3 + 2
			f.announceVersion(model, announced[model])
			for range versionInterval / pollInterval {
				time.Sleep(pollInterval)
				for _, model := range models {
					if round >= warmUpRounds && f.countReady(model, announced[model]-1) == 0 {
						blocked += pollInterval
					}
				}
			}
		}
	})
	return blocked
}

// countReady counts the engines that can take a request for at least minVersion of a model
// now.
func (f *fleet) countReady(model string, minVersion int64) int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		if e.versions[model] >= minVersion && time.Now().After(e.loadingUntil) {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// Three models share the engines of a failure domain and get new weights all the time.
// With one engine per model, none serves the model while that engine loads, and its steps
// begin late. With two per model, one must always be ready.
func TestTwoEnginesPerModelKeepOneReady(t *testing.T) {
	withThree, withSix := blockedTime(t, 3), blockedTime(t, 6)
	t.Logf("a model had no ready engine for %s with 3 engines, for %s with 6", withThree, withSix)
	if withSix != 0 || withThree == 0 {
		t.Errorf("a model had no ready engine for %s with 6 engines, want none; for %s with 3, want some", withSix, withThree)
	}
}

// Guards against an engine that returns to an older version: an order gets no reply and
// arrives three seconds later, after a newer version was ordered.
func TestDelayedOrderDoesNotRevertNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.engines["e00"].delayOrders = 1
		f.startLoader(t, "a")
		time.Sleep(2 * time.Second)
		f.announceVersion("m", 2)
		time.Sleep(1500 * time.Millisecond)
		f.announceVersion("m", 3)
		time.Sleep(10 * time.Second)
		if byVersion := f.versions("m"); byVersion[3] != 1 {
			t.Errorf("engines by version: %v", byVersion)
		}
	})
}

// Guards against an engine that keeps old weights and stays idle because orders were lost.
func TestLostOrdersAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.engines["e00"].dropOrders = 3
		f.startLoader(t, "a")
		time.Sleep(2 * time.Second)
		f.announceVersion("m", 2)
		time.Sleep(4 * time.Second)
		if byVersion := f.versions("m"); byVersion[2] != 1 {
			t.Errorf("engines by version: %v", byVersion)
		}
	})
}

// The holder of the lease dies. The new holder must not send an order while one of the
// previous holder may still arrive, and its orders must have a higher epoch.
func TestNewHolderOrdersWithHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		killA := f.startLoader(t, "a")
		time.Sleep(2 * time.Second)
		f.startLoader(t, "b")
		for v := int64(2); v < 12; v++ {
			f.announceVersion("m", v)
			time.Sleep(2 * time.Second)
			if v == 4 {
				killA()
			}
		}
		e := f.engines["e00"]
		e.mu.Lock()
		defer e.mu.Unlock()
		changes := 0
		for i := 1; i < len(e.holders); i++ {
			if e.holders[i] == e.holders[i-1] {
				continue
			}
			changes++
			if e.epochs[i] <= e.epochs[i-1] {
				t.Errorf("epoch %d after %d", e.epochs[i], e.epochs[i-1])
			}
		}
		if changes != 1 || e.versions["m"] != 11 {
			t.Errorf("%d changes of the holder, want 1; versions %v, want 11", changes, e.versions)
		}
	})
}

// Each model must get its share of the engines by demand for any number of engines, and
// at least one engine if there are enough.
func TestSharesFollowDemand(t *testing.T) {
	demands := []Demand{{Model: "m", ExpectedTokens: 300}, {Model: "n", ExpectedTokens: 700}}
	total := [2]int{}
	preceding := 0
	for _, engines := range []int{4, 4, 3} {
		got := engineCounts(demands, preceding, engines)
		if got[0]+got[1] != engines || got[0] < 1 || got[1] < 1 {
			t.Errorf("distribution of %d engines: %v", engines, got)
		}
		total[0] += got[0]
		total[1] += got[1]
		preceding += engines
	}
	if total[0] < 3 || total[0] > 4 {
		t.Errorf("distribution of 11 engines: %v", total)
	}
	for engines := range 30 {
		for _, tokens := range []float64{0, 1, 5, 1000} {
			sum := 0
			for _, n := range engineCounts([]Demand{{ExpectedTokens: tokens}, {ExpectedTokens: 5}, {ExpectedTokens: 5}}, 7, engines) {
				if n < 0 {
					t.Errorf("%d engines: a negative count", engines)
				}
				sum += n
			}
			if sum != engines {
				t.Errorf("%d engines, %v tokens: the counts add up to %d", engines, tokens, sum)
			}
		}
	}
}

// Guards against rows that every VM of a large fleet reads although only a few run steps. A VM
// that begins to run steps must soon know the loads.
func TestLoadsAreReadOnlyWhileNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, other := newFleet(1), newFleet(1)
		var needed atomic.Bool
		watch := Watch{
			Store: f.store, Roster: other.roster, CallBudget: budget.New(budget.Rates{}), Needed: needed.Load, OnChange: func() {},
			Events: event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop()),
		}
		go watch.Run(t.Context())
		version := func() int64 { return other.roster.Upstreams("lm")[0].Version("m") }
		publish := func(version int64) {
			f.store.Set(rowstore.Key{Table: table, Part: "x", Name: "e00/m"}, fmt.Sprintf(`{"upstream":"e00","model":"m","version":%d}`, version))
			time.Sleep(time.Second)
		}
		publish(5)
		if got := version(); got != 1 {
			t.Errorf("a VM without steps knows version %d", got)
		}
		needed.Store(true)
		time.Sleep(2 * neededCheckInterval)
		if got := version(); got != 5 {
			t.Errorf("a VM that has just begun to run steps knows version %d, want 5", got)
		}
		needed.Store(false)
		time.Sleep(2 * neededCheckInterval)
		publish(6)
		if got := version(); got != 5 {
			t.Errorf("a VM that no longer runs steps knows version %d", got)
		}
	})
}

// Guards against orders, rows in the store and changes of the list of upstreams that grow with
// the engines although the steps use only some: each is sent to every VM.
func TestLoadsFollowTheNeedOfTheSteps(t *testing.T) {
	const maxEngines, versions = 4, 6
	for _, engines := range []int{16, 32, 64} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(engines)
			for _, model := range []string{"m", "n"} {
				f.demands = append(f.demands, Demand{Model: model, AnnouncedVersion: 1, MaxVersionLag: 1, ExpectedTokens: 1, MaxEngines: maxEngines})
			}
			f.startLoader(t, "a")
			time.Sleep(2 * time.Second)
			for v := int64(2); v < 2+versions; v++ {
				f.announceVersion("m", v)
				f.announceVersion("n", v)
				time.Sleep(4 * time.Second)
				for _, model := range []string{"m", "n"} {
					if n := f.countReady(model, v-1); n < maxEngines {
						t.Errorf("%d of %d engines can run the next step of %s, want %d", n, engines, model, maxEngines)
					}
				}
			}
			// Half of the engines of each model load each version.
			if n := f.loads(); n > 2*versions*maxEngines/2 {
				t.Errorf("%d engines: %d loads for %d versions of 2 models that can use %d engines each", engines, n, versions, maxEngines)
			}
		})
	}
}

// All engines are too old after a long outage. If they were loaded model by model, the
// last model would wait for seconds although one engine is enough to begin its step.
func TestEachModelGetsOneLoadFirst(t *testing.T) {
	f := newFleet(9)
	list := f.roster.Upstreams("lm")
	demands := []Demand{{Model: "m", AnnouncedVersion: 9, MaxVersionLag: 1, ExpectedTokens: 1}, {Model: "n", AnnouncedVersion: 9, MaxVersionLag: 1, ExpectedTokens: 1}, {Model: "o", AnnouncedVersion: 9, MaxVersionLag: 1, ExpectedTokens: 1}}
	models := map[string]bool{}
	for _, planned := range planLoads(list, demands, engineCounts(demands, 0, 9), nil, 3) {
		models[planned.Model] = true
	}
	if len(models) != 3 {
		t.Errorf("models of the first three loads: %v, want all three", models)
	}
}

// An engine must stay with the model whose announced version it has, since a change costs a
// weight load.
func TestEnginesKeepTheirModel(t *testing.T) {
	f := newFleet(6)
	list := f.roster.Upstreams("lm")
	demands := []Demand{{Model: "m", AnnouncedVersion: 5, MaxVersionLag: 1, ExpectedTokens: 1}, {Model: "n", AnnouncedVersion: 9, MaxVersionLag: 1, ExpectedTokens: 1}}
	for i, e := range list {
		if i%2 == 0 {
			e.NoteVersion("m", 5)
		} else {
			e.NoteVersion("n", 9)
		}
	}
	for i, e := range list {
		if got := assignEngines(list, demands, []int{3, 3})[e]; got != demands[i%2].Model {
			t.Errorf("engine %d is assigned to %s", i, got)
		}
	}
}

// Other VMs must learn of a weight load from the store, before the platform's list shows
// it.
func TestLoadsArePublishedToOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, other := newFleet(2), newFleet(2)
		events := event.NewRecorder("b", 16, event.NewClock(time.Now), zap.NewNop())
		watch := Watch{Store: f.store, Roster: other.roster, CallBudget: budget.New(budget.Rates{}), Events: events, Needed: func() bool { return true }, OnChange: func() {}}
		go watch.Run(t.Context())
		f.startLoader(t, "a")
		time.Sleep(2 * time.Second)
		f.announceVersion("m", 2)
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		loading := 0
		for _, e := range other.roster.Upstreams("lm") {
			if e.ModelUnavailable("m", time.Now()) {
				loading++
			}
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		newest := int64(0)
		for _, e := range other.roster.Upstreams("lm") {
			newest = max(newest, e.Version("m"))
		}
		if loading != 1 || newest != 2 {
			t.Errorf("the other VM saw %d engines loading, want 1, and version %d, want 2", loading, newest)
		}
	})
}

// Guards against engines that get no requests although they have loaded: the row that announces a
// load takes effect late, after the one that says it is done.
func TestLateAnnouncementOfALoadDoesNotBlockTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, other := newFleet(2), newFleet(2)
		events := event.NewRecorder("b", 16, event.NewClock(time.Now), zap.NewNop())
		watch := Watch{Store: f.store, Roster: other.roster, CallBudget: budget.New(budget.Rates{}), Events: events, Needed: func() bool { return true }, OnChange: func() {}}
		go watch.Run(t.Context())
		f.startLoader(t, "a")
		time.Sleep(2 * time.Second)
		f.store.SetFault(func(txn rowstore.Txn) memory.Fault {
			if txn.Puts[0].Key.Table == table && strings.Contains(string(txn.Puts[0].Value), `"loading":true`) {
				return memory.EffectDelayed
			}
			return memory.NoFault
		})
		f.announceVersion("m", 2)
		time.Sleep(5 * time.Second)
		f.store.RunDelayed()
		blocked := 0
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, e := range other.roster.Upstreams("lm") {
				if e.Version("m") == 2 && e.ModelUnavailable("m", time.Now()) {
					blocked += 100
				}
			}
		}
		if blocked > 0 {
			t.Errorf("engines that have the version got no requests for %d ms", blocked)
		}
	})
}

// Guards against orders to engines, and reads of their state, in a failure domain that the
// operator evacuates, and against engines that keep old weights after its restore.
func TestEvacuatedDomainGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.startLoader(t, "a")
		time.Sleep(2 * time.Second)
		f.roster.Evacuate("x")
		f.announceVersion("m", 2)
		time.Sleep(5 * time.Second)
		if n := f.loads(); n != 0 {
			t.Errorf("%d loads were ordered in an evacuated domain", n)
		}
		f.roster.Restore("x")
		time.Sleep(5 * time.Second)
		if byVersion := f.versions("m"); byVersion[2] < 2 {
			t.Errorf("5 s after the restore, engines by version: %v", byVersion)
		}
	})
}

// Guards against items that are sent to an engine that loads weights: the row that says that its
// previous load is done takes effect late, after the one that announces the next load.
func TestLateEndOfALoadDoesNotUnblockTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, other := newFleet(1), newFleet(1)
		events := event.NewRecorder("b", 16, event.NewClock(time.Now), zap.NewNop())
		watch := Watch{Store: f.store, Roster: other.roster, CallBudget: budget.New(budget.Rates{}), Events: events, Needed: func() bool { return true }, OnChange: func() {}}
		go watch.Run(t.Context())
		f.startLoader(t, "a")
		time.Sleep(2 * time.Second)
		f.store.SetFault(func(txn rowstore.Txn) memory.Fault {
			if txn.Puts[0].Key.Table == table && !strings.Contains(string(txn.Puts[0].Value), `"loading":true`) {
				return memory.EffectDelayed
			}
			return memory.NoFault
		})
		f.announceVersion("m", 2)
		time.Sleep(3 * time.Second)
		f.store.SetFault(nil)
		f.announceVersion("m", 3)
		time.Sleep(400 * time.Millisecond)
		engine := other.roster.Upstreams("lm")[0]
		if !engine.ModelUnavailable("m", time.Now()) {
			t.Fatal("the engine is not known to load version 3")
		}
		f.store.RunDelayed()
		time.Sleep(200 * time.Millisecond)
		if !engine.ModelUnavailable("m", time.Now()) {
			t.Error("the engine gets items while it loads version 3")
		}
		time.Sleep(2 * time.Second)
		if engine.Version("m") != 3 || engine.ModelUnavailable("m", time.Now()) {
			t.Errorf("the engine has version %d, blocked %t; want 3 and false", engine.Version("m"), engine.ModelUnavailable("m", time.Now()))
		}
	})
}

// Guards against items that are sent to an engine that loads weights, after it refused an item.
func TestRefusalDoesNotShortenTheBlockOfALoad(t *testing.T) {
	now := time.Now()
	e := newFleet(1).roster.Upstreams("lm")[0]
	e.NoteLoading("m", 2, now.Add(expectedLoadTime))
	e.NoteModelUnavailable("m", now.Add(expectedLoadTime/10))
	if !e.ModelUnavailable("m", now.Add(expectedLoadTime/2)) {
		t.Error("the engine gets items while it loads")
	}
	e.NoteLoaded("m", 2)
	if e.ModelUnavailable("m", now) {
		t.Error("the engine gets no items after its load")
	}
}
