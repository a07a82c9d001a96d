package eventstream

import (
	"io"
	"strings"
	"testing"
)

func TestEventsKeepTheirBytes(t *testing.T) {
	const text = "weights: 7\nid: 3\ndata: a\ndata: b\n\nid: 4\r\ndata:c\r\n\r\n"
	r := NewReader(strings.NewReader(text))
	first, err := r.Next()
	if err != nil || first.ID != 3 || string(first.Data) != "a\nb" {
		t.Fatalf("the first event is %+v, %v", first, err)
	}
	if version, ok := first.Field("weights"); !ok || version != "7" {
		t.Errorf("its field is %q, %v", version, ok)
	}
	second, err := r.Next()
	if err != nil || second.ID != 4 || string(second.Data) != "c" {
		t.Fatalf("the second event is %+v, %v", second, err)
	}
	if raw := string(first.Raw) + string(second.Raw); raw != text {
		t.Errorf("the bytes are %q", raw)
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("the end is %v", err)
	}
}

// An engine crashes in the middle of an event. Taken for whole, the piece would
// end up cut in a caller's text.
func TestBrokenEventIsNoEvent(t *testing.T) {
	for _, text := range []string{"id: 3\ndata: a\n", "id: 3\ndata: a", "id: 3"} {
		if _, err := NewReader(strings.NewReader(text)).Next(); err != io.ErrUnexpectedEOF {
			t.Errorf("%q ends with %v", text, err)
		}
	}
}

func TestLongLines(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	e, err := NewReader(strings.NewReader("id: 1\ndata: " + long + "\n\n")).Next()
	if err != nil || string(e.Data) != long {
		t.Errorf("a long line: %d bytes, %v", len(e.Data), err)
	}
	if _, err := NewReader(strings.NewReader("data: " + strings.Repeat("x", maxEvent+1) + "\n\n")).Next(); err == nil || err == io.EOF {
		t.Errorf("an endless line ends with %v", err)
	}
}
