// Package metrics holds the metrics of a VM. One typed struct has a field for
// each; docs/METRICS.md lists them, and a test holds it equal to what the
// registry exposes. No label ever holds a key, a prompt or an answer.
//
// Metrics are fed in three ways: from events (Observe), by a decorator around
// the dispatcher (Dispatcher), and by direct calls of the package that knows.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Kind is the kind of a metric.
type Kind string

// The kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Definition describes one metric for the page.
type Definition struct {
	Name   string
	Kind   Kind
	Labels []string
	Help   string
	// Fed names the package that feeds the metric.
	Fed string
}

// Metrics holds the collectors of one VM. All are safe for concurrent use.
type Metrics struct {
	// Definitions lists all metrics in the order of their construction.
	Definitions []Definition

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

	// TrainerIdle counts the seconds that a trainer's pull waited for its first
	// sample. To be fed by entry, once for each pull.
	TrainerIdle *prometheus.CounterVec
	// SamplesDelivered counts delivered samples. Fed by Observe.
	SamplesDelivered *prometheus.CounterVec
	// SamplesCommitted counts committed samples. Fed by Observe.
	SamplesCommitted *prometheus.CounterVec
	// SamplesRejected counts stale or unattributable samples. Fed by Observe.
	SamplesRejected *prometheus.CounterVec
	// StalenessVersions is how many versions a sample was behind at its
	// delivery. To be fed by rollout, once for each delivered sample.
	StalenessVersions *prometheus.HistogramVec
	// StalenessSeconds is how long the oldest version in a sample had been
	// superseded at its delivery. To be fed by rollout with StalenessVersions.
	StalenessSeconds *prometheus.HistogramVec

	// UsageReports counts reports that billing accepted. Fed by Observe.
	UsageReports *prometheus.CounterVec
	// UsageIncomplete counts reports that lack figures of a VM that died. Fed
	// by Observe.
	UsageIncomplete *prometheus.CounterVec
	// UsageCorrected counts reports with a correction of an earlier window. To
	// be fed by usage when billing accepts the report.
	UsageCorrected *prometheus.CounterVec
	// UsageDelay is the time from a window's end to billing's acceptance. To be
	// fed by usage when billing accepts the report.
	UsageDelay prometheus.Histogram
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

// Who feeds a metric.
const (
	fedByEvents     = "events"
	fedByDispatcher = "dispatcher"
	fedByDirectory  = "list of upstreams"
	fedByEntry      = "not fed yet (entry)"
	fedByRollout    = "not fed yet (rollout)"
	fedByUsage      = "not fed yet (usage)"
)

var (
	// waitBuckets span from a place that is free to a wait beyond every timeout.
	waitBuckets = []float64{0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 60, 300}
	// versionBuckets count weight versions.
	versionBuckets = []float64{0, 1, 2, 3, 5, 10}
	// ageBuckets are in seconds around a few rounds of weights.
	ageBuckets = []float64{0, 15, 60, 180, 600, 1200, 3600}
	// delayBuckets are in seconds around a few usage windows.
	delayBuckets = []float64{1, 5, 15, 60, 300, 900, 3600}
)

// New registers all metrics and returns them.
func New(registerer prometheus.Registerer) *Metrics {
	b := &builder{registerer: registerer}
	m := &Metrics{
		Events:           b.counter("events_total", fedByEvents, "Events by their number.", labelNumber),
		RequestsAnswered: b.counter("requests_answered_total", fedByEvents, "Requests whose caller got the whole answer.", labelAccount),
		ServedTokens:     b.counter("served_tokens_total", fedByEvents, "Tokens of whole answers: the service delivered.", labelAccount),
		RequestsRefused:  b.counter("requests_refused_total", fedByEvents, "Refusals by code and by what is known of the run.", labelCode, labelExecution),
		AttemptsFailed:   b.counter("attempts_failed_total", fedByEvents, "Failed attempts by code.", labelCode),
		Revision:         b.gauge("configuration_revision", fedByEvents, "The revision in force on this VM."),

		QueueWait:        b.histogram("queue_wait_seconds", fedByDispatcher, "Time in the fair queue until a place on an upstream was granted.", waitBuckets, labelAccount),
		WorkTokens:       b.counter("work_tokens_total", fedByDispatcher, "Cost of all attempts in tokens, by whether the upstream is reclaimable.", labelAccount, labelReclaimable),
		FailedWorkTokens: b.counter("failed_work_tokens_total", fedByDispatcher, "The part of work_tokens_total whose attempt failed by the upstream's fault.", labelAccount, labelReclaimable),

		TrainerIdle:       b.counter("trainer_idle_seconds_total", fedByEntry, "Time that trainers' pulls waited for a sample.", labelAccount),
		SamplesCommitted:  b.counter("samples_committed_total", fedByEvents, "Samples committed to their step.", labelAccount),
		SamplesDelivered:  b.counter("samples_delivered_total", fedByEvents, "Samples sent to their trainer; a repeated pull counts again.", labelAccount),
		SamplesRejected:   b.counter("samples_rejected_total", fedByEvents, "Samples that were stale or could not be attributed and are generated again.", labelAccount),
		StalenessVersions: b.histogram("sample_staleness_versions", fedByRollout, "Weight versions that a sample was behind at its delivery.", versionBuckets, labelAccount),
		StalenessSeconds:  b.histogram("sample_staleness_seconds", fedByRollout, "Time since the oldest version in a sample was superseded, at its delivery.", ageBuckets, labelAccount),

		UsageReports:    b.counter("usage_reports_total", fedByEvents, "Usage reports that billing accepted.", labelAccount),
		UsageIncomplete: b.counter("usage_reports_incomplete_total", fedByEvents, "Usage reports that lack figures of a VM that died.", labelAccount),
		UsageCorrected:  b.counter("usage_reports_corrected_total", fedByUsage, "Usage reports with a correction of an earlier window.", labelAccount),
		UsageDelay:      b.plainHistogram("usage_report_delay_seconds", fedByUsage, "Time from a window's end until billing accepted its report.", delayBuckets),
	}
	m.Definitions = b.definitions
	return m
}

// namespace starts the name of every metric.
const namespace = "dogwoodpond"

// builder registers collectors and notes their definitions.
type builder struct {
	registerer  prometheus.Registerer
	definitions []Definition
}

func (b *builder) note(name string, kind Kind, fed, help string, labels []string) {
	b.definitions = append(b.definitions, Definition{
		Name:   namespace + "_" + name,
		Kind:   kind,
		Labels: labels,
		Help:   help,
		Fed:    fed,
	})
}

func (b *builder) counter(name, fed, help string, labels ...string) *prometheus.CounterVec {
	b.note(name, KindCounter, fed, help, labels)
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	b.registerer.MustRegister(c)
	return c
}

func (b *builder) gauge(name, fed, help string) prometheus.Gauge {
	b.note(name, KindGauge, fed, help, nil)
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	b.registerer.MustRegister(g)
	return g
}

func (b *builder) histogram(name, fed, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	b.note(name, KindHistogram, fed, help, labels)
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	b.registerer.MustRegister(h)
	return h
}

func (b *builder) plainHistogram(name, fed, help string, buckets []float64) prometheus.Histogram {
	b.note(name, KindHistogram, fed, help, nil)
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
	b.registerer.MustRegister(h)
	return h
}
