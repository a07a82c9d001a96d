// Package standin holds small stand-ins for the platform, model engines, plain
// services and trainers. Tests and the quick start run them in place of the
// real ones; nothing of the daemon imports this package.
package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// PathFaults takes a Fault by POST and clears all faults by DELETE.
const PathFaults = "/stand-in/faults"

// FaultMode is what a fault switch does to a matching request.
type FaultMode string

// The modes of a fault switch.
const (
	// FaultRefuse answers 503 before any effect.
	FaultRefuse FaultMode = "refuse"
	// FaultDelay waits before the effect.
	FaultDelay FaultMode = "delay"
	// FaultLoseReply lets the effect happen and then drops the connection.
	FaultLoseReply FaultMode = "lose_reply"
	// FaultFreeze holds the request until the faults are cleared.
	FaultFreeze FaultMode = "freeze"
	// FaultBreak lets an engine drop a stream after Tokens tokens, and a
	// service drop its answer in the middle.
	FaultBreak FaultMode = "break"
	// FaultMisreport lets an engine name no weight version.
	FaultMisreport FaultMode = "misreport"
	// FaultFailSwap lets an engine answer a weight order with 500.
	FaultFailSwap FaultMode = "fail_swap"
	// FaultSlow multiplies an engine's time per token by Factor.
	FaultSlow FaultMode = "slow"
)

// Fault is one fault switch.
type Fault struct {
	Path   string    `json:"path"`
	Mode   FaultMode `json:"mode"`
	Millis int       `json:"millis,omitempty"`
	Tokens int       `json:"tokens,omitempty"`
	Factor float64   `json:"factor,omitempty"`
	// Count is how many requests the fault hits; 0 means all.
	Count int `json:"count,omitempty"`
}

// faults holds the switches of one stand-in.
type faults struct {
	mu      sync.Mutex
	active  []Fault
	cleared chan struct{}
}

func newFaults() *faults { return &faults{cleared: make(chan struct{})} }

// take returns the first matching fault of one of the modes and counts it down.
func (f *faults) take(path string, modes ...FaultMode) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.active {
		if !strings.HasPrefix(path, fault.Path) || !hasMode(modes, fault.Mode) {
			continue
		}
		f.countDown(i)
		return fault, true
	}
	return Fault{}, false
}

func (f *faults) countDown(i int) {
	switch f.active[i].Count {
	case 0:
	case 1:
		f.active = append(f.active[:i:i], f.active[i+1:]...)
	default:
		f.active[i].Count--
	}
}

func hasMode(modes []FaultMode, mode FaultMode) bool {
	for _, m := range modes {
		if m == mode {
			return true
		}
	}
	return false
}

func (f *faults) add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, fault)
}

func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = nil
	close(f.cleared)
	f.cleared = make(chan struct{})
}

func (f *faults) untilCleared() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cleared
}

// wrap serves the switches and applies the general modes around next.
func (f *faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathFaults {
			f.control(w, r)
			return
		}
		fault, hit := f.take(r.URL.Path, FaultRefuse, FaultDelay, FaultLoseReply, FaultFreeze)
		if !hit {
			next.ServeHTTP(w, r)
			return
		}
		f.apply(fault, next, w, r)
	})
}

func (f *faults) apply(fault Fault, next http.Handler, w http.ResponseWriter, r *http.Request) {
	switch fault.Mode {
	case FaultRefuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultDelay:
		time.Sleep(time.Duration(fault.Millis) * time.Millisecond)
		next.ServeHTTP(w, r)
	case FaultLoseReply:
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case FaultFreeze:
		select {
		case <-f.untilCleared():
			next.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	}
}

func (f *faults) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		f.clear()
		return
	}
	var fault Fault
	if !readJSON(w, r, &fault) {
		return
	}
	f.add(fault)
}

// readJSON decodes the body and answers 400 when it can't.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON answers with a value. A caller that has gone is not an error here.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
