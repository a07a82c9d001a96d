package platformapi

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// Guards against a release that waits for an order or report that never left the VM, and
// against one that does not wait for a call without an answer.
func TestOrderThatWasNotSentMayNotTakeEffect(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	t.Cleanup(server.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := "http://" + listener.Addr().String()
	_ = listener.Close()
	for _, c := range []struct {
		name, base string
		want       bool
	}{
		{"no connection", closed, false},
		{"no answer", server.URL, true},
	} {
		client := NewClient(c.base, event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop()))
		orderErr := client.Order(t.Context(), Order{ID: "1"})
		reportErr := client.Report(t.Context(), UsageReport{Account: "berry"})
		for _, err := range []error{orderErr, reportErr} {
			if got := fault.MayTakeEffect(err); err == nil || got != c.want {
				t.Errorf("%s: %v may take effect: %v, want %v", c.name, err, got, c.want)
			}
		}
	}
}
