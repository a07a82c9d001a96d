package ingress

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxReadAhead bounds the bytes behind a body that the server may read unseen into its buffer of 4 KB. They
	// may belong to the next request.
	maxReadAhead = 256
	// minDirectRead is the size of reads above which the server asks for bytes of a body of known length only,
	// and doesn't read ahead.
	minDirectRead = 16 << 10
	// refusalTimeout and maxRefusedBytes bound what a refused client may still send while it reads its answer.
	refusalTimeout  = 300 * time.Millisecond
	maxRefusedBytes = 256 << 10
)

// The answers to requests that are refused while their head arrives. Both say that the request has not run.
const (
	headTooLargeAnswer   = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headMemoryUsedAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// The phases of a connection.
const (
	// awaiting: the connection is idle, or the head of a request arrives.
	awaiting int32 = iota
	// receiving: the body of a request arrives.
	receiving
	// serving: the request was read.
	serving
	// evicted: the guard has closed the connection.
	evicted
)

// conn is a connection of a client. The server reads from one goroutine at a time.
type conn struct {
	net.Conn
	guard *Guard
	phase atomic.Int32
	// since is when the connection began to wait for a request, or the last part of a body arrived, in nanoseconds
	// since the epoch.
	since atomic.Int64

	head headScanner
	// headDeadline is when the head that arrives must be complete; zero before its first byte.
	headDeadline time.Time
	// reserved is the memory of the guard's budget that the head takes, or a message.
	reserved atomic.Int64
	closed   atomic.Bool
	// surplus holds bytes that were read from the connection and not yet by the server.
	surplus []byte
}

func newConn(c net.Conn, guard *Guard) *conn {
	wrapped := &conn{Conn: c, guard: guard}
	wrapped.since.Store(time.Now().UnixNano())
	return wrapped
}

// awaitRequest begins to wait for the next request.
func (c *conn) awaitRequest() {
	c.release()
	c.head, c.headDeadline = headScanner{}, time.Time{}
	if len(c.surplus) == 0 {
		c.surplus = nil
	}
	c.since.Store(time.Now().UnixNano())
	if !c.phase.CompareAndSwap(serving, awaiting) {
		c.phase.CompareAndSwap(receiving, awaiting)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// beginBody makes the connection of a request one that may be closed for another until endBody is called.
func beginBody(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.since.Store(time.Now().UnixNano())
		c.phase.CompareAndSwap(serving, receiving)
	}
}

// endBody reports whether the connection of a request is still open. It is not closed for another any more.
func endBody(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return !ok || c.phase.CompareAndSwap(receiving, serving) || c.phase.Load() != evicted
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.phase.Load() == awaiting:
		return c.readHead(p)
	}
	n, err := c.readBody(p)
	if c.phase.Load() == receiving {
		c.since.Store(time.Now().UnixNano())
	}
	return n, err
}

// readHead reads bytes of a head, and none behind its end.
func (c *conn) readHead(p []byte) (int, error) {
	n, err := c.receive(p)
	if n == 0 {
		return 0, err
	}
	own, ended := c.head.scan(p[:n])
	c.unread(p[own:n])
	if reason := c.admitHead(); reason != "" {
		return 0, c.refuse(reason)
	}
	switch {
	case ended && !c.phase.CompareAndSwap(awaiting, serving):
		return 0, net.ErrClosed
	case !ended && c.headDeadline.IsZero():
		c.limitHeadTime()
	}
	return own, err
}

// readBody reads bytes behind a head.
func (c *conn) readBody(p []byte) (int, error) {
	if len(c.surplus) > 0 {
		return c.receive(p[:min(len(p), maxReadAhead)])
	}
	n, err := c.Conn.Read(p)
	if len(p) <= minDirectRead && n > maxReadAhead {
		c.unread(p[maxReadAhead:n])
		n = maxReadAhead
	}
	return n, err
}

// receive reads the surplus, or from the connection if there is none.
func (c *conn) receive(p []byte) (int, error) {
	if len(c.surplus) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.surplus)
	c.surplus = c.surplus[n:]
	return n, nil
}

// unread puts bytes that were just received before the surplus. The caller may change p afterwards.
func (c *conn) unread(p []byte) {
	if len(p) == 0 {
		return
	}
	c.surplus = append(append(make([]byte, 0, len(p)+len(c.surplus)), p...), c.surplus...)
}

// admitHead reserves the memory for the head so far. It returns why the head must be refused, or "".
func (c *conn) admitHead() Reason {
	if limit := c.guard.limits().HeaderBytes; limit > 0 && c.head.bytes > limit+requestLineBytes {
		return HeadTooLarge
	}
	if more := headCost(c.head.bytes, c.head.lines) - c.reserved.Load(); more > 0 && !c.reserve(more) {
		return HeadMemoryUsed
	}
	return ""
}

// reserve takes memory of the guard's budget until release is called or the connection is closed. It reports whether
// there is room.
func (c *conn) reserve(bytes int64) bool {
	if !c.guard.memory.TryAcquire(bytes) {
		return false
	}
	c.reserved.Add(bytes)
	if c.closed.Load() {
		c.release()
	}
	return true
}

// release returns the reserved memory.
func (c *conn) release() {
	if reserved := c.reserved.Swap(0); reserved > 0 {
		c.guard.memory.Release(reserved)
	}
}

// limitHeadTime sets the deadline of the head that arrives.
func (c *conn) limitHeadTime() {
	if timeout := c.guard.limits().HeaderTimeout; timeout > 0 {
		c.headDeadline = time.Now().Add(timeout)
		_ = c.Conn.SetReadDeadline(c.headDeadline)
	}
}

// SetReadDeadline implements net.Conn. While the connection waits for a request, the limits of a request apply as
// well.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || c.phase.Load() != awaiting {
		return c.Conn.SetReadDeadline(t)
	}
	limit := c.headDeadline
	if timeout := c.guard.limits().IdleTimeout; limit.IsZero() && timeout > 0 {
		limit = time.Now().Add(timeout)
	}
	if !limit.IsZero() && limit.Before(t) {
		t = limit
	}
	return c.Conn.SetReadDeadline(t)
}

// refuse answers a request whose head is refused, and returns the error that makes the server close the connection
// without an answer of its own. An immediate close would reset the connection, and the client could lose the answer.
func (c *conn) refuse(reason Reason) error {
	c.guard.closed(reason)
	answer := headTooLargeAnswer
	if reason == HeadMemoryUsed {
		answer = headMemoryUsedAnswer
	}
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	_, err := io.WriteString(c.Conn, answer)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && err == nil {
		_ = half.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.Conn, maxRefusedBytes)
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if timeout := c.guard.limits().WriteTimeout; timeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It may be called during a read.
func (c *conn) Close() error {
	c.guard.remove(c)
	c.closed.Store(true)
	c.release()
	return c.Conn.Close()
}
