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

// Callers write their handling of refusals from the page. A status that differs
// makes them retry what they must not, or give up what they could retry.
func TestAPIPageHasTheStatusesOfAllCodes(t *testing.T) {
	codes := doccheck.Column(t, "docs/API.md", "codes", 0)
	cells := doccheck.Column(t, "docs/API.md", "codes", 1)
	for i, code := range codes {
		status, known := statuses[fault.Code(code)]
		want := strconv.Itoa(status)
		if cells[i] == want || !known && (cells[i] == "-" || cells[i] == "500") {
			continue
		}
		t.Errorf("%s has status %s on the page and %s in the code", code, cells[i], want)
	}
}

// A call that the page does not name is used by nobody, and one that only the
// page names is refused.
func TestAPIPageListsTheCallersRoutes(t *testing.T) {
	s := NewServer(Config{Registry: prometheus.NewRegistry()})
	var routes []string
	for _, route := range slices.Concat(s.health().Routes(), s.api().Routes()) {
		path := strings.Replace(route.Path, "{path:*}", "{path}", 1)
		// The path of a service may be empty.
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
