package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

const (
	// longestEvent bounds the memory for one event of a stream.
	longestEvent = 256 << 10
	streamBuffer = 4 << 10
)

// stream relays events as they come, each one whole.
func (exchange *exchange) stream(answer pipe.Answer) work.Result {
	call := exchange.call
	if call.begun {
		call.log(event.StreamResumed(), logrus.Fields{"server": exchange.server.ID, "from_event": call.events.last})
	} else {
		copyHeader(call.writer.Header(), answer.Header)
		call.writer.WriteHeader(answer.StatusCode)
		call.begun = true
	}
	exchange.conn.SetReadDeadline(call.work.Deadline.Add(answerSlack))
	err := exchange.relay(answer.Body)
	if err != nil {
		exchange.conn.Discard()
		return exchange.broken(err)
	}
	exchange.release(answer)
	call.front.options.Fleet.RecordSuccess(exchange.server.ID)
	call.ended(answer.StatusCode)
	return work.Served
}

// relay copies events until the stream ends. An event that is cut off is dropped.
func (exchange *exchange) relay(body io.Reader) error {
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		count, err := body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		whole := lastEventEnd(pending)
		if whole > 0 {
			if failed := exchange.call.writeEvents(pending[:whole]); failed != nil {
				return failed
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		if err == io.EOF {
			if len(pending) > 0 {
				return fault.New("front.relay", pipe.Malformed, "the stream ends within an event")
			}
			return nil
		}
		if err != nil {
			return err
		}
		if len(pending) > longestEvent {
			return fault.New("front.relay", pipe.Malformed, "an event is too long")
		}
	}
}

// lastEventEnd returns the length of the whole events at the front of data. An
// event ends with an empty line.
func lastEventEnd(data []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if index := bytes.LastIndex(data, separator); index >= 0 {
			end = max(end, index+len(separator))
		}
	}
	return end
}

// writeEvents writes whole events to the caller at once.
func (call *call) writeEvents(data []byte) error {
	now := time.Now()
	after, err := call.events.take(data)
	if err != nil {
		return err
	}
	if call.events.count == 0 {
		call.first = now.Sub(call.work.Received)
	} else {
		call.longest = max(call.longest, now.Sub(call.lastAt))
	}
	call.lastAt = now
	call.events = after
	if _, err := call.writer.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(call.writer).Flush()
}
