package entry

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/doccheck"
	"dogwoodpond/internal/fault"
)

// Callers implement their handling of refusals from docs/API.md. If a status
// differed, they would retry what they must not, or not retry what they could.
func TestAPIPageHasTheStatusesOfAllCodes(t *testing.T) {
	codes := doccheck.Column(t, "docs/API.md", "codes", 0)
	cells := doccheck.Column(t, "docs/API.md", "codes", 1)
	for i, code := range codes {
		status, known := httpStatuses[fault.Code(code)]
		want := strconv.Itoa(status)
		if cells[i] == want || !known && (cells[i] == "-" || cells[i] == "500") {
			continue
		}
		t.Errorf("%s has status %s on the page and %s in the code", code, cells[i], want)
	}
}

// Callers don't know of a route that docs/API.md does not list, and a route
// that only the page lists is refused.
func TestAPIPageListsTheCallersRoutes(t *testing.T) {
	s := NewServer(Config{Registry: prometheus.NewRegistry()})
	var routes []string
	for _, route := range slices.Concat(s.health().Routes(), s.api().Routes()) {
		path := strings.Replace(route.Path, "{path:*}", "{path}", 1)
		// The router has a second route for a service without a path.
		if strings.HasSuffix(path, "/{service}") {
			continue
		}
		routes = append(routes, route.Method+" "+path)
	}
	slices.Sort(routes)
	if listed := doccheck.Calls(t, "docs/API.md", "callers"); !slices.Equal(listed, routes) {
		t.Errorf("the page lists\n%v\nthe code has\n%v", listed, routes)
	}
}
