package platformapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
)

func newRecorder() *event.Recorder {
	return event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop())
}

// listServer serves a list of VMs with an ETag, and counts the responses with a
// body.
type listServer struct {
	vms    atomic.Pointer[[]VM]
	etag   atomic.Pointer[string]
	bodies atomic.Int64
}

func (l *listServer) set(etag string, vms ...VM) {
	l.etag.Store(&etag)
	l.vms.Store(&vms)
}

func (l *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("ETag", *l.etag.Load())
	if r.Header.Get("If-None-Match") == *l.etag.Load() {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	l.bodies.Add(1)
	_ = json.NewEncoder(w).Encode(*l.vms.Load())
}

func TestUnchangedListIsNotTransferredAgain(t *testing.T) {
	lists := &listServer{}
	lists.set(`"1"`, VM{ID: "vm-1"})
	server := httptest.NewServer(lists)
	defer server.Close()
	client := NewClient(server.URL, newRecorder())
	for range 5 {
		vms, err := client.VMs(t.Context())
		if err != nil || len(vms) != 1 {
			t.Fatalf("VMs: %v, %v", vms, err)
		}
	}
	if got := lists.bodies.Load(); got != 1 {
		t.Errorf("the list was sent %d times, want 1", got)
	}
	lists.set(`"2"`, VM{ID: "vm-1"}, VM{ID: "vm-2"})
	if vms, err := client.VMs(t.Context()); err != nil || len(vms) != 2 {
		t.Errorf("after the change: %v, %v", vms, err)
	}
}

// Guards against an error page that is accepted as a new list: it would empty the
// directory, and every request would be refused. Here the platform answers a poll
// with status 502 and an empty list.
func TestErrorPageIsNotAccepted(t *testing.T) {
	lists := &listServer{}
	lists.set(`"1"`, VM{ID: "vm-1"})
	failing := atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if failing.Load() {
			w.WriteHeader(http.StatusBadGateway)
			_, _ = w.Write([]byte("[]"))
			return
		}
		lists.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := NewClient(server.URL, newRecorder())
	if _, err := client.VMs(t.Context()); err != nil {
		t.Fatal(err)
	}
	failing.Store(true)
	if vms, err := client.VMs(t.Context()); err == nil {
		t.Errorf("VMs accepted an error page as the list %v", vms)
	}
	failing.Store(false)
	if vms, err := client.VMs(t.Context()); err != nil || len(vms) != 1 {
		t.Errorf("after the error: %v, %v", vms, err)
	}
}
