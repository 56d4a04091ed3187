package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testFunctions returns the names of the test functions of a directory.
func testFunctions(t *testing.T, directory string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*_test.go"))
	require.NoError(t, err)
	var names []string
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && testName.MatchString(function.Name.Name) {
				names = append(names, function.Name.Name)
			}
		}
	}
	return names
}

var (
	testName = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	named    = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	command  = regexp.MustCompile(`go test \./([a-z0-9/]+)(?: -run (?:'([^']+)'|([A-Za-z|]+)))?`)
)

// TestNamedTestsExist guards against a page that calls a test as witness which
// was renamed or removed, or is in another package than the command says.
func TestNamedTestsExist(t *testing.T) {
	directories, err := filepath.Glob("../*/*")
	require.NoError(t, err)
	all := []string{}
	for _, directory := range append(directories, ".", "../bench", "../e2e", "../cmds", "../platform") {
		all = append(all, testFunctions(t, directory)...)
	}
	for _, page := range pages(t) {
		text := strings.ReplaceAll(read(t, page), `\|`, "|")
		for _, name := range named.FindAllString(text, -1) {
			assert.True(t, slices.Contains(all, name), "%s: there is no %s", page, name)
		}
		for _, match := range command.FindAllStringSubmatch(text, -1) {
			found := testFunctions(t, filepath.Join("..", match[1]))
			assert.NotEmpty(t, found, "%s: %s has no tests", page, match[1])
			for _, name := range strings.Split(match[2]+match[3], "|") {
				assert.True(t, name == "" || slices.Contains(found, name), "%s: %q is not in %s", page, name, match[1])
			}
		}
	}
}

// TestProofsAreComplete guards against a guarantee or a measure of the design
// page without a row, and against a row that names neither a test nor a reason.
func TestProofsAreComplete(t *testing.T) {
	design, proofs := read(t, "design.md"), read(t, "PROOFS.md")
	guarantees := regexp.MustCompile(`(?m)^\| (P\d) \|`).FindAllStringSubmatch(design, -1)
	require.Len(t, guarantees, 8)
	for _, match := range guarantees {
		assert.True(t, strings.Contains(proofs, "\n| "+match[1]+" "), "no row of %s", match[1])
	}
	_, measures, found := strings.Cut(design, "| measure | workload | bound |")
	require.True(t, found)
	measures, _, _ = strings.Cut(measures, "\n\n")
	for line := range strings.Lines(measures) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || strings.HasPrefix(cells[1], " ---") {
			continue
		}
		measure := strings.TrimSpace(cells[1])
		assert.True(t, strings.Contains(proofs, "\n| "+measure+" |"), "no row of %s", measure)
	}
	for line := range strings.Lines(proofs) {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| id") ||
			strings.HasPrefix(line, "| failure") || strings.HasPrefix(line, "| measure") || strings.HasPrefix(line, "| case") {
			continue
		}
		assert.True(t, command.MatchString(line) || strings.Contains(line, "not proved"), line)
	}
}
