package entry

import (
	"context"
	"encoding/json"
	"net/http"

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

// eventWriter writes server-sent events to one caller.
type eventWriter struct {
	w          http.ResponseWriter
	connection *http.ResponseController
	// started is true once the header is written.
	started bool
	// close ends the watch of the request's context.
	close func() bool
}

// newEventWriter returns a writer whose pending write ends soon after ctx.
func newEventWriter(ctx context.Context, w http.ResponseWriter) *eventWriter {
	e := &eventWriter{w: w, connection: http.NewResponseController(w), close: func() bool { return true }}
	if caller, ok := w.(*callerWriter); ok {
		e.close = context.AfterFunc(ctx, caller.part)
	}
	return e
}

// send writes one event and pushes it out. It fails with *fault.CallerGone.
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

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.WriteHeader(http.StatusOK)
}
