package ingress

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// smallMessageBytes bounds a message that needs no memory of the common budget.
	smallMessageBytes = 64 << 10
	// messageByteCost is the bytes of memory that a byte of a message takes: the buffer of the connection and
	// the decoded message.
	messageByteCost = 2
)

// errNoMemory is the error of a connection whose message doesn't fit into the budget.
var errNoMemory = errors.New("no memory for the message")

// MessageListener returns a listener for a protocol of requests and answers other than HTTP. It accepts at most
// maxConns connections, as a Guard does, and closes one whose requests don't fit into a budget together with those of
// the others. A request counts until the connection is closed, since its buffer is reused.
func MessageListener(listener net.Listener, maxConns int, memory *semaphore.Weighted, closed func(Reason)) net.Listener {
	guard := NewGuard(maxConns, memory, func() RequestLimits { return RequestLimits{} }, closed)
	return &guardedListener{Listener: listener, guard: guard, wrap: func(c *conn) net.Conn { return &messageConn{conn: c} }}
}

// messageConn is a connection of a MessageListener.
type messageConn struct {
	*conn
	// received is the number of bytes since the last write.
	received atomic.Int64
}

// Read implements net.Conn.
func (c *messageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.since.Store(time.Now().UnixNano())
	received := c.received.Add(int64(n))
	reserved := c.reserved.Load()
	if received <= smallMessageBytes || received*messageByteCost <= reserved {
		return n, err
	}
	// At least twice as much as before, so that a long message needs few reservations.
	if !c.reserve(max(received*messageByteCost-reserved, reserved)) {
		c.guard.closed(MessageMemoryUsed)
		return 0, errors.WithStack(errNoMemory)
	}
	return n, err
}

// Write implements net.Conn.
func (c *messageConn) Write(p []byte) (int, error) {
	c.received.Store(0)
	return c.Conn.Write(p)
}
