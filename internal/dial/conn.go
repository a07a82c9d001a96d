package dial

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errWithdrawn ends the writes of a request that was withdrawn.
var errWithdrawn = errors.New("the request was withdrawn before its first byte was written")

// The states of the request that a connection carries at present.
const (
	unwritten int32 = iota
	written
	withdrawn
)

// Conn is a connection that knows whether the first byte of its present request was
// written. Until then the request can be withdrawn for certain: its receiver never saw
// any of it. It is safe for concurrent use.
type Conn struct {
	net.Conn
	state atomic.Int32
}

// NewConn returns a connection over another.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Begin starts a new request on the connection. Requests follow one after another.
func (c *Conn) Begin() { c.state.Store(unwritten) }

// Write implements net.Conn. It fails when the request was withdrawn.
func (c *Conn) Write(p []byte) (int, error) {
	first := c.state.CompareAndSwap(unwritten, written)
	if !first && c.state.Load() == withdrawn {
		return 0, errors.WithStack(errWithdrawn)
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 {
		// The peer had reset the connection before.
		c.state.Store(unwritten)
	}
	return n, err
}

// Withdraw takes the present request back unless a byte of it was written, and reports
// whether it did.
func (c *Conn) Withdraw() bool { return c.state.CompareAndSwap(unwritten, withdrawn) }
