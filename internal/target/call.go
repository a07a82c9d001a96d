package target

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one attempt at an upstream.
type Request struct {
	// ID is the request's ID, which the upstream repeats in its answer.
	ID string
	// Method, URI and Host are the caller's, unchanged.
	Method, URI, Host string
	// Header holds what is passed on of the caller's header.
	Header http.Header
	Body   []byte
	// Left is how much of the request's time is left; 0 sets no limit.
	Left time.Duration
	// Account is the client account that the request runs for.
	Account string
	// ResumeAfter is the ID of the last event that is already at hand; the
	// upstream goes on behind it. Empty starts anew.
	ResumeAfter string
}

// Response is an upstream's answer to one attempt, as far as its header. Body
// must be closed; it fails when the answer breaks off before its end.
type Response struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// NotRun is true when the upstream says that it did not run the request.
	NotRun bool
	// Digest is the upstream's digest of its answer; empty when it gave none.
	Digest string
	// Length is the length of the body; -1 when it is not known.
	Length int64
	// Framed is false when only the end of the connection ends the body, so that
	// an answer that broke off looks whole.
	Framed bool
	Body   io.ReadCloser
	// Version is the version of the weights at the start of the answer, 0 when
	// the upstream has none. VersionField names the field of a stream's event
	// that tells of a change.
	Version      int64
	VersionField string
}

// Caller sends attempts to upstreams. It fails with *fault.UpstreamFailed whose
// mark tells whether the request may have run. An answer that belongs to another
// request, or that lacks the upstream's digest though it claims success, is a
// failure.
type Caller interface {
	Call(ctx context.Context, e *Entry, request *Request) (*Response, error)
}
