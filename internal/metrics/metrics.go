// Package metrics defines the metrics of a VM that belong to no single package;
// dispatch and rollout define their own. docs/METRICS.md lists all metrics, and a
// test compares it with the registry of a daemon. No label contains a key, a prompt
// or an answer.
//
// The metrics are updated from events (Observe), by decorators (Dispatcher, Steps),
// and by a collector of the list of upstreams (Upstreams).
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the collectors of one VM. It is safe for concurrent use.
type Metrics struct {
	// Events counts events by number. Updated by Observe.
	Events *prometheus.CounterVec
	// RequestsAnswered counts complete answers by account. Updated by Observe.
	RequestsAnswered *prometheus.CounterVec
	// ServedTokens counts the tokens of complete answers by account. Updated by
	// Observe.
	ServedTokens *prometheus.CounterVec
	// RequestsRefused counts refused requests by code and execution. Updated by
	// Observe.
	RequestsRefused *prometheus.CounterVec
	// AttemptsFailed counts failed attempts by code. Updated by Observe.
	AttemptsFailed *prometheus.CounterVec
	// Revision is the configuration revision in force. Updated by Observe.
	Revision prometheus.Gauge

	// QueueWait is the time that work was queued for an upstream, in seconds.
	// Updated by Dispatcher.
	QueueWait *prometheus.HistogramVec
	// WorkTokens counts the cost of all attempts in tokens, including failed
	// attempts, by account and by whether the upstream is reclaimable. Updated by
	// Dispatcher.
	WorkTokens *prometheus.CounterVec
	// FailedWorkTokens counts the part of WorkTokens that belongs to failed
	// attempts. Updated by Dispatcher.
	FailedWorkTokens *prometheus.CounterVec

	// TrainerIdle counts the duration of trainers' pulls in seconds. Updated by
	// Steps.
	TrainerIdle *prometheus.CounterVec
	// SamplesDelivered counts samples sent to trainers. Updated by Observe.
	SamplesDelivered *prometheus.CounterVec

	// UsageReports counts usage reports that billing accepted. Updated by Observe.
	UsageReports *prometheus.CounterVec
	// UsageIncomplete counts usage reports that lack usage of a dead VM. Updated
	// by Observe.
	UsageIncomplete *prometheus.CounterVec
	// UsageCorrected counts usage reports that correct an earlier window. Updated
	// by Observe.
	UsageCorrected *prometheus.CounterVec
	// UsageDelay is the time from the end of a usage window until billing accepts
	// its report, in seconds. Updated by Observe.
	UsageDelay prometheus.Histogram

	// usageWindow is the length of a usage window.
	usageWindow time.Duration
}

// Label names.
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
	// waitBuckets range from the wait when a slot is free to a wait longer than any
	// timeout, in seconds.
	waitBuckets = []float64{0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 60, 300}
	// delayBuckets range up to several usage windows, in seconds.
	delayBuckets = []float64{1, 5, 15, 60, 300, 900, 3600}
)

// New returns metrics registered with registerer. usageWindow is the length of a
// usage window.
func New(registerer prometheus.Registerer, usageWindow time.Duration) *Metrics {
	b := builder{registerer: registerer}
	return &Metrics{
		usageWindow: usageWindow,

		Events:           b.counter("events_total", "Events by number.", labelNumber),
		RequestsAnswered: b.counter("requests_answered_total", "Requests whose caller received the complete answer.", labelAccount),
		ServedTokens:     b.counter("served_tokens_total", "Tokens of complete answers, which measure the service that an account received.", labelAccount),
		RequestsRefused:  b.counter("requests_refused_total", "Refused requests by failure code and by whether the request ran.", labelCode, labelExecution),
		AttemptsFailed:   b.counter("attempts_failed_total", "Failed attempts by failure code.", labelCode),
		Revision:         b.gauge("configuration_revision", "The configuration revision in force on this VM."),

		QueueWait:        b.histogram("queue_wait_seconds", "Time in the fair queue until a slot of an upstream was granted or the work was refused.", waitBuckets, labelAccount),
		WorkTokens:       b.counter("work_tokens_total", "Cost of all attempts in tokens, including failed attempts, by whether the upstream is reclaimable.", labelAccount, labelReclaimable),
		FailedWorkTokens: b.counter("failed_work_tokens_total", "The part of work_tokens_total that belongs to attempts that failed because of the upstream.", labelAccount, labelReclaimable),

		TrainerIdle:      b.counter("trainer_idle_seconds_total", "Duration of trainers' pulls, until their first sample or their end without one.", labelAccount),
		SamplesDelivered: b.counter("samples_delivered_total", "Samples sent to trainers; samples of a repeated pull count again.", labelAccount),

		UsageReports:    b.counter("usage_reports_total", "Usage reports that billing accepted.", labelAccount),
		UsageIncomplete: b.counter("usage_reports_incomplete_total", "Usage reports that lack usage of a dead VM.", labelAccount),
		UsageCorrected:  b.counter("usage_reports_corrected_total", "Usage reports that correct an earlier window.", labelAccount),
		UsageDelay:      b.unlabeledHistogram("usage_report_delay_seconds", "Time from the end of a usage window until billing accepted its report.", delayBuckets),
	}
}

// namespace is the prefix of all metric names.
const namespace = "dogwoodpond"

// builder creates collectors and registers them.
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

func (b builder) unlabeledHistogram(name, help string, buckets []float64) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
	b.registerer.MustRegister(h)
	return h
}
