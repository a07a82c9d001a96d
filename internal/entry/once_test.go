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

// droppingDesk answers the first request of each connection and drops the
// connection after it has read the second, as a desk does that dies while it
// works. It counts the requests that it read, by method and path.
type droppingDesk struct {
	mu   sync.Mutex
	runs map[string]int
}

func newDroppingDesk(r *rig) *droppingDesk {
	d := &droppingDesk{runs: make(map[string]int)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	r.places.add(platformapi.Upstream{ID: "s1", Kind: platformapi.KindService, Service: testService, Address: listener.Addr().String()})
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

// A desk reads a deposit on a kept connection and dies. Go's HTTP transport
// repeats some requests by itself on kept connections; the deposit would be
// charged twice and nobody here would know.
func TestTransportNeverRepeatsACallThatMayHaveRun(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{http.MethodPost, "tree 17"}, {http.MethodPost, ""}, {http.MethodPut, "tree 17"}, {http.MethodPut, ""}, {http.MethodDelete, ""},
	} {
		for _, key := range []string{"", "tree-17"} {
			t.Run(fmt.Sprintf("%s %q key %q", c.method, c.body, key), func(t *testing.T) {
				t.Parallel()
				r := newRig(t, rigOptions{})
				desk := newDroppingDesk(r)
				if got := r.call(http.MethodGet, "/v1/services/desk/warm", ""); got.status != http.StatusOK {
					t.Fatalf("got %d %s", got.status, got.body)
				}
				got := r.call(c.method, "/v1/services/desk/deposit", c.body, func(q *http.Request) {
					if key != "" {
						q.Header.Set("Idempotency-Key", key)
					}
				})
				if runs := desk.count(c.method + " /deposit"); runs != 1 || got.refusal.Execution != fault.Unknown {
					t.Errorf("the desk read the call %d times, the caller was told %d %s", runs, got.status, got.body)
				}
			})
		}
	}
}

// A desk fails in the middle of a GET. Repeats that the transport makes by itself
// are in no budget and no event, and add to the load of a desk in trouble.
func TestTransportNeverRepeatsAGetByItself(t *testing.T) {
	r := newRig(t, rigOptions{})
	desk := newDroppingDesk(r)
	for range 2 {
		if got := r.call(http.MethodGet, "/v1/services/desk/fields", ""); got.status != http.StatusOK {
			t.Errorf("got %d %s", got.status, got.body)
		}
	}
	dispatched := 0
	for _, record := range r.events.Since(event.Stamp{}) {
		if record.Number == event.RequestDispatched {
			dispatched++
		}
	}
	if runs := desk.count("GET /fields"); runs != dispatched || runs < 3 {
		t.Errorf("the desk read %d requests, %d were dispatched", runs, dispatched)
	}
}

// chargingDesk counts the charges by body. A hook may act between the charge and
// its answer.
type chargingDesk struct {
	mu      sync.Mutex
	charges map[string]int
	hook    http.HandlerFunc
}

func newChargingDesk(rigs ...*rig) *chargingDesk {
	d := &chargingDesk{charges: make(map[string]int)}
	for _, r := range rigs {
		r.service("s1", d.serve)
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

// sharing returns a second VM's rig over the first one's store.
func (r *rig) sharing() *rig {
	second := newRig(r.t, rigOptions{})
	second.tables.Tables = r.tables.Tables
	return second
}

// A family's browser sends the same deposit to several VMs at once. Run by each,
// it is charged as often.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	first := newRig(t, rigOptions{})
	second := first.sharing()
	desk := newChargingDesk(first, second)
	first.serve()
	second.serve()
	const repeats = 16
	answers := make(chan answer, repeats)
	for n := range repeats {
		r := []*rig{first, second}[n%2]
		go func() {
			got, err := r.try(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
			if err != nil {
				t.Error(err)
			}
			answers <- got
		}()
	}
	served := 0
	for range repeats {
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

// The desk charges and its answer is lost. A repeat that runs charges a second
// deposit; one that is told "not run" makes the family pay elsewhere.
func TestLostAnswerStaysUnknown(t *testing.T) {
	r := newRig(t, rigOptions{})
	desk := newChargingDesk(r)
	desk.setHook(abort)
	first := r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
	if first.status != http.StatusBadGateway || first.refusal.Execution != fault.Unknown {
		t.Errorf("first: %d %s", first.status, first.body)
	}
	desk.setHook(nil)
	for _, vm := range []*rig{r, r.sharing()} {
		repeat := vm.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
		if repeat.status != http.StatusConflict || repeat.refusal.Execution != fault.Unknown {
			t.Errorf("repeat: %d %s", repeat.status, repeat.body)
		}
	}
	if desk.count("tree 17") != 1 {
		t.Errorf("%d charges", desk.count("tree 17"))
	}
}

// No desk could be reached, and the caller was told that its deposit has not
// run. If the claim stayed, the repeat would be told "unknown" for ever.
func TestRefusedCallCanBeRepeated(t *testing.T) {
	r := newRig(t, rigOptions{})
	closedPort(r)
	first := r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
	if first.refusal.Execution != fault.NotRun {
		t.Errorf("first: %d %s", first.status, first.body)
	}
	second := r.sharing()
	desk := newChargingDesk(second)
	repeat := second.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
	if repeat.status != http.StatusOK || desk.count("tree 17") != 1 {
		t.Errorf("repeat: %d %s, %d charges", repeat.status, repeat.body, desk.count("tree 17"))
	}
}

// The store fails while the desk charges, so the outcome can't be kept. The
// caller still gets its answer; a repeat must not run.
func TestOutcomeThatCannotBeStoredIsUnknownToRepeats(t *testing.T) {
	r := newRig(t, rigOptions{})
	desk := newChargingDesk(r)
	desk.setHook(func(http.ResponseWriter, *http.Request) { r.tables.down.Store(true) })
	first := r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
	if first.status != http.StatusOK {
		t.Errorf("first: %d %s", first.status, first.body)
	}
	r.tables.down.Store(false)
	repeat := r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
	if repeat.refusal.Execution != fault.Unknown || desk.count("tree 17") != 1 {
		t.Errorf("repeat: %d %s, %d charges", repeat.status, repeat.body, desk.count("tree 17"))
	}
}

// A family's phone loses its connection while the desk charges. Were the call
// cut off with it, nobody could ever say what became of the deposit; so it goes
// on, a planned stop waits for it, and the repeat gets its answer.
func TestKeyedCallOutlivesItsCaller(t *testing.T) {
	r := newRig(t, rigOptions{})
	desk := newChargingDesk(r)
	charging, proceed := make(chan struct{}), make(chan struct{})
	var cut atomic.Bool
	desk.setHook(func(_ http.ResponseWriter, q *http.Request) {
		close(charging)
		<-proceed
		cut.Store(q.Context().Err() != nil)
	})
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = r.try(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed, func(q *http.Request) { *q = *q.WithContext(ctx) })
	}()
	<-charging
	leave()
	<-left
	for r.server.sessions.count() > 0 {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	r.server.Wait()
	if cut.Load() {
		t.Error("the desk lost its connection with the caller's")
	}
	desk.setHook(nil)
	repeat := r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
	if repeat.status != http.StatusOK || string(repeat.body) != "charge 1" {
		t.Errorf("repeat: %d %s", repeat.status, repeat.body)
	}
}

// A key is withdrawn while its caller's deposit is in the queue. The deposit of
// a caller that has lost its rights must not run when its turn comes.
func TestQueuedCallOfAWithdrawnKeyNeverRuns(t *testing.T) {
	for _, change := range []func(*http.Request){func(*http.Request) {}, keyed} {
		r := newRig(t, rigOptions{})
		desk := newChargingDesk(r)
		// The place is granted in the very moment of the withdrawal.
		r.places.hook = func(context.Context, dispatch.Work) error { r.withdraw("k1"); return nil }
		got := r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", change)
		r.server.Wait()
		if got.refusal.Code != fault.CodeKeyWithdrawn || got.refusal.Execution != fault.NotRun || desk.count("tree 17") != 0 {
			t.Errorf("got %d %s, %d charges", got.status, got.body, desk.count("tree 17"))
		}
	}
}

// A POST without an idempotency key fails in the middle while other desks are
// well. Sent to them too, it would run twice.
func TestUnkeyedCallIsSentOnce(t *testing.T) {
	r := newRig(t, rigOptions{})
	desk := newChargingDesk(r, r, r)
	desk.setHook(abort)
	got := r.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17")
	if got.refusal.Execution != fault.Unknown || desk.count("tree 17") != 1 {
		t.Errorf("got %d %s, %d charges", got.status, strings.TrimSpace(string(got.body)), desk.count("tree 17"))
	}
}

// A caller asks again while its deposit is being charged. Told "not run" it would
// pay elsewhere; it is told that nothing is known yet, and when to ask again.
func TestRepeatOfARunningCallIsToldWhenToAskAgain(t *testing.T) {
	first := newRig(t, rigOptions{})
	second := first.sharing()
	desk := newChargingDesk(first, second)
	charging, proceed := make(chan struct{}), make(chan struct{})
	desk.setHook(func(http.ResponseWriter, *http.Request) {
		close(charging)
		<-proceed
	})
	ended := make(chan answer)
	go func() {
		got, _ := first.try(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
		ended <- got
	}()
	<-charging
	same := first.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
	if same.refusal.Code != fault.CodeClaimInProgress || same.refusal.Execution != fault.Unknown || same.header.Get("Retry-After") == "" {
		t.Errorf("on the same VM: %d %s", same.status, same.body)
	}
	other := second.call(http.MethodPost, "/v1/services/desk/deposit", "tree 17", keyed)
	if other.refusal.Code != fault.CodeClaimUnknown || other.refusal.Execution != fault.Unknown {
		t.Errorf("on another VM: %d %s", other.status, other.body)
	}
	close(proceed)
	if got := <-ended; got.status != http.StatusOK || desk.count("tree 17") != 1 {
		t.Errorf("first: %d %s, %d charges", got.status, got.body, desk.count("tree 17"))
	}
}
