package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
)

const (
	dialTimeout = time.Second
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
	// OrderTimeout bounds one order; a take-over waits at least as long for
	// engines that ignore fencing.
	OrderTimeout = 10 * time.Second
	loadTimeout  = time.Second
)

// Client reaches model engines over HTTP. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// orders sends what a lease guards; see package fence.
	orders *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     time.Minute,
		}},
		orders: fence.NewClient(dialTimeout, OrderTimeout),
	}
}

// Stream runs one completion at the engine's address and hands each chunk to
// sink in the order of the stream. It returns nil only after the terminal
// event. Else it fails with *fault.UpstreamFailed, *fault.AnswerTruncated, or
// sink's error.
func (c *Client) Stream(ctx context.Context, address string, request CompletionRequest, sink func(CompletionChunk) error) error {
	request.Stream = true
	response, err := c.post(ctx, c.http, address+PathCompletions, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return failed(address, response.Status)
	}
	return readStream(address, request.RequestID, response.Body, sink)
}

func failed(address, reason string) error {
	return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: reason})
}

// readStream reads the events of one stream. A stream can end early without
// an error of the transport, when the engine's process dies; only the terminal
// event tells that an answer is whole.
func readStream(address, requestID string, body io.Reader, sink func(CompletionChunk) error) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return errors.WithStack(&fault.AnswerTruncated{Upstream: address})
		}
		if event.Data == DoneEvent {
			return nil
		}
		var chunk CompletionChunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return failed(address, "an event is not JSON")
		}
		if chunk.ID != requestID || len(chunk.Choices) != 1 {
			return failed(address, "an event of another request")
		}
		if err := sink(chunk); err != nil {
			return err
		}
	}
	return errors.WithStack(&fault.AnswerTruncated{Upstream: address})
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLoad, nil)
	if err != nil {
		return Load{}, failed(address, "address")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Load{}, failed(address, "no load report")
	}
	defer response.Body.Close()
	var load Load
	if err := json.NewDecoder(response.Body).Decode(&load); err != nil {
		return Load{}, failed(address, "load report is not JSON")
	}
	return load, nil
}

// Order gives an order. It fails with *fault.OrderFenced when the engine has
// seen a newer epoch, and with *fault.UpstreamFailed when the outcome is not
// known; then the order may be repeated with the same ID.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	response, err := c.post(ctx, c.orders, address+PathOrders, order)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return errors.WithStack(&fault.OrderFenced{Order: order.ID, Epoch: order.Epoch})
	default:
		return failed(address, response.Status)
	}
}

func (c *Client) post(ctx context.Context, client *http.Client, target string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "engine request"})
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target, bytes.NewReader(text))
	if err != nil {
		return nil, failed(target, "address")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, failed(target, "no answer")
	}
	return response, nil
}
