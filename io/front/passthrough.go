package front

import (
	"net/http"
	"strconv"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

const (
	// maxShortBytes is the size up to which a response is held until it is whole, so that a broken one
	// can be retried. A longer one is passed on while it is read.
	maxShortBytes = 64 << 10
	// passBufferBytes is the largest part of a response that is read at once, and what is held of a
	// response while it is passed on.
	passBufferBytes = 16 << 10
)

// passage is a response on its way to the caller.
type passage struct {
	*exchange
	response pipe.Response
	// segments are what was read and not passed on yet. They have taken their capacities from the hold.
	segments [][]byte
	// read is the number of bytes that were read.
	read  int64
	ended bool
}

// mayPassThrough reports whether a response can be passed on before it is whole: its end shows
// whether it is, and it is not kept for the case that no other server succeeds.
func (exchange *exchange) mayPassThrough(response pipe.Response) bool {
	return isDelimited(response) && response.StatusCode < http.StatusInternalServerError && response.Body != http.NoBody &&
		exchange.call.request.Method != http.MethodHead
}

// passThrough relays a response: whole if it is short, else while it is read. It passes a response
// on early if there is no memory to hold it.
func (exchange *exchange) passThrough(response pipe.Response, success bool) work.Result {
	call := exchange.call
	passage := &passage{exchange: exchange, response: response}
	if err := passage.readStart(); err != nil {
		exchange.conn.Discard()
		return exchange.failAttempt(err)
	}
	if !passage.ended {
		return passage.passOn(success)
	}
	passage.recordWhole(success)
	call.writeBuffered(bufferedResponse{status: response.StatusCode, header: response.Header, trailer: response.Trailer, segments: passage.segments, length: passage.read})
	return work.Served
}

// recordWhole records that the response is whole, and gives the connection back.
func (passage *passage) recordWhole(success bool) {
	if success {
		passage.recordProvenEnd(passage.response)
	}
	passage.releaseConn(passage.response)
	if success {
		passage.call.handler.options.Fleet.RecordSuccess(passage.server.ID)
	}
}

// readStart reads until the response ends, is too long to be held, or there is no memory for more.
func (passage *passage) readStart() error {
	length, size := passage.response.ContentLength, int64(firstSegmentBytes)
	if length >= 0 {
		size = min(max(length, 1), passBufferBytes)
	}
	for passage.read < maxShortBytes && !passage.ended {
		if err := passage.takeSegment(size); err != nil {
			if len(passage.segments) > 0 {
				return nil
			}
			return err
		}
		last := &passage.segments[len(passage.segments)-1]
		count, ended, err := readFull(passage.response.Body, *last)
		if err != nil {
			return err
		}
		*last = (*last)[:count]
		passage.read += int64(count)
		passage.ended = ended || passage.read == length
		size = min(2*size, passBufferBytes, maxShortBytes-passage.read)
		if length >= 0 {
			size = min(length-passage.read, passBufferBytes, maxShortBytes-passage.read)
		}
	}
	return nil
}

// takeSegment adds a segment. If there is no memory for the first one, it may be smaller.
func (passage *passage) takeSegment(size int64) error {
	err := passage.hold.Take(size)
	if err != nil && len(passage.segments) == 0 && size > firstSegmentBytes {
		size = firstSegmentBytes
		err = passage.hold.Take(size)
	}
	if err == nil {
		passage.segments = append(passage.segments, make([]byte, size))
	}
	return err
}

// passOn passes the start of the response on, and the rest while it is read.
func (passage *passage) passOn(success bool) work.Result {
	passage.startBody()
	buffer, err := passage.writeStart()
	if err != nil {
		return passage.failWrite(err)
	}
	for {
		count, readErr := passage.readNext(buffer)
		if readErr != nil {
			passage.conn.Discard()
			return passage.failAttempt(readErr)
		}
		if passage.ended {
			passage.recordWhole(success)
		}
		if err := passage.write(buffer[:count]); err != nil {
			if passage.ended {
				// The caller has gone, so there is nobody to report it to.
				break
			}
			return passage.failWrite(err)
		}
		if passage.ended {
			break
		}
	}
	passage.call.passTrailers(passage.response.Trailer)
	passage.call.closeInOrder()
	passage.call.recordResponse(passage.response.StatusCode)
	return work.Served
}

// startBody starts the response to the caller. Its length shows the caller a response that breaks off.
func (passage *passage) startBody() {
	call, response := passage.call, passage.response
	copyHeader(call.writer.Header(), response.Header)
	if response.ContentLength >= 0 {
		call.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	call.firstEventDelay = time.Since(call.work.Received)
	call.responseStarted, call.bodyStarted = true, true
	call.writeHead(response.StatusCode)
}

// writeStart writes what was read so far, and gives its memory back but for that of the largest
// segment, which it returns as the buffer for the rest.
func (passage *passage) writeStart() ([]byte, error) {
	var buffer []byte
	for index, segment := range passage.segments {
		if err := passage.write(segment); err != nil {
			return nil, err
		}
		passage.segments[index] = nil
		spare := segment[:cap(segment)]
		if len(spare) > len(buffer) {
			buffer, spare = spare, buffer
		}
		passage.hold.Give(int64(len(spare)))
	}
	return buffer, nil
}

// write writes a part of the response to the caller.
func (passage *passage) write(part []byte) error {
	started := time.Now()
	if err := passage.call.writeThrough(part); err != nil {
		return err
	}
	if took := time.Since(started); took >= minReadWait && !passage.ended {
		passage.delivery.callerHeld += took
		deadline := passage.call.work.Deadline
		passage.conn.SetReadDeadline(deadline.Add(min(responseGrace+passage.delivery.callerHeld, callerReadGrace)))
	}
	return nil
}

// readNext reads the next part. It fails if the response breaks off, or has more bytes than its
// length: the last part is returned only if the whole response is in order.
func (passage *passage) readNext(buffer []byte) (int, error) {
	count, ended, err := readSome(passage.response.Body, buffer)
	for err == nil && !ended && count < len(buffer) && passage.read+int64(count) != passage.response.ContentLength && passage.conn.HasUnread() {
		// Many small chunks are cheaper to write at once.
		var more int
		more, ended, err = readSome(passage.response.Body, buffer[count:])
		count += more
	}
	passage.read += int64(count)
	passage.call.lastEventAt = time.Now()
	if err != nil {
		return 0, err
	}
	length := passage.response.ContentLength
	passage.ended = ended || passage.read == length
	if passage.ended && length >= 0 && passage.conn.HasUnread() {
		return 0, fault.New("front.pass", pipe.Malformed, "the response has more bytes than its length")
	}
	return count, nil
}

// failWrite ends an attempt whose caller does not take the response, which is no failure of the server.
func (passage *passage) failWrite(err error) work.Result {
	passage.conn.Discard()
	passage.recordUnanswered(time.Now())
	return passage.logAttempt(work.Broken, 0, err)
}
