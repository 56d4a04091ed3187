package logs_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
	"primrosegw/io/logs"
)

// counts are counters by name and value of the tag.
type counts struct {
	mutex  sync.Mutex
	values map[string]int64
}

func (counts *counts) AddToCounter(name, _, tagValue string, delta int64) {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	counts.values[name+" "+tagValue] += delta
}

// Guards against requests without an outcome in the log that can't be told from those whose lines are missing.
func TestMissingOutcomesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{stalled: make(chan struct{})}
		writer := logs.New(out)
		logger := event.New(writer, "host", logrus.InfoLevel, nil)
		logger.SetLineLimit(event.DefaultLinesPerSecond)
		logger.SetOutcomeOutput(writer.Reserved)
		counters := &counts{values: map[string]int64{}}
		writer.OnDropped = func(lines int) { counters.AddToCounter("log_lines_dropped", "reason", "output", int64(lines)) }
		_, _ = writer.Write([]byte("first\n"))
		time.Sleep(time.Second)
		second := time.Now().UTC().Truncate(time.Second)
		const requests = 3000
		for number := range requests {
			logger.Log(event.RequestSent(), logrus.Fields{"request_id": number})
			logger.Log(event.RequestEnded(), logrus.Fields{"request_id": number})
		}
		close(out.stalled)
		time.Sleep(time.Second)
		logs.ReportSuppressed(logger, counters)
		writer.Close()
		written := strings.Count(out.buffer.String(), `"event_name":"request_ended"`)
		told := map[string]int{}
		for line := range strings.Lines(out.buffer.String()) {
			var row struct {
				Name   string    `json:"event_name"`
				Of     string    `json:"of_event"`
				Cause  string    `json:"cause"`
				Second time.Time `json:"second"`
				Lines  int       `json:"lines"`
			}
			if json.Unmarshal(bytes.TrimSpace([]byte(line)), &row) == nil && row.Of != "" {
				told[strings.TrimSpace(row.Name+" "+row.Of+" "+row.Cause)] += row.Lines
				if row.Name == "outcomes_suppressed" {
					require.Equal(t, second, row.Second)
				}
			}
		}
		require.Positive(t, told["outcomes_suppressed request_ended output"])
		require.Equal(t, requests, written+told["outcomes_suppressed request_ended limit"]+told["outcomes_suppressed request_ended output"])
		require.Equal(t, 4*event.DefaultLinesPerSecond, requests-told["outcomes_suppressed request_ended limit"])
		require.Equal(t, requests-event.DefaultLinesPerSecond, told["lines_suppressed request_sent"])
		require.EqualValues(t, told["lines_suppressed request_sent"]+told["outcomes_suppressed request_ended limit"], counters.values["log_lines_dropped limit"])
		require.GreaterOrEqual(t, counters.values["log_lines_dropped output"], int64(told["outcomes_suppressed request_ended output"]))
	})
}

// BenchmarkRequestLines measures the two lines of a request of which none is suppressed.
func BenchmarkRequestLines(b *testing.B) {
	writer := logs.New(io.Discard)
	defer writer.Close()
	logger := event.New(writer, "edge-oviedo-a-1", logrus.InfoLevel, nil)
	logger.SetOutcomeOutput(writer.Reserved)
	b.ReportAllocs()
	for b.Loop() {
		logger.Log(event.RequestSent(), logrus.Fields{"request_id": "6942eb49aa8925bb", "route": "r-nxsy764", "server": "i-90c13127d0", "left_ms": 2946, "over": 7})
		logger.Log(event.RequestEnded(), logrus.Fields{"request_id": "6942eb49aa8925bb", "route": "r-nxsy764", "server": "i-90c13127d0", "status": 200, "total_ms": 45})
	}
}
