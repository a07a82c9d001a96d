package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// Nobody reads standard output for a while, so that writing to it stands still.
// Requests must go on, and whoever reads later must see that lines were lost.
func TestUnreadOutputHoldsUpNobody(t *testing.T) {
	r, w := io.Pipe()
	s := New(w)
	line := []byte(strings.Repeat("x", 199) + "\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 10_000 {
			_, _ = s.Write(line)
		}
	}()
	<-written
	if s.Dropped() == 0 {
		t.Error("nothing was dropped, though 2 MB were written and nothing read")
	}
	var got bytes.Buffer
	var mu sync.Mutex
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := r.Read(buffer)
			mu.Lock()
			got.Write(buffer[:n])
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	for !strings.Contains(text(&mu, &got), "log lines dropped") {
		_, _ = s.Write(line)
		time.Sleep(time.Millisecond)
	}
}

func text(mu *sync.Mutex, b *bytes.Buffer) string {
	mu.Lock()
	defer mu.Unlock()
	return b.String()
}

// BenchmarkWrite measures what a line costs whoever logs it.
func BenchmarkWrite(b *testing.B) {
	s := New(io.Discard)
	log := NewLogger(s, "vm")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request answered")
	}
}
