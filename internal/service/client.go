// Package service is the client of plain services, which answer each call with one
// body. It builds each request to an upstream itself, with none of the caller's headers
// except Content-Type and Accept, and returns only complete answers.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/dial"
	"dogwoodpond/internal/fault"
)

// Call is one call to a plain service.
type Call struct {
	RequestID string
	Method    string
	// Path starts with a slash. RawPath is its escaped form, set if it differs from
	// the default escaping of Path, as in url.URL.
	Path    string
	RawPath string
	Query   url.Values
	// ContentType and Accept are the caller's. No other header of the caller is
	// forwarded.
	ContentType string
	Accept      string
	Body        []byte
}

// Answer is a service's complete answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// dialTimeout bounds the dial to a service.
const dialTimeout = time.Second

// maxAnswerBytes is the maximum size of an answer; a larger one counts as truncated.
const maxAnswerBytes = 16 << 20

// Headers of a call.
const (
	// HeaderRequestID identifies the request. If a service repeats it in its answer,
	// the client detects an answer to another request.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout is the time left until the call's deadline in milliseconds.
	HeaderTimeout = "X-Request-Timeout-Ms"
)

// Client is an HTTP client of plain services. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that follows no redirects and never sends a request
// twice.
func NewClient() *Client {
	return &Client{http: &http.Client{
		Transport: dial.Transport{Transport: &http.Transport{
			DialContext:            dial.ResetOnClose(dialTimeout),
			MaxIdleConnsPerHost:    64,
			IdleConnTimeout:        time.Minute,
			DisableCompression:     true,
			MaxResponseHeaderBytes: dial.MaxHeadBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends the call to the service at address. It fails with *fault.UpstreamFailed or
// *fault.AnswerTruncated. sent reports whether any byte of the request may have been
// sent. The error states the execution accordingly: fault.NotRun if sent is false,
// otherwise fault.Unknown; see fault.WithExecution.
func (c *Client) Do(ctx context.Context, address string, call Call) (answer Answer, sent bool, err error) {
	tracker := dial.Tracker{ID: call.RequestID, Body: func() io.ReadCloser { return bodyOf(call) }}
	request, err := newRequest(tracker.Context(ctx), address, call)
	if err != nil {
		return Answer{}, false, fault.WithExecution(upstreamFailed(address, "address"), fault.NotRun)
	}
	response, err := c.http.Do(request)
	if err != nil && tracker.Conn() == nil {
		return Answer{}, false, fault.WithExecution(upstreamFailed(address, "no connection"), fault.NotRun)
	}
	if errors.Is(err, dial.ErrMalformed) {
		malformed := errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: dial.ErrMalformed.Error(), Answered: true})
		return Answer{}, true, fault.WithExecution(malformed, fault.Unknown)
	}
	if err != nil {
		return Answer{}, true, fault.WithExecution(upstreamFailed(address, "no answer"), fault.Unknown)
	}
	answer, err = readAnswer(address, call, response)
	return answer, true, fault.WithExecution(err, fault.Unknown)
}

// newRequest builds the upstream's request from scratch, so that the only headers
// that reach the upstream are those set here.
func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: address, Path: call.Path, RawPath: call.RawPath, RawQuery: call.Query.Encode()}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bodyOf(call))
	if err != nil {
		return nil, err
	}
	if len(call.Body) > 0 {
		request.ContentLength = int64(len(call.Body))
	}
	setHeader(request.Header, HeaderRequestID, call.RequestID)
	setHeader(request.Header, "Content-Type", call.ContentType)
	setHeader(request.Header, "Accept", call.Accept)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return request, nil
}

// bodyOf returns a body that the transport can't rewind. Otherwise the transport
// would send the request again by itself when an idle connection turns out to be
// closed: a call that must not be repeated could run twice, and a GET would be
// retried outside the retry budget. For the same reason the caller's
// Idempotency-Key is not forwarded: with it the transport would repeat a POST
// without a body.
func bodyOf(call Call) io.ReadCloser {
	if len(call.Body) == 0 && call.Method != http.MethodGet {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(call.Body))
}

// readAnswer reads a complete answer. An answer with neither a length nor chunked
// encoding ends with its connection; it is refused, because it can't be distinguished
// from a truncated one.
func readAnswer(address string, call Call, response *http.Response) (Answer, error) {
	defer func() { _ = response.Body.Close() }()
	if echoedID := response.Header.Get(HeaderRequestID); echoedID != "" && echoedID != call.RequestID {
		return Answer{}, upstreamFailed(address, "an answer to another request")
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return Answer{}, errors.WithStack(&fault.AnswerTruncated{Upstream: address})
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return Answer{}, errors.WithStack(&fault.AnswerTruncated{Upstream: address})
	}
	return Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

func upstreamFailed(address, reason string) error {
	return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: reason})
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
