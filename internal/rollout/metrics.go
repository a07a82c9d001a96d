package rollout

import (
	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/sample"
)

// metrics are the figures of the steps on one VM.
type metrics struct {
	committed   prometheus.Counter
	commits     prometheus.Counter
	withdrawn   prometheus.Counter
	hedges      prometheus.Counter
	rejected    *prometheus.CounterVec
	failures    *prometheus.CounterVec
	ageVersions prometheus.Histogram
	ageSeconds  prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		committed:   counter("samples_committed_total", "Samples committed by owners on this VM."),
		commits:     counter("sample_commits_total", "Transactions that committed samples."),
		withdrawn:   counter("samples_withdrawn_total", "Committed samples that went stale before the trainer confirmed them."),
		hedges:      counter("slot_hedges_total", "Second generations begun for straggling slots."),
		rejected:    labelled("samples_rejected_total", "Generated samples that could not be committed, by failure code."),
		failures:    labelled("slot_failures_total", "Failed generations and scorings of slots, by failure code."),
		ageVersions: histogram("sample_age_versions", "Weight versions that a sample was behind at its delivery.", []float64{0, 1, 2, 3, 5, 10}),
		ageSeconds:  histogram("sample_age_seconds", "Seconds since a delivered sample's oldest version was superseded.", prometheus.ExponentialBuckets(1, 2, 12)),
	}
	registerer.MustRegister(m.committed, m.commits, m.withdrawn, m.hedges, m.rejected, m.failures, m.ageVersions, m.ageSeconds)
	return m
}

const namespace = "dogwoodpond"

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func labelled(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{"code"})
}

func histogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
}

func (m *metrics) observe(age sample.Age) {
	m.ageVersions.Observe(float64(age.Versions))
	if age.Known {
		m.ageSeconds.Observe(age.Elapsed.Seconds())
	}
}
