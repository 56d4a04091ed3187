package spec_test

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/spec"
)

// example returns an example document.
func example(t testing.TB, name string) []byte {
	data, err := os.ReadFile("../../docs/examples/" + name + ".json")
	require.NoError(t, err)
	return data
}

// The examples are what operators start from; a fault in them would teach it.
func TestExamples(t *testing.T) {
	sizes := map[string][4]int{"vendramin": {10, 24, 5, 4}, "asociacion": {10, 14, 5, 4}}
	for name, size := range sizes {
		document, problems := spec.Parse(example(t, name))
		require.Empty(t, problems)
		counts := [4]int{
			len(document.Workspaces), len(document.BackendServers),
			len(document.Classes), len(document.Regions[0].FailureDomains),
		}
		require.Equal(t, size, counts)
	}
}

// The keys in the README must open the examples, and only their own workspace.
func TestIndex(t *testing.T) {
	document, problems := spec.Parse(example(t, "vendramin"))
	require.Empty(t, problems)
	index := spec.NewIndex(document)
	workspace, found := index.Workspace("example-vendramin-schools-main")
	require.True(t, found)
	require.Equal(t, "schools", workspace.Name)
	_, found = index.Workspace("example-vendramin-operator-deputy-main")
	require.False(t, found)
	operator, found := index.Operator("example-vendramin-operator-deputy-main")
	require.True(t, found)
	require.Equal(t, "deputy", operator.Name)
	for _, model := range []string{"sketch-model", "sketch-model-plates"} {
		pool, found := index.Pool(model)
		require.True(t, found)
		require.Len(t, index.Servers(pool.Name), 20)
	}
	class, found := index.Class("archive")
	require.True(t, found)
	require.False(t, class.Idempotent)
	service, found := index.Service("archive-entries")
	require.True(t, found)
	require.Equal(t, "archive", service.Class)
	require.Equal(t, "serra-gaucha", index.Region("bento"))
}

// Each fault must be reported at its place, with the others.
func TestProblems(t *testing.T) {
	cases := []struct{ name, old, new, path, text string }{
		{"unknown field", `"lot": "vendramin-1"`, `"lot": "vendramin-1", "lots": 1`, "lots", "unknown"},
		{"missing field", `"tier": 1,`, ``, "classes[0].tier", "missing"},
		{"field twice", `"tier": 1,`, `"tier": 1, "tier": 1,`, "classes[0].tier", "twice"},
		{"wrong type", `"tier": 1,`, `"tier": "1",`, "classes[0].tier", "type"},
		{"no whole number", `"tier": 1,`, `"tier": 1.5,`, "classes[0].tier", "type"},
		{"null", `"name": "questions"`, `"name": null`, "classes[1].name", "type"},
		{"tier", `"tier": 6,`, `"tier": 7,`, "classes[4].tier", "bounds"},
		{"shares", `"minimum_share": 0.3,`, `"minimum_share": 0.9,`, "classes", "shares"},
		{"class twice", `"name": "archive",`, `"name": "questions",`, "classes[2].name", "already"},
		{"class reference", `"default_class": "annotation"`, `"default_class": "questions"`, "workspaces[1].default_class", "does not have"},
		{"pool reference", `"pool": "ledger"`, `"pool": "ledgers"`, "backend_servers[20].pool", "no such pool"},
		{"domain reference", `"failure_domain": "bento"`, `"failure_domain": "bentos"`, "backend_servers[1].failure_domain", "no such failure domain"},
		{"address name", `http://127.0.0.1:21003`, `http://localhost:21003`, "backend_servers[2].address", "address"},
		{"address twice", `http://127.0.0.1:21003`, `http://127.0.0.1:21002`, "backend_servers[2].address", "already"},
		{"address path", `http://127.0.0.1:21201`, `http://127.0.0.1:21201/a`, "services[0].urls[0]", "address"},
		{"hash", `"sha256": "`, `"sha256": "0`, "workspaces[0].keys[0].sha256", "hash"},
		{"method", `"HEAD"`, `"GOT"`, "services[0].repeatable_methods[1]", "method"},
		{"too few servers", `"minimum_servers": 3`, `"minimum_servers": 5`, "pools[1].minimum_servers", "bounds"},
		{"adapter name", `"sketch-model-plates"`, `"sketch-model"`, "pools[0].adapters[0].name", "already"},
	}
	whole := string(example(t, "vendramin"))
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			faulty := strings.Replace(whole, test.old, test.new, 1)
			require.NotEqual(t, whole, faulty)
			_, problems := spec.Parse([]byte(faulty))
			require.NotEmpty(t, problems)
			require.Equal(t, test.path, problems[0].Path, "%v", problems)
			require.Contains(t, problems[0].Text, test.text)
			require.Positive(t, problems[0].Line)
		})
	}
	everything := whole
	for _, old := range []string{`"tier": 6,`, `"pool": "ledger"`, `"HEAD"`} {
		everything = strings.Replace(everything, old, strings.NewReplacer("6", "9", "ledger", "x", "HEAD", "x").Replace(old), 1)
	}
	_, problems := spec.Parse([]byte(everything))
	require.Len(t, problems, 3)
	require.Equal(t, `62:15: classes[4].tier: the number is out of bounds; found 9; allowed: 1 to 6`, problems[0].String())
}

// A hostile document must not take memory without bound, and must be refused.
func TestHostileDocuments(t *testing.T) {
	documents := map[string]string{
		"too large":      `{"lot":"` + strings.Repeat("x", spec.MaximumBytes) + `"}`,
		"deep":           strings.Repeat(`[`, spec.MaximumBytes-1),
		"deep field":     `{"x":` + strings.Repeat(`{"x":`, 100_000),
		"many elements":  `{"workspaces":[` + strings.Repeat(`{},`, 340_000) + `{}]}`,
		"many names":     `{"regions":[{"name":"a","failure_domains":[` + strings.Repeat(`"",`, 340_000) + `""]}]}`,
		"many fields":    `{` + strings.Repeat(`"a":0,`, 170_000) + `"a":0}`,
		"invalid UTF-8":  "{\"lot\":\"\xff\"}",
		"two documents":  string(example(t, "vendramin")) + `{}`,
		"trailing noise": string(example(t, "vendramin")) + `x`,
		"empty":          ``,
	}
	for name, document := range documents {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, problems := spec.Parse([]byte(document))
			runtime.ReadMemStats(&after)
			require.NotEmpty(t, problems)
			require.LessOrEqual(t, len(problems), 200)
			allocated := (after.TotalAlloc - before.TotalAlloc) >> 20
			t.Logf("%d MiB allocated, %s", allocated, problems[0])
			require.Less(t, allocated, uint64(64))
		})
	}
}

// The digest names a document among hosts: the layout must not change it, and
// each value must.
func TestDigest(t *testing.T) {
	data := example(t, "vendramin")
	document, _ := spec.Parse(data)
	var compact any
	require.NoError(t, json.Unmarshal(data, &compact))
	sorted, err := json.Marshal(compact)
	require.NoError(t, err)
	same, problems := spec.Parse(sorted)
	require.Empty(t, problems)
	require.Equal(t, document.Digest(), same.Digest())
	same.Classes[0].MinimumShare += 0.01
	require.NotEqual(t, document.Digest(), same.Digest())
}

// schema is the part of a JSON Schema that has a counterpart in Go.
type schema struct {
	Type       string            `json:"type"`
	Ref        string            `json:"$ref"`
	Items      *schema           `json:"items"`
	Properties map[string]schema `json:"properties"`
	Required   []string          `json:"required"`
	Additional *bool             `json:"additionalProperties"`
	Defs       map[string]schema `json:"$defs"`
}

// The schema in the documentation must have the fields and types of the Go types.
func TestSchema(t *testing.T) {
	data, err := os.ReadFile("../../docs/document.schema.json")
	require.NoError(t, err)
	var root schema
	require.NoError(t, json.Unmarshal(data, &root))
	compare(t, root, root, reflect.TypeFor[spec.Document](), "document")
}

// compare checks a schema against a Go type.
func compare(t *testing.T, root, held schema, target reflect.Type, path string) {
	if name, found := strings.CutPrefix(held.Ref, "#/$defs/"); found {
		held = root.Defs[name]
	}
	kinds := map[reflect.Kind]string{
		reflect.Struct: "object", reflect.Slice: "array", reflect.String: "string",
		reflect.Int: "integer", reflect.Float64: "number", reflect.Bool: "boolean",
	}
	require.Equal(t, kinds[target.Kind()], held.Type, path)
	if target.Kind() == reflect.Slice {
		require.NotNil(t, held.Items, path)
		compare(t, root, *held.Items, target.Elem(), path+"[]")
	}
	if target.Kind() != reflect.Struct {
		return
	}
	require.NotNil(t, held.Additional, path)
	require.False(t, *held.Additional, path)
	required := []string{}
	for index := range target.NumField() {
		name, options, _ := strings.Cut(target.Field(index).Tag.Get("json"), ",")
		require.Contains(t, held.Properties, name, path)
		compare(t, root, held.Properties[name], target.Field(index).Type, path+"."+name)
		if options == "" {
			required = append(required, name)
		}
	}
	require.Len(t, held.Properties, target.NumField(), path)
	require.ElementsMatch(t, required, held.Required, path)
}

// Parse must not fail in another way than by problems, and an accepted document
// must survive being written and read.
func FuzzParse(f *testing.F) {
	f.Add(example(f, "vendramin"))
	f.Add(example(f, "asociacion"))
	f.Add([]byte(`{"environment":1,"regions":[{}],"x":[[]]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, problems := spec.Parse(data)
		for _, problem := range problems {
			require.Positive(t, problem.Line)
			require.Positive(t, problem.Column)
			require.NotEmpty(t, problem.Text)
		}
		if len(problems) > 0 {
			return
		}
		written, err := json.Marshal(document)
		require.NoError(t, err)
		again, problems := spec.Parse(written)
		require.Empty(t, problems, fmt.Sprint(string(written)))
		require.Equal(t, document.Digest(), again.Digest())
	})
}
