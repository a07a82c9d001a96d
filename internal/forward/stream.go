package forward

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/eventstream"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/target"
)

// stallTime is the silence after which a resumable stream goes on at another
// upstream: well before its caller leaves, and long against the time between events.
const stallTime = 900 * time.Millisecond

// Sink takes a stream on its way to the caller.
type Sink interface {
	// Start passes on the status and header of the first upstream.
	Start(answer *Answer) error
	// Event passes on the bytes of one whole event.
	Event(raw []byte) error
}

// Stream sends a stream's events to sink as they arrive. Only whole events are
// passed on, so that a stream that breaks off can go on at another upstream
// behind its last event. It returns nil when the stream ended whole. started tells
// whether the caller has got anything.
func (f *Forwarder) Stream(ctx context.Context, call Call, sink Sink) (started bool, err error) {
	s := &streaming{Forwarder: f, call: call, sink: sink, service: call.Route.Service(call.ID), last: call.Resume, execution: fault.NotRun}
	for {
		entry := f.Roster.Reserve(target.Want{Service: s.service, Domain: f.Domain, Residency: call.Residency, Skip: s.used})
		if entry == nil {
			return s.started, s.exhausted()
		}
		s.used = append(s.used, entry)
		err := s.attempt(ctx, entry)
		if err == nil || !s.goesOn(ctx, err) {
			return s.started, s.final(ctx, err)
		}
	}
}

// streaming is one stream on its way.
type streaming struct {
	*Forwarder
	call      Call
	sink      Sink
	service   string
	used      []*target.Entry
	ran       int
	refused   int
	started   bool
	last      string
	lastErr   error
	execution fault.Execution
}

// attempt runs the stream at a reserved upstream until it ends.
func (s *streaming) attempt(ctx context.Context, entry *target.Entry) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer entry.End()
	s.Events.Emit(event.RequestDispatched, event.Subject{Request: s.call.ID, Account: s.call.Account, Upstream: entry.Info().ID, Attempt: len(s.used)})
	r := &run{Forwarder: s.Forwarder, call: s.call}
	request := r.request(ctx)
	request.ResumeAfter = s.last
	response, err := s.send(ctx, entry, request)
	if err != nil {
		entry.Failed(time.Now())
		return err
	}
	defer func() { _ = response.Body.Close() }()
	err = s.pass(ctx, cancel, response)
	if err == nil {
		entry.Succeeded()
		s.Budget.Success()
		return nil
	}
	return fault.WithExecution(err, fault.Ran)
}

// pass hands the events of one upstream to the caller.
func (s *streaming) pass(ctx context.Context, cancel context.CancelFunc, response *target.Response) error {
	if !s.started {
		if err := s.begin(response); err != nil {
			return err
		}
	}
	stall := time.AfterFunc(time.Hour, cancel)
	defer stall.Stop()
	events := eventstream.NewReader(response.Body)
	for first := true; ; first = false {
		if s.call.Route.Resumable {
			stall.Reset(stallTime)
		}
		e, err := events.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.WithStack(&fault.AnswerTruncated{})
		}
		if first {
			s.Meter.Began(s.call.Account, time.Now())
		}
		if e.HasID && !s.follows(e.ID) {
			return errors.WithStack(&fault.AnswerTruncated{})
		}
		if err := s.sink.Event(e.Raw); err != nil {
			return errors.WithStack(&fault.CallerGone{})
		}
		if e.HasID {
			s.last = strconv.FormatInt(e.ID, 10)
		}
		if ctx.Err() != nil {
			return errors.WithStack(&fault.CallerGone{})
		}
	}
}

// follows reports whether an event is the next one. A piece that lacks or comes
// twice would spoil the caller's text without notice.
func (s *streaming) follows(id int64) bool {
	last, err := strconv.ParseInt(s.last, 10, 64)
	return err != nil || id == last+1
}

func (s *streaming) begin(response *target.Response) error {
	s.started = true
	return s.sink.Start(&Answer{Status: response.Status, Header: response.Header, Length: -1})
}

// goesOn reports whether another upstream may take the stream on.
func (s *streaming) goesOn(ctx context.Context, err error) bool {
	execution := fault.ExecutionOf(err)
	s.lastErr = err
	s.execution = s.execution.Or(execution)
	upstream := s.used[len(s.used)-1].Info().ID
	s.Events.Emit(event.AttemptFailed, event.Subject{Request: s.call.ID, Account: s.call.Account, Upstream: upstream, Attempt: len(s.used), Detail: string(fault.CodeOf(err)) + " " + string(execution)})
	if ctx.Err() != nil || fault.Is[*fault.CallerGone](err) && ctx.Err() != nil {
		return false
	}
	if execution == fault.NotRun {
		s.refused++
		return s.refused <= refusedTries
	}
	s.ran++
	if !s.call.Route.Resumable || s.ran >= s.call.Route.Attempts || !s.Budget.Take() {
		return false
	}
	if s.started {
		s.Events.Emit(event.StreamResumed, event.Subject{Request: s.call.ID, Account: s.call.Account, Detail: s.last})
	}
	return true
}

func (s *streaming) final(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.WithExecution(errors.WithStack(&fault.DeadlineExceeded{}), s.execution.Or(fault.ExecutionOf(err)))
	}
	return err
}

func (s *streaming) exhausted() error {
	if s.execution == fault.NotRun {
		return fault.WithExecution(errors.WithStack(&fault.NoUpstream{Pool: s.service, Wait: busyWait}), fault.NotRun)
	}
	return s.lastErr
}
