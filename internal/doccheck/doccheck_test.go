package doccheck

import (
	"slices"
	"strings"
	"testing"
)

// Guards against errors of Column in reading a table: tests that compare a page with the code
// would then compare the wrong text.
func TestColumnReturnsCellsWithoutHeadingAndQuotes(t *testing.T) {
	codes := Column(t, "docs/API.md", "codes", 0)
	if !slices.Contains(codes, "key_withdrawn") || slices.Contains(codes, "code") {
		t.Errorf("the first column is %v", codes)
	}
	for _, status := range Column(t, "docs/API.md", "codes", 1) {
		if strings.ContainsAny(status, "|`") {
			t.Errorf("a cell of the second column is %q", status)
		}
	}
}
