// Package logs provides an asynchronous writer for log lines, so that logging
// never blocks a request on the output.
package logs

import (
	"io"
	"sync"
	"time"
)

const (
	// CapacityBytes limits the size of the buffered lines.
	CapacityBytes = 256 << 10
	// flushInterval is the longest time that a line stays in the buffer. Lines
	// logged within it are written with one system call.
	flushInterval = 200 * time.Millisecond
)

// Writer buffers lines for an output that may be slow and drops those that do not
// fit the buffer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mutex   sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
	// OnDropped is called after a flush with the number of lines dropped since the
	// previous call, if there were any. It may call Write.
	OnDropped func(lines int)
}

// New returns a Writer to out and starts its goroutine, which Close stops.
func New(out io.Writer) *Writer {
	writer := &Writer{
		out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}),
		OnDropped: func(int) {},
	}
	go writer.run()
	return writer
}

// Write buffers a line or drops it when the buffer is full. It never waits for
// the output and never returns an error.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	if len(writer.pending)+len(line) > CapacityBytes {
		writer.dropped++
		writer.mutex.Unlock()
		return len(line), nil
	}
	wasEmpty := len(writer.pending) == 0
	writer.pending = append(writer.pending, line...)
	writer.mutex.Unlock()
	if wasEmpty {
		select {
		case writer.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the writer's goroutine.
func (writer *Writer) Close() {
	close(writer.closing)
	<-writer.done
}

func (writer *Writer) run() {
	defer close(writer.done)
	for {
		select {
		case <-writer.wake:
		case <-writer.closing:
			writer.flush()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-writer.closing:
		}
		writer.flush()
	}
}

// flush writes all buffered lines. Lines are lost when the output fails, and the
// error is ignored, since there is no other place to report it.
func (writer *Writer) flush() {
	writer.mutex.Lock()
	lines, dropped := writer.pending, writer.dropped
	writer.pending, writer.dropped = nil, 0
	writer.mutex.Unlock()
	if len(lines) > 0 {
		_, _ = writer.out.Write(lines)
	}
	if dropped > 0 {
		writer.OnDropped(dropped)
	}
}
