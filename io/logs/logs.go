// Package logs provides an asynchronous writer for log lines, so that logging
// never blocks a request on the output.
package logs

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// CapacityBytes limits the size of the buffered lines.
	CapacityBytes = 256 << 10
	// ReservedBytes is what lines to Reserved may fill beyond it: those on the outcomes of about 300 requests.
	ReservedBytes = 128 << 10
	// flushInterval is the longest time that a line stays in the buffer.
	flushInterval = 200 * time.Millisecond
	// pieceBytes is the number of buffered bytes that are written without a wait, and the largest write of
	// several lines. It is the PIPE_BUF of Linux: a pipe takes a write of that size as a whole, and log
	// collectors that read a fixed number of bytes at a time lose the rest of a longer one.
	pieceBytes = 4 << 10
	// maxSpareBytes is the size up to which a buffer is kept for later lines.
	maxSpareBytes = 4 * pieceBytes
)

// Writer buffers lines for an output that may be slow and drops those that do not
// fit the buffer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mutex   sync.Mutex
	pending []byte
	// spare is an empty buffer that becomes the next pending one. Only flush uses it.
	spare   []byte
	dropped int
	wake    chan struct{}
	// full receives a value when pieceBytes are pending.
	full    chan struct{}
	closing chan struct{}
	done    chan struct{}
	// OnDropped is called after a flush with the number of lines dropped since the
	// previous call, if there were any. It may call Write.
	OnDropped func(lines int)
}

// New returns a Writer to out and starts its goroutine, which Close stops.
func New(out io.Writer) *Writer {
	writer := &Writer{
		out: out, wake: make(chan struct{}, 1), full: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}),
		OnDropped: func(int) {},
	}
	go writer.run()
	return writer
}

// Write buffers a line or drops it when the buffer is full. It never waits for
// the output and never returns an error.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.buffer(line, CapacityBytes)
	return len(line), nil
}

// Reserved returns a writer of lines that are dropped only when the buffer is full to CapacityBytes and
// ReservedBytes. OnDropped is called for each of them that is dropped.
func (writer *Writer) Reserved(onDropped func()) io.Writer {
	return &reserved{writer: writer, onDropped: onDropped}
}

// reserved writes lines that may use the reserve of a Writer.
type reserved struct {
	writer    *Writer
	onDropped func()
}

// Write implements io.Writer in the manner of Writer.Write.
func (reserved *reserved) Write(line []byte) (int, error) {
	if !reserved.writer.buffer(line, CapacityBytes+ReservedBytes) {
		reserved.onDropped()
	}
	return len(line), nil
}

// buffer buffers a line, or drops and counts it if the buffer would hold more than limit bytes. It reports
// whether it has buffered the line.
func (writer *Writer) buffer(line []byte, limit int) bool {
	writer.mutex.Lock()
	if len(writer.pending)+len(line) > limit {
		writer.dropped++
		writer.mutex.Unlock()
		return false
	}
	before := len(writer.pending)
	writer.pending = append(writer.pending, line...)
	after := len(writer.pending)
	writer.mutex.Unlock()
	if before == 0 {
		signal(writer.wake)
	}
	if before < pieceBytes && after >= pieceBytes {
		signal(writer.full)
	}
	return true
}

// signal wakes the receiver of a channel that holds one value.
func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
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
		case <-writer.full:
		case <-writer.closing:
		}
		writer.flush()
	}
}

// flush writes all buffered lines in pieces. Lines that the output fails to take are counted as dropped.
func (writer *Writer) flush() {
	writer.mutex.Lock()
	lines, dropped := writer.pending, writer.dropped
	writer.pending, writer.spare, writer.dropped = writer.spare, nil, 0
	select {
	case <-writer.full:
	default:
	}
	writer.mutex.Unlock()
	if cap(lines) <= maxSpareBytes {
		defer func(buffer []byte) { writer.spare = buffer }(lines[:0])
	}
	for len(lines) > 0 {
		length := pieceLength(lines)
		if written, err := writer.out.Write(lines[:length]); err != nil {
			dropped += bytes.Count(lines[min(written, length):length], []byte("\n"))
		}
		lines = lines[length:]
	}
	if dropped > 0 {
		writer.OnDropped(dropped)
	}
}

// pieceLength returns the length of the whole lines at the start that fit into a piece, or that of the first
// line if it is longer.
func pieceLength(lines []byte) int {
	if len(lines) <= pieceBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:pieceBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}
