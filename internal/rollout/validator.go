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
type stalenessPolicy struct {
	view     *contract.View
	versions WeightVersions
}

// bound returns the staleness bound of the account's contract in force.
func (p stalenessPolicy) bound(account contract.Account) (sample.StalenessBound, error) {
	c, known := p.view.Load().Contracts[account]
	if !known {
		return sample.StalenessBound{}, errors.WithStack(&fault.AccountUnknown{Account: string(account)})
	}
	return sample.StalenessBound{
		Versions: c.Staleness.MaxVersions,
		Age:      time.Duration(c.Staleness.MaxSeconds) * time.Second,
	}, nil
}

// validator checks samples of one model against one staleness bound.
type validator struct {
	versions WeightVersions
	model    string
	bound    sample.StalenessBound
	latest   int64
}

// refresh returns a validator with the published versions from a read of the
// weight store that began after since. It fails with *fault.StoreUnavailable
// when they are unknown. The samples must then wait: they are neither delivered
// nor dropped.
func (p stalenessPolicy) refresh(ctx context.Context, account contract.Account, model string, since time.Time) (validator, error) {
	if err := p.versions.Refresh(ctx, since); err != nil {
		return validator{}, err
	}
	return p.fromKnownVersions(account, model)
}

// fromKnownVersions returns a validator with the versions known so far, without a read.
func (p stalenessPolicy) fromKnownVersions(account contract.Account, model string) (validator, error) {
	bound, err := p.bound(account)
	if err != nil {
		return validator{}, err
	}
	latest, known := p.versions.Latest(model)
	if !known {
		return validator{}, errors.WithStack(&fault.StoreUnavailable{Operation: "weights of " + model})
	}
	return validator{versions: p.versions, model: model, bound: bound, latest: latest}, nil
}

// refreshFor returns a validator for newly generated samples. An engine may
// have loaded a version that was published after the last read. The weight
// store is then read again, because the version would otherwise count as never
// published.
func (p stalenessPolicy) refreshFor(ctx context.Context, account contract.Account, model string, samples []sample.Sample) (validator, error) {
	v, err := p.refresh(ctx, account, model, time.Now().Add(-maxReadAge))
	if err != nil || newestVersion(samples) <= v.latest {
		return v, err
	}
	return p.refresh(ctx, account, model, time.Now())
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
func (v validator) age(s sample.Sample) sample.Age {
	oldest := sample.OldestVersion(s.Spans)
	at, known := v.versions.SupersededAt(v.model, oldest)
	return sample.AgeOf(oldest, sample.Supersession{Latest: v.latest, At: at, Known: known}, time.Now())
}

// checkStaleness fails with *fault.SampleStale for a sample that exceeds the
// bound.
func (v validator) checkStaleness(s sample.Sample) error { return v.bound.Check(s.Slot, v.age(s)) }

// check fails with *fault.SampleUnattributable or *fault.SampleStale.
func (v validator) check(s sample.Sample) error {
	if err := sample.CheckAttribution(s.Slot, s.Tokens, s.Spans, v.latest); err != nil {
		return err
	}
	return v.checkStaleness(s)
}

// oldestAcceptable returns the oldest version whose samples are within the
// bound in versions.
func (v validator) oldestAcceptable() int64 { return max(0, v.latest-v.bound.Versions) }
