// Package service is the client of plain services. It builds each upstream
// request anew and returns only whole answers.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Call is one call to a plain service.
type Call struct {
	RequestID string
	Method    string
	// Path starts with a slash.
	Path  string
	Query url.Values
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

// HeaderRequestID names the request to the service.
const HeaderRequestID = "X-Request-Id"

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
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do makes the call at an address. It fails with *fault.UpstreamFailed or
// *fault.AnswerTruncated; sent tells whether a byte of the request may have
// gone out.
func (c *Client) Do(ctx context.Context, address string, call Call) (answer Answer, sent bool, err error) {
	target := url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.Query.Encode()}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, false, errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "address"})
	}
	// Without GetBody the transport can't send the request a second time on
	// its own when a kept connection turns out to be closed.
	request.GetBody = nil
	setHeader(request.Header, HeaderRequestID, call.RequestID)
	setHeader(request.Header, "Content-Type", call.ContentType)
	setHeader(request.Header, "Accept", call.Accept)
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, !refusedConnection(err), errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: "no answer"})
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return Answer{}, true, errors.WithStack(&fault.AnswerTruncated{Upstream: address})
	}
	return Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, true, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// refusedConnection reports whether no connection came about, so that no byte
// can have gone out.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
