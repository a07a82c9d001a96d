package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// droppingDesk is a fake service that answers the first request of each
// connection and closes the connection after reading the second, like a service
// that crashes while it processes a request. It counts the requests that it
// read by method and path.
type droppingDesk struct {
	mu   sync.Mutex
	runs map[string]int
}

func newDroppingDesk(h *harness) *droppingDesk {
	d := &droppingDesk{runs: make(map[string]int)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	h.dispatcher.add(platformapi.Upstream{ID: "s1", Kind: platformapi.KindService, Service: testService, Address: listener.Addr().String()})
	return d
}

func (d *droppingDesk) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		d.mu.Lock()
		d.runs[request.Method+" "+request.URL.Path]++
		d.mu.Unlock()
		if n == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func (d *droppingDesk) count(call string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[call]
}

// A service reads a deposit on a reused connection and crashes. Go's HTTP
// transport retries some requests on reused connections by itself; the deposit
// would be charged twice without any event on the VM.
func TestTransportDoesNotRetryCallThatMayHaveRun(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{http.MethodPost, "tree 17"}, {http.MethodPost, ""}, {http.MethodPut, "tree 17"}, {http.MethodPut, ""}, {http.MethodDelete, ""},
	} {
		for _, key := range []string{"", "tree-17"} {
			t.Run(fmt.Sprintf("%s %q key %q", c.method, c.body, key), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, harnessOptions{})
				desk := newDroppingDesk(h)
				if got := h.call(http.MethodGet, "/v1/services/desk/warm", ""); got.status != http.StatusOK {
					t.Fatalf("got %d %s", got.status, got.body)
				}
				got := h.call(c.method, "/v1/services/desk/deposit", c.body, func(q *http.Request) {
					if key != "" {
						q.Header.Set("Idempotency-Key", key)
					}
				})
				if runs := desk.count(c.method + " /deposit"); runs != 1 || got.refusal.Execution != fault.Unknown {
					t.Errorf("the service read the call %d times, the caller got %d %s", runs, got.status, got.body)
				}
			})
		}
	}
}

// A service fails in the middle of a GET. Retries made by the transport itself
// are not limited by the retry budget, emit no event, and add load to a service
// in trouble.
func TestTransportDoesNotRetryGet(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	desk := newDroppingDesk(h)
	for range 2 {
		if got := h.call(http.MethodGet, "/v1/services/desk/fields", ""); got.status != http.StatusOK {
			t.Errorf("got %d %s", got.status, got.body)
		}
	}
	dispatched := 0
	for _, record := range h.events.Since(event.Stamp{}) {
		if record.Number == event.RequestDispatched {
			dispatched++
		}
	}
	if runs := desk.count("GET /fields"); runs != dispatched || runs < 3 {
		t.Errorf("the service read %d requests, %d were dispatched", runs, dispatched)
	}
}

// chargingDesk is a fake service that counts the charges by request body. The
// hook runs between the charge and its answer.
type chargingDesk struct {
	mu      sync.Mutex
	charges map[string]int
	hook    http.HandlerFunc
}

func newChargingDesk(harnesses ...*harness) *chargingDesk {
	d := &chargingDesk{charges: make(map[string]int)}
	for _, h := range harnesses {
		h.service("s1", d.serve)
	}
	return d
}

func (d *chargingDesk) serve(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	d.mu.Lock()
	d.charges[string(body)]++
	number := d.charges[string(body)]
	d.mu.Unlock()
	if hook := d.getHook(); hook != nil {
		hook(w, q)
	}
	_, _ = fmt.Fprintf(w, "charge %d", number)
}

func (d *chargingDesk) getHook() http.HandlerFunc {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hook
}

func (d *chargingDesk) setHook(hook http.HandlerFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hook = hook
}

func (d *chargingDesk) count(body string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.charges[body]
}

// peer returns the harness of another VM that uses the same store.
func (h *harness) peer() *harness {
	second := newHarness(h.t, harnessOptions{})
	second.tables.Tables = h.tables.Tables
	return second
}

// A browser sends the same deposit to several VMs at once. If each VM ran it,
// it would be charged several times.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	first := newHarness(t, harnessOptions{})
	second := first.peer()
	desk := newChargingDesk(first, second)
	first.serve()
	second.serve()
	const duplicates = 16
	answers := make(chan answer, duplicates)
	for n := range duplicates {
		h := []*harness{first, second}[n%2]
		go func() {
			got, err := h.try(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
			if err != nil {
				t.Error(err)
			}
			answers <- got
		}()
	}
	served := 0
	for range duplicates {
		got := <-answers
		switch {
		case got.status == http.StatusOK && string(got.body) == "charge 1":
			served++
		case got.status == http.StatusConflict && got.refusal.Execution == fault.Unknown:
		default:
			t.Errorf("got %d %s", got.status, got.body)
		}
	}
	if served == 0 || desk.count("tree 17") != 1 {
		t.Errorf("%d callers were served, %d charges", served, desk.count("tree 17"))
	}
}

// The service charges a deposit and its answer is lost. If the duplicate ran, a
// second deposit would be charged; if it were reported as not run, the caller
// would pay elsewhere.
func TestDuplicateAfterLostAnswerIsUnknown(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	desk := newChargingDesk(h)
	desk.setHook(abort)
	first := h.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
	if first.status != http.StatusBadGateway || first.refusal.Execution != fault.Unknown {
		t.Errorf("first: %d %s", first.status, first.body)
	}
	desk.setHook(nil)
	for _, vm := range []*harness{h, h.peer()} {
		duplicate := vm.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
		if duplicate.status != http.StatusConflict || duplicate.refusal.Execution != fault.Unknown {
			t.Errorf("duplicate: %d %s", duplicate.status, duplicate.body)
		}
	}
	if desk.count("tree 17") != 1 {
		t.Errorf("%d charges", desk.count("tree 17"))
	}
}

// No service could be reached, and the caller was answered that its deposit has
// not run. If the claim remained, duplicates would be reported as unknown
// forever.
func TestCallThatDidNotRunCanBeRepeated(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	addUnreachableUpstreams(h)
	first := h.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
	if first.refusal.Execution != fault.NotRun {
		t.Errorf("first: %d %s", first.status, first.body)
	}
	second := h.peer()
	desk := newChargingDesk(second)
	duplicate := second.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
	if duplicate.status != http.StatusOK || desk.count("tree 17") != 1 {
		t.Errorf("duplicate: %d %s, %d charges", duplicate.status, duplicate.body, desk.count("tree 17"))
	}
}

// The store fails while the service charges, so the outcome can't be stored.
// The caller still gets its answer, and a duplicate must not run.
func TestUnstoredOutcomeIsUnknownToDuplicates(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	desk := newChargingDesk(h)
	desk.setHook(func(http.ResponseWriter, *http.Request) { h.tables.down.Store(true) })
	first := h.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
	if first.status != http.StatusOK {
		t.Errorf("first: %d %s", first.status, first.body)
	}
	h.tables.down.Store(false)
	duplicate := h.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
	if duplicate.refusal.Execution != fault.Unknown || desk.count("tree 17") != 1 {
		t.Errorf("duplicate: %d %s, %d charges", duplicate.status, duplicate.body, desk.count("tree 17"))
	}
}

// A caller loses its connection while the service charges. If the call were
// cancelled, the outcome of the deposit would stay unknown. So the call
// continues, a planned stop waits for it, and a duplicate gets its answer.
func TestIdempotentCallContinuesWithoutItsCaller(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	desk := newChargingDesk(h)
	charging, proceed := make(chan struct{}), make(chan struct{})
	var cancelled atomic.Bool
	desk.setHook(func(_ http.ResponseWriter, q *http.Request) {
		close(charging)
		<-proceed
		cancelled.Store(q.Context().Err() != nil)
	})
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		_, _ = h.try(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey, func(q *http.Request) { *q = *q.WithContext(ctx) })
	}()
	<-charging
	disconnect()
	<-disconnected
	for h.server.sessions.count() > 0 {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	h.server.WaitDetached()
	if cancelled.Load() {
		t.Error("the call was cancelled when its caller disconnected")
	}
	desk.setHook(nil)
	duplicate := h.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
	if duplicate.status != http.StatusOK || string(duplicate.body) != "charge 1" {
		t.Errorf("duplicate: %d %s", duplicate.status, duplicate.body)
	}
}

// A key is withdrawn while a deposit of its caller is queued. The deposit must
// not run when a slot is granted.
func TestQueuedCallOfWithdrawnKeyDoesNotRun(t *testing.T) {
	for _, change := range []func(*http.Request){func(*http.Request) {}, withIdempotencyKey} {
		h := newHarness(t, harnessOptions{})
		desk := newChargingDesk(h)
		// The slot is granted at the moment of the withdrawal.
		h.dispatcher.hook = func(context.Context, dispatch.Work) error { h.withdraw("k1"); return nil }
		got := h.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", change)
		h.server.WaitDetached()
		if got.refusal.Code != fault.CodeKeyWithdrawn || got.refusal.Execution != fault.NotRun || desk.count("tree 17") != 0 {
			t.Errorf("got %d %s, %d charges", got.status, got.body, desk.count("tree 17"))
		}
	}
}

// A POST without an idempotency key fails after it was sent, while other
// services are available. If it were retried there, it would run twice.
func TestPostWithoutIdempotencyKeyIsSentOnce(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	desk := newChargingDesk(h, h, h)
	desk.setHook(abort)
	got := h.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17")
	if got.refusal.Execution != fault.Unknown || desk.count("tree 17") != 1 {
		t.Errorf("got %d %s, %d charges", got.status, strings.TrimSpace(string(got.body)), desk.count("tree 17"))
	}
}

// A caller repeats a deposit that is being charged. If the duplicate were
// reported as not run, the caller would pay elsewhere. It is reported as
// unknown, with the time after which to ask again.
func TestDuplicateOfRunningCallGetsRetryAfter(t *testing.T) {
	first := newHarness(t, harnessOptions{})
	second := first.peer()
	desk := newChargingDesk(first, second)
	charging, proceed := make(chan struct{}), make(chan struct{})
	desk.setHook(func(http.ResponseWriter, *http.Request) {
		close(charging)
		<-proceed
	})
	ended := make(chan answer)
	go func() {
		got, _ := first.try(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
		ended <- got
	}()
	<-charging
	same := first.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
	if same.refusal.Code != fault.CodeClaimInProgress || same.refusal.Execution != fault.Unknown || same.header.Get("Retry-After") == "" {
		t.Errorf("on the same VM: %d %s", same.status, same.body)
	}
	other := second.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", withIdempotencyKey)
	if other.refusal.Code != fault.CodeClaimUnknown || other.refusal.Execution != fault.Unknown {
		t.Errorf("on another VM: %d %s", other.status, other.body)
	}
	close(proceed)
	if got := <-ended; got.status != http.StatusOK || desk.count("tree 17") != 1 {
		t.Errorf("first: %d %s, %d charges", got.status, got.body, desk.count("tree 17"))
	}
}
