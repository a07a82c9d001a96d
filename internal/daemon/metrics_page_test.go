package daemon

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/doccheck"
	"dogwoodpond/internal/settings"
)

// described matches the text of a prometheus.Desc, which has no other accessors.
var described = regexp.MustCompile(`fqName: "(dogwoodpond_[a-z_]+)", help: "(.*?)", (?:unit: ".*", )?constLabels: {}, variableLabels: {(.*)}}`)

// registered lists all metrics of the project that a registry knows, also
// vectors that have no value yet, as rows of a table.
func registered(t *testing.T, registry *prometheus.Registry) []string {
	t.Helper()
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		registry.Describe(descriptions)
	}()
	var rows []string
	for d := range descriptions {
		parts := described.FindStringSubmatch(d.String())
		if parts == nil {
			if strings.Contains(d.String(), "dogwoodpond_") {
				t.Errorf("can't read %s", d)
			}
			continue
		}
		labels := strings.ReplaceAll(parts[3], ",", ", ")
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", parts[1], labels, parts[2]))
	}
	slices.Sort(rows)
	return rows
}

// A metric that the page does not name is found by nobody, and one that only the
// page names makes a chart that is empty for ever.
func TestMetricsPageIsWhatADaemonExposes(t *testing.T) {
	s := settings.Default()
	s.VM, s.FailureDomain, s.PlatformURL = "vm-1", "a", "http://127.0.0.1:1"
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	page := "| metric | labels | meaning |\n|---|---|---|\n" + strings.Join(registered(t, d.registry), "")
	doccheck.Section(t, "docs/METRICS.md", "metrics", page)
}
