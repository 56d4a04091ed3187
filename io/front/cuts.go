package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/ending"
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

/*
recordCut records that the connection of a response of a server was closed in order before the
response ended. If the process of the server has not ended, such ends prove nothing for a while. Whether
it has is found out in the background.
*/
func (handler *Handler) recordCut(server fleet.Server, evidence cutEvidence, isStream bool) {
	now := time.Now()
	cut := cutResponse{server: server, evidence: evidence, place: ending.Place{Service: server.Service, FailureDomain: server.FailureDomain, Plain: !isStream}}
	switch {
	case evidence == listedLonger || handler.options.Cuts.CountsAt(cut.place, now):
		// Cuts count there. This one renews them, unjudged, so that none is cleared meanwhile.
		handler.confirmCut(cut, now)
	case handler.options.Cuts.Suspect(cut.place, connectionKey(server), now):
		go handler.judgeCut(cut, now)
	}
}

// cutResponse is a response that was seen to be cut.
type cutResponse struct {
	server   fleet.Server
	place    ending.Place
	evidence cutEvidence
}

// recordWhole records that a framed response of a server has ended whole, which may clear cuts.
func (handler *Handler) recordWhole(server fleet.Server, isStream bool, now time.Time) {
	if !handler.options.Cuts.RecordWhole(server.Service, isStream, now) {
		return
	}
	handler.options.TellCuts()
	handler.options.Logger.Log(event.CutCleared(), logrus.Fields{"service": server.Service})
	handler.options.Meter.AddToCounter("cuts_seen", "from", "cleared", 1)
}

// confirmCut records a cut by a process that has not ended.
func (handler *Handler) confirmCut(cut cutResponse, now time.Time) {
	if !handler.options.Cuts.Confirm(cut.place, connectionKey(cut.server), now) {
		return
	}
	handler.options.TellCuts()
	handler.options.Logger.Log(event.CutSeen(), logrus.Fields{
		"service": cut.place.Service, "failure_domain": cut.place.FailureDomain, "server": cut.server.ID, "evidence": cut.evidence, "plain": cut.place.Plain,
	})
	handler.options.Meter.AddToCounter("cuts_seen", "from", "own", 1)
}

// judgeCut finds out whether the process that cut a response has ended. The cut counts if it has not, or
// if that does not become known, unless the host stops before.
func (handler *Handler) judgeCut(cut cutResponse, cutAt time.Time) {
	server, current := cut.server, handler.options.Table.Load()
	if current == nil {
		handler.options.Cuts.Clear(connectionKey(server))
		return
	}
	check := &endCheck{handler: handler, server: server, table: current, caller: context.Background(), Evidence: ending.Evidence{
		Framing: ending.Connection, NoCuts: true, Stream: true, SenderKnown: true, EndedAt: cutAt, Outcome: ending.Unasked, Events: 1, RunEvents: ending.NotListed,
	}}
	check.run(cutAt.Add(ending.TimeLimit))
	check.settle(cutAt.Add(settleTime))
	if check.isPassedOn() {
		// A process that closes its connections one after another answers for a while.
		sleepUntil(handler.stopping, cutAt.Add(slowEndTime))
		check.lookAgain()
	}
	if _, verdict := check.Judge(); verdict == ending.Ended || check.isReplaced() || handler.stopping.Err() != nil {
		handler.options.Cuts.Clear(connectionKey(server))
		handler.options.Meter.AddToCounter("cuts_seen", "from", "ended", 1)
		return
	}
	handler.confirmCut(cut, time.Now())
}

// recordBrokenFraming records a cut if that is why the response could not be read. A connection that
// was closed before the first byte may have been closed before the request, too.
func (exchange *exchange) recordBrokenFraming(err error) {
	if errors.Is(err, io.ErrUnexpectedEOF) && exchange.conn.Received() > exchange.delivery.receivedBefore {
		exchange.call.handler.recordCut(exchange.server, brokenFraming, exchange.isStream)
	}
}

// cutsFor says what is known of cuts that count for the responses of a server, and whether those may be cleared soon.
func (handler *Handler) cutsFor(server fleet.Server) (status ending.Status, mayClear bool) {
	now, cuts := time.Now(), handler.options.Cuts
	isFramed := handler.framesLately(server.Service, now)
	return cuts.Status(server.Service, server.FailureDomain, isFramed, now), cuts.MayClear(server.Service, server.FailureDomain, isFramed, now)
}

// awaitCuts reports whether no cuts count for the response. While it is not known whether a process that
// cut some has ended, it waits; while those that count may be cleared, it waits longer.
func (check *endCheck) awaitCuts(deadline time.Time) (noCuts bool) {
	handler, caller := check.handler, check.caller
	judgedBy := earlier(check.EndedAt.Add(suspectPatience), deadline)
	clearedBy := handler.beforeExit(earlier(check.EndedAt.Add(clearingPatience), deadline))
	for caller.Err() == nil {
		now, poll := time.Now(), suspectPoll
		status, mayClear := handler.cutsFor(check.server)
		switch status {
		case ending.Unseen:
			return true
		case ending.Suspected:
			if !now.Before(judgedBy) {
				return false
			}
		case ending.Seen:
			if !check.awaitsClearing || !now.Before(clearedBy) || !mayClear {
				return false
			}
			poll = clearingPoll
		}
		time.Sleep(poll)
	}
	return false
}

// slowEndTime is how long after it has cut a response a process that ends may still take connections.
const slowEndTime = 300 * time.Millisecond

// sleepUntil waits until a time, or until the context ends.
func sleepUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

const (
	// suspectPatience is how long a response that has ended waits until it is known whether a suspected cut
	// counts, and suspectPoll how often it looks.
	suspectPatience = 500 * time.Millisecond
	suspectPoll     = 10 * time.Millisecond
	// clearingPatience is how long a response that has ended waits until the cuts that count are cleared, and
	// clearingPoll how often it looks. Callers have all of a stream by then but its end.
	clearingPatience = 2 * time.Second
	clearingPoll     = 50 * time.Millisecond
)

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
		call.handler.recordCut(*call.unprovenStream, wentOn, true)
		call.unprovenStream = nil
	}
}
