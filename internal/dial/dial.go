// Package dial opens connections that record whether the current request was written, and that can be reset when they
// are closed. Its Transport sends HTTP requests over them.
package dial

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// MaxHeadBytes bounds the head of an answer, with all informational responses before it. Proper heads
// have less than 8 KB.
const MaxHeadBytes = 32 << 10

// Func opens a connection; it fits http.Transport.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures connections.
type Option func(*options)

type options struct {
	unackedTimeout time.Duration
	refused        func(error)
	disconnected   func(orderly bool)
}

// WithDisconnected calls disconnected when a connection is ended by its peer or fails, also while it is idle. orderly is
// true if the peer has closed it.
func WithDisconnected(disconnected func(orderly bool)) Option {
	return func(o *options) { o.disconnected = disconnected }
}

// WithUnackedTimeout makes the kernel drop a connection, and the data that it still holds
// for it, when the peer has not acknowledged data for timeout. Unlike the timeouts of this
// process, this one passes while the process is paused. Linux counts it from the first
// retransmission and tests it at the next one that is due, so the connection ends somewhat
// later. The option is an additional limit: if the kernel refuses it, refused is called with the
// error and the connection is used without it.
func WithUnackedTimeout(timeout time.Duration, refused func(error)) Option {
	return func(o *options) { o.unackedTimeout, o.refused = timeout, refused }
}

// Open returns a Func whose connections are of type *Conn.
func Open(timeout time.Duration, opts ...Option) Func { return open(timeout, opts, false) }

// ResetOnClose returns a Func whose connections are of type *Conn and are reset when they
// are closed.
//
// If a peer can't be reached because of a network failure, the kernel holds the data
// written to it even after an orderly close, and delivers the data seconds after the
// network failure has ended. By then the caller has long cancelled the request: an item
// would run although its step has ended, or an order would arrive after that of the next
// holder of the lease. A reset discards the data. It loses nothing as long as a
// connection is closed only when its answer was read completely or is no longer needed.
func ResetOnClose(timeout time.Duration, opts ...Option) Func { return open(timeout, opts, true) }

func open(timeout time.Duration, opts []Option, resetOnClose bool) Func {
	var o options
	for _, option := range opts {
		option(&o)
	}
	dialer := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if resetOnClose {
				err = tcp.SetLinger(0)
			}
			o.limitUnacked(tcp)
		}
		if err != nil {
			_ = conn.Close()
			return nil, errors.WithStack(err)
		}
		wrapped := NewConn(conn)
		wrapped.disconnected = o.disconnected
		return wrapped, nil
	}
}

// limitUnacked sets the timeout for unacknowledged data, if there is one.
func (o *options) limitUnacked(conn *net.TCPConn) {
	if o.unackedTimeout <= 0 {
		return
	}
	raw, err := conn.SyscallConn()
	if err == nil {
		controlErr := raw.Control(func(fd uintptr) {
			millis := max(1, int(o.unackedTimeout.Milliseconds()))
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
		})
		if err == nil {
			err = controlErr
		}
	}
	if err != nil {
		o.refused(errors.Wrap(err, "TCP_USER_TIMEOUT"))
	}
}
