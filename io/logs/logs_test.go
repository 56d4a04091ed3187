package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/logs"
)

// output is a buffer whose writes block until stalled is closed, if it is set.
type output struct {
	mutex   sync.Mutex
	buffer  bytes.Buffer
	writes  int
	stalled chan struct{}
}

func (output *output) Write(data []byte) (int, error) {
	if output.stalled != nil {
		<-output.stalled
	}
	output.mutex.Lock()
	defer output.mutex.Unlock()
	output.writes++
	return output.buffer.Write(data)
}

func (output *output) count() int {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.writes
}

// Guards against a caller of Write that blocks while the output is stalled, and
// against dropped lines that are not counted.
func TestStalledOutputNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{stalled: make(chan struct{})}
		writer := logs.New(out)
		dropped := 0
		writer.OnDropped = func(lines int) { dropped += lines }
		line := []byte(strings.Repeat("x", 1023) + "\n")
		_, _ = writer.Write(line)
		time.Sleep(time.Second)
		before := time.Now()
		const lines = 1000
		for range lines {
			count, err := writer.Write(line)
			require.NoError(t, err)
			require.Equal(t, len(line), count)
		}
		require.Zero(t, time.Since(before))
		close(out.stalled)
		writer.Close()
		written := strings.Count(out.buffer.String(), "\n")
		require.Equal(t, lines+1, written+dropped)
		require.LessOrEqual(t, written, 1+logs.CapacityBytes/len(line))
	})
}

// Guards against a write to the output for each line.
func TestLinesAreWrittenInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		writer := logs.New(out)
		for range 50 {
			_, _ = writer.Write([]byte("line\n"))
		}
		time.Sleep(time.Second)
		require.Equal(t, 1, out.count())
		_, _ = writer.Write([]byte("last\n"))
		writer.Close()
		require.Equal(t, 51, strings.Count(out.buffer.String(), "\n"))
	})
}
