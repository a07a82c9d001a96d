// Package service is the client of plain services. It builds each upstream
// request anew and returns only whole answers.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Call is one call to a plain service.
type Call struct {
	RequestID string
	Method    string
	// Path starts with a slash. RawPath is its escaped form where the plain one
	// does not tell them apart, as in url.URL.
	Path    string
	RawPath string
	Query   url.Values
	// ContentType and Accept are the caller's; nothing else of its header is
	// passed on.
	ContentType string
	Accept      string
	Body        []byte
}

// Answer is a service's whole answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// maxAnswer bounds an answer in bytes.
const maxAnswer = 16 << 20

// Headers of a call.
const (
	// HeaderRequestID names the request to the service. A service that repeats
	// it in its answer lets the client notice crossed answers.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout gives what remains of the call's deadline in milliseconds.
	HeaderTimeout = "X-Request-Timeout-Ms"
)

// Client reaches plain services over HTTP. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client. It follows no redirects and never repeats a
// request.
func NewClient() *Client {
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do makes the call at an address. It fails with *fault.UpstreamFailed or
// *fault.AnswerTruncated; sent tells whether a byte of the request may have
// gone out, and the failure is marked accordingly.
func (c *Client) Do(ctx context.Context, address string, call Call) (answer Answer, sent bool, err error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(traced, address, call)
	if err != nil {
		return Answer{}, false, fault.WithExecution(failed(address, "address"), fault.NotRun)
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return Answer{}, false, fault.WithExecution(failed(address, "no connection"), fault.NotRun)
	}
	if err != nil {
		return Answer{}, true, fault.WithExecution(failed(address, "no answer"), fault.Unknown)
	}
	answer, err = readAnswer(address, call, response)
	return answer, true, fault.WithExecution(err, fault.Unknown)
}

// newRequest builds the upstream's request anew, so that nothing of the
// caller's header reaches the upstream but what is named here.
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

// bodyOf returns a body that the transport can't rewind, which keeps it from
// sending the request a second time on its own when a kept connection turns out
// to be closed: a call that may not be repeated would run twice, and a GET would
// be repeated outside the retry budget. For the same reason the caller's
// Idempotency-Key is not passed on: with it the transport would repeat a POST
// without a body.
func bodyOf(call Call) io.Reader {
	if len(call.Body) == 0 && call.Method != http.MethodGet {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(call.Body))
}

// readAnswer reads a whole answer. An answer that ends with its connection and
// has neither a length nor chunks can't be told from a truncated one.
func readAnswer(address string, call Call, response *http.Response) (Answer, error) {
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(HeaderRequestID); echoed != "" && echoed != call.RequestID {
		return Answer{}, failed(address, "an answer to another request")
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return Answer{}, errors.WithStack(&fault.AnswerTruncated{Upstream: address})
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return Answer{}, errors.WithStack(&fault.AnswerTruncated{Upstream: address})
	}
	return Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

func failed(address, reason string) error {
	return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: reason})
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
