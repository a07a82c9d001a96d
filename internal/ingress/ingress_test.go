package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"
)

const testHeaderBytes = 16 << 10

// server is an HTTP server behind a guard. It answers with the body of the request.
type server struct {
	t       *testing.T
	address string
	memory  *semaphore.Weighted
	budget  int64

	mu     sync.Mutex
	closed map[Reason]int
}

func newServer(t *testing.T, maxConns int, budget int64) *server {
	t.Helper()
	s := &server{t: t, memory: semaphore.NewWeighted(budget), budget: budget, closed: make(map[Reason]int)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	s.start(listener, maxConns)
	return s
}

func (s *server) start(listener net.Listener, maxConns int) {
	limits := RequestLimits{HeaderBytes: testHeaderBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, WriteTimeout: 5 * time.Second}
	guard := NewGuard(maxConns, s.memory, func() RequestLimits { return limits }, func(r Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closed[r]++
	})
	h := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(r.Header), body)
		}
	})}
	listener = guard.Protect(h, listener)
	go func() { _ = h.Serve(listener) }()
	s.t.Cleanup(func() { _ = h.Close() })
}

func (s *server) closedFor(r Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed[r]
}

// freeMemory waits until all memory of the budget is free.
func (s *server) awaitFreeMemory() {
	s.t.Helper()
	for range 500 {
		if s.memory.TryAcquire(s.budget) {
			s.memory.Release(s.budget)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Error("memory of the budget is still in use")
}

func (s *server) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// receive returns the status and body of the next answer; the status is 0 if the connection ends instead.
func receive(r *bufio.Reader) (int, string) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

func lines(n int) string { return strings.Repeat("a:\r\n", n) }

// Guards against a request that gets other bytes, or none, because it came together with others in whatever pieces.
func TestRequestsInPiecesGetTheirBytes(t *testing.T) {
	long := strings.Repeat("0123456789\n", 3000)
	requests := []struct{ text, want string }{
		{"POST /length HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab\n\r\n", "/length 1 ab\n\r\n"},
		{"POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "/chunks 0 abcde"},
		{"GET /none HTTP/1.1\nHost: h\nA: b\n\n", "/none 1 "},
		{"POST /long HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(long)) + "\r\n\r\n" + long, "/long 1 " + long},
		{"POST /longchunk HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x", len(long)) + "\r\n" + long + "\r\n0\r\n\r\n", "/longchunk 0 " + long},
		{"GET /many HTTP/1.1\r\nHost: h\r\n" + lines(2000) + "\r\n", "/many 1 "},
	}
	var all strings.Builder
	for range 3 {
		for _, r := range requests {
			all.WriteString(r.text)
		}
	}
	for _, piece := range []int{7, 100, 255, 1000, 4096, all.Len()} {
		t.Run(fmt.Sprint(piece), func(t *testing.T) {
			s := newServer(t, 10, 4<<20)
			conn := s.dial()
			go func() {
				for text := all.String(); text != ""; text = text[min(piece, len(text)):] {
					if _, err := io.WriteString(conn, text[:min(piece, len(text))]); err != nil {
						return
					}
				}
			}()
			reader := bufio.NewReader(conn)
			for i := range 3 * len(requests) {
				want := requests[i%len(requests)].want
				if status, body := receive(reader); status != http.StatusOK || body != want {
					t.Fatalf("answer %d: status %d, %d bytes, want %d", i, status, len(body), len(want))
				}
			}
			_ = conn.Close()
			s.awaitFreeMemory()
		})
	}
}

// Guards against a head of the largest size that is refused, and a larger one that is not.
func TestHeadsAreLimitedBySize(t *testing.T) {
	const start, end = "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"
	for name, c := range map[string]struct{ bytes, want int }{
		"largest": {testHeaderBytes, http.StatusOK},
		"larger":  {testHeaderBytes + requestLineBytes + len(start) + 1, http.StatusRequestHeaderFieldsTooLarge},
		"longer":  {1 << 20, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, 10, 64<<20)
			conn := s.dial()
			go func() {
				_, _ = io.WriteString(conn, start+"A: "+strings.Repeat("b", c.bytes-len("A: \r\n"+end))+"\r\n"+end)
			}()
			if status, _ := receive(bufio.NewReader(conn)); status != c.want {
				t.Errorf("status %d, want %d", status, c.want)
			}
		})
	}
}

// Guards against large heads that are parsed although there is no memory for them, wherever they stand, and against the
// refusal of small ones.
func TestOnlyLargeHeadsNeedMemory(t *testing.T) {
	small := "GET / HTTP/1.1\r\nHost: h\r\n" + lines(smallHeadLines-3) + "\r\n"
	for name, c := range map[string]struct {
		before  string
		answers int
	}{
		"first":                     {"", 0},
		"after a request":           {small, 1},
		"after a body":              {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", 1},
		"after a body in chunks":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 1},
		"after a body, empty lines": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, 10, 0)
			conn := s.dial()
			reader := bufio.NewReader(conn)
			send(t, conn, c.before+"GET / HTTP/1.1\r\nHost: h\r\n"+lines(maxReadAhead)+"\r\n")
			for range c.answers {
				if status, _ := receive(reader); status != http.StatusOK {
					t.Errorf("status %d of the request before", status)
				}
			}
			if status, _ := receive(reader); status != http.StatusServiceUnavailable {
				t.Errorf("status %d of the large head", status)
			}
			if s.closedFor(HeadMemoryUsed) != 1 {
				t.Error("the refusal was not counted")
			}
		})
	}
}

// Guards against callers that can't connect because others hold connections open.
func TestNewConnectionReplacesTheOneThatHasWaitedLongest(t *testing.T) {
	s := newServer(t, 3, 0)
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	var conns []net.Conn
	var readers []*bufio.Reader
	for i := range 3 {
		conns = append(conns, s.dial())
		readers = append(readers, bufio.NewReader(conns[i]))
		send(t, conns[i], request)
		if status, _ := receive(readers[i]); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
	// The first connection has waited longest until it serves another request. Then the second has.
	send(t, conns[0], request)
	if status, _ := receive(readers[0]); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	send(t, conns[2], strings.TrimSuffix(request, "\r\n"))
	conn := s.dial()
	send(t, conn, request)
	if status, _ := receive(bufio.NewReader(conn)); status != http.StatusOK {
		t.Errorf("status %d of the new connection", status)
	}
	if _, err := readers[1].ReadByte(); err == nil {
		t.Error("the connection that waited longest is still open")
	}
	send(t, conns[2], "\r\n")
	for _, i := range []int{0, 2} {
		if i == 0 {
			send(t, conns[i], request)
		}
		if status, _ := receive(readers[i]); status != http.StatusOK {
			t.Errorf("status %d of connection %d", status, i)
		}
	}
}

// Guards against a request that is cut off because another connection arrives.
func TestConnectionsThatAreServedAreNotReplaced(t *testing.T) {
	s := newServer(t, 1, 0)
	conn := s.dial()
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	reader := bufio.NewReader(conn)
	// The server asks for the body once it serves the request.
	if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		t.Fatalf("%q, %v", line, err)
	}
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if _, err := s.dial().Read(make([]byte, 1)); err == nil {
		t.Error("another connection was accepted")
	}
	send(t, conn, "ab")
	if status, body := receive(reader); status != http.StatusOK || !strings.HasSuffix(body, "ab") {
		t.Errorf("status %d, body %q", status, body)
	}
}

// pipeListener accepts one end of a pipe.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l pipeListener) Close() error   { close(l.conns); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against connections that stay open for ever, and against an earlier end than the limits say.
func TestSlowClientsAreClosedAtTheLimits(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want time.Duration
	}{
		"head":              {"GET / HTTP/1.1\r\n", 3 * time.Second},
		"head after others": {"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET", 3 * time.Second},
		"idle":              {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{t: t, memory: semaphore.NewWeighted(0), closed: make(map[Reason]int)}
				listener := pipeListener{make(chan net.Conn, 1)}
				near, far := net.Pipe()
				listener.conns <- far
				s.start(listener, 1)
				go func() { _, _ = io.WriteString(near, c.text) }()
				started := time.Now()
				_, _ = io.Copy(io.Discard, near)
				if took := time.Since(started); took != c.want {
					t.Errorf("closed after %s, want %s", took, c.want)
				}
			})
		})
	}
}

// Guards against clients that hold a connection and its request for ever because they don't read the answer.
func TestClientThatDoesNotReadIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{t: t, memory: semaphore.NewWeighted(0), closed: make(map[Reason]int)}
		listener := pipeListener{make(chan net.Conn, 1)}
		near, far := net.Pipe()
		listener.conns <- far
		s.start(listener, 1)
		send(t, near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(5*time.Second + time.Millisecond)
		synctest.Wait()
		// The pipe holds nothing back, so that the answer is lost.
		if n, err := near.Read(make([]byte, 1)); err == nil {
			t.Errorf("the connection is still open, %d bytes", n)
		}
	})
}

// Guards against messages that together exceed the memory, and against memory that is not returned.
func TestMessagesAreLimitedByMemory(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const budget = 4 * smallMessageBytes
	memory := semaphore.NewWeighted(budget)
	refused := make(chan Reason, 10)
	listener = MessageListener(listener, 10, memory, func(r Reason) { refused <- r })
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	small, large := dial(), dial()
	defer func() { _ = small.Close() }()
	send(t, small, strings.Repeat("a", smallMessageBytes))
	go func() { _, _ = io.WriteString(large, strings.Repeat("a", budget)) }()
	if reason := <-refused; reason != MessageMemoryUsed {
		t.Errorf("refused because of %s", reason)
	}
	if _, err := large.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open")
	}
	if !memory.TryAcquire(budget) {
		t.Error("memory was not returned")
	}
}

// Guards against memory that is never returned because a connection was closed while it was read.
func TestMemoryIsReturnedIfAConnectionIsClosedDuringARead(t *testing.T) {
	const budget = 1 << 20
	memory := semaphore.NewWeighted(budget)
	guard := NewGuard(1, memory, func() RequestLimits { return RequestLimits{} }, func(Reason) {})
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	c := newConn(far, guard)
	_ = c.Close()
	if !c.reserve(budget) || !memory.TryAcquire(budget) {
		t.Error("memory was not returned")
	}
}
