// Package fence ties requests on the wire to a lease. A process can be paused between
// its last check of the lease and the write of an order. The order would then be sent
// although another process holds the lease by then, and upstreams that ignore fencing
// tokens would execute the orders of both. So the lease is checked again once the
// connection is established, directly before the write, and the end of the term becomes
// the write deadline of the connection. The connection of a request that is not
// answered in time is reset, so that the kernel does not deliver the request later.
package fence

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"dogwoodpond/internal/dial"
)

// Guard checks whether a lease is held.
type Guard interface {
	// Check fails with *fault.LeaseLost once the lease may have expired.
	Check() error
	// Epoch returns the fencing token.
	Epoch() uint64
	// Deadline returns the end of the present term on the local monotonic clock.
	Deadline() time.Time
}

// WithGuard returns a context whose HTTP requests are written only while the guard's
// lease is held. Use it with a client of NewClient: on a reused connection the write
// deadline would outlast the request.
func WithGuard(ctx context.Context, guard Guard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { limitWrites(info.Conn, guard) },
	})
}

// limitWrites makes writes to conn fail after the end of the term, and at once if the
// lease is not held. If it can't set the deadline it closes the connection, so that the
// request fails unwritten.
func limitWrites(conn net.Conn, guard Guard) {
	deadline := guard.Deadline()
	if guard.Check() != nil {
		deadline = time.Unix(1, 0)
	}
	if err := conn.SetWriteDeadline(deadline); err != nil {
		_ = conn.Close()
	}
}

// NewClient returns an HTTP client that uses each connection for one request only, and
// resets it when the call ends.
func NewClient(dialTimeout, callTimeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DialContext:       dial.ResetOnClose(dialTimeout),
			DisableKeepAlives: true,
		},
	}
}
