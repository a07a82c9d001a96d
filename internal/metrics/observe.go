package metrics

import (
	"strings"

	"dogwoodpond/internal/event"
)

// Observe counts an event. It is given to event.Recorder.Observe.
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
		m.UsageReports.WithLabelValues(e.Account).Inc()
	case event.UsageIncomplete:
		m.UsageIncomplete.WithLabelValues(e.Account).Inc()
	}
}
