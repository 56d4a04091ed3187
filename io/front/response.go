package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/budget"
	"primrosegw/core/event"
)

// bufferedResponse is a complete response held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	// trailer holds what the server sent after the last chunk; usually nothing.
	trailer http.Header
	// segments are the body, and length is their length in bytes.
	segments [][]byte
	length   int64
	// isUnframed: the response had neither a length nor chunks, and gets none.
	isUnframed bool
	// hold is the memory of a response that is kept; nil for one that is written at once.
	hold *budget.Hold
}

// writeBuffered writes a complete response to the caller.
func (call *call) writeBuffered(response bufferedResponse) {
	copyHeader(call.writer.Header(), response.header)
	switch {
	case response.isUnframed:
		call.isUnframed = true
	case len(forwardedTrailers(response.trailer)) > 0 && call.request.ProtoAtLeast(1, 1):
		// Trailers need chunks.
	case call.request.Method != http.MethodHead:
		call.writer.Header().Set("Content-Length", strconv.FormatInt(response.length, 10))
	default:
		if length := response.header.Values("Content-Length"); len(length) > 0 {
			call.writer.Header()["Content-Length"] = length[:1]
		}
	}
	call.firstEventDelay = time.Since(call.work.Received)
	// Before the head: net/http sends a short response without a length in chunks only if it has trailers.
	call.passTrailers(response.trailer)
	call.writeHead(response.status)
	if call.request.Method != http.MethodHead {
		call.writeSegments(response.segments)
	}
	call.closeInOrder()
	call.recordResponse(response.status)
}

// writeHead writes the head of a response. One that ended with its connection ends so for the caller,
// too: neither a length nor a last chunk says more than this host knows.
func (call *call) writeHead(status int) {
	if call.isUnframed {
		call.writer.Header().Set("Transfer-Encoding", "identity")
	}
	call.announceClose()
	call.resetUntilWhole()
	call.writer.WriteHeader(status)
}

// writeThrough writes a part of a response to the caller at once.
func (call *call) writeThrough(part []byte) error {
	if _, err := call.writer.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(call.writer).Flush()
}

// recordResponse logs a request to which a server has responded and records it in
// the metrics.
func (call *call) recordResponse(status int) {
	total := time.Since(call.work.Received)
	call.log(event.RequestEnded(), logrus.Fields{
		"route": call.work.Route.Name, "workspace": call.work.Workspace, "status": status, "server": call.serverID,
		"attempts": call.reached + 1, "first_ms": call.firstEventDelay.Milliseconds(), "total_ms": total.Milliseconds(),
		"events": call.events.count, "last_event": call.events.lastID, "gap_ms": call.maxEventGap.Milliseconds(),
		"objective_ms": call.work.Route.Objective.Milliseconds(), "gap_objective_ms": call.work.Route.GapObjective.Milliseconds(),
	})
	call.recordOutcome(strconv.Itoa(status), call.firstEventDelay)
}

// copyHeader copies all headers except the hop-by-hop ones.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !perConnection(name, from) {
			to[name] = values
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a content type.
		to["Content-Type"] = nil
	}
}

// passTrailers passes on the trailers of a whole response: its server may report a failure there. They
// are sent when the handler returns, if the response has chunks.
func (call *call) passTrailers(trailer http.Header) {
	for name, values := range forwardedTrailers(trailer) {
		call.writer.Header()[http.TrailerPrefix+name] = values
	}
}

// forwardedTrailers returns the trailers of a response that are passed on.
func forwardedTrailers(trailer http.Header) http.Header {
	forwarded := http.Header{}
	for name, values := range trailer {
		if len(values) > 0 && !perConnection(name, trailer) {
			forwarded[name] = values
		}
	}
	return forwarded
}

func perConnection(name string, header http.Header) bool {
	return IsHopByHop(name, header)
}

// IsHopByHop reports whether a header applies to a single connection and must not
// be forwarded (RFC 9110, section 7.6.1).
func IsHopByHop(name string, header http.Header) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	for _, value := range header.Values("Connection") {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}
