package platformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/dial"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fence"
)

// Paths of the platform's HTTP interfaces.
const (
	PathGet       = "/tables/get"
	PathScan      = "/tables/scan"
	PathCommit    = "/tables/commit"
	PathObjects   = "/objects/"
	PathVMs       = "/vms"
	PathUpstreams = "/upstreams"
	PathOrders    = "/orders"
	PathOffers    = "/offers"
	PathReports   = "/reports"
	PathWeights   = "/weights"
)

const (
	dialTimeout = time.Second
	// CallTimeout is the timeout of a call to the platform. A usage report is
	// never in flight for longer.
	CallTimeout = 3 * time.Second
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
)

// ScanRequest is the body of a scan request.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// GetRequest is the body of a request for one row.
type GetRequest struct {
	Key string `json:"key"`
}

// Refusal is the body of a response in which the platform refuses a request.
type Refusal struct {
	// Row, Want and Have are set if a precondition failed: the row, the version
	// that was required, and the version that the row has.
	Row  string `json:"row,omitempty"`
	Want uint64 `json:"want,omitempty"`
	Have uint64 `json:"have,omitempty"`
	// Epoch is set if an order or report had an outdated epoch: the newest epoch
	// that the platform has seen.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Client calls the platform over HTTP. It implements every port of this package
// and is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// fencedHTTP sends orders and reports, which need a lease; see package fence.
	fencedHTTP *http.Client

	vms       cachedList[VM]
	upstreams cachedList[Upstream]
	offers    cachedList[Offer]
	versions  cachedList[WeightVersion]
}

// NewClient returns a client for the platform at the base URL.
func NewClient(base string, events *event.Recorder) *Client {
	transport := dial.Transport{Transport: &http.Transport{
		DialContext:            dial.Open(dialTimeout),
		MaxIdleConnsPerHost:    32,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: dial.MaxHeadBytes,
	}}
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{Transport: transport, Timeout: CallTimeout},
		// A connection is used for one order or report only, so that the write
		// deadline set for its lease does not outlast it.
		fencedHTTP: fence.NewClient(dialTimeout, CallTimeout, events),
	}
}

// Get implements Tables.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, PathGet, GetRequest{Key: key}, &row)
	return row, err
}

// Scan implements Tables.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := c.read(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &rows)
	return rows, err
}

// Commit implements Tables.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	status, refusal, err := c.send(ctx, c.http, PathCommit, txn)
	switch {
	case err != nil:
		return err
	case status == http.StatusPreconditionFailed:
		return errors.WithStack(&fault.PreconditionFailed{Row: refusal.Row, Want: refusal.Want, Have: refusal.Have})
	case status != http.StatusOK:
		return errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: status >= http.StatusInternalServerError})
	}
	return nil
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, key string, body []byte) error {
	status, _, err := c.call(ctx, http.MethodPut, PathObjects+url.PathEscape(key), body)
	if err != nil {
		return err
	}
	return statusError("put", status)
}

// Fetch implements Objects.
func (c *Client) Fetch(ctx context.Context, key string) ([]byte, error) {
	status, body, err := c.call(ctx, http.MethodGet, PathObjects+url.PathEscape(key), nil)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotFound {
		return nil, errors.WithStack(&fault.ObjectUnknown{Key: key})
	}
	return body, statusError("fetch", status)
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	return c.vms.fetch(ctx, c, PathVMs)
}

// Upstreams implements Upstreams.
func (c *Client) Upstreams(ctx context.Context) ([]Upstream, error) {
	return c.upstreams.fetch(ctx, c, PathUpstreams)
}

// Offers implements Upstreams.
func (c *Client) Offers(ctx context.Context) ([]Offer, error) {
	return c.offers.fetch(ctx, c, PathOffers)
}

// Order implements Upstreams.
func (c *Client) Order(ctx context.Context, order Order) error {
	status, refusal, err := c.sendFenced(ctx, PathOrders, order)
	if err != nil {
		return err
	}
	return fencedStatusError(status, refusal, order.ID, "order")
}

// Report implements Billing.
func (c *Client) Report(ctx context.Context, report UsageReport) error {
	status, refusal, err := c.sendFenced(ctx, PathReports, report)
	if err != nil {
		return err
	}
	return fencedStatusError(status, refusal, report.Account, "report")
}

// Latest implements Weights.
func (c *Client) Latest(ctx context.Context) ([]WeightVersion, error) {
	return c.versions.fetch(ctx, c, PathWeights)
}

func fencedStatusError(status int, refusal Refusal, id, operation string) error {
	if status == http.StatusPreconditionFailed {
		return errors.WithStack(&fault.OrderFenced{Order: id, Epoch: refusal.Epoch})
	}
	return statusError(operation, status)
}

// statusError returns the error for the status of a response, or nil if the status
// is below 400. The platform may have executed a request that it answers with a
// server error, so the effect counts as unknown.
func statusError(operation string, status int) error {
	switch {
	case status < http.StatusBadRequest:
		return nil
	case status >= http.StatusInternalServerError:
		return errors.WithStack(&fault.StoreUnavailable{Operation: operation, EffectUnknown: true})
	default:
		return errors.WithStack(&fault.PlatformRefused{Operation: operation, Status: status})
	}
}

func (c *Client) read(ctx context.Context, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.WithStack(&fault.Internal{Where: path})
	}
	status, answer, err := c.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	return decode(path, status, answer, reply)
}

func decode(path string, status int, answer []byte, reply any) error {
	if status != http.StatusOK {
		return errors.WithStack(&fault.StoreUnavailable{Operation: path})
	}
	if err := json.Unmarshal(answer, reply); err != nil {
		return errors.WithStack(&fault.StoreUnavailable{Operation: path})
	}
	return nil
}

func (c *Client) send(ctx context.Context, client *http.Client, path string, request any) (int, Refusal, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, Refusal{}, errors.WithStack(&fault.Internal{Where: path})
	}
	status, answer, err := c.callWith(ctx, client, http.MethodPost, path, body)
	if err != nil {
		return 0, Refusal{}, err
	}
	var refusal Refusal
	if status >= http.StatusBadRequest {
		// If the body can't be decoded, the error depends on the status alone.
		_ = json.Unmarshal(answer, &refusal)
	}
	return status, refusal, nil
}

// sendFenced sends an order or report. Without a connection no byte of it was written, so it
// has no effect.
func (c *Client) sendFenced(ctx context.Context, path string, request any) (int, Refusal, error) {
	var tracker dial.Tracker
	status, refusal, err := c.send(tracker.Context(ctx), c.fencedHTTP, path, request)
	if fault.Is[*fault.StoreUnavailable](err) && tracker.Conn() == nil {
		return 0, Refusal{}, errors.WithStack(&fault.StoreUnavailable{Operation: path})
	}
	return status, refusal, err
}

// call makes one HTTP call over the pooled connections.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	return c.callWith(ctx, c.http, method, path, body)
}

// callWith makes one HTTP call. Unless the method is GET, the effect of a call
// that gets no complete answer is unknown: the platform may have executed the
// request although its answer was lost.
func (c *Client) callWith(ctx context.Context, client *http.Client, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.WithStack(&fault.Internal{Where: path})
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, errors.WithStack(&fault.StoreUnavailable{Operation: path, EffectUnknown: method != http.MethodGet})
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, errors.WithStack(&fault.StoreUnavailable{Operation: path, EffectUnknown: method != http.MethodGet})
	}
	return response.StatusCode, answer, nil
}
