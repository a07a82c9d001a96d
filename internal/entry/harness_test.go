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
	"dogwoodpond/internal/upstream"
	"dogwoodpond/internal/usage"
)

const (
	testAccount   = contract.Account("strathallan")
	testSecret    = "correct-horse-battery-staple"
	testKey       = "dwp_k1_" + testSecret
	otherSecret   = "another-callers-own-secret"
	otherKey      = "dwp_k2_" + otherSecret
	withdrawnKey  = "dwp_k3_the-secret-of-a-withdrawn-key"
	noContractKey = "dwp_k4_the-key-of-no-contract-at-all"
	testModel     = "berry-1"
	testService   = "desk"
)

// harness runs one Server with its dependencies; the upstreams and the store
// are fakes.
type harness struct {
	t                testing.TB
	server           *Server
	view             *contract.View
	configurationAge *fakeConfigurationAge
	tables           *faultyTables
	dispatcher       *fakeDispatcher
	steps            *fakeSteps
	registry         *prometheus.Registry
	events           *event.Recorder
	log              *logBuffer
	http             *httptest.Server
	serveOnce        sync.Once
	// requests is the base of the contexts of all requests.
	requests *requestContext
	metered  []*meteredUpstream
}

// upstreams returns the fake upstreams added so far.
func (h *harness) upstreams() []*meteredUpstream { return h.metered }

// harnessOptions change the dependencies of a harness.
type harnessOptions struct {
	// timeouts are the stream timeouts of the engine client; zero means its
	// defaults.
	timeouts engine.StreamTimeouts
	// runner replaces the local runner of generate calls.
	runner generate.Runner
	// quiet discards the log.
	quiet bool
	// writeTimeout is the timeout of one write to a caller.
	writeTimeout time.Duration
	// bodyTimeout is the timeout of reading a request body.
	bodyTimeout time.Duration
}

func newHarness(t testing.TB, options harnessOptions) *harness {
	t.Helper()
	h := &harness{
		t: t, view: contract.NewView(), configurationAge: &fakeConfigurationAge{}, dispatcher: &fakeDispatcher{}, steps: &fakeSteps{},
		tables:   &faultyTables{Tables: memtables.NewTables()},
		registry: prometheus.NewRegistry(), log: &logBuffer{}, requests: newRequestContext(),
	}
	log := zap.NewNop()
	if !options.quiet {
		log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), h.log, zap.DebugLevel))
	}
	h.events = event.NewRecorder("vm-1", 4096, event.NewClock(time.Now), log)
	h.configure()
	retries := retry.NewPolicy(h.registry, h.events)
	if options.timeouts == (engine.StreamTimeouts{}) {
		options.timeouts = engine.DefaultStreamTimeouts
	}
	if options.runner == nil {
		options.runner = generate.NewLocal(h.view, h.dispatcher, engine.NewClientWithTimeouts(options.timeouts, h.events), retries, h.events)
	}
	h.server = NewServer(Config{
		View: h.view, ConfigurationAge: h.configurationAge, Upstreams: upstream.NewDirectory(), Runner: options.runner, Dispatcher: h.dispatcher, Retries: retries,
		Services: service.NewClient(), Claims: request.NewClaims(h.tables), Steps: h.steps,
		Usage: discardUsage{}, Events: h.events, Registry: h.registry, WriteTimeout: options.writeTimeout,
		BodyTimeout: options.bodyTimeout,
	})
	return h
}

// serve starts the HTTP server of the harness once and returns its base URL.
func (h *harness) serve() string {
	h.serveOnce.Do(func() {
		h.http = httptest.NewUnstartedServer(h.server.Handler())
		h.http.Config.BaseContext = func(net.Listener) context.Context { return h.requests }
		h.http.Start()
		h.t.Cleanup(h.http.Close)
	})
	return h.http.URL
}

// requestContext is a context whose deadline passes when expire is called, so that a test
// determines what has happened by then.
type requestContext struct {
	context.Context
	done       chan struct{}
	expireOnce sync.Once
}

func newRequestContext() *requestContext {
	return &requestContext{Context: context.Background(), done: make(chan struct{})}
}

func (c *requestContext) expire() { c.expireOnce.Do(func() { close(c.done) }) }

// Done implements context.Context.
func (c *requestContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *requestContext) Err() error {
	select {
	case <-c.done:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// configure applies two contracts and four keys.
func (h *harness) configure() {
	bounded := contract.DefaultContract(testAccount)
	bounded.Limits.BodyBytes = 4096
	h.edit(contract.Entry{Contract: &bounded})
	h.edit(contract.Entry{Contract: new(contract.DefaultContract("brazicod"))})
	for _, k := range []struct {
		text    string
		account contract.Account
	}{{testKey, testAccount}, {otherKey, "brazicod"}, {withdrawnKey, testAccount}, {noContractKey, "nobody"}} {
		presented, err := contract.ParseKey(k.text)
		if err != nil {
			h.t.Fatal(err)
		}
		key := contract.Key{ID: presented.ID, Account: k.account, SecretSHA256: contract.HashSecret(presented.Secret)}
		key.Withdrawn = k.text == withdrawnKey
		h.edit(contract.Entry{Key: &key})
	}
}

// edit applies a configuration edit and revokes withdrawn keys, as the
// configuration's syncer does.
func (h *harness) edit(e contract.Entry) {
	h.t.Helper()
	e.Revision = h.view.Load().Revision + 1
	next, err := h.view.Load().Apply(e)
	if err != nil {
		h.t.Fatal(err)
	}
	h.view.Advance(next)
	if h.server != nil {
		h.server.CancelWithdrawnKeys(next)
	}
}

func (h *harness) withdraw(id string) {
	key := h.view.Load().Keys[id]
	key.Withdrawn = true
	h.edit(contract.Entry{Key: &key})
}

// answer is the HTTP response that a caller received.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	refusal Refusal
}

// call sends one request with the test key. It fails the test if there is no
// complete response.
func (h *harness) call(method, path, body string, change ...func(*http.Request)) answer {
	h.t.Helper()
	got, err := h.try(method, path, body, change...)
	if err != nil {
		h.t.Fatalf("%s %s: %v", method, path, err)
	}
	return got
}

// try is like call, but returns the error if there is no complete response.
func (h *harness) try(method, path, body string, change ...func(*http.Request)) (answer, error) {
	h.t.Helper()
	req, err := http.NewRequest(method, h.serve()+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, c := range change {
		c(req)
	}
	response, err := h.http.Client().Do(req)
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

// fakeConfigurationAge is a ConfigurationAge with an adjustable age.
type fakeConfigurationAge struct {
	age atomic.Int64
	// hook runs on each call of Age, that is after the key was checked and
	// before the session of the request begins.
	hook func()
}

// Age implements ConfigurationAge.
func (a *fakeConfigurationAge) Age() time.Duration {
	if a.hook != nil {
		a.hook()
	}
	return time.Duration(a.age.Load())
}

// discardUsage is a UsageRecorder that discards usage.
type discardUsage struct{}

// Add implements UsageRecorder.
func (discardUsage) Add(contract.Account, usage.Counts) {}

// fakeSteps is a Steps whose methods return err.
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

// fakeDispatcher is a dispatch.Dispatcher that grants upstreams in round-robin
// order. The hook may refuse a request.
type fakeDispatcher struct {
	mu        sync.Mutex
	upstreams []platformapi.Upstream
	next      int
	hook      func(ctx context.Context, work dispatch.Work) error
	granted   int
}

func (d *fakeDispatcher) add(u platformapi.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = append(d.upstreams, u)
}

// Acquire implements dispatch.Dispatcher.
func (d *fakeDispatcher) Acquire(ctx context.Context, work dispatch.Work) (dispatch.Grant, error) {
	if d.hook != nil {
		if err := d.hook(ctx, work); err != nil {
			return dispatch.Grant{}, err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for range d.upstreams {
		u := d.upstreams[d.next%len(d.upstreams)]
		d.next++
		served := u.Kind == work.Pool.Kind && (u.Service == work.Pool.Service) && (u.Model == work.Pool.Model)
		if served && !slices.Contains(work.Exclude, u.ID) {
			d.granted++
			return dispatch.Grant{Upstream: u, Done: func(dispatch.Result) {}}, nil
		}
	}
	return dispatch.Grant{}, errors.WithStack(&fault.NoUpstream{Pool: work.Pool.String(), Wait: time.Second})
}

// meteredUpstream is a fake upstream that counts the requests and bytes that it
// received.
type meteredUpstream struct {
	*httptest.Server
	bytes    atomic.Int64
	requests atomic.Int64
}

// engine adds an engine whose requests are served by handler.
func (h *harness) engine(id string, handler http.HandlerFunc) *meteredUpstream {
	m := newMeteredUpstream(h.t, handler)
	h.metered = append(h.metered, m)
	h.dispatcher.add(platformapi.Upstream{ID: id, Kind: platformapi.KindEngine, Model: testModel, Address: m.address()})
	return m
}

// service adds an upstream of the service testService whose requests are served
// by handler.
func (h *harness) service(id string, handler http.HandlerFunc) *meteredUpstream {
	m := newMeteredUpstream(h.t, handler)
	h.metered = append(h.metered, m)
	h.dispatcher.add(platformapi.Upstream{ID: id, Kind: platformapi.KindService, Service: testService, Address: m.address()})
	return m
}

func newMeteredUpstream(t testing.TB, handler http.HandlerFunc) *meteredUpstream {
	m := &meteredUpstream{}
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

func (m *meteredUpstream) address() string { return m.Listener.Addr().String() }

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

// faultyTables is a table service that fails while down is set. The hook runs before each
// commit.
type faultyTables struct {
	platformapi.Tables
	down atomic.Bool
	hook func(ctx context.Context)
}

func (f *faultyTables) err() error {
	if f.down.Load() {
		return errors.WithStack(&fault.StoreUnavailable{Operation: "test"})
	}
	return nil
}

// Get implements platformapi.Tables.
func (f *faultyTables) Get(ctx context.Context, key string) (platformapi.Row, error) {
	if err := f.err(); err != nil {
		return platformapi.Row{}, err
	}
	return f.Tables.Get(ctx, key)
}

// Commit implements platformapi.Tables.
func (f *faultyTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	if err := f.err(); err != nil {
		return err
	}
	if f.hook != nil {
		f.hook(ctx)
	}
	return f.Tables.Commit(ctx, txn)
}

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Sync implements zapcore.WriteSyncer.
func (*logBuffer) Sync() error { return nil }

// String returns everything written.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// script writes the response of a fake engine as a test specifies.
type script struct {
	w  http.ResponseWriter
	r  *http.Request
	id string
	// resume is the number of tokens that the request already contains.
	resume int
}

// scripted returns a handler that decodes the request and calls play to answer
// it.
func scripted(play func(s *script)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request engine.CompletionRequest
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			return
		}
		play(&script{w: w, r: r, id: request.RequestID, resume: len(request.Resume)})
	}
}

// chunk sends tokens that start at offset.
func (s *script) chunk(offset int, tokens ...string) { s.send(s.id, offset, "", tokens...) }

// last sends tokens that start at offset, with the finish reason.
func (s *script) last(offset int, tokens ...string) { s.send(s.id, offset, "stop", tokens...) }

// complete sends the rest of the answer "a b c d" after the tokens that the
// request contains.
func (s *script) complete() {
	tokens := []string{"a", "b", "c", "d"}
	s.last(s.resume, tokens[s.resume:]...)
	s.raw(engine.DoneEvent)
}

// send sends one chunk as the answer to the request id.
func (s *script) send(id string, offset int, finish string, tokens ...string) {
	text, _ := json.Marshal(engine.CompletionChunk{
		ID: id, Model: testModel, WeightVersion: 7, Incarnation: "i1",
		Choices: []engine.CompletionChoice{{Offset: offset, Tokens: tokens, FinishReason: finish}},
	})
	s.raw(string(text))
}

// header sends the response header.
func (s *script) header() {
	s.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(s.w).Flush()
}

// raw sends one event.
func (s *script) raw(data string) {
	_, _ = io.WriteString(s.w, "data: "+data+"\n\n")
	_ = http.NewResponseController(s.w).Flush()
}

// disconnect closes the connection.
func (s *script) disconnect() { panic(http.ErrAbortHandler) }

// waitForCancel blocks until the client cancels the request.
func (s *script) waitForCancel() { <-s.r.Context().Done() }
