// Package eventstream splits a stream of server-sent events into whole events
// and keeps their bytes. Libraries hand out parsed events only; here an event is
// passed on unchanged, or dropped when the stream broke off inside it.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// maxEvent bounds one event in bytes. Events of these services are a few
// hundred bytes long.
const maxEvent = 1 << 20

// Event is one whole event.
type Event struct {
	// Raw are the event's bytes with the empty line that ends it.
	Raw []byte
	// ID is the event's number; ok is false when it has none.
	ID    int64
	HasID bool
	// Data holds the data lines, separated by line feeds.
	Data []byte

	fields [][]byte
}

// Field returns the value of a field by its name, in lower case.
func (e *Event) Field(name string) (value string, ok bool) {
	for _, line := range e.fields {
		key, rest, found := bytes.Cut(line, []byte{':'})
		if found && string(bytes.ToLower(key)) == name {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// Reader reads events one after another.
type Reader struct {
	in *bufio.Reader
}

// NewReader returns a reader of a stream.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 2048)} }

// Next returns the next whole event. It fails with io.EOF after the last one,
// and with io.ErrUnexpectedEOF when the stream ends inside an event.
func (r *Reader) Next() (*Event, error) {
	event := &Event{}
	for {
		line, err := r.in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = r.longLine(line)
		}
		if err != nil {
			return nil, endOf(event, line, err)
		}
		event.Raw = append(event.Raw, line...)
		if len(event.Raw) > maxEvent {
			return nil, errors.WithStack(&fault.BodyTooLarge{Limit: maxEvent})
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) > 0 {
			event.add(content)
			continue
		}
		if len(event.fields) > 0 {
			return event, nil
		}
		event.Raw = nil
	}
}

// endOf tells a stream that ended between two events from one that broke off.
func endOf(event *Event, line []byte, err error) error {
	if err == io.EOF && (len(event.fields) > 0 || len(line) > 0) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// longLine reads on a line that is longer than the buffer.
func (r *Reader) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) <= maxEvent {
		more, err := r.in.ReadSlice('\n')
		line = append(line, more...)
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
	return line, errors.WithStack(&fault.BodyTooLarge{Limit: maxEvent})
}

func (e *Event) add(line []byte) {
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
