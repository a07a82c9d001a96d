// Package dial opens connections whose requests end with them, and that know whether a
// request was written.
package dial

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Func opens a connection; it fits http.Transport.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Resetting returns a dialer of connections, each a *Conn, that are reset when they are
// closed.
//
// Closed in the usual way, what was written to a peer behind a cut stays with the
// kernel, which delivers it seconds after the cut has healed, although the caller has
// long given the request up: an item would run whose step has ended, and an order would
// come behind that of the next holder of its lease. Nothing is lost by a reset as long
// as a connection is closed only when its answer was read whole or is no longer wanted.
func Resetting(timeout time.Duration) Func {
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
