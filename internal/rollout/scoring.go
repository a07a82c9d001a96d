package rollout

import (
	"context"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/scoring"
)

// scoringConcurrency is how many samples of a step are scored concurrently.
const scoringConcurrency = 16

// scoringResult is the result of scoring a sample.
type scoringResult struct {
	generated generatedSample
	err       error
}

// score scores a sample, and retries until the service answers. The sample
// waits and is not generated again, so that an outage of the service costs only
// time.
func (o *owner) score(ctx context.Context, g generatedSample) {
	select {
	case o.scoringSemaphore <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-o.scoringSemaphore }()
	err := o.scoreWithRetries(ctx, &g)
	send(ctx, o.scores, scoringResult{generated: g, err: err})
}

// scoreWithRetries fails only when ctx ends or the sample may no longer be
// committed.
func (o *owner) scoreWithRetries(ctx context.Context, g *generatedSample) error {
	request := ScoreRequest{Step: o.ref.step, Slot: g.sample.Slot, Prompt: g.prompt, Text: g.sample.Text}
	tries := scoring.RetryState{Backoff: scoring.Backoff{Min: minSlotBackoff, Max: maxSlotBackoff}}
	for {
		score, err := o.scorer.Score(ctx, o.ref.account, o.definition.Scorer, request)
		if err == nil {
			g.sample.Score = &score
			return nil
		}
		o.metrics.failures.WithLabelValues("scoring_" + string(fault.CodeOf(err))).Inc()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(fault.RetryAfterOf(err, tries.NoteFailure(err))):
		}
		v, err := o.policy.refreshFor(ctx, o.ref.account, o.definition.Model, []sample.Sample{g.sample})
		if err != nil {
			continue
		}
		if err := v.check(g.sample); err != nil {
			return err
		}
	}
}

func (o *owner) handleScoringResult(s scoringResult, now time.Time) {
	if s.err != nil {
		o.reject(rejection{position: s.generated.sample.Slot.Position, err: s.err}, now)
		return
	}
	o.ready = append(o.ready, s.generated)
}
