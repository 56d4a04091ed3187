package event_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

const (
	root = "../.."
	page = root + "/docs/EVENTS.md"
)

// annotation is the part of an event's documentation that is not in the code.
type annotation struct {
	Fields []string `json:"fields"`
	Action string   `json:"action"`
	// Unused is set if no code logs the event.
	Unused bool `json:"unused"`
}

const introduction = `# Events

Generated from core/event and core/event/testdata/advice.json. Regenerate it with
` + "`go test ./core/event -run TestCatalogue -update`" + `; without the flag, the same test checks it.

Each log line is one JSON object. Every line has ` + "`time`, `level`, `msg`" + ` (the text below), ` + "`event`" + ` (the number),
` + "`event_name`, `subsystem` and `host`" + ` (the host that logs it). Numbers are never reused. Debug events are
logged when ` + "`log.level`" + ` is debug, or when ` + "`log.subsystems`" + ` or ` + "`--log-output`" + ` names their subsystem; in
the latter case, they are logged at info level. Fields without a value, such as ` + "`error`" + `, can be absent.
`

// TestCatalogue guards against differences between the catalogue and the code: an event
// without a row, an unknown event, or a field that no code logs.
func TestCatalogue(t *testing.T) {
	data, err := os.ReadFile("testdata/advice.json")
	require.NoError(t, err)
	known := map[string]annotation{}
	require.NoError(t, json.Unmarshal(data, &known))
	literalsOf, functionOf := literalsByFunction(t), eventFunctions(t)
	var text strings.Builder
	text.WriteString(introduction)
	subsystem := ""
	for _, entry := range event.All() {
		annotated, ok := known[entry.Name]
		require.True(t, ok, "%s is not in testdata/advice.json", entry.Name)
		delete(known, entry.Name)
		literals := literalsOf[functionOf[entry.Name]]
		assert.Equal(t, annotated.Unused, literals == nil, "%s is marked as unused but is used, or the reverse", entry.Name)
		for _, field := range annotated.Fields {
			assert.True(t, annotated.Unused || literals[field], "no package that logs %s contains the field %s", entry.Name, field)
		}
		if entry.Subsystem != subsystem {
			subsystem = entry.Subsystem
			fmt.Fprintf(&text, "\n## %s\n\n| number | name | level | text | fields | what to do |\n| --- | --- | --- | --- | --- | --- |\n", subsystem)
		}
		action := annotated.Action
		if annotated.Unused {
			action = "Currently not logged by any code. " + action
		}
		fmt.Fprintf(&text, "| %d | %s | %s | %s | %s | %s |\n", entry.Number, entry.Name, entry.Level, entry.Text,
			strings.Join(annotated.Fields, ", "), action)
	}
	assert.Empty(t, known, "testdata/advice.json lists events that don't exist")
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(text.String()), 0o644))
	}
	found, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Equal(t, text.String(), string(found), "regenerate docs/EVENTS.md with -update")
}

// eventFunctions returns the name of the function that returns each event, by event
// name. It is read from the source of the package.
func eventFunctions(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	names, err := filepath.Glob("*.go")
	require.NoError(t, err)
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || function.Type.Results == nil {
				continue
			}
			result, ok := function.Type.Results.List[0].Type.(*ast.Ident)
			if !ok || result.Name != "Event" {
				continue
			}
			found[eventName(t, function)] = function.Name.Name
		}
	}
	return found
}

// eventName returns the event name in the literal that a function returns.
func eventName(t *testing.T, function *ast.FuncDecl) string {
	t.Helper()
	name := ""
	ast.Inspect(function.Body, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if ok && literal.Kind == token.STRING && name == "" {
			name = strings.Trim(literal.Value, `"`)
		}
		return true
	})
	require.NotEmpty(t, name, function.Name.Name)
	return name
}

// literalsByFunction returns, for each event function, the string literals in the
// packages that refer to it, excluding tests.
func literalsByFunction(t *testing.T) map[string]map[string]bool {
	t.Helper()
	used := map[string]map[string]bool{}
	literals, references := map[string][]string{}, map[string][]string{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		directory := filepath.Dir(path)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		found, referred := inspect(file)
		literals[directory] = append(literals[directory], found...)
		references[directory] = append(references[directory], referred...)
		return nil
	})
	require.NoError(t, err)
	for _, function := range eventFunctions(t) {
		for directory, names := range references {
			if !slices.Contains(names, function) {
				continue
			}
			if used[function] == nil {
				used[function] = map[string]bool{}
			}
			addAll(used[function], literals[directory])
		}
	}
	return used
}

// addAll adds strings to a set.
func addAll(set map[string]bool, texts []string) {
	for _, text := range texts {
		set[text] = true
	}
}

// inspect returns the literals of a file, and the names that it uses of package event.
func inspect(file *ast.File) (literals, references []string) {
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.BasicLit:
			literals = append(literals, strings.Trim(node.Value, `"`))
		case *ast.SelectorExpr:
			if from, ok := node.X.(*ast.Ident); ok && from.Name == "event" {
				references = append(references, node.Sel.Name)
			}
		}
		return true
	})
	return literals, references
}
