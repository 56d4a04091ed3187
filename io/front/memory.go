package front

import (
	"io"
	"net/http"
	"time"

	"primrosegw/core/budget"
	"primrosegw/core/fault"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

const (
	// firstSegmentBytes and maxSegmentBytes are the sizes of the first and of the later segments of
	// a message without a known length. Segments don't need to be copied when a message grows.
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 32 << 10
	// headerCost is the memory that a byte of a response's headers may take: a header of three bytes
	// is an entry of a map.
	headerCost = 8
	// memoryRetryAfter keeps callers away whose request does not fit into memory.
	memoryRetryAfter = time.Second
	// maxRefusedBodyTime limits how long the body of a request that does not fit is read and
	// dropped. Many callers read no response before they have sent their request.
	maxRefusedBodyTime = 2 * time.Second
	// memoryShort is the reason for refusing such a request.
	memoryShort = "memory_short"
)

// readSegments reads a body up to its end, or to one byte more than limit, and takes its memory from
// the budget first. Length is its length, or -1 if it is unknown.
func readSegments(body io.Reader, length, limit int64, hold *budget.Hold) (segments [][]byte, count int64, err error) {
	size := int64(firstSegmentBytes)
	if length >= 0 {
		size = min(max(length, 1), maxSegmentBytes)
	}
	for {
		if err := hold.Take(size); err != nil {
			return nil, count, err
		}
		segment := make([]byte, size)
		read, ended, err := readFull(body, segment)
		if err != nil {
			return nil, count, err
		}
		segments = append(segments, segment[:read])
		count += int64(read)
		if ended || count > limit || count == length {
			return segments, count, nil
		}
		size = min(2*size, maxSegmentBytes)
		if length >= 0 {
			size = min(length-count, maxSegmentBytes)
		}
	}
}

// readFull fills the buffer unless the body ends before. The error of io.ReadFull does not tell the
// end of a body from one that broke off.
func readFull(body io.Reader, buffer []byte) (count int, ended bool, err error) {
	for count < len(buffer) {
		read, err := body.Read(buffer[count:])
		count += read
		if err == io.EOF {
			return count, true, nil
		}
		if err != nil {
			return count, false, err
		}
	}
	return count, false, nil
}

// readSome reads at least one byte unless the body ends.
func readSome(body io.Reader, buffer []byte) (count int, ended bool, err error) {
	for count == 0 && err == nil {
		count, err = body.Read(buffer)
	}
	if err == io.EOF {
		return count, true, nil
	}
	return count, false, err
}

// writeSegments writes a body to the caller.
func (call *call) writeSegments(segments [][]byte) {
	for _, segment := range segments {
		if _, err := call.writer.Write(segment); err != nil {
			// The caller has gone, so there is nobody to report it to.
			return
		}
	}
}

// eventBuffer holds the part of a stream that is not passed on yet.
type eventBuffer struct {
	hold *budget.Hold
	data []byte
}

// newEventBuffer returns an empty buffer.
func newEventBuffer(hold *budget.Hold) *eventBuffer {
	return &eventBuffer{hold: hold, data: make([]byte, 0, streamBufferBytes)}
}

// fill reads once. A full buffer doubles; its memory is taken from the budget first.
func (buffer *eventBuffer) fill(body io.Reader) error {
	if len(buffer.data) == cap(buffer.data) {
		grown := min(2*cap(buffer.data), maxEventBytes+streamBufferBytes)
		if err := buffer.hold.Take(int64(grown)); err != nil {
			return err
		}
		old := cap(buffer.data)
		buffer.data = append(make([]byte, 0, grown), buffer.data...)
		buffer.hold.Give(buffer.taken(old))
	}
	count, err := body.Read(buffer.data[len(buffer.data):cap(buffer.data)])
	buffer.data = buffer.data[:len(buffer.data)+count]
	return err
}

// taken returns the bytes that a buffer of a size has taken from the budget. The first one belongs
// to the connection, as its other small buffers do.
func (buffer *eventBuffer) taken(size int) int64 {
	if size <= streamBufferBytes {
		return 0
	}
	return int64(size)
}

// drop removes bytes from the start. An empty buffer shrinks.
func (buffer *eventBuffer) drop(count int) {
	rest := buffer.data[count:]
	if old := cap(buffer.data); old > streamBufferBytes && len(rest) <= streamBufferBytes {
		buffer.data = append(make([]byte, 0, streamBufferBytes), rest...)
		buffer.hold.Give(buffer.taken(old))
		return
	}
	buffer.data = append(buffer.data[:0], rest...)
}

// openHold opens the hold of the exchange's response.
func (exchange *exchange) openHold() {
	call := exchange.call
	exchange.hold = call.handler.options.Budget.Open(budget.Server(exchange.server.ID), budget.Workspace(call.work.Workspace))
}

// takeHeader takes the memory of bytes of a response's headers. The first ones are in the buffer of
// the connection.
func (exchange *exchange) takeHeader(bytes int) error {
	return exchange.hold.Take(int64(bytes) * headerCost)
}

// keepFallback keeps an error response, with its hold, until the end of the call.
func (call *call) keepFallback(response *bufferedResponse, exchange *exchange) {
	call.releaseFallback()
	response.hold, exchange.hold = exchange.hold, call.handler.options.Budget.Open()
	call.fallback = response
}

func (call *call) releaseFallback() {
	if call.fallback != nil {
		call.fallback.hold.Release()
	}
}

// releaseMemory gives the memory of the request and of a kept response back.
func (call *call) releaseMemory() {
	call.releaseFallback()
	if call.hold != nil {
		call.hold.Release()
	}
}

// memoryShortage returns why an attempt failed for lack of memory, empty if it did not.
func memoryShortage(err error) budget.Kind { return fault.KindOf[budget.Kind](err) }

// failShort ends an attempt whose response did not fit into memory. It counts as a failure of the
// server only if that server holds more than its share.
func (exchange *exchange) failShort(err error) work.Result {
	call, now := exchange.call, time.Now()
	if memoryShortage(err) == budget.ServerShare && !call.callerGone() {
		call.handler.options.Fleet.RecordBrokenAnswer(exchange.server.ID, now)
		call.handler.logSuspension(exchange.server, err, now)
	}
	return exchange.logAttempt(work.Broken, 0, err)
}

// readBody reads the body of a response that is not a stream, or nothing if it says that it is too
// long.
func (exchange *exchange) readBody(response pipe.Response) (segments [][]byte, length int64, err error) {
	if response.Body == http.NoBody {
		return nil, 0, nil
	}
	if response.ContentLength > maxBufferedBytes {
		return nil, response.ContentLength, nil
	}
	return readSegments(response.Body, response.ContentLength, maxBufferedBytes, exchange.hold)
}

// bodyWorkspace returns the workspace for which the body of a request is held. The route, which
// may need none, is not known yet.
func (call *call) bodyWorkspace() string {
	workspace, _ := call.handler.options.Table.Load().Workspace(call.info.Key)
	return workspace.Name
}

// readWhole reads the body of a request into memory that is taken from the budget first.
func (call *call) readWhole(body io.Reader) (err error) {
	call.hold = call.handler.options.Budget.Open(budget.Workspace(call.bodyWorkspace()))
	if length := call.request.ContentLength; length > 0 {
		if err := call.hold.Take(length); err != nil {
			return err
		}
		call.body = make([]byte, length)
		_, err = io.ReadFull(body, call.body)
		return err
	}
	size := int64(firstSegmentBytes)
	if err := call.hold.Take(size); err != nil {
		return err
	}
	call.body = make([]byte, 0, size)
	for {
		count, ended, err := readFull(body, call.body[len(call.body):cap(call.body)])
		call.body = call.body[:len(call.body)+count]
		if ended || err != nil {
			return err
		}
		if err := call.hold.Take(2 * size); err != nil {
			return err
		}
		call.body = append(make([]byte, 0, 2*size), call.body...)
		call.hold.Give(size)
		size *= 2
	}
}

// refuseBody reads the rest of a body that does not fit into memory and drops it, so that the caller
// reads the refusal.
func (call *call) refuseBody(body io.Reader) *refusal {
	call.body = nil
	call.hold.Release()
	// An error means that the writer has no deadlines, as in tests.
	_ = http.NewResponseController(call.writer).SetReadDeadline(time.Now().Add(maxRefusedBodyTime))
	_, _ = io.Copy(io.Discard, body)
	return &refusal{status: http.StatusServiceUnavailable, reason: memoryShort, retryAfter: memoryRetryAfter}
}
