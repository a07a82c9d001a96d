// Package carry lets a VM that can't reach the platform's store use it through
// another VM. The store may turn some VMs away while it serves others, and a
// network partition may do the same; without this a third of the fleet would be
// of no use for minutes. The VMs of a fleet trust each other, and what makes a
// commit safe are its expectations, whoever carries it.
package carry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"dogwoodpond/internal/carry/carrypb"
	"dogwoodpond/internal/fault"
)

const (
	// dialTimeout bounds the dial to a peer; a way between failure domains takes
	// a few milliseconds, one between regions some 20.
	dialTimeout = 400 * time.Millisecond
	// idleTime closes kept connections that were not used.
	idleTime = 20 * time.Second
	// perPeer bounds the kept connections to one peer.
	perPeer = 4
	// slack is added to a call's own timeout for the way to the peer.
	slack = 300 * time.Millisecond
)

// Call is one call to the store.
type Call struct {
	Method, URI string
	Body        []byte
	// IfAbsent asks that nothing be overwritten.
	IfAbsent bool
	Timeout  time.Duration
}

// Answer is the store's answer.
type Answer struct {
	Status int
	Body   []byte
}

// Direct makes a call to the store. sent tells, on a failure, whether the call
// may have reached it.
type Direct func(ctx context.Context, call Call) (answer Answer, sent bool, err error)

// Serve answers peers on a listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, direct Direct) error {
	mux := drpcmux.New()
	if err := carrypb.DRPCRegisterCarrier(mux, &server{direct: direct}); err != nil {
		return errors.WithStack(&fault.Internal{Where: "carrier registration"})
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

type server struct{ direct Direct }

// Carry implements carrypb.DRPCCarrierServer.
func (s *server) Carry(ctx context.Context, in *carrypb.Call) (*carrypb.Answer, error) {
	call := Call{
		Method: in.GetMethod(), URI: in.GetUri(), Body: in.GetBody(), IfAbsent: in.GetIfAbsent(),
		Timeout: time.Duration(in.GetTimeoutMillis()) * time.Millisecond,
	}
	answer, sent, err := s.direct(ctx, call)
	if err != nil {
		return &carrypb.Answer{Sent: sent}, nil
	}
	return &carrypb.Answer{Status: int32(answer.Status), Body: answer.Body, Sent: true}, nil
}

// Client asks peers. It is safe for concurrent use.
type Client struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleTime, KeyCapacity: perPeer})}
}

// Close closes the kept connections.
func (c *Client) Close() error { return c.pool.Close() }

// Carry makes a call through the peer at an address. sent tells, on a failure,
// whether the call may have reached the store.
func (c *Client) Carry(ctx context.Context, address string, call Call) (answer Answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout+slack)
	defer cancel()
	dialed := false
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
		raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		dialed = true
		return drpcconn.New(raw), nil
	})
	defer func() { _ = conn.Close() }()
	out, err := carrypb.NewDRPCCarrierClient(conn).Carry(ctx, &carrypb.Call{
		Method: call.Method, Uri: call.URI, Body: call.Body, IfAbsent: call.IfAbsent,
		TimeoutMillis: call.Timeout.Milliseconds(),
	})
	if err != nil {
		// A connection that was kept may have taken the call before it broke.
		return Answer{}, dialed || ctx.Err() != nil || !isDial(err), errors.WithStack(&fault.PeerUnavailable{VM: address})
	}
	if out.GetStatus() == 0 {
		return Answer{}, out.GetSent(), errors.WithStack(&fault.StoreUnavailable{Operation: call.URI, EffectUnknown: out.GetSent()})
	}
	return Answer{Status: int(out.GetStatus()), Body: out.GetBody()}, true, nil
}

// isDial reports whether a failure came before any byte could be sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
