package dial

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errWithdrawn is the error of writes of a withdrawn request.
var errWithdrawn = errors.New("the request was withdrawn before its first byte was written")

// The states of the current request of a connection.
const (
	unwritten int32 = iota
	written
	withdrawn
)

// Conn is a connection that records whether the first byte of its current request was
// written. Until then the request can be withdrawn, and the receiver certainly gets no
// part of it. Conn is safe for concurrent use.
type Conn struct {
	net.Conn
	state atomic.Int32
}

// NewConn returns a Conn that wraps conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Begin starts a new request on the connection. The requests of a connection must not
// overlap.
func (c *Conn) Begin() { c.state.Store(unwritten) }

// Write implements net.Conn. It fails if the request was withdrawn.
func (c *Conn) Write(p []byte) (int, error) {
	first := c.state.CompareAndSwap(unwritten, written)
	if !first && c.state.Load() == withdrawn {
		return 0, errors.WithStack(errWithdrawn)
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 {
		// The peer had reset the connection already and received nothing.
		c.state.Store(unwritten)
	}
	return n, err
}

// Withdraw withdraws the current request unless a byte of it was written, and reports
// whether it did.
func (c *Conn) Withdraw() bool { return c.state.CompareAndSwap(unwritten, withdrawn) }
