package entry

import (
	"strconv"
	"testing"

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
