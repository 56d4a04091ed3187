package study_test

import (
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/study"
	"primrosegw/standin/emul"
)

const days = "../../docs/experiments/"

// Guards against an experiment of the pages that is not read.
func TestExperimentsOfThePagesAreRead(t *testing.T) {
	paths, err := filepath.Glob(days + "*.json")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		_, err := study.Read(path)
		require.NoError(t, err, path)
	}
}

// Guards against a fault in a file that is passed over, and an error without the
// field.
func TestParseNamesTheField(t *testing.T) {
	data, err := os.ReadFile(days + "sketch_quiet.json")
	require.NoError(t, err)
	for spoiled, field := range map[string]string{
		strings.Replace(string(data), `"seeds": 5`, `"seeds": 0`, 1):                "seeds",
		strings.Replace(string(data), `"seeds": 5`, `"seeds": 5, "scale": -1`, 1):   "scale",
		strings.Replace(string(data), `"own_only"`, `"other"`, 1):                   "policies[1]",
		strings.Replace(string(data), `"wave"`, `"waves"`, 1):                       "waves",
		strings.Replace(string(data), `"seconds": 34`, `"seconds": "x"`, 1):         "seconds",
		strings.Replace(string(data), `"service": "archive"`, `"service": "no"`, 1): "classes[3].service",
	} {
		_, err := study.Parse([]byte(spoiled))
		require.ErrorContains(t, err, field)
	}
	_, err = study.Read(filepath.Join(t.TempDir(), "none"))
	require.True(t, fault.Is(err, study.Unreadable))
}

// Guards against summaries that mix policies or seeds, and against a plot that is
// no XML.
func TestRun(t *testing.T) {
	plan, err := study.Read(days + "sketch_quiet.json")
	require.NoError(t, err)
	plan.Seeds, plan.Day.Seconds, plan.Scale = 2, 4, 0.5
	plan.Policies = []emul.Policy{emul.Production, emul.LeastRunning}
	report, err := study.Run(plan)
	require.NoError(t, err)
	require.Len(t, report.Policies, 2)
	require.Zero(t, report.Policies[0].Gain.Value)
	require.InDelta(t, report.Policies[1].Worth.Value-report.Policies[0].Worth.Value, report.Policies[1].Gain.Value, 1e-9)
	again, err := study.Run(plan)
	require.NoError(t, err)
	require.Equal(t, report, again)
	var table, plot strings.Builder
	require.NoError(t, report.Write(&table))
	require.Contains(t, table.String(), "least_running")
	require.NoError(t, report.Plot(&plot))
	decoder := xml.NewDecoder(strings.NewReader(plot.String()))
	for err == nil {
		_, err = decoder.Token()
	}
	require.ErrorIs(t, err, io.EOF)
}
