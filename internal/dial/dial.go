// Package dial opens connections that are reset when they are closed, and that record
// whether the current request was written.
package dial

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Func opens a connection; it fits http.Transport.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// ResetOnClose returns a Func whose connections are of type *Conn and are reset when they
// are closed.
//
// If a peer can't be reached because of a network failure, the kernel holds the data
// written to it even after an orderly close, and delivers the data seconds after the
// network failure has ended. By then the caller has long cancelled the request: an item
// would run although its step has ended, or an order would arrive after that of the next
// holder of the lease. A reset discards the data. It loses nothing as long as a
// connection is closed only when its answer was read completely or is no longer needed.
func ResetOnClose(timeout time.Duration) Func {
	dialer := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			err = tcp.SetLinger(0)
		}
		if err != nil {
			_ = conn.Close()
			return nil, errors.WithStack(err)
		}
		return NewConn(conn), nil
	}
}
