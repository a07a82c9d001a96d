// Package peer carries soft state between VMs over drpc. Everything here may
// be lost, late, doubled or wrong; it costs time or fairness, never a promise.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/peer/peerpb"
)

// Ager tells how long ago the configuration was last known current.
type Ager interface {
	Age() time.Duration
}

// Server answers the other VMs.
type Server struct {
	events *event.Recorder
	view   *contract.View
	ager   Ager
	runner generate.Runner
	gossip *Gossip
}

// NewServer returns a server over the VM's parts.
func NewServer(events *event.Recorder, view *contract.View, ager Ager, runner generate.Runner, gossip *Gossip) *Server {
	return &Server{events: events, view: view, ager: ager, runner: runner, gossip: gossip}
}

// Serve answers on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return errors.WithStack(&fault.Internal{Where: "peer registration"})
	}
	return drpcserver.New(mux).Serve(ctx, &countedListener{Listener: listener, bytes: s.gossip.metrics.bytes})
}

// Exchange takes a peer's digest and returns the own one.
func (s *Server) Exchange(_ context.Context, in *peerpb.Digest) (*peerpb.Digest, error) {
	observe(s.events, in.GetStamp())
	s.gossip.Receive(in)
	return s.gossip.Digest(), nil
}

// FetchConfig returns the VM's snapshot when it is newer than the asker's.
func (s *Server) FetchConfig(_ context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	observe(s.events, in.GetStamp())
	reply := &peerpb.FetchConfigReply{Stamp: stamp(s.events), RevisionAgeMillis: s.ager.Age().Milliseconds()}
	snapshot := s.view.Load()
	if uint64(snapshot.Revision) <= in.GetAfter() {
		return reply, nil
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "snapshot"})
	}
	reply.Snapshot = text
	return reply, nil
}

// Events returns the events that a query picks.
func (s *Server) Events(_ context.Context, in *peerpb.EventsRequest) (*peerpb.EventsReply, error) {
	observe(s.events, in.GetStamp())
	var query event.Query
	if err := json.Unmarshal(in.GetQuery(), &query); err != nil {
		return nil, errors.WithStack(&fault.BadRequest{Field: "query", Problem: "not JSON"})
	}
	reply := &peerpb.EventsReply{}
	for _, record := range s.events.Select(query) {
		text, err := json.Marshal(record)
		if err != nil {
			return nil, errors.WithStack(&fault.Internal{Where: "event"})
		}
		reply.Records = append(reply.Records, text)
	}
	reply.Stamp = stamp(s.events)
	return reply, nil
}

// Generate runs a generation for a peer. A failure travels inside the reply, so
// that its type survives.
func (s *Server) Generate(ctx context.Context, in *peerpb.GenerateRequest) (*peerpb.GenerateReply, error) {
	observe(s.events, in.GetStamp())
	var request generate.Request
	if err := json.Unmarshal(in.GetGeneration(), &request); err != nil {
		return nil, errors.WithStack(&fault.BadRequest{Field: "generation", Problem: "not JSON"})
	}
	result, err := s.runner.Generate(ctx, request, nil)
	reply := &peerpb.GenerateReply{Stamp: stamp(s.events)}
	if err != nil {
		reply.Code = string(fault.CodeOf(err))
		reply.Message = err.Error()
		reply.RetryAfterMillis = fault.RetryAfterOf(err, 0).Milliseconds()
		return reply, nil
	}
	reply.Result, err = json.Marshal(result)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "result"})
	}
	return reply, nil
}

func stamp(events *event.Recorder) *peerpb.Stamp {
	now := events.Clock().Now()
	return &peerpb.Stamp{WallMicros: now.WallMicros, Logical: now.Logical}
}

func observe(events *event.Recorder, s *peerpb.Stamp) {
	events.Clock().Observe(fromWire(s))
}

func fromWire(s *peerpb.Stamp) event.Stamp {
	return event.Stamp{WallMicros: s.GetWallMicros(), Logical: s.GetLogical()}
}
