package front

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fleet"
	"primrosegw/io/pipe"
)

// cutEvidence says how a response was seen to be cut.
type cutEvidence string

const (
	// brokenFraming: the connection was closed in order before the end that a head, a length, chunks or
	// an event has.
	brokenFraming cutEvidence = "broken_framing"
	// wentOn: an unframed stream went on at another server.
	wentOn cutEvidence = "went_on"
	// listedLonger: the server lists the run with more events than arrived.
	listedLonger cutEvidence = "listed_longer"
	// brokenReport: as brokenFraming, in the answer to a question of the host itself.
	brokenReport cutEvidence = "broken_report"
)

// recordCut records that the connection of a response of a server was closed in order before the
// response ended, so that such ends prove nothing for a while.
func (handler *Handler) recordCut(server fleet.Server, evidence cutEvidence) {
	if !handler.options.Cuts.Record(server.Service, server.FailureDomain, time.Now()) {
		return
	}
	handler.options.TellCuts()
	handler.options.Logger.Log(event.CutSeen(), logrus.Fields{
		"service": server.Service, "failure_domain": server.FailureDomain, "server": server.ID, "evidence": evidence,
	})
	handler.options.Meter.AddToCounter("cuts_seen", "from", "own", 1)
}

// recordBrokenFraming records a cut if that is why the response could not be read. A connection that
// was closed before the first byte may have been closed before the request, too.
func (exchange *exchange) recordBrokenFraming(err error) {
	if errors.Is(err, io.ErrUnexpectedEOF) && exchange.conn.Received() > exchange.delivery.receivedBefore {
		exchange.call.handler.recordCut(exchange.server, brokenFraming)
	}
}

// noCutsKnown reports whether a response is no stream and no cuts are known that count for it.
func (exchange *exchange) noCutsKnown(response pipe.Response) bool {
	return !isStream(response.Header) && !exchange.call.handler.cutsKnown(exchange.server)
}

// cutsKnown reports whether cuts are known that count for the responses of a server.
func (handler *Handler) cutsKnown(server fleet.Server) bool {
	now := time.Now()
	return handler.options.Cuts.Known(server.Service, server.FailureDomain, handler.framesLately(server.Service, now), now)
}

// framesLately reports whether a server of a service has lately framed a response.
func (handler *Handler) framesLately(service string, now time.Time) bool {
	for _, member := range handler.options.Fleet.Members(service, now) {
		if member.FramesResponses(now) {
			return true
		}
	}
	return false
}

// noteUnprovenStream remembers the server of a stream whose end proves nothing. If another server goes
// on with events, the stream was cut.
func (exchange *exchange) noteUnprovenStream(response pipe.Response) {
	if isSuccess(response) && isStream(response.Header) && exchange.call.request.Method != http.MethodHead {
		exchange.call.unprovenStream = &exchange.server
	}
}

// recordWentOn records a cut if an earlier server's stream, whose end proved nothing, goes on.
func (call *call) recordWentOn() {
	if call.unprovenStream != nil {
		call.handler.recordCut(*call.unprovenStream, wentOn)
		call.unprovenStream = nil
	}
}
