package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"dogwoodpond/internal/dial"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
)

const (
	dialTimeout = time.Second
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// DefaultOrderTimeout is the timeout of one order. A new holder of a lease waits
	// at least as long before it sends an order to an engine that ignores fencing
	// tokens, so that no order of the previous holder takes effect later.
	DefaultOrderTimeout = 10 * time.Second
	loadTimeout         = time.Second
	// maxLoadBytes is the maximum size of a load report.
	maxLoadBytes = 1 << 16
)

// StreamTimeouts holds the timeouts of a stream. An engine that hangs leaves its
// connection open, so without timeouts its callers would wait until their deadline
// although another engine could continue the stream.
type StreamTimeouts struct {
	// First is the timeout for the first chunk. It includes the time in the engine's
	// queue.
	First time.Duration
	// Next is the timeout for each further chunk.
	Next time.Duration
}

// DefaultStreamTimeouts holds the stream timeouts of a client that NewClient returns.
var DefaultStreamTimeouts = StreamTimeouts{First: 2 * time.Minute, Next: 20 * time.Second}

// Client is an HTTP client of model engines. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	timeouts StreamTimeouts
	events   *event.Recorder
	// orders is the HTTP client for orders, which are guarded by a lease; see package
	// fence.
	orders *http.Client
}

// NewClient returns a client with the default stream timeouts.
func NewClient(events *event.Recorder) *Client {
	return NewClientWithTimeouts(DefaultStreamTimeouts, events)
}

// NewClientWithTimeouts returns a client with the given stream timeouts.
func NewClientWithTimeouts(timeouts StreamTimeouts, events *event.Recorder) *Client {
	return &Client{
		http: &http.Client{Transport: dial.Transport{Transport: &http.Transport{
			DialContext:            dial.ResetOnClose(dialTimeout),
			MaxIdleConnsPerHost:    256,
			IdleConnTimeout:        time.Minute,
			DisableCompression:     true,
			MaxResponseHeaderBytes: dial.MaxHeadBytes,
		}}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
		timeouts: timeouts,
		events:   events,
		orders:   fence.NewClient(dialTimeout, DefaultOrderTimeout, events),
	}
}

// WithOrderTimeout returns a copy of the client with another timeout of one order.
func (c *Client) WithOrderTimeout(timeout time.Duration) *Client {
	changed := *c
	changed.orders = fence.NewClient(dialTimeout, timeout, c.events)
	return &changed
}

// Stream runs one completion at the engine's address and calls sink for each chunk
// in the order of the stream. It returns nil only after the terminal event.
// Otherwise it fails with *fault.UpstreamFailed, *fault.AnswerTruncated or the
// error of sink. Each error states whether the request ran; see
// fault.WithExecution.
func (c *Client) Stream(ctx context.Context, address string, request CompletionRequest, sink func(CompletionChunk) error) error {
	request.Stream = true
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(c.timeouts.First, cancel)
	defer idleTimer.Stop()
	response, err := c.post(ctx, c.http, address+PathCompletions, request.RequestID, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusalError(address, response)
	}
	received := false
	err = readStream(address, request.RequestID, response.Body, func(chunk CompletionChunk) error {
		received = true
		idleTimer.Reset(c.timeouts.Next)
		return sink(chunk)
	})
	if received {
		return fault.WithExecution(err, fault.Ran)
	}
	return fault.WithExecution(err, fault.Unknown)
}

func refusalError(address string, response *http.Response) error {
	execution := fault.Unknown
	if response.StatusCode == StatusNotServed {
		execution = fault.NotRun
	}
	answered := errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: response.Status, Answered: true})
	return fault.WithExecution(answered, execution)
}

func upstreamFailed(address, reason string) error {
	return errors.WithStack(&fault.UpstreamFailed{Upstream: address, Reason: reason})
}

// readStream reads the events of one stream. Only the terminal event shows that an
// answer is complete: when the engine's process dies, the stream can end early
// without a transport error.
func readStream(address, requestID string, body io.Reader, sink func(CompletionChunk) error) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
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

// parseChunk decodes one event. The engine repeats the request's ID in each event;
// an event of another request is refused, because it would put another caller's text
// into this answer.
func parseChunk(address, requestID, data string) (CompletionChunk, error) {
	var chunk CompletionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return CompletionChunk{}, upstreamFailed(address, "an event is not JSON")
	}
	if chunk.ID != requestID || len(chunk.Choices) != 1 {
		return CompletionChunk{}, upstreamFailed(address, "an event of another request")
	}
	return chunk, nil
}

// LoadReport reads the engine's load report. It fails with *fault.UpstreamFailed.
func (c *Client) LoadReport(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLoad, nil)
	if err != nil {
		return Load{}, upstreamFailed(address, "address")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Load{}, upstreamFailed(address, "no load report")
	}
	defer response.Body.Close()
	var load Load
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&load); err != nil {
		return Load{}, upstreamFailed(address, "load report is not JSON")
	}
	return load, nil
}

// Order sends an order. It fails with *fault.OrderFenced if the engine has seen a
// newer epoch, and with *fault.UpstreamFailed if the engine does not confirm the
// order; the outcome may then be unknown, and the order may be sent again with the
// same ID.
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
		return upstreamFailed(address, response.Status)
	}
}

// post sends a body as JSON. Its errors state whether the request ran: without a
// connection no byte was sent, so it did not run; with a connection this is unknown.
func (c *Client) post(ctx context.Context, client *http.Client, target, requestID string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fault.WithExecution(errors.WithStack(&fault.Internal{Where: "engine request"}), fault.NotRun)
	}
	tracker := dial.Tracker{ID: requestID, Body: func() io.ReadCloser { return io.NopCloser(bytes.NewReader(text)) }}
	request, err := http.NewRequestWithContext(tracker.Context(ctx), http.MethodPost, "http://"+target, bytes.NewReader(text))
	if err != nil {
		return nil, fault.WithExecution(upstreamFailed(target, "address"), fault.NotRun)
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
	if tracker.Conn() == nil {
		return nil, fault.WithExecution(upstreamFailed(target, "no connection"), fault.NotRun)
	}
	if errors.Is(err, dial.ErrMalformed) {
		malformed := errors.WithStack(&fault.UpstreamFailed{Upstream: target, Reason: dial.ErrMalformed.Error(), Answered: true})
		return nil, fault.WithExecution(malformed, fault.Unknown)
	}
	return nil, fault.WithExecution(upstreamFailed(target, "no answer"), fault.Unknown)
}
