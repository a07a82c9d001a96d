package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/sample"
)

// judge decides by the contract in force whether samples may be passed on.
type judge struct {
	view     *contract.View
	versions Versions
}

// bound returns the account's staleness bound as it is in force now.
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

// verdict judges samples of one model against one bound.
type verdict struct {
	versions Versions
	model    string
	bound    sample.Bound
	latest   int64
}

// prepare makes sure that the published versions are known, from a reading that
// began after since. It fails with *fault.StoreUnavailable when they are
// not: a sample that can't be judged is neither passed on nor dropped.
func (j judge) prepare(ctx context.Context, account contract.Account, model string, since time.Time) (verdict, error) {
	if err := j.versions.Refresh(ctx, since); err != nil {
		return verdict{}, err
	}
	return j.known(account, model)
}

// known is prepare without a reading.
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

// prepareFor is prepare for samples just generated. An engine may have loaded a
// version that was published after the last reading; without a new reading the
// version would look as if it had never been published.
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

// age returns the age of a sample now.
func (v verdict) age(s sample.Sample) sample.Age {
	oldest := sample.OldestVersion(s.Spans)
	at, known := v.versions.SupersededAt(v.model, oldest)
	return sample.AgeOf(oldest, sample.Supersession{Latest: v.latest, At: at, Known: known}, time.Now())
}

// fresh fails with *fault.SampleStale for a sample past the bound.
func (v verdict) fresh(s sample.Sample) error { return v.bound.Check(s.Slot, v.age(s)) }

// acceptable fails with *fault.SampleUnattributable or *fault.SampleStale.
func (v verdict) acceptable(s sample.Sample) error {
	if err := sample.Attribute(s.Slot, s.Tokens, s.Spans, v.latest); err != nil {
		return err
	}
	return v.fresh(s)
}

// oldestUseful returns the oldest version whose samples are within the bound.
func (v verdict) oldestUseful() int64 { return max(0, v.latest-v.bound.Versions) }
