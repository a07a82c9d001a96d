package rollout

import (
	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/sample"
)

// metrics holds the step metrics of one VM.
type metrics struct {
	committed   *prometheus.CounterVec
	commits     *prometheus.CounterVec
	withdrawn   *prometheus.CounterVec
	hedges      *prometheus.CounterVec
	rejected    *prometheus.CounterVec
	failures    *prometheus.CounterVec
	ageVersions *prometheus.HistogramVec
	ageSeconds  *prometheus.HistogramVec
}

// Label names.
const (
	labelAccount = "account"
	labelCode    = "code"
)

var (
	// versionBuckets are in weight versions.
	versionBuckets = []float64{0, 1, 2, 3, 5, 10}
	// ageBuckets are in seconds and span a few weight updates.
	ageBuckets = []float64{0, 15, 60, 180, 600, 1200, 3600}
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		committed:   counter("samples_committed_total", "Samples committed by owners on this VM.", labelAccount),
		commits:     counter("sample_commits_total", "Transactions that committed samples.", labelAccount),
		withdrawn:   counter("samples_withdrawn_total", "Committed samples that became stale before the trainer acknowledged them.", labelAccount),
		hedges:      counter("slot_hedges_total", "Hedges: second generations started for straggling slots.", labelAccount),
		rejected:    counter("samples_rejected_total", "Generated samples that could not be committed, by failure code.", labelCode),
		failures:    counter("slot_failures_total", "Failed generations and scorings of slots, by failure code.", labelCode),
		ageVersions: histogram("sample_age_versions", "Age of a sample at its delivery, in weight versions.", versionBuckets),
		ageSeconds:  histogram("sample_age_seconds", "Seconds since a delivered sample's oldest version was superseded.", ageBuckets),
	}
	registerer.MustRegister(m.committed, m.commits, m.withdrawn, m.hedges, m.rejected, m.failures, m.ageVersions, m.ageSeconds)
	return m
}

const namespace = "dogwoodpond"

func counter(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

func histogram(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets},
		[]string{labelAccount},
	)
}

// observeAge records the age of a delivered sample.
func (m *metrics) observeAge(account contract.Account, age sample.Age) {
	m.ageVersions.WithLabelValues(string(account)).Observe(float64(age.Versions))
	if age.Known {
		m.ageSeconds.WithLabelValues(string(account)).Observe(age.Elapsed.Seconds())
	}
}
