// Package rollout runs steps: an owner generates the samples of a step's slots
// and commits them; any VM delivers the committed samples to the trainer.
package rollout

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/sample"
)

// ref names a step of an account.
type ref struct {
	account contract.Account
	step    string
}

func (r ref) stepKey() string { return fmt.Sprintf("step/%s/%s", r.account, r.step) }

func (r ref) slotPrefix() string { return fmt.Sprintf("slot/%s/%s/", r.account, r.step) }

func (r ref) samplePrefix() string { return fmt.Sprintf("sample/%s/%s/", r.account, r.step) }

func (r ref) sampleKey(number int64) string { return fmt.Sprintf("%s%06d", r.samplePrefix(), number) }

// stepRow is the value of a step's row.
type stepRow struct {
	Definition sample.Definition `json:"definition"`
	Committed  int64             `json:"committed"`
	Acked      int64             `json:"acked"`
}

// store reads and writes the rows of steps.
type store struct {
	tables platform.Tables
}

func (s store) read(ctx context.Context, r ref) (stepRow, platform.Row, error) {
	row, err := s.tables.Get(ctx, r.stepKey())
	if err != nil {
		return stepRow{}, row, err
	}
	if !row.Exists() {
		return stepRow{}, row, errors.WithStack(&fault.StepUnknown{Step: r.step})
	}
	var step stepRow
	err = decode(row, &step)
	return step, row, err
}

func (s store) samples(ctx context.Context, r ref, after int64, limit int) ([]sample.Sample, error) {
	rows, err := s.tables.Scan(ctx, r.samplePrefix(), r.sampleKey(after), limit)
	if err != nil {
		return nil, err
	}
	samples := make([]sample.Sample, 0, len(rows))
	for _, row := range rows {
		var kept sample.Sample
		if err := decode(row, &kept); err != nil {
			return nil, err
		}
		samples = append(samples, kept)
	}
	return samples, nil
}

func decode(row platform.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return errors.WithStack(&fault.Internal{Where: "row " + row.Key})
	}
	return nil
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
