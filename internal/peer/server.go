// Package peer exchanges soft state between VMs over drpc. A message that is lost,
// late, duplicated or wrong costs time or fairness, but violates no guarantee.
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

// ConfigurationAge reports how long ago the configuration was last known to be current.
type ConfigurationAge interface {
	Age() time.Duration
}

// Server answers calls of other VMs.
type Server struct {
	events           *event.Recorder
	view             *contract.View
	configurationAge ConfigurationAge
	runner           generate.Runner
	gossip           *Gossip
}

// NewServer returns a server that reads its answers from the given components of
// the VM.
func NewServer(events *event.Recorder, view *contract.View, configurationAge ConfigurationAge, runner generate.Runner, gossip *Gossip) *Server {
	return &Server{events: events, view: view, configurationAge: configurationAge, runner: runner, gossip: gossip}
}

// Serve answers calls on listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return errors.WithStack(&fault.Internal{Where: "peer registration"})
	}
	return drpcserver.New(mux).Serve(ctx, &countingListener{Listener: listener, bytes: s.gossip.metrics.bytes})
}

// Exchange processes a peer's digest and returns this VM's digest.
func (s *Server) Exchange(_ context.Context, in *peerpb.Digest) (*peerpb.Digest, error) {
	observeStamp(s.events, in.GetStamp())
	s.gossip.Receive(in)
	return s.gossip.Digest(), nil
}

// FetchConfig returns this VM's snapshot if it is newer than the caller's revision.
func (s *Server) FetchConfig(_ context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	observeStamp(s.events, in.GetStamp())
	reply := &peerpb.FetchConfigReply{Stamp: wireStamp(s.events), RevisionAgeMillis: s.configurationAge.Age().Milliseconds()}
	snapshot := s.view.Load()
	if uint64(snapshot.Revision) <= in.GetAfter() {
		return reply, nil
	}
	encoded, err := json.Marshal(snapshot)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "snapshot"})
	}
	reply.Snapshot = encoded
	return reply, nil
}

// Events returns the events of this VM that match the query.
func (s *Server) Events(_ context.Context, in *peerpb.EventsRequest) (*peerpb.EventsReply, error) {
	observeStamp(s.events, in.GetStamp())
	var query event.Query
	if err := json.Unmarshal(in.GetQuery(), &query); err != nil {
		return nil, errors.WithStack(&fault.BadRequest{Field: "query", Problem: "not JSON"})
	}
	reply := &peerpb.EventsReply{}
	for _, record := range s.events.Select(query) {
		encoded, err := json.Marshal(record)
		if err != nil {
			return nil, errors.WithStack(&fault.Internal{Where: "event"})
		}
		reply.Records = append(reply.Records, encoded)
	}
	reply.Stamp = wireStamp(s.events)
	return reply, nil
}

// Generate runs a generation for a peer. A failure is returned as part of the
// reply, because an error of the drpc call would lose the failure's code.
func (s *Server) Generate(ctx context.Context, in *peerpb.GenerateRequest) (*peerpb.GenerateReply, error) {
	observeStamp(s.events, in.GetStamp())
	var request generate.Request
	if err := json.Unmarshal(in.GetGeneration(), &request); err != nil {
		return nil, errors.WithStack(&fault.BadRequest{Field: "generation", Problem: "not JSON"})
	}
	result, err := s.runner.Generate(ctx, request, nil)
	reply := &peerpb.GenerateReply{Stamp: wireStamp(s.events)}
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

func wireStamp(events *event.Recorder) *peerpb.Stamp {
	reading := events.Clock().Now()
	return &peerpb.Stamp{WallMicros: reading.WallMicros, Logical: reading.Logical}
}

func observeStamp(events *event.Recorder, s *peerpb.Stamp) {
	events.Clock().Observe(fromWire(s))
}

func fromWire(s *peerpb.Stamp) event.Stamp {
	return event.Stamp{WallMicros: s.GetWallMicros(), Logical: s.GetLogical()}
}
