package dial

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of a request to which the peer sent what is no answer in HTTP/1. The peer runs, and may have
// executed the request.
var ErrMalformed = errors.New("a malformed head")

// Transport is an http.Transport over connections of type *Conn. It returns no answer with a malformed head, and an
// answer without a length is complete only if its connection ended in an orderly way after the whole request had been
// written. A request whose Tracker has an ID is sent on a connection that has not carried that ID lately: a peer may send
// an extra copy of its answer to the earlier request, and the ID could not tell the two apart.
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
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	for err != nil && tracker.repeated.Swap(false) {
		// The connection had carried the ID and is closed now. Nothing was written.
		again := request.WithContext(ctx)
		if tracker.Body != nil {
			again.Body = tracker.Body()
		}
		response, err = t.Transport.RoundTrip(again)
	}
	if err != nil || isWellFormed(response) {
		return response, err
	}
	// What follows on the connection belongs to no request.
	if c := tracker.Conn(); c != nil {
		_ = c.Close()
	}
	_ = response.Body.Close()
	return nil, errors.WithStack(ErrMalformed)
}

// isWellFormed reports whether the head of a final answer is one in HTTP/1. http.Transport accepts any status of three
// digits or two with a sign, and blanks in the names of fields, which it doesn't know then: also in those that frame
// the body.
func isWellFormed(response *http.Response) bool {
	const minFinal, maxStatus = 200, 599
	if response.ProtoMajor != 1 || response.StatusCode < minFinal || response.StatusCode > maxStatus {
		return false
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}

// Tracker holds the connection on which a request is written.
type Tracker struct {
	// ID identifies the request in its answers, also when it is sent again; empty if it has none.
	ID string
	// Body returns the body of the request once more; nil if the request has none.
	Body func() io.ReadCloser

	conn atomic.Pointer[Conn]
	// repeated is true if the request was withdrawn because its connection had carried the ID.
	repeated atomic.Bool
}

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
		t.repeated.Store(!c.carry(t.ID) && c.Withdraw())
	}
}

func (t *Tracker) noteWritten(info httptrace.WroteRequestInfo) {
	if c := t.conn.Load(); c != nil && info.Err == nil {
		c.unfinished.Store(false)
	}
}
