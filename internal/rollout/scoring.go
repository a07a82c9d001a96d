package rollout

import (
	"context"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/scoring"
)

// scoringConcurrency is how many samples of a step are scored concurrently.
const scoringWidth = 16

// scoringResult is the result of scoring a sample.
type scored struct {
	finished finished
	err      error
}

// score scores a sample, and retries until the service answers. The sample
// waits and is not generated again, so that an outage of the service costs only
// time.
func (o *owner) score(ctx context.Context, f finished) {
	select {
	case o.scoring <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-o.scoring }()
	err := o.scoreUntil(ctx, &f)
	send(ctx, o.scores, scored{finished: f, err: err})
}

// scoreWithRetries fails only when ctx ends or the sample may no longer be
// committed.
func (o *owner) scoreUntil(ctx context.Context, f *finished) error {
	request := ScoreRequest{Step: o.ref.step, Slot: f.sample.Slot, Prompt: f.prompt, Text: f.sample.Text}
	tries := scoring.Tries{Pauses: scoring.Pauses{First: slotRestMin, Longest: slotRestMax}}
	for {
		score, err := o.scorer.Score(ctx, o.ref.account, o.definition.Scorer, request)
		if err == nil {
			f.sample.Score = &score
			return nil
		}
		o.metrics.failures.WithLabelValues("scoring_" + string(fault.CodeOf(err))).Inc()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(fault.RetryAfterOf(err, tries.Failed(err))):
		}
		v, err := o.judge.prepareFor(ctx, o.ref.account, o.definition.Model, []sample.Sample{f.sample})
		if err != nil {
			continue
		}
		if err := v.acceptable(f.sample); err != nil {
			return err
		}
	}
}

func (o *owner) takeScored(s scored, now time.Time) {
	if s.err != nil {
		o.reject(rejection{position: s.finished.sample.Slot.Position, err: s.err}, now)
		return
	}
	o.ready = append(o.ready, s.finished)
}
