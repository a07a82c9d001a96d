package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"

	"dogwoodpond/internal/fault"
)

const (
	testBodies  = 1 << 20
	testReserve = 2 * smallBodyBytes
)

// request returns a request with a body of n bytes, in chunks unless its length is known.
func request(body io.Reader, length int64) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = length
	return r
}

func readBody(b *Bodies, body io.Reader, length, limit int64) ([]byte, func(), error) {
	return b.Read(httptest.NewRecorder(), request(body, length), limit, time.Now().Add(time.Minute))
}

// allFree reports whether no memory is reserved.
func (b *Bodies) allFree() bool {
	if !b.common.TryAcquire(testBodies) {
		return false
	}
	b.common.Release(testBodies)
	if !b.small.TryAcquire(testReserve) {
		return false
	}
	b.small.Release(testReserve)
	return true
}

// Guards against a body that gets other bytes, or is refused although it fits, because of its size or its pieces.
func TestBodiesAreReadCompletely(t *testing.T) {
	pieces := map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "end with data": iotest.DataErrReader}
	for _, n := range []int{0, 1, firstBodyBuffer - 1, firstBodyBuffer, firstBodyBuffer + 1, smallBodyBytes, smallBodyBytes + 1, testBodies} {
		text := strings.Repeat("abcdefg", n/7+1)[:n]
		for name, reader := range pieces {
			for _, length := range []int64{int64(n), -1} {
				b := NewBodies(testBodies, testReserve)
				body, release, err := readBody(b, reader(strings.NewReader(text)), length, testBodies)
				if err != nil || string(body) != text {
					t.Fatalf("%d bytes, %s, length %d: %d bytes, %v", n, name, length, len(body), err)
				}
				release()
				if !b.allFree() {
					t.Errorf("%d bytes, %s, length %d: memory was not returned", n, name, length)
				}
			}
		}
	}
}

// Guards against bodies above the limit, and cut ones, that are taken, and against memory that is not returned.
func TestBadBodiesAreRefused(t *testing.T) {
	long, short := strings.Repeat("a", 1001), strings.Repeat("a", 999)
	for name, c := range map[string]struct {
		body   string
		length int64
		want   fault.Code
	}{
		"too large":           {long, 1001, fault.CodeBodyTooLarge},
		"too large in chunks": {long, -1, fault.CodeBodyTooLarge},
		"shorter":             {short, 1000, fault.CodeBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBodies(testBodies, testReserve)
			if _, _, err := readBody(b, strings.NewReader(c.body), c.length, 1000); fault.CodeOf(err) != c.want {
				t.Errorf("%v, want %s", err, c.want)
			}
			if !b.allFree() {
				t.Error("memory was not returned")
			}
		})
	}
}

// Guards against small bodies that are refused because clients announce, or begin, large ones and don't go on.
func TestSmallBodiesFindRoomBesideLargeOnes(t *testing.T) {
	b := NewBodies(testBodies, testReserve)
	_, release, err := readBody(b, strings.NewReader(strings.Repeat("a", testBodies)), testBodies, testBodies)
	if err != nil {
		t.Fatal(err)
	}
	for _, length := range []int64{smallBodyBytes + 1, -1} {
		_, _, err := readBody(b, strings.NewReader(strings.Repeat("a", smallBodyBytes+1)), length, testBodies)
		if fault.CodeOf(err) != fault.CodeQueueFull || fault.ExecutionOf(err) != fault.NotRun {
			t.Errorf("a large body of length %d beside another one: %v", length, err)
		}
	}
	for _, length := range []int64{1000, -1} {
		_, releaseSmall, err := readBody(b, strings.NewReader(strings.Repeat("a", 1000)), length, testBodies)
		if err != nil {
			t.Fatalf("a small body of length %d: %v", length, err)
		}
		releaseSmall()
	}
	release()
	if !b.allFree() {
		t.Error("memory was not returned")
	}
}

// Guards against clients that hold memory for ever with a body that doesn't go on, and against a refusal of their
// request that doesn't say that it has not run.
func TestBodyThatDoesNotGoOnIsRefusedAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBodies(testBodies, testReserve)
		refused := make(chan error, 1)
		near, far := net.Pipe()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _, err := b.Read(w, r, testBodies, time.Now().Add(2*time.Second))
			refused <- err
		})}
		listener := pipeListener{make(chan net.Conn, 1)}
		listener.conns <- far
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		started := time.Now()
		go func() { _, _ = io.WriteString(near, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\na") }()
		err := <-refused
		if took := time.Since(started); took != 2*time.Second {
			t.Errorf("refused after %s", took)
		}
		if fault.CodeOf(err) != fault.CodeDeadlineExceeded || fault.ExecutionOf(err) != fault.NotRun {
			t.Errorf("refused with %v, %s", err, fault.ExecutionOf(err))
		}
		if !b.allFree() {
			t.Error("memory was not returned")
		}
		_ = near.Close()
	})
}

// Guards against callers that can't connect because others announce bodies that don't come, and against a request that
// runs although its connection was closed for another one.
func TestConnectionThatWaitsForABodyIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := NewBodies(testBodies, testReserve)
	read := make(chan error, 2)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		BeginRequest(w, r)
		_, _, err := b.Read(w, r, testBodies, time.Now().Add(time.Minute))
		read <- err
	})}
	guard := NewGuard(1, semaphore.NewWeighted(0), func() RequestLimits { return RequestLimits{} }, func(Reason) {})
	listener = guard.Protect(server, listener)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	first := dial()
	defer func() { _ = first.Close() }()
	send(t, first, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	// The server asks for the body once it serves the request.
	if _, err := first.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	second := dial()
	defer func() { _ = second.Close() }()
	send(t, second, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	if status, _ := receive(bufio.NewReader(second)); status != http.StatusOK {
		t.Errorf("status %d of the new connection", status)
	}
	failed := 0
	for range 2 {
		if err := <-read; err != nil {
			failed++
		}
	}
	if failed != 1 {
		t.Errorf("%d of 2 requests failed, want that of the closed connection", failed)
	}
}
