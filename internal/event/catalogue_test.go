package event

import (
	"fmt"
	"strings"
	"testing"

	"dogwoodpond/internal/doccheck"
)

func TestEventsPageIsTheCatalogue(t *testing.T) {
	var page strings.Builder
	page.WriteString("| number | level | event | meaning |\n|---|---|---|---|\n")
	for _, d := range Catalogue {
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n", d.Number, d.Level, d.Name, d.Meaning)
	}
	doccheck.Section(t, "docs/EVENTS.md", "events", page.String())
}

// Two events with one number would be read as each other, and one that lacks in
// the catalogue would show without a name.
func TestNumbersAreUniqueAndInOrder(t *testing.T) {
	last := Number(0)
	names := map[string]bool{}
	for _, d := range Catalogue {
		if d.Number <= last {
			t.Errorf("%s comes after %s", d.Number, last)
		}
		if names[d.Name] {
			t.Errorf("the name %q stands twice", d.Name)
		}
		if d.Name == "" || !strings.HasSuffix(d.Meaning, ".") {
			t.Errorf("%s has the name %q and the meaning %q", d.Number, d.Name, d.Meaning)
		}
		last, names[d.Name] = d.Number, true
	}
}
