package trail_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/trail"
)

var update = flag.Bool("update", false, "update the golden reports")

func load(t *testing.T, name string) []trail.Line {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".log"))
	require.NoError(t, err)
	lines, err := trail.Read(bytes.NewReader(data))
	require.NoError(t, err)
	return lines
}

// Guards against a report with the wrong reason. The recorded logs are of requests
// that were refused because of overload, lost with their server, and late.
func TestRecordedSessions(t *testing.T) {
	for name, id := range map[string]string{"overload": "b10f30b71bc6311a", "broken": "6459d508e80e646b", "late": "845f9e4d99bcce8a"} {
		report, err := trail.Explain(load(t, name), id)
		require.NoError(t, err)
		var text bytes.Buffer
		require.NoError(t, report.Write(&text))
		golden := filepath.Join("testdata", name+".txt")
		if *update {
			require.NoError(t, os.WriteFile(golden, text.Bytes(), 0o600))
		}
		want, err := os.ReadFile(golden)
		require.NoError(t, err)
		require.Equal(t, string(want), text.String(), name)
	}
}

// Guards against a report that claims an outcome although log lines are missing.
func TestMissingLines(t *testing.T) {
	lines := load(t, "late")
	_, err := trail.Explain(lines, "nobody")
	require.True(t, fault.Is(err, trail.Unknown))
	lines = slices.DeleteFunc(lines, func(line trail.Line) bool { return line.Name == "request_ended" })
	report, err := trail.Explain(lines, "845f9e4d99bcce8a")
	require.True(t, fault.Is(err, trail.Incomplete))
	require.Len(t, report.Lines, 1)
}

// Guards against logs that are rejected because they contain lines that are not
// events, and against lines of unbounded length.
func TestReadPassesOverOtherLines(t *testing.T) {
	lines, err := trail.Read(strings.NewReader("started\n 1.25 host-a {\"event_name\":\"x\",\"host\":\"a\"}\n{broken\n{}\n"))
	require.NoError(t, err)
	require.Len(t, lines, 1)
	_, err = trail.Read(strings.NewReader(strings.Repeat("x", 2<<20)))
	require.True(t, fault.Is(err, trail.Unreadable))
}

// Guards against a request that the host has cut and a report that says that its end is missing, or that it was answered.
func TestRequestCutIsAnOutcome(t *testing.T) {
	cut := trail.Line{Host: "host", Name: "request_cut", RequestID: "a", Fields: map[string]any{"reason": "request_stop", "after_ms": 40}}
	report, err := trail.Explain([]trail.Line{{Host: "host", Name: "request_sent", RequestID: "a"}, cut}, "a")
	require.NoError(t, err)
	require.Contains(t, report.Outcome, "request_stop")
	broken := trail.Line{Host: "host", Name: "answer_broken", RequestID: "a", Fields: map[string]any{"events": 3}}
	cut.Fields["reason"] = "request_broken"
	report, err = trail.Explain([]trail.Line{broken, cut}, "a")
	require.NoError(t, err)
	require.Contains(t, report.Outcome, "after 3 events")
}
