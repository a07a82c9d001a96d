package eventstream

import (
	"io"
	"strings"
	"testing"
)

func TestNextPreservesBytes(t *testing.T) {
	const text = "weights: 7\nid: 3\ndata: a\ndata: b\n\nid: 4\r\ndata:c\r\n\r\n"
	r := NewReader(strings.NewReader(text), nil)
	first, err := r.Next()
	if err != nil || first.ID != 3 || string(first.Data) != "a\nb" {
		t.Fatalf("first event: %+v, %v", first, err)
	}
	if version, ok := first.Field("weights"); !ok || version != "7" {
		t.Errorf("field weights of the first event: %q, %v", version, ok)
	}
	second, err := r.Next()
	if err != nil || second.ID != 4 || string(second.Data) != "c" {
		t.Fatalf("second event: %+v, %v", second, err)
	}
	if raw := string(first.Raw) + string(second.Raw); raw != text {
		t.Errorf("raw bytes of the events: %q", raw)
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("Next after the last event: %v, want EOF", err)
	}
}

// Guards against a partial event that is returned as complete: the caller's text would
// contain a part of it. An engine that crashes while it sends an event leaves one.
func TestNextFailsOnPartialEvent(t *testing.T) {
	for _, text := range []string{"id: 3\ndata: a\n", "id: 3\ndata: a", "id: 3"} {
		if _, err := NewReader(strings.NewReader(text), nil).Next(); err != io.ErrUnexpectedEOF {
			t.Errorf("Next of %q: %v, want an unexpected EOF", text, err)
		}
	}
}

func TestNextReadsLongLinesUpToLimit(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	e, err := NewReader(strings.NewReader("id: 1\ndata: "+long+"\n\n"), nil).Next()
	if err != nil || string(e.Data) != long {
		t.Errorf("event with a long line: %d bytes, %v", len(e.Data), err)
	}
	if _, err := NewReader(strings.NewReader("data: "+strings.Repeat("x", maxEventBytes+1)+"\n\n"), nil).Next(); err == nil || err == io.EOF {
		t.Errorf("line above the limit: %v, want an error", err)
	}
}
