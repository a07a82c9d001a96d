// Package fleetview reads rows of the table service for operators: leases, steps
// and usage reports. It decodes only the fields that operators see, and writes
// nothing.
package fleetview

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/usage"
)

// Prefixes of the rows.
const (
	leasePrefix = "lease/"
	stepPrefix  = "progress/"
)

// scanPage is how many rows one scan asks for.
const scanPage = 64

// Reader implements operator.Leases, operator.Steps and operator.Usage.
type Reader struct {
	tables platform.Tables
	window time.Duration
}

// NewReader returns a reader of the tables; window is the length of a usage
// window, in whole seconds.
func NewReader(tables platform.Tables, window time.Duration) *Reader {
	return &Reader{tables: tables, window: window}
}

// Leases implements operator.Leases.
func (r *Reader) Leases(ctx context.Context) ([]operator.Lease, error) {
	leases := []operator.Lease{}
	err := r.each(ctx, leasePrefix, "", func(row platform.Row) error {
		var lease operator.Lease
		if err := row.Decode(&lease); err != nil {
			return err
		}
		lease.Name = strings.TrimPrefix(row.Key, leasePrefix)
		leases = append(leases, lease)
		return nil
	})
	return leases, err
}

// Steps implements operator.Steps.
func (r *Reader) Steps(ctx context.Context, account string) ([]operator.Step, error) {
	prefix := stepPrefix
	if account != "" {
		prefix += url.PathEscape(account) + "/"
	}
	steps := []operator.Step{}
	err := r.each(ctx, prefix, "", func(row platform.Row) error {
		var progress sample.Progress
		if err := row.Decode(&progress); err != nil {
			return err
		}
		owner, name, _ := strings.Cut(strings.TrimPrefix(row.Key, stepPrefix), "/")
		steps = append(steps, operator.Step{
			Account:   unescape(owner),
			Step:      unescape(name),
			Model:     progress.Model,
			Slots:     progress.Slots,
			Committed: int64(progress.Count()),
			Acked:     progress.Acked,
		})
		return nil
	})
	return steps, err
}

// unescape reads a part of a step's key; a malformed one is shown as it is.
func unescape(part string) string {
	name, err := url.PathUnescape(part)
	if err != nil {
		return part
	}
	return name
}

// Reports implements operator.Usage.
func (r *Reader) Reports(ctx context.Context, window int64) ([]platform.UsageReport, error) {
	return r.reports(ctx, r.windowKey(window)+"/", "")
}

// ReportsSince implements operator.Usage.
func (r *Reader) ReportsSince(ctx context.Context, from int64) ([]platform.UsageReport, error) {
	return r.reports(ctx, usage.ReportPrefix, r.windowKey(from))
}

// windowKey starts the keys of the reports of the window that holds a time in
// seconds since the Unix epoch.
func (r *Reader) windowKey(seconds int64) string {
	return fmt.Sprintf("%s%012d", usage.ReportPrefix, seconds/int64(r.window/time.Second))
}

func (r *Reader) reports(ctx context.Context, prefix, after string) ([]platform.UsageReport, error) {
	reports := []platform.UsageReport{}
	err := r.each(ctx, prefix, after, func(row platform.Row) error {
		var kept usage.Report
		if err := row.Decode(&kept); err != nil {
			return err
		}
		reports = append(reports, platform.UsageReport{
			Window:             int64(kept.Window) * int64(r.window/time.Second),
			Account:            string(kept.Account),
			Requests:           kept.Figures.Requests,
			Tokens:             kept.Figures.Tokens,
			CorrectionRequests: kept.Corrections.Requests,
			CorrectionTokens:   kept.Corrections.Tokens,
			Incomplete:         kept.Incomplete,
		})
		return nil
	})
	return reports, err
}

// each calls next for every row with the prefix after a key.
func (r *Reader) each(ctx context.Context, prefix, after string, next func(platform.Row) error) error {
	for {
		rows, err := r.tables.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := next(row); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < scanPage {
			return nil
		}
	}
}
