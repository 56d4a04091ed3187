package front

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/idstep"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes     = 256 << 10
	streamBufferBytes = 4 << 10
	// minReadWait is the least duration of a read that had to wait for the server.
	minReadWait = time.Millisecond
)

var errWithinEvent = errors.New("the stream ended within an event")

// relayStream relays an event stream, event by event. If the response to the caller
// has already started, it resumes that stream.
func (exchange *exchange) relayStream(response pipe.Response) work.Result {
	call := exchange.call
	if call.responseStarted {
		call.log(event.StreamResumed(), logrus.Fields{"server": exchange.server.ID, "from_event": call.events.lastID})
	}
	call.events.begin(call.handler.options.Steps, exchange.softwareVersion())
	exchange.conn.SetReadDeadline(call.work.Deadline.Add(responseGrace))
	err := exchange.copyEvents(response)
	call.handler.options.Pick.ObserveGaps(&call.work, &exchange.choice, &exchange.spans, time.Now())
	var unclear *unclearNext
	switch {
	case errors.As(err, &unclear):
		return exchange.leaveUnclear(unclear)
	case err != nil:
		exchange.conn.Discard()
		return exchange.failAttempt(err)
	}
	if result, whole := exchange.proveEnd(response); !whole {
		return result
	}
	exchange.startResponse(response)
	exchange.releaseConn(response)
	exchange.recordProvenEnd(response)
	call.handler.options.Fleet.RecordSuccess(exchange.server.ID)
	call.passTrailers(response.Trailer)
	call.closeInOrder()
	call.recordResponse(response.StatusCode)
	return work.Served
}

// softwareVersion returns the version of the server's software.
func (exchange *exchange) softwareVersion() idstep.Version {
	return idstep.Version{Service: exchange.server.Service, Version: exchange.server.Version}
}

// leaveUnclear ends an attempt whose server goes on with an event that is not shown to be the next one. That is
// no failure of the server, whose IDs may increase by any step. If another server goes on with the same event, it
// is the next one.
func (exchange *exchange) leaveUnclear(unclear *unclearNext) work.Result {
	exchange.conn.Discard()
	exchange.recordAlive(time.Now())
	exchange.call.events.claimed = unclear.id
	return exchange.logAttempt(work.Broken, 0, fault.Wrap("front.take", pipe.Malformed, unclear))
}

// observeSteps records the steps that were seen since some were.
func (exchange *exchange) observeSteps(samples []int64, now time.Time) {
	options, version := exchange.call.handler.options, exchange.softwareVersion()
	for _, step := range samples {
		if !options.Steps.Observe(version, step, now) {
			continue
		}
		options.TellSteps()
		options.Logger.Log(event.StepLearned(), logrus.Fields{"service": version.Service, "server_version": version.Version, "step": options.Steps.Usual(version)})
	}
}

// startResponse starts the response to the caller with the headers of the server's, unless it has
// started. It is called with the first event, so that a stream without one can still fail.
func (exchange *exchange) startResponse(response pipe.Response) {
	call := exchange.call
	if call.responseStarted {
		return
	}
	copyHeader(call.writer.Header(), response.Header)
	call.isUnframed = !isDelimited(response)
	call.writeHead(response.StatusCode)
	call.responseStarted = true
	exchange.recordOrigin()
}

// copyEvents copies complete events to the caller until the stream ends. It drops a
// truncated event.
func (exchange *exchange) copyEvents(response pipe.Response) error {
	pending := newEventBuffer(exchange.hold)
	lastRead := time.Now()
	for {
		startedAt := time.Now()
		err := pending.fill(response.Body)
		exchange.unreadFor += startedAt.Sub(lastRead)
		exchange.delivery.callerHeld += startedAt.Sub(lastRead)
		lastRead = time.Now()
		if lastRead.Sub(startedAt) >= minReadWait {
			// There was nothing to read before, so the connection was still open.
			exchange.unreadFor = 0
		}
		complete := completeEventsLength(pending.data)
		if complete > 0 {
			taken, writeErr := exchange.writeEvents(response, pending.data[:complete])
			if writeErr != nil {
				return writeErr
			}
			pending.drop(taken)
		}
		if err == io.EOF {
			if complete := completeEventsLength(pending.data); complete > 0 && complete == len(pending.data) {
				return exchange.call.events.held(pending.data)
			}
			if len(pending.data) > 0 {
				return fault.Wrap("front.relay", pipe.Malformed, withinEvent(response))
			}
			return nil
		}
		if err != nil {
			return err
		}
		if len(pending.data) > maxEventBytes {
			return fault.New("front.relay", pipe.Malformed, "an event of the stream is too long")
		}
	}
}

// withinEvent returns the error of a stream that ended within an event. One with neither a length nor
// chunks has ended unexpectedly.
func withinEvent(response pipe.Response) error {
	if isDelimited(response) {
		return errWithinEvent
	}
	return errors.Join(errWithinEvent, io.ErrUnexpectedEOF)
}

// completeEventsLength returns the length of the complete events at the start of
// data. An event ends with an empty line.
func completeEventsLength(data []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if index := bytes.LastIndex(data, separator); index >= 0 {
			end = max(end, index+len(separator))
		}
	}
	return end
}

// writeEvents checks complete events, writes those before a fault to the caller and flushes them. It
// returns the length of those that need not be seen again. Comments before the first event are
// dropped: they must not start the response.
func (exchange *exchange) writeEvents(response pipe.Response, data []byte) (int, error) {
	call, now := exchange.call, time.Now()
	advanced, length, malformed := call.events.advance(data)
	if length == 0 || advanced.count == 0 {
		return length, malformed
	}
	if call.events.count == 0 {
		call.firstEventDelay = now.Sub(call.work.Received)
	} else {
		call.maxEventGap = max(call.maxEventGap, now.Sub(call.lastEventAt))
	}
	call.lastEventAt = now
	exchange.spans.Add(advanced.count, now)
	exchange.observeSteps(advanced.samples[len(call.events.samples):], now)
	call.events = advanced
	call.recordWentOn()
	exchange.startResponse(response)
	if err := call.writeThrough(data[:length]); err != nil {
		exchange.delivery.callerFailed = true
		return length, err
	}
	exchange.recordPart(false)
	return length, malformed
}
