package dial

import (
	"io"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// errWithdrawn is the error of writes of a withdrawn request.
var errWithdrawn = errors.New("the request was withdrawn before its first byte was written")

// errReset is the error of a read that the kernel reports as the orderly end of a connection that was reset.
var errReset = errors.Wrap(syscall.ECONNRESET, "the connection ended before the request was written")

// The states of the current request of a connection.
const (
	unwritten int32 = iota
	written
	withdrawn
)

// Conn is a connection that records whether the first byte of its current request was
// written, and whether its peer has sent anything since. Until then the request can be withdrawn, and the receiver certainly gets no
// part of it. Conn is safe for concurrent use.
type Conn struct {
	net.Conn
	state atomic.Int32
	// received is the number of bytes that were read since Begin. broken is true once a read has failed.
	received atomic.Int64
	broken   atomic.Bool
	check    atomic.Pointer[func() error]
	// writes is the number of calls of Write in progress, writeFailed is true once one has failed, and unfinished is
	// true while the current request is not known to be written, if a Transport writes it.
	writes      atomic.Int32
	writeFailed atomic.Bool
	unfinished  atomic.Bool
	// carried holds the IDs of the requests that the connection has carried, the last maxCarried of them; exchanges
	// counts all of its requests. The requests of a connection don't overlap.
	carried   []string
	exchanges atomic.Int64
	// disconnected, if set, is called at the first failed read unless the connection was closed here.
	disconnected func(orderly bool)
}

// maxCarried is the number of requests on a connection after which an answer to the first of them is no longer expected.
// Extra copies of an answer arrive with the next one.
const maxCarried = 16

// NewConn returns a Conn that wraps conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// carry records the ID of the request that begins; empty if it has none. It reports whether no other one with the ID is
// among those that the connection has carried lately.
func (c *Conn) carry(id string) bool {
	c.exchanges.Add(1)
	if id == "" {
		return true
	}
	if slices.Contains(c.carried, id) {
		return false
	}
	if len(c.carried) == maxCarried {
		c.carried = c.carried[:copy(c.carried, c.carried[1:])]
	}
	c.carried = append(c.carried, id)
	return true
}

// Reused reports whether the connection had carried a request before the current one.
func (c *Conn) Reused() bool { return c.exchanges.Load() > 1 }

// Begin starts a new request on the connection. The requests of a connection must not
// overlap.
func (c *Conn) Begin() {
	c.received.Store(0)
	c.unfinished.Store(true)
	c.state.Store(unwritten)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if err == io.EOF && c.mayBeReset() {
		err = errReset
	}
	if err != nil && !c.broken.Swap(true) && c.disconnected != nil && !errors.Is(err, net.ErrClosed) {
		c.disconnected(errors.Is(err, io.EOF))
	}
	return n, err
}

// mayBeReset reports whether the end of the connection may be a reset. The kernel reports a reset once. If a write gets
// it, a read sees an orderly end. An end within the request can't be told from that with certainty.
func (c *Conn) mayBeReset() bool {
	return c.writes.Load() > 0 || c.writeFailed.Load() || c.unfinished.Load()
}

// Answering returns the number of bytes that the peer has sent since Begin, 0 if the connection has ended.
// A peer that sends bytes still runs, whatever they are.
func (c *Conn) Answering() int64 {
	if c.broken.Load() {
		return 0
	}
	return c.received.Load()
}

// CheckBeforeWrites makes Write call check directly before each system call that writes,
// and fail with check's error without that call. It stays in force for later requests.
func (c *Conn) CheckBeforeWrites(check func() error) { c.check.Store(&check) }

// Write implements net.Conn. It fails if the request was withdrawn.
func (c *Conn) Write(p []byte) (int, error) {
	first := c.state.CompareAndSwap(unwritten, written)
	if !first && c.state.Load() == withdrawn {
		return 0, errors.WithStack(errWithdrawn)
	}
	c.writes.Add(1)
	n, err := c.write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	c.writes.Add(-1)
	if first && n == 0 {
		// The peer had reset the connection already and received nothing.
		c.state.Store(unwritten)
	}
	return n, err
}

func (c *Conn) write(p []byte) (int, error) {
	check := c.check.Load()
	if check == nil {
		return c.Conn.Write(p)
	}
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return writeChecked(socket, p, *check)
	}
	if err := (*check)(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// writeChecked writes p to the socket and calls check before each system call. A single
// Write of net.Conn can make several, and waits for the peer between them.
func writeChecked(socket syscall.Conn, p []byte, check func() error) (n int, err error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var failure error
	err = raw.Write(func(fd uintptr) (done bool) {
		for n < len(p) {
			if failure = check(); failure != nil {
				return true
			}
			written, err := syscall.Write(int(fd), p[n:])
			n += max(written, 0)
			switch {
			case err == nil, errors.Is(err, syscall.EINTR):
			case errors.Is(err, syscall.EAGAIN):
				return false
			default:
				failure = errors.WithStack(os.NewSyscallError("write", err))
				return true
			}
		}
		return true
	})
	if failure == nil && err != nil {
		failure = errors.WithStack(err)
	}
	return n, failure
}

// Withdraw withdraws the current request unless a byte of it was written, and reports
// whether it is withdrawn.
func (c *Conn) Withdraw() bool {
	return c.state.CompareAndSwap(unwritten, withdrawn) || c.state.Load() == withdrawn
}
