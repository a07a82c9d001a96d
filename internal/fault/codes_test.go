package fault

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"testing"

	"dogwoodpond/internal/doccheck"
)

// Callers and operators look up failure codes in these documents, so every code must be
// listed there.
func TestDocumentsListAllCodes(t *testing.T) {
	for _, page := range []string{"docs/API.md", "docs/OPERATIONS.md"} {
		var listed []Code
		for _, cell := range doccheck.Column(t, page, "codes", 0) {
			listed = append(listed, Code(cell))
		}
		if !slices.Equal(listed, Codes) {
			t.Errorf("%s lists\n%v\nCodes lists\n%v", page, listed, Codes)
		}
	}
}

func TestCodesListsAllDeclaredCodes(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "types.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var declared []Code
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		name, isCode := spec.Type.(*ast.Ident)
		if !ok || !isCode || name.Name != "Code" {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		declared = append(declared, Code(text))
		return true
	})
	if !slices.Equal(declared, Codes) {
		t.Errorf("the constants are\n%v\nCodes lists\n%v", declared, Codes)
	}
}
