package rollout

import (
	"bytes"
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/sample"
)

// stepRef identifies a step of an account.
type stepRef struct {
	account contract.Account
	step    string
}

const openPrefix = "open/"

// path escapes both names, so that steps of different accounts never share a
// key.
func (r stepRef) path() string {
	return url.PathEscape(string(r.account)) + "/" + url.PathEscape(r.step)
}

func (r stepRef) stepKey() string { return "step/" + r.path() }

func (r stepRef) progressKey() string { return "progress/" + r.path() }

func (r stepRef) openKey() string { return openPrefix + r.path() }

func (r stepRef) batchPrefix() string { return "samples/" + r.path() + "/" }

// batchKey identifies a batch by its last number, so that a scan after the key
// of a cursor finds the first batch that holds a later sample.
func (r stepRef) batchKey(last int64) string { return fmt.Sprintf("%s%08d", r.batchPrefix(), last) }

func (r stepRef) leaseName() string { return "step/" + r.path() }

// parseOpenKey parses the key of an open step.
func parseOpenKey(openKey string) (stepRef, bool) {
	account, step, found := strings.Cut(strings.TrimPrefix(openKey, openPrefix), "/")
	accountName, err := url.PathUnescape(account)
	if err != nil || !found {
		return stepRef{}, false
	}
	stepName, err := url.PathUnescape(step)
	return stepRef{account: contract.Account(accountName), step: stepName}, err == nil
}

// store reads and writes the rows of steps:
//
//	step/…      the definition, written once
//	progress/…  the sample.Progress; each change requires the version that was read
//	samples/…/N a batch of samples whose last number is N
//	open/…      exists exactly while a slot has no sample
type store struct {
	tables platformapi.Tables
}

// open writes a new step. It fails with *fault.PreconditionFailed if the step
// exists.
func (s store) open(ctx context.Context, r stepRef, definition sample.Definition) error {
	return platformapi.CommitConfirmed(ctx, s.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: r.stepKey()}},
		Writes: []platformapi.Write{
			{Key: r.stepKey(), Value: platformapi.EncodeValue(definition)},
			{Key: r.progressKey(), Value: platformapi.EncodeValue(sample.NewProgress(definition))},
			{Key: r.openKey(), Value: []byte{}},
		},
	})
}

// definition reads the definition of a step. It fails with *fault.StepUnknown
// for a step that was never opened.
func (s store) definition(ctx context.Context, r stepRef) (sample.Definition, error) {
	var definition sample.Definition
	_, err := s.read(ctx, r, r.stepKey(), &definition)
	return definition, err
}

// progress reads the progress of a step. It fails with *fault.StepUnknown for a
// step that was never opened.
func (s store) progress(ctx context.Context, r stepRef) (sample.Progress, platformapi.Row, error) {
	var progress sample.Progress
	row, err := s.read(ctx, r, r.progressKey(), &progress)
	return progress, row, err
}

func (s store) read(ctx context.Context, r stepRef, key string, dest any) (platformapi.Row, error) {
	row, err := s.tables.Get(ctx, key)
	if err != nil {
		return row, err
	}
	if !row.Exists() {
		return row, errors.WithStack(&fault.StepUnknown{Step: r.step})
	}
	return row, row.Decode(dest)
}

// update applies change to the progress, and retries while other writers change
// the progress concurrently. change returns the new progress and whether it
// must be written.
func (s store) update(ctx context.Context, r stepRef, change func(sample.Progress) (sample.Progress, bool, error)) (sample.Progress, error) {
	for {
		progress, row, err := s.progress(ctx, r)
		if err != nil {
			return progress, err
		}
		next, changed, err := change(progress)
		if err != nil || !changed {
			return progress, err
		}
		err = platformapi.CommitConfirmed(ctx, s.tables, platformapi.Txn{
			Nonce:         platformapi.NewNonce(),
			Preconditions: []platformapi.Precondition{{Key: row.Key, Version: row.Version}},
			Writes:        []platformapi.Write{{Key: row.Key, Value: platformapi.EncodeValue(next)}},
		})
		if !fault.Is[*fault.PreconditionFailed](err) {
			return next, err
		}
	}
}

// commit numbers and writes samples in one transaction, and returns its write. It
// checks guard directly before the write. The transaction requires the row version
// of the progress that was read: when another writer changes the progress in
// between, commit fails with *fault.PreconditionFailed and writes nothing.
//
// The write is nil if there is nothing to write or it certainly has no effect. A
// write that is returned with an error has an unknown outcome.
func (s store) commit(ctx context.Context, r stepRef, guard Guard, samples []sample.Sample) (sample.Progress, *batchWrite, error) {
	progress, row, err := s.progress(ctx, r)
	if err != nil {
		return progress, nil, err
	}
	next, numbered, err := progress.Commit(r.leaseName(), guard.Epoch(), samples)
	if err != nil || len(numbered) == 0 {
		return progress, nil, err
	}
	txn := platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: row.Key, Version: row.Version}},
		Writes: []platformapi.Write{
			{Key: r.batchKey(next.Committed), Value: platformapi.EncodeValue(numbered)},
			{Key: row.Key, Value: platformapi.EncodeValue(next)},
		},
	}
	if next.Complete() {
		txn.Writes = append(txn.Writes, platformapi.Write{Key: r.openKey(), Delete: true})
	}
	if err := guard.Check(); err != nil {
		return progress, nil, err
	}
	w := batchWrite{ref: r, epoch: guard.Epoch(), txn: txn, progressVersion: row.Version, samples: numbered}
	err = s.send(ctx, txn)
	switch {
	case err == nil:
		return next, &w, nil
	case isOutcomeUnknown(err):
		return progress, &w, err
	default:
		return progress, nil, err
	}
}

// commitGracePeriod is how long a commit under way may continue after its owner was
// stopped: the time in which its call is answered or times out.
const commitGracePeriod = platformapi.CallTimeout

// send runs a transaction. A commit under way is canceled only commitGracePeriod
// after ctx ends, because its outcome would be unknown.
func (s store) send(ctx context.Context, txn platformapi.Txn) error {
	ctx, cancel := withGracePeriod(ctx, commitGracePeriod)
	defer cancel()
	return platformapi.CommitConfirmed(ctx, s.tables, txn)
}

// withGracePeriod returns a context that ends the grace period after ctx.
func withGracePeriod(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(grace, cancel) })
	return extended, func() {
		stop()
		cancel()
	}
}

// batch is a row of committed samples.
type batch struct {
	row     platformapi.Row
	samples []sample.Sample
}

// batches returns up to limit batches that hold samples after a number.
func (s store) batches(ctx context.Context, r stepRef, after int64, limit int) ([]batch, error) {
	rows, err := s.tables.Scan(ctx, r.batchPrefix(), r.batchKey(after), limit)
	if err != nil {
		return nil, err
	}
	batches := make([]batch, 0, len(rows))
	for _, row := range rows {
		b := batch{row: row}
		if err := row.Decode(&b.samples); err != nil {
			return nil, err
		}
		batches = append(batches, b)
	}
	return batches, nil
}

// withdraw replaces the stale samples of a batch with tombstones and reopens
// their slots, on behalf of a pull. It fails with *fault.PreconditionFailed
// when the batch or the progress has changed since it was read, and with
// *fault.PullOvertaken when a later pull has registered its number.
func (s store) withdraw(ctx context.Context, r stepRef, pull int64, b batch, stale func(sample.Sample) bool) (int, error) {
	progress, row, err := s.progress(ctx, r)
	if err != nil {
		return 0, err
	}
	if err := progress.CheckPull(r.step, pull); err != nil {
		return 0, err
	}
	count := 0
	updated := append([]sample.Sample(nil), b.samples...)
	for i, candidate := range updated {
		if !stale(candidate) {
			continue
		}
		next, ok := progress.Withdraw(candidate)
		if ok {
			progress, updated[i] = next, candidate.Tombstone()
			count++
		}
	}
	if count == 0 {
		return 0, nil
	}
	return count, platformapi.CommitConfirmed(ctx, s.tables, platformapi.Txn{
		Nonce: platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{
			{Key: b.row.Key, Version: b.row.Version},
			{Key: row.Key, Version: row.Version},
		},
		Writes: []platformapi.Write{
			{Key: b.row.Key, Value: platformapi.EncodeValue(updated)},
			{Key: row.Key, Value: platformapi.EncodeValue(progress)},
			{Key: r.openKey(), Value: []byte{}},
		},
	})
}

// openPageSize is how many open steps one scan reads.
const openPageSize = 256

// openSteps lists the steps that have a slot without a sample.
func (s store) openSteps(ctx context.Context) ([]stepRef, error) {
	var open []stepRef
	for after := ""; ; {
		rows, err := s.tables.Scan(ctx, openPrefix, after, openPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			if r, ok := parseOpenKey(row.Key); ok {
				open = append(open, r)
			}
		}
		if len(rows) < openPageSize {
			return open, nil
		}
	}
}

func sameDefinition(a, b sample.Definition) bool {
	return bytes.Equal(platformapi.EncodeValue(a), platformapi.EncodeValue(b))
}
