// Package metrics holds the metrics of a VM that belong to no single package;
// dispatch and rollout have their own. docs/METRICS.md lists all, and a test
// holds it equal to what a daemon's registry exposes. No label ever holds a
// key, a prompt or an answer.
//
// Metrics are fed in three ways: from events (Observe), by a decorator around
// the dispatcher (Dispatcher), and by direct calls of the package that knows.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the collectors of one VM. All are safe for concurrent use.
type Metrics struct {
	// Events counts events by their number. Fed by Observe.
	Events *prometheus.CounterVec
	// RequestsAnswered counts whole answers by account. Fed by Observe.
	RequestsAnswered *prometheus.CounterVec
	// ServedTokens counts the tokens of these answers. Fed by Observe.
	ServedTokens *prometheus.CounterVec
	// RequestsRefused counts refusals by code and execution. Fed by Observe.
	RequestsRefused *prometheus.CounterVec
	// AttemptsFailed counts failed attempts by code. Fed by Observe.
	AttemptsFailed *prometheus.CounterVec
	// Revision is the revision in force. Fed by Observe.
	Revision prometheus.Gauge

	// QueueWait is how long work waited for an upstream, in seconds. Fed by the
	// decorator Dispatcher.
	QueueWait *prometheus.HistogramVec
	// WorkTokens counts the cost of all attempts, also failed ones, by account
	// and by whether the upstream was reclaimable. Fed by the decorator
	// Dispatcher.
	WorkTokens *prometheus.CounterVec
	// FailedWorkTokens counts the part of WorkTokens whose attempt failed. Fed
	// by the decorator Dispatcher.
	FailedWorkTokens *prometheus.CounterVec

	// TrainerIdle counts the seconds of trainers' pulls. Fed by the decorator
	// Steps.
	TrainerIdle *prometheus.CounterVec
	// SamplesDelivered counts delivered samples. Fed by Observe.
	SamplesDelivered *prometheus.CounterVec

	// UsageReports counts reports that billing accepted. Fed by Observe.
	UsageReports *prometheus.CounterVec
	// UsageIncomplete counts reports that lack figures of a VM that died. Fed
	// by Observe.
	UsageIncomplete *prometheus.CounterVec
	// UsageCorrected counts reports with a correction of an earlier window. Fed
	// by Observe.
	UsageCorrected *prometheus.CounterVec
	// UsageDelay is the time from a window's end to billing's acceptance. Fed by
	// Observe.
	UsageDelay prometheus.Histogram

	// usageWindow is the length of a usage window.
	usageWindow time.Duration
}

// Names of labels.
const (
	labelAccount     = "account"
	labelReclaimable = "reclaimable"
	labelCode        = "code"
	labelExecution   = "execution"
	labelNumber      = "event"
	labelKind        = "kind"
	labelState       = "state"
)

var (
	// waitBuckets span from a place that is free to a wait beyond every timeout.
	waitBuckets = []float64{0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 60, 300}
	// delayBuckets are in seconds around a few usage windows.
	delayBuckets = []float64{1, 5, 15, 60, 300, 900, 3600}
)

// New registers all metrics and returns them; usageWindow is the length of a
// usage window.
func New(registerer prometheus.Registerer, usageWindow time.Duration) *Metrics {
	b := builder{registerer: registerer}
	return &Metrics{
		usageWindow: usageWindow,

		Events:           b.counter("events_total", "Events by their number.", labelNumber),
		RequestsAnswered: b.counter("requests_answered_total", "Requests whose caller got the whole answer.", labelAccount),
		ServedTokens:     b.counter("served_tokens_total", "Tokens of whole answers: the service delivered.", labelAccount),
		RequestsRefused:  b.counter("requests_refused_total", "Refusals by code and by what is known of the run.", labelCode, labelExecution),
		AttemptsFailed:   b.counter("attempts_failed_total", "Failed attempts by code.", labelCode),
		Revision:         b.gauge("configuration_revision", "The revision in force on this VM."),

		QueueWait:        b.histogram("queue_wait_seconds", "Time in the fair queue until a place on an upstream was granted.", waitBuckets, labelAccount),
		WorkTokens:       b.counter("work_tokens_total", "Cost of all attempts in tokens, by whether the upstream is reclaimable.", labelAccount, labelReclaimable),
		FailedWorkTokens: b.counter("failed_work_tokens_total", "The part of work_tokens_total whose attempt failed by the upstream's fault.", labelAccount, labelReclaimable),

		TrainerIdle:      b.counter("trainer_idle_seconds_total", "Time of trainers' pulls until their first sample or their end.", labelAccount),
		SamplesDelivered: b.counter("samples_delivered_total", "Samples sent to their trainer; a repeated pull counts again.", labelAccount),

		UsageReports:    b.counter("usage_reports_total", "Usage reports that billing accepted.", labelAccount),
		UsageIncomplete: b.counter("usage_reports_incomplete_total", "Usage reports that lack figures of a VM that died.", labelAccount),
		UsageCorrected:  b.counter("usage_reports_corrected_total", "Usage reports with a correction of an earlier window.", labelAccount),
		UsageDelay:      b.plainHistogram("usage_report_delay_seconds", "Time from a window's end until billing accepted its report.", delayBuckets),
	}
}

// namespace starts the name of every metric.
const namespace = "dogwoodpond"

// builder registers collectors.
type builder struct {
	registerer prometheus.Registerer
}

func (b builder) counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	b.registerer.MustRegister(c)
	return c
}

func (b builder) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	b.registerer.MustRegister(g)
	return g
}

func (b builder) histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	b.registerer.MustRegister(h)
	return h
}

func (b builder) plainHistogram(name, help string, buckets []float64) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
	b.registerer.MustRegister(h)
	return h
}
