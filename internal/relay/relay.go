// Package relay holds the calls between VMs that stand in for the platform's store: a VM that
// can't reach the store has its calls relayed by another one, and lost answers that can't be
// stored are told to the other VMs. The store may refuse some VMs while it serves others, and a
// network partition may cut some VMs off; without relays a third of the fleet would be unusable
// for minutes. The VMs of a fleet trust each other. A relayed commit is as safe as a direct one,
// because its expectations protect it on either path.
package relay

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/relay/carrypb"
)

const (
	// dialTimeout bounds the dial to a peer. The latency is a few milliseconds between
	// failure domains and about 20 ms between regions.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the time after which an unused pooled connection is closed.
	idleTimeout = 20 * time.Second
	// maxIdlePerPeer bounds the pooled connections to one peer.
	maxIdlePerPeer = 4
	// peerMargin is added to the timeout of a call for the way to the peer and back.
	peerMargin = 300 * time.Millisecond
	// tellTimeout bounds one call that tells a peer of lost answers.
	tellTimeout = time.Second
	// maxConcurrentTells bounds the peers that are told at the same time.
	maxConcurrentTells = 16
)

// Call is one HTTP call to the store.
type Call struct {
	Method, URI string
	Body        []byte
	// IfAbsent makes the call create an object only if it is absent.
	IfAbsent bool
	Timeout  time.Duration
}

// Answer is the HTTP answer of the store.
type Answer struct {
	Status int
	Body   []byte
}

// CallFunc is a function that makes a call to the store itself, not through a peer. If it fails,
// sent is true if the call may have reached the store.
type CallFunc func(ctx context.Context, call Call) (answer Answer, sent bool, err error)

// Handlers handle the calls of peers.
type Handlers struct {
	// CallStore makes a call to the store for a peer.
	CallStore CallFunc
	// NoteLostAnswers takes note of the lost answers that a peer tells of.
	NoteLostAnswers func(suspicions []byte)
}

// Serve handles the calls that peers make on a listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, handlers Handlers) error {
	mux := drpcmux.New()
	if err := carrypb.DRPCRegisterCarrier(mux, &server{handlers}); err != nil {
		return errors.WithStack(&fault.Internal{Where: "registration of the relay service"})
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

type server struct{ handlers Handlers }

// Carry implements carrypb.DRPCCarrierServer.
func (s *server) Carry(ctx context.Context, in *carrypb.Call) (*carrypb.Answer, error) {
	call := Call{
		Method: in.GetMethod(), URI: in.GetUri(), Body: in.GetBody(), IfAbsent: in.GetIfAbsent(),
		Timeout: time.Duration(in.GetTimeoutMillis()) * time.Millisecond,
	}
	answer, sent, err := s.handlers.CallStore(ctx, call)
	if err != nil {
		return &carrypb.Answer{Sent: sent}, nil
	}
	return &carrypb.Answer{Status: int32(answer.Status), Body: answer.Body, Sent: true}, nil
}

// NoteLostAnswers implements carrypb.DRPCCarrierServer.
func (s *server) NoteLostAnswers(_ context.Context, in *carrypb.LostAnswers) (*carrypb.LostAnswersNoted, error) {
	s.handlers.NoteLostAnswers(in.GetSuspicions())
	return &carrypb.LostAnswersNoted{}, nil
}

// Client calls peers. It is safe for concurrent use.
type Client struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerPeer})}
}

// Close closes the pooled connections.
func (c *Client) Close() error { return c.pool.Close() }

// Relay makes a call to the store through the peer at an address. If it fails, sent is true if
// the call may have reached the store.
func (c *Client) Relay(ctx context.Context, address string, call Call) (answer Answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout+peerMargin)
	defer cancel()
	dialed := false
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
		conn, err := dialPeer(ctx, address)
		dialed = err == nil
		return conn, err
	})
	defer func() { _ = conn.Close() }()
	out, err := carrypb.NewDRPCCarrierClient(conn).Carry(ctx, &carrypb.Call{
		Method: call.Method, Uri: call.URI, Body: call.Body, IfAbsent: call.IfAbsent,
		TimeoutMillis: call.Timeout.Milliseconds(),
	})
	if err != nil {
		// Only a failed dial proves that nothing was sent: an established connection
		// may have delivered the call before it failed.
		return Answer{}, dialed || ctx.Err() != nil || !isDialError(err), errors.WithStack(&fault.PeerUnavailable{VM: address})
	}
	if out.GetStatus() == 0 {
		return Answer{}, out.GetSent(), errors.WithStack(&fault.StoreUnavailable{Operation: call.URI, EffectUnknown: out.GetSent()})
	}
	return Answer{Status: int(out.GetStatus()), Body: out.GetBody()}, true, nil
}

// TellAll tells peers of lost answers, and returns once each has answered or can't be reached.
func (c *Client) TellAll(ctx context.Context, addresses []string, suspicions []byte) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentTells)
	for _, address := range addresses {
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			conn := c.pool.Get(ctx, address, dialPeer)
			defer func() { _ = conn.Close() }()
			// A peer that can't be reached reads what is stored later.
			_, _ = carrypb.NewDRPCCarrierClient(conn).NoteLostAnswers(ctx, &carrypb.LostAnswers{Suspicions: suspicions})
			return nil
		})
	}
	_ = calls.Wait()
}

// dialPeer opens a connection to a peer.
func dialPeer(ctx context.Context, address string) (*drpcconn.Conn, error) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// isDialError reports whether a call failed at the dial, before any byte was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
