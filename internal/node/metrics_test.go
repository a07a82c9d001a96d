package node

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"testing"
	"time"

	"dogwoodpond/internal/doccheck"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/ingress"
	"dogwoodpond/internal/logsink"
)

func newMetrics() *Metrics { return NewMetrics(logsink.New(discard{}), NewIncarnation()) }

type discard struct{}

func (discard) Write(p []byte) (int, error) { return io.Discard.Write(p) }

// observeSamples records values and registers the metrics of other components, since a vector
// without values is not gathered. It omits dogwoodpond_score_calls_total and
// dogwoodpond_evacuated_domains.
func observeSamples(m *Metrics) {
	m.Observe(event.Record{Number: event.RequestRefused, Subject: event.Subject{Detail: "code run"}})
	m.Observe(event.Record{Number: event.AttemptFailed, Subject: event.Subject{Detail: "broke off after event 3"}})
	m.Observe(event.Record{Number: event.SamplesCommitted, Subject: event.Subject{Count: 2, Detail: "6ms"}})
	m.ObserveStoreCall("commit", "answered", time.Millisecond)
	m.SetQueueLength("desk", 0)
	m.ObserveWait("desk", 0, time.Millisecond)
	m.CountShed("desk", 0, "queue full")
	m.ingress.CountClosed(ingress.HeadTooLarge)
	m.RegisterListAge("configuration")()
	m.CountPrompt("lm", 1, 1)
	m.RegisterBackoffFactor(func() float64 { return 1 })
}

func TestMetricsPageListsNodeMetrics(t *testing.T) {
	m := newMetrics()
	observeSamples(m)
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, f := range families {
		if !strings.HasPrefix(f.GetName(), "dogwoodpond_") {
			continue
		}
		var labels []string
		for _, l := range f.GetMetric()[0].GetLabel() {
			labels = append(labels, l.GetName())
		}
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |", f.GetName(), strings.Join(labels, ", "), f.GetHelp()))
	}
	sort.Strings(rows)
	doccheck.Section(t, "docs/METRICS.md", "host-metrics", "| metric | labels | meaning |\n|---|---|---|\n"+strings.Join(rows, "\n"))
}

// The detail of a failed attempt contains the upstream or the number of an event. If the
// reason label contained them too, each would add a time series, and the memory use of the
// metrics server would grow without limit.
func TestAttemptReasonLabelHasFewValues(t *testing.T) {
	m := newMetrics()
	for n := range 20 {
		m.Observe(event.Record{Number: event.AttemptFailed, Subject: event.Subject{Detail: fmt.Sprintf("broke off after event %d", n)}})
		m.Observe(event.Record{Number: event.AttemptFailed, Subject: event.Subject{Detail: fmt.Sprintf("upstream_failed unknown: upstream i-%d failed", n)}})
	}
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "dogwoodpond_attempts_failed_total" && len(f.GetMetric()) != 2 {
			t.Errorf("%d values of the reason label, want 2", len(f.GetMetric()))
		}
	}
}
