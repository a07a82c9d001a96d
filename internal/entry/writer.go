package entry

import (
	"net/http"
	"sync"
	"time"
)

const (
	// defaultWriteTimeout bounds one write to a caller that reads slowly.
	// Without it such a caller holds its place on an engine for its whole
	// deadline, and a planned stop waits for it.
	defaultWriteTimeout = 30 * time.Second
	// partingTimeout bounds the last event to a caller whose request was
	// cancelled, for example because its key was withdrawn.
	partingTimeout = time.Second
)

// callerWriter writes one answer to a caller, with a deadline for each write.
type callerWriter struct {
	http.ResponseWriter
	connection *http.ResponseController
	timeout    time.Duration
	// began is true once a part of the answer was written.
	began bool

	mu sync.Mutex
	// parting is true once the caller only gets its last event.
	parting bool
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{ResponseWriter: w, connection: http.NewResponseController(w), timeout: timeout}
}

// WriteHeader implements http.ResponseWriter.
func (w *callerWriter) WriteHeader(status int) {
	w.began = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.began = true
	w.extend()
	return w.ResponseWriter.Write(p)
}

// extend gives the next write its time. net/http takes the deadline off the
// connection after the answer.
func (w *callerWriter) extend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.parting {
		w.setDeadline(w.timeout)
	}
}

// part ends a pending write soon, and gives what is still written no more time.
// A write that waits for a slow caller does not look at its request's context; a
// withdrawn key would stay connected until the caller reads.
func (w *callerWriter) part() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.parting = true
	w.setDeadline(partingTimeout)
}

// setDeadline bounds pending writes. A writer without deadlines, as in tests,
// has no slow caller either.
func (w *callerWriter) setDeadline(after time.Duration) {
	_ = w.connection.SetWriteDeadline(time.Now().Add(after))
}

// Flush implements http.Flusher.
func (w *callerWriter) Flush() { _ = w.connection.Flush() }

// Unwrap lets http.ResponseController find the connection.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
