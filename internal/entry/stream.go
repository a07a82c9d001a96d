package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"dogwoodpond/internal/fault"
)

// Event types of a stream.
const (
	eventChunk  = "chunk"
	eventAnswer = "answer"
	eventError  = "error"
)

// eventWriter writes server-sent events to a caller.
type eventWriter struct {
	w          http.ResponseWriter
	connection *http.ResponseController
	// started is true once the header has been written.
	started bool
	// close stops watching the context of the request.
	close func() bool
}

// newEventWriter returns an eventWriter. When ctx ends, its pending and later
// writes must finish within lastWriteTimeout.
func newEventWriter(ctx context.Context, w http.ResponseWriter) *eventWriter {
	e := &eventWriter{w: w, connection: http.NewResponseController(w), close: func() bool { return true }}
	if cw, ok := w.(*callerWriter); ok {
		e.close = context.AfterFunc(ctx, cw.cancelWrites)
	}
	return e
}

// send writes and flushes one event. It fails with *fault.CallerGone if the
// caller can't be written to.
func (e *eventWriter) send(kind string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.WithStack(&fault.Internal{Where: "event"})
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

// start writes the header before the first event.
func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.WriteHeader(http.StatusOK)
}
