package node

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/logsink"
)

// Metrics counts what happens on a VM. Most are fed by events, so that a line of
// the log and a count never disagree.
type Metrics struct {
	registry *prometheus.Registry
	events   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	latency  prometheus.Histogram
	commit   prometheus.Counter
	listing  prometheus.Histogram
	store    *prometheus.HistogramVec
	revision prometheus.Gauge
	scores   *prometheus.CounterVec
	scoring  prometheus.Histogram
}

// storeBuckets resolve the store's usual 5 ms and its slow answers of up to 500 ms.
var storeBuckets = []float64{.003, .006, .012, .025, .05, .1, .2, .4, .8, 1.6, 3.2}

// NewMetrics registers the metrics of a VM.
func NewMetrics(sink *logsink.Sink, life *Life) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		events:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_events_total", Help: "Events by their number."}, []string{"event"}),
		refused:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_requests_refused_total", Help: "Refused requests by code."}, []string{"code"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dogwoodpond_request_seconds", Help: "Time from a forwarded request's arrival to its answer.",
			Buckets: []float64{.01, .02, .04, .08, .15, .3, .6, 1.2, 2.5, 5, 10},
		}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_attempts_failed_total", Help: "Attempts at upstreams that failed, by reason."}, []string{"reason"}),
		listing: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dogwoodpond_results_commit_seconds", Help: "Time that the store took to list results.", Buckets: storeBuckets,
		}),
		store: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "dogwoodpond_store_call_seconds", Help: "Time of direct calls to the store by call and outcome; those for changes wait on purpose.", Buckets: storeBuckets,
		}, []string{"call", "outcome"}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{Name: "dogwoodpond_configuration_revision", Help: "The revision in force on this VM."}),
		scores:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_score_calls_total", Help: "Calls for the scores of whole texts, by outcome."}, []string{"outcome"}),
		scoring: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dogwoodpond_score_wait_seconds", Help: "Time from an item's whole text to its score.",
			Buckets: []float64{.02, .04, .08, .15, .3, .6, 1.2, 2.5, 5, 10},
		}),
		commit: prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodpond_results_listed_total", Help: "Results of steps that were listed."}),
	}
	m.registry.MustRegister(m.events, m.refused, m.attempts, m.latency, m.commit, m.listing, m.store, m.revision, m.scores, m.scoring, collectors.NewGoCollector(),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dogwoodpond_open_requests", Help: "Requests that are being served."}, func() float64 { return float64(life.Open()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dogwoodpond_log_lines_dropped_total", Help: "Log lines that found no room."}, func() float64 { return float64(sink.Dropped()) }),
	)
	return m
}

const millisPerSecond = 1000

// Observe counts an event. It is given to event.Recorder.Observe.
func (m *Metrics) Observe(e event.Record) {
	m.events.WithLabelValues(e.Number.String()).Inc()
	switch e.Number {
	case event.RequestAnswered:
		m.latency.Observe(float64(e.Count) / millisPerSecond)
	case event.RequestRefused:
		code, _, _ := strings.Cut(e.Detail, " ")
		m.refused.WithLabelValues(code).Inc()
	case event.AttemptFailed:
		m.attempts.WithLabelValues(reasonOf(e.Detail)).Inc()
	case event.SampleScored:
		m.scores.WithLabelValues("scored").Inc()
		m.scoring.Observe(float64(e.Count) / millisPerSecond)
	case event.ScoreFailed:
		m.scores.WithLabelValues(reasonOf(e.Detail)).Inc()
	case event.RevisionApplied:
		m.revision.Set(float64(e.Revision))
	case event.SamplesCommitted:
		m.commit.Add(float64(e.Count))
		if took, err := time.ParseDuration(e.Detail); err == nil {
			m.listing.Observe(took.Seconds())
		}
	}
}

// reasonOf returns the part of a detail that is the same for all failures of a kind.
func reasonOf(detail string) string {
	reason, _, _ := strings.Cut(detail, " after event")
	reason, _, _ = strings.Cut(reason, ":")
	return reason
}

// StoreCall counts a direct call to the store.
func (m *Metrics) StoreCall(call, outcome string, took time.Duration) {
	m.store.WithLabelValues(call, outcome).Observe(took.Seconds())
}

// Budget registers by how much this VM's reads of the store are slowed.
func (m *Metrics) Budget(backoffFactor func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dogwoodpond_store_backoff_factor", Help: "By how much the periods of reads of the store are longer than its rates ask for, because it refused calls; 1 when it refuses none.",
	}, backoffFactor))
}

// Evacuations registers how many failure domains this VM takes for evacuated.
func (m *Metrics) Evacuations(domains func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dogwoodpond_evacuated_domains", Help: "Failure domains whose upstreams get nothing because the operator evacuates them.",
	}, func() float64 { return float64(domains()) }))
}

// Feed registers the age of what a VM knows of a list, and returns a function that
// is to be called whenever the list has answered.
func (m *Metrics) Feed(name string) (reached func()) {
	var at atomic.Int64
	at.Store(time.Now().UnixNano())
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dogwoodpond_feed_age_seconds", Help: "Time since a list that this VM follows answered last.", ConstLabels: prometheus.Labels{"feed": name},
	}, func() float64 { return time.Since(time.Unix(0, at.Load())).Seconds() }))
	return func() { at.Store(time.Now().UnixNano()) }
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
