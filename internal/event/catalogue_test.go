package event

import (
	"fmt"
	"strings"
	"testing"

	"dogwoodpond/internal/doccheck"
)

func TestEventsPageMatchesCatalogue(t *testing.T) {
	var page strings.Builder
	page.WriteString("| number | level | event | meaning |\n|---|---|---|---|\n")
	for _, d := range Catalogue {
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n", d.Number, d.Level, d.Name, d.Meaning)
	}
	doccheck.Section(t, "docs/EVENTS.md", "events", page.String())
}

// Two events with the same number could not be distinguished, and an event without
// an entry in the catalogue would be recorded without a name.
func TestCatalogueNumbersAscendAndNamesAreUnique(t *testing.T) {
	last := Number(0)
	names := map[string]bool{}
	for _, d := range Catalogue {
		if d.Number <= last {
			t.Errorf("%s is listed after %s", d.Number, last)
		}
		if names[d.Name] {
			t.Errorf("duplicate name %q", d.Name)
		}
		if d.Name == "" || !strings.HasSuffix(d.Meaning, ".") {
			t.Errorf("%s has name %q and meaning %q; want a name, and a meaning that ends with a full stop", d.Number, d.Name, d.Meaning)
		}
		last, names[d.Name] = d.Number, true
	}
}
