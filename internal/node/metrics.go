package node

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/ingress"
	"dogwoodpond/internal/logsink"
)

// Metrics holds the metrics of a VM. Most are updated by events, so that they agree with
// the log.
type Metrics struct {
	registry         *prometheus.Registry
	events           *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	failedAttempts   *prometheus.CounterVec
	requestSeconds   prometheus.Histogram
	committedResults prometheus.Counter
	commitSeconds    prometheus.Histogram
	storeCallSeconds *prometheus.HistogramVec
	revision         prometheus.Gauge
	scoreCalls       *prometheus.CounterVec
	scoreWaitSeconds prometheus.Histogram
	reportDefects    *prometheus.CounterVec
	promptHits       *prometheus.CounterVec
	promptTokens     *prometheus.CounterVec
	promptDefects    prometheus.Counter
	slowdowns        prometheus.Histogram
	queueLengths     *prometheus.GaugeVec
	queueWaitSeconds *prometheus.HistogramVec
	shedRequests     *prometheus.CounterVec
	ingress          *ingress.Metrics
}

// storeBuckets are in seconds. They cover the store's usual latency of 5 ms and slow answers
// of up to 500 ms.
var storeBuckets = []float64{.003, .006, .012, .025, .05, .1, .2, .4, .8, 1.6, 3.2}

// NewMetrics registers the metrics of a VM.
func NewMetrics(sink *logsink.Sink, incarnation *Incarnation) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		events:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_events_total", Help: "Events by number."}, []string{"event"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_requests_refused_total", Help: "Refused requests by code."}, []string{"code"}),
		requestSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dogwoodpond_request_seconds", Help: "Time from a forwarded request's arrival to its answer.",
			Buckets: []float64{.01, .02, .04, .08, .15, .3, .6, 1.2, 2.5, 5, 10},
		}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_attempts_failed_total", Help: "Failed attempts at upstreams, by reason."}, []string{"reason"}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dogwoodpond_results_commit_seconds", Help: "Time from the start of a commit of results until it was confirmed.", Buckets: storeBuckets,
		}),
		storeCallSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "dogwoodpond_store_call_seconds", Help: "Time of direct calls to the store by call and outcome; calls that watch for changes are long polls.", Buckets: storeBuckets,
		}, []string{"call", "outcome"}),
		revision:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "dogwoodpond_configuration_revision", Help: "The configuration revision in force on this VM."}),
		scoreCalls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_score_calls_total", Help: "Score calls for complete texts, by outcome."}, []string{"outcome"}),
		scoreWaitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dogwoodpond_score_wait_seconds", Help: "Time from an item's complete text to its score.",
			Buckets: []float64{.02, .04, .08, .15, .3, .6, 1.2, 2.5, 5, 10},
		}),
		reportDefects: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_load_report_defects_total", Help: "Load reports of upstreams that can't be used, by part: all of the report for its counts, only the slowdown for its slowdown."}, []string{"part"}),
		slowdowns: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dogwoodpond_upstream_slowdown_ratio", Help: "Slowdowns that upstreams report with their load: how long work takes on their machine, as a multiple of the usual time.",
			Buckets: []float64{.5, .75, 1, 1.5, 2, 3, 5, 10},
		}),
		queueLengths: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "dogwoodpond_admission_queue_length", Help: "Plain requests that wait for capacity, by service."}, []string{"service"}),
		queueWaitSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "dogwoodpond_admission_wait_seconds", Help: "Time for which plain requests waited for capacity, of those that waited, by service and priority.",
			Buckets: []float64{.005, .01, .02, .04, .08, .15, .3, .6, 1.2},
		}, []string{"service", "priority"}),
		shedRequests:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_admission_shed_total", Help: "Plain requests that were refused while they waited for capacity or instead of waiting, by service, priority and reason."}, []string{"service", "priority", "reason"}),
		promptHits:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_prompt_placements_total", Help: "Items with long prompts that were sent to an engine, by service and whether the engine is expected to keep a part of the prompt (hit) or none (miss)."}, []string{"service", "expected"}),
		promptTokens:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodpond_prompt_tokens_total", Help: "Tokens of these items' prompts, by service and whether the engine is expected to keep (saved) or read them."}, []string{"service", "expected"}),
		promptDefects:    prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodpond_prompt_list_defects_total", Help: "Lists of the parts of items' prompts that can't be used."}),
		committedResults: prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodpond_results_listed_total", Help: "Committed results of steps."}),
	}
	m.ingress = ingress.NewMetrics(m.registry)
	m.registry.MustRegister(m.events, m.refusals, m.failedAttempts, m.requestSeconds, m.committedResults, m.commitSeconds, m.storeCallSeconds, m.revision, m.scoreCalls, m.scoreWaitSeconds, m.reportDefects, m.promptHits, m.promptTokens, m.promptDefects, m.slowdowns, m.queueLengths, m.queueWaitSeconds, m.shedRequests, collectors.NewGoCollector(),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dogwoodpond_open_requests", Help: "Requests that are being served."}, func() float64 { return float64(incarnation.Open()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dogwoodpond_log_lines_dropped_total", Help: "Log lines dropped because the log buffer was full."}, func() float64 { return float64(sink.Dropped()) }),
	)
	return m
}

const millisPerSecond = 1000

// Observe updates the metrics with an event. It is a callback for event.Recorder.Observe.
func (m *Metrics) Observe(e event.Record) {
	m.events.WithLabelValues(e.Number.String()).Inc()
	switch e.Number {
	case event.RequestAnswered:
		m.requestSeconds.Observe(float64(e.Count) / millisPerSecond)
	case event.RequestRefused:
		code, _, _ := strings.Cut(e.Detail, " ")
		m.refusals.WithLabelValues(code).Inc()
	case event.AttemptFailed:
		m.failedAttempts.WithLabelValues(reasonOf(e.Detail)).Inc()
	case event.SampleScored:
		m.scoreCalls.WithLabelValues("scored").Inc()
		m.scoreWaitSeconds.Observe(float64(e.Count) / millisPerSecond)
	case event.ScoreFailed:
		m.scoreCalls.WithLabelValues(reasonOf(e.Detail)).Inc()
	case event.RevisionApplied:
		m.revision.Set(float64(e.Revision))
	case event.SamplesCommitted:
		m.committedResults.Add(float64(e.Count))
		if duration, err := time.ParseDuration(e.Detail); err == nil {
			m.commitSeconds.Observe(duration.Seconds())
		}
	}
}

// reasonOf returns the part of a detail that is equal for all failures of one kind, so that
// the metric has few label values.
func reasonOf(detail string) string {
	reason, _, _ := strings.Cut(detail, " after event")
	reason, _, _ = strings.Cut(reason, ":")
	return reason
}

// ObserveStoreCall records the duration of a direct call to the store.
func (m *Metrics) ObserveStoreCall(call, outcome string, duration time.Duration) {
	m.storeCallSeconds.WithLabelValues(call, outcome).Observe(duration.Seconds())
}

// CountPrompt implements step.PromptMetrics.
func (m *Metrics) CountPrompt(service string, kept, read int) {
	expected := "miss"
	if kept > 0 {
		expected = "hit"
	}
	m.promptHits.WithLabelValues(service, expected).Inc()
	m.promptTokens.WithLabelValues(service, "saved").Add(float64(kept))
	m.promptTokens.WithLabelValues(service, "read").Add(float64(read))
}

// CountPromptListDefect implements step.PromptMetrics.
func (m *Metrics) CountPromptListDefect() { m.promptDefects.Inc() }

// CountLoadReportDefect counts a load report by the part that can't be used.
func (m *Metrics) CountLoadReportDefect(part string) {
	m.reportDefects.WithLabelValues(part).Inc()
}

// ObserveSlowdown records a slowdown that an upstream reported, as a multiple of the usual
// time.
func (m *Metrics) ObserveSlowdown(slowdown float64) { m.slowdowns.Observe(slowdown) }

// ObserveWait records the wait of a plain request for capacity of a service.
func (m *Metrics) ObserveWait(service string, priority int, wait time.Duration) {
	m.queueWaitSeconds.WithLabelValues(service, strconv.Itoa(priority)).Observe(wait.Seconds())
}

// CountShed counts a plain request that was refused while it waited or instead of waiting.
func (m *Metrics) CountShed(service string, priority int, reason string) {
	m.shedRequests.WithLabelValues(service, strconv.Itoa(priority), reason).Inc()
}

// SetQueueLength sets the number of plain requests that wait for capacity of a service.
func (m *Metrics) SetQueueLength(service string, length int) {
	m.queueLengths.WithLabelValues(service).Set(float64(length))
}

// RegisterBackoffFactor registers the metric of the factor by which the intervals between
// this VM's reads of the store are longer because the store refused calls.
func (m *Metrics) RegisterBackoffFactor(backoffFactor func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dogwoodpond_store_backoff_factor", Help: "Factor by which the intervals between reads of the store are longer than its rates require, because it refused calls; 1 when it refuses none.",
	}, backoffFactor))
}

// RegisterEvacuatedDomains registers the metric of the number of failure domains that this
// VM considers evacuated.
func (m *Metrics) RegisterEvacuatedDomains(domains func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dogwoodpond_evacuated_domains", Help: "Failure domains that the operator has evacuated; nothing is sent to their upstreams.",
	}, func() float64 { return float64(domains()) }))
}

// RegisterListAge registers the metric of the time since this VM last read a list, and
// returns the function to call after each successful read.
func (m *Metrics) RegisterListAge(name string) (noteRead func()) {
	var lastRead atomic.Int64
	lastRead.Store(time.Now().UnixNano())
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dogwoodpond_feed_age_seconds", Help: "Time since this VM last read a watched list.", ConstLabels: prometheus.Labels{"feed": name},
	}, func() float64 { return time.Since(time.Unix(0, lastRead.Load())).Seconds() }))
	return func() { lastRead.Store(time.Now().UnixNano()) }
}

// Handler returns a handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
