package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/sample"
)

// stalenessPolicy creates validators from the contracts in force and the
// published weight versions.
type judge struct {
	view     *contract.View
	versions Versions
}

// bound returns the staleness bound of the account's contract in force.
func (j judge) bound(account contract.Account) (sample.Bound, error) {
	c, known := j.view.Load().Contracts[account]
	if !known {
		return sample.Bound{}, errors.WithStack(&fault.AccountUnknown{Account: string(account)})
	}
	return sample.Bound{
		Versions: c.Staleness.MaxVersions,
		Age:      time.Duration(c.Staleness.MaxSeconds) * time.Second,
	}, nil
}

// validator checks samples of one model against one staleness bound.
type verdict struct {
	versions Versions
	model    string
	bound    sample.Bound
	latest   int64
}

// refresh returns a validator with the published versions from a read of the
// weight store that began after since. It fails with *fault.StoreUnavailable
// when they are unknown. The samples must then wait: they are neither delivered
// nor dropped.
func (j judge) prepare(ctx context.Context, account contract.Account, model string, since time.Time) (verdict, error) {
	if err := j.versions.Refresh(ctx, since); err != nil {
		return verdict{}, err
	}
	return j.known(account, model)
}

// current returns a validator with the versions known so far, without a read.
func (j judge) known(account contract.Account, model string) (verdict, error) {
	bound, err := j.bound(account)
	if err != nil {
		return verdict{}, err
	}
	latest, known := j.versions.Latest(model)
	if !known {
		return verdict{}, errors.WithStack(&fault.StoreUnavailable{Operation: "weights of " + model})
	}
	return verdict{versions: j.versions, model: model, bound: bound, latest: latest}, nil
}

// refreshFor returns a validator for newly generated samples. An engine may
// have loaded a version that was published after the last read. The weight
// store is then read again, because the version would otherwise count as never
// published.
func (j judge) prepareFor(ctx context.Context, account contract.Account, model string, samples []sample.Sample) (verdict, error) {
	v, err := j.prepare(ctx, account, model, time.Now().Add(-readingAge))
	if err != nil || newestVersion(samples) <= v.latest {
		return v, err
	}
	return j.prepare(ctx, account, model, time.Now())
}

func newestVersion(samples []sample.Sample) int64 {
	newest := int64(0)
	for _, s := range samples {
		for _, span := range s.Spans {
			newest = max(newest, span.Version)
		}
	}
	return newest
}

// age returns the current age of a sample.
func (v verdict) age(s sample.Sample) sample.Age {
	oldest := sample.OldestVersion(s.Spans)
	at, known := v.versions.SupersededAt(v.model, oldest)
	return sample.AgeOf(oldest, sample.Supersession{Latest: v.latest, At: at, Known: known}, time.Now())
}

// checkStaleness fails with *fault.SampleStale for a sample that exceeds the
// bound.
func (v verdict) fresh(s sample.Sample) error { return v.bound.Check(s.Slot, v.age(s)) }

// check fails with *fault.SampleUnattributable or *fault.SampleStale.
func (v verdict) acceptable(s sample.Sample) error {
	if err := sample.Attribute(s.Slot, s.Tokens, s.Spans, v.latest); err != nil {
		return err
	}
	return v.fresh(s)
}

// oldestAcceptable returns the oldest version whose samples are within the
// bound.
func (v verdict) oldestUseful() int64 { return max(0, v.latest-v.bound.Versions) }
