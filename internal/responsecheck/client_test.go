package responsecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/responsecheck/responsetest"
)

// get reads the whole response of a server that sends these bytes.
func get(t *testing.T, response string) (body string, err error) {
	t.Helper()
	client := NewClient(10 * time.Second)
	defer client.CloseIdleConnections()
	received, err := client.Get("http://" + responsetest.Serve(t, response).Address)
	if err != nil {
		return "", err
	}
	defer received.Body.Close()
	all, err := io.ReadAll(received.Body)
	return string(all), err
}

func TestClientTakesValidResponsesAlone(t *testing.T) {
	for _, broken := range append(responsetest.Broken(), responsetest.SpoiltBodies()...) {
		_, err := get(t, broken.Apply(ordinary))
		must.Error(t, err, must.Sprint(broken.Name))
	}
	for _, sound := range responsetest.Sound() {
		body, err := get(t, sound.Apply(ordinary))
		must.NoError(t, err, must.Sprint(sound.Name))
		must.EqOp(t, "body", body)
	}
}

// uncheckedNames are the functions, variables and types by which responses can be read without a check, by import path.
var uncheckedNames = map[string][]string{
	"net/http":                    {"Get", "Head", "Post", "PostForm", "DefaultClient", "DefaultTransport", "ReadResponse"},
	"github.com/valyala/fasthttp": {"Do", "DoTimeout", "DoDeadline", "DoRedirects", "Get", "GetTimeout", "GetDeadline", "Post", "HostClient", "PipelineClient"},
}

// parserNames are the names in fasthttp by which responses are parsed. Files that use them must import this package.
var parserNames = []string{"AcquireResponse", "Response", "ResponseHeader"}

// requiredFields are the fields that a literal of a type must set, so that its responses are checked, by import path and type.
var requiredFields = map[string]map[string]string{
	"net/http":                    {"Client": "Transport", "Transport": "DialContext"},
	"github.com/valyala/fasthttp": {"Client": "Dial"},
}

// TestNothingReadsResponsesUnchecked looks through all code but tests for readers of responses that pass by the check.
func TestNothingReadsResponsesUnchecked(t *testing.T) {
	const root = "../.."
	files := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		must.NoError(t, err)
		switch {
		case entry.IsDir() && (relative == "review" || relative == "internal/responsecheck" || strings.HasPrefix(entry.Name(), ".") && relative != "."):
			return fs.SkipDir
		case !strings.HasSuffix(path, ".go"), strings.HasSuffix(path, "_test.go"), strings.Contains(path, ".twirp."):
			return nil
		}
		files++
		for _, found := range uncheckedReaders(t, path) {
			t.Errorf("%s: read responses through internal/responsecheck", found)
		}
		return nil
	})
	must.NoError(t, err)
	must.Greater(t, 100, files)
}

// uncheckedReaders returns the positions in a file at which responses may be read without a check.
func uncheckedReaders(t *testing.T, path string) []string {
	t.Helper()
	positions := token.NewFileSet()
	file, err := parser.ParseFile(positions, path, nil, parser.SkipObjectResolution)
	must.NoError(t, err)
	imports := map[string]string{}
	for _, imported := range file.Imports {
		importPath := strings.Trim(imported.Path.Value, `"`)
		name := importPath[strings.LastIndex(importPath, "/")+1:]
		if imported.Name != nil {
			name = imported.Name.Name
		}
		imports[name] = importPath
	}
	var found []string
	ast.Inspect(file, func(node ast.Node) bool {
		var unchecked bool
		switch node := node.(type) {
		case *ast.SelectorExpr:
			importPath, name := qualified(node, imports)
			unchecked = slices.Contains(uncheckedNames[importPath], name) ||
				importPath == "github.com/valyala/fasthttp" && slices.Contains(parserNames, name) && imports["responsecheck"] == ""
		case *ast.CompositeLit:
			importPath, name := qualified(node.Type, imports)
			field := requiredFields[importPath][name]
			unchecked = field != "" && !sets(node, field)
		}
		if unchecked {
			found = append(found, positions.Position(node.Pos()).String())
		}
		return true
	})
	return found
}

// qualified returns the import path and the name of an expression such as http.Get, or nothing.
func qualified(expression ast.Expr, imports map[string]string) (importPath, name string) {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok {
		return "", ""
	}
	qualifier, ok := selector.X.(*ast.Ident)
	if !ok {
		return "", ""
	}
	return imports[qualifier.Name], selector.Sel.Name
}

// sets reports whether a literal sets a field.
func sets(literal *ast.CompositeLit, field string) bool {
	for _, element := range literal.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		if key, ok := pair.Key.(*ast.Ident); ok && key.Name == field {
			return true
		}
	}
	return false
}
