// Package fence ties requests on the wire to a lease. A process can be paused
// between its last look at the lease and the write of an order; the order would
// then go out although another process is in charge by now, and upstreams that
// ignore fencing numbers would carry out both. So the lease is asked again once
// the connection stands, directly before the write, and the connection gets the
// end of the term as its write deadline. What was written and not answered in time is
// taken back by a reset of the connection.
package fence

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"dogwoodpond/internal/dial"
)

// Guard tells whether a lease is held.
type Guard interface {
	// Check fails with *fault.LeaseLost once the lease may have lapsed.
	Check() error
	// Epoch is the fencing number.
	Epoch() uint64
	// Deadline is the end of the present term on the local monotonic clock.
	Deadline() time.Time
}

// Context returns a context whose HTTP requests are written only while the
// guard's lease is held. Use it with a client of NewClient: on a connection
// that is used again the write deadline would outlive the request.
func Context(ctx context.Context, guard Guard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { limit(info.Conn, guard) },
	})
}

// limit lets nothing be written behind the end of the term. When the deadline
// can't be set the connection is closed, which fails the request unwritten.
func limit(conn net.Conn, guard Guard) {
	deadline := guard.Deadline()
	if guard.Check() != nil {
		deadline = time.Unix(1, 0)
	}
	if err := conn.SetWriteDeadline(deadline); err != nil {
		_ = conn.Close()
	}
}

// NewClient returns an HTTP client that uses a connection once only, and resets it when
// the call is over.
func NewClient(dialTimeout, callTimeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DialContext:       dial.Resetting(dialTimeout),
			DisableKeepAlives: true,
		},
	}
}
