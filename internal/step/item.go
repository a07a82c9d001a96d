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
	// refusedRest is how long items of a model avoid an engine that refused one of them:
	// the engine is full or loads new weights.
	refusedRest = 120 * time.Millisecond
	// failedPause is the backoff before the next attempt at an item that failed. It
	// doubles with each consecutive attempt that was interrupted without a new event, up
	// to longestPause. Without the doubling a VM that is cut off from all engines would
	// spend most of its time on retries.
	failedPause  = 40 * time.Millisecond
	longestPause = 640 * time.Millisecond
)

// ended is the outcome of one attempt at an item.
type ended int

const (
	// whole: the engine sent the text up to its end.
	whole ended = iota
	// broken: the attempt got no complete, valid answer.
	broken
	// refused: the item was not run.
	refused
	// failed: the engine reported that the item failed.
	failed
	// impossible: the engine reported that the item can't be generated.
	impossible
	// moved: this VM canceled the attempt to continue the item at another engine.
	moved
	// stale: the engine's weight version is older than the step allows.
	stale
)

// errMoved is the cancellation cause of an attempt whose item moves to another engine.
var errMoved = errors.New("item moved to another engine")

// runItem makes one attempt at an item at an engine and handles its outcome.
func (r *run) runItem(i int, n need, entry *target.Entry) {
	defer entry.End()
	ctx, cancel := context.WithCancelCause(r.itemCtx)
	defer cancel(nil)
	a := &itemRun{run: r, index: i, need: n, entry: entry, cancel: cancel}
	outcome := a.generate(ctx)
	if r.itemCtx.Err() != nil {
		return
	}
	if errors.Is(context.Cause(ctx), errMoved) {
		outcome = moved
	}
	r.settle(i, n, entry, outcome)
}

// settle handles the outcome of one attempt at an item: it finishes the item or queues the
// next attempt.
func (r *run) settle(i int, n need, entry *target.Entry, outcome ended) {
	now := time.Now()
	read := r.text(i)
	if outcome != whole {
		r.m.Events.Emit(event.AttemptFailed, event.Subject{
			Step: r.rec.ID, Slot: r.items[i].ID, Account: r.rec.Account, Upstream: entry.Info().ID,
			Detail: outcome.String() + " after event " + strconv.FormatInt(read.last, 10),
		})
	}
	switch outcome {
	case whole:
		entry.Succeeded()
		r.noteMaker(i, entry.Info().ID)
		r.complete(i)
	case refused:
		entry.NoteSwap(n.model, now.Add(refusedRest))
		r.again(i, 0)
	case failed:
		if n := r.countFailure(i); n >= max(r.rec.Attempts, 1) {
			r.abandon(i, "failed "+strconv.Itoa(n)+" times")
			return
		}
		r.again(i, failedPause)
	case impossible:
		r.abandon(i, "the engine says that it can't be done")
	case moved:
		r.countMove(i)
		r.again(i, 0)
	case stale:
		r.keepText(i, partial{})
		entry.NoteSwap(n.model, now.Add(refusedRest))
		r.again(i, 0)
	case broken:
		entry.NoAnswer()
		entry.Failed(now)
		r.again(i, r.pauseAfterBreak(i, read))
	}
}

// pauseAfterBreak returns the backoff of an item after an interrupted attempt. text is
// what has been read of the item so far; the backoff restarts at failedPause when it has
// grown.
func (r *run) pauseAfterBreak(i int, text partial) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.progress[i]
	if text.last > p.readBefore {
		p.readBefore, p.breaks = text.last, 0
	}
	backoff := min(failedPause<<min(p.breaks, 8), longestPause)
	p.breaks++
	return backoff
}

// String returns the outcome as it stands in events and metrics.
func (e ended) String() string {
	return [...]string{"whole", "broke off", "refused unrun", "failed", "impossible", "moved", "too old weights"}[e]
}

// complete handles an item whose text is complete. A text whose weight versions the step
// doesn't allow is discarded and the item is retried. Other texts are queued for commit,
// at once or after they are scored.
func (r *run) complete(i int) {
	text := r.text(i)
	if !fits(text.versions, r.rec.Spec) {
		r.m.Events.Emit(event.SampleRejected, event.Subject{Step: r.rec.ID, Slot: r.items[i].ID, Account: r.rec.Account, Detail: "versions don't fit the step"})
		r.keepText(i, partial{})
		r.again(i, failedPause)
		return
	}
	if r.items[i].Score != nil {
		r.awaitScore(i)
		return
	}
	r.listText(i, "")
}

// listText finishes an item with its complete text and its score.
func (r *run) listText(i int, score string) {
	text := r.text(i)
	r.finish(i, Result{Item: r.items[i].ID, Outcome: Completed, Versions: text.versions, Text: joined(text.data), Score: score})
}

// fits reports whether the step allows a complete text that was made by these weight
// versions.
func fits(versions []int64, spec Spec) bool {
	if spec.SingleVersion && len(versions) != 1 {
		return false
	}
	return len(versions) == 0 && spec.MinVersion == 0 || len(versions) > 0 && slices.Min(versions) >= spec.MinVersion
}

// joined joins the data of events, one event per line.
func joined(data [][]byte) string {
	var b strings.Builder
	for i, part := range data {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.Write(part)
	}
	return b.String()
}

// itemRun is one attempt at an item, at one engine.
type itemRun struct {
	run    *run
	index  int
	need   need
	entry  *target.Entry
	cancel context.CancelCauseFunc
	// stall fires when no event arrived in time.
	stall *time.Timer
	// over is true once the attempt has ended.
	over atomic.Bool
	// began is when the attempt started.
	began time.Time
}

// generate sends the item to the engine and reads its stream to the end.
func (a *itemRun) generate(ctx context.Context) ended {
	a.began = time.Now()
	a.stall = time.AfterFunc(firstStall, a.stalled)
	defer func() {
		a.over.Store(true)
		a.stall.Stop()
	}()
	response, err := a.run.m.Caller.Call(ctx, a.entry, a.request())
	if err != nil {
		if fault.ExecutionOf(err) == fault.NotRun && !fault.Is[*fault.UpstreamFailed](err) {
			return refused
		}
		return broken
	}
	defer func() { _ = response.Body.Close() }()
	if outcome, bad := judge(response); bad {
		return outcome
	}
	if response.Version > 0 {
		a.entry.NoteVersion(a.need.model, response.Version)
		if response.Version < a.need.minVersion {
			return stale
		}
	}
	return a.read(response)
}

// judge classifies a response by its status. bad is true when the attempt ends with
// outcome; otherwise the body is the item's stream.
func judge(response *target.Response) (outcome ended, bad bool) {
	switch {
	case response.NotRun:
		return refused, true
	case response.Status == http.StatusUnprocessableEntity:
		return impossible, true
	case response.Status == http.StatusInternalServerError:
		return failed, true
	case response.Status != http.StatusOK:
		return broken, true
	}
	return whole, false
}

// request returns the request for the item. It asks the engine to resume after the last
// event that was read.
func (a *itemRun) request() *target.Request {
	item, rec := a.run.items[a.index], &a.run.rec
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	request := &target.Request{
		ID: item.ID, Method: http.MethodPost, URI: item.Path, Host: rec.Host,
		Header: header, Body: item.Body, Account: rec.Account,
	}
	if p := a.run.text(a.index); p.any {
		request.ResumeAfter = strconv.FormatInt(p.last, 10)
	}
	return request
}

// read appends the events of a stream to the item's text. An event whose ID is not the
// successor of the last one ends the attempt: a text with a missing event could not be
// distinguished from a complete one later.
func (a *itemRun) read(response *target.Response) ended {
	text := a.run.text(a.index)
	version := response.Version
	events := eventstream.NewReader(response.Body)
	pace := pacer{started: time.Now()}
	for {
		e, err := events.Next()
		if err == io.EOF {
			if !text.any {
				return broken
			}
			return whole
		}
		if err != nil {
			return broken
		}
		a.stall.Reset(nextStall)
		a.entry.RunsOn(a.began)
		if changed, ok := e.Field(response.VersionField); ok {
			version, err = strconv.ParseInt(changed, 10, 64)
			if err != nil {
				return broken
			}
			a.entry.NoteVersion(a.need.model, version)
		}
		if !e.HasID {
			continue
		}
		if text.any && e.ID != text.last+1 {
			return broken
		}
		text.add(e, version)
		a.run.keepText(a.index, text)
		if pace.event() {
			a.judgePace(&pace)
		}
	}
}
