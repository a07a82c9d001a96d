// Package standin implements small stand-ins for the platform, model engines,
// plain services and trainers. Tests and the quick start run them instead of the
// real ones. The daemon doesn't import this package.
package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// PathFaults is the path at which POST adds a Fault and DELETE clears all
// faults.
const PathFaults = "/stand-in/faults"

// FaultMode is the effect of a fault on a matching request.
type FaultMode string

// The modes of a fault.
const (
	// FaultRefuse answers 503 and doesn't execute the request.
	FaultRefuse FaultMode = "refuse"
	// FaultDelay delays the execution of the request by Millis milliseconds.
	FaultDelay FaultMode = "delay"
	// FaultLoseReply executes the request and then closes the connection without
	// an answer.
	FaultLoseReply FaultMode = "lose_reply"
	// FaultFreeze delays the request until the faults are cleared.
	FaultFreeze FaultMode = "freeze"
	// FaultTruncate makes an engine close the connection of a stream after Tokens
	// tokens, and a service truncate its answer.
	FaultTruncate FaultMode = "break"
	// FaultOmitVersion makes an engine omit the weight version from its answer.
	FaultOmitVersion FaultMode = "misreport"
	// FaultFailOrder makes an engine answer an order with 500.
	FaultFailOrder FaultMode = "fail_swap"
	// FaultSlow multiplies an engine's time per token by Factor. It is matched
	// again for each chunk of a stream.
	FaultSlow FaultMode = "slow"
)

// Fault is an injected fault. It matches the requests whose path begins with
// Path.
type Fault struct {
	Path   string    `json:"path"`
	Mode   FaultMode `json:"mode"`
	Millis int       `json:"millis,omitempty"`
	Tokens int       `json:"tokens,omitempty"`
	Factor float64   `json:"factor,omitempty"`
	// Count is the number of matches after which the fault is removed; 0 means no
	// limit.
	Count int `json:"count,omitempty"`
}

// faults is the fault injector of one stand-in.
type faults struct {
	mu      sync.Mutex
	active  []Fault
	cleared chan struct{} // closed when the faults are cleared
}

func newFaults() *faults { return &faults{cleared: make(chan struct{})} }

// consume returns the first fault with one of the modes that matches the path,
// and counts the match.
func (f *faults) consume(path string, modes ...FaultMode) (Fault, bool) {
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

// wrap returns a handler that serves PathFaults and applies refusals, delays,
// lost replies and freezes to the requests of next.
func (f *faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathFaults {
			f.serveFaults(w, r)
			return
		}
		fault, matched := f.consume(r.URL.Path, FaultRefuse, FaultDelay, FaultLoseReply, FaultFreeze)
		if !matched {
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

func (f *faults) serveFaults(w http.ResponseWriter, r *http.Request) {
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

// readJSON decodes the body. It answers 400 and returns false if the body is not
// valid JSON.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON answers with a value as JSON. It ignores write errors, because a
// caller may close its connection at any time.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
