// Package buffer is the stand-in of an output that several goroutines write and tests read.
package buffer

import (
	"bytes"
	"sync"
)

// Buffer collects what is written to it. It is safe for concurrent use; its zero value is empty.
type Buffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (buffer *Buffer) Write(data []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.buffer.Write(data)
}

// String returns what has been written.
func (buffer *Buffer) String() string {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.buffer.String()
}
