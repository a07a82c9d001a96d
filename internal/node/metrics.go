package node

import (
	"net/http"
	"strings"

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
	latency  prometheus.Histogram
	commit   prometheus.Counter
}

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
		commit: prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodpond_results_listed_total", Help: "Results of steps that were listed."}),
	}
	m.registry.MustRegister(m.events, m.refused, m.latency, m.commit, collectors.NewGoCollector(),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dogwoodpond_open_requests", Help: "Requests that are being served."}, func() float64 { return float64(life.Open()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dogwoodpond_log_lines_dropped_total", Help: "Log lines that found no room."}, func() float64 { return float64(sink.Dropped()) }),
	)
	return m
}

// Observe counts an event. It is given to event.Recorder.Observe.
func (m *Metrics) Observe(e event.Record) {
	m.events.WithLabelValues(e.Number.String()).Inc()
	switch e.Number {
	case event.RequestAnswered:
		const millisPerSecond = 1000
		m.latency.Observe(float64(e.Count) / millisPerSecond)
	case event.RequestRefused:
		code, _, _ := strings.Cut(e.Detail, " ")
		m.refused.WithLabelValues(code).Inc()
	case event.SamplesCommitted:
		m.commit.Add(float64(e.Count))
	}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
