package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

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
	// CallTimeout bounds one call to the platform; no report can be under way for
	// longer.
	CallTimeout = 3 * time.Second
	// maxReply bounds the body of a reply in bytes.
	maxReply = 64 << 20
)

// ScanRequest is the body of a scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// GetRequest is the body of a read of one row.
type GetRequest struct {
	Key string `json:"key"`
}

// Problem is the body of a refusal by the platform.
type Problem struct {
	// Row, Want and Have are set when a precondition failed.
	Row  string `json:"row,omitempty"`
	Want uint64 `json:"want,omitempty"`
	Have uint64 `json:"have,omitempty"`
	// Epoch is the newest epoch seen, when an order was fenced off.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Client reaches the platform over HTTP. It implements every port of this
// package and is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// orders sends what a lease guards; see package fence.
	orders *http.Client

	vms       cachedList[VM]
	upstreams cachedList[Upstream]
	offers    cachedList[Offer]
	versions  cachedList[WeightVersion]
}

// NewClient returns a client for the platform at the base URL.
func NewClient(base string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{Transport: transport, Timeout: CallTimeout},
		// An order uses its connection once, so that the write deadline of its
		// lease ends with it.
		orders: fence.NewClient(dialTimeout, CallTimeout),
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
	status, problem, err := c.send(ctx, c.http, PathCommit, txn)
	switch {
	case err != nil:
		return err
	case status == http.StatusPreconditionFailed:
		return errors.WithStack(&fault.PreconditionFailed{Row: problem.Row, Want: problem.Want, Have: problem.Have})
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
	return refused("put", status)
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
	return body, refused("fetch", status)
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
	status, problem, err := c.send(ctx, c.orders, PathOrders, order)
	if err != nil {
		return err
	}
	return fenced(status, problem, order.ID, "order")
}

// Report implements Billing.
func (c *Client) Report(ctx context.Context, report UsageReport) error {
	status, problem, err := c.send(ctx, c.orders, PathReports, report)
	if err != nil {
		return err
	}
	return fenced(status, problem, report.Account, "report")
}

// Latest implements Weights.
func (c *Client) Latest(ctx context.Context) ([]WeightVersion, error) {
	return c.versions.fetch(ctx, c, PathWeights)
}

func fenced(status int, problem Problem, id, operation string) error {
	if status == http.StatusPreconditionFailed {
		return errors.WithStack(&fault.OrderFenced{Order: id, Epoch: problem.Epoch})
	}
	return refused(operation, status)
}

// refused turns a status into a failure. A server error may have come after
// the effect, so it counts as unknown.
func refused(operation string, status int) error {
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

func (c *Client) send(ctx context.Context, client *http.Client, path string, request any) (int, Problem, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, Problem{}, errors.WithStack(&fault.Internal{Where: path})
	}
	status, answer, err := c.callWith(ctx, client, http.MethodPost, path, body)
	if err != nil {
		return 0, Problem{}, err
	}
	var problem Problem
	if status >= http.StatusBadRequest {
		// A refusal without a readable body still counts by its status.
		_ = json.Unmarshal(answer, &problem)
	}
	return status, problem, nil
}

// call makes one HTTP call on the kept connections.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	return c.callWith(ctx, c.http, method, path, body)
}

// callWith makes one HTTP call. Whatever goes wrong after the connection was
// tried counts as an unknown effect: the platform may have acted and the
// reply may have been lost.
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return 0, nil, errors.WithStack(&fault.StoreUnavailable{Operation: path, EffectUnknown: method != http.MethodGet})
	}
	return response.StatusCode, answer, nil
}
