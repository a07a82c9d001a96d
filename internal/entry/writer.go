package entry

import (
	"net/http"
	"sync"
	"time"
)

const (
	// defaultWriteTimeout is the timeout of one write to a caller. Without it,
	// a caller that reads slowly would hold its slot at an engine until its
	// deadline, and a planned stop would wait for it.
	defaultWriteTimeout = 30 * time.Second
	// lastWriteTimeout is the time left for pending writes and the last event
	// after a request was cancelled, for example because its key was withdrawn.
	lastWriteTimeout = time.Second
)

// callerWriter writes the answer to a caller, with a timeout for each write.
type callerWriter struct {
	http.ResponseWriter
	connection *http.ResponseController
	timeout    time.Duration
	// started is true once a part of the answer has been written.
	started bool

	mu sync.Mutex
	// cancelled is true once cancelWrites was called. Writes no longer extend
	// the deadline.
	cancelled bool
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{ResponseWriter: w, connection: http.NewResponseController(w), timeout: timeout}
}

// WriteHeader implements http.ResponseWriter.
func (w *callerWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.started = true
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// extendDeadline sets the deadline of the next write. net/http removes the
// deadline from the connection after the answer.
func (w *callerWriter) extendDeadline() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.cancelled {
		w.setDeadline(w.timeout)
	}
}

// cancelWrites sets a final deadline, lastWriteTimeout from now, for pending
// and later writes. A write that is blocked by a slow caller does not observe
// the context of its request; without the deadline, a caller with a withdrawn
// key would stay connected until it reads.
func (w *callerWriter) cancelWrites() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelled = true
	w.setDeadline(lastWriteTimeout)
}

// setDeadline sets the write deadline of the connection to now plus after. It
// ignores writers that do not support deadlines, as in tests, which have no
// slow callers.
func (w *callerWriter) setDeadline(after time.Duration) {
	_ = w.connection.SetWriteDeadline(time.Now().Add(after))
}

// Flush implements http.Flusher.
func (w *callerWriter) Flush() { _ = w.connection.Flush() }

// Unwrap implements the interface by which http.ResponseController finds the
// connection.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
