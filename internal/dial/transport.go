package dial

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport over connections of type *Conn. An answer without a length is complete only if its
// connection ended in an orderly way after the whole request had been written.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	tracker, ok := request.Context().Value(trackerKey{}).(*Tracker)
	if !ok {
		tracker = new(Tracker)
	}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { tracker.Begin(info.Conn) },
		WroteRequest: tracker.noteWritten,
	})
	return t.Transport.RoundTrip(request.WithContext(ctx))
}

// Tracker holds the connection on which a request is written.
type Tracker struct{ conn atomic.Pointer[Conn] }

type trackerKey struct{}

// Context returns a context with which Transport tracks a request.
func (t *Tracker) Context(ctx context.Context) context.Context {
	return context.WithValue(ctx, trackerKey{}, t)
}

// Conn returns the connection of the request, nil if it has got none.
func (t *Tracker) Conn() *Conn { return t.conn.Load() }

// Begin records the connection on which the request will be written.
func (t *Tracker) Begin(conn net.Conn) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	if c, ok := conn.(*Conn); ok {
		c.Begin()
		t.conn.Store(c)
	}
}

func (t *Tracker) noteWritten(info httptrace.WroteRequestInfo) {
	if c := t.conn.Load(); c != nil && info.Err == nil {
		c.unfinished.Store(false)
	}
}
