package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var link = regexp.MustCompile(`\]\(([^)#:]+)\)`)

// Guards against links of pages to files that were moved or deleted.
func TestLinksOfPagesPointToFiles(t *testing.T) {
	pages := []string{"README.md", "CONTRIBUTING.md"}
	for _, pattern := range []string{"docs/*.md", "docs/design/*.md"} {
		found, err := filepath.Glob(Path(pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range found {
			pages = append(pages, filepath.Join(filepath.Dir(pattern), filepath.Base(path)))
		}
	}
	for _, page := range pages {
		for _, target := range link.FindAllStringSubmatch(read(t, page), -1) {
			if _, err := os.Stat(Path(filepath.Join(filepath.Dir(page), target[1]))); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, target[1])
			}
		}
	}
}

func TestDesignIndexListsAllNotes(t *testing.T) {
	index := read(t, "docs/design/README.md")
	notes, err := filepath.Glob(Path("docs/design/*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, note := range notes {
		name := filepath.Base(note)
		if name != "README.md" && !strings.Contains(index, "`"+name+"`") {
			t.Errorf("docs/design/README.md does not list %s", name)
		}
	}
}

var required = regexp.MustCompile(`(?m)^\t(\S+) v\S+$`)

// Guards against a library in go.mod whose choice docs/LIBRARIES.md does not explain.
func TestLibrariesPageListsAllDirectRequirements(t *testing.T) {
	page := read(t, "docs/LIBRARIES.md")
	for _, found := range required.FindAllStringSubmatch(read(t, "go.mod"), -1) {
		name := strings.TrimPrefix(found[1], "github.com/")
		name = regexp.MustCompile(`/v\d+$`).ReplaceAllString(name, "")
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/LIBRARIES.md does not list %s", name)
		}
	}
}

func TestArchitecturePageListsAllPackages(t *testing.T) {
	_, table, _ := strings.Cut(read(t, "docs/ARCHITECTURE.md"), "## Packages")
	entries, err := os.ReadDir(Path("internal"))
	if err != nil {
		t.Fatal(err)
	}
	listed := regexp.MustCompile("`([a-z]+)`").FindAllString(table, -1)
	for _, entry := range entries {
		if entry.IsDir() && !slices.Contains(listed, "`"+entry.Name()+"`") {
			t.Errorf("docs/ARCHITECTURE.md does not list internal/%s", entry.Name())
		}
	}
}
