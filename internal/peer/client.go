package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/peer/peerpb"
)

const (
	dialTimeout = 500 * time.Millisecond
	// callTimeout limits all calls but Generate, which ends with its caller's context.
	callTimeout = 2 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// maxIdlePerPeer is the largest number of idle connections to one peer.
	maxIdlePerPeer = 8
)

// Client calls other VMs. It is safe for concurrent use.
type Client struct {
	events  *event.Recorder
	metrics *Metrics
	pool    *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewClient returns a client. The caller must close it with Close.
func NewClient(events *event.Recorder, metrics *Metrics) *Client {
	return &Client{
		events:  events,
		metrics: metrics,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			KeyCapacity: maxIdlePerPeer,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

func (c *Client) peer(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.pool.Get(ctx, address, c.dial))
}

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(&countingConn{Conn: raw, bytes: c.metrics.bytes}), nil
}

func unavailable(address string) error {
	return errors.WithStack(&fault.PeerUnavailable{VM: address})
}

// Exchange sends a digest to the peer at address and returns the peer's digest.
func (c *Client) Exchange(ctx context.Context, address string, digest *peerpb.Digest) (*peerpb.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.peer(ctx, address).Exchange(ctx, digest)
	if err != nil {
		return nil, unavailable(address)
	}
	observeStamp(c.events, reply.GetStamp())
	return reply, nil
}

// FetchConfig requests a snapshot that is newer than the revision after.
func (c *Client) FetchConfig(ctx context.Context, address string, after uint64) (*peerpb.FetchConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.peer(ctx, address).FetchConfig(ctx, &peerpb.FetchConfigRequest{Stamp: wireStamp(c.events), After: after})
	if err != nil {
		return nil, unavailable(address)
	}
	observeStamp(c.events, reply.GetStamp())
	return reply, nil
}

// Events returns the events of the peer at address that match the query.
func (c *Client) Events(ctx context.Context, address string, query event.Query) ([]event.Record, error) {
	encodedQuery, err := json.Marshal(query)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "event query"})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.peer(ctx, address).Events(ctx, &peerpb.EventsRequest{Stamp: wireStamp(c.events), Query: encodedQuery})
	if err != nil {
		return nil, unavailable(address)
	}
	observeStamp(c.events, reply.GetStamp())
	records := make([]event.Record, 0, len(reply.GetRecords()))
	for _, encoded := range reply.GetRecords() {
		var record event.Record
		if err := json.Unmarshal(encoded, &record); err != nil {
			return nil, unavailable(address)
		}
		records = append(records, record)
	}
	return records, nil
}

// Generate runs a generation on the upstreams of the peer at address. A failure
// that the peer reported is a *fault.Remote.
func (c *Client) Generate(ctx context.Context, address string, request generate.Request) (generate.Result, error) {
	encoded, err := json.Marshal(request)
	if err != nil {
		return generate.Result{}, errors.WithStack(&fault.Internal{Where: "generation"})
	}
	reply, err := c.peer(ctx, address).Generate(ctx, &peerpb.GenerateRequest{Stamp: wireStamp(c.events), Generation: encoded})
	if err != nil {
		return generate.Result{}, unavailable(address)
	}
	observeStamp(c.events, reply.GetStamp())
	if reply.GetCode() != "" {
		return generate.Result{}, errors.WithStack(&fault.Remote{
			VM:         address,
			RemoteCode: fault.Code(reply.GetCode()),
			Wait:       time.Duration(reply.GetRetryAfterMillis()) * time.Millisecond,
		})
	}
	var result generate.Result
	if err := json.Unmarshal(reply.GetResult(), &result); err != nil {
		return generate.Result{}, unavailable(address)
	}
	return result, nil
}
