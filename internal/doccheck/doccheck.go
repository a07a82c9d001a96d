// Package doccheck lets tests compare documentation pages with the code. A section of a
// page begins with "<!-- begin NAME -->" on a line and ends with "<!-- end NAME -->".
package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// UpdateVariable is the environment variable that makes Section update a page that differs
// from the code instead of failing the test; "make docs" sets it.
const UpdateVariable = "DOGWOODPOND_UPDATE_DOCS"

// Path returns the path of a file, given relative to the root of the repository.
func Path(name string) string {
	_, self, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(self), "..", "..", name)
}

// Read returns the text of a page, given by its path as for Path.
func Read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Section fails the test unless the text of the page's section equals wanted. With
// UpdateVariable set it updates the page instead.
func Section(t *testing.T, page, section, wanted string) {
	t.Helper()
	before, got, after := split(t, page, section)
	if got == wanted {
		return
	}
	if os.Getenv(UpdateVariable) == "" {
		t.Errorf("%s, section %s, differs from the code; run 'make docs' and commit the result.\nThe page has:\n%s\nThe code has:\n%s", page, section, got, wanted)
		return
	}
	if err := os.WriteFile(Path(page), []byte(before+wanted+after), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Column returns the cells of a column of the table in a page's section, without the
// heading and without backquotes. Columns are counted from 0.
func Column(t *testing.T, page, section string, column int) []string {
	t.Helper()
	_, text, _ := split(t, page, section)
	var cells []string
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		parts := strings.Split(line, "|")
		if i < headerLines || len(parts) < column+headerLines {
			continue
		}
		cells = append(cells, strings.Trim(strings.TrimSpace(parts[column+1]), "`"))
	}
	return cells
}

// call matches an HTTP method and a path, without a query.
var call = regexp.MustCompile("(GET|PUT|POST|DELETE) (/[^ ?`]*)")

// Calls returns the calls in the first column of the table in a page's section, as
// "METHOD /path", sorted and without duplicates.
func Calls(t *testing.T, page, section string) []string {
	t.Helper()
	var calls []string
	for _, cell := range Column(t, page, section, 0) {
		calls = append(calls, call.FindAllString(cell, -1)...)
	}
	slices.Sort(calls)
	return slices.Compact(calls)
}

// headerLines is the number of lines of a Markdown table before its first row: the
// heading and the delimiter.
const headerLines = 2

// split returns the text of a page before, inside and after a section; the markers of the
// section are in before and after.
func split(t *testing.T, page, section string) (before, inside, after string) {
	t.Helper()
	text, err := os.ReadFile(Path(page))
	if err != nil {
		t.Fatal(err)
	}
	begin, end := "<!-- begin "+section+" -->\n", "<!-- end "+section+" -->"
	before, rest, ok := strings.Cut(string(text), begin)
	inside, after, closed := strings.Cut(rest, end)
	if !ok || !closed {
		t.Fatalf("%s has no section %s", page, section)
	}
	return before + begin, inside, end + after
}
