// Package doccheck helps tests to hold pages equal to the code. A page marks a
// section by the lines "<!-- begin NAME -->" and "<!-- end NAME -->".
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

// UpdateVariable is the environment variable that makes Section write the page
// instead of comparing; "make docs" sets it.
const UpdateVariable = "DOGWOODPOND_UPDATE_DOCS"

// Path returns the path of a file named from the repository's root.
func Path(name string) string {
	_, self, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(self), "..", "..", name)
}

// Read returns the text of a page of the repository.
func Read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Section fails the test unless the page's section holds exactly wanted.
func Section(t *testing.T, page, section, wanted string) {
	t.Helper()
	before, got, after := split(t, page, section)
	if got == wanted {
		return
	}
	if os.Getenv(UpdateVariable) == "" {
		t.Errorf("%s, section %s, is not what the code says; run 'make docs' and commit the result.\nThe page has:\n%s\nThe code says:\n%s", page, section, got, wanted)
		return
	}
	if err := os.WriteFile(Path(page), []byte(before+wanted+after), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Column returns the cells of one column, counted from 0, of the table in a
// page's section, without the header and without backquotes.
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

// call matches a method and a path, up to a query.
var call = regexp.MustCompile("(GET|PUT|POST|DELETE) (/[^ ?`]*)")

// Calls returns the calls, as "METHOD /path", that the first column of the
// table in a page's section names, sorted and each once.
func Calls(t *testing.T, page, section string) []string {
	t.Helper()
	var calls []string
	for _, cell := range Column(t, page, section, 0) {
		calls = append(calls, call.FindAllString(cell, -1)...)
	}
	slices.Sort(calls)
	return slices.Compact(calls)
}

// headerLines are the heading of a Markdown table and the line under it.
const headerLines = 2

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
