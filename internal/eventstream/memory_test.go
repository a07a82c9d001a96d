package eventstream

import (
	"io"
	"strings"
	"testing"

	"dogwoodpond/internal/fault"
)

// endlessLine is a stream of one line that has no end.
type endlessLine struct{ read int }

func (e *endlessLine) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	return len(p), nil
}

// Guards against streams without end that fill the memory together, though each of them has a bound.
func TestStreamsWithoutEndShareTheirMemory(t *testing.T) {
	const bytes = 6 << 20
	memory := NewMemory(bytes)
	var readers []*Reader
	held := 0
	for range 100 {
		line := &endlessLine{}
		r := NewReader(line, memory)
		if _, err := r.Next(); !fault.Is[*fault.BodyTooLarge](err) {
			t.Fatalf("a line without end: %v", err)
		}
		held += line.read
		readers = append(readers, r)
	}
	// Each may read smallBytes without a reservation, and the readers hold what they have read until they are closed.
	if most := bytes/copies + 100*smallBytes; held > most {
		t.Errorf("100 readers hold %d KB, want %d KB at most", held>>10, most>>10)
	}
	for _, r := range readers {
		r.Close()
	}
	if long := strings.Repeat("x", maxEventBytes-100); len(readers) > 0 {
		r := NewReader(strings.NewReader("id: 1\ndata: "+long+"\n\nid: 2\ndata: a\n\n"), memory)
		if e, err := r.Next(); err != nil || string(e.Data) != long {
			t.Errorf("a long event after the others were closed: %v", err)
		}
		if _, err := r.Next(); err != nil {
			t.Error(err)
		}
		if _, err := r.Next(); err != io.EOF {
			t.Error(err)
		}
	}
	if !memory.left.TryAcquire(bytes) {
		t.Error("not all memory was given back")
	}
}
