// Package logs takes log lines from the paths of requests without ever making
// them wait for the output.
package logs

import (
	"io"
	"sync"
	"time"
)

const (
	// Capacity is the memory for lines that have not been written, in bytes.
	Capacity = 256 << 10
	// flushEvery is how long a line may wait, so that lines of one moment take
	// one system call.
	flushEvery = 200 * time.Millisecond
)

// Writer buffers lines for a slow output and drops what does not fit. It is safe
// for concurrent use.
type Writer struct {
	out      io.Writer
	mutex    sync.Mutex
	pending  []byte
	dropped  int
	wake     chan struct{}
	closed   chan struct{}
	finished chan struct{}
	// Dropped is called with the number of lines lost since the last call, before
	// the next lines are written; it may write a line itself.
	Dropped func(lines int)
}

// New returns a writer to an output. Close ends it.
func New(out io.Writer) *Writer {
	writer := &Writer{
		out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), finished: make(chan struct{}),
		Dropped: func(int) {},
	}
	go writer.run()
	return writer
}

// Write takes a line. It never waits for the output and never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	if len(writer.pending)+len(line) > Capacity {
		writer.dropped++
		writer.mutex.Unlock()
		return len(line), nil
	}
	first := len(writer.pending) == 0
	writer.pending = append(writer.pending, line...)
	writer.mutex.Unlock()
	if first {
		select {
		case writer.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Close writes what is left and ends the writer.
func (writer *Writer) Close() {
	close(writer.closed)
	<-writer.finished
}

func (writer *Writer) run() {
	defer close(writer.finished)
	for {
		select {
		case <-writer.wake:
		case <-writer.closed:
			writer.flush()
			return
		}
		select {
		case <-time.After(flushEvery):
		case <-writer.closed:
		}
		writer.flush()
	}
}

// flush writes all pending lines. An output that fails loses them: there is no
// other place to report to.
func (writer *Writer) flush() {
	writer.mutex.Lock()
	lines, dropped := writer.pending, writer.dropped
	writer.pending, writer.dropped = nil, 0
	writer.mutex.Unlock()
	if len(lines) > 0 {
		_, _ = writer.out.Write(lines)
	}
	if dropped > 0 {
		writer.Dropped(dropped)
	}
}
