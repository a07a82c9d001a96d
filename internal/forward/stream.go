package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/eventstream"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
)

// stallTimeout is the time without an event after which a resumable stream is resumed at
// another upstream. It is well below the time after which callers cancel a stream, and
// long compared to the time between events.
const stallTimeout = 900 * time.Millisecond

const (
	// startObjectives is how long a resumable stream waits for the head of its answer at least, as a multiple of its
	// route's latency objective: half of the time after which callers cancel it.
	startObjectives = 2
	// startCheckInterval is the interval at which a stream that has waited so long looks for another upstream.
	startCheckInterval = 200 * time.Millisecond
)

// Sink delivers a stream to its caller.
type Sink interface {
	// Start delivers the status and header of the first answer.
	Start(answer *Answer) error
	// Event delivers the bytes of one complete event, or a part of an answer that is no stream.
	Event(raw []byte) error
}

// Stream forwards a request whose answer is a stream, and passes its events to sink as
// they arrive. Only complete events are delivered, so that an interrupted stream can be
// resumed at another upstream after its last event. err is nil if the stream is complete.
// started reports whether sink.Start was called, even if err is not nil.
func (f *Forwarder) Stream(ctx context.Context, call Call, sink Sink) (started bool, err error) {
	s := &inflightStream{Forwarder: f, call: call, sink: sink, service: call.Route.Service(call.ID), lastEventID: call.LastEventID, execution: fault.NotRun}
	for {
		entry := f.Roster.Reserve(target.Criteria{Service: s.service, Domain: f.Domain, Residency: call.Residency, Skip: s.tried})
		if entry == nil {
			return s.started, s.exhaustedError()
		}
		s.tried = append(s.tried, entry)
		err := s.runAttempt(ctx, entry)
		if err == nil || !s.allowRetry(ctx, err) {
			return s.started, s.finalError(ctx, err)
		}
	}
}

// inflightStream is the state of one stream while Stream forwards it.
type inflightStream struct {
	*Forwarder
	call    Call
	sink    Sink
	service string
	// tried, ranAttempts, notRunAttempts and execution are as in inflightRequest.
	tried          []*target.Entry
	ranAttempts    int
	notRunAttempts int
	// started reports whether sink.Start was called, and isStream whether the answer that it got is a stream of
	// events, which can be resumed. Any other answer is passed on as it is.
	started, isStream bool
	// lastEventID is the ID of the last event that the caller has; empty before the
	// first one.
	lastEventID string
	lastErr     error
	execution   fault.Execution
}

// runAttempt runs the stream at a reserved upstream until it is complete or interrupted.
func (s *inflightStream) runAttempt(ctx context.Context, entry *target.Entry) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer entry.End()
	s.Events.Emit(event.RequestDispatched, event.Subject{Request: s.call.ID, Account: s.call.Account, Upstream: entry.Info().ID, Attempt: len(s.tried)})
	r := &inflightRequest{Forwarder: s.Forwarder, call: s.call}
	request := r.request(ctx)
	request.LastEventID = s.lastEventID
	stopWatch := s.watchStart(cancel, entry)
	response, err := s.send(ctx, entry, request)
	stopWatch()
	if err != nil {
		entry.NoteFailure(time.Now())
		return err
	}
	defer func() { _ = response.Body.Close() }()
	err = s.copyAnswer(ctx, cancel, response, entry)
	if err == nil {
		entry.NoteSuccess()
		s.RetryBudget.NoteSuccess()
		return nil
	}
	if fault.HasAnswered(err) {
		entry.NoteFailure(time.Now())
	}
	return fault.WithExecution(err, fault.Ran)
}

// watchStart cancels the attempt at a resumable stream whose answer doesn't begin, once another attempt is allowed and
// another upstream has spare capacity. The upstream may hang, or the connection may be silent. Under load the stream
// keeps its place in the queue.
func (s *inflightStream) watchStart(cancel context.CancelFunc, entry *target.Entry) (stop func()) {
	if !s.call.Route.Resumable || s.ranAttempts+1 >= s.maxRuns() {
		return func() {}
	}
	var answered atomic.Bool
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		switch {
		case answered.Load():
		case s.hasSpareUpstream():
			entry.NoteSilentConnection()
			cancel()
		default:
			timer.Reset(startCheckInterval)
		}
	})
	timer.Reset(max(stallTimeout, startObjectives*s.call.Route.Objective))
	return func() {
		answered.Store(true)
		timer.Stop()
	}
}

// hasSpareUpstream reports whether the service is not loaded and an upstream is left that the stream was not sent to.
func (s *inflightStream) hasSpareUpstream() bool {
	now := time.Now()
	return !s.Roster.Loaded(s.service, now) &&
		s.Roster.Choose(target.Criteria{Service: s.service, Domain: s.Domain, Residency: s.call.Residency, Skip: s.tried, SpareOnly: true}, now) != nil
}

// maxRuns returns how many attempts may run the stream. Each that ran ended without a complete answer, so its upstream may
// have ended.
func (s *inflightStream) maxRuns() int { return min(s.call.Route.Attempts, suspicion.MaxEnds) }

// copyAnswer passes one upstream's answer to the sink. The answer to a resumed run must be a stream: its end would
// otherwise pass for the end of the whole.
func (s *inflightStream) copyAnswer(ctx context.Context, cancel context.CancelFunc, response *target.Response, entry *target.Entry) error {
	isStream := response.Status == http.StatusOK && eventstream.IsStream(response.Header)
	if s.started && !isStream {
		s.Meter.CountRun(s.call.Account, time.Now())
		reason := "status " + strconv.Itoa(response.Status) + " and no stream in answer to a resumed run"
		return errors.WithStack(&fault.UpstreamFailed{Upstream: entry.Info().ID, Reason: reason, Answered: true})
	}
	if !s.started {
		s.started, s.isStream = true, isStream
		if err := s.sink.Start(&Answer{Status: response.Status, Header: response.Header, Length: -1}); err != nil {
			return err
		}
	}
	if !isStream {
		s.Meter.CountRun(s.call.Account, time.Now())
		return s.copyBody(response)
	}
	return s.copyEvents(ctx, cancel, response)
}

// copyBody passes the body of an answer that is no stream to the sink.
func (s *inflightStream) copyBody(response *target.Response) error {
	buffer := make([]byte, maxBufferedBytes)
	for passed := 0; ; {
		n, err := response.Body.Read(buffer)
		if passed += n; passed > maxAnswerBytes {
			return errors.WithStack(&fault.UpstreamFailed{Reason: "an answer without end", Answered: true, Endless: true})
		}
		if n > 0 {
			if err := s.sink.Event(buffer[:n]); err != nil {
				return errors.WithStack(&fault.CallerGone{})
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.WithStack(&fault.AnswerTruncated{})
		}
	}
}

// copyEvents passes the events of one upstream's answer to the sink. It cancels the
// attempt of a resumable stream if no event arrives within stallTimeout. Nothing marks the last event, so the
// end of the body, by its framing, is the end of the stream.
func (s *inflightStream) copyEvents(ctx context.Context, cancel context.CancelFunc, response *target.Response) error {
	// For a resumable stream the loop sets the timer to stallTimeout.
	stallTimer := time.AfterFunc(time.Hour, cancel)
	defer stallTimer.Stop()
	events, passed := eventstream.NewReader(response.Body, s.StreamMemory), 0
	defer events.Close()
	if s.call.Route.Resumable {
		stallTimer.Reset(stallTimeout)
	}
	for first := true; ; first = false {
		e, err := events.Next()
		if err == io.EOF {
			return nil
		}
		if err == nil {
			passed += len(e.Raw)
		}
		if fault.Is[*fault.BodyTooLarge](err) || passed > maxAnswerBytes {
			return errors.WithStack(&fault.UpstreamFailed{Reason: "a stream without end", Answered: true, Endless: true})
		}
		if err != nil {
			return errors.WithStack(&fault.AnswerTruncated{})
		}
		if first {
			s.Meter.CountRun(s.call.Account, time.Now())
		}
		if e.HasID && !s.isNext(e.ID) {
			return errors.WithStack(&fault.AnswerTruncated{})
		}
		if err := s.sink.Event(e.Raw); err != nil {
			return errors.WithStack(&fault.CallerGone{})
		}
		if e.HasID {
			s.lastEventID = strconv.FormatInt(e.ID, 10)
			if s.call.Route.Resumable {
				stallTimer.Reset(stallTimeout)
			}
		}
		if ctx.Err() != nil {
			return errors.WithStack(&fault.CallerGone{})
		}
	}
}

// isNext reports whether an event follows the last one directly. A missing or repeated
// event would corrupt the caller's text without notice.
func (s *inflightStream) isNext(id int64) bool {
	lastEventID, err := strconv.ParseInt(s.lastEventID, 10, 64)
	return err != nil || id == lastEventID+1
}

// allowRetry records a failed attempt and reports whether the stream may be sent to
// another upstream. If the attempt ran or may have run, that takes a retry from the
// budget.
func (s *inflightStream) allowRetry(ctx context.Context, err error) bool {
	execution := fault.ExecutionOf(err)
	s.lastErr = err
	s.execution = s.execution.Or(execution)
	upstream := s.tried[len(s.tried)-1].Info()
	s.Events.Emit(event.AttemptFailed, event.Subject{Request: s.call.ID, Account: s.call.Account, Upstream: upstream.ID, Incarnation: upstream.Started, Attempt: len(s.tried), Detail: string(fault.CodeOf(err)) + " " + string(execution) + ": " + err.Error()})
	if ctx.Err() != nil || fault.Is[*fault.CallerGone](err) && ctx.Err() != nil {
		return false
	}
	if execution == fault.NotRun {
		s.notRunAttempts++
		return s.notRunAttempts <= maxNotRunRetries
	}
	s.ranAttempts++
	if !s.call.Route.Resumable || s.started && !s.isStream || s.ranAttempts >= s.maxRuns() || !s.RetryBudget.Take() {
		return false
	}
	if s.started {
		s.Events.Emit(event.StreamResumed, event.Subject{Request: s.call.ID, Account: s.call.Account, Detail: s.lastEventID})
	}
	return true
}

// finalError returns the error for the caller after an attempt that is not retried.
func (s *inflightStream) finalError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.WithExecution(errors.WithStack(&fault.DeadlineExceeded{}), s.execution.Or(fault.ExecutionOf(err)))
	}
	return fault.WithExecution(err, s.execution)
}

// exhaustedError returns the error for the caller if there is no other upstream to try.
func (s *inflightStream) exhaustedError() error {
	if s.execution == fault.NotRun {
		return fault.WithExecution(errors.WithStack(&fault.NoUpstream{Pool: s.service, Wait: busyRetryAfter}), fault.NotRun)
	}
	return fault.WithExecution(s.lastErr, s.execution)
}
