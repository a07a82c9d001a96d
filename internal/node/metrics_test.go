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
	"dogwoodpond/internal/logsink"
)

func newMetrics() *Metrics { return NewMetrics(logsink.New(discard{}), NewLife()) }

type discard struct{}

func (discard) Write(p []byte) (int, error) { return io.Discard.Write(p) }

// touch makes every metric appear.
func touch(m *Metrics) {
	m.Observe(event.Record{Number: event.RequestRefused, Subject: event.Subject{Detail: "code run"}})
	m.Observe(event.Record{Number: event.AttemptFailed, Subject: event.Subject{Detail: "broke off after event 3"}})
	m.Observe(event.Record{Number: event.SamplesCommitted, Subject: event.Subject{Count: 2, Detail: "6ms"}})
	m.StoreCall("commit", "answered", time.Millisecond)
	m.Feed("configuration")()
	m.Budget(func() float64 { return 1 })
}

func TestMetricsPageListsThoseOfTheUsersPlatform(t *testing.T) {
	m := newMetrics()
	touch(m)
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

// Details name upstreams and events. As labels they would make a new time series for
// each, and fill the memory of whoever collects them.
func TestReasonsAreFew(t *testing.T) {
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
			t.Errorf("%d reasons, want 2", len(f.GetMetric()))
		}
	}
}
