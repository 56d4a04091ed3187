package event_test

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
)

// TestEventsAreEmittedBySomeTest guards against untested events: each event must be
// named in a test or golden file, or be listed in testdata/unseen.json. Events in that
// list that a test names are errors as well.
func TestEventsAreEmittedBySomeTest(t *testing.T) {
	data, err := os.ReadFile("testdata/unseen.json")
	require.NoError(t, err)
	var listed []string
	require.NoError(t, json.Unmarshal(data, &listed))
	seen := namesInTests(t)
	var unseen []string
	for _, entry := range event.All() {
		if !seen[entry.Name] {
			unseen = append(unseen, entry.Name)
		}
	}
	assert.ElementsMatch(t, listed, unseen, "testdata/unseen.json must list exactly the events that no test names")
}

// namesInTests returns the snake_case words in tests and golden files, except those
// of this package, which name every event.
func namesInTests(t *testing.T) map[string]bool {
	t.Helper()
	word := regexp.MustCompile("[a-z]+(_[a-z]+)+")
	seen := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || strings.HasPrefix(path, filepath.Join(root, "core", "event")) {
			return err
		}
		if !strings.HasSuffix(path, "_test.go") && !strings.Contains(path, "testdata") {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range word.FindAllString(string(content), -1) {
			seen[name] = true
		}
		return nil
	})
	require.NoError(t, err)
	return seen
}
