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

// descPattern matches the string of a prometheus.Desc, which has no accessors for its parts.
var descPattern = regexp.MustCompile(`fqName: "(dogwoodpond_[a-z_]+)", help: "(.*?)", (?:unit: ".*", )?constLabels: {}, variableLabels: {(.*)}}`)

// registeredMetrics returns a table row for each metric of the project in a registry,
// including vectors without values.
func registeredMetrics(t *testing.T, registry *prometheus.Registry) []string {
	t.Helper()
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		registry.Describe(descriptions)
	}()
	var rows []string
	for d := range descriptions {
		parts := descPattern.FindStringSubmatch(d.String())
		if parts == nil {
			if strings.Contains(d.String(), "dogwoodpond_") {
				t.Errorf("can't parse the metric description %s", d)
			}
			continue
		}
		labels := strings.ReplaceAll(parts[3], ",", ", ")
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", parts[1], labels, parts[2]))
	}
	slices.Sort(rows)
	return rows
}

// Operators do not find a metric that is missing from the page, and a chart of a metric that
// is only on the page stays empty.
func TestMetricsPageListsDaemonMetrics(t *testing.T) {
	s := settings.Default()
	s.VM, s.FailureDomain, s.PlatformURL = "vm-1", "a", "http://127.0.0.1:1"
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	page := "| metric | labels | meaning |\n|---|---|---|\n" + strings.Join(registeredMetrics(t, d.registry), "")
	doccheck.Section(t, "docs/METRICS.md", "metrics", page)
}
