package dialtest

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// EndlessAnswers are answers without end, by name: what a peer writes first and then again and again.
var EndlessAnswers = map[string][2]string{
	"a head of one line":          {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("a", 4096)},
	"a head of many lines":        {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Many: a\r\n", 400)},
	"informational heads":         {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Many: a\r\n\r\n", 100)},
	"one line that is no HTTP":    {"", strings.Repeat("a", 4096)},
	"many lines that are no HTTP": {"", strings.Repeat("a\n", 2048)},
}

// NewEndlessPeer starts a peer on the loopback interface that answers each request with start and then with
// chunk again and again, until the connection ends.
func NewEndlessPeer(t *testing.T, start, chunk string) (address string) {
	t.Helper()
	return NewPeer(t, func(conn net.Conn) { writeEndlessly(conn, []byte(start), []byte(chunk)) })
}

func writeEndlessly(conn net.Conn, start, chunk []byte) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	for _, err := conn.Write(start); err == nil; {
		_, err = conn.Write(chunk)
	}
}

// CheckHeadsWithoutEnd guards against heads without end that fill the memory of a VM: it makes calls to peers
// that send them, each of which must fail, and be of little memory.
func CheckHeadsWithoutEnd(t *testing.T, call func(ctx context.Context, address string) error) {
	t.Helper()
	const memory, timeout = 2 << 20, 20 * time.Second
	for name, answer := range EndlessAnswers {
		t.Run(name, func(t *testing.T) {
			address := NewEndlessPeer(t, answer[0], answer[1])
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			allocated := Allocated(func() {
				if err := call(ctx, address); err == nil || ctx.Err() != nil {
					t.Errorf("the call ended with %v, %v", err, ctx.Err())
				}
			})
			if allocated > memory {
				t.Errorf("the call allocated %d KB", allocated>>10)
			}
		})
	}
}

// Allocated returns how many bytes a function allocates, with all that runs beside it.
func Allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
