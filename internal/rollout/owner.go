package rollout

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/sample"
)

const (
	// tickInterval is the maximum time between two scheduling rounds of an
	// owner.
	tickInterval = 50 * time.Millisecond
	// workersRefreshInterval is how often the list of workers is read.
	workersRefreshInterval = 250 * time.Millisecond
)

// generatedSample is a sample that is not committed yet.
type generatedSample struct {
	sample sample.Sample
	prompt string
}

// outcome is the result of an attempt.
type outcome struct {
	attempt *attempt
	result  generate.Result
	err     error
}

// rejection is a sample that may not be committed, and the reason.
type rejection struct {
	position int
	err      error
}

// owner generates the samples of one step. A single goroutine makes all
// decisions. Attempts, scoring and commits run in other goroutines and report
// to it.
type owner struct {
	*Manager
	ref        stepRef
	guard      Guard
	definition sample.Definition
	plan       *plan

	outcomes chan outcome
	scores   chan scoringResult
	commits  chan commitResult
	// scoringSemaphore bounds the samples that are scored concurrently.
	scoringSemaphore chan struct{}
	background       sync.WaitGroup

	// ready holds the samples for the next commit.
	ready []generatedSample
	// committing is true while a commit is in progress.
	committing bool
	// unconfirmed is the write whose outcome is unknown, or nil. Only commits
	// access it while the owner runs.
	unconfirmed *batchWrite
	// nextCommitAt is the earliest time of the next commit.
	nextCommitAt time.Time
	// nextWorkersRefreshAt is when to read the list of workers again.
	nextWorkersRefreshAt time.Time
	// minVersion is the oldest version whose samples are within the bound in
	// versions.
	minVersion int64
}

// runOwner runs a step as its owner until every slot has a sample, and reports
// whether every slot has one. It returns early when ctx ends or another VM has
// become the owner.
func (m *Manager) runOwner(ctx context.Context, r stepRef, guard Guard) (bool, error) {
	definition, err := m.store.definition(ctx, r)
	if err != nil {
		return false, err
	}
	progress, err := m.store.update(ctx, r, func(p sample.Progress) (sample.Progress, bool, error) {
		next, err := p.SetOwner(r.leaseName(), guard.Epoch())
		return next, next.Epoch != p.Epoch, err
	})
	if err != nil {
		return false, err
	}
	m.events.Emit(event.StepOwned, event.Subject{
		Account: string(r.account),
		Step:    r.step,
		Epoch:   guard.Epoch(),
		Count:   int64(progress.Count()),
	})
	ctx, cancel := context.WithCancel(ctx)
	o := &owner{
		Manager:          m,
		ref:              r,
		guard:            guard,
		definition:       definition,
		plan:             newPlan(r.step, definition, !m.withoutHedging),
		outcomes:         make(chan outcome),
		scores:           make(chan scoringResult),
		commits:          make(chan commitResult),
		scoringSemaphore: make(chan struct{}, scoringConcurrency),
	}
	o.plan.reconcile(progress)
	defer func() {
		cancel()
		o.background.Wait()
		if o.unconfirmed != nil {
			o.addUnconfirmed(*o.unconfirmed)
		}
	}()
	return o.loop(ctx, progress)
}

func (o *owner) loop(ctx context.Context, progress sample.Progress) (bool, error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !progress.Complete() {
		o.schedule(ctx, time.Now())
		select {
		case <-ctx.Done():
			return false, context.Cause(ctx)
		case out := <-o.outcomes:
			o.handleOutcome(ctx, out, time.Now())
		case s := <-o.scores:
			o.handleScoringResult(s, time.Now())
		case c := <-o.commits:
			if fault.Is[*fault.LeaseLost](c.err) {
				return false, c.err
			}
			progress = o.handleCommitResult(c, progress, time.Now())
		case <-ticker.C:
		}
	}
	o.events.Emit(event.StepCompleted, event.Subject{Account: string(o.ref.account), Step: o.ref.step, Count: progress.Committed})
	return true, nil
}

// schedule cancels overdue attempts, and starts all attempts and commits that
// can start now.
func (o *owner) schedule(ctx context.Context, now time.Time) {
	o.refreshWorkers(now)
	for _, a := range o.plan.overdue(now) {
		a.cancel()
		o.plan.remove(a)
		o.handleFailure(outcome{attempt: a, err: errors.WithStack(&fault.PeerUnavailable{VM: a.worker.info.VM})}, now)
	}
	for _, a := range o.plan.startPending(now) {
		o.startAttempt(ctx, a)
	}
	for _, a := range o.plan.startHedges(now) {
		o.metrics.hedges.WithLabelValues(string(o.ref.account)).Inc()
		o.emitSlotEvent(event.SlotHedged, a, "")
		o.startAttempt(ctx, a)
	}
	o.commitOrPoll(ctx, now)
}

// refreshWorkers updates the workers every workersRefreshInterval.
func (o *owner) refreshWorkers(now time.Time) {
	if now.Before(o.nextWorkersRefreshAt) {
		return
	}
	o.nextWorkersRefreshAt = now.Add(workersRefreshInterval)
	for _, removed := range o.plan.workerSet.update(o.ref.step, o.workers.Workers()) {
		o.plan.removeWorker(removed)
	}
}

func (o *owner) emitSlotEvent(n event.Number, a *attempt, detail string) {
	o.events.Emit(n, event.Subject{
		Account: string(o.ref.account),
		Step:    o.ref.step,
		Slot:    o.plan.slots[a.position].slot.Name(),
		Peer:    a.worker.info.VM,
		Detail:  detail,
	})
}

func (o *owner) startAttempt(ctx context.Context, a *attempt) {
	ctx, a.cancel = context.WithCancel(ctx)
	request := o.newRequest(o.plan.slots[a.position].slot)
	runner := a.worker.info.Runner
	o.background.Go(func() {
		result, err := runner.Generate(ctx, request, nil)
		send(ctx, o.outcomes, outcome{attempt: a, result: result, err: err})
	})
}

// send reports to the owner's goroutine unless ctx ends first, because the
// owner has stopped or has canceled the work.
func send[T any](ctx context.Context, to chan<- T, report T) {
	select {
	case to <- report:
	case <-ctx.Done():
	}
}

func (o *owner) newRequest(slot sample.Slot) generate.Request {
	return generate.Request{
		ID:         uuid.NewString(),
		Account:    o.ref.account,
		Model:      o.definition.Model,
		Adapter:    o.definition.Adapter,
		Prompt:     slot.Prompt,
		MaxTokens:  o.definition.MaxTokens,
		Seed:       int64(xxhash.Sum64String(o.ref.step+"/"+slot.Name()) >> 1),
		Priority:   generate.Rollout,
		Group:      o.ref.step + "/" + slot.Group,
		MinVersion: o.minVersion,
		Step:       o.ref.step,
		Slot:       slot.Name(),
	}
}

// handleOutcome processes the end of an attempt.
func (o *owner) handleOutcome(ctx context.Context, out outcome, now time.Time) {
	found, needed := o.plan.remove(out.attempt)
	if !found {
		return
	}
	out.attempt.cancel()
	if out.err != nil {
		o.handleFailure(out, now)
		return
	}
	out.attempt.worker.recordSuccess()
	if !needed {
		return
	}
	slot := o.plan.slots[out.attempt.position].slot
	g := generatedSample{sample: sampleOf(slot, out.result), prompt: slot.Prompt}
	o.plan.markSucceeded(out.attempt, now)
	if o.definition.Scorer == "" {
		o.ready = append(o.ready, g)
		return
	}
	o.background.Go(func() { o.score(ctx, g) })
}

func sampleOf(slot sample.Slot, result generate.Result) sample.Sample {
	s := sample.Sample{Slot: slot, Text: strings.Join(result.Tokens, ""), Tokens: len(result.Tokens)}
	for _, span := range result.Spans {
		s.Spans = append(s.Spans, sample.Span(span))
	}
	return s
}

// handleFailure processes a failed attempt. When the worker was unresponsive or
// had no capacity, the owner halves its limit and starts no attempts at it for a
// backoff. After any other error only the slot backs off.
func (o *owner) handleFailure(out outcome, now time.Time) {
	w := out.attempt.worker
	code := fault.CodeOf(out.err)
	o.metrics.failures.WithLabelValues(string(code)).Inc()
	switch code {
	case fault.CodePeerUnavailable:
		w.recordUnresponsive(now)
		o.plan.slots[out.attempt.position].failures++
		o.emitSlotEvent(event.WorkerFailed, out.attempt, string(code))
	case fault.CodeQueueFull, fault.CodeLimitExceeded, fault.CodeNoUpstream, fault.CodeDraining:
		w.recordRefusal(now, fault.RetryAfterOf(out.err, 0))
	default:
		if s := &o.plan.slots[out.attempt.position]; s.phase == pending {
			o.plan.retry(out.attempt.position, now)
		}
	}
}

// reject schedules the slot of a rejected sample to be generated again.
func (o *owner) reject(r rejection, now time.Time) {
	o.metrics.rejected.WithLabelValues(string(fault.CodeOf(r.err))).Inc()
	o.events.Emit(event.SampleRejected, event.Subject{
		Account: string(o.ref.account),
		Step:    o.ref.step,
		Slot:    o.plan.slots[r.position].slot.Name(),
		Detail:  r.err.Error(),
	})
	o.plan.retry(r.position, now)
}
