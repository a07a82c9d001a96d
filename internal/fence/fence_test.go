package fence

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/dial/dialtest"
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

func startCountingServer(t *testing.T) (target string, count *atomic.Int64) {
	count = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { count.Add(1) }))
	t.Cleanup(server.Close)
	return server.URL, count
}

func sendOrder(t *testing.T, ctx context.Context, target string) error {
	t.Helper()
	client := NewClient(time.Second, 10*time.Second)
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
