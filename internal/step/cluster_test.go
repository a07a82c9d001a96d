package step

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"

	"github.com/cockroachdb/errors"
)

// cluster holds the VMs of a test, which share a fake store, fake engines and a fake scorer.
type cluster struct {
	t         *testing.T
	store     *memory.Store
	engines   *fakeEngines
	scorer    *fakeScorer
	instances []target.Instance

	mu   sync.Mutex
	dead map[string]bool
	vms  map[string]*testVM
	// preferred, if set, is the VM that becomes the owner of new steps, in preferredIncarnation or,
	// if that is empty, its first one.
	preferred, preferredIncarnation string
	// alive, if set, reports whether an incarnation of another VM is alive.
	alive func(id, incarnation string) bool
	// deathPeriod and outageEndedAt are those of all member lists.
	deathPeriod   time.Duration
	outageEndedAt time.Time
	// storeAvailable, if set, reports whether the store is available to a VM.
	storeAvailable func(name string) bool
	// transportOf, if set, returns the transport that an incarnation of a VM uses.
	transportOf func(name, incarnation string) target.Transport
	// scoring, if set, returns the Scorer of a VM instead of scorer.
	scoring func(Config) Scorer
	// reports, if set, are the engines' reports. Without it all engines still run.
	reports suspicion.EngineReports
	// stepMemory and readMemory are Config.StepMemory and Config.ReadMemory of all VMs.
	stepMemory, readMemory int64
	// domains maps VMs that are not in failure domain "x" to their domains.
	domains map[string]string
	// storeOf, if set, returns the store that a VM uses.
	storeOf func(name string) rowstore.Store
	// configuration is the configuration of VMs that are started from now on.
	configuration *route.Snapshot
	// storedConfiguration is the configuration in the store, nil if it is no newer than that of any VM.
	// configurationReadable, if set, reports whether a VM can read it.
	storedConfiguration   *route.Snapshot
	configurationReadable func(name string) bool
	// isolated is true if the VMs can't call each other.
	isolated bool
	// observe, if set, is called with each event of a VM.
	observe func(event.Record)
}

// preferredOwner implements Config.PreferredOwner.
func (cl *cluster) preferredOwner(string, route.Residency) (Process, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return Process{VM: cl.preferred, Incarnation: cmp.Or(cl.preferredIncarnation, cl.preferred+"-1")}, cl.preferred != ""
}

// testVM is the manager of one VM, and the function that kills it.
type testVM struct {
	*Manager
	kill context.CancelFunc
}

// newCluster returns a cluster with engines of 4 slots each, a scoring service, and no VMs.
func newCluster(t *testing.T, ids ...string) *cluster {
	cl := &cluster{t: t, store: memory.New(), engines: &fakeEngines{behave: map[string]behaviour{}, attempts: map[string][]string{}, finished: map[string]int{}}, dead: map[string]bool{}, vms: map[string]*testVM{}, domains: map[string]string{}, configuration: configuration(1, true)}
	cl.scorer = &fakeScorer{engines: cl.engines, calls: map[string]int{}}
	cl.instances = append(cl.instances, target.Instance{ID: "j1", Service: "judge", Address: "j1", FailureDomain: "x", Slots: 8})
	cl.addEngines(ids...)
	return cl
}

// addEngines adds engines of 4 slots each.
func (cl *cluster) addEngines(ids ...string) {
	for _, id := range ids {
		cl.instances = append(cl.instances, target.Instance{ID: id, Service: "lm", Address: id, FailureDomain: "x", Slots: 4, Versions: map[string]int64{"m": 1}})
	}
}

// engineIDs returns n IDs of engines.
func engineIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = "e" + strconv.Itoa(i)
	}
	return ids
}

// readLists keeps the lists of upstreams of all VMs up to date.
func (cl *cluster) readLists() {
	go func() {
		for wait.For(cl.t.Context(), 200*time.Millisecond) {
			cl.mu.Lock()
			for _, v := range cl.vms {
				v.Roster.NoteListRead()
			}
			cl.mu.Unlock()
		}
	}()
}

// start starts the first incarnation of a VM.
func (cl *cluster) start(name string) *testVM { return cl.startIncarnation(name, name+"-1") }

// startIncarnation starts an incarnation of a VM.
func (cl *cluster) startIncarnation(name, incarnation string) *testVM {
	events := event.NewRecorder(name, 64, event.NewClock(time.Now), zap.NewNop())
	events.Observe(cl.observe)
	roster := target.NewRoster(events)
	roster.Replace(cl.instances)
	view := route.NewView()
	view.StoreIfNewer(cl.configuration)
	domain := "x"
	if other, ok := cl.domains[name]; ok {
		domain = other
	}
	var store rowstore.Store = cl.store
	if cl.storeOf != nil {
		store = cl.storeOf(name)
	}
	var transport target.Transport = cl.engines
	if cl.transportOf != nil {
		transport = cl.transportOf(name, incarnation)
	}
	var reports suspicion.EngineReports = runningEngines{cl.engines}
	if cl.reports != nil {
		reports = cl.reports
	}
	ctx, kill := context.WithCancel(cl.t.Context())
	config := Config{
		CallBudget: budget.New(budget.Rates{}),
		VM:         name, Incarnation: incarnation, Domain: domain, Store: store, Clock: cl.store, Members: fakeMembers{cl, name, incarnation},
		View: view, Roster: roster, Transport: transport, Engines: reports, Scorer: cl.scorer, Events: events, Retention: time.Minute,
		AnnouncedVersion: func(string) (int64, bool) { return 1, true },
		PreferredOwner:   cl.preferredOwner,
		StepMemory:       cl.stepMemory,
		ReadMemory:       cl.readMemory,
		StoreAvailable:   func() bool { return cl.storeAvailable == nil || cl.storeAvailable(name) },
	}
	config.ReadConfiguration = func(ctx context.Context) error { return cl.readConfiguration(ctx, name, view) }
	config.TellPeers = func(_ context.Context, suspicions []byte) { cl.tellPeers(name, suspicions) }
	if cl.scoring != nil {
		config.Scorer = cl.scoring(config)
	}
	v := &testVM{kill: kill, Manager: NewManager(config)}
	cl.mu.Lock()
	cl.vms[name] = v
	cl.mu.Unlock()
	go v.Run(ctx)
	cl.t.Cleanup(kill)
	return v
}

// readConfiguration brings the view of a VM up to date.
func (cl *cluster) readConfiguration(ctx context.Context, name string, view *route.View) error {
	if !wait.For(ctx, 4*time.Millisecond) {
		return ctx.Err()
	}
	if cl.configurationReadable != nil && !cl.configurationReadable(name) {
		return errors.New("the store doesn't answer")
	}
	if cl.storedConfiguration != nil {
		view.StoreIfNewer(cl.storedConfiguration)
	}
	return nil
}

// tellPeers tells the live VMs but one of lost answers.
func (cl *cluster) tellPeers(sender string, suspicions []byte) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for name, v := range cl.vms {
		if name != sender && !cl.dead[name] && !cl.isolated {
			go v.NoteLostAnswers(suspicions)
		}
	}
}

// crash kills a VM without handing its steps over.
func (cl *cluster) crash(v *testVM) {
	cl.mu.Lock()
	cl.dead[v.VM] = true
	cl.mu.Unlock()
	v.kill()
}

// runningEngines are the reports of engines that never end.
type runningEngines struct{ engines *fakeEngines }

func (r runningEngines) RunReport(_ context.Context, e *target.Entry) (suspicion.RunReport, error) {
	return suspicion.RunReport{Started: e.Info().Started, Runs: r.engines.running(e.Info().ID), Complete: true}, nil
}

// fakeMembers is a fake member list, as seen by one VM.
type fakeMembers struct {
	cluster           *cluster
	self, incarnation string
}

func (m fakeMembers) Ready() bool { return true }

func (m fakeMembers) Alive(id, incarnation string) bool {
	if id == m.self {
		return incarnation == m.incarnation
	}
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.cluster.alive != nil {
		return m.cluster.alive(id, incarnation)
	}
	return !m.cluster.dead[id]
}

func (m fakeMembers) DeathPeriod() time.Duration { return m.cluster.deathPeriod }

func (m fakeMembers) OutageEndedAt() time.Time { return m.cluster.outageEndedAt }

func (m fakeMembers) Rank(duty string) int { return m.RankWithinResidency(duty, route.Residency{}) }

func (m fakeMembers) RankWithinResidency(_ string, residency route.Residency) int {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	rank := 0
	for name, v := range m.cluster.vms {
		if name < m.self && !m.cluster.dead[name] && residency.Allows(v.Domain) {
			rank++
		}
	}
	return rank
}

// behaviour returns the reply of an engine to attempt n of an item, counted from 1 over
// all engines.
type behaviour func(item string, n int) reply

// reply is an engine's response to one attempt.
type reply struct {
	status  int
	notRun  bool
	version int64
	// events is the number of events of the complete text, and gap the delay before each.
	events int
	gap    time.Duration
	// breakAfter, if not 0, breaks the response after that event of the text, counted
	// from 1.
	breakAfter int
	// skip, if not 0, is the number of an event that is left out.
	skip int
	// changeAt, if not 0, is the event from which on the weight version is one higher.
	changeAt int
	// pad is appended to the data of each event.
	pad string
}

// goodReply is a complete text of three events.
var goodReply = reply{status: http.StatusOK, version: 1, events: 3, gap: 10 * time.Millisecond}

// pacedBehaviour returns the behaviour of an engine that completes each attempt, with a fixed
// time between events.
func pacedBehaviour(events int, gap time.Duration) behaviour {
	r := goodReply
	r.events, r.gap = events, gap
	return func(string, int) reply { return r }
}

// fakeEngines simulates the upstreams of a test. It implements target.Transport.
type fakeEngines struct {
	mu sync.Mutex
	// behave holds the behaviour of each engine; that of the empty name is the default.
	behave map[string]behaviour
	// attempts holds, for each item, the engines that received it, in order.
	attempts map[string][]string
	// resumed holds the attempts that resumed a partial text.
	resumed []string
	// active is the number of responses that are being written.
	active int
	// runs holds the number of attempts at each item that each engine runs.
	runs map[string]map[string]int
	// finished counts the complete texts that were sent for each item.
	finished map[string]int
}

func (e *fakeEngines) Call(ctx context.Context, entry *target.Entry, request *target.Request) (*target.Response, error) {
	id := entry.Info().ID
	e.mu.Lock()
	e.attempts[request.ID] = append(e.attempts[request.ID], id)
	n := len(e.attempts[request.ID])
	if request.LastEventID != "" {
		e.resumed = append(e.resumed, request.ID+" after "+request.LastEventID)
	}
	behave := e.behave[id]
	if behave == nil {
		behave = e.behave[""]
	}
	e.mu.Unlock()
	end := e.beginRun(id, request.ID)
	r := goodReply
	if behave != nil {
		r = behave(request.ID, n)
	}
	if r.status == 0 {
		end()
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: id}), fault.Unknown)
	}
	body, out := io.Pipe()
	go func() {
		defer end()
		e.write(ctx, out, request, r)
	}()
	return &target.Response{Status: r.status, NotRun: r.notRun, Version: r.version, VersionField: "v", Body: body}, nil
}

// beginRun records that an engine runs an item until end is called.
func (e *fakeEngines) beginRun(engine, item string) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs == nil {
		e.runs = make(map[string]map[string]int)
	}
	if e.runs[engine] == nil {
		e.runs[engine] = make(map[string]int)
	}
	e.runs[engine][item]++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[engine][item]--; e.runs[engine][item] == 0 {
			delete(e.runs[engine], item)
		}
	}
}

// running returns the items that an engine runs.
func (e *fakeEngines) running(engine string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.runs[engine]))
}

// eventText returns event n of an item's text as it is sent.
func eventText(item string, n int, pad string) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d%s\n\n", n, item, n, pad)
}

func (e *fakeEngines) write(ctx context.Context, out *io.PipeWriter, request *target.Request, r reply) {
	e.mu.Lock()
	e.active++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	from, _ := strconv.Atoi(request.LastEventID)
	for n := from + 1; n <= r.events; n++ {
		select {
		case <-ctx.Done():
			_ = out.CloseWithError(ctx.Err())
			return
		case <-time.After(r.gap):
		}
		if n == r.skip {
			continue
		}
		text := eventText(request.ID, n, r.pad)
		if n == r.changeAt {
			text = fmt.Sprintf("v: %d\n%s", r.version+1, text)
		}
		if _, err := io.WriteString(out, text); err != nil {
			return
		}
		if n == r.breakAfter {
			_ = out.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
	}
	e.mu.Lock()
	e.finished[request.ID]++
	e.mu.Unlock()
	_ = out.Close()
}

// configuration returns a version of the configuration, with or without the route of the
// score calls.
func configuration(version int64, scores bool) *route.Snapshot {
	routes := []*route.Route{{
		Name: "r", Host: "h", Prefix: "/s/", Kind: route.Steps, Split: []route.Share{{Service: "lm", Weight: 1}},
	}}
	if scores {
		routes = append(routes, &route.Route{
			Name: "j", Host: "h2", Prefix: "/j/", Kind: route.Idempotent, Attempts: 2, Split: []route.Share{{Service: "judge", Weight: 1}},
		})
	}
	return route.NewSnapshot(version, routes, nil, route.Limits{}, nil, false)
}

// fakeScorer is a fake scoring service. It implements Scorer.
type fakeScorer struct {
	engines *fakeEngines
	// behave is called for the n-th call of an item, counted from 1; nil scores immediately.
	behave func(ctx context.Context, item string, n int) error

	mu    sync.Mutex
	calls map[string]int
	// earlyCalls holds the items whose score call came before their text was complete.
	earlyCalls []string
}

func (s *fakeScorer) Score(ctx context.Context, call scoring.Call, _ *route.Route, _ route.Residency, _ int) (string, error) {
	item := string(call.Body)
	s.engines.mu.Lock()
	finished := s.engines.finished[item]
	s.engines.mu.Unlock()
	s.mu.Lock()
	s.calls[item]++
	n := s.calls[item]
	if finished == 0 {
		s.earlyCalls = append(s.earlyCalls, item)
	}
	behave := s.behave
	s.mu.Unlock()
	if behave != nil {
		if err := behave(ctx, item, n); err != nil {
			return "", err
		}
	}
	return "score of " + call.ID, nil
}

func (s *fakeScorer) count(item string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[item]
}

// scoredItems returns n items whose texts need a score.
func scoredItems(n int) []Item {
	list := items(n)
	for i := range list {
		list[i].Score = &scoring.Call{ID: "call-" + list[i].ID, Host: "h2", Path: "/j/x", Body: []byte(list[i].ID)}
	}
	return list
}

// checkScores checks that each item has its own score, and that no score call was made
// before the text was complete.
func (cl *cluster) checkScores(results []Result) {
	cl.t.Helper()
	for _, r := range results {
		if r.Score != "score of call-"+r.Item {
			cl.t.Errorf("item %s has the score %q", r.Item, r.Score)
		}
	}
	cl.scorer.mu.Lock()
	defer cl.scorer.mu.Unlock()
	if len(cl.scorer.earlyCalls) > 0 {
		cl.t.Errorf("score calls were made before the texts of %v were complete", cl.scorer.earlyCalls)
	}
}

func (e *fakeEngines) count(item string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.attempts[item])
}

// spec returns a step of account acc.
func spec(id string) Spec {
	return Spec{ID: id, Account: "acc", Host: "h", Path: "/s/" + id, Model: "m", MinVersion: 1, RunObjective: 7 * time.Second, AbandonAfter: 40 * time.Second, Attempts: 3}
}

// items returns n items in groups of two.
func items(n int) []Item {
	var out []Item
	for i := range n {
		out = append(out, Item{ID: "i" + strconv.Itoa(i), Path: "/s/x", Body: []byte("body " + strconv.Itoa(i)), Group: "g" + strconv.Itoa(i/2)})
	}
	return out
}

// readUntilComplete reads a step from a VM until all its results are committed.
func readUntilComplete(t *testing.T, v *testVM, id string) []Result {
	t.Helper()
	var all []Result
	for range 400 {
		results, total, err := v.Results(t.Context(), id, "acc", len(all), 100*time.Millisecond)
		if err == nil {
			all = append(all, results...)
		}
		if err == nil && len(all) == total {
			return all
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("only %d results of step %s after 20 s or more", len(all), id)
	return nil
}

// checkTexts checks that each item is committed at most once, with its complete text.
func checkTexts(t *testing.T, results []Result, events int) {
	t.Helper()
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.Item] {
			t.Errorf("item %s is committed twice", r.Item)
		}
		seen[r.Item] = true
		if r.Outcome != Completed || r.Text != textOf(r.Item, events) {
			t.Errorf("item %s is %s with text %q", r.Item, r.Outcome, r.Text)
		}
	}
}

// textOf returns the complete text of an item with a number of events.
func textOf(item string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, item+"-"+strconv.Itoa(n))
	}
	return strings.Join(lines, "\n")
}

// setRow writes a row like another VM.
func (cl *cluster) setRow(key rowstore.Key, value any) {
	cl.t.Helper()
	text, err := encodeRow(value)
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.store.Set(key, string(text))
}

// bubble runs f in a synctest bubble.
func bubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// unsetClock is the clock of a store that has not answered yet.
type unsetClock struct{}

func (unsetClock) StoreNow() (int64, bool) { return 0, false }
