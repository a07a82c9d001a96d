package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
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
	// DefaultOrderTimeout bounds one order; a take-over waits as long for engines
	// that ignore fencing.
	DefaultOrderTimeout = 10 * time.Second
	loadTimeout         = time.Second
	// maxLoad bounds a load report in bytes.
	maxLoad = 1 << 16
)

// Patience bounds the silence of a stream. An engine that hangs keeps its
// connection open, so without a bound its callers would wait for their whole
// deadline although another engine could go on.
type Patience struct {
	// First bounds the wait for the first chunk: an engine queues requests.
	First time.Duration
	// Next bounds the wait for each further chunk.
	Next time.Duration
}

// DefaultPatience holds unless a client is built with another.
var DefaultPatience = Patience{First: 2 * time.Minute, Next: 20 * time.Second}

// Client reaches model engines over HTTP. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	patience Patience
	// orders sends what a lease guards; see package fence.
	orders *http.Client
}

// NewClient returns a client with the default patience.
func NewClient() *Client { return NewPatientClient(DefaultPatience) }

// NewPatientClient returns a client with its own bounds of a stream's silence.
func NewPatientClient(patience Patience) *Client {
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		patience: patience,
		orders:   fence.NewClient(dialTimeout, DefaultOrderTimeout),
	}
}

// WithOrderTimeout returns the client with another bound of one order.
func (c *Client) WithOrderTimeout(timeout time.Duration) *Client {
	changed := *c
	changed.orders = fence.NewClient(dialTimeout, timeout)
	return &changed
}

// Stream runs one completion at the engine's address and hands each chunk to
// sink in the order of the stream. It returns nil only after the terminal
// event. Else it fails with *fault.UpstreamFailed, *fault.AnswerTruncated, or
// sink's error. Each failure carries what is known about the run.
func (c *Client) Stream(ctx context.Context, address string, request CompletionRequest, sink func(CompletionChunk) error) error {
	request.Stream = true
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(c.patience.First, cancel)
	defer silence.Stop()
	response, err := c.post(ctx, c.http, address+PathCompletions, request.RequestID, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusedStream(address, response)
	}
	heard := false
	err = readStream(address, request.RequestID, response.Body, func(chunk CompletionChunk) error {
		heard = true
		silence.Reset(c.patience.Next)
		return sink(chunk)
	})
	if heard {
		return fault.WithExecution(err, fault.Ran)
	}
	return fault.WithExecution(err, fault.Unknown)
}

func refusedStream(address string, response *http.Response) error {
	execution := fault.Unknown
	if response.StatusCode == StatusNotServed {
		execution = fault.NotRun
	}
	return fault.WithExecution(failed(address, response.Status), execution)
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
		chunk, err := parseChunk(address, requestID, event.Data)
		if err != nil {
			return err
		}
		if err := sink(chunk); err != nil {
			return err
		}
	}
	return errors.WithStack(&fault.AnswerTruncated{Upstream: address})
}

// parseChunk reads one event. An event of another request would put another
// caller's words into this answer; the engine repeats the request's ID in each.
func parseChunk(address, requestID, data string) (CompletionChunk, error) {
	var chunk CompletionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return CompletionChunk{}, failed(address, "an event is not JSON")
	}
	if chunk.ID != requestID || len(chunk.Choices) != 1 {
		return CompletionChunk{}, failed(address, "an event of another request")
	}
	return chunk, nil
}

// LoadReport returns the engine's load report.
func (c *Client) LoadReport(ctx context.Context, address string) (Load, error) {
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoad)).Decode(&load); err != nil {
		return Load{}, failed(address, "load report is not JSON")
	}
	return load, nil
}

// Order gives an order. It fails with *fault.OrderFenced when the engine has
// seen a newer epoch, and with *fault.UpstreamFailed when the outcome is not
// known; then the order may be repeated with the same ID.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	response, err := c.post(ctx, c.orders, address+PathOrders, order.ID, order)
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

// post sends a body. Its failures are marked: before a connection was at hand
// no byte can have gone out.
func (c *Client) post(ctx context.Context, client *http.Client, target, requestID string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fault.WithExecution(errors.WithStack(&fault.Internal{Where: "engine request"}), fault.NotRun)
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+target, bytes.NewReader(text))
	if err != nil {
		return nil, fault.WithExecution(failed(target, "address"), fault.NotRun)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequestID, requestID)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	response, err := client.Do(request)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, fault.WithExecution(failed(target, "no connection"), fault.NotRun)
	}
	return nil, fault.WithExecution(failed(target, "no answer"), fault.Unknown)
}
