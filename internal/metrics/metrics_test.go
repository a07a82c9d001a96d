package metrics

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/sample"
)

var testUpstreams = []platformapi.Upstream{
	{ID: "a", Kind: platformapi.KindEngine, State: platformapi.UpstreamLive, CentsPerHour: 300, Account: "strathallan"},
	{ID: "b", Kind: platformapi.KindEngine, State: platformapi.UpstreamLive, CentsPerHour: 90, Account: "strathallan", Reclaimable: true},
	{ID: "c", Kind: platformapi.KindEngine, State: platformapi.UpstreamLeaving, CentsPerHour: 90, Account: "strathallan", Reclaimable: true},
}

func newTestMetrics() (*Metrics, *prometheus.Registry) {
	registry := prometheus.NewPedanticRegistry()
	m := New(registry, 300*time.Second)
	RegisterUpstreams(registry, func() []platformapi.Upstream { return testUpstreams })
	return m, registry
}

// valueOf returns the value of one counter or gauge, or the number of observations of
// one histogram; it is 0 if there is no such metric. labels are the label values in the
// order of the label names.
func valueOf(t *testing.T, registry *prometheus.Registry, name string, labels ...string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != namespace+"_"+name {
			continue
		}
		for _, metric := range family.GetMetric() {
			var values []string
			for _, pair := range metric.GetLabel() {
				values = append(values, pair.GetValue())
			}
			if slices.Equal(values, labels) {
				return metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + float64(metric.GetHistogram().GetSampleCount())
			}
		}
	}
	return 0
}

// wantMetric is the expected value of one metric.
type wantMetric struct {
	name   string
	labels []string
	want   float64
}

func wantMetrics(t *testing.T, registry *prometheus.Registry, all []wantMetric) {
	t.Helper()
	for _, e := range all {
		if got := valueOf(t, registry, e.name, e.labels...); got != e.want {
			t.Errorf("%s%v is %v, want %v", e.name, e.labels, got, e.want)
		}
	}
}

func TestObserveUpdatesMetrics(t *testing.T) {
	m, registry := newTestMetrics()
	m.Observe(event.Record{Number: event.RequestAnswered, Subject: event.Subject{Account: "brazicod", Count: 12}})
	m.Observe(event.Record{Number: event.RequestRefused, Subject: event.Subject{Detail: "queue_full/not_run"}})
	m.Observe(event.Record{Number: event.SamplesDelivered, Subject: event.Subject{Account: "strathallan", Count: 8}})
	m.Observe(event.Record{Number: event.RevisionApplied, Subject: event.Subject{Revision: 7}})
	m.Observe(event.Record{
		Number:  event.UsageReported,
		Stamp:   event.Stamp{WallMicros: 607_000_000},
		Subject: event.Subject{Account: "brazicod", Count: 300, Detail: event.DetailCorrected},
	})
	wantMetrics(t, registry, []wantMetric{
		{"usage_reports_total", []string{"brazicod"}, 1},
		{"usage_reports_corrected_total", []string{"brazicod"}, 1},
		{"usage_report_delay_seconds", nil, 1},
		{"requests_answered_total", []string{"brazicod"}, 1},
		{"served_tokens_total", []string{"brazicod"}, 12},
		{"requests_refused_total", []string{"queue_full", "not_run"}, 1},
		{"samples_delivered_total", []string{"strathallan"}, 8},
		{"configuration_revision", nil, 7},
		{"events_total", []string{"DWP-1304"}, 1},
	})
}

// fixedDispatcher grants its upstream to all work.
type fixedDispatcher platformapi.Upstream

func (g fixedDispatcher) Acquire(context.Context, dispatch.Work) (dispatch.Grant, error) {
	return dispatch.Grant{Upstream: platformapi.Upstream(g), Done: func(dispatch.Result) {}}, nil
}

func TestDispatcherCountsWorkByReclaimable(t *testing.T) {
	m, registry := newTestMetrics()
	work := dispatch.Work{Account: "strathallan"}
	for _, u := range testUpstreams[:2] {
		grant, err := NewDispatcher(fixedDispatcher(u), m).Acquire(t.Context(), work)
		if err != nil {
			t.Fatal(err)
		}
		grant.Done(dispatch.Result{Cost: u.CentsPerHour, Failed: u.Reclaimable})
	}
	wantMetrics(t, registry, []wantMetric{
		{"work_tokens_total", []string{"strathallan", "false"}, 300},
		{"work_tokens_total", []string{"strathallan", "true"}, 90},
		{"failed_work_tokens_total", []string{"strathallan", "true"}, 90},
		{"failed_work_tokens_total", []string{"strathallan", "false"}, 0},
		{"queue_wait_seconds", []string{"strathallan"}, 2},
	})
}

func TestUpstreamsReportsCountsAndPriceOfLive(t *testing.T) {
	_, registry := newTestMetrics()
	wantMetrics(t, registry, []wantMetric{
		{"upstream_cents_per_hour", []string{"strathallan", "false"}, 300},
		{"upstream_cents_per_hour", []string{"strathallan", "true"}, 90},
		{"upstreams", []string{"engine", "false", "live"}, 1},
		{"upstreams", []string{"engine", "true", "leaving"}, 1},
	})
}

// waitingSteps answers each pull after the pull's wait, without samples.
type waitingSteps struct{ entry.Steps }

func (waitingSteps) Samples(_ context.Context, _ contract.Account, _ string, pull sample.Pull) ([]sample.Sample, error) {
	time.Sleep(pull.Wait)
	return nil, nil
}

func TestStepsRecordsDurationOfPulls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, registry := newTestMetrics()
		for range 2 {
			if _, err := NewSteps(waitingSteps{}, m).Samples(t.Context(), "strathallan", "round-1", sample.Pull{Wait: 7 * time.Second}); err != nil {
				t.Fatal(err)
			}
		}
		wantMetrics(t, registry, []wantMetric{{"trainer_idle_seconds_total", []string{"strathallan"}, 14}})
	})
}
