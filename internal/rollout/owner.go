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
	tickPeriod = 50 * time.Millisecond
	// workersRefreshInterval is how often the list of workers is read.
	workersPeriod = 250 * time.Millisecond
)

// generatedSample is a sample that is not committed yet.
type finished struct {
	sample sample.Sample
	prompt string
}

// outcome is the result of an attempt.
type outcome struct {
	run    *run
	result generate.Result
	err    error
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
	ref        ref
	guard      Guard
	definition sample.Definition
	plan       *plan

	outcomes chan outcome
	scores   chan scored
	commits  chan committed
	// scoringSemaphore bounds the samples that are scored concurrently.
	scoring chan struct{}
	beside  sync.WaitGroup

	// ready holds the samples for the next commit.
	ready []finished
	// committing is true while a commit is in progress.
	committing bool
	// nextCommitAt is the earliest time of the next commit.
	commitAt time.Time
	// nextWorkersRefreshAt is when to read the list of workers again.
	workersAt time.Time
	// minVersion is the oldest version whose samples are within the bound.
	minimum int64
}

// runOwner runs a step as its owner until every slot has a sample, and reports
// whether every slot has one. It returns early when ctx ends or another VM has
// become the owner.
func (m *Manager) own(ctx context.Context, r ref, guard Guard) (bool, error) {
	definition, err := m.store.definition(ctx, r)
	if err != nil {
		return false, err
	}
	progress, err := m.store.update(ctx, r, func(p sample.Progress) (sample.Progress, bool, error) {
		next, err := p.Claim(r.leaseName(), guard.Epoch())
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
		Manager:    m,
		ref:        r,
		guard:      guard,
		definition: definition,
		plan:       newPlan(r.step, definition, !m.withoutHedging),
		outcomes:   make(chan outcome),
		scores:     make(chan scored),
		commits:    make(chan committed),
		scoring:    make(chan struct{}, scoringWidth),
	}
	o.plan.reconcile(progress)
	defer o.beside.Wait()
	defer cancel()
	return o.loop(ctx, progress)
}

func (o *owner) loop(ctx context.Context, progress sample.Progress) (bool, error) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for !progress.Complete() {
		o.decide(ctx, time.Now())
		select {
		case <-ctx.Done():
			return false, context.Cause(ctx)
		case out := <-o.outcomes:
			o.take(ctx, out, time.Now())
		case s := <-o.scores:
			o.takeScored(s, time.Now())
		case c := <-o.commits:
			if fault.Is[*fault.LeaseLost](c.err) {
				return false, c.err
			}
			progress = o.takeCommitted(c, progress, time.Now())
		case <-ticker.C:
		}
	}
	o.events.Emit(event.StepCompleted, event.Subject{Account: string(o.ref.account), Step: o.ref.step, Count: progress.Committed})
	return true, nil
}

// schedule cancels overdue attempts, and starts all attempts and commits that
// can start now.
func (o *owner) decide(ctx context.Context, now time.Time) {
	o.renewWorkers(now)
	for _, r := range o.plan.overdue(now) {
		r.cancel()
		o.plan.ended(r)
		o.takeFailure(outcome{run: r, err: errors.WithStack(&fault.PeerUnavailable{VM: r.lane.worker.VM})}, now)
	}
	for _, r := range o.plan.starts(now) {
		o.begin(ctx, r)
	}
	for _, r := range o.plan.hedges(now) {
		o.metrics.hedges.WithLabelValues(string(o.ref.account)).Inc()
		o.emitSlot(event.SlotHedged, r, "")
		o.begin(ctx, r)
	}
	o.flush(ctx, now)
}

// refreshWorkers updates the workers every workersRefreshInterval.
func (o *owner) renewWorkers(now time.Time) {
	if now.Before(o.workersAt) {
		return
	}
	o.workersAt = now.Add(workersPeriod)
	for _, gone := range o.plan.lanes.replace(o.ref.step, o.workers.Workers()) {
		o.plan.dropLane(gone)
	}
}

func (o *owner) emitSlot(n event.Number, r *run, detail string) {
	o.events.Emit(n, event.Subject{
		Account: string(o.ref.account),
		Step:    o.ref.step,
		Slot:    o.plan.slots[r.position].slot.Name(),
		Peer:    r.lane.worker.VM,
		Detail:  detail,
	})
}

func (o *owner) begin(ctx context.Context, r *run) {
	ctx, r.cancel = context.WithCancel(ctx)
	request := o.generation(o.plan.slots[r.position].slot)
	runner := r.lane.worker.Runner
	o.beside.Go(func() {
		result, err := runner.Generate(ctx, request, nil)
		send(ctx, o.outcomes, outcome{run: r, result: result, err: err})
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

func (o *owner) generation(slot sample.Slot) generate.Request {
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
		MinVersion: o.minimum,
		Step:       o.ref.step,
		Slot:       slot.Name(),
	}
}

// handleOutcome processes the end of an attempt.
func (o *owner) take(ctx context.Context, out outcome, now time.Time) {
	known, useful := o.plan.ended(out.run)
	if !known {
		return
	}
	out.run.cancel()
	if out.err != nil {
		o.takeFailure(out, now)
		return
	}
	out.run.lane.succeeded()
	if !useful {
		return
	}
	slot := o.plan.slots[out.run.position].slot
	f := finished{sample: sampleOf(slot, out.result), prompt: slot.Prompt}
	o.plan.won(out.run, now)
	if o.definition.Scorer == "" {
		o.ready = append(o.ready, f)
		return
	}
	o.beside.Go(func() { o.score(ctx, f) })
}

func sampleOf(slot sample.Slot, result generate.Result) sample.Sample {
	s := sample.Sample{Slot: slot, Text: strings.Join(result.Tokens, ""), Tokens: len(result.Tokens)}
	for _, span := range result.Spans {
		s.Spans = append(s.Spans, sample.Span(span))
	}
	return s
}

// handleFailure decides by the error which part backs off after a failed
// attempt. An unresponsive worker or one without capacity backs off as a whole
// and gets a lower limit. After any other error only the slot backs off.
func (o *owner) takeFailure(out outcome, now time.Time) {
	l := out.run.lane
	code := fault.CodeOf(out.err)
	o.metrics.failures.WithLabelValues(string(code)).Inc()
	switch code {
	case fault.CodePeerUnavailable:
		l.silent(now)
		o.plan.slots[out.run.position].failures++
		o.emitSlot(event.WorkerFailed, out.run, string(code))
	case fault.CodeQueueFull, fault.CodeLimitExceeded, fault.CodeNoUpstream, fault.CodeDraining:
		l.refused(now, fault.RetryAfterOf(out.err, 0))
	default:
		if s := &o.plan.slots[out.run.position]; s.phase == pending {
			o.plan.again(out.run.position, now)
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
	o.plan.again(r.position, now)
}
