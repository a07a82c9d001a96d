package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/memtables"
	"dogwoodpond/internal/request"
	"dogwoodpond/internal/retry"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/service"
	"dogwoodpond/internal/usage"
)

const (
	testAccount = contract.Account("strathallan")
	testSecret  = "correct-horse-battery-staple"
	testKey     = "dwp_k1_" + testSecret
	otherSecret = "another-callers-own-secret"
	otherKey    = "dwp_k2_" + otherSecret
	goneKey     = "dwp_k3_the-secret-of-a-withdrawn-key"
	bareKey     = "dwp_k4_the-key-of-no-contract-at-all"
	testModel   = "berry-1"
	testService = "desk"
)

// rig is one callers' server with its parts; upstreams and store are fakes.
type rig struct {
	t        testing.TB
	server   *Server
	view     *contract.View
	ager     *fixedAge
	tables   *unsteadyTables
	places   *places
	steps    *fakeSteps
	registry *prometheus.Registry
	events   *event.Recorder
	log      *syncBuffer
	http     *httptest.Server
	opened   sync.Once
	metered  []*metered
}

// meters returns the upstreams that the rig has so far.
func (r *rig) meters() []*metered { return r.metered }

// rigOptions change the parts of a rig.
type rigOptions struct {
	patience engine.Patience
	runner   generate.Runner
	quiet    bool
	// writeTimeout bounds one write to a caller.
	writeTimeout time.Duration
	// bodyTimeout bounds the time of a caller's body.
	bodyTimeout time.Duration
}

func newRig(t testing.TB, options rigOptions) *rig {
	t.Helper()
	r := &rig{
		t: t, view: contract.NewView(), ager: &fixedAge{}, places: &places{}, steps: &fakeSteps{},
		tables:   &unsteadyTables{Tables: memtables.NewTables()},
		registry: prometheus.NewRegistry(), log: &syncBuffer{},
	}
	log := zap.NewNop()
	if !options.quiet {
		log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), r.log, zap.DebugLevel))
	}
	r.events = event.NewRecorder("vm-1", 4096, event.NewClock(time.Now), log)
	r.configure()
	retries := retry.NewPolicy(r.registry, r.events)
	if options.patience == (engine.Patience{}) {
		options.patience = engine.DefaultPatience
	}
	if options.runner == nil {
		options.runner = generate.NewLocal(r.view, r.places, engine.NewPatientClient(options.patience), retries, r.events)
	}
	r.server = NewServer(Config{
		View: r.view, Ager: r.ager, Runner: options.runner, Dispatcher: r.places, Retries: retries,
		Services: service.NewClient(), Claims: request.NewClaims(r.tables), Steps: r.steps,
		Usage: usageNowhere{}, Events: r.events, Registry: r.registry, WriteTimeout: options.writeTimeout,
		BodyTimeout: options.bodyTimeout,
	})
	return r
}

// serve opens the rig's listener and returns its base URL.
func (r *rig) serve() string {
	r.opened.Do(func() {
		r.http = httptest.NewServer(r.server.Handler())
		r.t.Cleanup(r.http.Close)
	})
	return r.http.URL
}

// configure puts two contracts and four keys in force.
func (r *rig) configure() {
	bounded := contract.DefaultContract(testAccount)
	bounded.Limits.BodyBytes = 4096
	r.edit(contract.Entry{Contract: &bounded})
	r.edit(contract.Entry{Contract: new(contract.DefaultContract("brazicod"))})
	for _, k := range []struct {
		text    string
		account contract.Account
	}{{testKey, testAccount}, {otherKey, "brazicod"}, {goneKey, testAccount}, {bareKey, "nobody"}} {
		presented, err := contract.ParseKey(k.text)
		if err != nil {
			r.t.Fatal(err)
		}
		key := contract.Key{ID: presented.ID, Account: k.account, SecretSHA256: contract.HashSecret(presented.Secret)}
		key.Withdrawn = k.text == goneKey
		r.edit(contract.Entry{Key: &key})
	}
}

// edit applies an edit and tells the server, as the configuration's syncer does.
func (r *rig) edit(e contract.Entry) {
	r.t.Helper()
	e.Revision = r.view.Load().Revision + 1
	next, err := r.view.Load().Apply(e)
	if err != nil {
		r.t.Fatal(err)
	}
	r.view.Advance(next)
	if r.server != nil {
		r.server.Revoke(next)
	}
}

// withdraw withdraws a key.
func (r *rig) withdraw(id string) {
	key := r.view.Load().Keys[id]
	key.Withdrawn = true
	r.edit(contract.Entry{Key: &key})
}

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	refusal Refusal
}

// call sends one request with the test key.
func (r *rig) call(method, path, body string, change ...func(*http.Request)) answer {
	r.t.Helper()
	got, err := r.try(method, path, body, change...)
	if err != nil {
		r.t.Fatalf("%s %s: %v", method, path, err)
	}
	return got
}

// try is call for callers that may get no whole answer.
func (r *rig) try(method, path, body string, change ...func(*http.Request)) (answer, error) {
	r.t.Helper()
	req, err := http.NewRequest(method, r.serve()+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, c := range change {
		c(req)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, header: response.Header, body: text}
	if response.StatusCode != http.StatusOK {
		_ = json.Unmarshal(text, &got.refusal)
	}
	return got, err
}

func withHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

const generateText = `{"model":"berry-1","prompt":"When do the raspberries open?","maxTokens":16}`

func streamText(maxTokens string) string {
	return `{"model":"berry-1","prompt":"When?","stream":true,"maxTokens":` + maxTokens + `}`
}

// fixedAge is the age of the configuration.
type fixedAge struct {
	age atomic.Int64
	// hook runs before each answer: after the key's check, before its session.
	hook func()
}

// Age implements Ager.
func (a *fixedAge) Age() time.Duration {
	if a.hook != nil {
		a.hook()
	}
	return time.Duration(a.age.Load())
}

// usageNowhere drops usage.
type usageNowhere struct{}

// Add implements UsageRecorder.
func (usageNowhere) Add(contract.Account, usage.Figures) {}

// fakeSteps fails as told.
type fakeSteps struct{ err error }

// Open implements Steps.
func (f *fakeSteps) Open(context.Context, contract.Account, string, sample.Definition) (sample.Status, error) {
	return sample.Status{}, f.err
}

// Samples implements Steps.
func (f *fakeSteps) Samples(context.Context, contract.Account, string, sample.Pull) ([]sample.Sample, error) {
	return nil, f.err
}

// Ack implements Steps.
func (f *fakeSteps) Ack(context.Context, contract.Account, string, int64) error { return f.err }

// places is a dispatcher that grants upstreams in turn. A hook may refuse.
type places struct {
	mu        sync.Mutex
	upstreams []platformapi.Upstream
	next      int
	hook      func(ctx context.Context, work dispatch.Work) error
	granted   int
}

func (p *places) add(u platformapi.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = append(p.upstreams, u)
}

// Acquire implements dispatch.Dispatcher.
func (p *places) Acquire(ctx context.Context, work dispatch.Work) (dispatch.Grant, error) {
	if p.hook != nil {
		if err := p.hook(ctx, work); err != nil {
			return dispatch.Grant{}, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.upstreams {
		u := p.upstreams[p.next%len(p.upstreams)]
		p.next++
		served := u.Kind == work.Pool.Kind && (u.Service == work.Pool.Service) && (u.Model == work.Pool.Model)
		if served && !slices.Contains(work.Exclude, u.ID) {
			p.granted++
			return dispatch.Grant{Upstream: u, Done: func(dispatch.Result) {}}, nil
		}
	}
	return dispatch.Grant{}, errors.WithStack(&fault.NoUpstream{Pool: work.Pool.String(), Wait: time.Second})
}

// metered is an upstream that counts the bytes that reached it.
type metered struct {
	*httptest.Server
	bytes    atomic.Int64
	requests atomic.Int64
}

// engine adds an upstream that serves completions by the handler.
func (r *rig) engine(id string, handler http.HandlerFunc) *metered {
	m := newMetered(r.t, handler)
	r.metered = append(r.metered, m)
	r.places.add(platformapi.Upstream{ID: id, Kind: platformapi.KindEngine, Model: testModel, Address: m.address()})
	return m
}

// service adds an upstream that serves the plain service by the handler.
func (r *rig) service(id string, handler http.HandlerFunc) *metered {
	m := newMetered(r.t, handler)
	r.metered = append(r.metered, m)
	r.places.add(platformapi.Upstream{ID: id, Kind: platformapi.KindService, Service: testService, Address: m.address()})
	return m
}

func newMetered(t testing.TB, handler http.HandlerFunc) *metered {
	m := &metered{}
	m.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.requests.Add(1)
		handler(w, r)
	}))
	m.Listener = &meteredListener{Listener: m.Listener, bytes: &m.bytes}
	m.Start()
	t.Cleanup(func() {
		m.CloseClientConnections()
		m.Close()
	})
	return m
}

func (m *metered) address() string { return m.Listener.Addr().String() }

type meteredListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, bytes: l.bytes}, nil
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// unsteadyTables is a table service that can be made to fail.
type unsteadyTables struct {
	platformapi.Tables
	down atomic.Bool
}

func (u *unsteadyTables) err() error {
	if u.down.Load() {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "test"})
	}
	return nil
}

// Get implements platformapi.Tables.
func (u *unsteadyTables) Get(ctx context.Context, key string) (platformapi.Row, error) {
	if err := u.err(); err != nil {
		return platformapi.Row{}, err
	}
	return u.Tables.Get(ctx, key)
}

// Commit implements platformapi.Tables.
func (u *unsteadyTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	if err := u.err(); err != nil {
		return err
	}
	return u.Tables.Commit(ctx, txn)
}

// syncBuffer is a buffer for a log.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Sync implements zapcore.WriteSyncer.
func (*syncBuffer) Sync() error { return nil }

// String returns everything written.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// script is the handler of an engine that writes what a test says.
type script struct {
	w  http.ResponseWriter
	r  *http.Request
	id string
	// resume is how many tokens the request already has.
	resume int
}

// scripted returns a handler that hands the decoded request to play.
func scripted(play func(s *script)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request engine.CompletionRequest
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			return
		}
		play(&script{w: w, r: r, id: request.RequestID, resume: len(request.Resume)})
	}
}

// chunk sends tokens that start at an offset.
func (s *script) chunk(offset int, tokens ...string) { s.send(s.id, offset, "", tokens...) }

// last sends the chunk with the finish reason.
func (s *script) last(offset int, tokens ...string) { s.send(s.id, offset, "stop", tokens...) }

// whole completes the answer "a b c d" from where the request stands.
func (s *script) whole() {
	tokens := []string{"a", "b", "c", "d"}
	s.last(s.resume, tokens[s.resume:]...)
	s.raw(engine.DoneEvent)
}

func (s *script) send(id string, offset int, finish string, tokens ...string) {
	text, _ := json.Marshal(engine.CompletionChunk{
		ID: id, Model: testModel, WeightVersion: 7, Incarnation: "i1",
		Choices: []engine.CompletionChoice{{Offset: offset, Tokens: tokens, FinishReason: finish}},
	})
	s.raw(string(text))
}

// header sends the header of the answer.
func (s *script) header() {
	s.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(s.w).Flush()
}

// raw sends one event.
func (s *script) raw(data string) {
	_, _ = io.WriteString(s.w, "data: "+data+"\n\n")
	_ = http.NewResponseController(s.w).Flush()
}

// cut breaks the connection off.
func (s *script) cut() { panic(http.ErrAbortHandler) }

// hang waits until the client gives up.
func (s *script) hang() { <-s.r.Context().Done() }
