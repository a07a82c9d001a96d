// Package fence ties requests on the wire to a lease. A process can be paused between
// its last check of the lease and the write of an order. The order would then be sent
// although another process holds the lease by then, and upstreams that ignore fencing
// tokens would execute the orders of both. So the connection checks the lease directly
// before each system call that writes, and the end of the term is its write deadline. The
// connection of a request that is not answered in time is reset, so that the kernel does
// not deliver the request later; while the process is paused a timeout of the kernel does
// the same.
package fence

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"dogwoodpond/internal/dial"
	"dogwoodpond/internal/event"
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

// checkedConn is a connection that calls check before each system call that writes. *dial.Conn
// implements it.
type checkedConn interface {
	net.Conn
	CheckBeforeWrites(check func() error)
}

// limitWrites makes writes to conn fail once the lease is not held, and after the end of
// the present term. The write deadline alone is not enough: it is a timer of the runtime,
// and a write that is past its test of the deadline goes on. If the limits can't be set,
// the connection is closed, so that the request fails unwritten.
func limitWrites(conn net.Conn, guard Guard) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	checked, ok := conn.(checkedConn)
	if !ok {
		_ = conn.Close()
		return
	}
	checked.CheckBeforeWrites(guard.Check)
	if err := checked.SetWriteDeadline(guard.Deadline()); err != nil {
		_ = checked.Close()
	}
}

// retransmissionDelay is how much later than its limit for unacknowledged data Linux ends a
// connection: the first two retransmission timeouts of a nearby peer. docs/PROOFS.md gives
// the measurement.
const retransmissionDelay = 400 * time.Millisecond

// unackedTimeout returns the limit for unacknowledged data with which the kernel ends a
// connection to a nearby peer about callTimeout after the write.
func unackedTimeout(callTimeout time.Duration) time.Duration {
	return max(callTimeout-retransmissionDelay, callTimeout/2)
}

// NewClient returns an HTTP client that uses each connection for one request only, follows no redirect, and
// resets it when the call ends, at the latest after callTimeout. The kernel drops a request
// that was not acknowledged about callTimeout after the write even while the process is
// paused and can't reset the connection; if the kernel refuses that limit, the client emits
// one event and works without it. callTimeout must be at most the order timeout on which the
// order grace period of the lease relies.
func NewClient(dialTimeout, callTimeout time.Duration, events *event.Recorder) *http.Client {
	var once sync.Once
	refused := func(err error) {
		once.Do(func() { events.Emit(event.SocketOptionRefused, event.Subject{Detail: err.Error()}) })
	}
	return &http.Client{
		Timeout: callTimeout,
		Transport: dial.Transport{Transport: &http.Transport{
			DialContext:            dial.ResetOnClose(dialTimeout, dial.WithUnackedTimeout(unackedTimeout(callTimeout), refused)),
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: dial.MaxHeadBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
