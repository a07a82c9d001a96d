// Package fleetview reads leases, steps and usage reports from the table service for
// operators. It decodes only the fields that operators see, and never writes.
package fleetview

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/usage"
)

// Prefixes of the row keys.
const (
	leasePrefix = "lease/"
	stepPrefix  = "progress/"
)

// scanPageSize is the number of rows that one scan asks for.
const scanPageSize = 64

// Reader implements operator.Leases, operator.Steps and operator.Usage.
type Reader struct {
	tables platformapi.Tables
	window time.Duration
}

// NewReader returns a reader of the tables. window is the length of a usage window
// and must be a multiple of a second.
func NewReader(tables platformapi.Tables, window time.Duration) *Reader {
	return &Reader{tables: tables, window: window}
}

// Leases implements operator.Leases.
func (r *Reader) Leases(ctx context.Context) ([]operator.Lease, error) {
	leases := []operator.Lease{}
	err := r.forEachRow(ctx, leasePrefix, "", func(row platformapi.Row) error {
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
	err := r.forEachRow(ctx, prefix, "", func(row platformapi.Row) error {
		var progress sample.Progress
		if err := row.Decode(&progress); err != nil {
			return err
		}
		accountPart, stepPart, _ := strings.Cut(strings.TrimPrefix(row.Key, stepPrefix), "/")
		steps = append(steps, operator.Step{
			Account:   unescape(accountPart),
			Step:      unescape(stepPart),
			Model:     progress.Model,
			Slots:     progress.Slots,
			Committed: int64(progress.Count()),
			Acked:     progress.Acked,
		})
		return nil
	})
	return steps, err
}

// unescape unescapes a part of the key of a step. It returns a malformed part
// unchanged.
func unescape(part string) string {
	unescaped, err := url.PathUnescape(part)
	if err != nil {
		return part
	}
	return unescaped
}

// Reports implements operator.Usage.
func (r *Reader) Reports(ctx context.Context, window int64) ([]platformapi.UsageReport, error) {
	return r.reports(ctx, r.windowKey(window)+"/", "")
}

// ReportsSince implements operator.Usage.
func (r *Reader) ReportsSince(ctx context.Context, from int64) ([]platformapi.UsageReport, error) {
	return r.reports(ctx, usage.ReportPrefix, r.windowKey(from))
}

// windowKey returns the start of the keys of all reports of the window that contains
// a time, in seconds since the Unix epoch.
func (r *Reader) windowKey(seconds int64) string {
	return fmt.Sprintf("%s%012d", usage.ReportPrefix, seconds/int64(r.window/time.Second))
}

func (r *Reader) reports(ctx context.Context, prefix, after string) ([]platformapi.UsageReport, error) {
	reports := []platformapi.UsageReport{}
	err := r.forEachRow(ctx, prefix, after, func(row platformapi.Row) error {
		var report usage.Report
		if err := row.Decode(&report); err != nil {
			return err
		}
		reports = append(reports, platformapi.UsageReport{
			Window:             int64(report.Window) * int64(r.window/time.Second),
			Account:            string(report.Account),
			Requests:           report.Counts.Requests,
			Tokens:             report.Counts.Tokens,
			CorrectionRequests: report.Corrections.Requests,
			CorrectionTokens:   report.Corrections.Tokens,
			Incomplete:         report.Incomplete,
		})
		return nil
	})
	return reports, err
}

// forEachRow calls visit for every row whose key starts with prefix and is greater
// than after, in key order. It stops at the first error and returns it.
func (r *Reader) forEachRow(ctx context.Context, prefix, after string, visit func(platformapi.Row) error) error {
	for {
		rows, err := r.tables.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < scanPageSize {
			return nil
		}
	}
}
