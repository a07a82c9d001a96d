package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"dogwoodpond/internal/fault"
)

// The types of a stream's events.
const (
	eventChunk  = "chunk"
	eventAnswer = "answer"
	eventError  = "error"
)

const (
	// writeTimeout bounds one write to a caller that reads slowly. Without it
	// such a caller holds its place on an engine for its whole deadline, and a
	// planned stop waits for it.
	writeTimeout = 30 * time.Second
	// partingTimeout bounds the last event to a caller whose request was
	// cancelled, for example because its key was withdrawn.
	partingTimeout = time.Second
)

// eventWriter writes server-sent events to one caller.
type eventWriter struct {
	ctx        context.Context
	w          http.ResponseWriter
	connection *http.ResponseController
	// started is true once the header is written.
	started bool
	stop    func() bool
}

// newEventWriter returns a writer whose pending write ends soon after ctx.
func newEventWriter(ctx context.Context, w http.ResponseWriter) *eventWriter {
	e := &eventWriter{ctx: ctx, w: w, connection: http.NewResponseController(w)}
	// A write that waits for a slow caller does not look at ctx; a withdrawn
	// key would then stay connected until the caller reads.
	e.stop = context.AfterFunc(ctx, func() { e.setDeadline(partingTimeout) })
	return e
}

// setDeadline ends a pending write. A writer without deadlines, as in tests,
// has no slow caller either.
func (e *eventWriter) setDeadline(after time.Duration) {
	_ = e.connection.SetWriteDeadline(time.Now().Add(after))
}

// close ends the use of the connection by this writer.
func (e *eventWriter) close() {
	e.stop()
	_ = e.connection.SetWriteDeadline(time.Time{})
}

// send writes one event and pushes it out. It fails with *fault.CallerGone.
func (e *eventWriter) send(kind string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.WithStack(&fault.Internal{Where: "event"})
	}
	if e.ctx.Err() == nil {
		e.setDeadline(writeTimeout)
	}
	e.start()
	message := sse.Message{Type: sse.Type(kind)}
	message.AppendData(string(text))
	if _, err := message.WriteTo(e.w); err != nil {
		return errors.WithStack(&fault.CallerGone{})
	}
	if err := e.connection.Flush(); err != nil {
		return errors.WithStack(&fault.CallerGone{})
	}
	return nil
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.WriteHeader(http.StatusOK)
}
