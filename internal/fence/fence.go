// Package fence ties requests on the wire to a lease. A process can be paused between
// its last check of the lease and the write of an order. The order would then be sent
// although another process holds the lease by then, and upstreams that ignore fencing
// tokens would execute the orders of both. So the connection checks the lease directly
// before each system call that writes, and the end of the term is its write deadline. The
// connection of a request that is not answered in time is reset, so that the kernel does
// not deliver the request later.
package fence

import (
	"context"
	"crypto/tls"
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
// lease is held. Use it with a client of NewClient only: other connections are closed, and
// on a reused one the limits would outlast the request.
func WithGuard(ctx context.Context, guard Guard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { limitWrites(info.Conn, guard) },
	})
}

// limitWrites makes writes to conn fail once the lease is not held, and after the end of
// the present term. The write deadline alone is not enough: it is a timer of the runtime,
// and a write that is past its test of the deadline goes on. If the limits can't be set,
// the connection is closed, so that the request fails unwritten.
func limitWrites(conn net.Conn, guard Guard) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	checked, ok := conn.(*dial.Conn)
	if !ok {
		_ = conn.Close()
		return
	}
	checked.CheckBeforeWrites(guard.Check)
	if err := checked.SetWriteDeadline(guard.Deadline()); err != nil {
		_ = checked.Close()
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
