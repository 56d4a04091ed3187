package logs_test

import (
	"bytes"
	"io"
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

// collector takes at most the first 8 KiB of each write, as a collector with one read for each wake-up does.
type collector struct {
	taken  bytes.Buffer
	writes []int
}

func (collector *collector) Write(data []byte) (int, error) {
	const readBytes = 8 << 10
	collector.writes = append(collector.writes, len(data))
	collector.taken.Write(data[:min(len(data), readBytes)])
	return len(data), nil
}

// Guards against lines on outcomes that are lost because a busy host writes all lines of 200 ms at once.
func TestWritesArePiecesOfWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &collector{}
		writer := logs.New(out)
		// A host at 70 requests/s that is paused for 0.2 s writes 14 lines of 700 bytes on starts and 14 of 500 on outcomes.
		want := 0
		for range 20 {
			for range 14 {
				_, _ = writer.Write([]byte(strings.Repeat("s", 699) + "\n"))
				_, _ = writer.Write([]byte(strings.Repeat("o", 499) + "\n"))
				want += 2
			}
			time.Sleep(200 * time.Millisecond)
		}
		long := strings.Repeat("p", 6000) + "\n"
		_, _ = writer.Write([]byte(long))
		writer.Close()
		require.Equal(t, want+1, strings.Count(out.taken.String(), "\n"))
		require.Contains(t, out.taken.String(), long, "a long line is written by itself")
		for _, length := range out.writes[:len(out.writes)-1] {
			require.LessOrEqual(t, length, 4<<10)
		}
	})
}

// failing is an output that takes nothing.
type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against lines that are lost without a count because the output fails.
func TestFailedWritesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := logs.New(failing{})
		dropped := 0
		writer.OnDropped = func(lines int) { dropped += lines }
		for range 300 {
			_, _ = writer.Write([]byte(strings.Repeat("x", 99) + "\n"))
		}
		writer.Close()
		require.Equal(t, 300, dropped)
	})
}

// Guards against lines on outcomes that are dropped because others have filled the buffer.
func TestReserveOutlastsOtherLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{stalled: make(chan struct{})}
		writer := logs.New(out)
		total, dropped := 0, 0
		writer.OnDropped = func(lines int) { total += lines }
		outcomes := writer.Reserved(func() { dropped++ })
		_, _ = writer.Write([]byte("first\n"))
		time.Sleep(time.Second)
		start, outcome := []byte(strings.Repeat("s", 511)+"\n"), []byte(strings.Repeat("o", 511)+"\n")
		for range 1000 {
			_, _ = writer.Write(start)
		}
		const fitting = logs.ReservedBytes / 512
		for range fitting + 7 {
			_, err := outcomes.Write(outcome)
			require.NoError(t, err)
		}
		require.Equal(t, 7, dropped)
		close(out.stalled)
		writer.Close()
		require.Equal(t, fitting, strings.Count(out.buffer.String(), string(outcome)))
		require.Equal(t, 1000-logs.CapacityBytes/512+7, total)
	})
}
