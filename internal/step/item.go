package step

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/eventstream"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/target"
)

const (
	// refusedBackoff is how long items of a model avoid an engine that refused one of them:
	// the engine is full or loads new weights.
	refusedBackoff = 120 * time.Millisecond
	// retryBackoff is the backoff before the next attempt at an item that failed. It
	// doubles with each consecutive attempt that was interrupted without a new event, up
	// to maxRetryBackoff. Without the doubling a VM that is cut off from all engines would
	// spend most of its time on retries.
	retryBackoff    = 40 * time.Millisecond
	maxRetryBackoff = 640 * time.Millisecond
)

// attemptOutcome is the outcome of one attempt at an item.
type attemptOutcome int

const (
	// attemptComplete: the engine sent the text up to its end.
	attemptComplete attemptOutcome = iota
	// attemptInterrupted: the answer ended before the text was complete.
	attemptInterrupted
	// attemptUnreachable: there was no connection to the engine, and the item was not sent.
	attemptUnreachable
	// attemptUnanswered: the item was sent, and no answer to it arrived.
	attemptUnanswered
	// attemptInvalid: the engine answered, but nothing that can be used.
	attemptInvalid
	// attemptEndless: the engine's answer is longer than the item's text can be.
	attemptEndless
	// attemptStalled: this VM canceled the attempt because no event arrived in time.
	attemptStalled
	// attemptAnswerLost: this VM canceled the attempt because the engine reported that it no longer ran the
	// item, and the end of the text had not arrived.
	attemptAnswerLost
	// attemptRefused: the item was not run.
	attemptRefused
	// attemptFailed: the engine reported that the item failed.
	attemptFailed
	// attemptImpossible: the engine reported that the item can't be generated.
	attemptImpossible
	// attemptMoved: this VM canceled the attempt to continue the item at another engine.
	attemptMoved
	// attemptStale: the engine's weight version is older than the step allows.
	attemptStale
)

// Cancellation causes of an attempt whose item is tried again.
var (
	// errMoved: the engine is slow.
	errMoved = errors.New("item moved to another engine")
	// errStalled: the engine sent nothing for some time.
	errStalled = errors.New("item moved away from an unresponsive engine")
	// errAnswerLost: the engine no longer runs the item.
	errAnswerLost = errors.New("the answer of the engine was lost")
)

// runAttempt makes one attempt at an item at an engine and handles its outcome.
func (r *run) runAttempt(i int, n need, entry *target.Entry) {
	defer entry.End()
	ctx, cancel := r.beginCall(i)
	defer cancel(nil)
	r.noteAttemptStart(i, entry)
	a := &attempt{run: r, index: i, need: n, entry: entry, cancel: cancel}
	outcome := a.generate(ctx)
	if r.isObsolete(i) {
		canceled := ctx.Err() != nil
		r.m.tasks.Go(func() { r.noteAttemptObsolete(i, entry, outcome, canceled) })
		return
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errMoved):
		outcome = attemptMoved
	case errors.Is(cause, errStalled):
		outcome = attemptStalled
	case errors.Is(cause, errAnswerLost):
		outcome = attemptAnswerLost
	}
	r.noteAttemptEnd(i, entry, outcome)
	r.handleOutcome(i, n, entry, outcome)
}

// handleOutcome handles the outcome of one attempt at an item: it finishes the item or queues
// the next attempt.
func (r *run) handleOutcome(i int, n need, entry *target.Entry, outcome attemptOutcome) {
	now := time.Now()
	text := r.text(i)
	if outcome != attemptComplete {
		r.m.Events.Emit(event.AttemptFailed, event.Subject{
			Step: r.rec.ID, Slot: r.items[i].ID, Account: r.rec.Account, Upstream: entry.Info().ID, Incarnation: entry.Info().Started,
			Detail: outcome.String() + " after event " + strconv.FormatInt(text.lastEvent, 10),
		})
	}
	switch outcome {
	case attemptComplete:
		entry.NoteSuccess()
		r.setLastUpstream(i, entry.Info().ID)
		r.m.eventRates.note(n.service, text.lastEvent, r.items[i].ExpectedTokens)
		r.handleComplete(i)
	case attemptRefused:
		entry.NoteModelUnavailable(n.model, now.Add(refusedBackoff))
		r.requeue(i, 0)
	case attemptFailed:
		if failures := r.countFailure(i); failures >= max(r.rec.Attempts, 1) {
			r.abandon(i, "failed "+strconv.Itoa(failures)+" times")
			return
		}
		r.requeue(i, retryBackoff)
	case attemptImpossible:
		r.abandon(i, "the engine says that it can't be done")
	case attemptMoved:
		r.countMove(i)
		r.requeue(i, 0)
	case attemptStalled:
		r.countMove(i)
		r.requeue(i, retryBackoff)
	case attemptStale:
		r.setText(i, partialText{})
		entry.NoteModelUnavailable(n.model, now.Add(refusedBackoff))
		r.requeue(i, 0)
	case attemptEndless:
		entry.NoteModelUnavailable(n.model, now.Add(entry.NoteFailure(now)))
		r.requeue(i, r.interruptedBackoff(i, text))
	case attemptInvalid:
		entry.NoteFailure(now)
		r.requeue(i, r.interruptedBackoff(i, text))
	case attemptAnswerLost:
		r.requeue(i, r.interruptedBackoff(i, text))
	case attemptUnreachable:
		entry.NoteUnanswered()
		entry.NoteFailure(now)
		r.requeue(i, r.interruptedBackoff(i, text))
	case attemptInterrupted, attemptUnanswered:
		entry.NoteUnanswered()
		entry.NoteFailure(now)
		r.requeue(i, r.interruptedBackoff(i, text))
	}
}

// interruptedBackoff returns the backoff of an item after an interrupted attempt. text is
// what has been read of the item so far; the backoff restarts at retryBackoff when it has
// grown.
func (r *run) interruptedBackoff(i int, text partialText) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.progress[i]
	if text.lastEvent > p.lastBeforeInterruptions {
		p.lastBeforeInterruptions, p.interruptions = text.lastEvent, 0
	}
	backoff := min(retryBackoff<<min(p.interruptions, 8), maxRetryBackoff)
	p.interruptions++
	return backoff
}

// String returns the name of the outcome in events and metrics.
func (o attemptOutcome) String() string {
	return [...]string{"whole", "broke off", "no connection", "no answer", "invalid answer", "endless answer", "stalled", "answer lost", "refused unrun", "failed", "impossible", "moved", "too old weights"}[o]
}

// handleComplete handles an item whose text is complete. A text whose weight versions the step
// doesn't allow is discarded and the item is retried. Other texts are queued for commit,
// at once or after they are scored.
func (r *run) handleComplete(i int) {
	text := r.text(i)
	if !versionsAllowed(text.versions, r.rec.Spec) {
		r.m.Events.Emit(event.SampleRejected, event.Subject{Step: r.rec.ID, Slot: r.items[i].ID, Account: r.rec.Account, Detail: "versions don't fit the step"})
		r.setText(i, partialText{})
		r.requeue(i, retryBackoff)
		return
	}
	if r.items[i].Score != nil {
		r.awaitScore(i)
		return
	}
	r.finishWithText(i, "")
}

// finishWithText finishes an item with its complete text and its score.
func (r *run) finishWithText(i int, score string) {
	text := r.text(i)
	r.finish(i, Result{Item: r.items[i].ID, Outcome: Completed, Versions: text.versions, Text: joinText(text.data), Score: score})
}

// versionsAllowed reports whether the step allows a complete text that was made by these weight
// versions.
func versionsAllowed(versions []int64, spec Spec) bool {
	if spec.SingleVersion && len(versions) != 1 {
		return false
	}
	return len(versions) == 0 && spec.MinVersion == 0 || len(versions) > 0 && slices.Min(versions) >= spec.MinVersion
}

// joinText joins the data of events, one event per line.
func joinText(data [][]byte) string {
	var b strings.Builder
	for i, part := range data {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.Write(part)
	}
	return b.String()
}

// attempt is one attempt at an item, at one engine.
type attempt struct {
	run    *run
	index  int
	need   need
	entry  *target.Entry
	cancel context.CancelCauseFunc
	// stallTimer fires when no event arrived in time.
	stallTimer *time.Timer
	// ended is true once the attempt has ended.
	ended atomic.Bool
	// suspected is true once the engine may have ended, because no event arrived in time.
	suspected atomic.Bool
	// startedAt is when the attempt started, and firstEventAfter how long its first event took.
	startedAt       time.Time
	firstEventAfter time.Duration
}

// generate sends the item to the engine and reads its stream to the end.
func (a *attempt) generate(ctx context.Context) attemptOutcome {
	a.startedAt = time.Now()
	a.stallTimer = time.AfterFunc(firstEventTimeout, a.handleStall)
	defer func() {
		a.ended.Store(true)
		a.stallTimer.Stop()
	}()
	response, err := a.run.m.Transport.Call(ctx, a.entry, a.request())
	outcome := outcomeOfCall(err)
	if a.entry.NoteContact(contactOf(ctx, outcome), a.startedAt) {
		a.run.m.notifyDispatcher()
	}
	if err != nil {
		return outcome
	}
	defer func() { _ = response.Body.Close() }()
	if outcome, ends := checkResponse(response); ends {
		return outcome
	}
	if response.Version > 0 {
		a.entry.NoteVersion(a.need.model, response.Version)
		if response.Version < a.need.minVersion {
			return attemptStale
		}
	}
	return a.read(response)
}

// outcomeOfCall returns the outcome of an attempt whose call failed; attemptComplete if err is nil.
func outcomeOfCall(err error) attemptOutcome {
	switch {
	case err == nil:
		return attemptComplete
	case fault.IsEndless(err):
		return attemptEndless
	case fault.HasAnswered(err):
		return attemptInvalid
	case fault.ExecutionOf(err) != fault.NotRun:
		return attemptUnanswered
	case fault.Is[*fault.UpstreamFailed](err):
		return attemptUnreachable
	}
	return attemptRefused
}

// contactOf returns what the outcome of a call, as outcomeOfCall returns it, shows of the connection to
// the engine. A canceled call fails without a connection too.
func contactOf(ctx context.Context, outcome attemptOutcome) target.Contact {
	switch {
	case outcome == attemptUnreachable && ctx.Err() == nil:
		return target.NoConnection
	case outcome == attemptUnreachable || outcome == attemptUnanswered || outcome == attemptRefused:
		return target.Undecided
	}
	return target.Answered
}

// checkResponse classifies a response by its status. ends is true when the attempt ends with
// outcome; otherwise the body is the item's stream.
func checkResponse(response *target.Response) (outcome attemptOutcome, ends bool) {
	switch {
	case response.NotRun:
		return attemptRefused, true
	case response.Status == http.StatusUnprocessableEntity:
		return attemptImpossible, true
	case response.Status == http.StatusInternalServerError:
		return attemptFailed, true
	case response.Status != http.StatusOK || !eventstream.IsStream(response.Header):
		return attemptInvalid, true
	}
	return attemptComplete, false
}

// request returns the request for the item. It asks the engine to resume after the last
// event that was read.
func (a *attempt) request() *target.Request {
	item, rec := a.run.items[a.index], &a.run.rec
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	request := &target.Request{
		ID: item.ID, Method: http.MethodPost, URI: item.Path, Host: rec.Host,
		Header: header, Body: item.Body, Account: rec.Account,
	}
	if p := a.run.text(a.index); p.hasEvents {
		request.LastEventID = strconv.FormatInt(p.lastEvent, 10)
	}
	return request
}

// read appends the events of a stream to the item's text. An event whose ID is not the
// successor of the last one ends the attempt: a text with a missing event could not be
// distinguished from a complete one later. If the text becomes longer than it can be, all that the
// attempt has added is discarded.
func (a *attempt) read(response *target.Response) attemptOutcome {
	text := a.run.text(a.index)
	before := text
	version := response.Version
	events := eventstream.NewReader(response.Body, a.run.m.StreamMemory)
	defer events.Close()
	meter := unitTimeMeter{started: time.Now()}
	limit := textLimit{maxEvents: a.run.items[a.index].MaxEvents}
	for {
		e, err := events.Next()
		if err == io.EOF {
			if !text.hasEvents {
				return attemptInterrupted
			}
			return attemptComplete
		}
		if fault.Is[*fault.BodyTooLarge](err) {
			return attemptEndless
		}
		if err != nil {
			return attemptInterrupted
		}
		if changed, ok := e.Field(response.VersionField); ok {
			version, err = strconv.ParseInt(changed, 10, 64)
			if err != nil {
				return attemptInvalid
			}
			a.entry.NoteVersion(a.need.model, version)
		}
		if !e.HasID {
			continue
		}
		if text.hasEvents && e.ID != text.lastEvent+1 {
			return attemptInvalid
		}
		if !limit.allow(e) {
			a.run.setText(a.index, before)
			return attemptEndless
		}
		a.stallTimer.Reset(nextEventTimeout)
		if a.suspected.CompareAndSwap(true, false) {
			a.run.noteResumed(a.index, a.entry)
		}
		if a.firstEventAfter == 0 {
			a.firstEventAfter = time.Since(a.startedAt)
		}
		a.entry.NoteRunningSince(a.startedAt)
		text.add(e, version)
		a.run.setText(a.index, text)
		if meter.addEvent() {
			a.need.prompt.noteReading(a.firstEventAfter - meter.average(time.Now()))
			a.checkSpeed(&meter)
		}
	}
}
