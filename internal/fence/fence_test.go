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

// switched is a lease that can be lost at any moment.
type switched struct {
	lost     atomic.Bool
	deadline time.Time
}

func (s *switched) Check() error {
	if s.lost.Load() {
		return errors.WithStack(&fault.LeaseLost{Lease: "l", Epoch: 1})
	}
	return nil
}

func (s *switched) Epoch() uint64       { return 1 }
func (s *switched) Deadline() time.Time { return s.deadline }

func counting(t *testing.T) (target string, count *atomic.Int64) {
	count = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { count.Add(1) }))
	t.Cleanup(server.Close)
	return server.URL, count
}

func send(t *testing.T, ctx context.Context, target string) error {
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

func TestOrderGoesOutWhileTheLeaseIsHeld(t *testing.T) {
	target, count := counting(t)
	guard := &switched{deadline: time.Now().Add(time.Hour)}
	if err := send(t, Context(t.Context(), guard), target); err != nil {
		t.Fatalf("send: %v", err)
	}
	if count.Load() != 1 {
		t.Errorf("the receiver got %d orders, want 1", count.Load())
	}
}

// The holder looks at its lease, and loses it while the connection is being
// set up. Without a second look the receiver would get an order from a process
// that is not in charge any more.
func TestOrderDoesNotGoOutWhenTheLeaseIsLostWhileConnecting(t *testing.T) {
	target, count := counting(t)
	guard := &switched{deadline: time.Now().Add(time.Hour)}
	if err := guard.Check(); err != nil {
		t.Fatal(err)
	}
	guard.lost.Store(true)
	if err := send(t, Context(t.Context(), guard), target); err == nil {
		t.Error("the order was sent without the lease")
	}
	if count.Load() != 0 {
		t.Errorf("the receiver got %d orders, want none", count.Load())
	}
}

// The holder sends an order into a cut, gets no answer and gives up. If its kernel kept
// the bytes, the receiver would get the order after the cut, behind those of the next
// holder and with a lower epoch.
func TestOrderThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	peer := dialtest.NewSilent(t)
	ctx, giveUp := context.WithCancel(t.Context())
	go func() {
		<-peer.Received
		giveUp()
	}()
	guard := &switched{deadline: time.Now().Add(time.Hour)}
	if err := send(t, Context(ctx, guard), "http://"+peer.Address); err == nil {
		t.Fatal("the order was answered")
	}
	if err := <-peer.Ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// The process is paused between the look at the lease and the system call that
// writes. The term ends meanwhile, and only the connection's deadline is left
// to stop the write.
func TestOrderIsNotWrittenBehindTheTerm(t *testing.T) {
	target, count := counting(t)
	guard := &switched{deadline: time.Now().Add(-time.Millisecond)}
	if err := send(t, Context(t.Context(), guard), target); err == nil {
		t.Error("the order was written behind the end of the term")
	}
	if count.Load() != 0 {
		t.Errorf("the receiver got %d orders, want none", count.Load())
	}
}
