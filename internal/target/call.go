package target

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one attempt at an upstream.
type Request struct {
	// ID is the request's ID, which the upstream echoes in its response.
	ID string
	// Method, URI and Host are the caller's, unchanged.
	Method, URI, Host string
	// Header holds the caller's header fields that are forwarded.
	Header http.Header
	Body   []byte
	// Remaining is the time until the request's deadline; 0 means no deadline.
	Remaining time.Duration
	// Account is the client account that the request runs for.
	Account string
	// LastEventID is the ID of the last event that was received; the upstream
	// continues the stream after it. Empty starts a new stream.
	LastEventID string
}

// Response is an upstream's response to one attempt, up to the end of its header.
// Body must be closed; reading it fails when the response is truncated.
type Response struct {
	Status int
	// Header holds the header fields that are forwarded to the caller.
	Header http.Header
	// NotRun is true when the upstream reports that it did not run the request.
	NotRun bool
	// Digest is the upstream's digest of its response; empty when it sent none.
	Digest string
	// Length is the length of the body in bytes; -1 when it is unknown.
	Length int64
	// Framed is false when only the end of the connection ends the body, so that
	// a truncated response looks complete.
	Framed bool
	Body   io.ReadCloser
	// Version is the weight version at the start of the response, 0 when the
	// upstream has none. VersionField names the field of a stream's event that
	// reports a change of the version.
	Version      int64
	VersionField string
}

// Transport sends attempts to upstreams. Call fails with *fault.UpstreamFailed;
// fault.ExecutionOf says whether the request may have run. A response that belongs
// to another request, or that reports success without the upstream's digest, is a
// failure.
type Transport interface {
	Call(ctx context.Context, e *Entry, request *Request) (*Response, error)
}
