package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dogwoodpond/internal/configcheck"
	"dogwoodpond/internal/route"
)

// fakeReader reads a configuration whose only route has the text as its name. A text with
// "refused" is refused, and one with "warning" has a warning.
func fakeReader(text []byte) configcheck.Configuration {
	name := string(text)
	routes := []*route.Route{{Name: name, Host: "h", Prefix: "/", Split: []route.Share{{Service: "s", Weight: 1}}}}
	services := map[string]*route.Service{"s": {Name: "s"}}
	c := configcheck.Configuration{Snapshot: route.NewSnapshot(int64(len(text)), routes, services, route.Limits{}, nil, false)}
	if c.Refused = strings.Contains(name, "refused"); c.Refused {
		c.Problems = []configcheck.Problem{{Severity: configcheck.Error, Path: "line 1", Allowed: "valid JSON"}}
	}
	if strings.Contains(name, "warning") {
		c.Problems = []configcheck.Problem{{Severity: configcheck.Warning, Path: "odd"}}
	}
	return c
}

// Guards against a script that sends a faulty configuration, because the exit code does not
// tell it from a sound one, and against a file without bound.
func TestConfigCheckExitsByTheWorstProblem(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, c := range []struct {
		arguments []string
		code      int
		shown     string
	}{
		{[]string{write("ok")}, ExitOK, "configuration: ok"},
		{[]string{write("warning")}, ExitWarnings, "odd"},
		{[]string{write("refused")}, ExitInvalid, "line 1"},
		{[]string{write("refused"), "--output", "json"}, ExitInvalid, `"errors": 1`},
		{[]string{write(strings.Repeat("x", maxConfigurationFileBytes+1))}, ExitInvalid, "larger than 1048576 bytes"},
		{[]string{write("newer"), "--against", write("old")}, ExitOK, "routes[newer]"},
		{[]string{write("ok"), "--against", write("ok")}, ExitOK, "no change"},
		{[]string{write("ok"), "--against", write("newer")}, ExitInvalid, "greater than 5"},
		{[]string{write("ok"), "--against", write("refused")}, ExitInvalid, "no configuration"},
	} {
		out, notes, code := runWith(nil, append([]string{"config", "check"}, c.arguments...)...)
		if code != c.code || !strings.Contains(out+notes, c.shown) {
			t.Errorf("%v exits with %d, want %d, and shows %q:\n%s%s", c.arguments, code, c.code, c.shown, out, notes)
		}
	}
}
