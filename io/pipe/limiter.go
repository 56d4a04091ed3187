package pipe

import (
	"bytes"
	"io"
	"sync/atomic"

	"primrosegw/core/fault"
)

// limiter reads from a connection. While a limit is set, it fails after so many bytes:
// the standard library reads the headers of a response without one. It is not safe for
// concurrent use.
type limiter struct {
	reader io.Reader
	// received is the number of bytes read so far. It may be read at any time.
	received atomic.Int64
	// ended: the other side has closed the connection in order, and all that it sent was read.
	ended   bool
	limited bool
	left    int
	// recording: what is read is added to record.
	recording bool
	record    []byte
	// take is called with the number of bytes read while a limit is set; may be nil.
	take func(bytes int) error
	// onBytes is called when bytes were read; may be nil.
	onBytes func()
}

// receive reads and counts.
func (limiter *limiter) receive(buffer []byte) (int, error) {
	count, err := limiter.reader.Read(buffer)
	limiter.received.Add(int64(count))
	limiter.ended = limiter.ended || err == io.EOF
	if count > 0 && limiter.onBytes != nil {
		limiter.onBytes()
	}
	return count, err
}

// limit sets the number of bytes that may be read until lift is called.
func (limiter *limiter) limit(bytes int) { limiter.limited, limiter.left = true, bytes }

// lift removes the limit.
func (limiter *limiter) lift() { limiter.limited = false }

// startRecord records what is read from here on, after what was read before.
func (limiter *limiter) startRecord(before []byte) {
	limiter.recording, limiter.record = true, bytes.Clone(before)
}

// endRecord ends the recording and returns what was recorded.
func (limiter *limiter) endRecord() []byte {
	record := limiter.record
	limiter.recording, limiter.record = false, nil
	return record
}

// Read implements io.Reader. It fails with Malformed when the limit is exceeded.
func (limiter *limiter) Read(buffer []byte) (int, error) {
	if !limiter.limited {
		return limiter.receive(buffer)
	}
	if limiter.left <= 0 {
		return 0, fault.New("pipe.read", Malformed, "the headers of the response are too long")
	}
	count, err := limiter.receive(buffer[:min(len(buffer), limiter.left)])
	limiter.left -= count
	if limiter.take != nil {
		if takeErr := limiter.take(count); takeErr != nil {
			return 0, takeErr
		}
	}
	if limiter.recording {
		limiter.record = append(limiter.record, buffer[:count]...)
	}
	return count, err
}
