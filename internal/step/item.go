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
	// refusedRest keeps a model's items off an engine that refused one: it is full
	// or loads new weights.
	refusedRest = 120 * time.Millisecond
	// failedPause is the pause before an item that failed is tried again. It doubles
	// with each run in a row that broke off without a new event, up to longestPause:
	// a VM that is cut off from all engines would do little else than try.
	failedPause  = 40 * time.Millisecond
	longestPause = 640 * time.Millisecond
)

// ended says why a run of an item ended.
type ended int

const (
	whole ended = iota
	broken
	refused
	failed
	impossible
	moved
	stale
)

// errMoved ends a run of an item that goes on elsewhere.
var errMoved = errors.New("the item goes on at another engine")

// runItem runs an item at an engine once, and decides how it goes on.
func (r *run) runItem(i int, n need, entry *target.Entry) {
	defer entry.End()
	ctx, cancel := context.WithCancelCause(r.itemCtx)
	defer cancel(nil)
	a := &itemRun{run: r, index: i, need: n, entry: entry, cancel: cancel}
	why := a.generate(ctx)
	if r.itemCtx.Err() != nil {
		return
	}
	if errors.Is(context.Cause(ctx), errMoved) {
		why = moved
	}
	r.settle(i, n, entry, why)
}

// settle takes the outcome of one run of an item.
func (r *run) settle(i int, n need, entry *target.Entry, why ended) {
	now := time.Now()
	read := r.text(i)
	if why != whole {
		r.m.Events.Emit(event.AttemptFailed, event.Subject{
			Step: r.rec.ID, Slot: r.items[i].ID, Account: r.rec.Account, Upstream: entry.Info().ID,
			Detail: why.String() + " after event " + strconv.FormatInt(read.last, 10),
		})
	}
	switch why {
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

// pauseAfterBreak returns how long an item waits after a run that broke off, given
// the text that was read of it so far.
func (r *run) pauseAfterBreak(i int, read partial) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.progress[i]
	if read.last > p.readBefore {
		p.readBefore, p.breaks = read.last, 0
	}
	pause := min(failedPause<<min(p.breaks, 8), longestPause)
	p.breaks++
	return pause
}

func (e ended) String() string {
	return [...]string{"whole", "broke off", "refused unrun", "failed", "impossible", "moved", "too old weights"}[e]
}

// complete takes a whole text, unless its versions don't fit the step: it is listed at
// once, or as soon as it is scored.
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

// listText finishes an item with its whole text and its score.
func (r *run) listText(i int, score string) {
	text := r.text(i)
	r.finish(i, Result{Item: r.items[i].ID, Outcome: Completed, Versions: text.versions, Text: joined(text.data), Score: score})
}

// fits reports whether a text of these versions may be listed.
func fits(versions []int64, spec Spec) bool {
	if spec.SingleVersion && len(versions) != 1 {
		return false
	}
	return len(versions) == 0 && spec.MinVersion == 0 || len(versions) > 0 && slices.Min(versions) >= spec.MinVersion
}

func joined(data [][]byte) string {
	var text strings.Builder
	for i, part := range data {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.Write(part)
	}
	return text.String()
}

// itemRun is one run of an item at one engine.
type itemRun struct {
	run    *run
	index  int
	need   need
	entry  *target.Entry
	cancel context.CancelCauseFunc
	stall  *time.Timer
	over   atomic.Bool
	// began is when the run began.
	began time.Time
}

// generate reads the item's stream to its end.
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
	if why, bad := judge(response); bad {
		return why
	}
	if response.Version > 0 {
		a.entry.NoteVersion(a.need.model, response.Version)
		if response.Version < a.need.minVersion {
			return stale
		}
	}
	return a.read(response)
}

// judge reads the header of an answer.
func judge(response *target.Response) (why ended, bad bool) {
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

// read takes the events of a stream into the item's text. Each event must be the
// next one, whatever the engine sends: a text with a hole looks like any other.
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
