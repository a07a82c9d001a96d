// Package eventstream splits a stream of server-sent events into complete events
// and preserves their bytes. Libraries return only parsed events. Here an event must
// be forwarded unchanged, or dropped if the stream ends inside it.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

const (
	// maxEventBytes and maxEventLines limit the size of one event. Events of these services have a few
	// hundred bytes.
	maxEventBytes = 1 << 20
	maxEventLines = 4096
	// maxBytesWithoutID limits what a stream contains between two events with an ID: comments, blank lines
	// and other events.
	maxBytesWithoutID = 64 << 10
)

// MediaType is the media type of a stream.
const MediaType = "text/event-stream"

// IsStream reports whether the header of an answer allows that its body is a stream: it names no other media type.
func IsStream(header http.Header) bool {
	contentType := header.Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == MediaType
}

// Event is one complete event.
type Event struct {
	// Raw holds the bytes of the event, with the empty line that ends it.
	Raw []byte
	// ID is the number of the event. HasID is false if the event has no id field
	// with a number.
	ID    int64
	HasID bool
	// Data holds the values of the data fields, separated by line feeds.
	Data []byte

	fields [][]byte
}

// Field returns the value of the first field with the name. name must be in lower
// case; the case of names in the stream is ignored.
func (e *Event) Field(name string) (value string, ok bool) {
	for _, line := range e.fields {
		key, rest, found := bytes.Cut(line, []byte{':'})
		if found && string(bytes.ToLower(key)) == name {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// Reader reads the events of a stream.
type Reader struct {
	in *bufio.Reader
	// withoutID is the number of bytes between the last event with an ID and the current event.
	withoutID int
	// reserved is the memory of the current event.
	reserved reservation
}

// NewReader returns a reader of a stream that holds long events in a memory. Close must follow.
func NewReader(in io.Reader, memory *Memory) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 2048), reserved: reservation{memory: memory}}
}

// Close gives back the memory of the last event.
func (r *Reader) Close() { r.reserved.release() }

// Next returns the next complete event; the memory of the one before may be used again. It fails
// with io.EOF after the last one, with io.ErrUnexpectedEOF if the stream ends inside an event, and
// with *fault.BodyTooLarge if an event is too large, or has no room in the memory, or the stream has
// too much without an ID.
func (r *Reader) Next() (*Event, error) {
	r.reserved.release()
	event := &Event{}
	for {
		line, err := r.in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = r.readLongLine(line, len(event.Raw))
		}
		if err != nil {
			return nil, endError(event, line, err)
		}
		event.Raw = append(event.Raw, line...)
		if len(event.Raw) > maxEventBytes || len(event.fields) > maxEventLines || !r.reserve(len(event.Raw)) {
			return nil, errors.WithStack(&fault.BodyTooLarge{Limit: maxEventBytes})
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) > 0 {
			event.addField(content)
			continue
		}
		if event.HasID {
			r.withoutID = 0
			return event, nil
		}
		if r.withoutID += len(event.Raw); r.withoutID > maxBytesWithoutID {
			return nil, errors.WithStack(&fault.BodyTooLarge{Limit: maxBytesWithoutID})
		}
		if len(event.fields) > 0 {
			return event, nil
		}
		event.Raw = nil
	}
}

// endError returns the error for a stream that failed with err after it read event
// and line in part: io.ErrUnexpectedEOF if the stream ended inside an event, and err
// otherwise.
func endError(event *Event, line []byte, err error) error {
	if err == io.EOF && (len(event.fields) > 0 || len(line) > 0) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// reserve reports whether there is memory for an event of n bytes.
func (r *Reader) reserve(n int) bool { return r.reserved.growTo(copies * int64(n)) }

// readLongLine reads the rest of a line that is longer than the buffer, and returns
// the line. before is the size of the event before it.
func (r *Reader) readLongLine(start []byte, before int) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) <= maxEventBytes && r.reserve(before+len(line)) {
		more, err := r.in.ReadSlice('\n')
		line = append(line, more...)
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
	return line, errors.WithStack(&fault.BodyTooLarge{Limit: maxEventBytes})
}

func (e *Event) addField(line []byte) {
	line = bytes.Clone(line)
	e.fields = append(e.fields, line)
	key, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(key) {
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		if e.Data == nil {
			e.Data = []byte{}
		}
	case "id":
		if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
			e.ID, e.HasID = id, true
		}
	}
}
