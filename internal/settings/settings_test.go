package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/doccheck"
	"dogwoodpond/internal/fault"
)

// complete returns a settings file with every required setting and the given changes. A nil
// value removes the setting.
func complete(t *testing.T, changes map[string]any) []byte {
	t.Helper()
	fields := map[string]any{
		"vm":                  "vm-1",
		"failureDomain":       "a",
		"region":              "tayside",
		"callerAddress":       "127.0.0.1:0",
		"operatorAddress":     "127.0.0.1:0",
		"peerAddress":         "127.0.0.1:0",
		"platformUrl":         "http://127.0.0.1:9",
		"operatorTokenSha256": strings.Repeat("ab", 32),
	}
	maps.Copy(fields, changes)
	maps.DeleteFunc(fields, func(_ string, value any) bool { return value == nil })
	text, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// faultsOf returns the sorted names of the fields in which Parse finds a fault.
func faultsOf(t *testing.T, text []byte) []string {
	t.Helper()
	_, err := Parse(text)
	if err == nil {
		return nil
	}
	var invalid *fault.SettingsInvalid
	if !errors.As(err, &invalid) {
		t.Fatalf("Parse fails with %v, want *fault.SettingsInvalid", err)
	}
	var names []string
	for _, f := range invalid.Faults {
		if f.Allowed == "" {
			t.Errorf("the fault of %s does not describe the allowed values", f.Field)
		}
		names = append(names, f.Field)
	}
	slices.Sort(names)
	return names
}

func TestCompleteSettings(t *testing.T) {
	got, err := Parse(complete(t, map[string]any{"drainSeconds": 30}))
	if err != nil {
		t.Fatal(err)
	}
	if got.DrainSeconds != 30 || got.LeaseTermMillis != Default().LeaseTermMillis || got.VM != "vm-1" {
		t.Errorf("settings are %+v", got)
	}
}

// An operator writes a new file with several faults. If only the first were reported, each
// start of the VM would fail at the next one.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	got := faultsOf(t, complete(t, map[string]any{
		"vm":                  nil,
		"callerAdress":        "127.0.0.1:1",
		"callerAddress":       "berry.example:80",
		"leaseTermMillis":     "ten",
		"drainSeconds":        0,
		"logLevel":            "loud",
		"platformUrl":         "ftp://x",
		"operatorTokenSha256": "zz",
		"seeds":               []string{"nowhere"},
	}))
	want := []string{
		"callerAddress", "callerAdress", "drainSeconds", "leaseTermMillis", "logLevel",
		"operatorTokenSha256", "platformUrl", "seeds[0]", "vm",
	}
	if !slices.Equal(got, want) {
		t.Errorf("faults of %v, want %v", got, want)
	}
}

func TestTextMustBeOneObject(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "null", "7", `{"vm":"a"} {"vm":"b"}`} {
		if got := faultsOf(t, []byte(text)); !slices.Equal(got, []string{"file"}) {
			t.Errorf("%q has faults of %v", text, got)
		}
	}
	_, err := Load(filepath.Join(t.TempDir(), "absent.json"))
	if !fault.Is[*fault.SettingsInvalid](err) {
		t.Errorf("a missing file fails with %v", err)
	}
}

// A setting with the value null must be rejected. JSON decoding would ignore it and leave the
// default or empty value, which the file does not show.
func TestNullIsRejected(t *testing.T) {
	text := bytes.Replace(complete(t, nil), []byte(`"vm-1"`), []byte("null"), 1)
	if got := faultsOf(t, text); !slices.Equal(got, []string{"vm"}) {
		t.Errorf("faults of %v", got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vm":"a","seeds":["127.0.0.1:1"],"drainSeconds":1}`))
	f.Add([]byte(`{"vm":null,"x":[{}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := Parse(text)
		if err != nil && !fault.Is[*fault.SettingsInvalid](err) {
			t.Errorf("Parse fails with an untyped %v", err)
		}
		if err == nil && len(check(got)) > 0 {
			t.Errorf("Parse accepts %+v", got)
		}
	})
}

// The settings page must equal the table that is generated from the comments, tags and
// defaults of the struct Daemon.
func TestSettingsPageEqualsTheStruct(t *testing.T) {
	comments := commentsOf(t)
	defaults := reflect.ValueOf(Default())
	var page strings.Builder
	page.WriteString("| setting | default | allowed | meaning |\n|---|---|---|---|\n")
	for _, f := range reflect.VisibleFields(defaults.Type()) {
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n",
			jsonName(f), defaultOf(defaults.FieldByIndex(f.Index)), rulesOf(f), comments[f.Name])
	}
	doccheck.Section(t, "docs/SETTINGS.md", "settings", page.String())
}

// defaultOf returns the page's text for a default value.
func defaultOf(value reflect.Value) string {
	if value.IsZero() {
		return "none"
	}
	return fmt.Sprintf("`%v`", value.Interface())
}

// rulesOf returns the page's text for the type and the validation rules of a setting.
func rulesOf(f reflect.StructField) string {
	rules := []string{describeType(f.Type)}
	for rule := range strings.SplitSeq(f.Tag.Get("validate"), ",") {
		tag, parameter, _ := strings.Cut(rule, "=")
		switch tag {
		case "required":
			rules = append(rules, "required")
		case "dive":
			rules = append(rules, "each")
		default:
			rules = append(rules, DescribeRule(tag, parameter))
		}
	}
	return strings.Join(rules, ", ")
}

// commentsOf returns the doc comments of the fields of Daemon, by field name.
func commentsOf(t *testing.T) map[string]string {
	t.Helper()
	source, err := os.ReadFile("settings.go")
	if err != nil {
		t.Fatal(err)
	}
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", source, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	comments := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		declared, ok := n.(*ast.TypeSpec)
		if !ok || declared.Name.Name != "Daemon" {
			return true
		}
		for _, f := range declared.Type.(*ast.StructType).Fields.List {
			comments[f.Names[0].Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
		}
		return false
	})
	return comments
}
