package metrics

import (
	"strings"
	"time"

	"dogwoodpond/internal/event"
)

// noteReport counts an accepted usage report. The Count of its event is the start of
// the usage window in seconds since the Unix epoch.
func (m *Metrics) noteReport(e event.Record) {
	m.UsageReports.WithLabelValues(e.Account).Inc()
	end := time.Unix(e.Count, 0).Add(m.usageWindow)
	m.UsageDelay.Observe(time.UnixMicro(e.Stamp.WallMicros).Sub(end).Seconds())
	if e.Detail == event.DetailCorrected {
		m.UsageCorrected.WithLabelValues(e.Account).Inc()
	}
}

// Observe updates the metrics that depend on an event. It is the observer to pass to
// event.Recorder.Observe.
func (m *Metrics) Observe(e event.Record) {
	m.Events.WithLabelValues(e.Number.String()).Inc()
	count := float64(e.Count)
	switch e.Number {
	case event.RevisionApplied:
		m.Revision.Set(float64(e.Revision))
	case event.RequestAnswered:
		m.RequestsAnswered.WithLabelValues(e.Account).Inc()
		m.ServedTokens.WithLabelValues(e.Account).Add(count)
	case event.RequestRefused:
		code, execution, _ := strings.Cut(e.Detail, "/")
		m.RequestsRefused.WithLabelValues(code, execution).Inc()
	case event.AttemptFailed:
		m.AttemptsFailed.WithLabelValues(e.Detail).Inc()
	case event.SamplesDelivered:
		m.SamplesDelivered.WithLabelValues(e.Account).Add(count)
	case event.UsageReported:
		m.noteReport(e)
	case event.UsageIncomplete:
		m.UsageIncomplete.WithLabelValues(e.Account).Inc()
	}
}
