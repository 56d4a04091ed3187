// Package docs_test holds the pages to the code that they describe.
package docs_test

import (
	"bytes"
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
	"primrosegw/core/spec"
	"primrosegw/io/config"
	"primrosegw/io/demo"
	"primrosegw/io/load"
	"primrosegw/standin/engine"
)

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(data)
}

// rows returns the first cells of the tables of a page, without back quotes.
func rows(t *testing.T, path string) []string {
	t.Helper()
	found := regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(read(t, path), -1)
	names := make([]string, 0, len(found))
	for _, match := range found {
		names = append(names, match[1])
	}
	return names
}

// fields returns the paths of all JSON fields of a type. A struct itself is no
// field; a list is, with its elements' fields below it.
func fields(kind reflect.Type, path string) []string {
	switch {
	case kind.Kind() == reflect.Slice:
		return append([]string{path + "[]"}, below(kind.Elem(), path+"[]")...)
	case kind.Kind() == reflect.Struct:
		return below(kind, path)
	}
	return []string{path}
}

func below(kind reflect.Type, path string) []string {
	if kind.Kind() != reflect.Struct {
		return nil
	}
	var found []string
	for index := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(index).Tag.Get("json"), ",")
		if path != "" {
			name = path + "." + name
		}
		found = append(found, fields(kind.Field(index).Type, name)...)
	}
	return found
}

// TestFieldPages guards against a field without a row, a row of a field that
// does not exist, and rows in another order than the code.
func TestFieldPages(t *testing.T) {
	pages := map[string]reflect.Type{
		"settings.md": reflect.TypeFor[config.Settings](),
		"document.md": reflect.TypeFor[spec.Document](),
		"load.md":     reflect.TypeFor[load.Profile](),
	}
	for page, kind := range pages {
		assert.Equal(t, fields(kind, ""), rows(t, page), page)
	}
}

// TestDefaults guards against a default on the page that the code does not fill
// in.
func TestDefaults(t *testing.T) {
	filled := config.Settings{}.Filled()
	page := read(t, "settings.md")
	for _, field := range []struct {
		name  string
		value any
	}{
		{"key_value.timeout_ms", filled.KeyValue.TimeoutMs},
		{"key_value.calls_per_second", filled.KeyValue.CallsPerSecond},
		{"host_list.interval_ms", filled.HostList.IntervalMs},
		{"limits.body_bytes", filled.Limits.BodyBytes},
		{"limits.header_bytes", filled.Limits.HeaderBytes},
		{"limits.header_timeout_ms", filled.Limits.HeaderTimeoutMs},
		{"limits.body_timeout_ms", filled.Limits.BodyTimeoutMs},
		{"limits.write_timeout_ms", filled.Limits.WriteTimeoutMs},
		{"limits.drain_ms", filled.Limits.DrainMs},
		{"log.level", filled.Log.Level},
	} {
		row := fmt.Sprintf("(?m)^\\| `%s` \\| [^|]+ \\| %v \\|", regexp.QuoteMeta(field.name), field.value)
		assert.Regexp(t, row, page)
	}
}

// TestExamples guards against an example that the program refuses.
func TestExamples(t *testing.T) {
	for _, path := range []string{"examples/vendramin.json", "examples/asociacion.json"} {
		_, problems := spec.Parse([]byte(read(t, path)))
		assert.Empty(t, problems, path)
	}
	profile, err := load.Parse([]byte(read(t, "examples/morning.json")))
	require.NoError(t, err)
	known := []string{demo.ClassReport, demo.ClassQuestion, demo.ClassAnnotation}
	for _, class := range profile.Classes {
		assert.Contains(t, known, class.Name, "a class of the demo")
		assert.Equal(t, demo.ModelSketch, class.Model)
	}
	for _, workspace := range profile.Workspaces {
		assert.Equal(t, demo.CallerKey+workspace.Name, workspace.Key)
	}
}

// TestMetricsPage guards against a metric of a running host that the page does
// not list, and against a listed one that no code reports.
func TestMetricsPage(t *testing.T) {
	listed := rows(t, "metrics.md")
	page := read(t, "metrics.md")
	for name := range scrape(t) {
		if !strings.HasPrefix(name, "primrosegw_") {
			assert.Contains(t, page, "`"+name+"`")
			continue
		}
		assert.Contains(t, listed, name)
	}
	reported := literals(t, "../io")
	maps.Copy(reported, literals(t, "../platform"))
	for _, name := range listed {
		assert.Contains(t, reported, strings.TrimPrefix(name, "primrosegw_"))
	}
	for _, name := range meterNames(t) {
		assert.Contains(t, listed, "primrosegw_"+name)
	}
}

// scrape runs a small environment with traffic and returns the metrics of one
// host by name. The wait is for the report that is made once a second.
func scrape(t *testing.T) map[string]bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	world, err := demo.New(ctx, demo.Options{
		Hosts: 1, FailureDomains: []string{"caxias"}, Engines: map[string]int{demo.PoolSketch: 1, demo.PoolLedger: 1},
		Slots: 4, DrainMs: 100, Seed: 1,
		Engine: engine.Options{StepBase: time.Millisecond, StepPerCall: 100 * time.Microsecond},
	})
	require.NoError(t, err)
	t.Cleanup(world.Close)
	url := world.Nodes[0].URL() + "/v1/chat/completions"
	body := []byte(`{"model":"` + demo.ModelSketch + `","max_tokens":5,"messages":[{"role":"user","content":"x"}]}`)
	for _, key := range []string{"wrong", demo.CallerKey + demo.WorkspaceSchools} {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	wanted := []string{"primrosegw_requests_refused", "primrosegw_requests_in_target", "primrosegw_route_decisions"}
	for {
		found := metrics(ctx, t, world.Nodes[0].AdminURL()+"/metrics")
		missing := slices.DeleteFunc(slices.Clone(wanted), func(name string) bool { return found[name] })
		if len(missing) == 0 {
			return found
		}
		select {
		case <-ctx.Done():
			t.Fatalf("not reported: %v", missing)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func metrics(ctx context.Context, t *testing.T, url string) map[string]bool {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(response.Body)
	require.NoError(t, err)
	found := map[string]bool{}
	for line := range strings.Lines(text.String()) {
		if words := strings.Fields(line); len(words) > 3 && words[1] == "TYPE" {
			found[words[2]] = true
		}
	}
	return found
}

// sources calls visit with each Go file below a directory that is no test.
func sources(t *testing.T, directory string, visit func(*ast.File)) {
	t.Helper()
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			visit(file)
		}
		return err
	})
	require.NoError(t, err)
}

func literals(t *testing.T, directory string) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	sources(t, directory, func(file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				found[strings.Trim(literal.Value, `"`)] = true
			}
			return true
		})
	})
	return found
}

// meterNames returns the first argument of each call that counts, sets or
// records a metric, where it is written as a literal.
func meterNames(t *testing.T) []string {
	t.Helper()
	var found []string
	sources(t, "../io", meterCalls(&found))
	sources(t, "../platform", meterCalls(&found))
	return found
}

// meterCalls collects the names of metrics that a file reports.
func meterCalls(found *[]string) func(*ast.File) {
	return func(file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || !slices.Contains([]string{"Count", "Gauge", "Counter", "Histogram", "Timer"}, method.Sel.Name) {
				return true
			}
			if literal, ok := call.Args[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
				*found = append(*found, strings.Trim(literal.Value, `"`))
			}
			return true
		})
	}
}

// pages returns the paths of all pages of this directory and of the root.
func pages(t *testing.T) []string {
	t.Helper()
	found := []string{"../README.md"}
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			found = append(found, path)
		}
		return err
	})
	require.NoError(t, err)
	return found
}

// TestMentions guards against pages that send operators to an event, a metric or
// a page that does not exist.
func TestMentions(t *testing.T) {
	names := map[string]string{}
	for _, entry := range event.All() {
		names[fmt.Sprint(entry.Number)] = entry.Name
	}
	mention := regexp.MustCompile(`\b([a-z]+(?:_[a-z]+)+) \((\d{4})\b`)
	metric := regexp.MustCompile("`(primrosegw_[a-z_]+)`")
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	code := regexp.MustCompile("`[^`\n]*`")
	listed := rows(t, "metrics.md")
	for _, page := range pages(t) {
		text := read(t, page)
		for _, match := range mention.FindAllStringSubmatch(text, -1) {
			assert.Equal(t, names[match[2]], match[1], "%s: event %s", page, match[2])
		}
		for _, match := range metric.FindAllStringSubmatch(text, -1) {
			assert.Contains(t, listed, match[1], page)
		}
		for _, match := range link.FindAllStringSubmatch(code.ReplaceAllString(text, ""), -1) {
			assert.FileExists(t, filepath.Join(filepath.Dir(page), match[1]), page)
		}
	}
}
