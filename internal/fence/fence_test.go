package fence

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/dial"
	"dogwoodpond/internal/dial/dialtest"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// fakeGuard guards a lease that a test can take away.
type fakeGuard struct {
	lost     atomic.Bool
	deadline time.Time
}

func (g *fakeGuard) Check() error {
	if g.lost.Load() {
		return errors.WithStack(&fault.LeaseLost{Lease: "l", Epoch: 1})
	}
	return nil
}

func (g *fakeGuard) Epoch() uint64       { return 1 }
func (g *fakeGuard) Deadline() time.Time { return g.deadline }

func newRecorder() *event.Recorder {
	return event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop())
}

func startCountingServer(t *testing.T) (target string, count *atomic.Int64) {
	count = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { count.Add(1) }))
	t.Cleanup(server.Close)
	return server.URL, count
}

func sendOrder(t *testing.T, ctx context.Context, target string) error {
	t.Helper()
	client := NewClient(time.Second, 10*time.Second, newRecorder())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("order"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

func TestOrderIsSentWhileTheLeaseIsHeld(t *testing.T) {
	target, count := startCountingServer(t)
	guard := &fakeGuard{deadline: time.Now().Add(time.Hour)}
	if err := sendOrder(t, WithGuard(t.Context(), guard), target); err != nil {
		t.Fatalf("send: %v", err)
	}
	if count.Load() != 1 {
		t.Errorf("the receiver got %d orders, want 1", count.Load())
	}
}

// The lease is lost between a check and the moment at which the connection is
// established. Without a second check the receiver would get an order from a process
// that does not hold the lease any more.
func TestOrderIsNotSentWhenTheLeaseIsLostWhileConnecting(t *testing.T) {
	target, count := startCountingServer(t)
	guard := &fakeGuard{deadline: time.Now().Add(time.Hour)}
	if err := guard.Check(); err != nil {
		t.Fatal(err)
	}
	guard.lost.Store(true)
	if err := sendOrder(t, WithGuard(t.Context(), guard), target); err == nil {
		t.Error("the order was sent without the lease")
	}
	if count.Load() != 0 {
		t.Errorf("the receiver got %d orders, want none", count.Load())
	}
}

// Guards against a canceled order that the kernel of its sender delivers when a network failure ends.
// It is discarded only because the connection is reset. An order that has arrived can't be taken back:
// see TestReceiverReadsOrderAfterReset.
func TestCanceledOrderIsNotDeliveredLater(t *testing.T) {
	peer := dialtest.NewUnresponsivePeer(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-peer.Received
		cancel()
	}()
	guard := &fakeGuard{deadline: time.Now().Add(time.Hour)}
	if err := sendOrder(t, WithGuard(ctx, guard), "http://"+peer.Address); err == nil {
		t.Fatal("the order was answered")
	}
	if err := <-peer.Ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// The process is paused between its check of the lease and the system call that writes.
// The term ends in the meantime, and only the write deadline of the connection can
// prevent the write.
func TestOrderIsNotWrittenAfterTheTerm(t *testing.T) {
	target, count := startCountingServer(t)
	guard := &fakeGuard{deadline: time.Now().Add(-time.Millisecond)}
	if err := sendOrder(t, WithGuard(t.Context(), guard), target); err == nil {
		t.Error("the order was written after the end of the term")
	}
	if count.Load() != 0 {
		t.Errorf("the receiver got %d orders, want none", count.Load())
	}
}

// Guards against a holder that is paused between the check at its connection and the
// system call: the lease is lost in between, and the write deadline, a timer of the
// runtime, has not fired yet.
func TestOrderIsNotWrittenWhenTheLeaseIsLostBeforeTheWrite(t *testing.T) {
	target, count := startCountingServer(t)
	guard := &fakeGuard{deadline: time.Now().Add(time.Hour)}
	ctx := httptrace.WithClientTrace(WithGuard(t.Context(), guard), &httptrace.ClientTrace{
		// The headers are buffered; no byte was written yet.
		WroteHeaders: func() { guard.lost.Store(true) },
	})
	if err := sendOrder(t, ctx, target); err == nil {
		t.Error("the order was written without the lease")
	}
	if count.Load() != 0 {
		t.Errorf("the receiver got %d orders, want none", count.Load())
	}
}

// Guards against the rest of an order that follows when its receiver reads on: the lease
// was lost while the write waited for the receiver.
func TestRestOfAnOrderIsNotWrittenWithoutTheLease(t *testing.T) {
	const size = 64 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	guard := &fakeGuard{deadline: time.Now().Add(time.Hour)}
	received := make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			received <- 0
			return
		}
		defer func() { _ = conn.Close() }()
		// The sender waits for the receiver once it wrote what the kernels buffer.
		first, _ := io.CopyN(io.Discard, conn, 1)
		guard.lost.Store(true)
		rest, _ := io.Copy(io.Discard, conn)
		received <- first + rest
	}()
	client := NewClient(time.Second, 10*time.Second, newRecorder())
	request, err := http.NewRequestWithContext(WithGuard(t.Context(), guard), http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
		t.Error("the order was answered")
	}
	if n := <-received; n >= size {
		t.Errorf("the receiver got %d bytes, want less than the order's %d", n, size)
	}
}

// Guards against a lease that is not checked at connections with TLS, which hide the
// checked one.
func TestOrderOverTLSIsSentOnlyWhileTheLeaseIsHeld(t *testing.T) {
	var count atomic.Int64
	server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { count.Add(1) }))
	t.Cleanup(server.Close)
	for _, lost := range []bool{false, true} {
		guard := &fakeGuard{deadline: time.Now().Add(time.Hour)}
		ctx := httptrace.WithClientTrace(WithGuard(t.Context(), guard), &httptrace.ClientTrace{
			WroteHeaders: func() { guard.lost.Store(lost) },
		})
		client := NewClient(time.Second, 10*time.Second, newRecorder())
		client.Transport.(dial.Transport).TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("order"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		if (err != nil) != lost {
			t.Errorf("lease lost %v: %v", lost, err)
		}
	}
	if count.Load() != 1 {
		t.Errorf("the receiver got %d orders, want 1", count.Load())
	}
}

// Guards against orders that fail because a kernel refuses the limit for unacknowledged
// data, and against a refusal that nobody sees.
func TestRefusedSocketOptionIsReportedOnce(t *testing.T) {
	// The option takes at most 2^31-1 ms.
	const refusedTimeout = 30 * 24 * time.Hour
	target, count := startCountingServer(t)
	events := newRecorder()
	client := NewClient(time.Second, refusedTimeout, events)
	guard := &fakeGuard{deadline: time.Now().Add(time.Hour)}
	for range 2 {
		request, err := http.NewRequestWithContext(WithGuard(t.Context(), guard), http.MethodPost, target, strings.NewReader("order"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("send: %v", err)
		}
		_ = response.Body.Close()
	}
	if count.Load() != 2 {
		t.Errorf("the receiver got %d orders, want 2", count.Load())
	}
	refused := events.Select(event.Query{Numbers: []event.Number{event.SocketOptionRefused}})
	if len(refused) != 1 || !strings.Contains(refused[0].Detail, "TCP_USER_TIMEOUT") {
		t.Errorf("events %+v, want one with the option", refused)
	}
}
